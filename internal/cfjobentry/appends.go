package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

const (
	// maxBatchRecords bounds the number of records in one append. No record follows once the
	// batch has maxBatchBytes. With a further record, it stays below the platform's limit for
	// a call, 2 MiB.
	maxBatchRecords = 64
	maxBatchBytes   = 1 << 20
	// concurrentAppends is the number of appends of callers' records that can be in
	// flight at the same time.
	concurrentAppends = 2
)

// submission is a record to append, with the channel that receives the outcome.
type submission struct {
	record cfcore.KeyedRecord
	reply  chan error
}

// appender appends callers' records to the store. One call carries all queued records, up
// to maxBatchRecords.
type appender struct {
	*Entry
	queue chan submission
}

func newAppender(e *Entry) *appender {
	return &appender{Entry: e, queue: make(chan submission, queueCapacity)}
}

// add appends a record and waits for the outcome. After a StoreRejected error the record
// is not in the store and will not be added later. After any other error, it is unknown
// whether the record is in the store or will be added later.
func (a *appender) add(ctx context.Context, r cfcore.KeyedRecord) error {
	s := submission{record: r, reply: make(chan error, 1)}
	select {
	case a.queue <- s:
	default:
		return cferror.New("append record", cfcore.StoreRejected, "the append queue is full with %d records", len(a.queue))
	}
	select {
	case err := <-s.reply:
		return err
	case <-ctx.Done():
		return cferror.Wrap("wait for append of a record", cfcore.StoreOutcomeUnknown, ctx.Err())
	}
}

// run appends queued records until the context ends.
func (a *appender) run(ctx context.Context) error {
	done := make(chan struct{}, concurrentAppends)
	for range concurrentAppends {
		go func() {
			defer func() { done <- struct{}{} }()
			a.processQueue(ctx)
		}()
	}
	for range concurrentAppends {
		<-done
	}
	return ctx.Err()
}

// processQueue appends queued records until the context ends, one batch at a time.
func (a *appender) processQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-a.queue:
			a.appendBatch(ctx, a.collectBatch(s))
		}
	}
}

// collectBatch returns first and the records queued behind it, up to maxBatchRecords and about
// maxBatchBytes.
func (a *appender) collectBatch(first submission) []submission {
	batch, size := []submission{first}, len(first.record.Value)
	for len(batch) < maxBatchRecords && size < maxBatchBytes {
		select {
		case s := <-a.queue:
			batch = append(batch, s)
			size += len(s.record.Value)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch appends the records of a batch and passes the outcome to all who submitted
// them. After a success, it also passes the records to the control goroutine and, unless
// this entry is the planner, to all connected entries. One of them is normally the
// planner.
func (a *appender) appendBatch(ctx context.Context, batch []submission) {
	records := make([]cfcore.KeyedRecord, len(batch))
	for i, s := range batch {
		records[i] = s.record
	}
	start := a.Clock.Now()
	err := a.append(ctx, records)
	if err == nil {
		a.post(ctx, recordsStored{records: records})
		a.relay.sendStoredRecords(records)
	}
	a.Scope.Timer("submission_append").Record(a.Clock.Since(start))
	for _, s := range batch {
		s.reply <- err
	}
}

// append adds records to the store. If the direct append fails, append tries other
// entries, since the store possibly rejects only the calls of this entry. If the other
// entries reject the records, append tries a direct append once more. While the store is
// marked as down, append tries only other entries. If the outcome of one attempt is
// unknown and no other attempt succeeds, append returns an error with an unknown outcome:
// a later rejection does not prove that the records are absent. Every attempt uses the
// same records, so adding them twice has no further effect.
func (a *appender) append(ctx context.Context, records []cfcore.KeyedRecord) error {
	if a.storeDown.Load() {
		return a.relay.append(ctx, records)
	}
	err := a.appendOnce(ctx, records)
	if err == nil || ctx.Err() != nil {
		return err
	}
	relayErr := a.relay.append(ctx, records)
	if !cferror.Is(relayErr, cfcore.StoreRejected) {
		return relayErr
	}
	select {
	case <-ctx.Done():
		return err
	case <-a.Clock.After(appendRetryDelay):
	}
	retryErr := a.appendOnce(ctx, records)
	if retryErr == nil || cferror.Is(err, cfcore.StoreRejected) {
		return retryErr
	}
	return err
}

// appendOnce makes one direct append.
func (a *appender) appendOnce(ctx context.Context, records []cfcore.KeyedRecord) error {
	_, err := a.Store.Append(ctx, a.topic, records, cfcore.AppendOptions{})
	if err != nil {
		a.Log.Warn().Err(err).Int("Records", len(records)).Msg("append to the store failed")
		a.markStoreDownIfUnresponsive(err)
	}
	return err
}

// If an append has an unknown outcome, and the store last answered a read more than
// storeUnresponsiveAfter ago, this entry marks the store as down. The value follows from
// the default settings. After the store stops responding to new calls, it can still answer
// a read in flight, up to 400 ms later. An append sent after the store stopped responding
// times out after 1 s. At that time, the store's last answer to a read is at least 600 ms
// old.
const storeUnresponsiveAfter = 500 * time.Millisecond

// markStoreDownIfUnresponsive marks the store as down after an append that failed with
// err. There are two exceptions: the store rejected the append, or the store last answered
// a read at most storeUnresponsiveAfter ago. While the store is marked as down, queued
// records are relayed without a direct attempt. Under load, those records would otherwise
// wait for one call after another to time out.
func (a *appender) markStoreDownIfUnresponsive(err error) {
	if cferror.Is(err, cfcore.StoreRejected) {
		return
	}
	if a.Clock.Since(time.Unix(0, a.storeAnsweredAt.Load())) > storeUnresponsiveAfter {
		a.markStoreDown(err)
	}
}

// appendRetryDelay is the delay between the rejection by other entries and the second
// direct append.
const appendRetryDelay = 30 * time.Millisecond

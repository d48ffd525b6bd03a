package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

const (
	// maxBatch bounds the records of one append. Their size stays far below what the
	// platform allows for a call.
	maxBatch = 64
	// appendWorkers is the number of appends of callers' records under way.
	appendWorkers = 2
)

// submission is a record that a caller waits for.
type submission struct {
	record cfcore.KeyedRecord
	reply  chan error
}

// appender adds callers' records to the store, as many as wait in one call.
type appender struct {
	*Entry
	queue chan submission
}

func newAppender(e *Entry) *appender {
	return &appender{Entry: e, queue: make(chan submission, eventQueue)}
}

// add adds a record. A StoreRejected error says that it is not there and never will
// be; after any other error it may be.
func (a *appender) add(ctx context.Context, r cfcore.KeyedRecord) error {
	s := submission{record: r, reply: make(chan error, 1)}
	select {
	case a.queue <- s:
	default:
		return cferror.New("append", cfcore.StoreRejected, "%d records wait", len(a.queue))
	}
	select {
	case err := <-s.reply:
		return err
	case <-ctx.Done():
		return cferror.Wrap("append", cfcore.StoreUnknown, ctx.Err())
	}
}

func (a *appender) run(ctx context.Context) error {
	done := make(chan struct{}, appendWorkers)
	for range appendWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			a.work(ctx)
		}()
	}
	for range appendWorkers {
		<-done
	}
	return ctx.Err()
}

func (a *appender) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-a.queue:
			a.appendBatch(ctx, a.collect(s))
		}
	}
}

func (a *appender) collect(first submission) []submission {
	batch := []submission{first}
	for len(batch) < maxBatch {
		select {
		case s := <-a.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

func (a *appender) appendBatch(ctx context.Context, batch []submission) {
	records := make([]cfcore.KeyedRecord, len(batch))
	for i, s := range batch {
		records[i] = s.record
	}
	begun := a.Clock.Now()
	err := a.append(ctx, records)
	if err == nil {
		a.tell(ctx, accepted{records: records})
		a.relay.announce(records)
	}
	a.Scope.Timer("submission_append").Record(a.Clock.Since(begun))
	for _, s := range batch {
		s.reply <- err
	}
}

// append adds records to the store: by itself, then through another entry, in case the
// store turns only this one away, and once more by itself. Once an outcome was
// unknown, a later rejection says nothing of it. The records are the same each time, so
// that a second effect changes nothing.
func (a *appender) append(ctx context.Context, records []cfcore.KeyedRecord) error {
	if a.storeDown.Load() {
		return a.relay.append(ctx, records)
	}
	err := a.appendOnce(ctx, records)
	if err == nil || ctx.Err() != nil {
		return err
	}
	relayed := a.relay.append(ctx, records)
	if !cferror.Is(relayed, cfcore.StoreRejected) {
		return relayed
	}
	select {
	case <-ctx.Done():
		return err
	case <-a.Clock.After(appendPause):
	}
	again := a.appendOnce(ctx, records)
	if again == nil || cferror.Is(err, cfcore.StoreRejected) {
		return again
	}
	return err
}

func (a *appender) appendOnce(ctx context.Context, records []cfcore.KeyedRecord) error {
	_, err := a.Store.Append(ctx, a.topic, records, cfcore.AppendOptions{})
	if err != nil {
		a.Log.Warn().Err(err).Int("Records", len(records)).Msg("append of submissions failed")
		a.suspectStore(err)
	}
	return err
}

// suspectAfter is the age of the store's last answer from which on an append without an
// answer shows that the store is down: a read that was under way may still be answered
// 400 ms after the store has become silent, and an append waits for 1 s.
const suspectAfter = 500 * time.Millisecond

// suspectStore takes the store for down where no call was answered lately, reads
// included: the records that wait behind the one that failed get their answers at once.
// Load: a store that is silent, so that each call takes its whole time.
func (a *appender) suspectStore(err error) {
	if cferror.Is(err, cfcore.StoreRejected) {
		return
	}
	if a.Clock.Since(time.Unix(0, a.storeAnswer.Load())) > suspectAfter {
		a.noteStoreDown(err)
	}
}

// appendPause is the pause before an append is tried again.
const appendPause = 30 * time.Millisecond

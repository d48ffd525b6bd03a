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
	// appendTries is how often an append is made before its caller is answered. The
	// record is the same each time, so that a second effect changes nothing.
	appendTries = 2
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
	err := a.tryAppend(ctx, records)
	a.Scope.Timer("submission_append").Record(a.Clock.Since(begun))
	for _, s := range batch {
		s.reply <- err
	}
}

// tryAppend repeats an append that failed. Once an outcome was unknown, a later
// rejection says nothing of it.
func (a *appender) tryAppend(ctx context.Context, records []cfcore.KeyedRecord) error {
	var unknown error
	for try := range appendTries {
		_, err := a.Store.Append(ctx, a.topic, records, cfcore.AppendOptions{})
		if err == nil {
			return nil
		}
		a.Log.Warn().Err(err).Int("Records", len(records)).Int("Try", try).Msg("append of submissions failed")
		if !cferror.Is(err, cfcore.StoreRejected) {
			unknown = err
		} else if try == appendTries-1 && unknown == nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-a.Clock.After(time.Duration(try+1) * appendPause):
		}
	}
	return unknown
}

// appendPause is the pause before an append is tried again.
const appendPause = 30 * time.Millisecond

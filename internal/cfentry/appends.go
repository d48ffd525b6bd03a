package cfentry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// Limits and intervals for reading from and appending to the log.
const (
	// maxAppendBytes limits a batch: no submission is added to a batch that has this many
	// bytes of snapshot data or more.
	maxAppendBytes = 1 << 20
	// maxAppendRecords limits a batch: no submission is added to a batch that has this many
	// records or more.
	maxAppendRecords = 4000
	// maxAbandonedClaims limits the number of abandoned key claims that an entry remembers,
	// see control.abandonedClaims.
	maxAbandonedClaims = 10000
	// readWait is how long one long poll waits for new log entries.
	readWait = 2 * time.Second
	// retryPause is the delay before a failed read or append is retried.
	retryPause = 100 * time.Millisecond
)

// pendingAppend is a batch that is being appended, or that is appended but has not been
// read back from the log.
type pendingAppend struct {
	batch       *cfrecord.Batch
	submissions []*submission
	createdAt   time.Time
	// readBack is set if the batch was read from the log before its append returned.
	readBack bool
}

// hasPlannerRecords reports whether a submission of the batch has fromPlanner set.
func (p *pendingAppend) hasPlannerRecords() bool {
	for _, s := range p.submissions {
		if s.fromPlanner {
			return true
		}
	}
	return false
}

// deliver sends each submission the outcomes of its records and the log offset of the
// batch. It does nothing for a submission that needs no result.
func (p *pendingAppend) deliver(off cfcore.Offset, outcomes []cfstate.Outcome) {
	for _, s := range p.submissions {
		n := len(s.records)
		if s.reply != nil {
			s.reply <- submitResult{outcomes: outcomes[:n], offset: off}
		}
		outcomes = outcomes[n:]
	}
}

// fail sends err to each submission that needs a result.
func (p *pendingAppend) fail(err error) {
	for _, s := range p.submissions {
		if s.reply != nil {
			s.reply <- submitResult{err: err}
		}
	}
}

// submit queues records for the next append. While the log cannot be read or this entry
// has no state, the submission fails at once.
func (c *control) submit(s *submission) {
	if !c.logHealthy || c.state() == nil {
		if s.fromPlanner {
			c.decisionPending = false
		}
		if s.reply != nil {
			s.reply <- submitResult{err: cferror.New("append", KindUnavailable, "the log cannot be read")}
		}
		return
	}
	c.queue = append(c.queue, s)
}

// nextAppend returns the next batch and the channel to send it on. Both are nil if
// the queue is empty or an append is in flight.
func (c *control) nextAppend() (*pendingAppend, chan<- *pendingAppend) {
	if c.inFlight != nil || len(c.queue) == 0 {
		return nil, nil
	}
	p := &pendingAppend{batch: &cfrecord.Batch{ID: cfrecord.BatchID(uuid.New()), By: c.id}, createdAt: c.Clock.Now()}
	batchBytes := 0
	for _, s := range c.queue {
		full := len(p.batch.Records) >= maxAppendRecords || batchBytes >= maxAppendBytes
		if full {
			break
		}
		p.submissions = append(p.submissions, s)
		p.batch.Records = append(p.batch.Records, s.records...)
		batchBytes += s.snapshotBytes
	}
	p.batch.At = p.createdAt
	return p, c.appends
}

// startAppend marks a batch as in flight and removes its submissions from the queue.
func (c *control) startAppend(p *pendingAppend) {
	c.queue = c.queue[len(p.submissions):]
	c.inFlight = p
	c.unread[p.batch.ID] = p
	c.Scope.Counter("appends").Inc(1)
	c.Scope.Counter("records").Inc(int64(len(p.batch.Records)))
}

// handleAppendDone allows the next append. The batch of a failed append can still reach
// the log, so its submissions fail with an unknown outcome, unless the batch has already
// been read back.
func (c *control) handleAppendDone(ev appendDone) {
	p := c.inFlight
	c.inFlight = nil
	if ev.err == nil || p.readBack {
		return
	}
	c.Scope.Counter("appends_failed").Inc(1)
	delete(c.unread, ev.id)
	p.fail(cferror.Wrap("append", KindOutcomeUnknown, ev.err))
	if p.hasPlannerRecords() {
		c.decisionPending = false
	}
}

// appendLoop returns a loop that appends the batches from in, one after the other, until
// the loop's context is done. The loop retries a batch until the append succeeds or
// AppendTimeout has passed since the first attempt began. Retries are safe because the
// state machine applies a batch only once.
func (e *Entry) appendLoop(in <-chan *pendingAppend) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case p := <-in:
				err := e.appendBatch(ctx, p.batch)
				e.enqueue(ctx, appendDone{id: p.batch.ID, err: err})
			}
		}
	}
}

// appendBatch makes the append of one batch, with the retries that appendLoop describes.
func (e *Entry) appendBatch(ctx context.Context, b *cfrecord.Batch) error {
	data, err := e.Codec.Marshal(b)
	if err != nil {
		return err
	}
	e.Scope.Counter("append_bytes").Inc(int64(len(data)))
	startedAt := e.Clock.Now()
	for {
		_, err = e.platformLog.Append(ctx, data)
		if err == nil || e.Clock.Since(startedAt) > e.cfg.Planner.AppendTimeout {
			return err
		}
		if !e.sleep(ctx, retryPause) {
			return err
		}
	}
}

// readLoop reads the log from its beginning and passes the pages to the control
// goroutine, until ctx is done. It retries failed reads.
func (e *Entry) readLoop(ctx context.Context) error {
	next := cfcore.Offset(1)
	for {
		page, err := e.platformLog.Read(ctx, next, readWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			e.enqueue(ctx, readFailed{err: err})
			e.sleep(ctx, retryPause)
			continue
		}
		e.enqueue(ctx, pageRead{page: page, from: next})
		if n := len(page.Entries); n > 0 {
			next = page.Entries[n-1].Offset + 1
		}
	}
}

// sleep waits for d. It returns false if ctx is done first.
func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-e.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// submitAndWait appends records to the log and waits until they have been applied. An
// error of KindUnavailable means that the records will not be applied. With an error of
// KindOutcomeUnknown, the entry does not know whether they are applied.
func (e *Entry) submitAndWait(ctx context.Context, records ...cfrecord.Record) (submitResult, error) {
	sub := &submission{records: records, reply: make(chan submitResult, 1)}
	if !e.enqueue(ctx, submitted{sub: sub}) {
		return submitResult{}, cferror.Wrap("change", KindUnavailable, ctx.Err())
	}
	select {
	case r := <-sub.reply:
		return r, r.err
	case <-ctx.Done():
		return submitResult{}, cferror.Wrap("change", KindOutcomeUnknown, ctx.Err())
	}
}

// runOnControl runs f on the control goroutine and waits until f returns. If ctx is
// done first, runOnControl returns an error, and the control goroutine can still run f
// later.
func (e *Entry) runOnControl(ctx context.Context, f func(c *control)) error {
	q := query{f: f, done: make(chan struct{})}
	if !e.enqueue(ctx, q) {
		return cferror.Wrap("query", KindUnavailable, ctx.Err())
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return cferror.Wrap("query", KindUnavailable, ctx.Err())
	}
}

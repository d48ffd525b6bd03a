package cfentry

import (
	"context"
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfrecord"
)

// Limits of reading and appending.
const (
	// maxFlightBytes bounds the snapshot parts in one append.
	maxFlightBytes = 1 << 20
	// maxFlightRecords bounds the records in one append.
	maxFlightRecords = 4000
	// maxAbandoned bounds the claims that are remembered after their call has
	// been refused.
	maxAbandoned = 10000
	// readWait is how long one read waits for new entries.
	readWait = 2 * time.Second
	// retryPause is the time between two attempts to reach the log.
	retryPause = 100 * time.Millisecond
)

// flight is a batch on its way to the log.
type flight struct {
	batch *cfrecord.Batch
	subs  []*submission
	began time.Time
	// read is set when the batch was read back before its append ended.
	read bool
}

func (f *flight) hasPlanner() bool {
	for _, s := range f.subs {
		if s.planner {
			return true
		}
	}
	return false
}

// deliver gives each submission its share of the outcomes.
func (f *flight) deliver(off cfcore.Offset, outcomes []cffold.Outcome) {
	for _, s := range f.subs {
		n := len(s.records)
		if s.reply != nil {
			s.reply <- submitResult{outcomes: outcomes[:n], offset: off}
		}
		outcomes = outcomes[n:]
	}
}

func (f *flight) fail(err error) {
	for _, s := range f.subs {
		if s.reply != nil {
			s.reply <- submitResult{err: err}
		}
	}
}

// submit queues records for the next append.
func (c *control) submit(s *submission) {
	if !c.logHealthy || c.state() == nil {
		if s.planner {
			c.plannerBusy = false
		}
		if s.reply != nil {
			s.reply <- submitResult{err: cferror.New("append", KindUnavailable, "the log cannot be read")}
		}
		return
	}
	c.queue = append(c.queue, s)
}

// nextFlight returns the next batch, and the channel to give it to; the channel
// is nil where there is nothing to append, or an append is under way.
func (c *control) nextFlight() (*flight, chan<- *flight) {
	if c.inFlight != nil || len(c.queue) == 0 {
		return nil, nil
	}
	f := &flight{batch: &cfrecord.Batch{ID: cfrecord.BatchID(uuid.New()), By: c.id}, began: c.Clock.Now()}
	bytes := 0
	for _, s := range c.queue {
		full := len(f.batch.Records) >= maxFlightRecords || bytes >= maxFlightBytes
		if full {
			break
		}
		f.subs = append(f.subs, s)
		f.batch.Records = append(f.batch.Records, s.records...)
		bytes += s.bytes
	}
	f.batch.At = f.began
	return f, c.appends
}

func (c *control) launched(f *flight) {
	c.queue = c.queue[len(f.subs):]
	c.inFlight = f
	c.unread[f.batch.ID] = f
	c.Scope.Counter("appends").Inc(1)
	c.Scope.Counter("records").Inc(int64(len(f.batch.Records)))
}

// appendEnded frees the way for the next append. A batch that got no answer in
// time may still come; nobody waits for it any more.
func (c *control) appendEnded(ev appendEnded) {
	f := c.inFlight
	c.inFlight = nil
	if ev.err == nil || f.read {
		return
	}
	c.Scope.Counter("appends_failed").Inc(1)
	delete(c.unread, ev.id)
	f.fail(cferror.Wrap("append", KindUnknown, ev.err))
	if f.hasPlanner() {
		c.plannerBusy = false
	}
}

// appendLoop appends one batch after the other. The same batch is appended again
// until it is answered or given up: the fold takes it once.
func (e *Entry) appendLoop(in <-chan *flight) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case f := <-in:
				err := e.append(ctx, f.batch)
				e.tell(ctx, appendEnded{id: f.batch.ID, err: err})
			}
		}
	}
}

func (e *Entry) append(ctx context.Context, b *cfrecord.Batch) error {
	data, err := e.Codec.Marshal(b)
	if err != nil {
		return err
	}
	e.Scope.Counter("append_bytes").Inc(int64(len(data)))
	began := e.Clock.Now()
	for {
		_, err = e.log.Append(ctx, data)
		if err == nil || e.Clock.Since(began) > e.cfg.Planner.AppendTimeout {
			return err
		}
		if !e.sleep(ctx, retryPause) {
			return err
		}
	}
}

// readLoop reads the log from its beginning and hands the pages to the control
// goroutine.
func (e *Entry) readLoop(ctx context.Context) error {
	next := cfcore.Offset(1)
	for {
		page, err := e.log.Read(ctx, next, readWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			e.tell(ctx, readFailed{err: err})
			e.sleep(ctx, retryPause)
			continue
		}
		e.tell(ctx, pageRead{page: page, from: next})
		if n := len(page.Entries); n > 0 {
			next = page.Entries[n-1].Offset + 1
		}
	}
}

// sleep waits for d and reports false where the context ended first.
func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-e.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// change submits records and waits for their outcome.
func (e *Entry) change(ctx context.Context, records ...cfrecord.Record) (submitResult, error) {
	sub := &submission{records: records, reply: make(chan submitResult, 1)}
	if !e.tell(ctx, submitted{sub: sub}) {
		return submitResult{}, cferror.Wrap("change", KindUnavailable, ctx.Err())
	}
	select {
	case r := <-sub.reply:
		return r, r.err
	case <-ctx.Done():
		return submitResult{}, cferror.Wrap("change", KindUnknown, ctx.Err())
	}
}

// ask runs f on the control goroutine and waits for its end.
func (e *Entry) ask(ctx context.Context, f func(c *control)) error {
	q := query{f: f, done: make(chan struct{})}
	if !e.tell(ctx, q) {
		return cferror.Wrap("query", KindUnavailable, ctx.Err())
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return cferror.Wrap("query", KindUnavailable, ctx.Err())
	}
}

package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
)

// retryDelay is the delay before a failed call to the store or to the policy service is
// retried. It is also the delay before this entry connects to the planner again. The delay
// is long enough that an outage does not exhaust the platform's call quota.
const retryDelay = 150 * time.Millisecond

// storeDownAfter is how long reads of the store must have failed before this entry marks
// the store as down. This entry then reports itself as not ready to the load balancer.
const storeDownAfter = 700 * time.Millisecond

// followDelay is the delay after a read that returned records. It keeps the number of
// calls independent of the number of records. The delay does not slow jobs down: the
// planner receives accepted records directly from the entries, and the entries receive
// progress directly from the planner. An entry that knows of no planner reads without a
// delay, since it possibly has to take over.
const followDelay = 100 * time.Millisecond

// followStore reads the whole store and then the records added to it, until the context ends.
func (c *control) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		sentAt := c.bootTime()
		stored, err := c.restore(ctx)
		if err != nil {
			c.recordFailureAndWait(ctx, err)
			continue
		}
		c.post(ctx, restored{stored: stored, sentAt: sentAt})
		c.tail(ctx, stored.Next)
	}
	return ctx.Err()
}

// restore reads the newest record of each key. Records can be added between the reads of
// two pages, so the pages are not a consistent snapshot. restore therefore also reads the
// records from the end offset of the first page to that of the last one. The state is then
// that of the whole log up to an offset: a planner can begin with it.
func (c *control) restore(ctx context.Context) (*cfjob.StoreState, error) {
	stored := cfjob.NewStoreState(c.codec)
	after, first := "", true
	for {
		page, err := c.Store.Newest(ctx, c.topic, after)
		if err != nil {
			return nil, err
		}
		if first {
			stored.Next, first = page.End, false
		}
		c.countSkipped(c.topic, page.Skipped)
		c.applyRestored(stored, page.Records)
		if !page.More || len(page.Records) == 0 {
			return stored, c.readUpTo(ctx, stored, page.End)
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// readUpTo applies the records up to an end offset.
func (c *control) readUpTo(ctx context.Context, stored *cfjob.StoreState, end int64) error {
	for stored.Next < end {
		page, err := c.Store.Read(ctx, c.topic, stored.Next, 0)
		if err != nil {
			return err
		}
		if page.Next <= stored.Next {
			return cferror.New("read records", cfcore.StoreBadAnswer, "no records from offset %d on, of %d", stored.Next, end)
		}
		c.countSkipped(c.topic, page.Skipped)
		c.applyRestored(stored, page.Records)
		stored.Next = page.Next
	}
	return nil
}

// applyRestored applies records to a state that is not in use yet.
func (c *control) applyRestored(stored *cfjob.StoreState, records []cfcore.KeyedRecord) {
	for _, r := range records {
		if _, err := stored.Apply(r); err != nil {
			c.Log.Warn().Err(err).Str("Key", r.Key).Msg("record cannot be applied; skipping it")
			c.Scope.Counter("records_skipped").Inc(1)
		}
	}
}

// countSkipped logs and counts n records that were left out of a page of a topic because
// they cannot be decoded.
func (e *Entry) countSkipped(t cfcore.Topic, n int) {
	if n > 0 {
		e.Log.Warn().Str("Topic", t.Name).Int("Records", n).Msg("records cannot be decoded; skipping them")
		e.Scope.Counter("records_skipped").Inc(int64(n))
	}
}

// tail reads the records whose offset is at least next, until the context ends, the store
// no longer has the record to be read next, or this record cannot be read.
func (c *control) tail(ctx context.Context, next int64) {
	for ctx.Err() == nil {
		sentAt := c.bootTime()
		page, err := c.Store.Read(ctx, c.topic, next, c.cfg.StoreTimeout.Wait)
		if cferror.Is(err, cfcore.StoreExpired) {
			c.Log.Warn().Int64("Offset", next).Msg("records expired before they were read; reading the whole store again")
			return
		}
		if err != nil {
			c.recordFailureAndWait(ctx, err)
			if cferror.Is(err, cfcore.StoreBadAnswer) {
				// The same read would fail again. The newest records of all keys can still be
				// read.
				c.Log.Warn().Err(err).Int64("Offset", next).Msg("record cannot be read; reading the whole store again")
				return
			}
			continue
		}
		c.recordStoreAnswer()
		c.post(ctx, pageRead{from: next, page: page, sentAt: sentAt})
		next = page.Next
		if len(page.Records) > 0 && c.hasPlanner.Load() {
			select {
			case <-ctx.Done():
			case <-c.Clock.After(followDelay):
			}
		}
	}
}

// recordFailureAndWait records a failed call to the store and waits for retryDelay. It
// marks the store as down once calls have failed for longer than storeDownAfter.
func (c *control) recordFailureAndWait(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := c.Clock.Now()
	if c.failedSince.IsZero() {
		c.failedSince = now
	}
	if now.Sub(c.failedSince) > storeDownAfter {
		c.markStoreDown(err)
	}
	c.Scope.Counter("store_failures").Inc(1)
	select {
	case <-ctx.Done():
	case <-c.Clock.After(retryDelay):
	}
}

// markStoreDown records that the store does not answer this entry.
func (e *Entry) markStoreDown(err error) {
	if !e.storeDown.Swap(true) {
		e.Log.Warn().Err(err).Msg("dependency lost: the store does not answer")
	}
}

// recordStoreAnswer records that the store has answered a read.
func (c *control) recordStoreAnswer() {
	c.failedSince = time.Time{}
	c.storeAnsweredAt.Store(c.Clock.Now().UnixNano())
	if c.storeDown.Swap(false) {
		c.Log.Info().Msg("dependency regained: the store answers")
	}
}

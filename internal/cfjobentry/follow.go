package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
)

// retryDelay is the pause before a failed call to the store is made again: long
// enough that an outage does not use up the platform's share of calls.
const retryDelay = 150 * time.Millisecond

// downAfter is how long the store may fail to answer before this entry asks the
// balancer for no more requests.
const downAfter = 700 * time.Millisecond

// followPause is the pause after a read that returned records, so that the number of
// calls does not grow with the number of records: entries tell the planner of what they
// accept, and the planner tells them of progress. An entry that may have to take over
// reads without a pause.
const followPause = 100 * time.Millisecond

// follow reads the whole store and then what is added to it.
func (c *control) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := c.boot()
		book, err := c.restore(ctx)
		if err != nil {
			c.storeFailed(ctx, err)
			continue
		}
		c.tell(ctx, restored{book: book, asked: asked})
		c.tail(ctx, book.Next)
	}
	return ctx.Err()
}

// restore reads the newest record of each key. The pages are no snapshot: what was
// added meanwhile is read again from the end before the first page.
func (c *control) restore(ctx context.Context) (*cfjob.Book, error) {
	book := cfjob.NewBook(c.codec)
	after, first := "", true
	for {
		page, err := c.Store.Newest(ctx, c.topic, after)
		if err != nil {
			return nil, err
		}
		if first {
			book.Next, first = page.End, false
		}
		for _, r := range page.Records {
			if _, err := book.Apply(r); err != nil {
				c.Log.Warn().Err(err).Str("Key", r.Key).Msg("record skipped")
				c.Scope.Counter("records_skipped").Inc(1)
			}
			after = r.Key
		}
		if !page.More || len(page.Records) == 0 {
			return book, nil
		}
	}
}

// tail reads what is added until records have expired that were not read.
func (c *control) tail(ctx context.Context, next int64) {
	for ctx.Err() == nil {
		asked := c.boot()
		page, err := c.Store.Read(ctx, c.topic, next, c.cfg.StoreTimeout.Wait)
		if cferror.Is(err, cfcore.StoreExpired) {
			c.Log.Warn().Int64("Offset", next).Msg("records expired before they were read; reading all again")
			return
		}
		if err != nil {
			c.storeFailed(ctx, err)
			continue
		}
		c.storeAnswered()
		c.tell(ctx, followed{from: next, page: page, asked: asked})
		next = page.Next
		if len(page.Records) > 0 && c.settled.Load() {
			select {
			case <-ctx.Done():
			case <-c.Clock.After(followPause):
			}
		}
	}
}

// storeFailed notes a call to the store that failed, and waits before the next one.
func (c *control) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := c.Clock.Now()
	if c.failedSince.IsZero() {
		c.failedSince = now
	}
	if now.Sub(c.failedSince) > downAfter {
		c.noteStoreDown(err)
	}
	c.Scope.Counter("store_failures").Inc(1)
	select {
	case <-ctx.Done():
	case <-c.Clock.After(retryDelay):
	}
}

// noteStoreDown notes that the store does not answer this entry.
func (e *Entry) noteStoreDown(err error) {
	if !e.storeDown.Swap(true) {
		e.Log.Warn().Err(err).Msg("dependency lost: the store does not answer")
	}
}

func (c *control) storeAnswered() {
	c.failedSince = time.Time{}
	c.storeAnswer.Store(c.Clock.Now().UnixNano())
	if c.storeDown.Swap(false) {
		c.Log.Info().Msg("dependency regained: the store answers")
	}
}

package cfjobentry

import (
	"bytes"
	"time"

	"cranberryford/pkg/cfjob"
)

const (
	// upkeepEvery is how often the planner looks for records that are needed no more.
	upkeepEvery = time.Second
	// learntEvery is how often what was learnt is kept. A pair of images is learnt from the
	// reports of some seconds.
	learntEvery = 2 * time.Second
	// entryGone is how long an entry may be without a connection to the planner before
	// its record is dropped. Entries connect within a second.
	entryGone = 5 * time.Second
	// dropBatch bounds the jobs that are dropped at once.
	dropBatch = 32
)

// upkeep drops the records of entries that are gone and of jobs that ended long ago.
func (c *control) upkeep(now time.Time) {
	if now.Sub(c.plan.upkeepAt) < upkeepEvery || !c.storeWorks() {
		return
	}
	c.plan.upkeepAt = now
	c.dropEntries(now)
	c.dropJobs(now)
	c.keepLearnt(now)
}

// keepLearnt puts on record what the planner has learnt, where that has changed.
func (c *control) keepLearnt(now time.Time) {
	if now.Sub(c.plan.learntAt) < learntEvery {
		return
	}
	c.plan.learntAt = now
	r, err := c.codec.Learnt(c.plan.Learnt())
	if err != nil {
		c.Log.Error().Err(err).Msg("what was learnt cannot be encoded")
		return
	}
	if bytes.Equal(r.Value, c.plan.learnt) {
		return
	}
	c.plan.learnt = r.Value
	c.plan.extra = append(c.plan.extra, r)
}

func (c *control) dropEntries(now time.Time) {
	for l := range c.links {
		c.plan.entrySeen[l.name] = now
	}
	for name, e := range c.book.Entries {
		seen, ok := c.plan.entrySeen[name]
		if !ok {
			c.plan.entrySeen[name] = now
			continue
		}
		if name == c.cfg.Name || now.Sub(seen) < entryGone {
			continue
		}
		c.Log.Info().Str("Entry", name).Str("Address", e.Address.String()).Msg("entry is gone: its record is dropped")
		c.plan.entrySeen[name] = now
		c.plan.extra = append(c.plan.extra, c.codec.DropEntry(name))
	}
}

func (c *control) dropJobs(now time.Time) {
	n := 0
	for id, e := range c.book.Jobs {
		if n >= dropBatch {
			return
		}
		if at := endOf(e); at.IsZero() || now.Sub(at) < c.cfg.Planning.Keep || c.plan.Live(id) {
			continue
		}
		c.Log.Info().Str("Job", id).Msg("job is kept no longer")
		c.plan.Forget(id)
		c.plan.extra = append(c.plan.extra, c.codec.DropJob(id)...)
		n++
	}
}

// endOf returns when a job ended; zero where it has not.
func endOf(e *cfjob.Entry) time.Time {
	switch {
	case e.Cancelled != nil:
		return e.Cancelled.At
	case e.Progress != nil:
		return e.Progress.Ended
	}
	return time.Time{}
}

// entriesChanged takes in that the entries have changed. An entry whose record was
// dropped writes it again, and does not claim an epoch before a planner without the
// store must have seen that there is another entry. Where there was no planner yet,
// none has to see it.
func (c *control) entriesChanged() {
	_, known := c.book.Entries[c.cfg.Name]
	if known && !c.known && c.book.Planner.Epoch > 0 {
		c.promised = max(c.promised, c.boot()+c.cfg.Lease.Authority)
	}
	c.known = known
	c.shareAddresses()
	c.greetAll()
}

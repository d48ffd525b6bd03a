package cfjobentry

import (
	"bytes"
	"time"

	"cranberryford/pkg/cfjob"
)

const (
	// cleanupInterval is how often the planner looks for records that are no longer
	// needed.
	cleanupInterval = time.Second
	// learnedInterval is how often learned data is recorded. The planner learns the effect
	// of one image on another from a few seconds of reports.
	learnedInterval = 2 * time.Second
	// entryGoneAfter is how long an entry may be disconnected from the planner before its
	// record is dropped. Entries connect within a second.
	entryGoneAfter = 5 * time.Second
	// maxDroppedJobs bounds the jobs that are dropped in one call of dropJobs.
	maxDroppedJobs = 32
)

// cleanUp drops the records of entries that are gone and of jobs that ended long ago. It
// also records learned data. It does nothing while the store does not answer.
func (c *control) cleanUp(now time.Time) {
	if now.Sub(c.plan.lastCleanupAt) < cleanupInterval || !c.storeWorks() {
		return
	}
	c.plan.lastCleanupAt = now
	c.dropEntries(now)
	c.dropJobs(now)
	c.recordLearned(now)
}

// recordLearned records the planner's learned data if it has changed.
func (c *control) recordLearned(now time.Time) {
	if now.Sub(c.plan.learnedCheckedAt) < learnedInterval {
		return
	}
	c.plan.learnedCheckedAt = now
	r, err := c.codec.Learned(c.plan.Learned())
	if err != nil {
		c.Log.Error().Err(err).Msg("learned data cannot be encoded")
		return
	}
	if bytes.Equal(r.Value, c.plan.learned) {
		return
	}
	c.plan.learned = r.Value
	c.plan.extra = append(c.plan.extra, r)
}

func (c *control) dropEntries(now time.Time) {
	for l := range c.links {
		c.plan.entrySeenAt[l.name] = now
	}
	for name, e := range c.stored.Entries {
		seenAt, ok := c.plan.entrySeenAt[name]
		if !ok {
			c.plan.entrySeenAt[name] = now
			continue
		}
		if name == c.cfg.Name || now.Sub(seenAt) < entryGoneAfter {
			continue
		}
		c.Log.Info().Str("Entry", name).Str("Address", e.Address.String()).Msg("entry is gone: its record is dropped")
		c.plan.entrySeenAt[name] = now
		c.plan.extra = append(c.plan.extra, c.codec.DropEntry(name))
	}
}

func (c *control) dropJobs(now time.Time) {
	n := 0
	for id, e := range c.stored.Jobs {
		if n >= maxDroppedJobs {
			return
		}
		if at := endTime(e); at.IsZero() || now.Sub(at) < c.cfg.Planning.Keep || c.plan.HasLiveRuns(id) {
			continue
		}
		c.Log.Info().Str("Job", id).Msg("ended job is dropped")
		c.plan.Forget(id)
		c.plan.extra = append(c.plan.extra, c.codec.DropJob(id)...)
		n++
	}
}

// endTime returns when a job ended, or the zero time if it has not ended.
func endTime(e *cfjob.StoredJob) time.Time {
	switch {
	case e.Cancelled != nil:
		return e.Cancelled.At
	case e.Progress != nil:
		return e.Progress.Ended
	}
	return time.Time{}
}

// entriesChanged handles a change of the recorded entries. If the change has added this
// entry's own record, for the first time or again after a drop, this entry does not claim an
// epoch for the time of Lease.Authority: within that time, a planner that cannot reach the
// store must have noticed that another entry exists. The delay is not needed if there was no
// planner yet.
func (c *control) entriesChanged() {
	_, known := c.stored.Entries[c.cfg.Name]
	if known && !c.selfRecorded && c.stored.Planner.Epoch > 0 {
		c.noClaimBefore = max(c.noClaimBefore, c.bootTime()+c.cfg.Lease.Authority)
	}
	c.selfRecorded = known
	c.updateRelayAddresses()
	c.sendEntriesToAll()
}

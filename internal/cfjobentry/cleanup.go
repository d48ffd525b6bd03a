package cfjobentry

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

const (
	// cleanupInterval is how often the planner looks for records that are no longer
	// needed.
	cleanupInterval = time.Second
	// learnedInterval is how often the planner checks whether its learned data has
	// changed and must be recorded. The data includes by how much tasks of one image slow
	// down tasks of another. The planner learns this from a few seconds of reports.
	learnedInterval = 2 * time.Second
	// entryGoneAfter is how long an entry must be disconnected from the planner before
	// the planner drops the entry's record. A running entry connects within a second.
	entryGoneAfter = 5 * time.Second
	// maxDroppedJobs bounds the number of jobs whose records one call of dropJobs drops.
	maxDroppedJobs = 32
)

// cleanUp drops the records of disconnected entries and of jobs that ended long ago. It
// also records learned data. It does nothing while the store does not answer, or if the
// last clean-up is less than cleanupInterval ago.
func (c *control) cleanUp(now time.Time) {
	if now.Sub(c.plan.lastCleanupAt) < cleanupInterval || !c.storeWorks() {
		return
	}
	c.plan.lastCleanupAt = now
	c.dropEntries(now)
	c.dropJobs(now)
	c.recordLearned(now)
}

// recordLearned adds the planner's learned data to the next batch if it has changed. It
// checks this at most once in learnedInterval.
func (c *control) recordLearned(now time.Time) {
	if now.Sub(c.plan.learnedCheckedAt) < learnedInterval {
		return
	}
	c.plan.learnedCheckedAt = now
	r, err := c.encodeLearned(c.plan.Learned())
	if err != nil {
		c.Log.Error().Err(err).Msg("learned data cannot be encoded; not recording it")
		return
	}
	if bytes.Equal(r.Value, c.plan.learned) {
		return
	}
	c.plan.learned = r.Value
	c.plan.extraRecords = append(c.plan.extraRecords, r)
}

// encodeLearned returns the record of learned data. If it exceeds maxRecordBytes, it leaves out
// the effects that matter least.
func (c *control) encodeLearned(l *cfdispatch.Learned) (cfcore.KeyedRecord, error) {
	r, err := c.codec.Learned(l)
	for err == nil && len(r.Value) > maxRecordBytes && len(l.Effects.Pairs) > 0 {
		l.Effects.KeepStrongest(len(l.Effects.Pairs) / 2)
		r, err = c.codec.Learned(l)
	}
	return r, err
}

// dropEntries drops the record of each other entry that has been disconnected for
// entryGoneAfter.
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
		c.Log.Info().Str("Entry", name).Str("Address", e.Address.String()).Msg("entry has been disconnected for too long; dropping its record")
		c.plan.entrySeenAt[name] = now
		c.plan.extraRecords = append(c.plan.extraRecords, c.codec.DropEntry(name))
	}
}

// dropJobs drops the records of jobs that ended more than Planning.Keep ago and have no
// live runs.
func (c *control) dropJobs(now time.Time) {
	n := 0
	for id, e := range c.stored.Jobs {
		if n >= maxDroppedJobs {
			return
		}
		if at := endTime(e); at.IsZero() || now.Sub(at) < c.cfg.Planning.Keep || c.plan.HasLiveRuns(id) {
			continue
		}
		c.Log.Info().Str("Job", id).Msg("job ended long ago; dropping its records")
		c.plan.extraRecords = append(c.plan.extraRecords, c.codec.DropJob(id, slices.Collect(maps.Keys(e.Parts))...)...)
		n++
	}
}

// endTime returns when a job ended, or the zero time if it has not ended.
func endTime(e *cfjob.StoredJob) time.Time {
	switch {
	case e.Cancellation != nil:
		return e.Cancellation.At
	case e.Progress != nil:
		return e.Progress.EndedAt
	}
	return time.Time{}
}

// handleEntriesChange handles a change of the recorded entries by the record at an offset. A planner
// that cannot reach the store gives orders while all entries that it knows of promise not to claim. After
// its own record has been added, for the first time or again after a drop, this entry therefore claims no
// epoch until the planner has read the record or has lost its authority. The delay is left out if
// there was no planner yet.
func (c *control) handleEntriesChange(offset int64) {
	_, known := c.stored.Entries[c.cfg.Name]
	if known && !c.selfRecorded && c.stored.Planner.Epoch > 0 {
		maxAuthority := time.Duration(float64(maxOutage)*(1+clockSlack)) + authorityMargin
		c.unread = unreadRecord{offset: offset, until: c.bootTime() + maxAuthority}
	}
	c.selfRecorded = known
	c.updateRelayAddresses()
	c.sendEntriesToAll()
}

// unreadRecord is a record of this entry at an offset that the planner has possibly not read. Without it, the
// planner can have authority until a time on the boot clock.
type unreadRecord struct {
	offset int64
	until  time.Duration
}

// markRecordRead handles a poll of the planner, which shows what it has read.
func (c *control) markRecordRead(poll *cfwire.JobPoll) {
	if poll.Epoch == c.stored.Planner.Epoch && poll.ReadTo > c.unread.offset {
		c.unread = unreadRecord{}
	}
}

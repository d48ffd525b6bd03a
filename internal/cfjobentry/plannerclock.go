package cfjobentry

import (
	"time"

	"cranberryford/pkg/cfjob"
)

const (
	// clockInterval is the time between two records of the planners' clock. An entry that has just started counts
	// from the last one.
	clockInterval = time.Second
	// absenceClockInterval replaces clockInterval while absences are on record, which are counted by this clock.
	absenceClockInterval = 250 * time.Millisecond
)

// plannerClock follows the planners' clock, see cfjob.PlannerClock. At readAt on the boot clock, the clock showed
// reading or more. A reading is older when it is read than when it was written, so that this clock is never ahead.
type plannerClock struct {
	reading cfjob.PlannerClock
	readAt  time.Duration
}

// observeClock follows the newest reading in the store, unless this entry wrote it itself.
func (c *control) observeClock() {
	if c.stored.Clock == c.clock.reading {
		return
	}
	if c.stored.Planner.Instance == c.instance && c.stored.Clock.Epoch == c.stored.Planner.Epoch {
		return
	}
	c.clock = plannerClock{reading: c.stored.Clock, readAt: c.bootTime()}
}

// elapsed returns the time on the planners' clock.
func (c *control) elapsed() time.Duration {
	return c.clock.reading.Elapsed + c.bootTime() - c.clock.readAt
}

// elapsedAt converts a time of the planner to the planners' clock. The zero time remains zero.
func (c *control) elapsedAt(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return c.elapsed() + t.Sub(now)
}

// timeAt reverses elapsedAt.
func (c *control) timeAt(d time.Duration, now time.Time) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d - c.elapsed())
}

// recordClock records a reading of the planners' clock.
func (c *control) recordClock(now time.Time) {
	interval := clockInterval
	if c.plan.HasAbsences() {
		interval = absenceClockInterval
	}
	if now.Sub(c.plan.clockRecordedAt) < interval {
		return
	}
	c.plan.clockRecordedAt = now
	r, err := c.codec.PlannerClock(cfjob.PlannerClock{Epoch: c.plan.epoch, Elapsed: c.elapsed()})
	if err != nil {
		c.Log.Error().Err(err).Msg("reading of the planners' clock cannot be encoded; not recording it")
		return
	}
	c.plan.extraRecords = append(c.plan.extraRecords, r)
}

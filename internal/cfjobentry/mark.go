package cfjobentry

import (
	"time"

	"cranberryford/pkg/cfdispatch"
)

// maxDownTime is how long before its start an entry that has heard no planner assumes that the planner was down as well.
const maxDownTime = 10 * time.Second

// readMark is the newest mark of valid records, and when this entry read it by its boot clock.
type readMark struct {
	at     time.Time
	readAt time.Duration
}

// observeMark remembers when the newest mark was read.
func (c *control) observeMark() {
	if !c.stored.MarkedAt.Equal(c.mark.at) {
		c.mark = readMark{at: c.stored.MarkedAt, readAt: c.bootTime()}
	}
}

// recordsValid reports whether the records of agents are valid, see cfdispatch.RecordsValidFor.
func (c *control) recordsValid() bool { return c.recordsAge() <= cfdispatch.RecordsValidFor }

// recordsAge returns how long ago the records of agents were last marked as complete, or longer. While all
// processes are down, no start is sent. A mark is at least as old as the time since it was read, whatever
// the times of day of both machines are.
func (c *control) recordsAge() time.Duration {
	c.observeMark()
	now, since := c.Clock.Now(), c.stored.MarkedAt
	if down := c.startedAt.Sub(since); down > 0 && !c.heardPlanner {
		since = since.Add(min(down, maxDownTime))
	}
	return max(now.Sub(since).Abs(), c.bootTime()-c.mark.readAt)
}

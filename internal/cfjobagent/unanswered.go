package cfjobagent

import (
	"maps"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// unansweredStart is the last start of a task with an attempt that got no answer. The worker, or its
// next incarnation under the same ID, can execute the attempt until the time until.
type unansweredStart struct {
	run   uint64
	until time.Duration
}

// handleStartUnanswered remembers an unanswered attempt for the reports. The planner then starts the
// task on no other worker, and does not let its ends be acknowledged. A worker with another ID refuses
// the attempt.
func (c *control) handleStartUnanswered(ev startUnanswered) {
	if ev.worker != c.worker.ID {
		return
	}
	c.unanswered[ev.task] = unansweredStart{run: ev.run, until: ev.at + cfcore.MaxOrderDelay}
	c.reportAll = true
}

// mayStartLate reports whether an unanswered start of a task can still be executed.
func (c *control) mayStartLate(n cfcore.TaskName) bool {
	return c.bootClock.Now() < c.unanswered[n].until
}

// unansweredStarts returns the unanswered starts that can still be executed, and forgets the others.
func (c *control) unansweredStarts(now time.Duration) []cfwire.JobUnansweredStart {
	maps.DeleteFunc(c.unanswered, func(_ cfcore.TaskName, s unansweredStart) bool { return now >= s.until })
	var out []cfwire.JobUnansweredStart
	for n, s := range c.unanswered {
		out = append(out, cfwire.JobUnansweredStart{Task: n, Run: s.run, For: s.until - now})
	}
	return out
}

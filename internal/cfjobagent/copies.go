package cfjobagent

import (
	"context"
	"slices"
	"time"

	"cranberryford/pkg/cfwire"
)

// maxCopyAge bounds the age of the report that an order to start a copy is based on. The planner lags if the report is
// older, and the first run of the task has possibly ended.
const maxCopyAge = 450 * time.Millisecond

// stopOutdatedCopies removes the starts of copies from orders that are based on an old report. It stops their runs, so that
// the planner gets a result: another connection possibly delivered the order before.
func (c *control) stopOutdatedCopies(ctx context.Context, o *cfwire.JobOrders) {
	age := c.bootClock.Now() - time.Duration(o.AfterReport)
	if age <= maxCopyAge {
		return
	}
	o.Starts = slices.DeleteFunc(o.Starts, func(s cfwire.JobStart) bool {
		if !s.IsCopy {
			return false
		}
		c.Log.Info().Str("Job", s.Task.Job).Uint64("Run", s.Run).Dur("Age", age).Msg("copy of a run not started: the order is based on an old report")
		c.Scope.Counter("copies_outdated").Inc(1)
		c.stopRun(ctx, cfwire.JobStop{Task: s.Task, Run: s.Run})
		return true
	})
}

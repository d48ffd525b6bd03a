package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfwire"
)

// maxStaleWorkers limits the number of workers that one poll asks about.
const maxStaleWorkers = 100

// findStaleWorkers updates staleWorkers if this entry is the planner. A worker is stale if
// its agent has sent no report to this entry for half of Planner.Silence. staleWorkers holds
// at most maxStaleWorkers workers. Before the planner fences a worker, it asks the other
// entries, because the agent has possibly lost only its connection to the planner.
func (c *control) findStaleWorkers() {
	if !c.planning || c.state() == nil {
		c.staleWorkers.Store(nil)
		return
	}
	var stale []cfcore.WorkerID
	now := c.Clock.Now()
	for id := range c.state().Workers {
		v := c.workers[id]
		if v == nil || now.Sub(v.LastDirectReportAt) > c.cfg.Planner.Silence/2 {
			stale = append(stale, id)
		}
		if len(stale) == maxStaleWorkers {
			break
		}
	}
	c.staleWorkers.Store(&stale)
}

// directReports returns what this entry knows about the given workers. It omits a worker if
// the worker's agent has never sent a report directly to this entry, or sent the last one
// more than Planner.Silence ago. The field Age counts from the last direct report.
func (c *control) directReports(ids []cfcore.WorkerID) []cfwire.RelayedReport {
	var out []cfwire.RelayedReport
	now := c.Clock.Now()
	for _, id := range ids {
		v := c.workers[id]
		if v == nil || v.LastDirectReportAt.IsZero() || now.Sub(v.LastDirectReportAt) > c.cfg.Planner.Silence {
			continue
		}
		out = append(out, cfwire.RelayedReport{
			Worker: id, Instance: v.Instance, Runs: v.Runs, Leaving: v.Leaving, Age: now.Sub(v.LastDirectReportAt),
			About: cfwire.WorkerInfo{DataCentre: v.DataCentre, Rack: v.Rack, Capacity: v.Capacity},
		})
	}
	return out
}

// mergeReports takes reports from another entry's poll answer. It stores a report if this
// entry has no report about the worker, or only an older one. polledAt is when this entry
// sent the poll. A report counts as received at polledAt minus the report's age. This is
// never later than when the other entry received the report, because that entry measured the
// age after polledAt.
func (c *control) mergeReports(reports []cfwire.RelayedReport, polledAt time.Time) {
	for i := range reports {
		r := &reports[i]
		reportedAt := polledAt.Add(-r.Age)
		v := c.workers[r.Worker]
		if v != nil && !v.LastReportAt.Before(reportedAt) {
			continue
		}
		merged := &cfschedule.WorkerView{
			Worker: r.Worker, Instance: r.Instance, DataCentre: r.About.DataCentre, Rack: r.About.Rack,
			Capacity: r.About.Capacity, Runs: r.Runs, LastReportAt: reportedAt, Leaving: r.Leaving,
		}
		if v != nil {
			merged.LastDirectReportAt = v.LastDirectReportAt
		}
		c.workers[r.Worker] = merged
	}
}

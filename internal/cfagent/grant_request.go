package cfagent

import (
	"reflect"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// withoutUsageTimes returns a copy of runs without UsageAt, which changes with every
// measurement.
func withoutUsageTimes(runs []cfcore.Run) []cfcore.Run {
	out := make([]cfcore.Run, len(runs))
	for i, r := range runs {
		out[i] = r
		out[i].UsageAt = 0
	}
	return out
}

// requestGrants requests a grant from each connected entry.
func (c *control) requestGrants() {
	for l := range c.links {
		c.requestGrant(l)
	}
}

// requestGrant sends a grant request to one entry. The request carries the WorkerInfo and
// the report if they have changed since the last request. If the entry grants a lease, the
// lease starts at the worker uptime that is recorded here in uptimes.
func (c *control) requestGrant(l *controlLink) {
	if !c.vmKnown {
		return
	}
	l.seq++
	l.uptimes[l.seq] = c.vmReport.Uptime
	m := &cfwire.GrantRequest{
		Seq: l.seq, Instance: c.vmReport.Instance, Leaving: c.leaving, Have: c.desiredOffset,
	}
	workerInfo := cfwire.WorkerInfo{DataCentre: c.cfg.DataCentre, Rack: c.cfg.Rack, Capacity: c.vmReport.Capacity}
	if l.sentWorkerInfo != workerInfo {
		l.sentWorkerInfo = workerInfo
		m.About = &workerInfo
	}
	c.refreshReport()
	if l.sentReportVersion != c.reportVersion {
		l.sentReportVersion = c.reportVersion
		report := c.lastReport
		m.Report = &report
	}
	if err := l.conn.Send(&cfwire.Message{GrantRequest: m}); err != nil {
		// No retry is needed here. The receive loop detects that the connection has ended,
		// and the agent sends a new request after it has reconnected.
		c.Scope.Counter("asks_unsent").Inc(1)
	}
}

// refreshReport updates lastReport and its version, and returns whether the report has
// changed. Until CheckpointEvery has passed since the last change of the report, the active
// runs in the report keep their old checkpoints and usage. Otherwise these values, which
// change often, would cause a new version each time.
func (c *control) refreshReport() bool {
	report := cfwire.Report{Runs: c.allRuns(), Targets: c.targets.list()}
	if c.reportVersion != 0 && c.Clock.Since(c.reportedAt) < c.cfg.CheckpointEvery {
		c.keepOldCheckpoints(report.Runs)
	}
	if c.reportVersion != 0 && reflect.DeepEqual(report, c.lastReport) {
		return false
	}
	c.lastReport = report
	c.reportedAt = c.Clock.Now()
	c.reportVersion++
	return true
}

// keepOldCheckpoints replaces the checkpoints and usage of active runs by the values in
// the last report.
func (c *control) keepOldCheckpoints(runs []cfcore.Run) {
	last := make(map[cfcore.Assignment]*cfcore.Run, len(c.lastReport.Runs))
	for i := range c.lastReport.Runs {
		last[c.lastReport.Runs[i].Assignment] = &c.lastReport.Runs[i]
	}
	for i := range runs {
		if old := last[runs[i].Assignment]; old != nil && !runs[i].State.Ended() {
			runs[i].Checkpoint = old.Checkpoint
			runs[i].Usage = old.Usage
		}
	}
}

// allRuns returns the runs on the worker and the results of the runs that never started.
func (c *control) allRuns() []cfcore.Run {
	runs := withoutUsageTimes(c.vmReport.Runs)
	reported := map[cfcore.Assignment]bool{}
	for _, r := range runs {
		reported[r.Assignment] = true
	}
	for a, r := range c.unstarted {
		if !reported[a] {
			runs = append(runs, r)
		}
	}
	return runs
}

package cfagent

import (
	"reflect"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// summary leaves out of a list of runs what changes all the time.
func summary(runs []cfcore.Run) []cfcore.Run {
	out := make([]cfcore.Run, len(runs))
	for i, r := range runs {
		out[i] = r
		out[i].UsageAt = 0
	}
	return out
}

func (c *control) askAll() {
	for l := range c.links {
		c.ask(l)
	}
}

// ask sends a question for lease time. The lease will count from the worker's
// uptime as it was known before the question was sent.
func (c *control) ask(l *controlLink) {
	if !c.vmKnown {
		return
	}
	l.seq++
	l.bases[l.seq] = c.report.Uptime
	m := &cfwire.Ask{
		Seq: l.seq, Instance: c.report.Instance, Leaving: c.leaving, Have: c.have,
	}
	about := cfwire.About{DataCentre: c.cfg.DataCentre, Rack: c.cfg.Rack, Capacity: c.report.Capacity}
	if l.about != about {
		l.about = about
		m.About = &about
	}
	c.refreshReport()
	if l.reported != c.reportNo {
		l.reported = c.reportNo
		sent := c.sent
		m.Report = &sent
	}
	if err := l.conn.Send(&cfwire.Message{Ask: m}); err != nil {
		// The receive loop of the connection reports its end.
		c.Scope.Counter("asks_unsent").Inc(1)
	}
}

// refreshReport numbers the report anew where it has changed, and reports whether
// it has. New checkpoints alone are held back for a while: they come often.
func (c *control) refreshReport() bool {
	next := cfwire.Report{Runs: c.allRuns(), Targets: c.targets.list()}
	if c.reportNo != 0 && c.Clock.Since(c.reportedAt) < c.cfg.CheckpointEvery {
		c.keepCheckpoints(next.Runs)
	}
	if c.reportNo != 0 && reflect.DeepEqual(next, c.sent) {
		return false
	}
	c.sent = next
	c.reportedAt = c.Clock.Now()
	c.reportNo++
	return true
}

// keepCheckpoints puts the checkpoints that were reported last in place of newer
// ones, for runs that still execute.
func (c *control) keepCheckpoints(runs []cfcore.Run) {
	last := make(map[cfcore.Assignment]*cfcore.Run, len(c.sent.Runs))
	for i := range c.sent.Runs {
		last[c.sent.Runs[i].Assignment] = &c.sent.Runs[i]
	}
	for i := range runs {
		if old := last[runs[i].Assignment]; old != nil && !runs[i].State.Ended() {
			runs[i].Checkpoint = old.Checkpoint
			runs[i].Usage = old.Usage
		}
	}
}

func (c *control) allRuns() []cfcore.Run {
	runs := summary(c.report.Runs)
	known := map[cfcore.Assignment]bool{}
	for _, r := range runs {
		known[r.Assignment] = true
	}
	for a, r := range c.refused {
		if !known[a] {
			runs = append(runs, r)
		}
	}
	return runs
}

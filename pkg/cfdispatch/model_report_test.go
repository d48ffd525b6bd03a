package cfdispatch_test

import (
	"slices"
	"time"

	"cranberryford/pkg/cfwire"
)

// redialAfter is how long a connection is silent before an agent gives it up, as in
// internal/cfjobagent.
const redialAfter = 800 * time.Millisecond

// lateReport is a report that is held back on a former connection to a planner until the time
// at.
type lateReport struct {
	p       *modelPlanner
	a       *modelAgent
	r       *cfwire.JobReport
	takenAt time.Time
	at      time.Time
}

// nextEntry draws which entry becomes the planner. An entry that is the planner again ends its
// former term.
func (m *model) nextEntry() int {
	if !m.scope.lateReports {
		return 0
	}
	e := 1 + m.uniform(2, "entry")
	for _, p := range m.planners {
		if p.entry == e {
			p.confirmedAt = time.Time{}
		}
	}
	return e
}

// acceptInstance makes a planner ignore what earlier instances of an agent have sent.
func (p *modelPlanner) acceptInstance(a *modelAgent) {
	if p.instances[a.name] != a {
		p.instances[a.name], p.lastReports[a.name] = a, 0
		p.BeginInstance(a.name)
	}
}

// applyReport passes a report to a planner.
func (m *model) applyReport(p *modelPlanner, a *modelAgent, r *cfwire.JobReport) {
	m.traceReport(p, a, r)
	p.ApplyReport(m.now, a.name, r)
	p.lastReports[a.name] = max(p.lastReports[a.name], r.Seq)
}

// holdsBack draws whether the report that an agent writes now is held back on its connection to
// a planner. An agent that was cut from the planner writes until it gives the connection up.
func (m *model) holdsBack(p *modelPlanner, a *modelAgent) bool {
	if !m.scope.lateReports || m.isDisconnected(p, a) && (a.epoch != p.epoch || m.now.Sub(p.reachedAt[a.name]) >= redialAfter) {
		return false
	}
	return m.oneIn(3, "held back")
}

// holdBack takes a report that arrives late. Until then, its results are lost for the planner.
// The agent does not get the answer to its request.
func (m *model) holdBack(p *modelPlanner, a *modelAgent) {
	m.lateReports = append(m.lateReports, lateReport{p: p, a: a, r: a.takeReport(), takenAt: m.now, at: m.now.Add(m.ticks(5, "held for"))})
}

// dropLateReports drops the late reports that arrived at entries without authority.
func (m *model) dropLateReports() {
	m.lateReports = slices.DeleteFunc(m.lateReports, func(l lateReport) bool { return l.at.Before(m.now) })
}

// applyLateReports passes a planner the late reports that have arrived. It ignores those of
// earlier instances of the agents and those that were sent to an earlier term of the entry.
func (m *model) applyLateReports(p *modelPlanner) {
	remaining := m.lateReports[:0]
	for _, l := range m.lateReports {
		if l.p.entry != p.entry || l.p.epoch > p.epoch || m.now.Before(l.at) {
			remaining = append(remaining, l)
			continue
		}
		if l.r.Epoch < p.epoch && !m.faults.applyEarlier {
			continue
		}
		if p.instances[l.a.name] == nil {
			p.acceptInstance(l.a)
		}
		if p.instances[l.a.name] != l.a {
			continue
		}
		m.tracef("planner %d: a report of %s from %.1f arrives late, lost %v, with leases expired %v, newer one applied %v", p.epoch, l.a.name,
			l.takenAt.Sub(epochStart).Seconds(), l.r.Lost != nil, l.r.Lost != nil && l.r.Lost.LeasesExpired, l.r.Seq < p.lastReports[l.a.name])
		if m.faults.applyLate {
			p.BeginInstance(l.a.name)
		}
		m.applyReport(p, l.a, l.r)
	}
	m.lateReports = remaining
}

package cfdispatch

import "cranberryford/pkg/cfwire"

// Outdated is the reason why a report is not applied; empty if it is applied.
type Outdated string

const (
	// UpToDate is a report that is applied.
	UpToDate Outdated = ""
	// OutdatedSequence is a report that arrived after a newer one, on another connection.
	OutdatedSequence Outdated = "a newer report was applied"
	// OutdatedEpoch is a report that was sent to the planner of an earlier epoch.
	OutdatedEpoch Outdated = "sent in an earlier epoch"
)

// BeginInstance marks that an agent has another instance, with sequence numbers of its own. The
// worker counts as unreachable until that instance reports it: the instance cannot tell whether a start
// that names none of its reports is outdated.
func (p *Planner) BeginInstance(agent string) {
	if _, hasReported := p.lastReports[agent]; hasReported {
		p.restartedAgents[agent] = true
	}
	delete(p.lastReports, agent)
	if w := p.workers[agent]; w != nil {
		w.isUnreachable, w.awaitsInstance = true, true
		p.bindAwaited(w)
		w.instance++
	}
}

// LastReport returns the sequence number of the newest applied report of an agent's instance, or 0.
func (p *Planner) LastReport(agent string) uint64 { return p.lastReports[agent] }

// checkOrder returns whether a report is outdated, and remembers its sequence number if not.
func (p *Planner) checkOrder(agent string, m *cfwire.JobReport) Outdated {
	if m.Seq < p.lastReports[agent] {
		return OutdatedSequence
	}
	p.lastReports[agent] = m.Seq
	return UpToDate
}

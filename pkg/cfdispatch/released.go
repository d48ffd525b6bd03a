package cfdispatch

import (
	"slices"
	"time"
)

// releaseEmptyWorkers returns the agents on record whose workers are draining, and can have no runs and no
// ends that later planners must know of. Later planners need not wait for them. An agent gets no
// starts until it is on record again, which is once its worker does not drain any more.
func (p *Planner) releaseEmptyWorkers(now time.Time) []GoneAgent {
	var out []GoneAgent
	for _, w := range p.fleet {
		if !w.isRecorded || w.hasLeft || p.earlierPlannerMayStart(now) || !p.isEmpty(w) {
			continue
		}
		w.isRecorded, w.isRecordedLate, w.isReleased = false, false, true
		p.unrecordedAgents[w.agent] = true
		delete(p.inheritedRecords, w.agent)
		out = append(out, GoneAgent{Agent: w.agent, IsEmpty: true})
	}
	return out
}

// isEmpty reports whether a worker is draining, and has neither runs nor ends that are not recorded.
func (p *Planner) isEmpty(w *worker) bool {
	if !w.state.Draining || !w.hasListed || w.lacksRuns || w.isUnreachable || p.expectedAgents[w.agent] || p.mayExecuteStarts(w) {
		return false
	}
	return len(w.runs) == 0 && len(w.unsettled.running) == 0 && !p.hasUnrecordedEnds(w)
}

// hasUnrecordedEnds reports whether ends of the worker's incarnations are not recorded.
func (p *Planner) hasUnrecordedEnds(w *worker) bool {
	return !w.ends.isRecorded() || slices.ContainsFunc(p.formerEnds, func(f *formerEnds) bool {
		return f.w.agent == w.agent && !f.ends.isRecorded()
	})
}

// isRecorded reports whether all ends are recorded.
func (u *endedRuns) isRecorded() bool { return len(u.postponed) == 0 && u.lastEnd <= u.recordedEnd }

// needsRecord reports whether an agent must be on record. One that was taken off the record has got no starts
// since, even if its worker does not respond any more.
func (p *Planner) needsRecord(agent string) bool {
	w := p.workers[agent]
	if w == nil || p.inheritedRecords[agent] {
		return true
	}
	staysReleased := w.isReleased && w.state.Draining && len(w.runs) == 0 && len(w.unsettled.running) == 0
	return !staysReleased && !p.isEmpty(w)
}

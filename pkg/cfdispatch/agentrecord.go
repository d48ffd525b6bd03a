package cfdispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// lateAfter is how long a start has no result before its agent is recorded to have a late start. Only
	// what is recorded is known to a later planner if the agent restarts as well.
	lateAfter = 200 * time.Millisecond
	// minLateRecord is the minimum time between two records of an agent.
	minLateRecord = 5 * time.Second
	// silentAfter is how long a new planner waits for an agent's report before the agent is recorded to
	// have late starts: an earlier planner can still order starts from it.
	silentAfter = time.Second
	// recordDelay is how long after an order a late start is on record, if the store answers.
	recordDelay = lateAfter + scanInterval + 50*time.Millisecond
	// RecordsValidFor is how long the records of agents are valid after the planner last recorded anything.
	// After that, a late start is possibly not on record.
	RecordsValidFor = 5 * time.Second
)

// AgentRecord is a change of an agent's record. HasLateStarts is set if the agent's worker, or its next
// incarnation under the same ID, can still execute starts that got no answer.
type AgentRecord struct {
	Agent         string
	HasLateStarts bool
}

// SetAnswered tells a new planner that an agent had no late starts according to its valid record. If
// another instance of the agent reports that started before this planner's claim, there are none that this
// planner does not know of. Later ones are not on record, unless the planner before had ended: the store refuses what it
// records.
func (p *Planner) SetAnswered(agent string) {
	by := p.cfg.ClaimedAt.Add(-recordDelay)
	if p.cfg.PredecessorEnded {
		by = time.Time{}
	}
	p.bindings.answered[agent] = by
	delete(p.bindings.recordedLate, agent)
}

// IgnoreRecord tells a new planner that an agent's record cannot be decoded: it was written by another
// writer, so that it names no starts. The planner waits for the agent's run lists nevertheless.
func (p *Planner) IgnoreRecord(agent string) {
	delete(p.bindings.unknown, agent)
	p.SetAnswered(agent)
}

// TakeAgentRecords returns the changes of agents' records since it last returned any. It scans for them every
// scanInterval.
func (p *Planner) TakeAgentRecords(now time.Time) []AgentRecord {
	if now.Sub(p.lastRecordScan) < scanInterval {
		return nil
	}
	p.lastRecordScan = now
	var out []AgentRecord
	if p.recordingSince.IsZero() {
		p.recordingSince = now
	}
	for _, a := range slices.Sorted(maps.Keys(p.bindings.unknown)) {
		if p.workers[a] == nil && !p.bindings.recordedLate[a] && now.Sub(p.recordingSince) >= silentAfter {
			p.bindings.recordedLate[a] = true
			out = append(out, AgentRecord{Agent: a, HasLateStarts: true})
		}
	}
	for _, w := range p.fleet {
		isLate := p.hasLateStarts(now, w)
		if !w.isRecorded || isLate == w.isRecordedLate || !isLate && now.Sub(w.lateRecordedAt) < minLateRecord {
			continue
		}
		w.isRecordedLate, w.lateRecordedAt = isLate, now
		out = append(out, AgentRecord{Agent: w.agent, HasLateStarts: isLate})
	}
	return out
}

func (p *Planner) hasLateStarts(now time.Time, w *worker) bool {
	for r := range w.runs {
		if r.awaitsResult && now.Sub(r.sentAt) >= lateAfter {
			return true
		}
	}
	return p.hasLateBindings(w)
}

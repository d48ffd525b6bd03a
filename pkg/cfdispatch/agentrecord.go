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
	// RecordsValidFor is how long the records of agents are valid after they were last marked as complete.
	// After that, a late start is possibly not on record.
	RecordsValidFor = 5 * time.Second
	// maxMarkGap is how long before the claim the records of a planner that has ended were last marked as complete, if
	// the store took its records until then. Marks are a second apart, and a new planner has none in its first second.
	maxMarkGap = 3 * time.Second
)

// AgentRecord is a change of an agent's record. HasLateStarts is set if the agent's worker, or its next
// incarnation under the same ID, can still execute starts that got no answer.
type AgentRecord struct {
	Agent         string
	HasLateStarts bool
}

// SetAnswered tells a new planner that an agent had no late starts according to its valid record. If another instance
// of the agent reports, there are none that this planner does not know of, unless that instance started after
// recordsCompleteBefore.
func (p *Planner) SetAnswered(agent string) {
	p.bindings.answered[agent] = p.recordsCompleteBefore()
	delete(p.bindings.recordedLate, agent)
}

// SetOutdated tells a new planner that an agent had no late starts according to a record that is not valid any more. The
// record has to be changed if the agent can have late starts.
func (p *Planner) SetOutdated(agent string) { delete(p.bindings.recordedLate, agent) }

// recordsCompleteBefore returns when an instance of an agent must have started for the records to have all late starts
// of the instances before it. Those after the last mark of the planner before are possibly not on record, and those after
// the claim are not: the store refuses them. The time is zero if the planner before had ended, and had marked its records
// until then.
func (p *Planner) recordsCompleteBefore() time.Time {
	by := p.cfg.ClaimedAt
	if at := p.cfg.RecordedAt; !at.IsZero() && at.Before(by) {
		by = at
	}
	if p.cfg.PredecessorEnded && p.cfg.ClaimedAt.Sub(by) <= maxMarkGap {
		return time.Time{}
	}
	return by.Add(-recordDelay)
}

// AreAgentRecordsComplete reports whether TakeAgentRecords has returned all late starts that earlier planners can have
// left. Those of an agent that does not report are on record after silentAfter.
func (p *Planner) AreAgentRecordsComplete() bool {
	if p.recordingSince.IsZero() {
		return false
	}
	if p.lastRecordScan.Sub(p.recordingSince) >= silentAfter {
		return true
	}
	for a := range p.bindings.unknown {
		if w := p.workers[a]; w == nil && !p.bindings.recordedLate[a] || w != nil && !w.isRecordedLate {
			return false
		}
	}
	return true
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
		if !w.isOnRecord() || isLate == w.isRecordedLate || !isLate && now.Sub(w.lateRecordedAt) < minLateRecord {
			continue
		}
		w.isRecordedLate, w.lateRecordedAt = isLate, now
		out = append(out, AgentRecord{Agent: w.agent, HasLateStarts: isLate})
	}
	return out
}

func (p *Planner) hasLateStarts(now time.Time, w *worker) bool {
	for r := range w.runs {
		if r.awaitsResult && now.Sub(r.awaitsSince) >= lateAfter {
			return true
		}
	}
	return p.hasLateBindings(w)
}

package cfdispatch_test

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfdispatch"
)

// modelAppend is an append of a planner's batch that the store carries out at the time at. The
// planner repeats it until it has the answer. The repetitions have no effect, so that only the first
// one is modeled.
type modelAppend struct {
	p          *modelPlanner
	sentAt, at time.Time
	isStored   bool
	answeredAt time.Time
}

// appendLate lets the store carry out a planner's batch late, answer it late, or both.
func (m *model) appendLate(p *modelPlanner) {
	a := &modelAppend{p: p, sentAt: m.now, at: m.now.Add(m.ticks(4, "stored after"))}
	if m.oneIn(1, "stored at once") {
		a.at = m.now
	}
	a.answeredAt = a.at.Add(m.ticks(4, "answered after"))
	m.tracef("the answer to a record is late until %.1f", a.answeredAt.Sub(epochStart).Seconds())
	p.append, m.appends = a, append(m.appends, a)
	m.runAppends()
}

// runAppends carries out the appends that are due. The store rejects those of planners that another
// one has superseded.
func (m *model) runAppends() {
	remaining := m.appends[:0]
	for _, a := range m.appends {
		switch {
		case a.p != m.planners[len(m.planners)-1]:
			m.tracef("the store rejects a record of planner %d", a.p.epoch)
		case m.now.Before(a.at) || m.now.Before(m.storeDownUntil):
			remaining = append(remaining, a)
		default:
			if m.now.After(a.at) || a.at.After(a.sentAt) {
				m.tracef("the store carries out a record of planner %d late", a.p.epoch)
			}
			m.store(a.p)
			a.isStored, a.answeredAt = true, maxTime(m.now, a.answeredAt)
		}
	}
	m.appends = remaining
}

// repeatAcknowledgement makes a planner tell an agent that it reaches again which ends are recorded.
func (m *model) repeatAcknowledgement(p *modelPlanner, a *modelAgent) {
	if (m.scope.lateStore || m.scope.oneWayCuts) && p.isCut[a.name] {
		p.RepeatAcknowledgement(a.name)
	}
}

// store carries out the batch of a planner.
func (m *model) store(p *modelPlanner) {
	for _, u := range p.progress {
		if u.Progress == nil {
			m.tracef("planner %d: the batch is full before job %s", p.epoch, u.ID[12:])
			continue
		}
		m.jobs[u.ID].Progress = u.Progress
		m.markRecorded(u)
		m.tracef("planner %d records progress of job %s", p.epoch, u.ID[12:])
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// record records progress, ended runs and agents. The store accepts only the records of the
// newest planner. A planner has one batch at a time.
func (m *model) record(p *modelPlanner, gone []string) {
	isNewest := p == m.planners[len(m.planners)-1]
	accepts := isNewest && !m.now.Before(m.storeDownUntil)
	for _, name := range gone {
		if isNewest {
			delete(m.recordedAgents, name)
			delete(m.lateAgents, name)
		}
	}
	m.dropBusy(isNewest)
	if accepts {
		for _, r := range p.TakeAgentRecords(m.now) {
			m.lateAgents[r.Agent] = r.HasLateStarts
			m.tracef("%s is recorded to have late starts: %v", r.Agent, r.HasLateStarts)
		}
		if p.AreAgentRecordsComplete() {
			m.markedAt = m.now
		}
	}
	m.recordAbsences(p, accepts)
	for _, name := range p.UnrecordedAgents() {
		if accepts {
			m.recordedAgents[name], p.recordedAgents[name] = true, true
		}
		if p.recordedAgents[name] {
			p.MarkAgentRecorded(name)
		}
	}
	if p.append != nil && p.append.isStored && !m.now.Before(p.append.answeredAt) {
		p.MarkEndsRecorded(p.ends)
		p.progress, p.ends, p.append = nil, nil, nil
	}
	if !isNewest || p.append != nil {
		return
	}
	if p.progress == nil && p.ends == nil {
		p.progress, p.ends = p.TakeUnrecordedProgress(m.now, !m.scope.lateStore)
	}
	if m.faults.ackUnrecorded {
		p.MarkEndsRecorded(p.ends)
	}
	if !accepts && len(p.progress) > 0 {
		return
	}
	slices.SortFunc(p.progress, func(a, b cfdispatch.JobProgress) int { return cmp.Compare(a.ID, b.ID) })
	if len(p.progress) > 0 && m.scope.lateStore && m.oneIn(1, "late record") {
		m.appendLate(p)
		return
	}
	m.store(p)
	p.MarkEndsRecorded(p.ends)
	p.progress, p.ends = nil, nil
}

package cfdispatch_test

import (
	"fmt"
	"time"

	"cranberryford/pkg/cfjob"
)

// submit passes a new job to the newest planner.
func (m *model) submit(i int) {
	id := fmt.Sprintf("%016x", i)
	e := &cfjob.StoredJob{Job: &cfjob.Job{ID: id, Queue: queue, Steps: []cfjob.Step{newStep(2, 1000)}, Accepted: m.now}}
	if m.scope.jobKinds {
		m.drawKind(e.Job)
	}
	if m.scope.largeProgress || m.scope.checkpoints && m.oneIn(1, "checkpoints") {
		e.Job.Steps[0].Checkpointing = true
	}
	if m.scope.lasting && m.oneIn(3, "lasting") {
		e.Job.Steps = []cfjob.Step{newStep(1, 1000)}
		e.Job.Steps[0].LongRunning = true
	}
	m.jobs[id] = e
	m.taskTicks[id] = shortTask
	if !m.scope.fullPhases && m.oneIn(2, "long") {
		m.taskTicks[id] = longTask
	}
	for i, p := range m.planners {
		// Entries that do not know the newest planner yet send the job to an earlier one.
		isNewest := i == len(m.planners)-1
		if !isNewest && (m.now.Sub(p.confirmedAt) >= leadershipTime || m.oneIn(1, "unsent")) {
			continue
		}
		u := unreadJob{job: e, storedAt: m.now, readAt: m.now}
		if isNewest && m.oneIn(1, "unread") {
			u.readAt = m.now.Add(m.ticks(5, "read"))
		}
		p.jobs = append(p.jobs, u)
	}
}

// readJobs passes a planner the jobs that it has read by now.
func (m *model) readJobs(p *modelPlanner) {
	readTo := p.confirmedAt
	remaining := p.jobs[:0]
	for _, u := range p.jobs {
		if m.now.Before(u.readAt) {
			remaining = append(remaining, u)
			readTo = minTime(readTo, u.storedAt)
			continue
		}
		// The planner reads a job with the first read that was sent after the job was stored.
		confirmed := minTime(p.confirmedAt, u.storedAt)
		inherited := !confirmed.After(p.electedAt.Add(leadershipTime)) && !m.faults.newJobsAtOnce
		p.AddJob(m.now, u.job, queue, inherited)
		m.tracef("planner %d reads job %s", p.epoch, u.job.Job.ID[12:])
	}
	p.jobs = remaining
	if m.faults.skipUnknownJobs {
		readTo = m.now.Add(time.Hour)
	}
	p.MarkStoreRead(readTo)
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// injectFault replaces the planner, disconnects an agent from a planner, or does nothing.
func (m *model) injectFault() {
	bits := 6
	if len(m.agentsNearExpiry()) > 0 {
		bits = 3
	}
	if m.scope.fewTakeovers {
		bits = 8
	}
	if m.oneIn(bits, "elect") {
		m.electPlanner()
	}
	if m.oneIn(4, "disconnect") {
		// Planners without authority send nothing.
		p := m.planners[max(0, len(m.planners)-1-m.uniform(1, "planner"))]
		m.disconnect(p, m.agents[m.uniform(4, "agent")%len(m.agents)])
	}
}

// agentsNearExpiry returns the agents that the newest planner has not reached for so long that
// it will soon count the leases on their workers as expired. A takeover then is of interest:
// the earlier planner can count leases as expired that the new one lets the agents extend.
func (m *model) agentsNearExpiry() map[*modelAgent]bool {
	out := map[*modelAgent]bool{}
	if len(m.planners) == 0 {
		return out
	}
	p := m.planners[len(m.planners)-1]
	for _, a := range m.agents {
		if left := p.reachedAt[a.name].Add(settings.LeaseExpiryTime()).Sub(m.now); left > 0 && left < leadershipTime {
			out[a] = true
		}
	}
	return out
}

// injectDisruption injects a disruption of the scope, or does nothing.
func (m *model) injectDisruption() {
	s := m.scope
	isLate := s.lateStarts || s.lateStops || s.lateHolds
	disturbs := s.workerCuts || isLate
	if !disturbs && !s.workerRestarts && !s.agentRestarts && !s.storeOutages && !s.stalls && !s.flaps {
		return
	}
	if !m.oneIn(3, "disruption") {
		return
	}
	kind, i := m.uniform(3, "kind"), m.uniform(4, "agent")%len(m.agents)
	a, w := m.agents[i], m.workers[i]
	switch {
	case kind <= 1 && disturbs:
		until := m.now.Add(m.ticks(6, "disturbed"))
		first, last := loseCalls, loseAllAnswers
		if isLate {
			first = loseSomeAnswers
		}
		if s.workerCuts {
			last = loseCalls
		}
		d := first + disturbance(m.uniform(4, "disturbance")%(int(last-first)+1))
		m.disturb(w, until, d)
	case kind == 2 && s.leaves:
		a.leaveWorker(w.born)
		m.links[a.name] = &modelLink{disturbedUntil: m.now.Add(m.ticks(5, "gone")), disturbance: loseCalls}
		w.restart()
	case (kind == 2 || kind == 3) && s.workerRestarts && !w.isDown():
		w.crash()
	case kind == 4 && s.agentRestarts:
		m.agents[i] = newModelAgent(m, w)
		m.tracef("agent %s restarts", a.name)
		if s.clockSteps && m.oneIn(1, "with its worker") {
			w.crash()
		}
		if s.lateCheckIns && m.oneIn(1, "late check-in") {
			m.agents[i].getLateCheckIn()
		}
		if s.formerCheckIns && m.oneIn(1, "late check-in") {
			m.agents[i].getCheckInOfFormerLife()
		}
	case kind == 5 && s.storeOutages:
		m.storeDownUntil = m.now.Add(m.ticks(6, "outage"))
		m.tracef("store refuses records until %.1f", m.storeDownUntil.Sub(epochStart).Seconds())
	case kind == 6 && s.flaps:
		w.unhealthyUntil = m.now.Add(m.ticks(6, "unhealthy"))
		m.tracef("%s: refuses starts and fails runs by turns until %.1f", w.name, w.unhealthyUntil.Sub(epochStart).Seconds())
	case kind >= 6 && s.stalls:
		w.stalledUntil = m.now.Add(m.ticks(6, "stalled"))
		m.tracef("%s: runs make no progress until %.1f", w.name, w.stalledUntil.Sub(epochStart).Seconds())
	}
}

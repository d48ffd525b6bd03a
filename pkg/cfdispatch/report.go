package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// Report applies an agent's report.
func (p *Planner) Report(now time.Time, agent string, m *cfwire.JobReport) {
	w := p.workers[agent]
	if w == nil {
		w = &worker{agent: agent, runs: map[*run]bool{}}
		p.addWorker(w)
	}
	if !w.usable(now, p.cfg.SuspectAfter) {
		p.changed = true
	}
	w.reportedAt = now
	if m.Worker != nil {
		p.updateWorker(now, w, *m.Worker)
	}
	w.isUnreachable = m.Lost != nil
	if m.Lost != nil && (m.Lost.Lapsed || m.Lost.Left) {
		p.expireRuns(now, w)
		w.hasListed = false
		delete(p.expected, agent)
	}
	if m.Lost != nil && m.Lost.Left {
		p.markLeft(w)
	}
	if m.Lists != nil {
		p.applyLists(now, w, m.Lists)
	}
	// The lists are as new as the results, so a run that has ended is already handled.
	for _, r := range m.Results {
		p.applyResult(now, w, r)
	}
}

// markLeft records that a worker has left. Later planners need not wait for its agent.
func (p *Planner) markLeft(w *worker) {
	if !w.left {
		p.gone = append(p.gone, GoneAgent{Agent: w.agent, Left: true})
	}
	w.recorded, w.left = false, true
	delete(p.unrecordedAgents, w.agent)
}

// updateWorker applies a worker's reported state. A new incarnation has lost all runs of the
// previous one.
func (p *Planner) updateWorker(now time.Time, w *worker, s cfcore.WorkerState) {
	if s.Born.Before(w.state.Born) {
		return
	}
	if s.Born.After(w.state.Born) {
		p.replaceIncarnation(now, w, s.ID)
		w.hasListed, w.lastEnd, w.recordedEnd, w.ackedEnd = false, 0, 0, 0
		w.failures = failureStreak{}
		if w.left {
			w.left = false
			p.unrecordedAgents[w.agent] = true
		}
	}
	w.state = s
	p.changed, p.lastScan = true, time.Time{}
	w.drainDeadline = now.Add(s.Remaining)
}

// applyResult applies the result of an order.
func (p *Planner) applyResult(now time.Time, w *worker, res cfwire.JobOrderResult) {
	r := p.findRun(w, res.Task, res.Run)
	switch {
	case r == nil:
	case res.Refusal == "":
		if r.phase == starting {
			r.phase, r.startedAt = running, now
		}
	case r.phase != running:
		p.addEvent(Event{Kind: EventDropped, Agent: w.agent, Task: res.Task, Run: res.Run, Refusal: res.Refusal})
		p.drop(r)
		switch res.Refusal {
		case cfcore.ExecutorNoTicket:
			r.task.forgetTicket(w)
			return
		case cfcore.ExecutorUnhealthy:
			w.failures.addFailure(now, res.Task.Job)
		}
		w.refusedAt = now
	}
}

func (p *Planner) findRun(w *worker, n cfcore.TaskName, id uint64) *run {
	t := p.lookup(n)
	if t == nil {
		return nil
	}
	for _, r := range t.runs {
		if r.id == id && r.w == w {
			return r
		}
	}
	return nil
}

// drop removes a run that does not exist and can no longer start.
func (p *Planner) drop(r *run) {
	p.changed = true
	r.w.remove(r)
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
		r.task.j.liveRuns--
	}
}

// applyLists applies a worker's lists of running and ended runs.
func (p *Planner) applyLists(now time.Time, w *worker, l *cfcore.RunLists) {
	if l.Born.Before(w.state.Born) {
		return
	}
	if !w.hasListed {
		w.tailsUnchecked = true
	}
	w.hasListed, w.isUnreachable = true, false
	if p.expected[w.agent] {
		delete(p.expected, w.agent)
		p.changed = true
	}
	for _, row := range l.Running {
		p.applyRunning(now, w, row)
	}
	p.learnInterference(now, w)
	p.enforceTailTargets(now, w)
	for _, e := range l.Ended {
		if e.Number <= w.lastEnd {
			continue
		}
		p.applyEnded(now, w, e)
		w.lastEnd = e.Number
	}
}

// applyRunning applies a listed running run. A run that this planner did not start was started
// by an earlier planner and is adopted.
func (p *Planner) applyRunning(now time.Time, w *worker, row cfcore.RunningTask) {
	t := p.lookup(row.Task)
	if t == nil {
		p.stopUnknown(w, row)
		return
	}
	r := p.findRun(w, row.Task, row.Run)
	if r == nil && len(t.runs) > 0 && !t.step.Duplicable {
		p.stopUnknown(w, row)
		return
	}
	if r == nil {
		r = &run{task: t, id: row.Run, w: w, phase: running, startedAt: now, speedPercent: unknownPercent}
		t.runs = append(t.runs, r)
		t.j.liveRuns++
		w.add(r)
		p.markStarted(now, t.j)
		p.addRunEvent(EventAdopted, r, now)
	}
	if r.phase == starting {
		r.phase = running
	}
	r.updateProgress(now, row.Percent)
	r.gauge = row.Gauge
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if t.done || t.j.isOver() {
		p.stop(r)
	}
}

// stopUnknown orders the stop of a listed run whose job is unknown or has ended, or whose task
// already has another run.
func (p *Planner) stopUnknown(w *worker, row cfcore.RunningTask) {
	o := p.ordersFor(w)
	o.Stops = append(o.Stops, cfwire.JobStop{Task: row.Task, Run: row.Run})
}

// applyEnded applies the end of a run.
func (p *Planner) applyEnded(now time.Time, w *worker, e cfcore.EndedTask) {
	t := p.lookup(e.Task)
	if t == nil {
		return
	}
	r := p.findRun(w, e.Task, e.Run)
	var took time.Duration
	if r != nil {
		took = now.Sub(r.startedAt)
		p.drop(r)
	}
	defer func() {
		p.addEvent(Event{
			Kind: EventEnded, Agent: w.agent, Task: e.Task, Run: e.Run, How: e.How, Attempts: len(t.failed), Took: took,
		})
	}()
	if t.done {
		return
	}
	switch e.How {
	case cfcore.EndDone:
		w.failures.reset()
		if r != nil && r.checkpoint == "" {
			p.durationRatios.add(t, took)
		}
		p.completeTask(now, t)
	case cfcore.EndFailed:
		p.recordFailure(now, w, t, e)
	case cfcore.EndStopped, cfcore.EndLeaseExpired, cfcore.EndGangBroken, cfcore.EndGangTimeout:
	}
	if t.done || t.j.isOver() {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" && e.Checkpoint != t.checkpoint {
		t.checkpoint = e.Checkpoint
		p.markDirty(t.j)
	}
}

// markDirty marks a job whose progress must be recorded soon.
func (p *Planner) markDirty(j *job) {
	j.dirty = true
	p.dirty[j.ID] = j
}

// completeTask marks a task as done. The completion of one member completes its whole gang.
func (p *Planner) completeTask(now time.Time, t *task) {
	st := t.state()
	members := []*task{t}
	if t.step.Gang {
		members = st.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.done = true
		st.remaining--
		t.j.remaining--
		for _, r := range m.runs {
			p.stop(r)
		}
	}
	p.markDirty(t.j)
	if t.j.remaining == 0 && !t.j.isOver() {
		t.j.outcome, t.j.ended = cfjob.OutcomeCompleted, now
		delete(p.open, t.j.ID)
		p.addOutcomeEvent(now, t.j)
	}
}

// recordFailure records a failed run. The last allowed attempt fails the job.
func (p *Planner) recordFailure(now time.Time, w *worker, t *task, e cfcore.EndedTask) {
	if w.failures.addFailure(now, t.j.ID) {
		p.addEvent(Event{Kind: EventQuarantined, Agent: w.agent, Task: t.name, Run: e.Run})
	}
	t.avoidAgent = w.agent
	if t.step.LongRunning || slices.Contains(t.failed, e.Run) {
		return
	}
	t.failed = append(t.failed, e.Run)
	p.markDirty(t.j)
	if len(t.failed) >= t.j.queue.MaxAttempts && !t.j.isOver() {
		t.j.outcome, t.j.ended = cfjob.OutcomeFailed, now
		delete(p.open, t.j.ID)
		p.addOutcomeEvent(now, t.j)
		p.stopAll(t.j)
	}
}

// replaceIncarnation ends the runs of a worker's previous incarnation. id is the ID of the new
// one. If it is the same, an attempt of a start order that got no response may still be executed
// by the new incarnation, also if another attempt was answered. The runs of recent start orders
// are therefore stopped, and kept until the new incarnation has answered the stop.
func (p *Planner) replaceIncarnation(now time.Time, w *worker, id string) {
	for r := range w.runs {
		if id == w.state.ID && now.Sub(r.startSentAt) < cfcore.MaxOrderDelay {
			r.keepCheckpoint()
			p.stop(r)
			r.sentAt = time.Time{}
			continue
		}
		p.expireRun(now, r)
	}
}

// expireRuns drops all runs of a worker whose leases have expired or that is gone.
func (p *Planner) expireRuns(now time.Time, w *worker) {
	for r := range w.runs {
		p.expireRun(now, r)
	}
}

func (p *Planner) expireRun(now time.Time, r *run) {
	p.addRunEvent(EventLost, r, now)
	p.drop(r)
	r.keepCheckpoint()
}

// keepCheckpoint makes the task resume from the last checkpoint of a lost run.
func (r *run) keepCheckpoint() {
	t := r.task
	if t.step.Checkpointing && r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
}

// GoneAgent is an agent whose worker can no longer run anything.
type GoneAgent struct {
	Agent string
	// Left is set if the worker announced that it leaves. Otherwise every lease on it expired.
	Left bool
}

// ExpireLeases drops the runs of all workers whose agents have had no contact with the
// planner for LeaseExpiryTime, after which no lease is valid. It returns these agents, those
// whose workers have left since the previous call, and, once the time given to New has passed,
// the agents given to New whose runs are still unknown.
func (p *Planner) ExpireLeases(now time.Time) []GoneAgent {
	gone := p.gone
	p.gone = nil
	if now.Sub(p.lastExpiryScan) < scanInterval {
		return gone
	}
	p.lastExpiryScan = now
	for _, w := range slices.Clone(p.fleet) {
		lastContact := w.answeredAt
		if w.reportedAt.After(lastContact) {
			lastContact = w.reportedAt
		}
		if now.Sub(lastContact) <= p.cfg.LeaseExpiryTime() {
			continue
		}
		p.expireRuns(now, w)
		p.removeWorker(w)
		gone = append(gone, GoneAgent{Agent: w.agent})
	}
	if len(p.expected) > 0 && now.After(p.expectedUntil) {
		for a := range p.expected {
			gone = append(gone, GoneAgent{Agent: a})
		}
		clear(p.expected)
		p.changed = true
	}
	return gone
}

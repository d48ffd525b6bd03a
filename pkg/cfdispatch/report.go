package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// Report takes in what an agent says.
func (p *Planner) Report(now time.Time, agent string, m *cfwire.JobReport) {
	w := p.workers[agent]
	if w == nil {
		w = &worker{agent: agent, runs: map[*run]bool{}}
		p.addWorker(w)
	}
	if !w.usable(now, p.cfg.Suspect) {
		p.changed = true
	}
	w.heard = now
	if m.Worker != nil {
		p.describe(now, w, *m.Worker)
	}
	w.unreached = m.Lost != nil
	if m.Lost != nil && (m.Lost.Lapsed || m.Lost.Left) {
		p.lapse(now, w)
		w.known = false
		delete(p.expected, agent)
	}
	if m.Lost != nil && m.Lost.Left {
		p.leave(w)
	}
	if m.Lists != nil {
		p.lists(now, w, m.Lists)
	}
	// The lists are as new as the results: a run that ended is in them.
	for _, r := range m.Results {
		p.result(now, w, r)
	}
}

// leave notes that a worker has left. Later planners need not wait for its agent.
func (p *Planner) leave(w *worker) {
	if !w.left {
		p.gone = append(p.gone, Gone{Agent: w.agent, Left: true})
	}
	w.recorded, w.left = false, true
	delete(p.unrecorded, w.agent)
}

// describe takes in the state of a worker. Another life of it has lost all runs.
func (p *Planner) describe(now time.Time, w *worker, s cfcore.WorkerState) {
	if s.Born.Before(w.state.Born) {
		return
	}
	if s.Born.After(w.state.Born) {
		p.reborn(now, w, s.ID)
		w.known, w.seen, w.noted, w.told = false, 0, 0, 0
		w.failures = failureStreak{}
		if w.left {
			w.left = false
			p.unrecorded[w.agent] = true
		}
	}
	w.state = s
	p.changed, p.lookedAt = true, time.Time{}
	w.drainsUntil = now.Add(s.Remaining)
}

// result takes in what became of a start.
func (p *Planner) result(now time.Time, w *worker, res cfwire.JobOrderResult) {
	r := p.findRun(w, res.Task, res.Run)
	switch {
	case r == nil:
	case res.Refusal == "":
		if r.phase == starting {
			r.phase, r.begun = running, now
		}
	case r.phase != running:
		p.note(Event{Kind: EventDropped, Agent: w.agent, Task: res.Task, Run: res.Run, Refusal: res.Refusal})
		p.drop(r)
		switch res.Refusal {
		case cfcore.ExecutorTicket:
			r.task.ticketRefused(w)
			return
		case cfcore.ExecutorUnhealthy:
			w.failures.fail(now, res.Task.Job)
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

// drop forgets a run that is not there, and never will be.
func (p *Planner) drop(r *run) {
	p.changed = true
	r.w.remove(r)
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
		r.task.j.live--
	}
}

// lists takes in what runs on a worker and what has ended there.
func (p *Planner) lists(now time.Time, w *worker, l *cfcore.RunLists) {
	if l.Born.Before(w.state.Born) {
		return
	}
	if !w.known {
		w.unwatched = true
	}
	w.known, w.unreached = true, false
	if p.expected[w.agent] {
		delete(p.expected, w.agent)
		p.changed = true
	}
	for _, row := range l.Running {
		p.runningRow(now, w, row)
	}
	p.learnPressure(now, w)
	p.watchTails(now, w)
	for _, e := range l.Ended {
		if e.Number <= w.seen {
			continue
		}
		p.ended(now, w, e)
		w.seen = e.Number
	}
}

// runningRow takes in a run that goes on. One that this planner does not know was
// started by an older one.
func (p *Planner) runningRow(now time.Time, w *worker, row cfcore.RunningTask) {
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
		r = &run{task: t, id: row.Run, w: w, phase: running, begun: now, pace: unknownPace}
		t.runs = append(t.runs, r)
		t.j.live++
		w.add(r)
		p.begin(now, t.j)
		p.noteRun(EventAdopted, r, now)
	}
	if r.phase == starting {
		r.phase = running
	}
	r.advance(now, row.Percent)
	r.gauge = row.Gauge
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if t.done || t.j.over() {
		p.stop(r)
	}
}

// stopUnknown stops a run of a job that is not known, or has ended.
func (p *Planner) stopUnknown(w *worker, row cfcore.RunningTask) {
	o := p.ordersFor(w)
	o.Stops = append(o.Stops, cfwire.JobStop{Task: row.Task, Run: row.Run})
}

// ended takes in the end of a run.
func (p *Planner) ended(now time.Time, w *worker, e cfcore.EndedTask) {
	t := p.lookup(e.Task)
	if t == nil {
		return
	}
	r := p.findRun(w, e.Task, e.Run)
	var took time.Duration
	if r != nil {
		took = now.Sub(r.begun)
		p.drop(r)
	}
	defer func() {
		p.note(Event{
			Kind: EventEnded, Agent: w.agent, Task: e.Task, Run: e.Run, How: e.How, Attempts: len(t.failed), Took: took,
		})
	}()
	if t.done {
		return
	}
	switch e.How {
	case cfcore.EndDone:
		w.failures.succeed()
		if r != nil && r.checkpoint == "" {
			p.learnt.add(t, took)
		}
		p.finish(now, t)
	case cfcore.EndFailed:
		p.failed(now, w, t, e)
	case cfcore.EndStopped, cfcore.EndLapsed, cfcore.EndBroken, cfcore.EndAlone:
	}
	if t.done || t.j.over() {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" && e.Checkpoint != t.checkpoint {
		t.checkpoint = e.Checkpoint
		p.keep(t.j)
	}
}

// keep marks a job whose progress has to be kept soon.
func (p *Planner) keep(j *job) {
	j.dirty = true
	p.dirty[j.ID] = j
}

// finish notes that a task is done; the end of one member counts for its gang.
func (p *Planner) finish(now time.Time, t *task) {
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
	p.keep(t.j)
	if t.j.remaining == 0 && !t.j.over() {
		t.j.outcome, t.j.ended = cfjob.OutcomeCompleted, now
		delete(p.open, t.j.ID)
		p.noteOutcome(now, t.j)
	}
}

// failed notes a run that failed; the last attempt fails the job.
func (p *Planner) failed(now time.Time, w *worker, t *task, e cfcore.EndedTask) {
	if w.failures.fail(now, t.j.ID) {
		p.note(Event{Kind: EventAside, Agent: w.agent, Task: t.name, Run: e.Run})
	}
	t.avoid = w.agent
	if t.step.LongRunning || slices.Contains(t.failed, e.Run) {
		return
	}
	t.failed = append(t.failed, e.Run)
	p.keep(t.j)
	if len(t.failed) >= t.j.queue.MaxAttempts && !t.j.over() {
		t.j.outcome, t.j.ended = cfjob.OutcomeFailed, now
		delete(p.open, t.j.ID)
		p.noteOutcome(now, t.j)
		p.stopAll(t.j)
	}
}

// reborn ends the runs of a worker's former life. Where the new life has the same ID, an
// attempt to start a run that got no answer may still begin it there: such runs count as
// running until the new life has answered a stop.
func (p *Planner) reborn(now time.Time, w *worker, id string) {
	for r := range w.runs {
		if id == w.state.ID && now.Sub(r.ordered) < cfcore.LateOrders {
			r.keepCheckpoint()
			p.stop(r)
			r.sent = time.Time{}
			continue
		}
		p.lapseRun(now, r)
	}
}

// lapse ends all runs of a worker whose leases have ended, or that is gone.
func (p *Planner) lapse(now time.Time, w *worker) {
	for r := range w.runs {
		p.lapseRun(now, r)
	}
}

func (p *Planner) lapseRun(now time.Time, r *run) {
	p.noteRun(EventLapsed, r, now)
	p.drop(r)
	r.keepCheckpoint()
}

// keepCheckpoint lets the task resume from the last checkpoint of a run that is lost.
func (r *run) keepCheckpoint() {
	t := r.task
	if t.step.Checkpointing && r.checkpoint != "" {
		t.checkpoint = r.checkpoint
	}
}

// Gone is an agent on whose worker nothing can run any more.
type Gone struct {
	Agent string
	// Left is set where the worker said that it leaves; else every lease on it has ended.
	Left bool
}

// Lapse ends the runs of all workers whose agents have been silent for so long that
// no lease can be left. It returns these agents, and those whose workers have left since
// it was called last.
func (p *Planner) Lapse(now time.Time) []Gone {
	gone := p.gone
	p.gone = nil
	if now.Sub(p.lapsedAt) < lookEvery {
		return gone
	}
	p.lapsedAt = now
	for _, w := range slices.Clone(p.fleet) {
		last := w.answered
		if w.heard.After(last) {
			last = w.heard
		}
		if now.Sub(last) <= p.cfg.LapseTime() {
			continue
		}
		p.lapse(now, w)
		p.removeWorker(w)
		gone = append(gone, Gone{Agent: w.agent})
	}
	if len(p.expected) > 0 && now.After(p.expectedUntil) {
		for a := range p.expected {
			gone = append(gone, Gone{Agent: a})
		}
		clear(p.expected)
		p.changed = true
	}
	return gone
}

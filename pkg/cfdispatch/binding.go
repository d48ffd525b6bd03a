package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// maxHeldEnds is the number of listed ends from which a worker gets no more starts while the
// acknowledgement of an end is held back. The platform's workers list 500 ends at most.
const maxHeldEnds = 400

// maxBinding bounds the time from the sending of a start until its run has certainly ended, if it got no
// answer.
const maxBinding = cfcore.MaxOrderDelay + longLeaseExpiry

// maxUnknownStarts is JobReport.UnknownStarts of an instance that has just started, without the agent's margin.
const maxUnknownStarts = cfcore.MaxExecutionDelay + cfcore.MaxLease*(100+100*clockSlack)/100

// binding binds a task to a worker: a start of the task got no answer there, and the worker, or its next
// incarnation under the same ID, can still execute it. Until then, the task starts on no other worker, and
// its ends are not acknowledged. Whatever else ends meanwhile, only an agent's report or another ID of
// the worker removes the binding before the time until.
type binding struct {
	task  cfcore.TaskName
	w     *worker
	run   uint64
	until time.Time
	// since is when the planner learned of the start.
	since time.Time
	// instance is the first instance of the agent that sent the start, see worker.instance.
	instance int
	// isLate is set if an attempt got no answer, or if one has been in flight for long.
	isLate bool
	// isSettled is set if the agent's last report does not list the start any more.
	isSettled bool
	// refusedIn is when the incarnation of the worker started that refuses the run for good; zero if there is none.
	refusedIn time.Time
}

// bindings are the bindings of all tasks.
type bindings struct {
	byTask map[cfcore.TaskName][]*binding
	// unknown holds the agents whose workers can still execute starts of earlier planners that this
	// planner does not know of, and until when. Tasks of inherited jobs can be bound to these workers.
	unknown map[string]time.Time
	// answered holds the agents that had no late start according to their records, and when an instance of the
	// agent must have started for the records to have all starts of the instances before it; zero if that does not matter.
	answered map[string]time.Time
	// recordedLate holds the agents that are recorded to have late starts and have not reported yet.
	recordedLate map[string]bool
}

func newBindings(agents []string, until time.Time) bindings {
	b := bindings{byTask: map[cfcore.TaskName][]*binding{}, unknown: map[string]time.Time{}, answered: map[string]time.Time{}, recordedLate: map[string]bool{}}
	for _, a := range agents {
		b.unknown[a], b.recordedLate[a] = until, true
	}
	return b
}

// bind binds a task to a worker since a time, or extends the binding.
func (b *bindings) bind(since time.Time, n cfcore.TaskName, w *worker, run uint64, instance int, until time.Time) *binding {
	k := runKey{task: n, run: run}
	x := w.bindings[k]
	if x == nil {
		x = &binding{task: n, w: w, run: run, since: since, instance: instance}
		b.byTask[n], w.bindings[k] = append(b.byTask[n], x), x
	}
	x.instance = min(x.instance, instance)
	if until.After(x.until) {
		x.until = until
	}
	return x
}

// removeIf removes the bindings to a worker for which match returns true.
func (b *bindings) removeIf(w *worker, match func(*binding) bool) {
	for k, x := range w.bindings {
		if !match(x) {
			continue
		}
		delete(w.bindings, k)
		xs := slices.DeleteFunc(b.byTask[k.task], func(y *binding) bool { return y == x })
		if b.byTask[k.task] = xs; len(xs) == 0 {
			delete(b.byTask, k.task)
		}
	}
}

// expireBindings removes the bindings that have expired by the time now, and the agents with unknown
// starts that have expired by the time confirmed.
func (p *Planner) expireBindings(now, confirmed time.Time) {
	b := &p.bindings
	for _, w := range p.fleet {
		b.removeIf(w, func(x *binding) bool { return now.After(x.until) })
	}
	for a, until := range b.unknown {
		if confirmed.After(until) {
			delete(b.unknown, a)
		}
	}
}

// unbindWorker removes the bindings to a worker that has another ID now.
func (b *bindings) unbindWorker(w *worker) {
	delete(b.unknown, w.agent)
	b.removeIf(w, func(*binding) bool { return true })
}

// applyReport applies an agent's list of unanswered starts. The list has all starts that its instance has
// sent. The others are not bound any more if the report has the run lists as well, which then contain
// their runs, or if it has their results.
func (b *bindings) applyReport(now time.Time, w *worker, m *cfwire.JobReport) {
	hasLists := m.Lists != nil
	if until, ok := b.unknown[w.agent]; ok {
		limit := now.Add(m.UnknownStarts)
		w.startsKnown = m.UnknownStarts == 0 || b.areStartsRecorded(now, w, m)
		switch {
		case w.startsKnown && hasLists:
			delete(b.unknown, w.agent)
		case !w.startsKnown && limit.Before(until):
			b.unknown[w.agent] = limit
		}
	}
	hasResult := func(x *binding) bool {
		return slices.ContainsFunc(m.Results, func(r cfwire.JobOrderResult) bool { return r.Task == x.task && r.Run == x.run })
	}
	listed := map[*binding]bool{}
	for _, s := range m.Unanswered {
		x := b.bind(now, s.Task, w, s.Run, w.instance, now.Add(min(s.For, maxBinding)))
		x.isLate, listed[x] = s.IsLate, true
	}
	b.removeIf(w, func(x *binding) bool {
		x.isSettled = !listed[x] && (x.instance == w.instance || m.UnknownStarts == 0)
		return x.isSettled && (hasLists || hasResult(x))
	})
}

// areStartsRecorded reports whether the starts of earlier instances of an agent are on record, or were reported to
// this planner. Those that an earlier planner ordered after the claim of this one are not.
func (b *bindings) areStartsRecorded(now time.Time, w *worker, m *cfwire.JobReport) bool {
	by, ok := b.answered[w.agent]
	if ok && !by.IsZero() && !w.startsKnown && instanceStart(now, m).After(by) {
		delete(b.answered, w.agent)
		return false
	}
	return ok
}

// instanceStart returns when the instance of an agent that has unknown starts began at the latest.
func instanceStart(now time.Time, m *cfwire.JobReport) time.Time {
	age := max(0, maxUnknownStarts-m.UnknownStarts)
	return now.Add(-time.Duration(float64(age) / (1 + clockSlack)))
}

// removeSettled removes what the agent has no longer listed from a worker whose leases have all expired.
func (b *bindings) removeSettled(w *worker) {
	if w.startsKnown {
		delete(b.unknown, w.agent)
	}
	b.removeIf(w, func(x *binding) bool { return x.isSettled })
}

// bindAwaited binds the tasks of runs on a worker whose starts have no result. Another instance of the agent does
// not know of them.
func (p *Planner) bindAwaited(w *worker) {
	for r := range w.runs {
		p.bindUnconfirmed(r)
	}
}

// bindLost binds the task of a run that is given up before its start had a result.
func (p *Planner) bindLost(r *run) {
	p.bindUnconfirmed(r)
	r.awaitsResult = false
}

// bindUnconfirmed binds the task of a run whose start has no result. The agent can attempt the start as long as
// it may extend leases.
func (p *Planner) bindUnconfirmed(r *run) {
	if r.awaitsResult {
		p.bindings.bind(r.sentAt, r.task.name, r.w, r.id, r.instance, r.w.lastContact().Add(p.cfg.GrantTime+maxBinding)).isLate = true
	}
}

// confirmStart handles that the start of a run has a result, or that the worker lists the run. An earlier
// instance of the agent possibly made more attempts than this one knows of.
func (p *Planner) confirmStart(r *run) {
	if r.instance != r.w.instance {
		p.bindLost(r)
	}
	r.awaitsResult = false
}

// boundWorker reports whether a task can start on one worker at most, because of starts without an answer.
// The first result is that worker, or nil if the task cannot start. A gang does not start as long as one of
// its members is bound, possibly another one than the task.
func (p *Planner) boundWorker(now time.Time, t *task) (*worker, bool) {
	if t.step.Duplicable || len(p.bindings.byTask) == 0 {
		return nil, false
	}
	if t.step.Gang {
		return nil, p.isBound(t.name)
	}
	var w *worker
	for _, x := range p.bindings.byTask[t.name] {
		if t.ignores(now, x) {
			continue
		}
		if w != nil && w != x.w {
			return nil, true
		}
		w = x.w
	}
	return w, w != nil
}

// ignores reports whether a task does not wait for a start: a long-running task must not be away for long once the
// leases on the worker have expired.
func (t *task) ignores(now time.Time, x *binding) bool {
	return t.step.LongRunning && !x.w.hasListed && now.Sub(x.since) >= longRunningWait
}

// markBound records that a task does not start because of its bindings.
func (p *Planner) markBound(now time.Time, t *task) {
	xs := p.bindings.byTask[t.name]
	if !t.boundSince.IsZero() || len(t.runs) > 0 || len(xs) == 0 {
		return
	}
	t.boundSince = now
	x := xs[0]
	p.addEvent(Event{Kind: EventWaitsForStart, Agent: x.w.agent, Task: t.name, Run: x.run})
}

// checkSecondStart adds an event if a task starts on a worker although another start of it can still be executed.
func (p *Planner) checkSecondStart(t *task, w *worker, id uint64) {
	if t.step.Duplicable {
		return
	}
	for _, x := range p.bindings.byTask[t.name] {
		if x.w != w || x.run != id {
			p.addEvent(Event{Kind: EventSecondStart, Agent: x.w.agent, Task: t.name, Run: x.run})
			return
		}
	}
}

// longRunningWait is how long a long-running task waits for a worker that it is bound to and that answers, but
// cannot start it under the same run number. It must run again within 7 s.
const longRunningWait = 3 * time.Second

// mayStartAgain reports whether a task may have a second start although its worker can still execute the first one. It
// has waited since the start is known, and since it could not start.
func (p *Planner) mayStartAgain(now time.Time, t *task) bool {
	if !t.step.LongRunning || t.step.Gang || now.Sub(t.boundSince) < longRunningWait {
		return false
	}
	return !slices.ContainsFunc(p.bindings.byTask[t.name], func(x *binding) bool {
		return !t.ignores(now, x) && (x.w.isUnreachable || !x.w.hasListed || now.Sub(x.since) < longRunningWait)
	})
}

// isBound reports whether a task, or another member of its gang, is bound to a worker.
func (p *Planner) isBound(n cfcore.TaskName) bool {
	if len(p.bindings.byTask[n]) > 0 {
		return true
	}
	if !p.isGangMember(n) {
		return false
	}
	for other := range p.bindings.byTask {
		if other.Job == n.Job && other.Occurrence == n.Occurrence && other.Step == n.Step {
			return true
		}
	}
	return false
}

func (p *Planner) isGangMember(n cfcore.TaskName) bool {
	j := p.jobs[n.Job]
	return j != nil && n.Step < len(j.Steps) && j.Steps[n.Step].Gang
}

// awaitsUnknownStarts reports whether a task of a step possibly has a start without an answer that this
// planner does not know of. Long-running tasks do not wait for it, as they must not be away for long.
func (p *Planner) awaitsUnknownStarts(j *job, s int) bool {
	step := &j.Steps[s]
	return j.inherited && len(p.bindings.unknown) > 0 && !step.LongRunning && !step.Duplicable
}

// runNumberFor returns the number of a task's next run on a worker. If the worker can still execute a start
// of the task, the next run has the same number: a worker executes only one start of a run.
func (p *Planner) runNumberFor(t *task, w *worker) uint64 {
	if id := p.repeatableRun(t, w); id != 0 {
		return id
	}
	return p.newRunNumber()
}

// repeatableRun returns the number of a start that a worker can still execute and that can be repeated there, or zero.
func (p *Planner) repeatableRun(t *task, w *worker) uint64 {
	id := uint64(0)
	if t.step.Duplicable || t.step.Gang {
		return id
	}
	for _, x := range p.bindings.byTask[t.name] {
		if x.w == w && x.run > t.lastRun && !x.refusedIn.Equal(w.state.Born) && !slices.Contains(t.failedRuns, x.run) {
			id = max(id, x.run)
		}
	}
	return id
}

// markRefused remembers that the present incarnation of a worker refuses a run for good: it was stopped or has ended
// there. Other refusals don't bar the run number.
func (b *bindings) markRefused(w *worker, res cfwire.JobOrderResult) {
	if x := w.bindings[runKey{task: res.Task, run: res.Run}]; x != nil && res.Refusal == cfcore.ExecutorStale {
		x.refusedIn = w.state.Born
	}
}

// acknowledgeable returns the number of the last recorded end on a worker that may be acknowledged. Ends
// are held back while the worker can still execute a start: an end that is not acknowledged may be
// followed by another start.
func (p *Planner) acknowledgeable(w *worker) uint64 {
	if p.mayExecuteStarts(w) || p.hasEndOfBoundGang(w) {
		return w.ends.ackedEnd
	}
	return w.ends.recordedEnd
}

// hasEndOfBoundGang reports whether a gang has ended on a worker while another worker can still execute the start of a
// member: the end represents all members.
func (p *Planner) hasEndOfBoundGang(w *worker) bool {
	if w.ends.ackedEnd >= w.ends.recordedEnd && w.ends.recordedEnd >= w.ends.lastEnd {
		clear(w.gangEnds)
	}
	for n := range w.gangEnds {
		j := p.jobs[n.Job]
		if j == nil {
			delete(w.gangEnds, n)
			continue
		}
		if p.isBound(n) || j.inherited && len(p.bindings.unknown) > 0 || j.awaitsResultOf(n) {
			return true
		}
	}
	return false
}

// awaitsResultOf reports whether the start of a member of a gang has no result. n is any member.
func (j *job) awaitsResultOf(n cfcore.TaskName) bool {
	if n.Occurrence >= len(j.occurrences) || j.occurrences[n.Occurrence] == nil {
		return false
	}
	return slices.ContainsFunc(j.occurrences[n.Occurrence].steps[n.Step].tasks, func(t *task) bool {
		return t != nil && slices.ContainsFunc(t.runs, func(r *run) bool { return r.awaitsResult })
	})
}

// rememberGangEnd remembers that a gang has ended as done on a worker.
func (p *Planner) rememberGangEnd(w *worker, e cfcore.EndedTask) {
	if e.How == cfcore.EndDone && p.isGangMember(e.Task) {
		w.gangEnds[e.Task] = true
	}
}

// holdsManyEnds reports whether the worker lists so many ends, because none is acknowledged, that its
// lists will soon be full. A start that is merely in flight holds ends back only until its answer.
func (p *Planner) holdsManyEnds(w *worker) bool {
	return w.listedEnds >= maxHeldEnds && p.hasLateBindings(w)
}

// hasLateBindings reports whether a worker can execute starts late, as far as agents have reported it.
func (p *Planner) hasLateBindings(w *worker) bool {
	if _, ok := p.bindings.unknown[w.agent]; ok {
		return true
	}
	for _, x := range w.bindings {
		if x.isLate {
			return true
		}
	}
	return false
}

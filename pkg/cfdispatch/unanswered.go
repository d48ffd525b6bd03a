package cfdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// maxHeldEnds is the number of listed ends from which no end is held back. A worker lists 500 ends, and
// the end of a run that it does not list cannot be acted on.
const maxHeldEnds = 400

// unansweredStart is a start of a task on a worker that got no answer. It can be executed until the
// time until, also by the worker's next incarnation under the same ID before its agent has reached
// it. Until then, the task starts on no other worker, and its ends on this one are not acknowledged.
type unansweredStart struct {
	run   uint64
	until time.Time
	// isSettled is set once adoptUnanswered has considered the start.
	isSettled bool
}

// addUnanswered remembers an unanswered start.
func (w *worker) addUnanswered(n cfcore.TaskName, s unansweredStart) {
	previous := w.unanswered[n]
	s.isSettled = previous.run == s.run && previous.isSettled
	if s.until.After(previous.until) {
		w.unanswered[n] = s
	}
}

// unansweredUntil returns until when an unanswered start of the run's task on its worker can still be
// executed.
func (r *run) unansweredUntil() time.Time {
	if r.task.step.Duplicable {
		return time.Time{}
	}
	until := r.w.unanswered[r.task.name].until
	if r.answerDueUntil.After(until) {
		return r.answerDueUntil
	}
	return until
}

// mayStartLate reports whether a run that is lost on an unreachable worker can still start or, if it
// has started late, still hold a lease. A long-running task does not wait for a start whose result is
// merely missing: it must not be away for long, and the agent has possibly never received the order.
func (r *run) mayStartLate(at time.Time) bool {
	until := r.unansweredUntil()
	if r.task.step.LongRunning {
		until = r.w.unanswered[r.task.name].until
	}
	return !r.task.step.Duplicable && !until.IsZero() && !at.After(until.Add(longLeaseExpiry))
}

// keep keeps a lost run that can still start late. Once the worker lists its runs, the same run is
// ordered again. If the worker cannot execute it, it is stopped instead.
func (p *Planner) keep(now time.Time, r *run) {
	r.keepCheckpoint()
	r.w.addUnanswered(r.task.name, unansweredStart{run: r.id, until: r.unansweredUntil()})
	r.answerDueUntil, r.born, r.sentAt = time.Time{}, r.w.state.Born, time.Time{}
	if r.phase == stopping {
		return
	}
	if !p.canRestart(now, r) {
		p.stopRun(r)
		return
	}
	r.restart(now)
}

// restart makes the planner order the start of a run again.
func (r *run) restart(now time.Time) {
	r.phase, r.percent, r.progressedAt = starting, 0, time.Time{}
	r.speedPercent, r.speedSentAt = fullPercent, now
	r.ticket, _ = r.task.ticketOn(now, r.w)
}

// canRestart reports whether the worker of a lost run can execute the run's start.
func (p *Planner) canRestart(now time.Time, r *run) bool {
	t, w := r.task, r.w
	if t.done || t.j.isOver() || t.step.Gang || w.state.Draining || w.hasLeft || w.state.Service != t.j.queue.Service {
		return false
	}
	if q := t.step.Requirement; q != "" && !slices.Contains(w.state.Labels, q) {
		return false
	}
	_, ok := t.ticketOn(now, w)
	return ok && w.used.Fits(w.state.Capacity)
}

// renumber keeps a run whose start was refused although an earlier attempt can still be executed,
// under another number: the worker refuses the present one from now on.
func (p *Planner) renumber(now time.Time, r *run) bool {
	if r.phase != starting || !now.Before(r.unansweredUntil()) || !p.canRestart(now, r) {
		return false
	}
	r.id, r.sentAt = p.newRunNumber(), now
	r.restart(now)
	return true
}

// applyUnanswered applies an agent's list of unanswered starts.
func (p *Planner) applyUnanswered(now time.Time, w *worker, starts []cfwire.JobUnansweredStart) {
	for n, s := range w.unanswered {
		if now.After(s.until.Add(longLeaseExpiry)) {
			delete(w.unanswered, n)
		}
	}
	for _, s := range starts {
		w.addUnanswered(s.Task, unansweredStart{run: s.Run, until: now.Add(min(s.For, cfcore.MaxOrderDelay))})
	}
}

func compareNames(a, b cfcore.TaskName) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// adoptUnanswered adopts the runs of unanswered starts that an earlier planner ordered, once all
// expected agents have reported: the task possibly has another run.
func (p *Planner) adoptUnanswered(now time.Time) {
	if len(p.expectedAgents) > 0 {
		return
	}
	for _, w := range p.fleet {
		for _, n := range slices.SortedFunc(maps.Keys(w.unanswered), compareNames) {
			s := w.unanswered[n]
			if s.isSettled {
				continue
			}
			s.isSettled = true
			w.unanswered[n] = s
			t := p.lookupTask(n)
			if t == nil || s.run>>runBits == uint64(p.cfg.Epoch) || t.done || t.j.isOver() || len(t.runs) > 0 || t.step.Duplicable || t.step.Gang || s.run <= t.lastRun || !now.Before(s.until) {
				continue
			}
			r := &run{task: t, id: s.run, w: w, phase: starting, startedAt: now, checkpoint: t.checkpoint}
			t.addRun(r)
			w.addRun(r)
			p.markStarted(now, t.j)
			p.addRunEvent(EventAdopted, r, now)
			p.keep(now, r)
		}
	}
}

// holdEnd holds back the acknowledgement of an end if a start of its task can still be executed: the
// task must not start again once its end is acknowledged.
func (w *worker) holdEnd(now time.Time, e cfcore.EndedTask) {
	if until := w.unanswered[e.Task].until; now.Before(until) {
		w.heldEnds[e.Number] = until
	}
}

// acknowledgeable returns the number of the last end on record that may be acknowledged.
func (w *worker) acknowledgeable(now time.Time) uint64 {
	last := w.recordedEnd
	for n, until := range w.heldEnds {
		switch {
		case !now.Before(until):
			delete(w.heldEnds, n)
		case n <= last:
			last = n - 1
		}
	}
	return last
}

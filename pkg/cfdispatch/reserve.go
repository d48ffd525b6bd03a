package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// preemptAfter is how long an urgent task waits for room that less urgent ones leave by
// themselves, before some of them are stopped at a checkpoint.
const preemptAfter = 300 * time.Millisecond

// reserve keeps room on one worker for a task that fits nowhere, so that less urgent
// ones do not take it as it becomes free. It reports whether there is such a worker.
// Load: urgent tasks that are wider than what is left on any worker, beside a queue of
// small ones that fill each gap at once.
func (p *Planner) reserve(now time.Time, t *task) bool {
	if t.waiting.IsZero() {
		t.waiting = now
	}
	k := t.shape(now)
	k.reserving = true
	if p.isFull(k, t) {
		return false
	}
	w := p.reservable(now, t)
	if w == nil {
		p.noteFull(k, t)
		return false
	}
	w.reserved = w.reserved.Add(t.step.Room())
	if now.Sub(t.waiting) >= preemptAfter {
		p.preempt(w, t)
	}
	return true
}

// reservable returns the worker that a task could have with the least work of less
// urgent ones gone, or nil.
func (p *Planner) reservable(now time.Time, t *task) *worker {
	var best *worker
	var bestFree int64
	for _, w := range p.fleet {
		if !p.suitable(now, t, w) || !w.reserved.IsZero() {
			continue
		}
		urgent := cfcore.Resources{}
		for r := range w.runs {
			if r.task.j.queue.Priority <= t.j.queue.Priority {
				urgent = urgent.Add(r.task.step.Room())
			}
		}
		if !urgent.Add(t.step.Room()).Fits(w.state.Capacity) {
			continue
		}
		free := w.state.Capacity.MilliCores - w.used.MilliCores
		if best == nil || free > bestFree {
			best, bestFree = w, free
		}
	}
	return best
}

// preempt stops less urgent runs that resume from a checkpoint, the least advanced
// first, until a task fits once they have ended.
func (p *Planner) preempt(w *worker, t *task) {
	left := w.used
	var victims []*run
	for r := range w.runs {
		switch {
		case r.phase == stopping:
			left = left.Sub(r.task.step.Room())
		case r.phase == running && r.task.step.Checkpointing && r.task.j.queue.Priority > t.j.queue.Priority:
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.percent, b.percent), cmp.Compare(a.id, b.id))
	})
	for _, r := range victims {
		if left.Add(t.step.Room()).Fits(w.state.Capacity) {
			return
		}
		if r.task.step.Room().IsZero() || !r.mayTakeAway() {
			continue
		}
		left = left.Sub(r.task.step.Room())
		p.stop(r)
	}
}

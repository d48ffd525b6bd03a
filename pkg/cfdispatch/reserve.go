package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// preemptAfter is how long an urgent task waits for less urgent runs to end by themselves before
// some of them are stopped at a checkpoint.
const preemptAfter = 300 * time.Millisecond

// reserve reserves capacity on one worker for a task that fits on no worker now. Less
// urgent tasks then cannot take this capacity as it becomes free. After preemptAfter, reserve
// also stops less urgent runs on the worker, but only as many as the task needs (see
// preempt). It stops only runs that are running and whose steps have checkpoints. reserve
// reports whether it found a worker.
// Without a reservation, a queue of small tasks would fill every gap at once, and an urgent
// task that is larger than the free capacity of any worker would not start.
func (p *Planner) reserve(now time.Time, t *task) bool {
	if t.waitingSince.IsZero() {
		t.waitingSince = now
	}
	k := t.placementKey(now)
	k.reserving = true
	if p.fitsNowhere(k, t) {
		return false
	}
	w := p.findReservable(now, t)
	if w == nil {
		p.recordNoFit(k, t)
		return false
	}
	w.reserved = w.reserved.Add(t.step.Reservation())
	if now.Sub(t.waitingSince) >= preemptAfter {
		p.preempt(w, t)
	}
	return true
}

// findReservable returns an eligible worker on which the task would fit once the less
// urgent runs there have ended, or nil. It skips workers that are already reserved. Of the
// others, it prefers the one with the most free CPU.
func (p *Planner) findReservable(now time.Time, t *task) *worker {
	var best *worker
	var bestFree int64
	for _, w := range p.fleet {
		if !p.isEligible(now, t, w) || !w.reserved.IsZero() {
			continue
		}
		kept := cfcore.Resources{}
		for r := range w.runs {
			if r.task.j.queue.Priority <= t.j.queue.Priority {
				kept = kept.Add(r.task.step.Reservation())
			}
		}
		if !kept.Add(t.step.Reservation()).Fits(w.state.Capacity) {
			continue
		}
		free := w.state.Capacity.MilliCores - w.used.MilliCores
		if best == nil || free > bestFree {
			best, bestFree = w, free
		}
	}
	return best
}

// preempt makes room for a task on a worker. It stops less urgent runs there that can
// resume from a checkpoint, the least advanced first, until the task fits without the
// stopped runs. Runs that were already being stopped count as stopped.
func (p *Planner) preempt(w *worker, t *task) {
	projected := w.used
	var victims []*run
	for r := range w.runs {
		switch {
		case r.phase == stopping:
			projected = projected.Sub(r.task.step.Reservation())
		case r.phase == running && r.task.step.Checkpointing && r.task.j.queue.Priority > t.j.queue.Priority:
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.percent, b.percent), cmp.Compare(a.id, b.id))
	})
	for _, r := range victims {
		if projected.Add(t.step.Reservation()).Fits(w.state.Capacity) {
			return
		}
		if r.task.step.Reservation().IsZero() || !r.canBeStopped() {
			continue
		}
		projected = projected.Sub(r.task.step.Reservation())
		p.stopRun(r)
	}
}

package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// shape is what tasks have in common that look for room on the same workers, but for how
// much they need. Load: many tasks that wait for room, each of which would look at every
// worker in each decision.
type shape struct {
	service     string
	requirement string
	priority    int
	// inTurn is set for fillers that wait where they would crowd, and reserving for the
	// search for a worker whose room less urgent tasks will leave.
	inTurn    bool
	reserving bool
}

func (t *task) shape(now time.Time) shape {
	return shape{
		service: t.j.queue.Service, requirement: t.step.Requirement, priority: t.j.queue.Priority,
		inTurn: t.waitsInTurn() && !t.j.starved(now),
	}
}

// isFull reports whether a task that needs no more has found no room in this decision: the
// room on workers only shrinks while it is made.
func (p *Planner) isFull(k shape, t *task) bool {
	return slices.ContainsFunc(p.full[k], func(least cfcore.Resources) bool { return least.Fits(t.needs()) })
}

// noteFull notes that a task found no room. A task that is kept off some workers for a
// reason of its own says nothing of others.
func (p *Planner) noteFull(k shape, t *task) {
	if t.step.MaxPerWorker == 0 && t.j.queue.Advice == nil {
		p.full[k] = append(p.full[k], t.needs())
	}
}

// needs is what decides whether a worker has room for a task. That a filler crowds others
// depends on its wish for processor time, which it does not reserve.
func (t *task) needs() cfcore.Resources {
	if t.waitsInTurn() {
		return t.step.Resources
	}
	return t.step.Room()
}

package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// placementKey groups tasks that can use the same workers, regardless of the amount of
// resources they need. If one of them fits on no worker, the planner does not scan every worker
// again in the same planning pass for those that need as much or more, since many tasks may wait
// for capacity.
type placementKey struct {
	service     string
	requirement string
	priority    int
	// waitsForFreeCPU is set for best-effort tasks that only start where enough CPU is free.
	// reserving is set for the search for a worker to reserve. That search counts capacity
	// in use by less urgent tasks as available.
	waitsForFreeCPU bool
	reserving       bool
}

func (t *task) placementKey(now time.Time) placementKey {
	return placementKey{
		service: t.j.queue.Service, requirement: t.step.Requirement, priority: t.j.queue.Priority,
		waitsForFreeCPU: t.waitsForFreeCPU() && !t.j.isStarved(now),
	}
}

// fitsNowhere reports whether a task that needs no more than this one has already found no
// worker in this planning pass. Free capacity only shrinks during a pass.
func (p *Planner) fitsNowhere(k placementKey, t *task) bool {
	return slices.ContainsFunc(p.noFit[k], func(demand cfcore.Resources) bool { return demand.Fits(t.demand()) })
}

// recordNoFit records that a task found no worker. Tasks with MaxPerWorker and tasks that need
// a ticket are not recorded, since other tasks may still use the workers that these may not.
func (p *Planner) recordNoFit(k placementKey, t *task) {
	if t.step.MaxPerWorker == 0 && t.j.queue.Advice == nil {
		p.noFit[k] = append(p.noFit[k], t.demand())
	}
}

// demand returns the resources that a worker must have free for the task. For a best-effort
// task that waits for free CPU this includes CPU, although the task does not reserve it.
func (t *task) demand() cfcore.Resources {
	if t.waitsForFreeCPU() {
		return t.step.Resources
	}
	return t.step.Reservation()
}

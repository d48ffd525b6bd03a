package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// placementKey groups tasks that can use the same workers, apart from the amount of
// resources that they need. If a task fits on no worker, the tasks of its group that need as
// much or more fit on none either. For the rest of the planning pass, the planner does not
// scan the workers again for these tasks, since many tasks can be waiting for capacity.
type placementKey struct {
	service     string
	requirement string
	priority    int
	// bestEffort is set for best-effort tasks, which start on no worker with a pause.
	bestEffort bool
	// longRunning is set for long-running tasks, which start where others are withheld.
	longRunning bool
	// waitsForFreeCPU is set for best-effort tasks that only start where enough CPU is
	// free. reserving is set if the search is for a worker on which to reserve capacity.
	// That search counts capacity in use by less urgent tasks as available.
	waitsForFreeCPU bool
	reserving       bool
	// image is that of a best-effort task, which decides where it harms underserved jobs. It is
	// empty if the task starts anyway, see mayStartDespiteHarm.
	image string
}

func (t *task) placementKey(now time.Time) placementKey {
	k := placementKey{
		service: t.j.queue.Service, requirement: t.step.Requirement, priority: t.j.queue.Priority, bestEffort: t.step.BestEffort, longRunning: t.step.LongRunning,
		waitsForFreeCPU: t.waitsForFreeCPU() && !t.j.isStarved(now),
	}
	if t.waitsForFreeCPU() && !t.j.mayStartDespiteHarm(now) {
		k.image = t.step.Image
	}
	return k
}

// fitsNowhere reports whether task t certainly fits on no worker. This is the case if the
// search for a worker failed earlier in this planning pass for a task with the same key
// that needs as much as t or less. Free capacity only shrinks during a pass.
func (p *Planner) fitsNowhere(k placementKey, t *task) bool {
	return slices.ContainsFunc(p.noFit[k], func(demand cfcore.Resources) bool { return demand.Fits(t.demand()) })
}

// recordNoFit records that the search for a worker failed for a task. It skips tasks with
// MaxPerWorker and tasks that need a ticket: they are barred from some workers that other
// tasks with the same key may use.
func (p *Planner) recordNoFit(k placementKey, t *task) {
	if t.step.MaxPerWorker == 0 && t.j.queue.Advice == nil {
		p.noFit[k] = append(p.noFit[k], t.demand())
	}
}

// demand returns the resources that a worker must have free for the task. For a best-effort
// task that waits for free CPU, the result includes CPU although the task does not reserve
// it.
func (t *task) demand() cfcore.Resources {
	if t.waitsForFreeCPU() {
		return t.step.Resources
	}
	return t.step.Reservation()
}

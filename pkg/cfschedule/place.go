package cfschedule

import (
	"sort"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// sampleSize is the maximum number of workers among which the placer chooses for one task.
const sampleSize = 24

// usableWorker is a worker that takes new tasks. Its free capacity and its task counts
// include the assignments that the current decision has already made.
type usableWorker struct {
	choice   cfcore.WorkerChoice
	instance cfcore.InstanceID
	// services, batches and watches count the tasks on the worker by workload.
	services, batches, watches map[string]int
}

// taskCounts returns the number of tasks of each workload on the worker, for the workloads
// of one class.
func (u *usableWorker) taskCounts(c cfcore.Class) map[string]int {
	switch c {
	case cfcore.ClassService:
		return u.services
	case cfcore.ClassBatch:
		return u.batches
	}
	return u.watches
}

// placeTasks assigns the due tasks to workers. If a task of a service or a watch fits on no
// worker, batch tasks are evicted to make room for it.
func (d *decision) placeTasks() {
	if len(d.state.Pending) == 0 || d.full() {
		return
	}
	workers := d.usableWorkers()
	rackCounts := d.rackCounts(workers)
	next := d.state.LastAssignment
	for _, t := range d.dueTasks() {
		if d.full() {
			return
		}
		w := &d.state.Workloads[t.Workload].Spec
		u := d.chooseWorker(t, w, workers, rackCounts)
		if u == nil {
			d.evictFor(w)
			continue
		}
		next++
		d.reserveCapacity(u, w, rackCounts)
		d.addRecord(cfrecord.Record{Assign: &cfrecord.Assign{
			Epoch: d.state.Epoch, Task: t.ID, Assignment: next, Worker: u.choice.Worker, Instance: u.instance,
		}})
	}
}

// usableWorkers returns the workers that take new tasks. Such a worker is usable in the
// state (see cfstate.Worker.Usable). The worker's last report is fresh, comes from the
// instance in the state, and does not say that the VM shuts down.
func (d *decision) usableWorkers() []*usableWorker {
	out := make([]*usableWorker, 0, len(d.state.Workers))
	for _, w := range d.sortedWorkers() {
		v := d.in.Workers[w.ID]
		if !w.Usable() || v == nil || v.Leaving || !d.fresh(v) || v.Instance != w.Instance {
			continue
		}
		out = append(out, d.newUsableWorker(w))
	}
	return out
}

func (d *decision) newUsableWorker(w *cfstate.Worker) *usableWorker {
	u := &usableWorker{
		instance: w.Instance,
		services: map[string]int{}, batches: map[string]int{}, watches: map[string]int{},
	}
	u.choice = cfcore.WorkerChoice{
		Worker: w.ID, DataCentre: w.DataCentre, Rack: w.Rack, Capacity: w.Capacity, Free: w.Free(),
	}
	for id := range w.Tasks {
		name := d.state.Tasks[id].Workload
		u.taskCounts(d.state.Workloads[name].Spec.Class)[name]++
	}
	return u
}

// rackKey identifies the tasks of one workload on one rack.
type rackKey struct {
	dataCentre, rack, workload string
}

// rackCounts counts the tasks of each workload on each rack. It counts only tasks on the
// given workers.
func (d *decision) rackCounts(workers []*usableWorker) map[rackKey]int {
	out := map[rackKey]int{}
	for _, u := range workers {
		for _, counts := range []map[string]int{u.services, u.batches, u.watches} {
			for name, n := range counts {
				out[rackKey{u.choice.DataCentre, u.choice.Rack, name}] += n
			}
		}
	}
	return out
}

// dueTasks returns the pending tasks that are due, in order of urgency. Tasks of the same
// urgency are in the order in which they became pending.
func (d *decision) dueTasks() []*cfstate.Task {
	out := make([]*cfstate.Task, 0, len(d.state.Pending))
	for id := range d.state.Pending {
		t := d.state.Tasks[id]
		if d.due(t) {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		ra, rb := d.rank(a), d.rank(b)
		if ra != rb {
			return ra < rb
		}
		if !a.Since.Equal(b.Since) {
			return a.Since.Before(b.Since)
		}
		return a.ID < b.ID
	})
	return out
}

// due reports whether a pending task can start now. A task with failures is due RetryAfter
// after this planner first saw the latest one.
func (d *decision) due(t *cfstate.Task) bool {
	if t.Failures == 0 {
		return true
	}
	f, ok := d.lastFailures[t.ID]
	if !ok || f.count != t.Failures {
		d.lastFailures[t.ID] = failure{count: t.Failures, at: d.in.Now}
		return false
	}
	return d.in.Now.Sub(f.at) >= d.settings.RetryAfter
}

// rank returns the rank of a task's class by urgency. 0 is the most urgent class.
func (d *decision) rank(t *cfstate.Task) int {
	switch d.state.Workloads[t.Workload].Spec.Class {
	case cfcore.ClassService:
		return 0
	case cfcore.ClassWatch:
		return 1
	}
	return 2
}

// chooseWorker returns the worker for a task, or nil if the task has to wait. The search for
// workers that can run the task starts at a random position. The placer is offered at most
// sampleSize of these workers, which bounds the cost of a decision in a large fleet.
func (d *decision) chooseWorker(t *cfstate.Task, w *cfcore.Workload, workers []*usableWorker, rackCounts map[rackKey]int) *usableWorker {
	if len(workers) == 0 {
		return nil
	}
	start := d.in.Rand.IntN(len(workers))
	choices := make([]cfcore.WorkerChoice, 0, sampleSize)
	eligible := make([]*usableWorker, 0, sampleSize)
	for i := 0; i < len(workers) && len(choices) < sampleSize; i++ {
		u := workers[(start+i)%len(workers)]
		if !w.Resources.Fits(d.available(w, u)) {
			continue
		}
		choice := d.newChoice(w, u, rackCounts)
		if d.tooMuchSlowdown(t, w, &choice) {
			continue
		}
		choices = append(choices, choice)
		eligible = append(eligible, u)
	}
	if len(choices) == 0 {
		return nil
	}
	return eligible[d.placer.Place(w, choices)]
}

// newChoice describes a worker to the placer as a place for a task of workload w.
func (d *decision) newChoice(w *cfcore.Workload, u *usableWorker, rackCounts map[rackKey]int) cfcore.WorkerChoice {
	choice := u.choice
	choice.Peers = u.taskCounts(w.Class)[w.Name]
	choice.RackPeers = rackCounts[rackKey{choice.DataCentre, choice.Rack, w.Name}]
	if d.in.Interference != nil {
		choice.AddedSlowdown = d.in.Interference.AddedSlowdown(w, u.services, u.batches)
		choice.CurrentSlowdown = d.in.Interference.TotalSlowdown(u.services, u.batches)
	}
	return choice
}

// tooMuchSlowdown reports whether a batch task has to avoid a worker because the task
// would slow the services there beyond SlowdownLimit. The result is false once the task has
// been pending for SlowdownWait.
func (d *decision) tooMuchSlowdown(t *cfstate.Task, w *cfcore.Workload, choice *cfcore.WorkerChoice) bool {
	if w.Class != cfcore.ClassBatch || d.settings.SlowdownLimit <= 0 || choice.AddedSlowdown <= 0 {
		return false
	}
	return choice.CurrentSlowdown+choice.AddedSlowdown > d.settings.SlowdownLimit && d.in.Now.Sub(t.Since) < d.settings.SlowdownWait
}

// available returns the free capacity of a worker that a task of workload w can use. For
// batch tasks, it excludes the headroom that is kept for the other classes.
func (d *decision) available(w *cfcore.Workload, u *usableWorker) cfcore.Resources {
	free := u.choice.Free
	if w.Class != cfcore.ClassBatch {
		return free
	}
	pct := int64(d.settings.HeadroomPercent)
	free.MilliCores -= u.choice.Capacity.MilliCores * pct / 100
	free.MemoryMB -= u.choice.Capacity.MemoryMB * pct / 100
	return free
}

// reserveCapacity counts one more task of workload w on a worker. The free capacity of the
// worker and the task counts change accordingly.
func (d *decision) reserveCapacity(u *usableWorker, w *cfcore.Workload, rackCounts map[rackKey]int) {
	u.choice.Free = u.choice.Free.Sub(w.Resources)
	u.taskCounts(w.Class)[w.Name]++
	rackCounts[rackKey{u.choice.DataCentre, u.choice.Rack, w.Name}]++
}

// evictFor makes room for a task of workload w that fits on no worker. It evicts batch tasks
// whose workloads permit eviction, on the worker where the fewest evictions are needed.
// evictFor does nothing if w is a batch workload.
func (d *decision) evictFor(w *cfcore.Workload) {
	if w.Class == cfcore.ClassBatch {
		return
	}
	var best []cfcore.Assignment
	for _, worker := range d.sortedWorkers() {
		if !worker.Usable() {
			continue
		}
		victims, ok := d.findVictims(worker, w.Resources)
		if ok && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, a := range best {
		d.addRecord(cfrecord.Record{Stop: &cfrecord.Stop{
			Epoch: d.state.Epoch, Assignment: a, Permission: cfcore.PermitEvict,
			Reason: "evicted in favour of " + w.Name,
		}})
	}
}

// findVictims returns the assignments of the batch tasks that must be evicted from a worker
// so that need fits there. The newest tasks are evicted first. The resources of tasks that
// are already stopping count as free. findVictims returns false if need does not fit even
// after the eviction of all batch tasks whose workloads permit eviction.
func (d *decision) findVictims(w *cfstate.Worker, need cfcore.Resources) ([]cfcore.Assignment, bool) {
	free := w.Free()
	var batch []*cfstate.Task
	for id := range w.Tasks {
		t := d.state.Tasks[id]
		spec := &d.state.Workloads[t.Workload].Spec
		switch {
		case t.Status == cfstate.TaskStopping:
			free = free.Add(spec.Resources)
		case spec.Class == cfcore.ClassBatch && spec.Permits(cfcore.PermitEvict):
			batch = append(batch, t)
		}
	}
	sort.Slice(batch, func(i, j int) bool { return batch[i].Assignment > batch[j].Assignment })
	out := []cfcore.Assignment{}
	for _, t := range batch {
		if need.Fits(free) {
			break
		}
		free = free.Add(d.state.Workloads[t.Workload].Spec.Resources)
		out = append(out, t.Assignment)
	}
	return out, need.Fits(free)
}

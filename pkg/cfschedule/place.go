package cfschedule

import (
	"sort"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfrecord"
)

// sampleSize bounds the workers that are scored for one task.
const sampleSize = 24

// room is a worker with what this decision has given away of it.
type room struct {
	slot     cfcore.Slot
	instance cfcore.InstanceID
	// services, batches and watches count the tasks on the worker by workload.
	services, batches, watches map[string]int
}

// tasks returns the counts of a class.
func (r *room) tasks(c cfcore.Class) map[string]int {
	switch c {
	case cfcore.ClassService:
		return r.services
	case cfcore.ClassBatch:
		return r.batches
	}
	return r.watches
}

// place assigns the tasks that wait.
func (d *decision) place() {
	if len(d.s.Pending) == 0 || d.full() {
		return
	}
	rooms := d.rooms()
	racks := d.racks(rooms)
	next := d.s.LastAssignment
	for _, t := range d.waiting() {
		if d.full() {
			return
		}
		w := &d.s.Workloads[t.Workload].Spec
		r := d.choose(t, w, rooms, racks)
		if r == nil {
			d.makeRoom(w)
			continue
		}
		next++
		d.take(r, w, racks)
		d.add(cfrecord.Record{Assign: &cfrecord.Assign{
			Epoch: d.s.Epoch, Task: t.ID, Assignment: next, Worker: r.slot.Worker, Instance: r.instance,
		}})
	}
}

// rooms returns the workers that take tasks.
func (d *decision) rooms() []*room {
	out := make([]*room, 0, len(d.s.Workers))
	for _, w := range d.sortedWorkers() {
		v := d.in.Workers[w.ID]
		if !w.Usable() || v == nil || v.Leaving || !d.fresh(v) || v.Instance != w.Instance {
			continue
		}
		out = append(out, d.newRoom(w))
	}
	return out
}

func (d *decision) newRoom(w *cffold.Worker) *room {
	r := &room{
		instance: w.Instance,
		services: map[string]int{}, batches: map[string]int{}, watches: map[string]int{},
	}
	r.slot = cfcore.Slot{
		Worker: w.ID, DataCentre: w.DataCentre, Rack: w.Rack, Capacity: w.Capacity, Free: w.Free(),
	}
	for id := range w.Tasks {
		name := d.s.Tasks[id].Workload
		r.tasks(d.s.Workloads[name].Spec.Class)[name]++
	}
	return r
}

// rackKey names a workload's share of a rack.
type rackKey struct {
	dataCentre, rack, workload string
}

func (d *decision) racks(rooms []*room) map[rackKey]int {
	out := map[rackKey]int{}
	for _, r := range rooms {
		for _, counts := range []map[string]int{r.services, r.batches, r.watches} {
			for name, n := range counts {
				out[rackKey{r.slot.DataCentre, r.slot.Rack, name}] += n
			}
		}
	}
	return out
}

// waiting returns the tasks that wait, most urgent first.
func (d *decision) waiting() []*cffold.Task {
	out := make([]*cffold.Task, 0, len(d.s.Pending))
	for id := range d.s.Pending {
		t := d.s.Tasks[id]
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

// due lets a task that failed wait for a while.
func (d *decision) due(t *cffold.Task) bool {
	if t.Failures == 0 {
		return true
	}
	f, ok := d.failedAt[t.ID]
	if !ok || f.count != t.Failures {
		d.failedAt[t.ID] = failure{count: t.Failures, at: d.in.Now}
		return false
	}
	return d.in.Now.Sub(f.at) >= d.settings.RetryAfter
}

func (d *decision) rank(t *cffold.Task) int {
	switch d.s.Workloads[t.Workload].Spec.Class {
	case cfcore.ClassService:
		return 0
	case cfcore.ClassWatch:
		return 1
	}
	return 2
}

// choose returns the room for a task, or nil. It scores a sample that begins at
// a random worker, so that its cost does not grow with the fleet.
func (d *decision) choose(t *cffold.Task, w *cfcore.Workload, rooms []*room, racks map[rackKey]int) *room {
	if len(rooms) == 0 {
		return nil
	}
	start := d.in.Rand.IntN(len(rooms))
	slots := make([]cfcore.Slot, 0, sampleSize)
	picked := make([]*room, 0, sampleSize)
	for i := 0; i < len(rooms) && len(slots) < sampleSize; i++ {
		r := rooms[(start+i)%len(rooms)]
		if !w.Resources.Fits(d.limit(w, r)) {
			continue
		}
		slot := d.slot(w, r, racks)
		if d.tooHarmful(t, w, &slot) {
			continue
		}
		slots = append(slots, slot)
		picked = append(picked, r)
	}
	if len(slots) == 0 {
		return nil
	}
	return picked[d.placer.Place(w, slots)]
}

// slot describes a room to the placer.
func (d *decision) slot(w *cfcore.Workload, r *room, racks map[rackKey]int) cfcore.Slot {
	slot := r.slot
	slot.Peers = r.tasks(w.Class)[w.Name]
	slot.RackPeers = racks[rackKey{slot.DataCentre, slot.Rack, w.Name}]
	if d.in.Harm != nil {
		slot.Harm = d.in.Harm.Added(w, r.services, r.batches)
		slot.TotalHarm = d.in.Harm.Total(r.services, r.batches)
	}
	return slot
}

// tooHarmful lets a batch task wait rather than slow services beyond the limit,
// but not for ever.
func (d *decision) tooHarmful(t *cffold.Task, w *cfcore.Workload, s *cfcore.Slot) bool {
	if w.Class != cfcore.ClassBatch || d.settings.HarmLimit <= 0 || s.Harm <= 0 {
		return false
	}
	return s.TotalHarm+s.Harm > d.settings.HarmLimit && d.in.Now.Sub(t.Since) < d.settings.HarmWait
}

// limit returns what a task of the workload may take of a room. Batch tasks leave
// a headroom for urgent ones.
func (d *decision) limit(w *cfcore.Workload, r *room) cfcore.Resources {
	free := r.slot.Free
	if w.Class != cfcore.ClassBatch {
		return free
	}
	pct := int64(d.settings.HeadroomPercent)
	free.MilliCores -= r.slot.Capacity.MilliCores * pct / 100
	free.MemoryMB -= r.slot.Capacity.MemoryMB * pct / 100
	return free
}

func (d *decision) take(r *room, w *cfcore.Workload, racks map[rackKey]int) {
	r.slot.Free = r.slot.Free.Sub(w.Resources)
	r.tasks(w.Class)[w.Name]++
	racks[rackKey{r.slot.DataCentre, r.slot.Rack, w.Name}]++
}

// makeRoom evicts batch tasks whose plans permit it, on the one worker where the
// fewest have to go, for an urgent task that fits nowhere.
func (d *decision) makeRoom(w *cfcore.Workload) {
	if w.Class == cfcore.ClassBatch {
		return
	}
	var best []cfcore.Assignment
	for _, worker := range d.sortedWorkers() {
		if !worker.Usable() {
			continue
		}
		victims, ok := d.victims(worker, w.Resources)
		if ok && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, a := range best {
		d.add(cfrecord.Record{Stop: &cfrecord.Stop{
			Epoch: d.s.Epoch, Assignment: a, Permission: cfcore.PermitEvict,
			Reason: "evicted in favour of " + w.Name,
		}})
	}
}

// victims returns the batch tasks to evict from a worker so that need fits. What
// is stopping already counts as free.
func (d *decision) victims(w *cffold.Worker, need cfcore.Resources) ([]cfcore.Assignment, bool) {
	free := w.Free()
	var batch []*cffold.Task
	for id := range w.Tasks {
		t := d.s.Tasks[id]
		spec := &d.s.Workloads[t.Workload].Spec
		switch {
		case t.Status == cffold.TaskStopping:
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
		free = free.Add(d.s.Workloads[t.Workload].Spec.Resources)
		out = append(out, t.Assignment)
	}
	return out, need.Fits(free)
}

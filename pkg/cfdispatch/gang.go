package cfdispatch

import (
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// startGang starts all members of a gang with the same run number, or none of them. Some
// gangs are slower if they are spread over several racks (see cfjob.Step.SameRack). Such a
// gang goes to a single rack if one has the capacity for all members.
func (p *Planner) startGang(now time.Time, j *job, o *occurrence, s int) {
	st := &o.steps[s]
	if st.remaining < j.Steps[s].Count || slices.ContainsFunc(st.tasks, func(t *task) bool { return t != nil && len(t.runs) > 0 }) {
		return
	}
	if p.isBound(cfcore.TaskName{Job: j.ID, Occurrence: o.index, Step: s}) {
		return
	}
	id := p.newRunNumber()
	var placed []*run
	if j.Steps[s].SameRack {
		for _, rack := range p.racks() {
			placed = p.placeGang(now, j, o, s, id, func(w *worker) bool { return w.state.Rack() == rack })
			if placed != nil {
				break
			}
		}
	}
	if placed == nil {
		placed = p.placeGang(now, j, o, s, id, func(*worker) bool { return true })
	}
	if placed == nil {
		if j.Steps[s].BestEffort && !j.Steps[s].LongRunning {
			j.markStarving(now)
		}
		return
	}
	j.starvingSince = time.Time{}
	for _, r := range placed {
		p.orderStart(now, r)
	}
}

// placeGang places all members of a gang on workers for which match returns true. If this
// is not possible, it places none and returns nil. id is the run number of all members.
func (p *Planner) placeGang(now time.Time, j *job, o *occurrence, s int, id uint64, match func(*worker) bool) []*run {
	defer func() { j.placing = 0 }()
	checkpoint := newestCheckpoint(&o.steps[s])
	var placed []*run
	for i := range j.Steps[s].Count {
		t := j.task(o, s, i)
		w := p.chooseMatchingWorker(now, t, match)
		if w == nil {
			for _, r := range placed {
				p.dropRun(r)
			}
			return nil
		}
		t.checkpoint = checkpoint
		j.save(t)
		placed = append(placed, t.place(now, w, id))
		j.placing++
	}
	return placed
}

// racks returns the racks of all workers in sorted order.
func (p *Planner) racks() []string {
	racks := map[string]bool{}
	for _, w := range p.fleet {
		racks[w.state.Rack()] = true
	}
	return slices.Sorted(maps.Keys(racks))
}

// newestCheckpoint returns the checkpoint of one member of a gang, or "" if no member has a
// checkpoint. Of the members with a checkpoint, it chooses the one with the highest
// lastRun, which is the number of the member's newest ended run.
func newestCheckpoint(st *stepState) string {
	checkpoint, newest := "", uint64(0)
	for _, t := range st.tasks {
		if t != nil && t.checkpoint != "" && (checkpoint == "" || t.lastRun > newest) {
			checkpoint, newest = t.checkpoint, t.lastRun
		}
	}
	return checkpoint
}

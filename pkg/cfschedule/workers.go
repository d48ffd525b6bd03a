package cfschedule

import (
	"fmt"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

func (d *decision) sortedViews() []*WorkerView {
	out := make([]*WorkerView, 0, len(d.in.Workers))
	for _, v := range d.in.Workers {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

func (d *decision) sortedWorkers() []*cfstate.Worker {
	out := make([]*cfstate.Worker, 0, len(d.s.Workers))
	for _, w := range d.s.Workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// fresh reports whether a worker's last report is younger than WorkerTimeout.
func (d *decision) fresh(v *WorkerView) bool {
	return d.in.Now.Sub(v.LastReportAt) < d.settings.WorkerTimeout
}

// processReport adds the records that follow from one agent's report.
func (d *decision) processReport(v *WorkerView) {
	if !d.fresh(v) {
		return
	}
	w := d.s.Workers[v.Worker]
	if w == nil || w.Instance != v.Instance {
		d.registerInstance(w, v)
		return
	}
	d.recordRuns(v)
	if w.Barred && len(w.Tasks) == 0 {
		d.add(cfrecord.Record{Unbar: &cfrecord.UnfenceWorker{Epoch: d.s.Epoch, Worker: w.ID}})
	}
}

// registerInstance registers a new instance of a worker. It ends the runs of the previous
// instance: a new instance proves that they no longer execute. old is nil if the worker is
// not in the state yet.
func (d *decision) registerInstance(old *cfstate.Worker, v *WorkerView) {
	if old != nil {
		for _, a := range sortedAssignments(old) {
			d.addEnded(a, cfcore.RunLeaseExpired, "", "its VM was replaced")
		}
	}
	d.add(cfrecord.Record{WorkerUp: &cfrecord.WorkerUp{
		Epoch: d.s.Epoch, Worker: v.Worker, Instance: v.Instance,
		DataCentre: v.DataCentre, Rack: v.Rack, Capacity: v.Capacity,
	}})
}

func sortedAssignments(w *cfstate.Worker) []cfcore.Assignment {
	out := make([]cfcore.Assignment, 0, len(w.Tasks))
	for _, a := range w.Tasks {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (d *decision) addEnded(a cfcore.Assignment, state cfcore.RunState, checkpoint, reason string) {
	d.add(cfrecord.Record{Ended: &cfrecord.RunEnded{
		Epoch: d.s.Epoch, Assignment: a, State: state, Checkpoint: checkpoint, Reason: reason,
	}})
}

// recordRuns adds records for the ended runs and the new checkpoints in a report.
func (d *decision) recordRuns(v *WorkerView) {
	for i := range v.Runs {
		r := &v.Runs[i]
		t := d.s.Tasks[r.Task]
		if t == nil || !t.Status.OnWorker() || t.Assignment != r.Assignment || t.Worker != v.Worker {
			continue
		}
		switch {
		case r.State.Ended():
			d.addEnded(r.Assignment, r.State, r.Checkpoint, r.Reason)
		case r.Checkpoint != "" && r.Checkpoint != t.Checkpoint:
			d.add(cfrecord.Record{Checkpoint: &cfrecord.Checkpoint{
				Epoch: d.s.Epoch, Assignment: r.Assignment, Checkpoint: r.Checkpoint,
			}})
		}
	}
}

// checkReachable fences a worker without recent reports. It ends a fenced worker's runs
// once the worker's last lease must have expired.
func (d *decision) checkReachable(w *cfstate.Worker) {
	v := d.in.Workers[w.ID]
	if v != nil && d.fresh(v) {
		delete(d.unreachableSince, w.ID)
		return
	}
	if !w.Barred {
		d.fence(w, v)
		return
	}
	if len(w.Tasks) > 0 && d.leaseExpired(w) {
		for _, a := range sortedAssignments(w) {
			d.addEnded(a, cfcore.RunLeaseExpired, "", "its worker is silent and its lease has lapsed")
		}
	}
}

// fence fences a worker that has been unreachable for WorkerTimeout. v is nil if there is
// no report of the worker.
func (d *decision) fence(w *cfstate.Worker, v *WorkerView) {
	since, ok := d.unreachableSince[w.ID]
	if !ok {
		// A planner without any report of the worker waits as long as one that has
		// just lost contact.
		since = d.in.Now
		d.unreachableSince[w.ID] = since
	}
	if v != nil && v.LastReportAt.After(since) {
		since = v.LastReportAt
	}
	if elapsed := d.in.Now.Sub(since); elapsed >= d.settings.WorkerTimeout {
		reason := fmt.Sprintf("silent for %s", elapsed.Round(100*time.Millisecond))
		d.add(cfrecord.Record{Bar: &cfrecord.FenceWorker{Epoch: d.s.Epoch, Worker: w.ID, Reason: reason}})
	}
}

// leaseExpired reports whether the eviction wait of a fenced worker is over, so that its last
// lease has expired. The wait starts when this planner first sees that a majority has applied
// the FenceWorker record.
func (d *decision) leaseExpired(w *cfstate.Worker) bool {
	f, ok := d.fencedAt[w.ID]
	if !ok || f.offset != w.BarredAt {
		if !d.in.Entries.MajorityReached(d.grantView(), d.s.Offset, w.BarredAt) {
			return false
		}
		d.fencedAt[w.ID] = confirmedFence{offset: w.BarredAt, at: d.in.Now}
		return false
	}
	return d.in.Now.Sub(f.at) >= d.settings.Timing.EvictionWait()
}

// drain stops the runs on a worker that an operator drains or whose VM shuts down. It
// stops a run for a VM shutdown only if its workload permits a move.
func (d *decision) drain(w *cfstate.Worker) {
	v := d.in.Workers[w.ID]
	leaving := v != nil && v.Leaving
	if !w.Draining && !leaving {
		return
	}
	reason, permission := "its worker is drained", cfcore.Permission("")
	if !w.Draining {
		reason, permission = "its VM shuts down", cfcore.PermitMove
	}
	for _, a := range sortedAssignments(w) {
		t := d.s.Tasks[d.s.Assigned[a]]
		if t.Status == cfstate.TaskAssigned && d.permitted(t, permission) {
			d.add(cfrecord.Record{Stop: &cfrecord.Stop{
				Epoch: d.s.Epoch, Assignment: a, Permission: permission, Reason: reason,
			}})
		}
	}
}

// permitted reports whether the task's plan gives permission p. An empty p is always
// permitted.
func (d *decision) permitted(t *cfstate.Task, p cfcore.Permission) bool {
	return p == "" || d.s.Workloads[t.Workload].Spec.Permits(p)
}

// quarantine quarantines a worker on which several different workloads fail in a row. It
// lifts the quarantine after QuarantineFor; the worker is then on probation.
func (d *decision) quarantine(w *cfstate.Worker) {
	if !w.Quarantined {
		delete(d.quarantinedAt, w.ID)
		if len(w.FailStreak) >= d.settings.QuarantineAfter {
			reason := fmt.Sprintf("%d workloads failed in a row: %v", len(w.FailStreak), w.FailStreak)
			d.add(cfrecord.Record{Quarantine: &cfrecord.Quarantine{Epoch: d.s.Epoch, Worker: w.ID, Reason: reason}})
		}
		return
	}
	at, ok := d.quarantinedAt[w.ID]
	if !ok {
		d.quarantinedAt[w.ID] = d.in.Now
		return
	}
	if d.in.Now.Sub(at) >= d.settings.QuarantineFor {
		delete(d.quarantinedAt, w.ID)
		d.add(cfrecord.Record{Quarantine: &cfrecord.Quarantine{
			Epoch: d.s.Epoch, Worker: w.ID, Lifted: true, Reason: "probe after quarantine",
		}})
	}
}

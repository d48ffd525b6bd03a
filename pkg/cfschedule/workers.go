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
	out := make([]*cfstate.Worker, 0, len(d.state.Workers))
	for _, w := range d.state.Workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// fresh reports whether the last report of a worker is younger than WorkerTimeout. A worker
// without a fresh report counts as unreachable.
func (d *decision) fresh(v *WorkerView) bool {
	return d.in.Now.Sub(v.LastReportAt) < d.settings.WorkerTimeout
}

// processReport adds the records that follow from the last report of one agent. A report
// that is not fresh is ignored.
func (d *decision) processReport(v *WorkerView) {
	if !d.fresh(v) {
		return
	}
	w := d.state.Workers[v.Worker]
	if w == nil || w.Instance != v.Instance {
		d.registerInstance(w, v)
		return
	}
	d.recordRuns(v)
	if w.Fenced && len(w.Tasks) == 0 {
		d.addRecord(cfrecord.Record{Unfence: &cfrecord.UnfenceWorker{Epoch: d.state.Epoch, Worker: w.ID}})
	}
}

// registerInstance registers a new instance of a worker. It also ends the runs of the
// previous instance: once the new instance reports, those runs no longer execute. old is the
// worker in the state, or nil if the state does not contain the worker yet.
func (d *decision) registerInstance(old *cfstate.Worker, v *WorkerView) {
	if old != nil {
		for _, a := range sortedAssignments(old) {
			d.addEnded(a, cfcore.RunLeaseExpired, "", "its VM was replaced")
		}
	}
	d.addRecord(cfrecord.Record{WorkerUp: &cfrecord.WorkerUp{
		Epoch: d.state.Epoch, Worker: v.Worker, Instance: v.Instance,
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

// addEnded adds the RunEnded record of a run.
func (d *decision) addEnded(a cfcore.Assignment, runState cfcore.RunState, checkpoint, reason string) {
	d.addRecord(cfrecord.Record{Ended: &cfrecord.RunEnded{
		Epoch: d.state.Epoch, Assignment: a, State: runState, Checkpoint: checkpoint, Reason: reason,
	}})
}

// recordRuns adds records for the ended runs and the new checkpoints in a report. It skips
// runs that the state does not assign to this worker.
func (d *decision) recordRuns(v *WorkerView) {
	for i := range v.Runs {
		r := &v.Runs[i]
		t := d.state.Tasks[r.Task]
		if t == nil || !t.Status.OnWorker() || t.Assignment != r.Assignment || t.Worker != v.Worker {
			continue
		}
		switch {
		case r.State.Ended():
			d.addEnded(r.Assignment, r.State, r.Checkpoint, r.Reason)
		case r.Checkpoint != "" && r.Checkpoint != t.Checkpoint:
			d.addRecord(cfrecord.Record{Checkpoint: &cfrecord.Checkpoint{
				Epoch: d.state.Epoch, Assignment: r.Assignment, Checkpoint: r.Checkpoint,
			}})
		}
	}
}

// checkReachable fences a worker that has been unreachable for WorkerTimeout. If the worker
// is already fenced and still unreachable, checkReachable ends the worker's runs as soon as
// its last lease has certainly expired (see leaseExpired).
func (d *decision) checkReachable(w *cfstate.Worker) {
	v := d.in.Workers[w.ID]
	if v != nil && d.fresh(v) {
		delete(d.unreachableSince, w.ID)
		return
	}
	if !w.Fenced {
		d.fenceUnreachable(w, v)
		return
	}
	if len(w.Tasks) > 0 && d.leaseExpired(w) {
		for _, a := range sortedAssignments(w) {
			d.addEnded(a, cfcore.RunLeaseExpired, "", "its worker is silent and its lease has lapsed")
		}
	}
}

// fenceUnreachable fences a worker once this planner has seen it as unreachable for
// WorkerTimeout. v is nil if this planner has no report of the worker.
func (d *decision) fenceUnreachable(w *cfstate.Worker, v *WorkerView) {
	since, ok := d.unreachableSince[w.ID]
	if !ok {
		// The wait starts now, even if this planner has never received a report of the
		// worker.
		since = d.in.Now
		d.unreachableSince[w.ID] = since
	}
	if v != nil && v.LastReportAt.After(since) {
		since = v.LastReportAt
	}
	if elapsed := d.in.Now.Sub(since); elapsed >= d.settings.WorkerTimeout {
		reason := fmt.Sprintf("silent for %s", elapsed.Round(100*time.Millisecond))
		d.addRecord(cfrecord.Record{Fence: &cfrecord.FenceWorker{Epoch: d.state.Epoch, Worker: w.ID, Reason: reason}})
	}
}

// leaseExpired reports whether the last lease of a fenced worker has expired, that is,
// whether the eviction wait is over. The wait starts when this planner first sees that a
// majority has applied the FenceWorker record.
func (d *decision) leaseExpired(w *cfstate.Worker) bool {
	f, ok := d.confirmedFences[w.ID]
	if !ok || f.offset != w.FencedAtOffset {
		if !d.in.Entries.MajorityReached(d.grantView(), d.state.Offset, w.FencedAtOffset) {
			return false
		}
		d.confirmedFences[w.ID] = confirmedFence{offset: w.FencedAtOffset, at: d.in.Now}
		return false
	}
	return d.in.Now.Sub(f.at) >= d.settings.Timing.EvictionWait()
}

// stopDrainedRuns stops the runs on a worker if an operator drains the worker or its VM
// shuts down. For a VM shutdown, it stops only the runs of workloads that permit a move.
func (d *decision) stopDrainedRuns(w *cfstate.Worker) {
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
		t := d.state.Tasks[d.state.Assigned[a]]
		if t.Status == cfstate.TaskAssigned && d.permitted(t, permission) {
			d.addRecord(cfrecord.Record{Stop: &cfrecord.Stop{
				Epoch: d.state.Epoch, Assignment: a, Permission: permission, Reason: reason,
			}})
		}
	}
}

// permitted reports whether the workload of a task has permission p. The result is true if p
// is empty.
func (d *decision) permitted(t *cfstate.Task, p cfcore.Permission) bool {
	return p == "" || d.state.Workloads[t.Workload].Spec.Permits(p)
}

// updateQuarantine quarantines a worker if its FailStreak lists QuarantineAfter workloads or
// more. It lifts a quarantine after QuarantineFor. The worker is then on probation (see
// Settings.QuarantineFor).
func (d *decision) updateQuarantine(w *cfstate.Worker) {
	if !w.Quarantined {
		delete(d.quarantinedAt, w.ID)
		if len(w.FailStreak) >= d.settings.QuarantineAfter {
			reason := fmt.Sprintf("%d workloads failed in a row: %v", len(w.FailStreak), w.FailStreak)
			d.addRecord(cfrecord.Record{Quarantine: &cfrecord.Quarantine{Epoch: d.state.Epoch, Worker: w.ID, Reason: reason}})
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
		d.addRecord(cfrecord.Record{Quarantine: &cfrecord.Quarantine{
			Epoch: d.state.Epoch, Worker: w.ID, Lifted: true, Reason: "probe after quarantine",
		}})
	}
}

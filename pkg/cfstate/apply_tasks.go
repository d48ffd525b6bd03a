package cfstate

import (
	"fmt"
	"slices"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// addWorker adds a worker, or replaces the old instance of a worker by a new one. It
// rejects the record while the old instance has tasks. Draining carries over to the new
// instance.
func (rc *recordContext) addWorker(u *cfrecord.WorkerUp) Rejection {
	old := rc.state.Workers[u.Worker]
	if old != nil && old.Instance == u.Instance {
		return rejectedNoChange
	}
	if old != nil && len(old.Tasks) > 0 {
		return rejectedBusy
	}
	added := &Worker{
		ID: u.Worker, Instance: u.Instance, DataCentre: u.DataCentre, Rack: u.Rack,
		Capacity: u.Capacity, Tasks: map[cfcore.TaskID]cfcore.Assignment{},
	}
	if old != nil {
		added.Draining = old.Draining
	}
	rc.state.Workers[u.Worker] = added
	rc.state.Dirty[u.Worker] = struct{}{}
	rc.addEvent("worker up", string(u.Worker), "instance "+string(u.Instance))
	return notRejected
}

func (rc *recordContext) fenceWorker(f *cfrecord.FenceWorker) Rejection {
	w := rc.state.Workers[f.Worker]
	if w == nil || w.Fenced {
		return rejectedNoChange
	}
	w.Fenced = true
	w.FencedAtOffset = rc.off
	w.Reason = f.Reason
	rc.addEvent("worker barred", string(f.Worker), f.Reason)
	return notRejected
}

func (rc *recordContext) unfenceWorker(u *cfrecord.UnfenceWorker) Rejection {
	w := rc.state.Workers[u.Worker]
	if w == nil || !w.Fenced {
		return rejectedNoChange
	}
	if len(w.Tasks) > 0 {
		return rejectedBusy
	}
	w.Fenced = false
	w.Reason = ""
	rc.addEvent("worker unbarred", string(u.Worker), "it answers again")
	return notRejected
}

func (rc *recordContext) setQuarantine(q *cfrecord.Quarantine) Rejection {
	w := rc.state.Workers[q.Worker]
	if w == nil || w.Quarantined != q.Lifted {
		return rejectedNoChange
	}
	w.Quarantined = !q.Lifted
	w.Reason = q.Reason
	what := "worker quarantined"
	if q.Lifted {
		what = "worker on probation"
		// FailStreak becomes one workload shorter. If it was just long enough for the
		// quarantine, one failed run of a workload outside the list now leads to another
		// quarantine.
		w.FailStreak = w.FailStreak[:max(0, len(w.FailStreak)-1)]
	}
	rc.addEvent(what, string(q.Worker), q.Reason)
	return notRejected
}

func (rc *recordContext) assignTask(a *cfrecord.Assign) Rejection {
	t := rc.state.Tasks[a.Task]
	if t == nil || t.Status != TaskPending {
		return rejectedTask
	}
	w := rc.state.Workers[a.Worker]
	if w == nil || !w.Usable() {
		return rejectedWorker
	}
	if w.Instance != a.Instance {
		return rejectedInstance
	}
	if a.Assignment <= rc.state.LastAssignment {
		return rejectedNumber
	}
	need := rc.state.Workloads[t.Workload].Spec.Resources
	if !w.Used.Add(need).Fits(w.Capacity) {
		return rejectedCapacity
	}
	rc.state.LastAssignment = a.Assignment
	rc.state.Assigned[a.Assignment] = t.ID
	delete(rc.state.Pending, t.ID)
	w.Used = w.Used.Add(need)
	w.Tasks[t.ID] = a.Assignment
	t.Assignment, t.Worker, t.Instance = a.Assignment, a.Worker, a.Instance
	rc.state.Dirty[a.Worker] = struct{}{}
	rc.setStatus(t, TaskAssigned, "")
	rc.addTaskEvent(t, "assigned", assignCause(a, t))
	return notRejected
}

// assignCause returns the Cause of the event that records assignment a.
func assignCause(a *cfrecord.Assign, t *Task) string {
	from := "from the beginning"
	if t.Checkpoint != "" {
		from = "from checkpoint " + t.Checkpoint
	}
	return fmt.Sprintf("assignment %d on %s, %s", a.Assignment, a.Worker, from)
}

func (rc *recordContext) setStatus(t *Task, status TaskStatus, reason string) {
	t.Status = status
	t.Reason = reason
	t.Since = rc.at
}

// taskOf returns the task whose current assignment is a, or nil if there is none.
func (rc *recordContext) taskOf(a cfcore.Assignment) *Task {
	id, ok := rc.state.Assigned[a]
	if !ok {
		return nil
	}
	return rc.state.Tasks[id]
}

// stopRun marks the task of a run as stopping. The task's status changes again when the run
// ends (see endRun).
func (rc *recordContext) stopRun(r *cfrecord.Stop) Rejection {
	t := rc.taskOf(r.Assignment)
	if t == nil || t.Status != TaskAssigned {
		return rejectedUnassigned
	}
	if r.Permission != "" && !rc.state.Workloads[t.Workload].Spec.Permits(r.Permission) {
		return rejectedPermission
	}
	rc.state.Dirty[t.Worker] = struct{}{}
	rc.setStatus(t, TaskStopping, r.Reason)
	rc.addTaskEvent(t, "stopping", r.Reason)
	return notRejected
}

func (rc *recordContext) setCheckpoint(c *cfrecord.Checkpoint) Rejection {
	t := rc.taskOf(c.Assignment)
	if t == nil {
		return rejectedUnassigned
	}
	t.Checkpoint = c.Checkpoint
	return notRejected
}

// endRun takes the task off its worker and sets its next status, which depends on how the
// run ended.
func (rc *recordContext) endRun(e *cfrecord.RunEnded) Rejection {
	t := rc.taskOf(e.Assignment)
	if t == nil {
		return rejectedUnassigned
	}
	w := rc.state.Workers[t.Worker]
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	rc.unassignTask(t, w)
	spec := &rc.state.Workloads[t.Workload].Spec
	switch {
	case t.Cancel:
		rc.endTask(t, TaskCancelled, "removed by an operator")
	case e.State == cfcore.RunDone && spec.Class == cfcore.ClassBatch:
		w.FailStreak = nil
		rc.endTask(t, TaskDone, "run ended with success")
	case e.State == cfcore.RunFailed || e.State == cfcore.RunDone:
		rc.handleFailure(t, w, spec, e.Reason)
	default:
		rc.handleEviction(t, spec, e)
	}
	return notRejected
}

// unassignTask removes a task from its worker and frees the resources reserved for it.
func (rc *recordContext) unassignTask(t *Task, w *Worker) {
	rc.state.Dirty[w.ID] = struct{}{}
	delete(rc.state.Assigned, t.Assignment)
	delete(w.Tasks, t.ID)
	w.Used = w.Used.Sub(rc.state.Workloads[t.Workload].Spec.Resources)
}

// endTask gives a task the status of an ended task, and adds the task to EndedTasks.
func (rc *recordContext) endTask(t *Task, status TaskStatus, cause string) {
	rc.setStatus(t, status, cause)
	delete(rc.state.Pending, t.ID)
	rc.state.EndedTasks = append(rc.state.EndedTasks, t.ID)
	rc.addTaskEvent(t, string(status), cause)
	wl := rc.state.Workloads[t.Workload]
	wl.Live--
}

// handleFailure counts a failure of the task, and adds the task's workload to the worker's
// FailStreak. A batch task that has reached MaxFailures fails for good; other tasks start
// again or are held.
func (rc *recordContext) handleFailure(t *Task, w *Worker, spec *cfcore.Workload, reason string) {
	t.Failures++
	if !slices.Contains(w.FailStreak, t.Workload) && len(w.FailStreak) < MaxFailStreak {
		w.FailStreak = append(w.FailStreak, t.Workload)
	}
	cause := fmt.Sprintf("run %d failed on %s: %s", t.Assignment, w.ID, reason)
	if spec.Class == cfcore.ClassBatch && t.Failures >= spec.MaxFailures {
		rc.endTask(t, TaskFailed, cause)
		return
	}
	rc.requeueOrHold(t, spec, "failed", cause)
}

// handleEviction counts an eviction, that is, the end of a run that neither completed nor
// failed. The task starts again or is held.
func (rc *recordContext) handleEviction(t *Task, spec *cfcore.Workload, e *cfrecord.RunEnded) {
	t.Evictions++
	cause := fmt.Sprintf("run %d on %s: %s %s", t.Assignment, t.Worker, e.State, e.Reason)
	if t.Status == TaskStopping {
		// The stop was based on a plan or a permission, so the restart needs no permission.
		rc.markPending(t, "evicted", cause)
		return
	}
	rc.requeueOrHold(t, spec, "evicted", cause)
}

// requeueOrHold makes a task pending if its workload permits a restart, and holds it
// otherwise.
func (rc *recordContext) requeueOrHold(t *Task, spec *cfcore.Workload, what, cause string) {
	if spec.Permits(cfcore.PermitRestart) {
		rc.markPending(t, what, cause)
		return
	}
	rc.setStatus(t, TaskHeld, cause)
	rc.addTaskEvent(t, what, cause+"; held, its plan gives no permission to restart")
}

func (rc *recordContext) markPending(t *Task, what, cause string) {
	rc.setStatus(t, TaskPending, cause)
	rc.state.Pending[t.ID] = struct{}{}
	rc.addTaskEvent(t, what, cause)
}

package cffold

import (
	"fmt"
	"slices"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

func (st *step) workerUp(u *cfrecord.WorkerUp) Void {
	w := st.s.Workers[u.Worker]
	if w != nil && w.Instance == u.Instance {
		return voidNoChange
	}
	if w != nil && len(w.Tasks) > 0 {
		return voidBusy
	}
	next := &Worker{
		ID: u.Worker, Instance: u.Instance, DataCentre: u.DataCentre, Rack: u.Rack,
		Capacity: u.Capacity, Tasks: map[cfcore.TaskID]cfcore.Assignment{},
	}
	if w != nil {
		next.Draining = w.Draining
	}
	st.s.Workers[u.Worker] = next
	st.s.Dirty[u.Worker] = struct{}{}
	st.audit("worker up", string(u.Worker), "instance "+string(u.Instance))
	return voidNone
}

func (st *step) bar(b *cfrecord.Bar) Void {
	w := st.s.Workers[b.Worker]
	if w == nil || w.Barred {
		return voidNoChange
	}
	w.Barred = true
	w.BarredAt = st.off
	w.Reason = b.Reason
	st.audit("worker barred", string(b.Worker), b.Reason)
	return voidNone
}

func (st *step) unbar(u *cfrecord.Unbar) Void {
	w := st.s.Workers[u.Worker]
	if w == nil || !w.Barred {
		return voidNoChange
	}
	if len(w.Tasks) > 0 {
		return voidBusy
	}
	w.Barred = false
	w.Reason = ""
	st.audit("worker unbarred", string(u.Worker), "it answers again")
	return voidNone
}

func (st *step) quarantine(q *cfrecord.Quarantine) Void {
	w := st.s.Workers[q.Worker]
	if w == nil || w.Quarantined != q.Lifted {
		return voidNoChange
	}
	w.Quarantined = !q.Lifted
	w.Reason = q.Reason
	what := "worker quarantined"
	if q.Lifted {
		what = "worker on probation"
		// One failure of any workload sends the worker back.
		w.FailStreak = w.FailStreak[:max(0, len(w.FailStreak)-1)]
	}
	st.audit(what, string(q.Worker), q.Reason)
	return voidNone
}

func (st *step) assign(a *cfrecord.Assign) Void {
	t := st.s.Tasks[a.Task]
	if t == nil || t.Status != TaskPending {
		return voidTask
	}
	w := st.s.Workers[a.Worker]
	if w == nil || !w.Usable() {
		return voidWorker
	}
	if w.Instance != a.Instance {
		return voidInstance
	}
	if a.Assignment <= st.s.LastAssignment {
		return voidNumber
	}
	need := st.s.Workloads[t.Workload].Spec.Resources
	if !w.Used.Add(need).Fits(w.Capacity) {
		return voidCapacity
	}
	st.s.LastAssignment = a.Assignment
	st.s.Assigned[a.Assignment] = t.ID
	delete(st.s.Pending, t.ID)
	w.Used = w.Used.Add(need)
	w.Tasks[t.ID] = a.Assignment
	t.Assignment, t.Worker, t.Instance = a.Assignment, a.Worker, a.Instance
	st.s.Dirty[a.Worker] = struct{}{}
	st.setStatus(t, TaskAssigned, "")
	st.note(t, "assigned", assignCause(a, t))
	return voidNone
}

func assignCause(a *cfrecord.Assign, t *Task) string {
	from := "from the beginning"
	if t.Checkpoint != "" {
		from = "from checkpoint " + t.Checkpoint
	}
	return fmt.Sprintf("assignment %d on %s, %s", a.Assignment, a.Worker, from)
}

func (st *step) setStatus(t *Task, status TaskStatus, reason string) {
	t.Status = status
	t.Reason = reason
	t.Since = st.at
}

// assigned returns the task that currently holds assignment a.
func (st *step) assigned(a cfcore.Assignment) *Task {
	id, ok := st.s.Assigned[a]
	if !ok {
		return nil
	}
	return st.s.Tasks[id]
}

func (st *step) stop(r *cfrecord.Stop) Void {
	t := st.assigned(r.Assignment)
	if t == nil || t.Status != TaskAssigned {
		return voidUnassigned
	}
	if r.Permission != "" && !st.s.Workloads[t.Workload].Spec.Permits(r.Permission) {
		return voidPermission
	}
	st.s.Dirty[t.Worker] = struct{}{}
	st.setStatus(t, TaskStopping, r.Reason)
	st.note(t, "stopping", r.Reason)
	return voidNone
}

func (st *step) checkpoint(c *cfrecord.Checkpoint) Void {
	t := st.assigned(c.Assignment)
	if t == nil {
		return voidUnassigned
	}
	t.Checkpoint = c.Checkpoint
	return voidNone
}

func (st *step) ended(e *cfrecord.Ended) Void {
	t := st.assigned(e.Assignment)
	if t == nil {
		return voidUnassigned
	}
	w := st.s.Workers[t.Worker]
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	st.release(t, w)
	spec := &st.s.Workloads[t.Workload].Spec
	switch {
	case t.Cancel:
		st.finish(t, TaskCancelled, "removed by an operator")
	case e.State == cfcore.RunDone && spec.Class == cfcore.ClassBatch:
		w.FailStreak = nil
		st.finish(t, TaskDone, "run ended with success")
	case e.State == cfcore.RunFailed || e.State == cfcore.RunDone:
		st.failed(t, w, spec, e.Reason)
	default:
		st.evicted(t, spec, e)
	}
	return voidNone
}

// release takes a task off its worker.
func (st *step) release(t *Task, w *Worker) {
	st.s.Dirty[w.ID] = struct{}{}
	delete(st.s.Assigned, t.Assignment)
	delete(w.Tasks, t.ID)
	w.Used = w.Used.Sub(st.s.Workloads[t.Workload].Spec.Resources)
}

func (st *step) finish(t *Task, status TaskStatus, cause string) {
	st.setStatus(t, status, cause)
	delete(st.s.Pending, t.ID)
	st.s.Finished = append(st.s.Finished, t.ID)
	st.note(t, string(status), cause)
	wl := st.s.Workloads[t.Workload]
	wl.Live--
}

func (st *step) failed(t *Task, w *Worker, spec *cfcore.Workload, reason string) {
	t.Failures++
	if !slices.Contains(w.FailStreak, t.Workload) && len(w.FailStreak) < MaxFailStreak {
		w.FailStreak = append(w.FailStreak, t.Workload)
	}
	cause := fmt.Sprintf("run %d failed on %s: %s", t.Assignment, w.ID, reason)
	if spec.Class == cfcore.ClassBatch && t.Failures >= spec.MaxFailures {
		st.finish(t, TaskFailed, cause)
		return
	}
	st.requeue(t, spec, "failed", cause)
}

func (st *step) evicted(t *Task, spec *cfcore.Workload, e *cfrecord.Ended) {
	t.Evictions++
	cause := fmt.Sprintf("run %d on %s: %s %s", t.Assignment, t.Worker, e.State, e.Reason)
	if t.Status == TaskStopping {
		// The stop itself rested on a plan or a permission.
		st.pend(t, "evicted", cause)
		return
	}
	st.requeue(t, spec, "evicted", cause)
}

// requeue lets a task start again where its plan permits that.
func (st *step) requeue(t *Task, spec *cfcore.Workload, what, cause string) {
	if spec.Permits(cfcore.PermitRestart) {
		st.pend(t, what, cause)
		return
	}
	st.setStatus(t, TaskHeld, cause)
	st.note(t, what, cause+"; held, its plan gives no permission to restart")
}

func (st *step) pend(t *Task, what, cause string) {
	st.setStatus(t, TaskPending, cause)
	st.s.Pending[t.ID] = struct{}{}
	st.note(t, what, cause)
}

package cfstate

import (
	"fmt"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

func (rc *recordContext) addPlan(p *cfrecord.PlanProposed) Rejection {
	if rc.state.Plans[p.Plan.ID] != nil || p.Plan.ID == "" {
		return rejectedNoChange
	}
	if len(rc.state.Plans) >= MaxPlans {
		return rejectedTooManyPlans
	}
	plan := p.Plan
	rc.state.Plans[plan.ID] = &plan
	rc.state.PlanOrder = append(rc.state.PlanOrder, plan.ID)
	rc.addEventBy(plan.Who, plan.ID, "planned", string(plan.ID), fmt.Sprintf("%d steps", len(plan.Steps)))
	return notRejected
}

// confirmPlan applies a plan. A plan that conflicts with a later change, or has a fault in
// the current state, is dropped instead.
func (rc *recordContext) confirmPlan(c *cfrecord.PlanConfirmed) Rejection {
	p := rc.state.Plans[c.Plan]
	if p == nil {
		return rejectedUnknownPlan
	}
	if key, off, ok := rc.state.Conflict(p); ok {
		rc.detail = fmt.Sprintf("%s was changed at offset %d, after the plan's base %d", key, off, p.Base)
		rc.rejectPlan(c, rc.detail)
		return rejectedPlanConflict
	}
	if faults := rc.state.CheckIntent(p.Intent); len(faults) > 0 {
		rc.detail = faults[0].String()
		rc.rejectPlan(c, rc.detail)
		return rejectedInvalidPlan
	}
	rc.state.dropPlan(c.Plan)
	rc.addEventBy(c.Who, p.ID, "confirmed", string(p.ID), "planned by "+p.Who)
	for _, key := range p.Touches {
		rc.state.Touched[key] = rc.off
	}
	rc.applyIntent(p, c.Who)
	return notRejected
}

// rejectPlan drops a plan and adds the reason to the audit trail.
func (rc *recordContext) rejectPlan(c *cfrecord.PlanConfirmed, cause string) {
	rc.addEventBy(c.Who, c.Plan, "refused", string(c.Plan), cause)
	rc.state.dropPlan(c.Plan)
}

func (s *State) dropPlan(id cfcore.PlanID) {
	delete(s.Plans, id)
	for i, o := range s.PlanOrder {
		if o == id {
			s.PlanOrder = append(s.PlanOrder[:i:i], s.PlanOrder[i+1:]...)
			return
		}
	}
}

// Conflict reports whether an object that the plan changes was changed after the plan's
// base. If so, it returns the key of the first such object and the offset of the change.
func (s *State) Conflict(p *cfrecord.Plan) (string, cfcore.Offset, bool) {
	for _, key := range p.Touches {
		if off := s.Touched[key]; off > p.Base {
			return key, off, true
		}
	}
	return "", 0, false
}

func (rc *recordContext) applyIntent(p *cfrecord.Plan, who string) {
	for _, t := range p.Intent.Teams {
		rc.state.Teams[t.Name] = t
		rc.addEventBy(who, p.ID, "team set", t.Name, t.Quota.String())
	}
	for _, name := range p.Intent.Remove {
		rc.removeWorkload(name, p, who)
	}
	for i := range p.Intent.Workloads {
		rc.applyWorkload(&p.Intent.Workloads[i], p, who)
	}
	for _, name := range p.Intent.Restart {
		rc.restartHeldTasks(name, p, who)
	}
	for _, id := range p.Intent.Drain {
		rc.setDraining(id, true, p, who)
	}
	for _, id := range p.Intent.Undrain {
		rc.setDraining(id, false, p, who)
	}
	for _, id := range p.Intent.Forget {
		rc.forgetEntry(id, p, who)
	}
}

// applyWorkload creates or changes a workload, and adds or cancels tasks to match its
// number of replicas.
func (rc *recordContext) applyWorkload(spec *cfcore.Workload, p *cfrecord.Plan, who string) {
	wl := rc.state.Workloads[spec.Name]
	what := "workload changed"
	if wl != nil && wl.Removed {
		rc.state.dropWorkload(spec.Name)
		wl = nil
	}
	if wl == nil {
		wl = &Workload{}
		rc.state.Workloads[spec.Name] = wl
		what = "workload created"
	}
	wl.Spec = *spec
	wl.Plan = p.ID
	wl.Changed = rc.off
	rc.addEventBy(who, p.ID, what, spec.Name, fmt.Sprintf("%d x %s", spec.Replicas, spec.Resources))
	for i := 0; i < spec.Replicas; i++ {
		rc.ensureTask(wl, i)
	}
	rc.cancelSurplus(wl)
}

// ensureTask creates the task of a replica, unless the task was done or has failed. If the task
// exists and is cancelled or being cancelled, ensureTask revokes the cancellation.
func (rc *recordContext) ensureTask(wl *Workload, index int) {
	id := cfcore.NewTaskID(wl.Spec.Name, index)
	t := rc.state.Tasks[id]
	switch {
	case t == nil && wl.wasDropped(index):
		return
	case t == nil:
		t = &Task{ID: id, Workload: wl.Spec.Name, Index: index}
		rc.state.Tasks[id] = t
		wl.Kept++
		wl.Live++
		rc.markPending(t, "accepted", "plan confirmed")
	case t.Cancel && !t.Status.Ended():
		// The replica is wanted again before its run has stopped.
		t.Cancel = false
	case t.Status == TaskCancelled:
		rc.state.removeEndedTask(id)
		wl.Live++
		rc.markPending(t, "accepted", "plan confirmed")
	}
	wl.index(t)
}

// dropWorkload deletes a removed workload and its tasks. All the tasks must have ended.
func (s *State) dropWorkload(name string) {
	kept := make([]cfcore.TaskID, 0, len(s.EndedTasks))
	for _, id := range s.EndedTasks {
		if t := s.Tasks[id]; t != nil && t.Workload == name {
			delete(s.Tasks, id)
			continue
		}
		kept = append(kept, id)
	}
	s.EndedTasks = kept
	delete(s.Workloads, name)
}

// removeEndedTask removes a task from EndedTasks.
func (s *State) removeEndedTask(id cfcore.TaskID) {
	for i, f := range s.EndedTasks {
		if f == id {
			s.EndedTasks = append(s.EndedTasks[:i:i], s.EndedTasks[i+1:]...)
			return
		}
	}
}

// cancelSurplus cancels the tasks of the replicas beyond the number that the workload now
// has.
func (rc *recordContext) cancelSurplus(wl *Workload) {
	for _, t := range rc.state.tasksFrom(wl, wl.Spec.Replicas) {
		rc.cancelTask(t, "fewer replicas wanted")
	}
}

func (rc *recordContext) removeWorkload(name string, p *cfrecord.Plan, who string) {
	wl := rc.state.Workloads[name]
	wl.Removed = true
	wl.Plan = p.ID
	wl.Changed = rc.off
	rc.addEventBy(who, p.ID, "workload removed", name, "")
	for _, t := range rc.state.TasksOf(wl) {
		rc.cancelTask(t, "workload removed")
	}
}

// cancelTask cancels a task. If the task is on a worker, its run is stopped first, and the
// task is cancelled when the run ends. Ended tasks stay as they are.
func (rc *recordContext) cancelTask(t *Task, cause string) {
	switch {
	case t.Status.Ended():
	case t.Status.OnWorker():
		t.Cancel = true
		rc.state.Dirty[t.Worker] = struct{}{}
		rc.setStatus(t, TaskStopping, cause)
		rc.addTaskEvent(t, "stopping", cause)
	default:
		rc.endTask(t, TaskCancelled, cause)
	}
}

// restartHeldTasks makes the held tasks of a workload pending.
func (rc *recordContext) restartHeldTasks(name string, p *cfrecord.Plan, who string) {
	rc.addEventBy(who, p.ID, "restart allowed", name, "")
	for _, t := range rc.state.TasksOf(rc.state.Workloads[name]) {
		if t.Status == TaskHeld {
			rc.markPending(t, "restart allowed", "plan confirmed")
		}
	}
}

func (rc *recordContext) setDraining(id cfcore.WorkerID, draining bool, p *cfrecord.Plan, who string) {
	rc.state.Workers[id].Draining = draining
	what := "worker draining"
	if !draining {
		what = "worker takes tasks"
	}
	rc.addEventBy(who, p.ID, what, string(id), "plan confirmed")
}

// forgetEntry removes a lost member at an operator's request. The planner's own changes of
// the membership wait until a majority has applied the current membership. This removal does
// not wait, and so works even after the loss of a majority.
func (rc *recordContext) forgetEntry(id cfcore.EntryID, p *cfrecord.Plan, who string) {
	if i := indexMember(rc.state.Members, id); i >= 0 {
		rc.state.Members = removeMember(rc.state.Members, i)
		rc.state.MemberVersion++
	}
	rc.addEventBy(who, p.ID, "entry forgotten", string(id), "plan confirmed")
}

package cffold

import (
	"fmt"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

func (st *step) planned(p *cfrecord.Planned) Void {
	if st.s.Plans[p.Plan.ID] != nil || p.Plan.ID == "" {
		return voidNoChange
	}
	if len(st.s.Plans) >= MaxPlans {
		return voidFull
	}
	plan := p.Plan
	st.s.Plans[plan.ID] = &plan
	st.s.PlanOrder = append(st.s.PlanOrder, plan.ID)
	st.auditBy(plan.Who, plan.ID, "planned", string(plan.ID), fmt.Sprintf("%d steps", len(plan.Steps)))
	return voidNone
}

func (st *step) confirmed(c *cfrecord.Confirmed) Void {
	p := st.s.Plans[c.Plan]
	if p == nil {
		return voidPlan
	}
	if key, off, ok := st.s.Overtaken(p); ok {
		st.detail = fmt.Sprintf("%s was changed at offset %d, after the plan's base %d", key, off, p.Base)
		st.refuse(c, st.detail)
		return voidConflict
	}
	if faults := st.s.CheckIntent(p.Intent); len(faults) > 0 {
		st.detail = faults[0].String()
		st.refuse(c, st.detail)
		return voidInvalid
	}
	st.s.dropPlan(c.Plan)
	st.auditBy(c.Who, p.ID, "confirmed", string(p.ID), "planned by "+p.Who)
	for _, key := range p.Touches {
		st.s.Touched[key] = st.off
	}
	st.carryOut(p, c.Who)
	return voidNone
}

func (st *step) refuse(c *cfrecord.Confirmed, cause string) {
	st.auditBy(c.Who, c.Plan, "refused", string(c.Plan), cause)
	st.s.dropPlan(c.Plan)
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

// Overtaken returns the first key of a plan that changed after the plan's base.
func (s *State) Overtaken(p *cfrecord.Plan) (string, cfcore.Offset, bool) {
	for _, key := range p.Touches {
		if off := s.Touched[key]; off > p.Base {
			return key, off, true
		}
	}
	return "", 0, false
}

func (st *step) carryOut(p *cfrecord.Plan, who string) {
	for _, t := range p.Intent.Teams {
		st.s.Teams[t.Name] = t
		st.auditBy(who, p.ID, "team set", t.Name, t.Quota.String())
	}
	for _, name := range p.Intent.Remove {
		st.remove(name, p, who)
	}
	for i := range p.Intent.Workloads {
		st.accept(&p.Intent.Workloads[i], p, who)
	}
	for _, name := range p.Intent.Restart {
		st.restart(name, p, who)
	}
	for _, id := range p.Intent.Drain {
		st.drain(id, true, p, who)
	}
	for _, id := range p.Intent.Undrain {
		st.drain(id, false, p, who)
	}
	for _, id := range p.Intent.Forget {
		st.forget(id, p, who)
	}
}

// accept creates a workload, or changes it.
func (st *step) accept(spec *cfcore.Workload, p *cfrecord.Plan, who string) {
	wl := st.s.Workloads[spec.Name]
	what := "workload changed"
	if wl != nil && wl.Removed {
		st.s.dropWorkload(spec.Name)
		wl = nil
	}
	if wl == nil {
		wl = &Workload{}
		st.s.Workloads[spec.Name] = wl
		what = "workload created"
	}
	wl.Spec = *spec
	wl.Plan = p.ID
	wl.Changed = st.off
	st.auditBy(who, p.ID, what, spec.Name, fmt.Sprintf("%d x %s", spec.Replicas, spec.Resources))
	for i := 0; i < spec.Replicas; i++ {
		st.ensureTask(wl, i)
	}
	st.shrink(wl)
}

func (st *step) ensureTask(wl *Workload, index int) {
	id := cfcore.NewTaskID(wl.Spec.Name, index)
	t := st.s.Tasks[id]
	switch {
	case t == nil:
		t = &Task{ID: id, Workload: wl.Spec.Name, Index: index}
		st.s.Tasks[id] = t
		wl.Live++
		st.pend(t, "accepted", "plan confirmed")
	case t.Cancel && !t.Status.Ended():
		// The operator asked for the replica again before it had stopped.
		t.Cancel = false
	case t.Status == TaskCancelled:
		st.s.unfinish(id)
		wl.Live++
		st.pend(t, "accepted", "plan confirmed")
	}
}

// dropWorkload forgets a removed workload whose tasks have all ended.
func (s *State) dropWorkload(name string) {
	for i := 0; ; i++ {
		id := cfcore.NewTaskID(name, i)
		if s.Tasks[id] == nil {
			break
		}
		s.unfinish(id)
		delete(s.Tasks, id)
	}
	delete(s.Workloads, name)
}

func (s *State) unfinish(id cfcore.TaskID) {
	for i, f := range s.Finished {
		if f == id {
			s.Finished = append(s.Finished[:i:i], s.Finished[i+1:]...)
			return
		}
	}
}

// shrink cancels the replicas beyond the wanted number.
func (st *step) shrink(wl *Workload) {
	for i := wl.Spec.Replicas; ; i++ {
		t := st.s.Tasks[cfcore.NewTaskID(wl.Spec.Name, i)]
		if t == nil {
			return
		}
		st.cancel(t, "fewer replicas wanted")
	}
}

func (st *step) remove(name string, p *cfrecord.Plan, who string) {
	wl := st.s.Workloads[name]
	wl.Removed = true
	wl.Plan = p.ID
	wl.Changed = st.off
	st.auditBy(who, p.ID, "workload removed", name, "")
	for i := 0; ; i++ {
		t := st.s.Tasks[cfcore.NewTaskID(name, i)]
		if t == nil {
			return
		}
		st.cancel(t, "workload removed")
	}
}

func (st *step) cancel(t *Task, cause string) {
	switch {
	case t.Status.Ended():
	case t.Status.OnWorker():
		t.Cancel = true
		st.s.Dirty[t.Worker] = struct{}{}
		st.setStatus(t, TaskStopping, cause)
		st.note(t, "stopping", cause)
	default:
		st.finish(t, TaskCancelled, cause)
	}
}

func (st *step) restart(name string, p *cfrecord.Plan, who string) {
	st.auditBy(who, p.ID, "restart allowed", name, "")
	for i := 0; ; i++ {
		t := st.s.Tasks[cfcore.NewTaskID(name, i)]
		if t == nil {
			return
		}
		if t.Status == TaskHeld {
			st.pend(t, "restart allowed", "plan confirmed")
		}
	}
}

func (st *step) drain(id cfcore.WorkerID, on bool, p *cfrecord.Plan, who string) {
	st.s.Workers[id].Draining = on
	what := "worker draining"
	if !on {
		what = "worker takes tasks"
	}
	st.auditBy(who, p.ID, what, string(id), "plan confirmed")
}

// forget turns a lost member into one that the planner may take out without
// the consent of a majority.
func (st *step) forget(id cfcore.EntryID, p *cfrecord.Plan, who string) {
	if i := indexMember(st.s.Members, id); i >= 0 {
		st.s.Members = removeMember(st.s.Members, i)
		st.s.MemberVersion++
	}
	st.auditBy(who, p.ID, "entry forgotten", string(id), "plan confirmed")
}

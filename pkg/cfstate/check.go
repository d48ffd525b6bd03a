package cfstate

import (
	"fmt"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
)

// CheckIntent returns the faults of an intent. It first checks the intent on its own (see
// cfintent.Intent.Check). Only an intent that passes is checked against the state.
func (s *State) CheckIntent(in cfintent.Intent) []cfintent.Fault {
	faults := in.Check()
	if len(faults) > 0 {
		return faults
	}
	c := &intentChecker{state: s}
	c.checkWorkloads(in)
	c.checkQuotas(in)
	c.checkWorkloadsExist("Remove", in.Remove)
	c.checkWorkloadsExist("Restart", in.Restart)
	c.checkWorkersExist("Drain", in.Drain)
	c.checkWorkersExist("Undrain", in.Undrain)
	for i, id := range in.Forget {
		if !s.IsMember(id) {
			c.addFault(fmt.Sprintf("Forget[%d]", i), "entry %q is not a member", id)
		}
	}
	return c.faults
}

// intentChecker collects the faults of an intent that depend on the state.
type intentChecker struct {
	state  *State
	faults []cfintent.Fault
}

func (c *intentChecker) addFault(key, format string, args ...any) {
	c.faults = append(c.faults, cfintent.Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

// checkWorkloads checks that each workload fits on some worker. It also checks a workload
// against an existing one of the same name: the class and the resources must not change. A
// removed workload can be created again, with any class and resources, once all its tasks
// have ended.
func (c *intentChecker) checkWorkloads(in cfintent.Intent) {
	for i := range in.Workloads {
		w := &in.Workloads[i]
		key := fmt.Sprintf("Workloads[%d]", i)
		if !c.state.FitsAnyWorker(w.Resources) {
			c.addFault(key+".Resources", "%s can never run: no worker holds %s; the largest have %s",
				w.Name, w.Resources, c.state.maxCapacity())
		}
		old := c.state.Workloads[w.Name]
		switch {
		case old == nil:
		case old.Removed && old.Live > 0:
			c.addFault(key+".Name", "%s was removed and still has %d tasks that stop", w.Name, old.Live)
		case !old.Removed:
			c.checkChange(key, &old.Spec, w)
		}
	}
}

func (c *intentChecker) checkChange(key string, old, w *cfcore.Workload) {
	if old.Class != w.Class {
		c.addFault(key+".Class", "%s is a %s and cannot become a %s", w.Name, old.Class, w.Class)
	}
	if old.Resources != w.Resources {
		c.addFault(key+".Resources", "%s has %s, which cannot change; remove it and use another name", w.Name, old.Resources)
	}
}

func (c *intentChecker) checkWorkloadsExist(key string, names []string) {
	for i, n := range names {
		if w := c.state.Workloads[n]; w == nil || w.Removed {
			c.addFault(fmt.Sprintf("%s[%d]", key, i), "there is no workload %q", n)
		}
	}
}

func (c *intentChecker) checkWorkersExist(key string, ids []cfcore.WorkerID) {
	for i, id := range ids {
		if c.state.Workers[id] == nil {
			c.addFault(fmt.Sprintf("%s[%d]", key, i), "there is no worker %q", id)
		}
	}
}

// checkQuotas checks the teams of the intent's workloads. A workload has a fault if its team
// has no quota, or if the team would use more than the quota after the intent is applied.
func (c *intentChecker) checkQuotas(in cfintent.Intent) {
	limits := map[string]cfcore.Resources{}
	for name, t := range c.state.Teams {
		limits[name] = t.Quota
	}
	for _, t := range in.Teams {
		limits[t.Name] = t.Quota
	}
	usage := c.usageAfter(in)
	for i := range in.Workloads {
		team := in.Workloads[i].Team
		limit, ok := limits[team]
		key := fmt.Sprintf("Workloads[%d].Team", i)
		if !ok {
			c.addFault(key, "there is no team %q; give it a quota in Teams", team)
			continue
		}
		if !usage[team].Fits(limit) {
			c.addFault(key, "team %s would use %s of its quota %s", team, usage[team], limit)
		}
	}
}

// usageAfter returns the resources that each team would use after the intent is applied.
// The tasks of removed workloads do not count, even while they are still stopping.
func (c *intentChecker) usageAfter(in cfintent.Intent) map[string]cfcore.Resources {
	replaced := map[string]bool{}
	for _, n := range in.Remove {
		replaced[n] = true
	}
	usage := map[string]cfcore.Resources{}
	for i := range in.Workloads {
		w := &in.Workloads[i]
		replaced[w.Name] = true
		usage[w.Team] = usage[w.Team].Add(scale(w.Resources, c.liveTasksAfter(w)))
	}
	for name, w := range c.state.Workloads {
		if !replaced[name] && !w.Removed {
			usage[w.Spec.Team] = usage[w.Spec.Team].Add(scale(w.Spec.Resources, w.Live))
		}
	}
	return usage
}

// liveTasksAfter estimates how many live tasks workload w would have right after w is applied.
// A live task is one that has not ended. If w lowers the number of replicas, the estimate
// still counts the tasks that w cancels, because those on a worker have yet to stop.
func (c *intentChecker) liveTasksAfter(w *cfcore.Workload) int {
	old := c.state.Workloads[w.Name]
	if old == nil || old.Removed {
		return w.Replicas
	}
	return old.Live + max(0, w.Replicas-old.Spec.Replicas)
}

// FitsAnyWorker reports whether r fits within the capacity of at least one worker. It
// returns true if no workers are known yet.
func (s *State) FitsAnyWorker(r cfcore.Resources) bool {
	if len(s.Workers) == 0 {
		return true
	}
	for _, w := range s.Workers {
		if r.Fits(w.Capacity) {
			return true
		}
	}
	return false
}

// maxCapacity returns the largest capacity of any worker, for each dimension separately.
func (s *State) maxCapacity() cfcore.Resources {
	var out cfcore.Resources
	for _, w := range s.Workers {
		out.MilliCores = max(out.MilliCores, w.Capacity.MilliCores)
		out.MemoryMB = max(out.MemoryMB, w.Capacity.MemoryMB)
		out.Accelerators = max(out.Accelerators, w.Capacity.Accelerators)
	}
	return out
}

package cffold

import (
	"fmt"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
)

// CheckIntent returns everything that is wrong with an intent, by itself and
// against the state.
func (s *State) CheckIntent(in cfintent.Intent) []cfintent.Fault {
	faults := in.Check()
	if len(faults) > 0 {
		return faults
	}
	c := &stateChecker{s: s}
	c.workloads(in)
	c.quotas(in)
	c.existing("Remove", in.Remove)
	c.existing("Restart", in.Restart)
	c.workers("Drain", in.Drain)
	c.workers("Undrain", in.Undrain)
	for i, id := range in.Forget {
		if !s.IsMember(id) {
			c.add(fmt.Sprintf("Forget[%d]", i), "entry %q is not a member", id)
		}
	}
	return c.faults
}

type stateChecker struct {
	s      *State
	faults []cfintent.Fault
}

func (c *stateChecker) add(key, format string, args ...any) {
	c.faults = append(c.faults, cfintent.Fault{Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *stateChecker) workloads(in cfintent.Intent) {
	for i := range in.Workloads {
		w := &in.Workloads[i]
		key := fmt.Sprintf("Workloads[%d]", i)
		if !c.s.FitsSomewhere(w.Resources) {
			c.add(key+".Resources", "%s can never run: no worker holds %s; the largest have %s",
				w.Name, w.Resources, c.s.largest())
		}
		old := c.s.Workloads[w.Name]
		switch {
		case old == nil:
		case old.Removed && old.Live > 0:
			c.add(key+".Name", "%s was removed and still has %d tasks that stop", w.Name, old.Live)
		case !old.Removed:
			c.change(key, &old.Spec, w)
		}
	}
}

func (c *stateChecker) change(key string, old, w *cfcore.Workload) {
	if old.Class != w.Class {
		c.add(key+".Class", "%s is a %s and cannot become a %s", w.Name, old.Class, w.Class)
	}
	if old.Resources != w.Resources {
		c.add(key+".Resources", "%s has %s, which cannot change; remove it and use another name", w.Name, old.Resources)
	}
}

func (c *stateChecker) existing(key string, names []string) {
	for i, n := range names {
		if w := c.s.Workloads[n]; w == nil || w.Removed {
			c.add(fmt.Sprintf("%s[%d]", key, i), "there is no workload %q", n)
		}
	}
}

func (c *stateChecker) workers(key string, ids []cfcore.WorkerID) {
	for i, id := range ids {
		if c.s.Workers[id] == nil {
			c.add(fmt.Sprintf("%s[%d]", key, i), "there is no worker %q", id)
		}
	}
}

// quotas checks what each team would use after the intent.
func (c *stateChecker) quotas(in cfintent.Intent) {
	limits := map[string]cfcore.Resources{}
	for name, t := range c.s.Teams {
		limits[name] = t.Quota
	}
	for _, t := range in.Teams {
		limits[t.Name] = t.Quota
	}
	uses := c.usesAfter(in)
	for i := range in.Workloads {
		team := in.Workloads[i].Team
		limit, ok := limits[team]
		key := fmt.Sprintf("Workloads[%d].Team", i)
		if !ok {
			c.add(key, "there is no team %q; give it a quota in Teams", team)
			continue
		}
		if !uses[team].Fits(limit) {
			c.add(key, "team %s would use %s of its quota %s", team, uses[team], limit)
		}
	}
}

func (c *stateChecker) usesAfter(in cfintent.Intent) map[string]cfcore.Resources {
	replaced := map[string]bool{}
	for _, n := range in.Remove {
		replaced[n] = true
	}
	uses := map[string]cfcore.Resources{}
	for i := range in.Workloads {
		w := &in.Workloads[i]
		replaced[w.Name] = true
		uses[w.Team] = uses[w.Team].Add(scale(w.Resources, c.liveAfter(w)))
	}
	for name, w := range c.s.Workloads {
		if !replaced[name] && !w.Removed {
			uses[w.Spec.Team] = uses[w.Spec.Team].Add(scale(w.Spec.Resources, w.Live))
		}
	}
	return uses
}

// liveAfter returns how many tasks of a workload have not ended once w is accepted.
func (c *stateChecker) liveAfter(w *cfcore.Workload) int {
	old := c.s.Workloads[w.Name]
	if old == nil || old.Removed {
		return w.Replicas
	}
	return old.Live + max(0, w.Replicas-old.Spec.Replicas)
}

// FitsSomewhere reports whether any worker's capacity holds r. A fleet without
// workers yet holds everything.
func (s *State) FitsSomewhere(r cfcore.Resources) bool {
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

func (s *State) largest() cfcore.Resources {
	var out cfcore.Resources
	for _, w := range s.Workers {
		out.MilliCores = max(out.MilliCores, w.Capacity.MilliCores)
		out.MemoryMB = max(out.MemoryMB, w.Capacity.MemoryMB)
		out.Accelerators = max(out.Accelerators, w.Capacity.Accelerators)
	}
	return out
}

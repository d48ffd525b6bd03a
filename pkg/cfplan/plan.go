// Package cfplan turns an operator's intent into a plan. A plan lists the changes to make,
// the objects that they affect, and the permissions of the workloads.
package cfplan

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

// Kind classifies the errors of this package.
type Kind string

// Make returns errors of these kinds.
const (
	// KindInvalid marks an intent that has faults.
	KindInvalid Kind = "invalid intent"
	// KindNoChange marks an intent that would change nothing in the state.
	KindNoChange Kind = "nothing to change"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Request asks for a plan. ID becomes the ID of the plan, and Who is the operator who
// makes the plan at time At.
type Request struct {
	ID     cfcore.PlanID
	Who    string
	At     time.Time
	Intent cfintent.Intent
}

// Make returns the plan that leads from state s to what the intent requests. s is only read.
// The kind of the error is KindInvalid or KindNoChange.
func Make(s *cfstate.State, r Request) (*cfrecord.Plan, error) {
	in := r.Intent.WithDefaults()
	if faults := s.CheckIntent(in); len(faults) > 0 {
		return nil, cferror.New("make plan", KindInvalid, "%s", joinFaults(faults))
	}
	b := &builder{state: s, touches: map[string]bool{}}
	b.addTeamSteps(in.Teams)
	b.addWorkloadSteps(in.Workloads)
	b.addRemoveSteps(in.Remove)
	b.addRestartSteps(in.Restart)
	b.addDrainSteps(in.Drain, in.Undrain)
	b.addForgetSteps(in.Forget)
	if len(b.steps) == 0 {
		return nil, cferror.New("make plan", KindNoChange, "all of it is in force already")
	}
	return &cfrecord.Plan{
		ID: r.ID, Who: r.Who, At: r.At, Base: s.Offset,
		Intent: in, Steps: b.steps, Touches: b.sortedTouches(),
	}, nil
}

func joinFaults(faults []cfintent.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// builder collects the steps of a plan. touches is the set of the keys of the objects that
// the steps change.
type builder struct {
	state   *cfstate.State
	steps   []cfrecord.Step
	touches map[string]bool
}

// addStep adds a step that changes the object with the given key. format and args give the
// detail of the step.
func (b *builder) addStep(key, action, subject, format string, args ...any) {
	b.touches[key] = true
	b.steps = append(b.steps, cfrecord.Step{Action: action, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

func (b *builder) sortedTouches() []string {
	out := make([]string, 0, len(b.touches))
	for k := range b.touches {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// addTeamSteps adds a step for each team whose quota is new or changes.
func (b *builder) addTeamSteps(teams []cfcore.Team) {
	for _, t := range teams {
		old, ok := b.state.Teams[t.Name]
		switch {
		case !ok:
			b.addStep(teamKey(t.Name), "set quota", t.Name, "%s", t.Quota)
		case old != t:
			b.addStep(teamKey(t.Name), "set quota", t.Name, "%s, was %s", t.Quota, old.Quota)
		}
	}
}

// addWorkloadSteps adds the steps that create or change the given workloads.
func (b *builder) addWorkloadSteps(ws []cfcore.Workload) {
	for i := range ws {
		w := &ws[i]
		old := b.state.Workloads[w.Name]
		if old == nil || old.Removed {
			b.addCreateSteps(w)
			continue
		}
		b.addChangeSteps(&old.Spec, w)
	}
}

func (b *builder) addCreateSteps(w *cfcore.Workload) {
	key := workloadKey(w.Name)
	b.addStep(key, "create", w.Name, "%s of team %s: %d x %s", w.Class, w.Team, w.Replicas, w.Resources)
	b.addPermissionSteps(key, w)
}

// addPermissionSteps adds a step for each permission of a workload, or a single step if the
// workload has no permission.
func (b *builder) addPermissionSteps(key string, w *cfcore.Workload) {
	if len(w.Permissions) == 0 {
		b.addStep(key, "permit", w.Name, "nothing: its tasks are held after a failure")
		return
	}
	for _, p := range w.Permissions {
		b.addStep(key, "permit", w.Name, "%s", describePermission(p))
	}
}

func describePermission(p cfcore.Permission) string {
	switch p {
	case cfcore.PermitRestart:
		return "Restart: start again after its VM or its run failed"
	case cfcore.PermitMove:
		return "Move: checkpoint and move to another worker"
	case cfcore.PermitEvict:
		return "Evict: checkpoint and wait, in favour of an urgent task"
	}
	return string(p)
}

func (b *builder) addChangeSteps(old, w *cfcore.Workload) {
	key := workloadKey(w.Name)
	if old.Replicas != w.Replicas {
		b.addStep(key, "scale", w.Name, "%d replicas, was %d", w.Replicas, old.Replicas)
	}
	if old.Timeout != w.Timeout {
		b.addStep(key, "set timeout", w.Name, "%s, was %s", w.Timeout, old.Timeout)
	}
	if old.Team != w.Team {
		b.addStep(key, "set team", w.Name, "%s, was %s", w.Team, old.Team)
	}
	if old.Duration != w.Duration || old.MaxFailures != w.MaxFailures {
		b.addStep(key, "set run", w.Name, "duration %s, %d failures", w.Duration, w.MaxFailures)
	}
	if fmt.Sprint(old.Permissions) != fmt.Sprint(w.Permissions) {
		b.addPermissionSteps(key, w)
	}
}

func (b *builder) addRemoveSteps(names []string) {
	for _, n := range names {
		w := b.state.Workloads[n]
		b.addStep(workloadKey(n), "remove", n, "cancel %d tasks that have not ended", w.Live)
	}
}

func (b *builder) addRestartSteps(names []string) {
	for _, n := range names {
		held := b.countHeld(n)
		if held > 0 {
			b.addStep(workloadKey(n), "restart", n, "%d held tasks", held)
		}
	}
}

// countHeld returns the number of held tasks of the named workload.
func (b *builder) countHeld(name string) int {
	n := 0
	for _, t := range b.state.TasksOf(b.state.Workloads[name]) {
		if t.Status == cfstate.TaskHeld {
			n++
		}
	}
	return n
}

func (b *builder) addDrainSteps(drained, undrained []cfcore.WorkerID) {
	for _, id := range drained {
		w := b.state.Workers[id]
		if !w.Draining {
			b.addStep(workerKey(id), "drain", string(id), "move its %d tasks, give it no new ones", len(w.Tasks))
		}
	}
	for _, id := range undrained {
		if b.state.Workers[id].Draining {
			b.addStep(workerKey(id), "undrain", string(id), "give it tasks again")
		}
	}
}

func (b *builder) addForgetSteps(ids []cfcore.EntryID) {
	for _, id := range ids {
		b.addStep("entry/"+string(id), "forget entry", string(id),
			"take it out of the membership; only for an entry that is gone for good")
	}
}

func workloadKey(name string) string      { return "workload/" + name }
func teamKey(name string) string          { return "team/" + name }
func workerKey(id cfcore.WorkerID) string { return "worker/" + string(id) }

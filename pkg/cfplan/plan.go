// Package cfplan turns an operator's intent into a plan: the steps that would be
// taken, what each touches, and the standing permissions that it asks for.
package cfplan

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfrecord"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid is an intent that cannot be planned.
	KindInvalid Kind = "invalid intent"
	// KindNothing is an intent that is in force already.
	KindNothing Kind = "nothing to change"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Request is an intent with its author and time.
type Request struct {
	ID     cfcore.PlanID
	Who    string
	At     time.Time
	Intent cfintent.Intent
}

// Make returns the plan for an intent against a state. It changes nothing.
func Make(s *cffold.State, r Request) (*cfrecord.Plan, error) {
	in := r.Intent.WithDefaults()
	if faults := s.CheckIntent(in); len(faults) > 0 {
		return nil, cferror.New("make plan", KindInvalid, "%s", join(faults))
	}
	m := &maker{s: s, touches: map[string]bool{}}
	m.teams(in.Teams)
	m.workloads(in.Workloads)
	m.remove(in.Remove)
	m.restart(in.Restart)
	m.drain(in.Drain, in.Undrain)
	m.forget(in.Forget)
	if len(m.steps) == 0 {
		return nil, cferror.New("make plan", KindNothing, "all of it is in force already")
	}
	return &cfrecord.Plan{
		ID: r.ID, Who: r.Who, At: r.At, Base: s.Offset,
		Intent: in, Steps: m.steps, Touches: m.sorted(),
	}, nil
}

func join(faults []cfintent.Fault) string {
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

type maker struct {
	s       *cffold.State
	steps   []cfrecord.Step
	touches map[string]bool
}

func (m *maker) step(touch, action, subject, format string, args ...any) {
	m.touches[touch] = true
	m.steps = append(m.steps, cfrecord.Step{Action: action, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

func (m *maker) sorted() []string {
	out := make([]string, 0, len(m.touches))
	for k := range m.touches {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (m *maker) teams(teams []cfcore.Team) {
	for _, t := range teams {
		old, ok := m.s.Teams[t.Name]
		switch {
		case !ok:
			m.step(teamKey(t.Name), "set quota", t.Name, "%s", t.Quota)
		case old != t:
			m.step(teamKey(t.Name), "set quota", t.Name, "%s, was %s", t.Quota, old.Quota)
		}
	}
}

func (m *maker) workloads(ws []cfcore.Workload) {
	for i := range ws {
		w := &ws[i]
		old := m.s.Workloads[w.Name]
		if old == nil || old.Removed {
			m.create(w)
			continue
		}
		m.change(&old.Spec, w)
	}
}

func (m *maker) create(w *cfcore.Workload) {
	key := workloadKey(w.Name)
	m.step(key, "create", w.Name, "%s of team %s: %d x %s", w.Class, w.Team, w.Replicas, w.Resources)
	m.permissions(key, w)
}

func (m *maker) permissions(key string, w *cfcore.Workload) {
	if len(w.Permissions) == 0 {
		m.step(key, "permit", w.Name, "nothing: its tasks are held after a failure")
		return
	}
	for _, p := range w.Permissions {
		m.step(key, "permit", w.Name, "%s", describe(p))
	}
}

func describe(p cfcore.Permission) string {
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

func (m *maker) change(old, w *cfcore.Workload) {
	key := workloadKey(w.Name)
	if old.Replicas != w.Replicas {
		m.step(key, "scale", w.Name, "%d replicas, was %d", w.Replicas, old.Replicas)
	}
	if old.Timeout != w.Timeout {
		m.step(key, "set timeout", w.Name, "%s, was %s", w.Timeout, old.Timeout)
	}
	if old.Team != w.Team {
		m.step(key, "set team", w.Name, "%s, was %s", w.Team, old.Team)
	}
	if old.Duration != w.Duration || old.MaxFailures != w.MaxFailures {
		m.step(key, "set run", w.Name, "duration %s, %d failures", w.Duration, w.MaxFailures)
	}
	if fmt.Sprint(old.Permissions) != fmt.Sprint(w.Permissions) {
		m.permissions(key, w)
	}
}

func (m *maker) remove(names []string) {
	for _, n := range names {
		w := m.s.Workloads[n]
		m.step(workloadKey(n), "remove", n, "cancel %d tasks that have not ended", w.Live)
	}
}

func (m *maker) restart(names []string) {
	for _, n := range names {
		held := m.held(n)
		if held > 0 {
			m.step(workloadKey(n), "restart", n, "%d held tasks", held)
		}
	}
}

func (m *maker) held(name string) int {
	n := 0
	for i := 0; ; i++ {
		t := m.s.Tasks[cfcore.NewTaskID(name, i)]
		if t == nil {
			return n
		}
		if t.Status == cffold.TaskHeld {
			n++
		}
	}
}

func (m *maker) drain(on, off []cfcore.WorkerID) {
	for _, id := range on {
		w := m.s.Workers[id]
		if !w.Draining {
			m.step(workerKey(id), "drain", string(id), "move its %d tasks, give it no new ones", len(w.Tasks))
		}
	}
	for _, id := range off {
		if m.s.Workers[id].Draining {
			m.step(workerKey(id), "undrain", string(id), "give it tasks again")
		}
	}
}

func (m *maker) forget(ids []cfcore.EntryID) {
	for _, id := range ids {
		m.step("entry/"+string(id), "forget entry", string(id),
			"take it out of the membership; only for an entry that is gone for good")
	}
}

func workloadKey(name string) string      { return "workload/" + name }
func teamKey(name string) string          { return "team/" + name }
func workerKey(id cfcore.WorkerID) string { return "worker/" + string(id) }

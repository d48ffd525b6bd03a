package cfentry

import (
	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfconvert"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

func planToAPI(p *cfrecord.Plan) *cfapi.Plan {
	out := &cfapi.Plan{ID: string(p.ID), Who: p.Who, At: p.At, Base: int64(p.Base), Touches: p.Touches}
	for _, s := range p.Steps {
		out.Steps = append(out.Steps, cfapi.Step{Action: s.Action, Subject: s.Subject, Detail: s.Detail})
	}
	return out
}

func eventsToAPI(in []cfstate.Event) []cfapi.Event {
	out := make([]cfapi.Event, len(in))
	for i, e := range in {
		out[i] = cfapi.Event{
			Offset: int64(e.Offset), At: e.At, Who: e.Who, What: e.What, Subject: e.Subject,
			Plan: optString(string(e.Plan)), Cause: optString(e.Cause),
		}
	}
	return out
}

// optString returns s as an optional string, which is not set if s is empty.
func optString(s string) cfapi.OptString {
	if s == "" {
		return cfapi.OptString{}
	}
	return cfapi.NewOptString(s)
}

func taskToAPI(t *cfstate.Task) cfapi.Task {
	out := cfapi.Task{
		ID: string(t.ID), Status: string(t.Status), Evictions: t.Evictions, Failures: t.Failures,
		Since: t.Since, Reason: optString(t.Reason), Checkpoint: optString(t.Checkpoint),
	}
	if t.Status.OnWorker() {
		out.Worker = cfapi.NewOptString(string(t.Worker))
		out.Assignment = cfapi.NewOptInt64(int64(t.Assignment))
	}
	return out
}

// status returns the replicated state in the form of the operators' API. The state must
// not be nil.
func (c *control) status() *cfapi.Status {
	s := c.state()
	out := &cfapi.Status{
		Entry: string(c.id), Offset: int64(s.Offset), Epoch: int64(s.Epoch),
		MemberVersion: int64(s.MemberVersion), LogHealthy: c.logHealthy,
		Entries: []cfapi.EntryStatus{}, Workers: []cfapi.WorkerStatus{}, Workloads: []cfapi.WorkloadStatus{},
	}
	for _, m := range s.Members {
		out.Entries = append(out.Entries, cfapi.EntryStatus{
			ID: string(m.Entry), Peer: m.Peer.String(), DataCentre: m.DataCentre, Planner: m.Entry == s.Planner,
		})
	}
	targets := c.targetsByWorker()
	for _, id := range sortedKeys(s.Workers) {
		out.Workers = append(out.Workers, workerToAPI(s.Workers[id], targets[id]))
	}
	for _, name := range sortedKeys(s.Workloads) {
		out.Workloads = append(out.Workloads, workloadToAPI(s, s.Workloads[name]))
	}
	return out
}

// targetsByWorker returns, for each worker, the service names of the worker's targets. It
// omits targets that are leaving.
func (c *control) targetsByWorker() map[cfcore.WorkerID][]string {
	out := map[cfcore.WorkerID][]string{}
	for _, s := range c.sortedSessions() {
		names := []string{}
		for _, t := range s.report.Targets {
			if !t.Leaving {
				names = append(names, t.Service)
			}
		}
		out[s.worker] = names
	}
	return out
}

// workerToAPI converts a worker to the API's type. targets are the service names of the
// worker's targets.
func workerToAPI(w *cfstate.Worker, targets []string) cfapi.WorkerStatus {
	state := "Up"
	switch {
	case w.Fenced:
		state = "Barred"
	case w.Draining:
		state = "Draining"
	case w.Quarantined:
		state = "Quarantined"
	}
	if targets == nil {
		targets = []string{}
	}
	return cfapi.WorkerStatus{
		ID: string(w.ID), DataCentre: w.DataCentre, Rack: w.Rack, State: state, Reason: optString(w.Reason),
		Capacity: cfconvert.ResourcesToAPI(w.Capacity), Used: cfconvert.ResourcesToAPI(w.Used), Tasks: len(w.Tasks), Targets: targets,
	}
}

// workloadToAPI converts a workload and its tasks to the API's type.
func workloadToAPI(s *cfstate.State, w *cfstate.Workload) cfapi.WorkloadStatus {
	out := cfapi.WorkloadStatus{
		Name: w.Spec.Name, Class: string(w.Spec.Class), Team: w.Spec.Team, Plan: string(w.Plan),
		Replicas: w.Spec.Replicas, Tasks: []cfapi.Task{},
	}
	if w.Removed {
		out.Removed = cfapi.NewOptBool(true)
	}
	for _, t := range s.TasksOf(w) {
		out.Tasks = append(out.Tasks, taskToAPI(t))
	}
	return out
}

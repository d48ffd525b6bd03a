// Package cfconvert turns intents of the operators' API into the scheduler's own,
// and back.
package cfconvert

import (
	"cranberryford/internal/cfapi"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
)

// IntentOf turns an intent of the API into one of the scheduler.
func IntentOf(in *cfapi.Intent) cfintent.Intent {
	out := cfintent.Intent{
		Remove: in.Remove, Restart: in.Restart,
		Drain: ids[cfcore.WorkerID](in.Drain), Undrain: ids[cfcore.WorkerID](in.Undrain),
		Forget: ids[cfcore.EntryID](in.Forget),
	}
	for i := range in.Workloads {
		out.Workloads = append(out.Workloads, workloadOf(&in.Workloads[i]))
	}
	for _, t := range in.Teams {
		out.Teams = append(out.Teams, cfcore.Team{Name: t.Name, Quota: resourcesOf(t.Quota)})
	}
	return out
}

func ids[T ~string](in []string) []T {
	var out []T
	for _, s := range in {
		out = append(out, T(s))
	}
	return out
}

func workloadOf(w *cfapi.Workload) cfcore.Workload {
	return cfcore.Workload{
		Name: w.Name, Class: cfcore.Class(w.Class), Team: w.Team, Replicas: w.Replicas.Or(0),
		Resources: resourcesOf(w.Resources), Timeout: w.Timeout.Or(0), Duration: w.Duration.Or(0),
		MaxFailures: w.MaxFailures.Or(0), Permissions: ids[cfcore.Permission](w.Permissions),
	}
}

func resourcesOf(r cfapi.Resources) cfcore.Resources {
	return cfcore.Resources{
		MilliCores: r.MilliCores.Or(0), MemoryMB: r.MemoryMB.Or(0), Accelerators: r.Accelerators.Or(0),
	}
}

// ResourcesTo turns an amount into one of the API.
func ResourcesTo(r cfcore.Resources) cfapi.Resources {
	return cfapi.Resources{
		MilliCores:   cfapi.NewOptInt64(r.MilliCores),
		MemoryMB:     cfapi.NewOptInt64(r.MemoryMB),
		Accelerators: cfapi.NewOptInt64(r.Accelerators),
	}
}

// IntentTo turns an intent into one of the API.
func IntentTo(in *cfintent.Intent) *cfapi.Intent {
	out := &cfapi.Intent{Remove: in.Remove, Restart: in.Restart}
	for i := range in.Workloads {
		out.Workloads = append(out.Workloads, workloadTo(&in.Workloads[i]))
	}
	for _, t := range in.Teams {
		out.Teams = append(out.Teams, cfapi.Team{Name: t.Name, Quota: ResourcesTo(t.Quota)})
	}
	out.Drain = texts(in.Drain)
	out.Undrain = texts(in.Undrain)
	out.Forget = texts(in.Forget)
	return out
}

func texts[T ~string](in []T) []string {
	var out []string
	for _, s := range in {
		out = append(out, string(s))
	}
	return out
}

func workloadTo(w *cfcore.Workload) cfapi.Workload {
	out := cfapi.Workload{
		Name: w.Name, Class: string(w.Class), Team: w.Team,
		Resources: ResourcesTo(w.Resources), Permissions: texts(w.Permissions),
	}
	if w.Replicas != 0 {
		out.Replicas = cfapi.NewOptInt(w.Replicas)
	}
	if w.Timeout != 0 {
		out.Timeout = cfapi.NewOptDuration(w.Timeout)
	}
	if w.Duration != 0 {
		out.Duration = cfapi.NewOptDuration(w.Duration)
	}
	if w.MaxFailures != 0 {
		out.MaxFailures = cfapi.NewOptInt(w.MaxFailures)
	}
	return out
}

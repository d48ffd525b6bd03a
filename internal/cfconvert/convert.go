// Package cfconvert converts between the operators' API types and the scheduler's
// types.
package cfconvert

import (
	"cranberryford/internal/cfapi"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
)

// IntentFromAPI converts an intent of the API to the scheduler's type.
func IntentFromAPI(in *cfapi.Intent) cfintent.Intent {
	out := cfintent.Intent{
		Remove: in.Remove, Restart: in.Restart,
		Drain: fromStrings[cfcore.WorkerID](in.Drain), Undrain: fromStrings[cfcore.WorkerID](in.Undrain),
		Forget: fromStrings[cfcore.EntryID](in.Forget),
	}
	for i := range in.Workloads {
		out.Workloads = append(out.Workloads, workloadFromAPI(&in.Workloads[i]))
	}
	for _, t := range in.Teams {
		out.Teams = append(out.Teams, cfcore.Team{Name: t.Name, Quota: resourcesFromAPI(t.Quota)})
	}
	return out
}

func fromStrings[T ~string](in []string) []T {
	var out []T
	for _, s := range in {
		out = append(out, T(s))
	}
	return out
}

func workloadFromAPI(w *cfapi.Workload) cfcore.Workload {
	return cfcore.Workload{
		Name: w.Name, Class: cfcore.Class(w.Class), Team: w.Team, Replicas: w.Replicas.Or(0),
		Resources: resourcesFromAPI(w.Resources), Timeout: w.Timeout.Or(0), Duration: w.Duration.Or(0),
		MaxFailures: w.MaxFailures.Or(0), Permissions: fromStrings[cfcore.Permission](w.Permissions),
	}
}

func resourcesFromAPI(r cfapi.Resources) cfcore.Resources {
	return cfcore.Resources{
		MilliCores: r.MilliCores.Or(0), MemoryMB: r.MemoryMB.Or(0), Accelerators: r.Accelerators.Or(0),
	}
}

// ResourcesToAPI converts resources to the API's type.
func ResourcesToAPI(r cfcore.Resources) cfapi.Resources {
	return cfapi.Resources{
		MilliCores:   cfapi.NewOptInt64(r.MilliCores),
		MemoryMB:     cfapi.NewOptInt64(r.MemoryMB),
		Accelerators: cfapi.NewOptInt64(r.Accelerators),
	}
}

// IntentToAPI converts an intent to the API's type.
func IntentToAPI(in *cfintent.Intent) *cfapi.Intent {
	out := &cfapi.Intent{Remove: in.Remove, Restart: in.Restart}
	for i := range in.Workloads {
		out.Workloads = append(out.Workloads, workloadToAPI(&in.Workloads[i]))
	}
	for _, t := range in.Teams {
		out.Teams = append(out.Teams, cfapi.Team{Name: t.Name, Quota: ResourcesToAPI(t.Quota)})
	}
	out.Drain = toStrings(in.Drain)
	out.Undrain = toStrings(in.Undrain)
	out.Forget = toStrings(in.Forget)
	return out
}

func toStrings[T ~string](in []T) []string {
	var out []string
	for _, s := range in {
		out = append(out, string(s))
	}
	return out
}

func workloadToAPI(w *cfcore.Workload) cfapi.Workload {
	out := cfapi.Workload{
		Name: w.Name, Class: string(w.Class), Team: w.Team,
		Resources: ResourcesToAPI(w.Resources), Permissions: toStrings(w.Permissions),
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

package cfdriver

import (
	"time"

	"cranberryford/internal/cfapi"
)

// Res returns an amount of resources.
func Res(milliCores, memoryMB int64) cfapi.Resources {
	return cfapi.Resources{MilliCores: cfapi.NewOptInt64(milliCores), MemoryMB: cfapi.NewOptInt64(memoryMB)}
}

// Team returns the team that owns all workloads of the tests.
func Team() cfapi.Team {
	return cfapi.Team{Name: "granite-spring", Quota: Res(1_000_000, 10_000_000)}
}

// AllPermissions are all standing permissions.
var AllPermissions = []string{"Restart", "Move", "Evict"}

// Service returns a service.
func Service(name string, replicas int) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Service", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: Res(2000, 4000), Permissions: AllPermissions,
	}
}

// Batch returns a batch job with a declared run time.
func Batch(name string, replicas int, d time.Duration) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Batch", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: Res(1000, 1000), Duration: cfapi.NewOptDuration(d), Permissions: AllPermissions,
	}
}

// Watch returns a watch.
func Watch(name string, replicas int) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Watch", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: Res(500, 500), Permissions: AllPermissions,
	}
}

// Intent returns an intent with the team and workloads.
func Intent(ws ...cfapi.Workload) *cfapi.Intent {
	return &cfapi.Intent{Teams: []cfapi.Team{Team()}, Workloads: ws}
}

// Drain returns the intent to empty a VM's worker.
func Drain(v *VMProc) *cfapi.Intent { return &cfapi.Intent{Drain: []string{v.Name}} }

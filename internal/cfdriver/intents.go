package cfdriver

import (
	"time"

	"cranberryford/internal/cfapi"
)

// NewResources returns resources without accelerators.
func NewResources(milliCores, memoryMB int64) cfapi.Resources {
	return cfapi.Resources{MilliCores: cfapi.NewOptInt64(milliCores), MemoryMB: cfapi.NewOptInt64(memoryMB)}
}

// Team returns the team that owns the workloads of the tests.
func Team() cfapi.Team {
	return cfapi.Team{Name: "granite-spring", Quota: NewResources(1_000_000, 10_000_000)}
}

// AllPermissions are all permissions that a workload can give the planner in advance.
var AllPermissions = []string{"Restart", "Move", "Evict"}

// Service returns a workload of class Service.
func Service(name string, replicas int) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Service", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: NewResources(2000, 4000), Permissions: AllPermissions,
	}
}

// Batch returns a workload of class Batch. Its declared duration is d. The workers of the tests
// complete each task after the declared duration.
func Batch(name string, replicas int, d time.Duration) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Batch", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: NewResources(1000, 1000), Duration: cfapi.NewOptDuration(d), Permissions: AllPermissions,
	}
}

// Watch returns a workload of class Watch.
func Watch(name string, replicas int) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Watch", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: NewResources(500, 500), Permissions: AllPermissions,
	}
}

// Intent returns an intent with the tests' team and the given workloads.
func Intent(ws ...cfapi.Workload) *cfapi.Intent {
	return &cfapi.Intent{Teams: []cfapi.Team{Team()}, Workloads: ws}
}

// Drain returns the intent to drain a VM's worker.
func Drain(v *VMProc) *cfapi.Intent { return &cfapi.Intent{Drain: []string{v.Name}} }

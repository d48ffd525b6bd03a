package cfcore

import "time"

// Class says what an outcome of a workload is.
type Class string

// The classes of workloads.
const (
	// ClassService answers callers; its tasks never end by themselves.
	ClassService Class = "Service"
	// ClassBatch runs to completion once.
	ClassBatch Class = "Batch"
	// ClassWatch runs without end and is evicted last.
	ClassWatch Class = "Watch"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassService || c == ClassBatch || c == ClassWatch
}

// Permission is a standing permission that a confirmed plan gives the system.
type Permission string

// The standing permissions.
const (
	// PermitRestart allows a task to be started again after its VM or its run failed.
	PermitRestart Permission = "Restart"
	// PermitMove allows a running task to be moved to another worker.
	PermitMove Permission = "Move"
	// PermitEvict allows a task to be evicted in favour of an urgent one.
	PermitEvict Permission = "Evict"
)

// Valid reports whether p is one of the permissions.
func (p Permission) Valid() bool {
	return p == PermitRestart || p == PermitMove || p == PermitEvict
}

// Workload is what an operator wants to have running.
type Workload struct {
	Name  string
	Class Class
	// Team owns the workload and pays for it from its quota.
	Team string
	// Replicas is the number of tasks, at least 1.
	Replicas int
	// Resources is what one task needs.
	Resources Resources
	// Timeout is a service's time for one call, where the caller gives none.
	Timeout time.Duration
	// Duration is the declared run time of one batch task; it may be wrong.
	Duration time.Duration
	// MaxFailures ends a batch task as failed after so many failed runs.
	MaxFailures int
	// Permissions are what may be done to its tasks without asking again.
	Permissions []Permission
}

// Permits reports whether the workload's plan gave permission p.
func (w *Workload) Permits(p Permission) bool {
	for _, q := range w.Permissions {
		if q == p {
			return true
		}
	}
	return false
}

// Team is a customer's share of the fleet.
type Team struct {
	Name string
	// Quota bounds the sum over all running tasks of the team.
	Quota Resources
}

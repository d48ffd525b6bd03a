package cfcore

import "time"

// Class is the kind of a workload. The class decides when a task is complete.
type Class string

const (
	// ClassService serves callers' requests; its tasks never complete.
	ClassService Class = "Service"
	// ClassBatch runs to completion once.
	ClassBatch Class = "Batch"
	// ClassWatch runs indefinitely. Watch tasks are placed after service tasks and before
	// batch tasks, and are not evicted in favour of other tasks.
	ClassWatch Class = "Watch"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassService || c == ClassBatch || c == ClassWatch
}

// Permission is a standing permission that a confirmed plan gives the scheduler.
type Permission string

const (
	// PermitRestart allows restarting a task after its VM or its run failed.
	PermitRestart Permission = "Restart"
	// PermitMove allows moving a running task to another worker.
	PermitMove Permission = "Move"
	// PermitEvict allows evicting a batch task in favour of a service or watch task.
	PermitEvict Permission = "Evict"
)

// Valid reports whether p is one of the permissions.
func (p Permission) Valid() bool {
	return p == PermitRestart || p == PermitMove || p == PermitEvict
}

// Workload is a set of identical tasks that an operator wants to run.
type Workload struct {
	Name  string
	Class Class
	// Team is the name of the team that owns the workload. The workload's tasks count against
	// the team's quota.
	Team string
	// Replicas is the number of tasks, at least 1.
	Replicas int
	// Resources is the amount that one task needs.
	Resources Resources
	// Timeout is a service's timeout for a call if the caller gives none.
	Timeout time.Duration
	// Duration is the declared run time of one batch task. The actual run time can differ.
	Duration time.Duration
	// MaxFailures is the number of failed runs after which a batch task fails for good.
	MaxFailures int
	// Permissions are the actions that the scheduler can take without further confirmation by
	// an operator.
	Permissions []Permission
}

// Permits reports whether the workload has permission p.
func (w *Workload) Permits(p Permission) bool {
	for _, q := range w.Permissions {
		if q == p {
			return true
		}
	}
	return false
}

// Team is an owner of workloads, with its quota.
type Team struct {
	Name string
	// Quota limits the total resources of the team's tasks that have not ended.
	Quota Resources
}

package cfcore

import (
	"context"
	"net/netip"
	"time"
)

// RunState is the state of one run of a task on a worker.
type RunState string

const (
	// RunRunning means that the run has started and has not ended.
	RunRunning RunState = "Running"
	// RunDone means that the run succeeded.
	RunDone RunState = "Done"
	// RunFailed means that the run failed with an error of its own.
	RunFailed RunState = "Failed"
	// RunStopped means that the run was stopped by request.
	RunStopped RunState = "Stopped"
	// RunLeaseExpired means that the worker ended the run because the run's lease expired.
	RunLeaseExpired RunState = "Lapsed"
)

// Ended reports whether a run in this state no longer executes.
func (s RunState) Ended() bool { return s != RunRunning && s != "" }

// Run is a worker's report on one run.
type Run struct {
	Assignment Assignment
	Task       TaskID
	State      RunState
	// Checkpoint is the newest checkpoint of the run, in the worker's own format.
	Checkpoint string
	// Reason is the reason why a run failed.
	Reason string
	// Usage is the newest sample of the run's resource usage. It was taken at worker uptime
	// UsageAt.
	Usage   Resources
	UsageAt time.Duration
}

// RunSpec is the request to start a run.
type RunSpec struct {
	Assignment Assignment
	Task       TaskID
	Workload   Workload
	// Checkpoint is the checkpoint to resume from; empty to start from the beginning.
	Checkpoint string
	// Until is the worker uptime at which the lease expires.
	Until time.Duration
}

// VMReport is the state of a worker.
type VMReport struct {
	// Instance changes whenever the worker loses its runs.
	Instance InstanceID
	// Uptime is the time on the worker's monotonic clock. Leases expire at fixed times on
	// this clock, so a delayed message cannot extend a lease.
	Uptime   time.Duration
	Capacity Resources
	Runs     []Run
}

// VM gives access to the platform's worker on the agent's VM. The worker runs tasks.
type VM interface {
	// Report returns the worker's state.
	Report(ctx context.Context) (VMReport, error)
	// Start starts a run. It does nothing if the worker already has a run of this
	// assignment.
	Start(ctx context.Context, spec RunSpec) error
	// Renew extends the leases of the given runs to worker uptime until.
	Renew(ctx context.Context, until time.Duration, runs []Assignment) error
	// Stop stops a run, after a checkpoint if the run supports checkpoints.
	Stop(ctx context.Context, a Assignment) error
	// Forget removes ended runs from the worker's reports.
	Forget(ctx context.Context, runs []Assignment) error
}

// Target is a process on a VM that serves callers' requests.
type Target struct {
	Service string
	Address netip.AddrPort
	// Slots is the number of calls that the target executes concurrently.
	Slots int
	// Connections is the number of concurrent calls that the target accepts, including
	// those that wait for a slot.
	Connections int
	// Leaving is set if the target takes no new calls.
	Leaving bool
}

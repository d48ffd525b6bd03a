package cfcore

import (
	"context"
	"net/netip"
	"time"
)

// RunState is the state of one run of a task on a worker.
type RunState string

// The states of a run.
const (
	// RunRunning is a run that has started and not ended.
	RunRunning RunState = "Running"
	// RunDone is a run that ended with success.
	RunDone RunState = "Done"
	// RunFailed is a run that ended with an error of its own.
	RunFailed RunState = "Failed"
	// RunStopped is a run that was stopped by request.
	RunStopped RunState = "Stopped"
	// RunLapsed is a run that the worker ended because its lease lapsed.
	RunLapsed RunState = "Lapsed"
)

// Ended reports whether a run in this state no longer executes.
func (s RunState) Ended() bool { return s != RunRunning && s != "" }

// Run is what a worker says of one run.
type Run struct {
	Assignment Assignment
	Task       TaskID
	State      RunState
	// Checkpoint is the newest checkpoint of the run, in the worker's own terms.
	Checkpoint string
	// Reason says why a run failed.
	Reason string
	// Usage is what the run used when it was last sampled, at worker uptime UsageAt.
	Usage   Resources
	UsageAt time.Duration
}

// RunSpec is the request to start a run.
type RunSpec struct {
	Assignment Assignment
	Task       TaskID
	Workload   Workload
	// Checkpoint is where the run resumes; empty for a start from the beginning.
	Checkpoint string
	// Until is the worker uptime at which the lease lapses.
	Until time.Duration
}

// VMReport is the state of a worker.
type VMReport struct {
	// Instance changes whenever the worker has lost its runs.
	Instance InstanceID
	// Uptime is the worker's monotonic clock. Leases are given in its terms, so
	// that a message that was delayed cannot lengthen one.
	Uptime   time.Duration
	Capacity Resources
	Runs     []Run
}

// VM is the interface to the worker on the agent's VM.
type VM interface {
	// Report returns the worker's state.
	Report(ctx context.Context) (VMReport, error)
	// Start starts a run. An assignment that this worker knows already is not
	// started again.
	Start(ctx context.Context, spec RunSpec) error
	// Renew moves the lapse of all the runs named to worker uptime until.
	Renew(ctx context.Context, until time.Duration, runs []Assignment) error
	// Stop ends a run, after a checkpoint where the run can make one.
	Stop(ctx context.Context, a Assignment) error
	// Forget drops the record of runs that have ended.
	Forget(ctx context.Context, runs []Assignment) error
}

// Target is a process that answers callers on a VM.
type Target struct {
	Service string
	Address netip.AddrPort
	// Slots is the number of calls that the target executes at the same time.
	Slots int
	// Connections is the number of calls that may be open to it at the same time.
	Connections int
	// Leaving is set when the target takes no new calls.
	Leaving bool
}

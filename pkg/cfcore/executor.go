package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// ExecutorKind says why an order failed.
type ExecutorKind string

const (
	// ExecutorOutcomeUnknown means that the order got no usable response. It is unknown whether
	// the worker has executed the order or will execute it later.
	ExecutorOutcomeUnknown ExecutorKind = "outcome unknown"
	// ExecutorFenced means that the order's fencing token is below the newest one that the
	// worker has received.
	ExecutorFenced ExecutorKind = "fenced"
	// ExecutorStale means that the run number in a start order is not above the number of an
	// earlier run of the task.
	ExecutorStale ExecutorKind = "run is not newer"
	// ExecutorLeaseExpired means that a start order arrived after the lease of its run had
	// expired.
	ExecutorLeaseExpired ExecutorKind = "lease has lapsed"
	// ExecutorNoCapacity means that the task does not fit into the worker's free capacity.
	ExecutorNoCapacity ExecutorKind = "no room"
	// ExecutorNoTicket means that a start order has no valid ticket.
	ExecutorNoTicket ExecutorKind = "no valid ticket"
	// ExecutorUnhealthy means that the order was not executed because the worker is unhealthy.
	ExecutorUnhealthy ExecutorKind = "worker is unhealthy"
	// ExecutorOtherIncarnation means that the order is for another incarnation of the worker.
	ExecutorOtherIncarnation ExecutorKind = "another life of the worker"
	// ExecutorRestarted means that the worker has restarted with the same ID since the reading of its
	// clock in the order. The next incarnation has answered, and possibly executed the order.
	ExecutorRestarted ExecutorKind = "worker has restarted"
	// ExecutorRefused means that the order cannot be encoded, or that the worker refused it for
	// any other reason.
	ExecutorRefused ExecutorKind = "refused"
)

// ExecutorError is the error type of all implementations of Executor.
type ExecutorError = cferror.Error[ExecutorKind]

// RunEnd says how a run ended.
type RunEnd string

const (
	// EndDone means that the run completed its task.
	EndDone RunEnd = "Done"
	// EndFailed means that the run failed because of its own error or the worker's.
	EndFailed RunEnd = "Failed"
	// EndStopped means that an order stopped the run.
	EndStopped RunEnd = "Stopped"
	// EndLeaseExpired means that the run's lease expired.
	EndLeaseExpired RunEnd = "Lapsed"
	// EndGangBroken means that the run was part of a gang and ended because another member of
	// the gang ended. A gang is a set of tasks that make progress only while all of them run.
	EndGangBroken RunEnd = "Broken"
	// EndGangTimeout means that the run was part of a gang and timed out waiting for the other
	// members to start.
	EndGangTimeout RunEnd = "Alone"
)

// TaskName identifies one task by its job, the number of the job's occurrence, the number
// of the step and the task's index within the step.
type TaskName struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// RunStart is the order to start a run.
type RunStart struct {
	Task TaskName
	// Run is the number of this start of the task. It increases with every start.
	Run uint64
	// Spec tells the worker what to run. It is passed on unchanged from the job's definition.
	Spec string
	// Checkpoint is the checkpoint to resume from; empty to start from the beginning.
	Checkpoint string
	// Ticket is the Advisor's permission for the start, on queues that need one.
	Ticket string
	// LeaseUntil is the time on the worker's clock at which the run's lease expires, unless
	// Hold extends the lease.
	LeaseUntil time.Duration
	// Clock is a reading of the worker's clock from before the call. A worker that answers with an
	// earlier one has restarted. Zero if there is none.
	Clock time.Duration
}

// RunningTask is a worker's report on an active run.
type RunningTask struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskName
	Run        uint64
	Checkpoint string
	// Percent is the completed part of the work; 100 for a long-running task that is working.
	Percent int
	// Gauge is the tail latency in milliseconds of a task that serves requests, or the CPU
	// usage in thousandths of a core of any other task.
	Gauge int
}

// EndedTask is a worker's report on an ended run.
type EndedTask struct {
	_ struct{} `cbor:",toarray"`
	// Number is the sequence number of this report, counted from 1 in each incarnation of
	// the worker.
	Number     uint64
	Task       TaskName
	Run        uint64
	How        RunEnd
	Checkpoint string
}

// RunLists lists the active and the ended runs of a worker.
type RunLists struct {
	// Clock is the time on the worker's clock at which the worker created the lists.
	Clock time.Duration
	// Born is when this incarnation of the worker started.
	Born    time.Time
	Running []RunningTask
	Ended   []EndedTask
	// Incomplete is set if rows are left out because they cannot be decoded. A run that is
	// missing from the lists then possibly exists.
	Incomplete bool `cbor:",omitempty"`
	// LacksEnds is set if a row that is left out is that of an end.
	LacksEnds bool `cbor:",omitempty"`
	// MoreEnds is set if Ended possibly leaves out the newest ends. The worker lists them once
	// older ones are acknowledged.
	MoreEnds bool `cbor:",omitempty"`
	// Malformed is the error of the first row that is left out, or that has a field which
	// cannot be decoded. It is nil if there is no such row.
	Malformed error `cbor:"-"`
}

// MayLackRuns reports whether a run that is missing from the lists possibly exists, or has
// possibly ended in any way.
func (l *RunLists) MayLackRuns() bool { return l.Incomplete || l.MoreEnds }

// HoldOptions are the options of Executor.Hold.
type HoldOptions struct {
	// Until is the time on the worker's clock until which the leases of all runs are
	// extended; 0 leaves them unchanged.
	Until time.Duration
	// The worker need not list EndedTasks with a Number up to LastSeen again.
	LastSeen uint64
	// Wait is the maximum time that the worker waits for a run to end before it answers (long
	// poll).
	Wait time.Duration
}

// Order holds the fields that all orders to a worker have.
type Order struct {
	// Worker is the ID of the worker that the order is for; empty for any worker.
	Worker string
	// Token is the fencing token.
	Token FencingToken
}

// FencingToken orders the orders to a worker. A worker refuses an order whose token is below
// the newest one that it has received. A token consists of the planner's epoch and the
// number of the agent's session, see cfjobagent. Tokens of a newer epoch are always higher.
type FencingToken uint64

const (
	// sessionBits is the number of low bits of a FencingToken that hold the session.
	sessionBits = 34
	// MaxSession is the highest number of a session.
	MaxSession = 1<<sessionBits - 1
)

// NewFencingToken returns the token of a session in an epoch.
func NewFencingToken(epoch Epoch, session uint64) FencingToken {
	return FencingToken(uint64(epoch)<<sessionBits | min(session, MaxSession))
}

// Epoch returns the epoch of the planner whose orders have the token.
func (t FencingToken) Epoch() Epoch { return Epoch(t >> sessionBits) }

// Session returns the session of the agent whose orders have the token.
func (t FencingToken) Session() uint64 { return uint64(t) & MaxSession }

// MaxExecutionDelay is the maximum time, according to the platform, after which a worker executes an
// order that it has not answered.
const MaxExecutionDelay = 12 * time.Second

// MaxOrderDelay is the maximum time from the sending of an order to its execution, if the
// sender gets no response. It includes 3 s for the sender's timeout.
const MaxOrderDelay = MaxExecutionDelay + 3*time.Second

// MaxLease is the longest lease that a worker grants, counted from the order that extends it.
const MaxLease = 10 * time.Second

// Executor sends orders to the worker on an agent's VM. The worker runs the tasks of jobs. Each
// method sends one kind of order.
type Executor interface {
	// Start starts a run.
	Start(ctx context.Context, o Order, s RunStart) error
	// Stop stops a run.
	Stop(ctx context.Context, o Order, t TaskName, run uint64) error
	// Hold extends the leases of all runs and returns the worker's runs.
	Hold(ctx context.Context, o Order, h HoldOptions) (RunLists, error)
	// Throttle throttles a run to a percentage of its full speed.
	Throttle(ctx context.Context, o Order, t TaskName, run uint64, percent int) error
}

// WorkerState is the content of a worker's heartbeat.
type WorkerState struct {
	// ID identifies the worker. A restarted worker can have the same ID, but has another
	// Born.
	ID         string
	Service    string
	DataCentre string
	// Labels are the worker's kind and its rack, in this order.
	Labels   []string
	Capacity Resources
	Draining bool
	// Remaining is the minimum time from the heartbeat until a draining worker shuts down.
	Remaining time.Duration
	// Clock is the time on the worker's clock at which the worker sent the heartbeat.
	Clock time.Duration
	// Born is when this incarnation of the worker started.
	Born time.Time
	// Sequence is the sequence number of the heartbeat.
	Sequence uint64
}

// Rack returns the rack label, or an empty string if there is none.
func (w *WorkerState) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}

// WorkerRegistry receives the heartbeats of workers.
type WorkerRegistry interface {
	// Heartbeat processes a heartbeat. It reports false if ctx was done before the heartbeat
	// was processed.
	Heartbeat(ctx context.Context, w WorkerState) bool
	// Leave processes the notice that a worker is about to shut down. It reports false if ctx
	// was done before the notice was processed.
	Leave(ctx context.Context, id string) bool
	// Reject records that a heartbeat was rejected because it cannot be decoded. id is the
	// worker's ID in the heartbeat; it can be invalid.
	Reject(id string, err error)
}

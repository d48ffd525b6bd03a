package cfcore

import (
	"context"
	"time"

	"cranberryford/pkg/cferror"
)

// ExecutorKind is the kind of an ExecutorError.
type ExecutorKind string

// The kinds of errors of an Executor.
const (
	// ExecutorUnknown is an order without an answer. It may be carried out later.
	ExecutorUnknown ExecutorKind = "outcome unknown"
	// ExecutorFenced is an order with a token below the newest one.
	ExecutorFenced ExecutorKind = "fenced"
	// ExecutorStale is a start of a run that is not newer than one that has ended.
	ExecutorStale ExecutorKind = "run is not newer"
	// ExecutorLate is a start whose lease would have lapsed.
	ExecutorLate ExecutorKind = "lease has lapsed"
	// ExecutorFull is a start that does not fit into the worker's room.
	ExecutorFull ExecutorKind = "no room"
	// ExecutorTicket is a start without a valid ticket.
	ExecutorTicket ExecutorKind = "no valid ticket"
	// ExecutorUnhealthy is an order that an unhealthy worker has not carried out.
	ExecutorUnhealthy ExecutorKind = "worker is unhealthy"
	// ExecutorOther is an order to another life of the worker.
	ExecutorOther ExecutorKind = "another life of the worker"
	// ExecutorRefused is an order that the worker does not accept for another reason.
	ExecutorRefused ExecutorKind = "refused"
)

// ExecutorError is the error type of all implementations of Executor.
type ExecutorError = cferror.Error[ExecutorKind]

// RunEnd says how a run ended.
type RunEnd string

// The ways in which runs end.
const (
	// EndDone is a run that finished its task.
	EndDone RunEnd = "Done"
	// EndFailed is a run that failed by its own or the worker's fault.
	EndFailed RunEnd = "Failed"
	// EndStopped is a run that was stopped by an order.
	EndStopped RunEnd = "Stopped"
	// EndLapsed is a run whose lease lapsed.
	EndLapsed RunEnd = "Lapsed"
	// EndBroken is a gang's run that ended because another member did.
	EndBroken RunEnd = "Broken"
	// EndAlone is a gang's run that waited in vain for the other members.
	EndAlone RunEnd = "Alone"
)

// TaskName names one task: a job, the number of its occurrence, the number of the
// step, and the index in the step.
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
	// Run numbers the starts of a task; it rises.
	Run  uint64
	Spec string
	// Checkpoint is where the run resumes; empty for a start from the beginning.
	Checkpoint string
	// Ticket permits the start, on queues that need one.
	Ticket string
	// Until is the time on the worker's clock to which its lease lasts at least.
	Until time.Duration
}

// RunningTask is what a worker says of a run that goes on.
type RunningTask struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskName
	Run        uint64
	Checkpoint string
	// Percent is the part of the work that is done; 100 for a long-running task at work.
	Percent int
	// Gauge is the tail latency in milliseconds of a task that serves, and the
	// processor time in use, in thousandths of a core, of any other task.
	Gauge int
}

// EndedTask is what a worker says of a run that has ended.
type EndedTask struct {
	_ struct{} `cbor:",toarray"`
	// Number counts the ends of one life of the worker, from 1.
	Number     uint64
	Task       TaskName
	Run        uint64
	How        RunEnd
	Checkpoint string
}

// RunLists is what runs on a worker and what has ended there.
type RunLists struct {
	// Clock is the worker's clock when it made the lists.
	Clock time.Duration
	// Born is when this life of the worker began.
	Born    time.Time
	Running []RunningTask
	Ended   []EndedTask
}

// HoldOptions are what a Hold asks for.
type HoldOptions struct {
	// Until is the time on the worker's clock to which the lease of all runs is
	// extended; 0 leaves it.
	Until time.Duration
	// LastSeen is the number of the last end that needs no more listing.
	LastSeen uint64
	// Wait is how long the worker waits for an end before it answers.
	Wait time.Duration
}

// Order is what all orders to a worker carry.
type Order struct {
	// Worker is the life that the order is for; empty for any.
	Worker string
	// Token is the fencing token, the epoch of the planner.
	Token Epoch
}

// LateOrders is how long after it was sent an order without an answer may still be carried
// out: 12 s by the platform's word, and the time until the answer was missed.
const LateOrders = 15 * time.Second

// Executor is the worker beside an agent, as far as tasks of jobs go.
type Executor interface {
	Start(ctx context.Context, o Order, s RunStart) error
	Stop(ctx context.Context, o Order, t TaskName, run uint64) error
	Hold(ctx context.Context, o Order, h HoldOptions) (RunLists, error)
	// Pace lets a run work at a share of its speed, in percent.
	Pace(ctx context.Context, o Order, t TaskName, run uint64, percent int) error
}

// WorkerState is what a worker says of itself in a heartbeat.
type WorkerState struct {
	// ID names the worker; a restarted one may have it again, with another Born.
	ID         string
	Service    string
	DataCentre string
	// Labels are the worker's kind and its rack.
	Labels   []string
	Capacity Resources
	Draining bool
	// Remaining is the least time that is left to a draining worker.
	Remaining time.Duration
	Clock     time.Duration
	Born      time.Time
	Sequence  uint64
}

// Rack returns the label that names the rack, or an empty string.
func (w *WorkerState) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}

// WorkerRegistry is told what a worker says of itself.
type WorkerRegistry interface {
	// Heartbeat returns whether the heartbeat has been taken note of.
	Heartbeat(ctx context.Context, w WorkerState) bool
	// Leave says that a worker is about to end.
	Leave(ctx context.Context, id string) bool
}

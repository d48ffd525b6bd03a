// Package cffold computes the state of the scheduler from the records on the
// platform's log. The fold is a pure function of the state and the next batch: it
// reads no clock and does no I/O, so every process that has read the log up to
// an offset has the same state. A record that breaks a rule is void and changes
// nothing, anywhere.
package cffold

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Bounds of the state.
const (
	// MaxSeen is the number of batch IDs kept to tell a repeated batch.
	MaxSeen = 32768
	// MaxPlans is the number of plans that wait for confirmation.
	MaxPlans = 1024
	// PlanTTL is how long a plan can be confirmed.
	PlanTTL = time.Hour
	// MaxKeys is the number of idempotency keys kept.
	MaxKeys = 200000
	// KeyTTL is how long a key's answer is repeated.
	KeyTTL = 24 * time.Hour
	// MaxFinished is the number of ended tasks kept.
	MaxFinished = 20000
	// MaxHistory is the number of events kept of one task.
	MaxHistory = 24
	// MaxAudit is the number of events kept of the whole system.
	MaxAudit = 4096
	// MaxFailStreak is the number of workloads remembered in a worker's streak.
	MaxFailStreak = 16
)

// TaskStatus is the state of a task.
type TaskStatus string

// The states of a task.
const (
	// TaskPending waits for a worker.
	TaskPending TaskStatus = "Pending"
	// TaskAssigned has a worker, on which it starts or runs.
	TaskAssigned TaskStatus = "Assigned"
	// TaskStopping has a worker, which is asked to stop it.
	TaskStopping TaskStatus = "Stopping"
	// TaskHeld may not start again until an operator says so.
	TaskHeld TaskStatus = "Held"
	// TaskDone has completed.
	TaskDone TaskStatus = "Done"
	// TaskFailed has failed too often.
	TaskFailed TaskStatus = "Failed"
	// TaskCancelled was removed by an operator.
	TaskCancelled TaskStatus = "Cancelled"
)

// Ended reports whether a task in this state never runs again.
func (s TaskStatus) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled
}

// OnWorker reports whether a task in this state takes up resources.
func (s TaskStatus) OnWorker() bool { return s == TaskAssigned || s == TaskStopping }

// Event is one line of the audit trail.
type Event struct {
	Offset  cfcore.Offset
	At      time.Time
	Who     string
	Plan    cfcore.PlanID
	What    string
	Subject string
	Cause   string
}

// Task is one replica of a workload.
type Task struct {
	ID       cfcore.TaskID
	Workload string
	Index    int
	Status   TaskStatus
	// Assignment, Worker and Instance say where the task is, while OnWorker.
	Assignment cfcore.Assignment
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
	// Checkpoint is the newest one that the log names.
	Checkpoint string
	// Evictions counts runs that ended for a reason other than the task's own.
	Evictions int
	Failures  int
	Reason    string
	// Since is when the task came into its status.
	Since time.Time
	// Cancel is set when the task ends for good once it has stopped.
	Cancel  bool
	History []Event
}

// Workload is an accepted workload.
type Workload struct {
	Spec    cfcore.Workload
	Plan    cfcore.PlanID
	Changed cfcore.Offset
	Removed bool
	// Live counts the tasks that have not ended.
	Live int
}

// Worker is a worker that has announced itself.
type Worker struct {
	ID          cfcore.WorkerID
	Instance    cfcore.InstanceID
	DataCentre  string
	Rack        string
	Capacity    cfcore.Resources
	Used        cfcore.Resources
	Barred      bool
	Draining    bool
	Quarantined bool
	Reason      string
	// FailStreak names the workloads that failed here since the last success.
	FailStreak []string
	// BarredAt is the offset of the Bar.
	BarredAt cfcore.Offset
	// Tasks are the tasks on the worker.
	Tasks map[cfcore.TaskID]cfcore.Assignment `cbor:"-"`
}

// Usable reports whether the worker takes new tasks.
func (w *Worker) Usable() bool { return !w.Barred && !w.Draining && !w.Quarantined }

// Free returns the resources that are not reserved.
func (w *Worker) Free() cfcore.Resources { return w.Capacity.Sub(w.Used) }

// Key is a claimed idempotency key.
type Key struct {
	Claim  cfrecord.BatchID
	Print  uint64
	At     time.Time
	Answer *cfrecord.Answer
}

// KeyName names a key within its service.
type KeyName struct {
	Service string
	Key     string
}

// State is everything that the log says.
type State struct {
	// Offset is that of the last entry folded, and At its time.
	Offset cfcore.Offset
	At     time.Time

	Epoch   cfcore.Epoch
	Planner cfcore.EntryID

	MemberVersion uint64
	Members       []cfrecord.Member
	Candidates    []cfrecord.Member

	LastAssignment cfcore.Assignment
	Workers        map[cfcore.WorkerID]*Worker
	Workloads      map[string]*Workload
	Tasks          map[cfcore.TaskID]*Task
	Teams          map[string]cfcore.Team
	Finished       []cfcore.TaskID
	// Assigned and Pending are found again from Tasks after decoding.
	Assigned map[cfcore.Assignment]cfcore.TaskID `cbor:"-"`
	Pending  map[cfcore.TaskID]struct{}          `cbor:"-"`

	Plans     map[cfcore.PlanID]*cfrecord.Plan
	PlanOrder []cfcore.PlanID
	// Touched is the offset of the last change of a plan key.
	Touched map[string]cfcore.Offset

	Keys     map[string]map[string]*Key
	KeyOrder []KeyName

	Seen      map[cfrecord.BatchID]struct{} `cbor:"-"`
	SeenOrder []cfrecord.BatchID

	// Dirty names the workers whose runs should be others than before. Its reader
	// empties it.
	Dirty map[cfcore.WorkerID]struct{} `cbor:"-"`

	Audit []Event
	// Void counts the records without effect, by reason.
	Void map[string]uint64
}

// NewState returns the state before the first entry.
func NewState() *State {
	return &State{
		Workers:   map[cfcore.WorkerID]*Worker{},
		Workloads: map[string]*Workload{},
		Tasks:     map[cfcore.TaskID]*Task{},
		Teams:     map[string]cfcore.Team{},
		Assigned:  map[cfcore.Assignment]cfcore.TaskID{},
		Pending:   map[cfcore.TaskID]struct{}{},
		Plans:     map[cfcore.PlanID]*cfrecord.Plan{},
		Touched:   map[string]cfcore.Offset{},
		Keys:      map[string]map[string]*Key{},
		Seen:      map[cfrecord.BatchID]struct{}{},
		Void:      map[string]uint64{},
		Dirty:     map[cfcore.WorkerID]struct{}{},
	}
}

// IsMember reports whether the entry counts for majorities.
func (s *State) IsMember(id cfcore.EntryID) bool {
	for _, m := range s.Members {
		if m.Entry == id {
			return true
		}
	}
	return false
}

// Majority returns how many members make a majority, at least 1.
func (s *State) Majority() int { return len(s.Members)/2 + 1 }

// scale returns n times an amount.
func scale(r cfcore.Resources, n int) cfcore.Resources {
	k := int64(n)
	return cfcore.Resources{MilliCores: r.MilliCores * k, MemoryMB: r.MemoryMB * k, Accelerators: r.Accelerators * k}
}

// Key returns the state of an idempotency key, or nil.
func (s *State) Key(service, key string) *Key {
	return s.Keys[service][key]
}

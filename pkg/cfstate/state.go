// Package cfstate is the replicated state machine of the scheduler. It computes the
// state by applying the records on the platform's log in order. Applying a batch
// depends only on the state and the batch: it reads no clock and does no I/O, so all
// processes that have applied the log up to the same offset have the same state. A
// record that breaks a rule is rejected by every process. It is counted in State.Void and
// changes nothing else, except that the rejected confirmation of a plan drops the plan and
// adds an event to the audit trail.
package cfstate

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Bounds of the state.
const (
	// MaxSeenBatches is the number of batch IDs kept to detect duplicate batches.
	MaxSeenBatches = 32768
	// MaxPlans is the maximum number of plans that wait for confirmation.
	MaxPlans = 1024
	// PlanTTL is how long after its creation a plan is kept for confirmation. Apply drops
	// older plans after the records of a batch, so the first batch after that time can still
	// confirm one.
	PlanTTL = time.Hour
	// MaxKeys is the maximum number of idempotency keys kept.
	MaxKeys = 200000
	// KeyTTL is how long an idempotency key and its answer are kept.
	KeyTTL = 24 * time.Hour
	// MaxEndedTasks is the maximum number of ended tasks kept.
	MaxEndedTasks = 20000
	// MaxHistory is the maximum number of events kept for one task.
	MaxHistory = 24
	// MaxAudit is the maximum number of events kept in the audit trail.
	MaxAudit = 4096
	// MaxFailStreak is the maximum number of workloads kept in a worker's FailStreak.
	MaxFailStreak = 16
)

// TaskStatus is the status of a task.
type TaskStatus string

// The statuses of a task.
const (
	// TaskPending waits for a worker.
	TaskPending TaskStatus = "Pending"
	// TaskAssigned is assigned to a worker and starting or running there.
	TaskAssigned TaskStatus = "Assigned"
	// TaskStopping is assigned to a worker that has been requested to stop it.
	TaskStopping TaskStatus = "Stopping"
	// TaskHeld does not start again until an operator allows it.
	TaskHeld TaskStatus = "Held"
	// TaskDone has completed.
	TaskDone TaskStatus = "Done"
	// TaskFailed has reached its maximum number of failures.
	TaskFailed TaskStatus = "Failed"
	// TaskCancelled was removed by an operator.
	TaskCancelled TaskStatus = "Cancelled"
)

// Ended reports whether a task with this status has ended. Of the ended tasks, only a
// cancelled one can become pending again, if a later plan wants its replica again.
func (s TaskStatus) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled
}

// OnWorker reports whether a task with this status reserves resources on a worker.
func (s TaskStatus) OnWorker() bool { return s == TaskAssigned || s == TaskStopping }

// Event is one event in the audit trail.
type Event struct {
	// Offset is the offset of the log entry that contains the record.
	Offset cfcore.Offset
	At     time.Time
	// Who is the operator who made the plan or confirmed it, or the ID of the entry that
	// wrote the record.
	Who string
	// Plan is empty if the event does not follow from a plan.
	Plan cfcore.PlanID
	// What is what happened to Subject, for example "assigned" for a task. Cause may be
	// empty.
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
	// Assignment, Worker and Instance are valid only while Status.OnWorker().
	Assignment cfcore.Assignment
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
	// Checkpoint is the newest checkpoint recorded on the log.
	Checkpoint string
	// Evictions counts runs that ended without completing or failing.
	Evictions int
	// Failures counts failed runs. A run of a service or a watch counts as failed even if it
	// ends with success.
	Failures int
	// Reason is why the task has its status; it may be empty.
	Reason string
	// Since is when the status was set.
	Since time.Time
	// Cancel is set if the task becomes TaskCancelled when its current run ends.
	Cancel  bool
	History []Event
}

// Workload is an accepted workload.
type Workload struct {
	Spec cfcore.Workload
	// Plan is the last plan that created, changed or removed the workload, and Changed the
	// offset at which it was confirmed.
	Plan    cfcore.PlanID
	Changed cfcore.Offset
	// Removed is set once a plan has removed the workload. Its tasks may still be stopping.
	Removed bool
	// Live is the number of tasks that have not ended.
	Live int
}

// Worker is a worker that a WorkerUp record has announced.
type Worker struct {
	ID         cfcore.WorkerID
	Instance   cfcore.InstanceID
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
	// Used is the total of the resources reserved by the tasks on the worker.
	Used cfcore.Resources
	// Barred is set while the worker is fenced.
	Barred bool
	// Draining is set while an operator drains the worker.
	Draining    bool
	Quarantined bool
	// Reason is the reason in the last FenceWorker or Quarantine record of this instance. It
	// is empty if there was none, and after an UnfenceWorker record.
	Reason string
	// FailStreak lists the different workloads with a failed run on this worker since a batch
	// run last completed there. The end of a quarantine removes the last workload from it.
	FailStreak []string
	// BarredAt is the offset of the record that last fenced the worker.
	BarredAt cfcore.Offset
	// Tasks maps the tasks on the worker to their assignments.
	Tasks map[cfcore.TaskID]cfcore.Assignment `cbor:"-"`
}

// Usable reports whether new tasks can be assigned to the worker.
func (w *Worker) Usable() bool { return !w.Barred && !w.Draining && !w.Quarantined }

// Free returns the worker's unreserved resources.
func (w *Worker) Free() cfcore.Resources { return w.Capacity.Sub(w.Used) }

// Key is a claimed idempotency key.
type Key struct {
	// Claim identifies the claim (see cfrecord.KeyClaim).
	Claim cfrecord.BatchID
	// Print is the hash of the request (see cfrecord.KeyClaim).
	Print uint64
	// At is when the key was claimed.
	At time.Time
	// Answer is nil until the call has been answered.
	Answer *cfrecord.Answer
}

// KeyName identifies an idempotency key.
type KeyName struct {
	Service string
	Key     string
}

// State is the state of the scheduler at one offset of the log.
type State struct {
	// Offset is the offset of the last log entry applied. At is the latest time of any batch
	// applied.
	Offset cfcore.Offset
	At     time.Time

	// Planner is the entry that claimed Epoch.
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
	// Finished lists the ended tasks in the order in which they ended.
	Finished []cfcore.TaskID
	// Assigned and Pending are indexes of Tasks; decoding rebuilds them.
	Assigned map[cfcore.Assignment]cfcore.TaskID `cbor:"-"`
	Pending  map[cfcore.TaskID]struct{}          `cbor:"-"`

	// Plans holds the plans that wait for confirmation. PlanOrder lists them, oldest first.
	Plans     map[cfcore.PlanID]*cfrecord.Plan
	PlanOrder []cfcore.PlanID
	// Touched maps the key of each object that a plan changed (see cfrecord.Plan.Touches) to
	// the offset of the last change.
	Touched map[string]cfcore.Offset

	// Keys holds the idempotency keys by service and key. KeyOrder lists them in the order of
	// their claims; it may still list released keys.
	Keys     map[string]map[string]*Key
	KeyOrder []KeyName

	// Seen and SeenOrder hold the IDs of the last MaxSeenBatches batches. SeenOrder lists them
	// oldest first; decoding rebuilds Seen from it.
	Seen      map[cfrecord.BatchID]struct{} `cbor:"-"`
	SeenOrder []cfrecord.BatchID

	// Dirty contains the workers whose desired runs changed. The caller of Apply removes the
	// workers that it has processed.
	Dirty map[cfcore.WorkerID]struct{} `cbor:"-"`

	Audit []Event
	// Void counts rejected records and duplicate batches, by reason.
	Void map[string]uint64
}

// NewState returns the state before the first log entry.
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

// IsMember reports whether the entry is a member, that is, counts toward majorities.
func (s *State) IsMember(id cfcore.EntryID) bool {
	for _, m := range s.Members {
		if m.Entry == id {
			return true
		}
	}
	return false
}

// MajoritySize returns the number of members that form a majority, at least 1.
func (s *State) MajoritySize() int { return len(s.Members)/2 + 1 }

// scale returns r multiplied by n.
func scale(r cfcore.Resources, n int) cfcore.Resources {
	k := int64(n)
	return cfcore.Resources{MilliCores: r.MilliCores * k, MemoryMB: r.MemoryMB * k, Accelerators: r.Accelerators * k}
}

// Key returns the state of an idempotency key, or nil if the key is not claimed.
func (s *State) Key(service, key string) *Key {
	return s.Keys[service][key]
}

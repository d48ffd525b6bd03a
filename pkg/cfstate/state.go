// Package cfstate is the replicated state machine of the scheduler. It computes the state
// by applying the records on the platform's log in order. It reads no clock and does no
// I/O. The result of applying a batch depends only on the state and the batch, so all
// processes that have applied the log up to the same offset have the same state. Every
// process rejects a record that breaks a rule. A rejected record is counted in
// State.RejectedCounts and changes nothing else, with one exception: if a plan conflicts with
// a later change or is no longer valid, its rejected confirmation also drops the plan and
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
	// PlanTTL is how long a plan is kept for confirmation, counted from its creation. Apply
	// drops expired plans at the end of a batch. The first batch after PlanTTL can therefore
	// still confirm the plan.
	PlanTTL = time.Hour
	// MaxKeys is the maximum number of idempotency keys kept.
	MaxKeys = 200000
	// KeyTTL is how long an idempotency key and its answer are kept, counted from the claim
	// of the key.
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
	// TaskPending marks a task that waits for a worker.
	TaskPending TaskStatus = "Pending"
	// TaskAssigned marks a task that is assigned to a worker, and is starting or running
	// there.
	TaskAssigned TaskStatus = "Assigned"
	// TaskStopping marks a task whose worker has been requested to stop it.
	TaskStopping TaskStatus = "Stopping"
	// TaskHeld marks a task that does not start again until an operator permits a restart.
	TaskHeld TaskStatus = "Held"
	// TaskDone marks a task that has completed. Only batch tasks complete.
	TaskDone TaskStatus = "Done"
	// TaskFailed marks a batch task that has reached its maximum number of failures.
	TaskFailed TaskStatus = "Failed"
	// TaskCancelled marks a task that an operator removed, with its workload or by lowering
	// the number of replicas.
	TaskCancelled TaskStatus = "Cancelled"
)

// Ended reports whether a task with this status has ended. A cancelled task becomes
// pending again if a later plan wants the replica again. Done and failed tasks keep their
// status until they are dropped from the state (see MaxEndedTasks), and are not created again
// while the state contains a task of their workload.
func (s TaskStatus) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskCancelled
}

// OnWorker reports whether a task with this status reserves resources on a worker.
func (s TaskStatus) OnWorker() bool { return s == TaskAssigned || s == TaskStopping }

// Event describes one change, in the audit trail and in the history of a task.
type Event struct {
	// Offset is the offset of the log entry that caused the event.
	Offset cfcore.Offset
	// At is the time on the clock of the state (see State.At).
	At time.Time
	// Who is the operator who made or confirmed the plan. For an event without an operator,
	// Who is the ID of the entry that wrote the record.
	Who string
	// Plan is empty if the event does not follow from a plan.
	Plan cfcore.PlanID
	// What says what happened to Subject, for example "assigned" for a task. Cause says why;
	// it can be empty.
	What    string
	Subject string
	Cause   string
}

// Task is one replica of a workload. Index is the number of the replica, from 0.
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
	// Evictions counts the runs that ended without completing or failing, for example because
	// the run was stopped or its worker was lost. A run that was stopped to cancel the task
	// does not count.
	Evictions int
	// Failures counts failed runs. A run of a service or a watch counts as failed even if it
	// ends with success.
	Failures int
	// Reason says why the task has its status. It can be empty.
	Reason string
	// Since is when the status was set.
	Since time.Time
	// Cancel is set when a run is stopped to cancel the task. While Cancel is set, the end of
	// a run makes the task TaskCancelled. History holds the latest MaxHistory events of the
	// task.
	Cancel  bool
	History []Event
}

// Workload is a workload that a confirmed plan has created.
type Workload struct {
	Spec cfcore.Workload
	// Plan is the last plan that created, changed or removed the workload. Changed is the
	// offset at which that plan was confirmed.
	Plan    cfcore.PlanID
	Changed cfcore.Offset
	// Removed is set once a plan has removed the workload. Some of its tasks can still be
	// stopping.
	Removed bool
	// Live is the number of tasks that have not ended.
	Live int
	// Dropped is a bitmap of the tasks that were dropped after they were done or had failed, by
	// index. It has at most cfintent.MaxReplicas bits.
	Dropped []byte `cbor:",omitempty"`
	// Kept is the number of tasks in the state. It is 0 for a workload that an earlier build has
	// created.
	Kept int `cbor:",omitempty"`
	// indexes is above the indexes of all tasks in the state. It is not encoded; Decode rebuilds
	// it.
	indexes int
}

const bitsPerByte = 8

// setDropped marks the task with an index as dropped.
func (wl *Workload) setDropped(index int) {
	if n := index/bitsPerByte + 1; n > len(wl.Dropped) {
		wl.Dropped = append(wl.Dropped, make([]byte, n-len(wl.Dropped))...)
	}
	wl.Dropped[index/bitsPerByte] |= 1 << (index % bitsPerByte)
}

// wasDropped reports whether the task with an index was dropped after it was done or had failed.
func (wl *Workload) wasDropped(index int) bool {
	return index/bitsPerByte < len(wl.Dropped) && wl.Dropped[index/bitsPerByte]&(1<<(index%bitsPerByte)) != 0
}

// TasksOf returns the tasks of a workload by index. Tasks that were dropped are left out.
func (s *State) TasksOf(wl *Workload) []*Task { return s.tasksFrom(wl, 0) }

// tasksFrom returns the tasks of a workload from an index on.
func (s *State) tasksFrom(wl *Workload, index int) []*Task {
	var tasks []*Task
	for i := index; i < wl.indexes; i++ {
		if t := s.Tasks[cfcore.NewTaskID(wl.Spec.Name, i)]; t != nil {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// index updates the workload's indexes for a task.
func (wl *Workload) index(t *Task) { wl.indexes = max(wl.indexes, t.Index+1) }

// Worker is the state of a worker. Its instance is the one that the last WorkerUp record
// announced.
type Worker struct {
	ID         cfcore.WorkerID
	Instance   cfcore.InstanceID
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
	// Used is the total of the resources reserved by the tasks on the worker.
	Used cfcore.Resources
	// Fenced is set while the worker is fenced (see cfrecord.FenceWorker).
	Fenced bool `cbor:"Barred"`
	// Draining is set while an operator drains the worker.
	Draining bool
	// Quarantined is set while the worker is quarantined (see cfrecord.Quarantine).
	Quarantined bool
	// Reason is the reason given by the last FenceWorker or Quarantine record for this
	// instance. It is empty if there was no such record, and after an UnfenceWorker record.
	Reason string
	// FailStreak lists the different workloads that had a failed run on this instance since a
	// batch run last completed on it. The end of a quarantine removes the last workload from
	// the list.
	FailStreak []string
	// FencedAtOffset is the offset of the record that last fenced the worker.
	FencedAtOffset cfcore.Offset `cbor:"BarredAt"`
	// Tasks maps the tasks on the worker to their assignments.
	Tasks map[cfcore.TaskID]cfcore.Assignment `cbor:"-"`
}

// Usable reports whether new tasks can be assigned to the worker.
func (w *Worker) Usable() bool { return !w.Fenced && !w.Draining && !w.Quarantined }

// Free returns the worker's unreserved resources.
func (w *Worker) Free() cfcore.Resources { return w.Capacity.Sub(w.Used) }

// Key is a claimed idempotency key.
type Key struct {
	// Claim identifies the claim of the key (see cfrecord.KeyClaim).
	Claim cfrecord.BatchID
	// Fingerprint is the fingerprint of the request that claimed the key (see
	// cfrecord.KeyClaim). A request with the same key and another fingerprint is a different
	// request, and is refused.
	Fingerprint uint64 `cbor:"Print"`
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
	// Offset is the offset of the last log entry applied. At is the latest of the times of
	// all batches applied, and serves as the clock of the state.
	Offset cfcore.Offset
	At     time.Time

	// Epoch is the current epoch. Planner is the entry that claimed it.
	Epoch   cfcore.Epoch
	Planner cfcore.EntryID

	// Members is the current membership, and MemberVersion is its version. Candidates holds
	// the entries that have requested to become members, oldest request first.
	MemberVersion uint64
	Members       []cfrecord.Member
	Candidates    []cfrecord.Member

	// LastAssignment is the highest assignment number used so far.
	LastAssignment cfcore.Assignment
	Workers        map[cfcore.WorkerID]*Worker
	Workloads      map[string]*Workload
	Tasks          map[cfcore.TaskID]*Task
	Teams          map[string]cfcore.Team
	// EndedTasks lists the ended tasks in the order in which they ended.
	EndedTasks []cfcore.TaskID `cbor:"Finished"`
	// Assigned and Pending are indexes of Tasks. They are not encoded; Decode rebuilds them.
	Assigned map[cfcore.Assignment]cfcore.TaskID `cbor:"-"`
	Pending  map[cfcore.TaskID]struct{}          `cbor:"-"`

	// Plans holds the plans that wait for confirmation. PlanOrder lists them, oldest first.
	Plans     map[cfcore.PlanID]*cfrecord.Plan
	PlanOrder []cfcore.PlanID
	// Touched holds the keys of the objects that confirmed plans changed (see
	// cfrecord.Plan.Touches), each with the offset of its last change.
	Touched map[string]cfcore.Offset

	// Keys holds the idempotency keys by service and key. KeyOrder lists them in the order of
	// their claims. It can contain keys that have been released since.
	Keys     map[string]map[string]*Key
	KeyOrder []KeyName

	// SeenOrder lists the IDs of the last MaxSeenBatches batches, oldest first. Seen is the
	// set of the same IDs; Decode rebuilds it.
	Seen      map[cfrecord.BatchID]struct{} `cbor:"-"`
	SeenOrder []cfrecord.BatchID

	// Dirty contains the workers that should now execute other runs than before. The caller of
	// Apply processes these workers and removes them from Dirty.
	Dirty map[cfcore.WorkerID]struct{} `cbor:"-"`

	// Audit is the audit trail: the latest MaxAudit events, oldest first.
	Audit []Event
	// RejectedCounts counts the rejected records by reason, that is, by Rejection. The key
	// "batch seen before" counts duplicate batches, not their records.
	RejectedCounts map[string]uint64 `cbor:"Void"`
}

// NewState returns the state before the first log entry.
func NewState() *State {
	return &State{
		Workers:        map[cfcore.WorkerID]*Worker{},
		Workloads:      map[string]*Workload{},
		Tasks:          map[cfcore.TaskID]*Task{},
		Teams:          map[string]cfcore.Team{},
		Assigned:       map[cfcore.Assignment]cfcore.TaskID{},
		Pending:        map[cfcore.TaskID]struct{}{},
		Plans:          map[cfcore.PlanID]*cfrecord.Plan{},
		Touched:        map[string]cfcore.Offset{},
		Keys:           map[string]map[string]*Key{},
		Seen:           map[cfrecord.BatchID]struct{}{},
		RejectedCounts: map[string]uint64{},
		Dirty:          map[cfcore.WorkerID]struct{}{},
	}
}

// IsMember reports whether the entry is a member. Only members count toward majorities.
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

package cfcore

import "strconv"

// Offset is a position on the platform's log. The first log entry has offset 1; zero is
// the position before it.
type Offset uint64

// String returns the offset in decimal digits.
func (o Offset) String() string { return strconv.FormatUint(uint64(o), 10) }

// Epoch is the number of a planner's term. A decision from an epoch other than the
// current one has no effect.
type Epoch uint64

// EntryID identifies one incarnation of an entry. A restarted entry has a new ID.
type EntryID string

// WorkerID is the configured name of a worker. A replacement VM has the same WorkerID.
type WorkerID string

// InstanceID identifies one incarnation of a worker or of an agent. A replacement VM has a
// new InstanceID.
type InstanceID string

// TaskID identifies one task: the workload's name, a slash and the replica's index.
type TaskID string

// NewTaskID returns the ID of the task with the given index of a workload.
func NewTaskID(workload string, index int) TaskID {
	return TaskID(workload + "/" + strconv.Itoa(index))
}

// Assignment is the number of one placement of one task on one worker. Numbers increase
// along the log and are never reused.
type Assignment uint64

// PlanID identifies a plan, a proposal for changes that an operator can confirm.
type PlanID string

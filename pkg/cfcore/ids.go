package cfcore

import "strconv"

// Offset is a position on the platform's log. The first entry has offset 1;
// zero stands before all entries.
type Offset uint64

// String returns the offset in decimal digits.
func (o Offset) String() string { return strconv.FormatUint(uint64(o), 10) }

// Epoch numbers the terms of planners. A decision of an epoch other than the
// current one has no effect.
type Epoch uint64

// EntryID names one run of an entry process. A restarted entry has a new one.
type EntryID string

// WorkerID names a worker's slot in the fleet; it outlives the VM in it.
type WorkerID string

// InstanceID names one run of a worker or of an agent. A replaced VM has a new one.
type InstanceID string

// TaskID names one task: the workload's name, a slash and the replica's index.
type TaskID string

// NewTaskID returns the ID of a workload's task.
func NewTaskID(workload string, index int) TaskID {
	return TaskID(workload + "/" + strconv.Itoa(index))
}

// Assignment numbers one placement of one task on one worker. Numbers rise with
// the log and are never used twice.
type Assignment uint64

// PlanID names a plan.
type PlanID string

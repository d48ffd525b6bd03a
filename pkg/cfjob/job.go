// Package cfjob defines the jobs that callers submit, and validates them. It also defines
// the records that hold the jobs in the store, and the state that results from the
// records.
package cfjob

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid marks a job that breaks a limit or can never run.
	KindInvalid Kind = "invalid job"
	// KindRecord marks a record that cannot be encoded or decoded, or has an unknown key.
	KindRecord Kind = "bad record"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks in one occurrence of the step.
	Count int
	// Resources is what one task needs.
	Resources cfcore.Resources
	// Estimate is the duration of one task as the caller declares it, or 0 if the caller
	// declares none. It can be very inaccurate.
	Estimate time.Duration `cbor:",omitempty"`
	// After lists the indexes of the steps that must be done before this one starts.
	After []int `cbor:",omitempty"`
	// Checkpointing is set if a new run of a task resumes from the task's last checkpoint.
	Checkpointing bool `cbor:",omitempty"`
	// Gang is set if the tasks of an occurrence make progress only while all of them run.
	Gang bool `cbor:",omitempty"`
	// SameRack is set if the tasks are slower when they are spread over several racks.
	SameRack bool `cbor:",omitempty"`
	// Requirement is a label that the worker must have; empty for any worker.
	Requirement string `cbor:",omitempty"`
	// DataRack is the rack on which the tasks are fastest; empty if there is none.
	DataRack string `cbor:",omitempty"`
	// MaxPerWorker limits how many tasks of one occurrence of the step run on the same
	// worker. 0 means no limit.
	MaxPerWorker int `cbor:",omitempty"`
	// Duplicable is set if a task can have a speculative copy, that is, a second run at the
	// same time.
	Duplicable bool `cbor:",omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `cbor:",omitempty"`
	// Image is the image that the tasks run.
	Image string `cbor:",omitempty"`
	// TailTarget is set for latency-critical tasks: their tail latency should stay below
	// TailTarget. It is 0 for all other tasks.
	TailTarget time.Duration `cbor:",omitempty"`
	// BestEffort is set for best-effort tasks. They use CPU that other tasks leave unused, and
	// reserve no CPU themselves.
	BestEffort bool `cbor:"Filler,omitempty"`
	// MaxUnavailable limits preemption. A task is not stopped for a more urgent one if
	// MaxUnavailable or more other tasks of the step are already unavailable. 0 means no
	// limit.
	MaxUnavailable int `cbor:",omitempty"`
}

// Reservation returns the capacity that one task reserves on its worker.
func (s *Step) Reservation() cfcore.Resources {
	r := s.Resources
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// Schedule defines when the steps of a repeated job run.
type Schedule struct {
	// Count is the number of occurrences.
	Count int
	// FirstRun is the time before which no task of the first occurrence starts.
	FirstRun time.Time
	// Period is added to FirstRun once for each further occurrence (see Job.Due).
	Period time.Duration
}

// Job is a submitted job. It is immutable.
type Job struct {
	ID string
	// Queue is a copy of the job's queue, made when the job was accepted. It is used if the
	// configuration no longer contains the queue.
	Queue Queue
	// Spec is passed unchanged to the workers that run the job's tasks.
	Spec  string
	Steps []Step
	// Schedule is nil if the steps run once.
	Schedule *Schedule `cbor:",omitempty"`
	// Accepted is when an entry received the submission of the job.
	Accepted time.Time
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// Due returns the time before which no task of an occurrence starts, or the zero time if there is
// none. Accepted is no such time: it is from the clock of another entry. Occurrences are numbered
// from 0.
func (j *Job) Due(occurrence int) time.Time {
	if j.Schedule == nil {
		return time.Time{}
	}
	return j.Schedule.FirstRun.Add(time.Duration(occurrence) * j.Schedule.Period)
}

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Position returns the index of a task in the list of all tasks of the job, ordered by
// occurrence, step and index. It returns -1 if the job has no such task.
func (j *Job) Position(t cfcore.TaskName) int {
	if t.Occurrence < 0 || t.Occurrence >= j.Occurrences() || t.Step < 0 || t.Step >= len(j.Steps) {
		return -1
	}
	if t.Index < 0 || t.Index >= j.Steps[t.Step].Count {
		return -1
	}
	n := t.Occurrence * j.TasksPerOccurrence()
	for i := range t.Step {
		n += j.Steps[i].Count
	}
	return n + t.Index
}

// LongRunning reports whether the job has a step with LongRunning set.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Package cfjob defines the jobs that callers submit: their types and validation, the
// records that persist them in the store, and the state that results from the records.
package cfjob

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid marks a job that can never run.
	KindInvalid Kind = "invalid job"
	// KindRecord marks a record that cannot be encoded or decoded, or has an unknown key.
	KindRecord Kind = "bad record"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks in one occurrence.
	Count int
	// Resources is the demand of one task.
	Resources cfcore.Resources
	// Estimate is the duration that the caller declares for one task; 0 if it declares none.
	// It may be very inaccurate.
	Estimate time.Duration `cbor:",omitempty"`
	// After lists the indexes of the steps that must be done before this one.
	After []int `cbor:",omitempty"`
	// Checkpointing tasks resume from their last checkpoint.
	Checkpointing bool `cbor:",omitempty"`
	// Gang tasks make progress only while all of them run.
	Gang bool `cbor:",omitempty"`
	// SameRack tasks are slower when spread over several racks.
	SameRack bool `cbor:",omitempty"`
	// Requirement is a label that the worker must have; empty for any worker.
	Requirement string `cbor:",omitempty"`
	// DataRack is the rack on which the tasks are fastest; empty if there is none.
	DataRack string `cbor:",omitempty"`
	// MaxPerWorker limits the tasks of one occurrence of the step on one worker. 0 means no
	// limit.
	MaxPerWorker int `cbor:",omitempty"`
	// Duplicable tasks may have speculative copies.
	Duplicable bool `cbor:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:",omitempty"`
	// Image is the image that the tasks run.
	Image string `cbor:",omitempty"`
	// TailTarget is the tail latency that a latency-critical task should stay below. It is 0
	// for all other tasks.
	TailTarget time.Duration `cbor:",omitempty"`
	// Filler marks best-effort tasks. They run on CPU that other tasks leave unused, and
	// reserve no CPU.
	Filler bool `cbor:",omitempty"`
	// MaxUnavailable limits preemption: a task is not stopped for a more urgent one while
	// this many other tasks of the step are unavailable. 0 means no limit.
	MaxUnavailable int `cbor:",omitempty"`
}

// Reservation returns the capacity that one task reserves on its worker.
func (s *Step) Reservation() cfcore.Resources {
	r := s.Resources
	if s.Filler {
		r.MilliCores = 0
	}
	return r
}

// Schedule defines when the steps of a repeated job run.
type Schedule struct {
	// Count is the number of occurrences.
	Count    int
	FirstRun time.Time
	// Period is the time from the start of one occurrence to the start of the next.
	Period time.Duration
}

// Job is a submitted job. It is immutable.
type Job struct {
	ID string
	// Queue is a copy of the queue at the time of acceptance. It applies to the job if
	// the configuration no longer contains the queue.
	Queue Queue
	// Spec is passed unchanged to the workers that run the job's tasks.
	Spec  string
	Steps []Step
	// Schedule is nil if the steps run once.
	Schedule *Schedule `cbor:",omitempty"`
	// Accepted is when an entry received the submission.
	Accepted time.Time
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// Due returns the earliest start time of an occurrence. Occurrences count from 0.
func (j *Job) Due(occurrence int) time.Time {
	if j.Schedule == nil {
		return j.Accepted
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

// Position returns the index of a task among all tasks of the job, over occurrences and
// steps. It returns -1 if the job has no such task.
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

// LongRunning reports whether any step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

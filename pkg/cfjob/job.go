// Package cfjob holds the jobs that callers submit: their types, checks, the
// records that keep them in the store, and the state that those records add up to.
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
	// KindInvalid is a job that can never run.
	KindInvalid Kind = "invalid job"
	// KindRecord is a record that cannot be decoded.
	KindRecord Kind = "bad record"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Step is a number of equal tasks of a job.
type Step struct {
	Count     int
	Resources cfcore.Resources
	// Estimate is the declared duration of a task; it may be far off.
	Estimate time.Duration `cbor:",omitempty"`
	// After are the numbers of the steps that must be done first.
	After []int `cbor:",omitempty"`
	// Checkpointing tasks resume where their last checkpoint was taken.
	Checkpointing bool `cbor:",omitempty"`
	// Gang tasks work only while all of them run.
	Gang bool `cbor:",omitempty"`
	// SameRack tasks are slower when they are spread over racks.
	SameRack bool `cbor:",omitempty"`
	// Requirement is a label that the worker must have.
	Requirement string `cbor:",omitempty"`
	// DataRack is the rack on which the tasks are fastest.
	DataRack string `cbor:",omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 for no bound.
	MaxPerWorker int `cbor:",omitempty"`
	// Duplicable tasks may run in several copies.
	Duplicable bool `cbor:",omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:",omitempty"`
	// Image names what the tasks run.
	Image string `cbor:",omitempty"`
	// TailTarget is the tail latency that a task which serves should stay below.
	TailTarget time.Duration `cbor:",omitempty"`
	// Filler tasks take the processor time that others leave, and none of the capacity.
	Filler bool `cbor:",omitempty"`
	// MaxUnavailable bounds the tasks that the system may take away at the same time.
	MaxUnavailable int `cbor:",omitempty"`
}

// Room returns what one task takes of a worker's capacity.
func (s *Step) Room() cfcore.Resources {
	r := s.Resources
	if s.Filler {
		r.MilliCores = 0
	}
	return r
}

// Schedule is when a job's steps run, where they run more than once.
type Schedule struct {
	Count    int
	FirstRun time.Time
	Period   time.Duration
}

// Job is what a caller submitted. It never changes.
type Job struct {
	ID string
	// Queue is the queue as it was when the job was accepted; its terms hold where the
	// configuration no longer has it.
	Queue    Queue
	Spec     string
	Steps    []Step
	Schedule *Schedule `cbor:",omitempty"`
	Accepted time.Time
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Schedule == nil {
		return j.Accepted
	}
	return j.Schedule.FirstRun.Add(time.Duration(occurrence) * j.Schedule.Period)
}

// Width returns the number of tasks of one occurrence.
func (j *Job) Width() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Position returns the place of a task among all tasks of the job, or -1 where the
// job has no such task.
func (j *Job) Position(t cfcore.TaskName) int {
	if t.Occurrence < 0 || t.Occurrence >= j.Occurrences() || t.Step < 0 || t.Step >= len(j.Steps) {
		return -1
	}
	if t.Index < 0 || t.Index >= j.Steps[t.Step].Count {
		return -1
	}
	n := t.Occurrence * j.Width()
	for i := range t.Step {
		n += j.Steps[i].Count
	}
	return n + t.Index
}

// LongRunning reports whether a step of the job lasts until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

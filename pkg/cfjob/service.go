package cfjob

import (
	"context"
	"time"
)

// State is what a caller is told of a job.
type State string

// The states of jobs.
const (
	StatePending   State = "Pending"
	StateActive    State = "Active"
	StateCompleted State = "Completed"
	StateFailed    State = "Failed"
	StateCancelled State = "Cancelled"
)

// Verdict is the outcome of a caller's request.
type Verdict int

// The verdicts.
const (
	// VerdictDone is a request that was carried out.
	VerdictDone Verdict = iota
	// VerdictRefused is a request that had no effect and never will.
	VerdictRefused
	// VerdictUnknown is a request whose outcome is not known.
	VerdictUnknown
	// VerdictNoJob is a request for a job that is not known.
	VerdictNoJob
)

// Reply is the answer to a request.
type Reply struct {
	Verdict Verdict
	// RetryAfter tells the caller of a refused request when to come back.
	RetryAfter time.Duration
	// State is set in answers about a job.
	State State
	// Waiting is the number of a queue's jobs that have not begun.
	Waiting int
}

// Service serves the requests of callers.
type Service interface {
	// Route returns the queue for a request, or nil. ready is false while no
	// configuration is known.
	Route(host, path string) (q *Queue, ready bool)
	// Submit accepts a job once; a repeated submission has no other effect.
	Submit(ctx context.Context, j *Job) Reply
	// State returns the state of a job.
	State(ctx context.Context, id string) Reply
	// Cancel ends a job.
	Cancel(ctx context.Context, id string) Reply
	// Waiting returns how many jobs of a queue have not begun.
	Waiting(ctx context.Context, queue string) Reply
}

package cfjob

import (
	"context"
	"time"
)

// State is the state of a job, as callers see it.
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
	// VerdictDone marks a request that was carried out.
	VerdictDone Verdict = iota
	// VerdictRefused marks a request that has no effect, now or later.
	VerdictRefused
	// VerdictUnknown marks a request with an unknown outcome.
	VerdictUnknown
	// VerdictNoJob marks a request for an unknown job.
	VerdictNoJob
)

// Reply is the answer to a request.
type Reply struct {
	Verdict Verdict
	// RetryAfter is the delay before the caller should retry a refused request.
	RetryAfter time.Duration
	// State is the state of the job, in replies about a job with VerdictDone; empty in all
	// other replies.
	State State
	// Waiting is the number of a queue's jobs that have neither started a task nor ended, in
	// replies to Service.Waiting.
	Waiting int
}

// Service handles the requests of callers.
type Service interface {
	// Route returns the queue for a request, or nil if there is none. ready reports whether
	// a configuration is loaded; if not, q is nil.
	Route(host, path string) (q *Queue, ready bool)
	// Submit accepts a job and sets its Accepted time. It is idempotent: a repeated
	// submission changes nothing.
	Submit(ctx context.Context, j *Job) Reply
	// State returns the state of a job.
	State(ctx context.Context, id string) Reply
	// Cancel cancels a job, unless it has ended. It returns the state of the job.
	Cancel(ctx context.Context, id string) Reply
	// Waiting returns the number of a queue's jobs that have neither started a task nor
	// ended.
	Waiting(ctx context.Context, queue string) Reply
}

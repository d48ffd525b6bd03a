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
	// VerdictRefused marks a request that has no effect, neither now nor later.
	VerdictRefused
	// VerdictUnknown marks a request that has possibly taken effect, or can still take effect.
	VerdictUnknown
	// VerdictNoJob marks a request for an unknown job.
	VerdictNoJob
)

// Reply is the answer to a caller's request.
type Reply struct {
	Verdict Verdict
	// RetryAfter is how long the caller of a refused request should wait before a retry.
	RetryAfter time.Duration
	// State is the state of the job. It is set only in replies that are about one job and
	// have VerdictDone.
	State State
	// Waiting is the number of a queue's jobs that have neither started a task nor ended. It
	// is set only in replies to Service.Waiting.
	Waiting int
}

// Service handles the requests of callers.
type Service interface {
	// Route returns the queue for a request, or nil if no queue matches the request. ready is
	// false until a configuration is loaded; until then, q is nil.
	Route(host, path string) (q *Queue, ready bool)
	// Admit reserves memory for a submission with a body of size bytes, before the body is read.
	// It waits a short time for other submissions. If the reply is VerdictRefused, the body must
	// not be read. Otherwise the caller calls release once the submission has a reply.
	Admit(ctx context.Context, size int64) (release func(), reply Reply)
	// Submit accepts a job and sets its Accepted time. It changes nothing if a job with the
	// same ID was accepted before.
	Submit(ctx context.Context, j *Job) Reply
	// State returns the state of a job. The verdict is VerdictNoJob if there is no such job.
	State(ctx context.Context, id string) Reply
	// Cancel cancels a job, unless the job has ended. The State of the reply is the state that
	// the job has afterwards.
	Cancel(ctx context.Context, id string) Reply
	// Waiting returns the number of a queue's jobs that have neither started a task nor
	// ended.
	Waiting(ctx context.Context, queue string) Reply
}

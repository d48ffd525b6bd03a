package cfjobentry

import (
	"context"
	"time"

	"golang.org/x/sync/semaphore"

	"cranberryford/pkg/cfjob"
)

const (
	// bodyMemoryPercent is the share of an entry's memory for the bodies of submissions in flight.
	bodyMemoryPercent = 10
	// A submission with a body of n bytes needs about bodyMemory*n+requestMemory bytes: for the body,
	// the decoded job, the record and their garbage.
	bodyMemory    = 6
	requestMemory = 4 << 10
	// maxWaitingBodies bounds the memory that waiting submissions ask for, as a multiple of that for
	// the bodies in flight. The bodies of waiting submissions are not read.
	maxWaitingBodies = 8
	// bodyWait bounds how long a submission waits for memory for its body. By default, callers wait
	// for 3 s; an append takes 10 ms, or 250 ms when the store is slow.
	bodyWait = time.Second
	// bodyRetryAfter is the Retry-After time for a submission whose body there is no memory for.
	bodyRetryAfter = time.Second
)

// bodyLimiter bounds the memory for the bodies of submissions in flight. It is safe for
// concurrent use.
type bodyLimiter struct {
	limit int64
	// admitted counts submissions that wait or are in flight, and inFlight only the latter.
	admitted, inFlight *semaphore.Weighted
}

func newBodyLimiter(memoryMB int) *bodyLimiter {
	limit := int64(memoryMB) << 20 * bodyMemoryPercent / 100
	return &bodyLimiter{
		limit: limit, admitted: semaphore.NewWeighted(limit * (1 + maxWaitingBodies)), inFlight: semaphore.NewWeighted(limit),
	}
}

// acquire reserves memory for a body of size bytes. It waits until the context ends, in the order
// of the calls. It reports false at once if too many submissions wait. A body for which the limit
// is too low is in flight alone.
func (b *bodyLimiter) acquire(ctx context.Context, size int64) (release func(), ok bool) {
	n := min(bodyMemory*size+requestMemory, b.limit)
	if !b.admitted.TryAcquire(n) {
		return nil, false
	}
	if err := b.inFlight.Acquire(ctx, n); err != nil {
		b.admitted.Release(n)
		return nil, false
	}
	return func() { b.inFlight.Release(n); b.admitted.Release(n) }, true
}

// Admit implements cfjob.Service.
func (e *Entry) Admit(ctx context.Context, size int64) (release func(), reply cfjob.Reply) {
	ctx, cancel := context.WithTimeout(ctx, bodyWait)
	defer cancel()
	release, ok := e.bodies.acquire(ctx, size)
	if !ok {
		e.Log.Warn().Int64("Bytes", size).Msg("submission refused: too many submissions in flight")
		e.Scope.Counter("bodies_refused").Inc(1)
		return nil, cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: bodyRetryAfter}
	}
	return release, cfjob.Reply{}
}

package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfjob"
)

const (
	// jobMemoryPercent is the share of an entry's memory that jobs may need, by their estimates.
	// The rest is left for runs, requests and messages.
	jobMemoryPercent = 25
	// memoryRetryAfter is the Retry-After time for a job that there is no memory for. Memory
	// becomes free when jobs end and when they are dropped later.
	memoryRetryAfter = 5 * time.Second
	// reservationTimeout is how long memory stays reserved for a job whose outcome is unknown. It is longer
	// than the calls for a full queue of the appender take if the store answers none of them.
	reservationTimeout = 30 * time.Second
	// releaseTimeout bounds how long a submission waits to end its reservation.
	releaseTimeout = time.Second
)

// jobMemoryLimit returns how much memory jobs may need, in bytes. It depends on the smallest
// entry, since each entry can become the planner.
func (c *control) jobMemoryLimit() int {
	smallest := c.cfg.MemoryMB
	for _, e := range c.stored.Entries {
		if e.MemoryMB > 0 {
			smallest = min(smallest, e.MemoryMB)
		}
	}
	return smallest << 20 * jobMemoryPercent / 100
}

// reservations is the memory for jobs that are being accepted. A reservation lasts until the
// job's record is applied, and is counted with the accepted jobs from then on.
type reservations struct {
	byJob map[string]reservation
	total int
}

// reservation is the memory for all submissions of one job, in bytes. It expires at until.
type reservation struct {
	bytes int
	until time.Time
}

// reserve reserves memory for a submission of a job. free is what the accepted jobs leave. It
// reports false if that is not enough.
func (r *reservations) reserve(id string, bytes, free int, now time.Time) bool {
	if r.total+bytes > free {
		r.dropExpired(now)
	}
	if r.total+bytes > free {
		return false
	}
	if r.byJob == nil {
		r.byJob = map[string]reservation{}
	}
	r.byJob[id] = reservation{bytes: r.byJob[id].bytes + bytes, until: now.Add(reservationTimeout)}
	r.total += bytes
	return true
}

// release ends the reservation for one submission of a job that is not accepted.
func (r *reservations) release(id string, bytes int) {
	held, ok := r.byJob[id]
	if !ok {
		return
	}
	if held.bytes <= bytes {
		r.drop(id)
		return
	}
	held.bytes -= bytes
	r.byJob[id] = held
	r.total -= bytes
}

// drop ends the reservations for all submissions of a job.
func (r *reservations) drop(id string) {
	r.total -= r.byJob[id].bytes
	delete(r.byJob, id)
}

// dropExpired ends the reservations whose jobs are taken as not accepted.
func (r *reservations) dropExpired(now time.Time) {
	for id, held := range r.byJob {
		if now.After(held.until) {
			r.drop(id)
		}
	}
}

// dropReservation ends the reservations for a stored job. Its memory is in that of the accepted
// jobs.
func (c *control) dropReservation(id string, e *cfjob.StoredJob) {
	if e.Job != nil {
		c.reservations.drop(id)
	}
}

// releaseMemory ends the reservation for one submission of a job that is not accepted. It does so
// also if the caller no longer waits.
func (e *Entry) releaseMemory(ctx context.Context, id string, bytes int) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	e.post(ctx, submissionRefused{id: id, memory: bytes})
}

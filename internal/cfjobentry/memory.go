package cfjobentry

import (
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

// reserveMemory reserves the memory for a job that is being accepted. free is what the accepted
// jobs leave. It reports false if that is not enough. The returned function ends the
// reservation.
func (e *Entry) reserveMemory(j *cfjob.Job, free int) (release func(), ok bool) {
	n := int64(j.EstimateMemory())
	if e.reservedMemory.Add(n) > int64(free) {
		e.reservedMemory.Add(-n)
		return nil, false
	}
	return func() { e.reservedMemory.Add(-n) }, true
}

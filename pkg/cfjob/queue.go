package cfjob

import (
	"strings"
	"time"
)

// Queue is a queue to which callers submit jobs. A request belongs to a queue by its Host
// and Prefix (see Config.Match). The other fields apply to the queue's jobs.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the service name of the workers that run the queue's tasks.
	Service string
	// Priority is the urgency of the queue's jobs compared to other queues. 0 is the most
	// urgent.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails. A value
	// of 1 or less means that the first failed run fails the job. Failed runs of long-running
	// tasks do not count.
	MaxAttempts int
	// Stretch and Latency define the time objective of a job, which is the time in which the
	// job should end. The objective is Stretch times the duration of the job's longest chain
	// of steps, plus Latency. A Stretch below 1 counts as 1.
	Stretch float64
	Latency time.Duration
	// Advice is set if a policy service decides which workers are allowed to run a step of
	// the queue's jobs. It is nil otherwise.
	Advice *Advice
}

// Advice holds the timing of a policy service. A decision about n workers takes up to
// Decision plus n times Interval. The decision is valid for Validity, counted from when the
// planner receives it.
type Advice struct {
	Decision time.Duration
	Interval time.Duration
	Validity time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version uint64
	Queues  []Queue
	// Malformed are the errors of the queues that are left out because they cannot be
	// decoded.
	Malformed []error
}

// Match returns the queue for a request to a host and path. Several queues can have the
// same host and a prefix of the path; Match chooses the longest prefix. It ignores the
// case of the host, and returns false if no queue matches.
func (c *Config) Match(host, path string) (*Queue, bool) {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best, best != nil
}

// Queue returns the queue with the given name, and false if there is none.
func (c *Config) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

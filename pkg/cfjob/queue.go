package cfjob

import (
	"strings"
	"time"
)

// Queue is a queue to which callers submit jobs. Config.Match selects it for a request by its
// Host and Prefix; the other fields are the settings of its jobs.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service is the service name of the workers that run the queue's tasks.
	Service string
	// Priority orders the queues. 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job fails. With
	// 1 or less, the first failed run fails the job. Failed runs of long-running tasks do not
	// count.
	MaxAttempts int
	// Stretch and Latency define the time objective of a job, that is, the time in which it
	// should end: Stretch times the duration of its longest chain of steps, plus Latency. A
	// Stretch below 1 counts as 1.
	Stretch float64
	Latency time.Duration
	// Advice is nil unless a policy service decides which workers may run a step.
	Advice *Advice
}

// Advice holds the timing of a queue's policy service. One decision takes up to
// Decision, plus Interval for each worker. A decision is valid for Validity.
type Advice struct {
	Decision time.Duration
	Interval time.Duration
	Validity time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version uint64
	Queues  []Queue
}

// Match returns the queue for a request: of the queues with the request's host, the one with
// the longest prefix of the path. It reports false if there is none.
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

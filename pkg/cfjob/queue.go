package cfjob

import (
	"strings"
	"time"
)

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name   string
	Host   string
	Prefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority orders queues; 0 comes first.
	Priority    int
	MaxAttempts int
	// Stretch and Latency make a job's objective: Stretch times its longest chain of
	// work, and Latency more.
	Stretch float64
	Latency time.Duration
	// Advice is set where a policy service decides which workers may run a step.
	Advice *Advice
}

// Advice is what a queue's policy service needs.
type Advice struct {
	Decision time.Duration
	Interval time.Duration
	Validity time.Duration
}

// Config is the operators' configuration. It never changes; a newer one replaces it.
type Config struct {
	Version uint64
	Queues  []Queue
}

// Match returns the queue with the longest prefix that a request's path begins with.
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

// Queue returns the queue of a name.
func (c *Config) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

package cfroute

import (
	"sync/atomic"
	"time"

	"cranberryford/pkg/cfcore"
)

// latencyShare is the weight of a new answer in a target's moving average.
const latencyShare = 0.1

// Backend is a target as an entry sees it, with what it has measured of it. All
// times are since the router's start.
type Backend struct {
	Service    string
	Worker     cfcore.WorkerID
	DataCentre string
	Target     cfcore.Target
	Link       *Link

	inFlight atomic.Int64
	latency  atomic.Int64
	failures atomic.Int64
	// ejectedAt is when the target was ejected, or zero.
	ejectedAt atomic.Int64
	// answers counts whole answers.
	answers atomic.Int64
	// heardAt is when its agent last reported.
	heardAt atomic.Int64
}

// succeeded counts a whole answer.
func (b *Backend) succeeded(took time.Duration) {
	b.answers.Add(1)
	b.failures.Store(0)
	b.ejectedAt.Store(0)
	old := b.latency.Load()
	if old == 0 {
		b.latency.Store(int64(took))
		return
	}
	// A lost update between two answers only makes the average a little older.
	b.latency.Store(old + int64(latencyShare*float64(int64(took)-old)))
}

// Latency returns the moving average of the target's answers.
func (b *Backend) Latency() time.Duration { return time.Duration(b.latency.Load()) }

// Answers returns how many whole answers the target has given.
func (b *Backend) Answers() int64 { return b.answers.Load() }

// InFlight returns the number of calls that are open to the target.
func (b *Backend) InFlight() int { return int(b.inFlight.Load()) }

// Service is a service with its targets.
type Service struct {
	Name     string
	Timeout  time.Duration
	Backends []*Backend
	// Ejected counts the targets that get only probes.
	Ejected *atomic.Int64
}

// Table is what a router sends by. It is never changed once it is published.
type Table struct {
	Services map[string]*Service
}

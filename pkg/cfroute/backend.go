package cfroute

import (
	"sync/atomic"
	"time"

	"cranberryford/pkg/cfcore"
)

// latencyWeight is the weight of a new answer in a target's moving average.
const latencyWeight = 0.1

// Backend is an entry's view of a target, with the entry's measurements. Points in time are
// in nanoseconds since the router was created, and latencies in nanoseconds.
type Backend struct {
	Service    string
	Worker     cfcore.WorkerID
	DataCentre string
	Target     cfcore.Target
	Link       *Link

	inFlight atomic.Int64
	latency  atomic.Int64
	// failures counts the failed calls since the last complete answer.
	failures atomic.Int64
	// ejectedAt is the time of the target's ejection or of its last probe call, whichever is
	// later. It is 0 if the target is not ejected.
	ejectedAt atomic.Int64
	// answers counts complete answers.
	answers atomic.Int64
	// reportedAt is when the entry received the last report of the target's agent.
	reportedAt atomic.Int64
}

// recordSuccess records a complete answer and its latency.
func (b *Backend) recordSuccess(took time.Duration) {
	b.answers.Add(1)
	b.failures.Store(0)
	b.ejectedAt.Store(0)
	old := b.latency.Load()
	if old == 0 {
		b.latency.Store(int64(took))
		return
	}
	// If two answers arrive at the same time, one update can be lost. The average tolerates
	// this.
	b.latency.Store(old + int64(latencyWeight*float64(int64(took)-old)))
}

// Latency returns the moving average of the target's latency. It is 0 before the first
// answer.
func (b *Backend) Latency() time.Duration { return time.Duration(b.latency.Load()) }

// Answers returns the number of complete answers from the target.
func (b *Backend) Answers() int64 { return b.answers.Load() }

// InFlight returns the number of calls to the target that are in flight.
func (b *Backend) InFlight() int { return int(b.inFlight.Load()) }

// Service is an entry's view of a service, with the service's targets.
type Service struct {
	Name string
	// Timeout is the timeout of a call if the caller gives none.
	Timeout  time.Duration
	Backends []*Backend
	// Ejected counts the service's ejected targets. An ejected target gets only probe calls.
	Ejected *atomic.Int64
}

// Table lists the services and targets that a Router can send calls to. It must not be changed
// after Router.Publish.
type Table struct {
	// Services holds the services by name.
	Services map[string]*Service
}

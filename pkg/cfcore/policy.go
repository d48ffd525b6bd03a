package cfcore

import (
	"math/rand/v2"
	"time"
)

// Choice is one target that a call could go to, as a picker sees it.
type Choice struct {
	// Usable is false where the target must not be chosen.
	Usable bool
	// InFlight is the number of calls that this entry has open to the target.
	InFlight int
	// Slots is the number of calls that the target executes at the same time.
	Slots int
	// Latency is the moving average of the target's answers.
	Latency time.Duration
}

// Picker chooses a target for a call. It is used by many goroutines.
type Picker interface {
	// Pick returns one of the n choices that at describes, or -1 where none is
	// usable. It looks at as few as it needs.
	Pick(r *rand.Rand, n int, at func(i int) Choice) int
}

// Slot is one worker that a task could be placed on, as a placer sees it.
type Slot struct {
	Worker     WorkerID
	DataCentre string
	Rack       string
	Capacity   Resources
	Free       Resources
	// Peers is the number of tasks of the same workload on the worker, and
	// RackPeers the number in its rack.
	Peers     int
	RackPeers int
	// Harm is the slowdown that the task is expected to add, and TotalHarm the one
	// that is there without it: 0 for none.
	Harm      float64
	TotalHarm float64
}

// Harm tells how much batch tasks slow services on the same worker, as a share of
// the services' time alone. Tasks are counted by workload.
type Harm interface {
	// Added returns what one more task of w would add.
	Added(w *Workload, services, batches map[string]int) float64
	// Total returns what the batch tasks add that are there.
	Total(services, batches map[string]int) float64
}

// Placer chooses a worker for a task.
type Placer interface {
	// Place returns a position in slots, all of which can hold the task. The
	// list is not empty.
	Place(w *Workload, slots []Slot) int
}

package cfcore

import (
	"math/rand/v2"
	"time"
)

// TargetChoice is a picker's view of one target that a call could be sent to.
type TargetChoice struct {
	// Usable is false if the target must not be chosen.
	Usable bool
	// InFlight is the number of this entry's calls in flight to the target.
	InFlight int
	// Slots is the number of calls that the target executes concurrently.
	Slots int
	// Latency is the moving average of the target's response times.
	Latency time.Duration
}

// Picker chooses a target for a call. It is safe for concurrent use.
type Picker interface {
	// Pick returns the index of one of n choices, or -1 if none is usable. at returns
	// choice i; Pick calls it for as few choices as it needs.
	Pick(r *rand.Rand, n int, at func(i int) TargetChoice) int
}

// WorkerChoice is a placer's view of one worker that a task could be placed on.
type WorkerChoice struct {
	Worker     WorkerID
	DataCentre string
	Rack       string
	Capacity   Resources
	Free       Resources
	// Peers is the number of tasks of the same workload on the worker, and
	// RackPeers the number in its rack, including those on the worker.
	Peers     int
	RackPeers int
	// AddedSlowdown is the slowdown of services that placing the task is expected to add.
	// CurrentSlowdown is the expected slowdown without the task. Both are in the unit of
	// InterferenceModel; 0 is no slowdown.
	AddedSlowdown   float64
	CurrentSlowdown float64
}

// InterferenceModel estimates the interference between co-located tasks: how much batch tasks
// slow down services on the same worker. A slowdown is the sum over all service tasks of the
// worker, each as a fraction of the service's time when it runs alone. services and batches
// count the tasks on the worker by workload name.
type InterferenceModel interface {
	// AddedSlowdown returns the slowdown that one more task of w would add.
	AddedSlowdown(w *Workload, services, batches map[string]int) float64
	// TotalSlowdown returns the slowdown caused by the current batch tasks.
	TotalSlowdown(services, batches map[string]int) float64
}

// Placer chooses a worker for a task.
type Placer interface {
	// Place returns an index of choices. choices is not empty, and the task fits on each of its
	// workers.
	Place(w *Workload, choices []WorkerChoice) int
}

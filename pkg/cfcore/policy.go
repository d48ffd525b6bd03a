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
	// Pick returns the index of one of n choices, or -1 if none is usable. The function at
	// returns choice i. Pick looks up only the choices that it needs.
	Pick(r *rand.Rand, n int, at func(i int) TargetChoice) int
}

// WorkerChoice is a placer's view of one worker that a task could be placed on.
type WorkerChoice struct {
	Worker     WorkerID
	DataCentre string
	Rack       string
	Capacity   Resources
	Free       Resources
	// Peers is the number of tasks of the same workload on the worker. RackPeers is their
	// number in the worker's whole rack.
	Peers     int
	RackPeers int
	// AddedSlowdown is the slowdown that the task is expected to add on this worker.
	// CurrentSlowdown is the expected slowdown without the task. InterferenceModel defines
	// slowdowns; 0 means none.
	AddedSlowdown   float64
	CurrentSlowdown float64
}

// InterferenceModel estimates how much batch tasks slow down service tasks on the same worker.
// The slowdown of one service task is the time that batch tasks add to its calls, as a fraction
// of the time of a call without batch tasks. The slowdown on a worker is the sum of the
// slowdowns of its service tasks. services and batches count the tasks on the worker by
// workload name.
type InterferenceModel interface {
	// AddedSlowdown returns the slowdown that one more task of w would add on the worker.
	AddedSlowdown(w *Workload, services, batches map[string]int) float64
	// TotalSlowdown returns the slowdown on the worker with its current tasks.
	TotalSlowdown(services, batches map[string]int) float64
}

// Placer chooses a worker for a task.
type Placer interface {
	// Place returns the index of the chosen worker in choices. choices must not be empty, and
	// a task of w must fit on each worker in choices.
	Place(w *Workload, choices []WorkerChoice) int
}

// Package cfplace implements the placers. A placer is a policy that chooses a worker for a task
// among the workers that the task fits on.
package cfplace

import "cranberryford/pkg/cfcore"

// FirstFit chooses the first worker that the task fits on. It is the baseline for comparisons.
type FirstFit struct{}

// Place implements cfcore.Placer.
func (FirstFit) Place(*cfcore.Workload, []cfcore.WorkerChoice) int { return 0 }

// Spread chooses the worker with the lowest weighted sum of three costs: the slowdown that
// the task is expected to add, the worker's utilization and, except for batch tasks, the
// number of tasks of the same workload on the worker and in its rack.
type Spread struct{}

// Weights of the costs in Spread. An example of a slowdown cost: a worker has one service
// task and no batch tasks, and a batch task is expected to double the time of the service
// task's calls. AddedSlowdown is then 1 and CurrentSlowdown is 0, so the formula in
// spreadScore gives 1*(1+0+1) = 2. The cost of the worker's utilization is added to this.
const (
	slowdownWeight    = 1.0
	peerWeight        = 0.5
	rackPeerWeight    = 0.2
	utilizationWeight = 0.1
)

// Place implements cfcore.Placer.
func (Spread) Place(w *cfcore.Workload, choices []cfcore.WorkerChoice) int {
	best, bestScore := 0, 0.0
	for i := range choices {
		score := spreadScore(w, &choices[i])
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// spreadScore returns the cost of a choice for Spread.
func spreadScore(w *cfcore.Workload, choice *cfcore.WorkerChoice) float64 {
	// An added slowdown costs more on a worker that already has a slowdown, because together
	// they raise the tail latency by more than the sum of their separate effects.
	score := slowdownWeight * choice.AddedSlowdown * (1 + 2*choice.CurrentSlowdown + choice.AddedSlowdown)
	score += utilizationWeight * utilization(choice)
	if w.Class != cfcore.ClassBatch {
		score += peerWeight*float64(choice.Peers) + rackPeerWeight*float64(choice.RackPeers)
	}
	return score
}

// utilization returns the reserved fraction of the worker's CPU or of its memory, whichever is
// higher.
func utilization(choice *cfcore.WorkerChoice) float64 {
	cpu := fraction(choice.Capacity.MilliCores-choice.Free.MilliCores, choice.Capacity.MilliCores)
	memory := fraction(choice.Capacity.MemoryMB-choice.Free.MemoryMB, choice.Capacity.MemoryMB)
	return max(cpu, memory)
}

// fraction returns part/whole, or 1 if whole is 0.
func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

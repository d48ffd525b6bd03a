// Package cfplace holds the placers: the policies that choose a worker for a task
// among those that can hold it.
package cfplace

import "cranberryford/pkg/cfcore"

// FirstFit takes the first worker. It is the baseline.
type FirstFit struct{}

// Place implements cfcore.Placer.
func (FirstFit) Place(*cfcore.Workload, []cfcore.Slot) int { return 0 }

// Spread takes the worker with the least expected harm, then the rack and the
// worker with the fewest tasks of the same workload, then the most free room.
type Spread struct{}

// Weights of Spread, in units of one expected doubling of a neighbour's time.
const (
	harmWeight     = 1.0
	peerWeight     = 0.5
	rackPeerWeight = 0.2
	fillWeight     = 0.1
)

// Place implements cfcore.Placer.
func (Spread) Place(w *cfcore.Workload, slots []cfcore.Slot) int {
	best, bestScore := 0, 0.0
	for i := range slots {
		score := spreadScore(w, &slots[i])
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

func spreadScore(w *cfcore.Workload, s *cfcore.Slot) float64 {
	// The tail suffers most where harm meets harm.
	score := harmWeight * s.Harm * (1 + 2*s.TotalHarm + s.Harm)
	score += fillWeight * fill(s)
	if w.Class != cfcore.ClassBatch {
		score += peerWeight*float64(s.Peers) + rackPeerWeight*float64(s.RackPeers)
	}
	return score
}

// fill returns the share of the scarcest resource that is reserved.
func fill(s *cfcore.Slot) float64 {
	cores := share(s.Capacity.MilliCores-s.Free.MilliCores, s.Capacity.MilliCores)
	memory := share(s.Capacity.MemoryMB-s.Free.MemoryMB, s.Capacity.MemoryMB)
	return max(cores, memory)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

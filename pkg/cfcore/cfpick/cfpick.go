// Package cfpick implements the pickers. A picker is a policy that chooses a target for a call.
package cfpick

import (
	"math/rand/v2"
	"sync/atomic"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Kind says why New created no picker.
type Kind string

// KindUnknown means that no picker has the given name.
const KindUnknown Kind = "unknown picker"

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// New returns the picker with the given name.
func New(name string) (cfcore.Picker, error) {
	switch name {
	case "FewChoices":
		return FewChoices{}, nil
	case "LeastInFlight":
		return LeastInFlight{}, nil
	case "RoundRobin":
		return &RoundRobin{}, nil
	case "Random":
		return Random{}, nil
	}
	return nil, cferror.New("create picker", KindUnknown, "%q", name)
}

// sampleSize is the maximum number of targets that FewChoices compares.
const sampleSize = 4

// maxDraws limits the random draws in the search for one usable target. After maxDraws
// unsuccessful draws, drawUsable checks all targets in order.
const maxDraws = 8

// drawUsable returns a random usable choice and its index. It skips the index excluded, and
// returns index -1 if no other choice is usable.
func drawUsable(r *rand.Rand, n, excluded int, at func(int) cfcore.TargetChoice) (int, cfcore.TargetChoice) {
	for range maxDraws {
		i := r.IntN(n)
		if i == excluded {
			continue
		}
		if c := at(i); c.Usable {
			return i, c
		}
	}
	return firstUsable(r.IntN(n), n, excluded, at)
}

// firstUsable returns the first usable choice and its index. It searches from the index start
// and wraps around. It skips the index excluded, and returns index -1 if no other choice is
// usable.
func firstUsable(start, n, excluded int, at func(int) cfcore.TargetChoice) (int, cfcore.TargetChoice) {
	for k := range n {
		i := (start + k) % n
		if i == excluded {
			continue
		}
		if c := at(i); c.Usable {
			return i, c
		}
	}
	return -1, cfcore.TargetChoice{}
}

// FewChoices draws up to four random usable targets and chooses the one with the shortest
// expected time for the call. As long as most targets are usable, the cost of a choice does not
// grow with the number of targets. Source: Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001.
type FewChoices struct{}

// Pick implements cfcore.Picker.
func (FewChoices) Pick(r *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	if n == 0 {
		return -1
	}
	best, bestChoice := drawUsable(r, n, -1, at)
	for k := 1; k < sampleSize && k < n && best >= 0; k++ {
		i, other := drawUsable(r, n, best, at)
		if i >= 0 && expectedTime(other) < expectedTime(bestChoice) {
			best, bestChoice = i, other
		}
	}
	return best
}

// expectedTime estimates the time of a call, in nanoseconds: the target's latency times
// 1 + load. The load is the number of this entry's calls per slot, including this call. The
// latency is increased by 1 ns, so that the load also counts if the latency is 0.
func expectedTime(c cfcore.TargetChoice) float64 {
	load := float64(c.InFlight+1) / float64(max(1, c.Slots))
	return float64(c.Latency+1) * (1 + load)
}

// LeastInFlight chooses the usable target with the fewest calls in flight from this entry.
type LeastInFlight struct{}

// Pick implements cfcore.Picker.
func (LeastInFlight) Pick(r *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	best, least := -1, 0
	if n == 0 {
		return best
	}
	start := r.IntN(n)
	for k := range n {
		i := (start + k) % n
		c := at(i)
		if c.Usable && (best < 0 || c.InFlight < least) {
			best, least = i, c.InFlight
		}
	}
	return best
}

// RoundRobin chooses the usable targets in cyclic order.
type RoundRobin struct {
	// picks counts the calls of Pick.
	picks atomic.Uint64
}

// Pick implements cfcore.Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	if n == 0 {
		return -1
	}
	start := int(p.picks.Add(1) % uint64(n))
	i, _ := firstUsable(start, n, -1, at)
	return i
}

// Random chooses a random usable target.
type Random struct{}

// Pick implements cfcore.Picker.
func (Random) Pick(r *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	if n == 0 {
		return -1
	}
	i, _ := drawUsable(r, n, -1, at)
	return i
}

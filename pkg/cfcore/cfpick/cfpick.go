// Package cfpick implements the pickers: policies that choose a target for a call.
package cfpick

import (
	"math/rand/v2"
	"sync/atomic"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Kind is the kind of an Error of this package.
type Kind string

// KindUnknown is an unknown picker name.
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
	return nil, cferror.New("new picker", KindUnknown, "%q", name)
}

// sampleSize is the number of targets that FewChoices compares.
const sampleSize = 4

// maxDraws limits the random draws for a usable target. After that, all targets are checked
// in order.
const maxDraws = 8

// drawUsable returns the index of a random usable choice other than excluded, and the choice.
// The index is -1 if there is none.
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

// firstUsable returns the index of the first usable choice other than excluded, and the
// choice. It searches from start and wraps around. The index is -1 if there is none.
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

// FewChoices draws up to four random targets and chooses the one with the shortest expected
// time for the call. Its cost does not grow with the number of targets as long as most of them
// are usable. Source: Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001.
type FewChoices struct{}

// Pick implements cfcore.Picker.
func (FewChoices) Pick(r *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	if n == 0 {
		return -1
	}
	best, c := drawUsable(r, n, -1, at)
	for k := 1; k < sampleSize && k < n && best >= 0; k++ {
		i, other := drawUsable(r, n, best, at)
		if i >= 0 && expectedTime(other) < expectedTime(c) {
			best, c = i, other
		}
	}
	return best
}

// expectedTime estimates the time of a call, in nanoseconds: the target's latency times
// 1 + load. The load is the number of calls per slot, including this call.
func expectedTime(c cfcore.TargetChoice) float64 {
	load := float64(c.InFlight+1) / float64(max(1, c.Slots))
	return float64(c.Latency+1) * (1 + load)
}

// LeastInFlight chooses the target with the fewest calls in flight from this entry.
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

// RoundRobin chooses the targets in cyclic order.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements cfcore.Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	if n == 0 {
		return -1
	}
	start := int(p.next.Add(1) % uint64(n))
	i, _ := firstUsable(start, n, -1, at)
	return i
}

// Random chooses a random target.
type Random struct{}

// Pick implements cfcore.Picker.
func (Random) Pick(r *rand.Rand, n int, at func(int) cfcore.TargetChoice) int {
	if n == 0 {
		return -1
	}
	i, _ := drawUsable(r, n, -1, at)
	return i
}

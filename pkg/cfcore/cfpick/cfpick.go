// Package cfpick holds the pickers: the policies that choose a target for a call.
package cfpick

import (
	"math/rand/v2"
	"sync/atomic"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Kind is the kind of an Error of this package.
type Kind string

// KindUnknown is a name that no picker has.
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

// choices is the number of targets that FewChoices draws.
const choices = 4

// draws bounds the random draws for a usable target before all are looked at.
const draws = 8

// drawUsable returns a random usable choice other than not, or -1.
func drawUsable(r *rand.Rand, n, not int, at func(int) cfcore.Choice) (int, cfcore.Choice) {
	for range draws {
		i := r.IntN(n)
		if i == not {
			continue
		}
		if c := at(i); c.Usable {
			return i, c
		}
	}
	return scanUsable(r.IntN(n), n, not, at)
}

func scanUsable(start, n, not int, at func(int) cfcore.Choice) (int, cfcore.Choice) {
	for k := range n {
		i := (start + k) % n
		if i == not {
			continue
		}
		if c := at(i); c.Usable {
			return i, c
		}
	}
	return -1, cfcore.Choice{}
}

// FewChoices draws four targets and takes the one where a call is expected to end
// soonest. Its cost does not grow with the number of targets. Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001.
type FewChoices struct{}

// Pick implements cfcore.Picker.
func (FewChoices) Pick(r *rand.Rand, n int, at func(int) cfcore.Choice) int {
	if n == 0 {
		return -1
	}
	best, c := drawUsable(r, n, -1, at)
	for k := 1; k < choices && k < n && best >= 0; k++ {
		i, other := drawUsable(r, n, best, at)
		if i >= 0 && cost(other) < cost(c) {
			best, c = i, other
		}
	}
	return best
}

// cost estimates when a call would end: the time of one call, longer by the
// calls that wait for a slot.
func cost(c cfcore.Choice) float64 {
	load := float64(c.InFlight+1) / float64(max(1, c.Slots))
	return float64(c.Latency+1) * (1 + load)
}

// LeastInFlight takes the target with the fewest open calls of this entry.
type LeastInFlight struct{}

// Pick implements cfcore.Picker.
func (LeastInFlight) Pick(r *rand.Rand, n int, at func(int) cfcore.Choice) int {
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

// RoundRobin takes the targets in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements cfcore.Picker.
func (p *RoundRobin) Pick(_ *rand.Rand, n int, at func(int) cfcore.Choice) int {
	if n == 0 {
		return -1
	}
	start := int(p.next.Add(1) % uint64(n))
	i, _ := scanUsable(start, n, -1, at)
	return i
}

// Random takes any target.
type Random struct{}

// Pick implements cfcore.Picker.
func (Random) Pick(r *rand.Rand, n int, at func(int) cfcore.Choice) int {
	if n == 0 {
		return -1
	}
	i, _ := drawUsable(r, n, -1, at)
	return i
}

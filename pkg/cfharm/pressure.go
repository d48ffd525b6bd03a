package cfharm

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Pressure learns how much processor time that fillers use takes from the tasks
// which serve beside them, by pair of images.
//
// The tail latency of a server grows as 1/(1-u) with its utilization u, so that
// the headroom, the target over the tail, falls by a fixed amount with each share
// of the worker's processor time that a neighbour presses it by. What a task would
// have without neighbours is learnt for all tasks of a job together, since these
// see the same load; the rest is put down to the fillers beside the task, by their
// share of the time (a normalized least mean squares filter).
type Pressure struct {
	pairs map[Pair]float64
	loads map[string]load
}

// load is what a job's users leave of its tasks' headroom.
type load struct {
	// alone is the headroom of the job's tasks without neighbours, as of at.
	alone float64
	at    time.Time
	// low is the lowest headroom without neighbours, forgotten within lowMemory.
	low float64
}

// Constants of the filter. They were tried on 40 s of a fleet's reports: the
// prediction of which tasks are over their target differs little from half to
// twice these.
const (
	// pressureGain is the share of an error that one report takes off a pair.
	pressureGain = 0.1
	// aloneGain is the share by which one report of a task without neighbours moves
	// the headroom of its job.
	aloneGain = 0.3
	// pressedTrust lowers aloneGain for tasks under pressure: a job has a few tasks that
	// are not, and these tell its load. Where all are pressed by pairs that are not known
	// yet, the pairs have to explain it.
	pressedTrust = 40.0
	// lowMemory is the time constant with which a low of a load is forgotten: several times
	// as long as a filler runs, so that the next low of a load that swings is foreseen.
	lowMemory = 15 * time.Second
	// leastShares keeps small shares of processor time from teaching much.
	leastShares = 0.02
	// priorPressure is assumed of a pair that was not seen yet, and maxPressure bounds
	// what is learnt.
	priorPressure = 0.5
	maxPressure   = 20.0
)

// Share is the part of a worker's processor time that fillers of one image use.
type Share struct {
	Image string
	Part  float64
}

// NewPressure returns a model that has learnt nothing.
func NewPressure() *Pressure {
	return &Pressure{pairs: map[Pair]float64{}, loads: map[string]load{}}
}

// Effect returns the headroom that a task which serves loses for each worker's
// worth of processor time that fillers of an image use beside it.
func (p *Pressure) Effect(service, filler string) float64 {
	if e, ok := p.pairs[Pair{service, filler}]; ok {
		return e
	}
	return priorPressure
}

// Observe takes a report of a time: the headroom of a task of a job beside fillers.
func (p *Pressure) Observe(now time.Time, job, service string, headroom float64, shares []Share) {
	lost, norm := 0.0, leastShares
	for _, s := range shares {
		lost += p.Effect(service, s.Image) * s.Part
		norm += s.Part * s.Part
	}
	l, ok := p.loads[job]
	if !ok {
		l = load{alone: headroom + lost, low: headroom + lost, at: now}
	}
	err := l.alone - lost - headroom
	for _, s := range shares {
		p.learn(Pair{service, s.Image}, pressureGain*err*s.Part/norm)
	}
	l.alone -= err * aloneGain / (1 + pressedTrust*lost)
	l.low += (l.alone - l.low) * min(1, float64(now.Sub(l.at))/float64(lowMemory))
	l.low, l.at = min(l.low, l.alone), now
	p.loads[job] = l
}

// Swing returns how far the headroom of a job's tasks without neighbours is above its
// lowest of late.
func (p *Pressure) Swing(job string) float64 {
	l := p.loads[job]
	return l.alone - l.low
}

func (p *Pressure) learn(k Pair, by float64) {
	e, ok := p.pairs[k]
	switch {
	case !ok && len(p.pairs) >= maxPairs:
		return
	case !ok:
		e = priorPressure
	}
	p.pairs[k] = min(max(0, e+by), maxPressure)
}

// ForgetJob drops what was learnt of a job that has ended.
func (p *Pressure) ForgetJob(job string) { delete(p.loads, job) }

// Learnt is what a Pressure has learnt of pairs of images, in a form that can be kept.
type Learnt struct {
	Images []string
	Pairs  []LearntPair
}

// LearntPair is the effect of one pair. The images are places in Learnt.Images.
type LearntPair struct {
	_       struct{} `cbor:",toarray"`
	Service int
	Filler  int
	// Effect is in thousandths.
	Effect int
}

// effectUnit is the part of an effect that is kept.
const effectUnit = 1000

// Learnt returns what was learnt so far, in the order of the images' names.
func (p *Pressure) Learnt() *Learnt {
	out := &Learnt{}
	places := map[string]int{}
	place := func(image string) int {
		i, ok := places[image]
		if !ok {
			i = len(out.Images)
			places[image] = i
			out.Images = append(out.Images, image)
		}
		return i
	}
	keys := make([]Pair, 0, len(p.pairs))
	for k := range p.pairs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Batch, b.Batch))
	})
	for _, k := range keys {
		out.Pairs = append(out.Pairs, LearntPair{
			Service: place(k.Service), Filler: place(k.Batch), Effect: int(math.Round(p.pairs[k] * effectUnit)),
		})
	}
	return out
}

// Restore takes in what an earlier Pressure had learnt. Pairs that make no sense are left
// out.
func (p *Pressure) Restore(l *Learnt) {
	for _, k := range l.Pairs {
		if k.Service < 0 || k.Service >= len(l.Images) || k.Filler < 0 || k.Filler >= len(l.Images) || len(p.pairs) >= maxPairs {
			continue
		}
		p.pairs[Pair{l.Images[k.Service], l.Images[k.Filler]}] = min(max(0, float64(k.Effect)/effectUnit), maxPressure)
	}
}

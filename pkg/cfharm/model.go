// Package cfharm learns how much batch work slows a service that runs on the same
// worker, for each pair of workloads, from measurements that lag behind.
//
// The slowdown of a service's target is taken as the sum of what its neighbours
// add. Each measurement moves the estimates of the pairs that it was taken under
// by their share of the error (a normalized least mean squares filter). A pair
// with few measurements is drawn to the mean of the batch workload over all
// services, and that to the mean over all pairs.
package cfharm

import (
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// Constants of the filter.
const (
	// gain is the share of an error that one measurement takes off.
	gain = 0.15
	// priorWeight is the number of measurements that the mean of a class stands for.
	priorWeight = 8.0
	// maxSlowdown bounds one measurement, so that a stuck target teaches little.
	maxSlowdown = 20.0
	// maxPairs bounds the pairs that are remembered.
	maxPairs = 20000
)

// Pair is a service and a batch workload.
type Pair struct {
	Service string
	Batch   string
}

// estimate is the mean of the slowdown that one task of a pair adds.
type estimate struct {
	value  float64
	weight float64
}

// Placement is what runs on a worker, with when that changed last.
type Placement struct {
	// Batches counts the tasks of each batch workload.
	Batches map[string]int
	Changed time.Time
}

// Model is what has been learnt. It belongs to one goroutine.
type Model struct {
	// lag is how old a measurement may be: what is measured sooner after a change
	// of the placement is not set against it.
	lag   time.Duration
	pairs map[Pair]*estimate
	batch map[string]*estimate
	all   estimate
	// bases is the least time of each service's calls, without neighbours.
	bases map[string]time.Duration
}

// NewModel returns a model that has learnt nothing.
func NewModel(lag time.Duration) *Model {
	return &Model{
		lag: lag, pairs: map[Pair]*estimate{}, batch: map[string]*estimate{}, bases: map[string]time.Duration{},
	}
}

// Observe takes a measurement of a service's target, which was taken at time at on
// a worker with the given placement.
func (m *Model) Observe(service string, latency time.Duration, p Placement, at time.Time) {
	if latency <= 0 || at.Sub(p.Changed) < m.lag {
		return
	}
	base := m.base(service, latency, len(p.Batches) == 0)
	if base == 0 || len(p.Batches) == 0 {
		return
	}
	slowdown := min(float64(latency)/float64(base)-1, maxSlowdown)
	// In one order, so that the same measurements teach the same.
	names := slices.Sorted(maps.Keys(p.Batches))
	predicted, norm := 0.0, 0.0
	for _, b := range names {
		n := float64(p.Batches[b])
		predicted += n * m.pair(service, b)
		norm += n * n
	}
	err := slowdown - predicted
	for _, b := range names {
		m.update(service, b, gain*err*float64(p.Batches[b])/norm)
	}
}

// base returns the time of a service's calls without neighbours: the average of
// what was measured so, or the least time of all where there was none yet.
func (m *Model) base(service string, latency time.Duration, alone bool) time.Duration {
	old, ok := m.bases[service]
	switch {
	case !ok, latency < old:
		m.bases[service] = latency
	case alone:
		m.bases[service] = old + time.Duration(gain*float64(latency-old))
	}
	return m.bases[service]
}

func (m *Model) update(service, batch string, by float64) {
	k := Pair{service, batch}
	e := m.pairs[k]
	if e == nil {
		if len(m.pairs) >= maxPairs {
			return
		}
		e = &estimate{value: m.prior(batch)}
		m.pairs[k] = e
	}
	e.value = max(0, e.value+by)
	e.weight++
	if m.batch[batch] == nil {
		m.batch[batch] = &estimate{value: m.all.value}
	}
	move(m.batch[batch], e.value)
	move(&m.all, e.value)
}

func move(e *estimate, to float64) {
	e.weight++
	e.value += (to - e.value) * max(gain, 1/e.weight)
}

// prior is what is expected of a pair before it was measured.
func (m *Model) prior(batch string) float64 {
	b := m.batch[batch]
	if b == nil {
		return m.all.value
	}
	return shrink(*b, m.all.value)
}

func shrink(e estimate, to float64) float64 {
	return (e.value*e.weight + to*priorWeight) / (e.weight + priorWeight)
}

// pair returns the slowdown that one task of a batch workload adds to a service,
// as a share of the service's time alone.
func (m *Model) pair(service, batch string) float64 {
	e := m.pairs[Pair{service, batch}]
	if e == nil {
		return m.prior(batch)
	}
	return shrink(*e, m.prior(batch))
}

var _ cfcore.Harm = (*Model)(nil)

// Total implements cfcore.Harm.
func (m *Model) Total(services, batches map[string]int) float64 {
	sum := 0.0
	for s, ns := range services {
		for b, nb := range batches {
			sum += float64(ns*nb) * m.pair(s, b)
		}
	}
	return sum
}

// Added implements cfcore.Harm.
func (m *Model) Added(w *cfcore.Workload, services, batches map[string]int) float64 {
	sum := 0.0
	switch w.Class {
	case cfcore.ClassBatch:
		for s, n := range services {
			sum += float64(n) * m.pair(s, w.Name)
		}
	case cfcore.ClassService:
		for b, n := range batches {
			sum += float64(n) * m.pair(w.Name, b)
		}
	}
	return sum
}

// Forget drops what was learnt of a workload that exists no longer.
func (m *Model) Forget(exists func(workload string) bool) {
	for k := range m.pairs {
		if !exists(k.Service) || !exists(k.Batch) {
			delete(m.pairs, k)
		}
	}
	for name := range m.batch {
		if !exists(name) {
			delete(m.batch, name)
		}
	}
	for name := range m.bases {
		if !exists(name) {
			delete(m.bases, name)
		}
	}
}

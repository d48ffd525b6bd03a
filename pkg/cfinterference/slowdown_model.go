// Package cfinterference estimates interference: how much batch work slows
// down latency-critical work on the same worker. SlowdownModel learns from measured latencies,
// for each pair of a service and a batch workload. HeadroomModel learns from the headroom
// of latency-critical tasks of jobs, for each pair of images.
//
// In SlowdownModel, the slowdown of a service's target is the increase of its latency, as a
// fraction of the service's latency without batch tasks. It is modelled as the sum of the
// slowdowns that the batch tasks on the target's worker add. Each measurement corrects the
// estimate for the service and each batch workload on that worker, in proportion to the
// number of the workload's tasks there (a normalized least mean squares filter). The fewer
// measurements a pair has, the more its estimate is shrunk toward the mean of its batch
// workload over all services. The mean of a batch workload is shrunk toward the mean over
// all pairs in the same way.
package cfinterference

import (
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// Parameters of SlowdownModel. maxPairs applies to HeadroomModel too.
const (
	// gain is used in three places. In Observe, it is the fraction of the prediction error
	// that one measurement corrects in the estimates of pairs, before these are shrunk. In
	// updateMean, it is the minimum weight of a new sample. In updateBaseline, it is the weight
	// of a latency that is higher than the baseline.
	gain = 0.15
	// priorWeight is the weight of a prior mean in shrink: the mean counts as much as this
	// many measurements.
	priorWeight = 8.0
	// maxSlowdown is the maximum slowdown that one measurement counts as. It limits the
	// effect of a stalled target.
	maxSlowdown = 20.0
	// maxPairs is the maximum number of pairs that a model holds in memory.
	maxPairs = 20000
)

// Pair names a service and a batch workload in SlowdownModel. In HeadroomModel, Service is the
// image of a latency-critical task and Batch the image of a best-effort task.
type Pair struct {
	Service string
	Batch   string
}

// estimate is the estimated slowdown that one batch task adds to a service, or a mean of such
// estimates. weight is the number of measurements that value is based on.
type estimate struct {
	value  float64
	weight float64
}

// Placement holds the batch tasks on a worker. ChangedAt is when the set of these tasks
// last changed.
type Placement struct {
	// Batches counts the tasks of each batch workload.
	Batches   map[string]int
	ChangedAt time.Time
}

// SlowdownModel learns from measured latencies how much batch tasks slow down services. It
// is not safe for concurrent use.
type SlowdownModel struct {
	// lag is the maximum delay of a measurement. A measurement is ignored if the placement
	// changed less than lag before it, since it possibly describes the previous placement.
	lag   time.Duration
	pairs map[Pair]*estimate
	// batchMeans holds the mean over all services for each batch workload. overallMean is
	// the mean over all pairs.
	batchMeans  map[string]*estimate
	overallMean estimate
	// baselines holds the estimated latency of each service without batch tasks on the
	// worker.
	baselines map[string]time.Duration
}

// NewSlowdownModel returns a model without estimates. lag is the maximum delay of the
// measurements that are passed to Observe.
func NewSlowdownModel(lag time.Duration) *SlowdownModel {
	return &SlowdownModel{
		lag: lag, pairs: map[Pair]*estimate{}, batchMeans: map[string]*estimate{}, baselines: map[string]time.Duration{},
	}
}

// Observe updates the estimates with the measured latency of a service's target. p is the
// placement on the target's worker, and at is the time of the measurement.
func (m *SlowdownModel) Observe(service string, latency time.Duration, p Placement, at time.Time) {
	if latency <= 0 || at.Sub(p.ChangedAt) < m.lag {
		return
	}
	baseline := m.updateBaseline(service, latency, len(p.Batches) == 0)
	if baseline == 0 || len(p.Batches) == 0 {
		return
	}
	slowdown := min(float64(latency)/float64(baseline)-1, maxSlowdown)
	// Sorting makes the result independent of map order.
	names := slices.Sorted(maps.Keys(p.Batches))
	predicted, norm := 0.0, 0.0
	for _, b := range names {
		n := float64(p.Batches[b])
		predicted += n * m.pairSlowdown(service, b)
		norm += n * n
	}
	predictionError := slowdown - predicted
	for _, b := range names {
		m.updatePair(service, b, gain*predictionError*float64(p.Batches[b])/norm)
	}
}

// updateBaseline updates a service's baseline with a measured latency and returns the new
// baseline. withoutBatch is set if there were no batch tasks on the worker. The first
// measurement, and any that is lower than the baseline, becomes the new baseline. A higher
// one is averaged into the baseline if withoutBatch is set, and otherwise ignored.
func (m *SlowdownModel) updateBaseline(service string, latency time.Duration, withoutBatch bool) time.Duration {
	old, ok := m.baselines[service]
	switch {
	case !ok, latency < old:
		m.baselines[service] = latency
	case withoutBatch:
		m.baselines[service] = old + time.Duration(gain*float64(latency-old))
	}
	return m.baselines[service]
}

// updatePair adds delta to the estimate of a pair and updates the means. It ignores a new
// pair if the model already has maxPairs.
func (m *SlowdownModel) updatePair(service, batch string, delta float64) {
	k := Pair{service, batch}
	e := m.pairs[k]
	if e == nil {
		if len(m.pairs) >= maxPairs {
			return
		}
		e = &estimate{value: m.prior(batch)}
		m.pairs[k] = e
	}
	e.value = max(0, e.value+delta)
	e.weight++
	if m.batchMeans[batch] == nil {
		m.batchMeans[batch] = &estimate{value: m.overallMean.value}
	}
	updateMean(m.batchMeans[batch], e.value)
	updateMean(&m.overallMean, e.value)
}

// updateMean adds a sample to a moving average. The nth sample has the weight 1/n, but at
// least gain.
func updateMean(e *estimate, sample float64) {
	e.weight++
	e.value += (sample - e.value) * max(gain, 1/e.weight)
}

// prior returns the estimated slowdown that one task of a batch workload adds to a service,
// if there is no measurement of this pair.
func (m *SlowdownModel) prior(batch string) float64 {
	b := m.batchMeans[batch]
	if b == nil {
		return m.overallMean.value
	}
	return shrink(*b, m.overallMean.value)
}

// shrink returns the mean of an estimate's value, weighted by its number of measurements,
// and a prior mean, weighted by priorWeight.
func shrink(e estimate, prior float64) float64 {
	return (e.value*e.weight + prior*priorWeight) / (e.weight + priorWeight)
}

// pairSlowdown returns the slowdown that one task of a batch workload adds to a
// service, as a fraction of the service's baseline latency.
func (m *SlowdownModel) pairSlowdown(service, batch string) float64 {
	e := m.pairs[Pair{service, batch}]
	if e == nil {
		return m.prior(batch)
	}
	return shrink(*e, m.prior(batch))
}

var _ cfcore.InterferenceModel = (*SlowdownModel)(nil)

// TotalSlowdown implements cfcore.InterferenceModel.
func (m *SlowdownModel) TotalSlowdown(services, batches map[string]int) float64 {
	sum := 0.0
	for s, ns := range services {
		for b, nb := range batches {
			sum += float64(ns*nb) * m.pairSlowdown(s, b)
		}
	}
	return sum
}

// AddedSlowdown implements cfcore.InterferenceModel.
func (m *SlowdownModel) AddedSlowdown(w *cfcore.Workload, services, batches map[string]int) float64 {
	sum := 0.0
	switch w.Class {
	case cfcore.ClassBatch:
		for s, n := range services {
			sum += float64(n) * m.pairSlowdown(s, w.Name)
		}
	case cfcore.ClassService:
		for b, n := range batches {
			sum += float64(n) * m.pairSlowdown(w.Name, b)
		}
	}
	return sum
}

// Retain drops each estimate about a workload for which exists returns false, and keeps all
// other estimates.
func (m *SlowdownModel) Retain(exists func(workload string) bool) {
	for k := range m.pairs {
		if !exists(k.Service) || !exists(k.Batch) {
			delete(m.pairs, k)
		}
	}
	for name := range m.batchMeans {
		if !exists(name) {
			delete(m.batchMeans, name)
		}
	}
	for name := range m.baselines {
		if !exists(name) {
			delete(m.baselines, name)
		}
	}
}

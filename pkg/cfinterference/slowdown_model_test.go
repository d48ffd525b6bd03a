package cfinterference_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfinterference"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// trueSlowdowns holds the slowdown that one task of each batch workload adds to each
// service.
var trueSlowdowns = map[cfinterference.Pair]float64{
	{Service: "dispatch", Batch: "noisy"}: 1.5, {Service: "dispatch", Batch: "quiet"}: 0.05,
	{Service: "crier", Batch: "noisy"}: 0.1, {Service: "crier", Batch: "quiet"}: 0.9,
}

// learn passes n measurements with random placements and noise to a model.
func learn(m *cfinterference.SlowdownModel, r *rand.Rand, n int) {
	for i := range n {
		service := []string{"dispatch", "crier"}[r.IntN(2)]
		p := cfinterference.Placement{Batches: map[string]int{}, ChangedAt: start}
		slow := 0.0
		for _, b := range []string{"noisy", "quiet"} {
			if k := r.IntN(3); k > 0 {
				p.Batches[b] = k
				slow += float64(k) * trueSlowdowns[cfinterference.Pair{Service: service, Batch: b}]
			}
		}
		latency := time.Duration(float64(10*time.Millisecond) * (1 + slow) * (0.9 + 0.2*r.Float64()))
		m.Observe(service, latency, p, start.Add(time.Duration(i+2)*time.Second))
	}
}

// slowdown returns the estimated slowdown that one task of a batch workload adds to a
// service.
func slowdown(m *cfinterference.SlowdownModel, batch, service string) float64 {
	w := &cfcore.Workload{Name: batch, Class: cfcore.ClassBatch}
	return m.AddedSlowdown(w, map[string]int{service: 1}, nil)
}

func TestModelLearnsPairs(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewSlowdownModel(time.Second)
	learn(m, rand.New(rand.NewPCG(1, 2)), 400)
	for p, want := range trueSlowdowns {
		g.Expect(slowdown(m, p.Batch, p.Service)).To(BeNumerically("~", want, 0.35), "%v", p)
	}
}

func TestDelayedMeasurementsAfterAPlacementChangeAreIgnored(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewSlowdownModel(5 * time.Second)
	p := cfinterference.Placement{Batches: map[string]int{"noisy": 1}, ChangedAt: start}
	m.Observe("dispatch", 10*time.Millisecond, cfinterference.Placement{ChangedAt: start}, start.Add(time.Minute))
	m.Observe("dispatch", time.Second, p, start.Add(4*time.Second))
	g.Expect(slowdown(m, "noisy", "dispatch")).To(BeZero())
	m.Observe("dispatch", time.Second, p, start.Add(6*time.Second))
	g.Expect(slowdown(m, "noisy", "dispatch")).To(BeNumerically(">", 0))
}

func TestUnknownPairsAreShrunkTowardTheMean(t *testing.T) {
	g := NewWithT(t)
	m := cfinterference.NewSlowdownModel(time.Second)
	learn(m, rand.New(rand.NewPCG(1, 2)), 400)
	g.Expect(slowdown(m, "never-seen", "dispatch")).To(BeNumerically(">", 0.1))
	m.Retain(func(string) bool { return false })
	g.Expect(slowdown(m, "noisy", "dispatch")).NotTo(BeNumerically("~", 1.5, 0.3))
}

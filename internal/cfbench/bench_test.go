package cfbench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestPlacementTargets holds the policy to its stated target: in noisy waves at
// least 30 % less p99 than first fit, at no less than 95 % of its throughput.
func TestPlacementTargets(t *testing.T) {
	for seed := uint64(1); seed <= placementSeeds; seed++ {
		g := NewWithT(t)
		results := map[string]PlacementResult{}
		for _, p := range []placementPolicy{placementPolicies[0], placementPolicies[len(placementPolicies)-1]} {
			sim, err := newPlacementSim(placementScenarios[1], p, seed)
			g.Expect(err).NotTo(HaveOccurred())
			results[p.name] = sim.run()
		}
		base, ours := results["first fit"], results["the same, batch waits"]
		g.Expect(ours.P99.Seconds()).To(BeNumerically("<=", 0.7*base.P99.Seconds()), "seed %d", seed)
		g.Expect(float64(ours.Done)).To(BeNumerically(">=", 0.95*float64(base.Done)), "seed %d", seed)
	}
}

// TestTouchedSetsRefuseLess holds the rule for conflicts to what it was kept for.
func TestTouchedSetsRefuseLess(t *testing.T) {
	results := Races(1)
	NewWithT(t).Expect(results[0].Refused).To(BeNumerically("<", results[1].Refused))
}

// TestPlannerRate holds the planner to 6,100 task starts a second on one core, with
// the 20 appends a second of its default tick.
func TestPlannerRate(t *testing.T) {
	g := NewWithT(t)
	w, err := measurePlanner(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.rate()).To(BeNumerically(">=", plannedStarts))
	g.Expect(w.records).To(Equal(startRounds * startsPerRound))
}

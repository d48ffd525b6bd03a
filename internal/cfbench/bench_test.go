package cfbench

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestPlacementReducesLatencyAndKeepsThroughput checks the stated target of the placement
// policy. With waves of arrivals, its p99 must be at least 30 % below that of first fit, and
// its throughput must be at least 95 % of that of first fit.
func TestPlacementReducesLatencyAndKeepsThroughput(t *testing.T) {
	for seed := uint64(1); seed <= placementSeeds; seed++ {
		g := NewWithT(t)
		results := map[string]PlacementResult{}
		for _, p := range []placementPolicy{placementPolicies[0], placementPolicies[len(placementPolicies)-1]} {
			sim, err := newPlacementSim(placementScenarios[1], p, seed)
			g.Expect(err).NotTo(HaveOccurred())
			results[p.name] = sim.run()
		}
		firstFit, interferenceAware := results["first fit"], results["spread, interference learned, batch waits"]
		g.Expect(interferenceAware.P99.Seconds()).To(BeNumerically("<=", 0.7*firstFit.P99.Seconds()), "seed %d", seed)
		g.Expect(float64(interferenceAware.Done)).To(BeNumerically(">=", 0.95*float64(firstFit.Done)), "seed %d", seed)
	}
}

// TestTouchedKeysRefuseFewerPlansThanGlobalVersion compares two rules for conflicts between plans.
// By the first rule, a plan is refused only if a key that it touches has changed. By the second
// rule, a plan is refused after any change. The first rule must refuse fewer plans, which is why
// the scheduler uses it.
func TestTouchedKeysRefuseFewerPlansThanGlobalVersion(t *testing.T) {
	results := MeasurePlanConflicts(1)
	NewWithT(t).Expect(results[0].Refused).To(BeNumerically("<", results[1].Refused))
}

// TestPlannerStartsTasksAtPlannedPeakRate checks that one core decides and applies at least
// 6,100 task starts per second. Each decision starts 305 tasks. By default the planner decides
// once per tick of 50 ms, 20 times per second, and 20 * 305 = 6,100.
func TestPlannerStartsTasksAtPlannedPeakRate(t *testing.T) {
	g := NewWithT(t)
	work, err := measurePlanner(1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(work.startsPerSecond()).To(BeNumerically(">=", plannedStartsPerSecond))
	g.Expect(work.records).To(Equal(startRounds * startsPerRound))
}

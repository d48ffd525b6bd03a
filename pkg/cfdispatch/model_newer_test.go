package cfdispatch_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

func TestModelWithLongLeases(t *testing.T) { checkModel(t, longLeases) }

func TestModelWithLongLeasesAndTakeovers(t *testing.T) { checkModel(t, longLeasesAndTakeovers) }

func TestModelWithFormerLives(t *testing.T) { checkModel(t, formerLives) }

func TestModelWithFormerLivesAndAgentRestarts(t *testing.T) { checkModel(t, formerLivesAndAgent) }

func TestModelWithStartTimesSetBack(t *testing.T) { checkModel(t, bornSetBack) }

func TestModelWithFormerLivesAndStartTimesSetBack(t *testing.T) { checkModel(t, formerLivesSetBack) }

func TestModelWithRefusals(t *testing.T) { checkModel(t, refusals) }

func TestModelWithWaitingHolds(t *testing.T) { checkModel(t, waitingHolds) }

func TestModelWithRefusalsAndFormerLives(t *testing.T) { checkModel(t, refusalsAndFormerLives) }

func TestModelWithSlowStops(t *testing.T) { checkModel(t, slowStops) }

func TestModelWithListedEnds(t *testing.T) { checkModel(t, rareDisruptions) }

func TestModelWithListedEndsAndNewWorkerIDs(t *testing.T) { checkModel(t, rareWithNewIDs) }

func TestModelFindsInjectedFaultsOfIncarnations(t *testing.T) {
	for name, c := range map[string]struct {
		scope  modelScope
		faults modelFaults
		kind   string
		// first is the seed before the first one.
		first int
	}{
		"agents take goodbyes for those of the present incarnation": {formerLives, modelFaults{trustGoodbyes: true}, violationTwoRuns, 0},
		"agents ignore incarnations with an earlier start time":     {bornSetBack, modelFaults{ignoreSetBack: true, ignoreFailedCalls: true}, violationUnstored, 0},
		"agents report refused stops as done":                       {refusals, modelFaults{trustRefusedStops: true}, violationTwoRuns, 0},
		"agents use run lists of an earlier epoch":                  {waitingHolds, modelFaults{applyEarlierLists: true}, violationTwoRuns, 0},
		"agents forget long leases":                                 {longLeases, modelFaults{forgetLongLeases: true, hideUnanswered: true}, violationTwoRuns, 3700},
		"agents extend leases by the clock of a check-in":           {formerLivesSetBack, modelFaults{extendUnconfirmed: true}, violationTwoRuns, 3200},
		"agents ignore the clocks in answers to starts":             {rareDisruptions, modelFaults{ignoreClocks: true}, violationTwoRuns, 2800},
		"planners forget listed ends":                               {rareWithNewIDs, modelFaults{ignoreProgress: true}, violationListed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			// Agents hide their unanswered starts, or send starts after a failed call, where the rule for these
			// prevents all effects.
			base := modelFaults{hideUnanswered: c.faults.hideUnanswered, ignoreFailedCalls: c.faults.ignoreFailedCalls}
			found := 0
			for seed := c.first + 1; seed <= max(3000, c.first+100) && found == 0; seed++ {
				for _, v := range modelHistory(seed, c.scope, c.faults).violations {
					if v.kind == c.kind && modelHistory(seed, c.scope, base).violation() == "" {
						found = seed
					}
				}
			}
			t.Logf("found with seed %d", found)
			NewWithT(t).Expect(found).NotTo(BeZero())
		})
	}
}

// A new planner that does not know which tasks are recorded as done starts copies of them.
func TestModelFindsCopiesLongAfterTheEnd(t *testing.T) {
	found := false
	for seed := 1; seed <= 1000 && !found; seed++ {
		m := modelHistory(seed, rareWithNewIDs, modelFaults{ignoreProgress: true})
		found = slices.ContainsFunc(m.violations, func(v violation) bool { return v.kind == violationCopy }) &&
			modelHistory(seed, rareWithNewIDs, modelFaults{}).violation() == ""
	}
	NewWithT(t).Expect(found).To(BeTrue())
}

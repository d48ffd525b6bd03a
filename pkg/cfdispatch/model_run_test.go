package cfdispatch_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
)

// timeline returns the part of the trace that concerns a task.
func (m *model) timeline(n cfcore.TaskName) string {
	var out []string
	for _, l := range m.trace {
		isOther := strings.Contains(l, " run ") || strings.Contains(l, "(run ") || strings.Contains(l, " of run ") || strings.Contains(l, "of job ") || strings.Contains(l, "are recorded")
		if !isOther || strings.Contains(l, taskString(n)) || strings.Contains(l, "of job "+n.Job[12:]) {
			out = append(out, l)
		}
	}
	return strings.Join(out, "\n")
}

// TestMain limits the time for which rapid simplifies a failing history. A flag of the command
// line has precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.shrinktime", "2s"); err != nil {
		panic(err)
	}
	m.Run()
}

// checkModel simulates random histories. With MODEL_TRACE set, it logs the timeline of the
// first task with a violation.
func checkModel(t *testing.T, scope modelScope) {
	rapid.Check(t, func(t *rapid.T) {
		m := runModel(t, scope, modelFaults{})
		if len(m.violations) == 0 {
			return
		}
		if os.Getenv("MODEL_TRACE") != "" {
			t.Log("\n" + m.timeline(m.violations[0].task))
		}
		t.Fatal(m.violation())
	})
}

func TestModelRunsNoTaskTwice(t *testing.T) { checkModel(t, takeovers) }

func TestModelWithLateOrders(t *testing.T) { checkModel(t, lateOrders) }

func TestModelWithWorkerRestarts(t *testing.T) { checkModel(t, workerRestarts) }

func TestModelWithLateOrdersAndWorkerRestarts(t *testing.T) { checkModel(t, restartsAndLate) }

func TestModelWithAgentRestarts(t *testing.T) { checkModel(t, agentRestarts) }

func TestModelWithAgentAndWorkerRestarts(t *testing.T) { checkModel(t, agentAndWorkerRestarts) }

func TestModelWithWorkerCuts(t *testing.T) { checkModel(t, workerCuts) }

func TestModelWithStoreOutages(t *testing.T) { checkModel(t, storeOutages) }

func TestModelWithStalledRuns(t *testing.T) { checkModel(t, stalls) }

func TestModelWithLateReports(t *testing.T) { checkModel(t, lateReports) }

func TestModelWithTakeoversAndLateReports(t *testing.T) { checkModel(t, takeoversAndLateReports) }

func TestModelWithAgentRestartsAndLateReports(t *testing.T) { checkModel(t, restartsAndLateReports) }

func TestModelWithHeldOrders(t *testing.T) { checkModel(t, heldOrders) }

func TestModelWithLateMessages(t *testing.T) { checkModel(t, lateMessages) }

func TestModelWithNewWorkerIDs(t *testing.T) { checkModel(t, newIDs) }

func TestModelWithJobKinds(t *testing.T) { checkModel(t, jobKinds) }

func TestModelWithShortLists(t *testing.T) { checkModel(t, shortLists) }

func TestModelWithLateStore(t *testing.T) { checkModel(t, lateStore) }

func TestModelWithFlappingWorkers(t *testing.T) { checkModel(t, flaps) }

func TestModelWithLateAnswers(t *testing.T) { checkModel(t, lateAnswers) }

func TestModelWithLateCheckIns(t *testing.T) { checkModel(t, lateCheckIns) }

func TestModelWithLeavingWorkers(t *testing.T) { checkModel(t, leaves) }

func TestModelWithLargeProgress(t *testing.T) { checkModel(t, largeProgress) }

func TestModelWithNewerDisruptionsAndCuts(t *testing.T) { checkModel(t, newerAndCuts) }

func TestModelWithAllDisruptionsAndNewWorkerIDs(t *testing.T) { checkModel(t, allWithNewIDs) }

func TestModelWithAllDisruptions(t *testing.T) { checkModel(t, allDisruptions) }

// A violation without an orphaned run has another cause than late starts in a worker's next incarnation.
func TestModelBreaksNoRuleWithoutOrphanedRuns(t *testing.T) {
	for name, scope := range map[string]modelScope{"late starts": restartsAndLateStarts, "late orders": restartsAndLate, "all disruptions": allDisruptions, "all and late reports": allWithLateReports} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				for _, v := range runModel(t, scope, modelFaults{}).violations {
					if !v.isOrphaned {
						t.Fatal(v.text)
					}
				}
			})
		})
	}
}

// Without this, a failure that rapid reports could not be reproduced from its seed.
func TestModelIsReproducible(t *testing.T) {
	g := NewWithT(t)
	for seed := range 30 {
		for _, scope := range []modelScope{allDisruptions, allWithLateReports, allWithNewIDs} {
			trace := func() string { return strings.Join(modelHistory(seed, scope, modelFaults{}).trace, "\n") }
			g.Expect(trace()).To(Equal(trace()), "seed %d", seed)
		}
	}
}

// modelHistory returns the history of a seed.
func modelHistory(seed int, scope modelScope, faults modelFaults) *model {
	return rapid.Custom(func(t *rapid.T) *model { return runModel(t, scope, faults) }).Example(seed)
}

// For each fault in modelFaults, the model finds a history with a violation. Without this
// test, TestModelRunsNoTaskTwice could also pass because the model detects nothing.
func TestModelFindsInjectedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		scope  modelScope
		faults modelFaults
	}{
		"planners ignore leases":                       {takeovers, modelFaults{ignoreLeases: true}},
		"new planners don't wait for agents":           {takeovers, modelFaults{expectNoAgents: true}},
		"workers accept earlier planners":              {lateStarts, modelFaults{skipFencing: true, hideUnanswered: true}},
		"agents report unanswered starts as refused":   {lateStarts, modelFaults{reportUncertain: true}},
		"agents report unanswered stops as done":       {stalls, modelFaults{trustStops: true}},
		"agents forget unanswered starts":              {lateStarts, modelFaults{forgetUncertain: true, ignoreFailedCalls: true}},
		"late holds extend leases from their arrival":  {lateOrders, modelFaults{relativeLeases: true}},
		"planners forget starts on a restart":          {restartsAndLateStarts, modelFaults{hideSameID: true}},
		"agents report leases as expired at once":      {workerCuts, modelFaults{expireUnreachable: true}},
		"restarted agents count no leases":             {agentRestarts, modelFaults{expireUnreachable: true}},
		"planners acknowledge unrecorded ends":         {storeOutages, modelFaults{ackUnrecorded: true}},
		"planners count leases as expired too early":   {takeovers, modelFaults{presentExpiry: true}},
		"agents keep their sessions":                   {restartsAndLate, modelFaults{keepSession: true}},
		"planners start new jobs at once":              {takeovers, modelFaults{newJobsAtOnce: true}},
		"planners skip unknown jobs":                   {takeovers, modelFaults{skipUnknownJobs: true}},
		"planners order before they are confirmed":     {agentAndWorkerRestarts, modelFaults{orderUnconfirmed: true}},
		"agents execute outdated starts":               {heldOrders, modelFaults{executeOutdated: true}},
		"agents ignore the silence of planners":        {heldOrders, modelFaults{ignoreSilence: true}},
		"agents send starts after a failed call":       {restartsAndLate, modelFaults{ignoreFailedCalls: true}},
		"agents hide unanswered starts":                {restartsAndLate, modelFaults{hideUnanswered: true}},
		"agents forget the results of starts":          {lateReports, modelFaults{forgetResults: true}},
		"planners apply late reports":                  {lateReports, modelFaults{applyLate: true}},
		"planners apply reports of an earlier epoch":   {lateReports, modelFaults{applyEarlier: true}},
		"planners ignore the progress of gangs":        {jobKinds, modelFaults{ignoreProgress: true}},
		"planners ignore the progress of late records": {lateStore, modelFaults{ignoreProgress: true}},
		"workers with new IDs accept earlier planners": {newIDs, modelFaults{skipFencing: true, hideUnanswered: true}},
		"workers with short lists, unrecorded ends":    {shortLists, modelFaults{ackUnrecorded: true}},
		"restarted agents trust check-ins":             {lateCheckIns, modelFaults{trustCheckIns: true}},
		"workers flap, unanswered starts as refused":   {flaps, modelFaults{reportUncertain: true}},
		"sessions follow the time of day":              {clockSteps, modelFaults{timeOfDaySessions: true, hideUnanswered: true}},
	} {
		t.Run(name, func(t *testing.T) {
			// The product has faults of its own. A history counts only if its seed gives no
			// violation without the injected fault. Agents hide their unanswered starts, or send starts after a
			// failed call, where the rule for these prevents all effects of the fault.
			base := modelFaults{
				hideUnanswered:    c.faults.hideUnanswered && c.faults != modelFaults{hideUnanswered: true},
				ignoreFailedCalls: c.faults.ignoreFailedCalls && c.faults != modelFaults{ignoreFailedCalls: true},
			}
			found := false
			for seed := 1; seed <= 3000 && !found; seed++ {
				found = modelHistory(seed, c.scope, c.faults).violation() != "" && modelHistory(seed, c.scope, base).violation() == ""
			}
			NewWithT(t).Expect(found).To(BeTrue())
		})
	}
}

// A start after the record counts even if no end of the task has been acknowledged.
func TestModelFindsStartsOrderedAfterTheRecord(t *testing.T) {
	found := false
	for seed := 1; seed <= 300 && !found; seed++ {
		m := modelHistory(seed, takeovers, modelFaults{ignoreProgress: true})
		found = slices.ContainsFunc(m.violations, func(v violation) bool { return v.kind == violationRecorded }) &&
			modelHistory(seed, takeovers, modelFaults{}).violation() == ""
	}
	NewWithT(t).Expect(found).To(BeTrue())
}

func TestModelFindsAcknowledgedEndsThatAreNotStored(t *testing.T) {
	for name, scope := range map[string]modelScope{"outages": storeOutages, "late records": lateStore, "all with new IDs": allWithNewIDs} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := 1; seed <= 300 && !found; seed++ {
				found = slices.ContainsFunc(modelHistory(seed, scope, modelFaults{ackUnrecorded: true}).violations, func(v violation) bool { return v.kind == violationUnstored }) &&
					modelHistory(seed, scope, modelFaults{}).violation() == ""
			}
			NewWithT(t).Expect(found).To(BeTrue())
		})
	}
}

// Without this, a scope could pass because it does not play what it names.
func TestModelPlaysNewerDisruptions(t *testing.T) {
	var trace strings.Builder
	for seed := range 30 {
		for _, scope := range []modelScope{allWithNewIDs, largeProgress, formerLivesSetBack, refusalsAndFormerLives, rareWithNewIDs, slowStops} {
			trace.WriteString(strings.Join(modelHistory(seed, scope, modelFaults{}).trace, "\n"))
		}
	}
	for name, event := range map[string]string{
		"a gang is broken": "ends as Broken", "a member of a gang waits too long": "ends as Alone", "a worker fails a run": "ends as Failed",
		"a copy runs": "copy of run", "a second step is done": `\.0\.1\.0 ends as Done`, "a later occurrence is done": `\.2\.0\.0 ends as Done`,
		"a worker leaves out ends": "ends are left out", "the store rejects a late record": "the store rejects a record", "the store is late": "carries out a record .* late",
		"a worker refuses a start": string(cfcore.ExecutorUnhealthy), "an answer is late": "answer to a record is late", "a worker leaves": "the worker has left", "a batch is split": "the batch is full", "an answer of a worker is late": "answer of the worker arrives late", "a call names a former incarnation": "refuses a call to a former incarnation",
		"a lease is long": "shortens a lease to the maximum", "a check-in is from two incarnations ago": "check-in of the incarnation 2 before", "a goodbye arrives": "gets a goodbye", "the time of day is set back": "next start time is set back",
		"a worker refuses other calls": "refuses a call for its lists or a stop", "a waiting call is answered late": "answers a waiting call late", "an end counts since it was listed": "counts since it was listed",
		"a stop takes time": "is stopped after",
	} {
		t.Run(name, func(t *testing.T) { NewWithT(t).Expect(trace.String()).To(MatchRegexp(event)) })
	}
}

// TestModelSearch counts the violations in MODEL_SEEDS histories of the scope MODEL_SCOPE from
// the seed MODEL_FIRST on. With MODEL_TRACE, it prints a timeline
// for each history.
func TestModelSearch(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("MODEL_SEEDS"))
	first, _ := strconv.Atoi(os.Getenv("MODEL_FIRST"))
	if n == 0 {
		t.Skip("started by hand")
	}
	scope := map[string]modelScope{
		"takeovers": takeovers, "lateStarts": lateStarts, "lateOrders": lateOrders, "workerRestarts": workerRestarts,
		"restartsAndLate": restartsAndLate, "restartsAndLateStarts": restartsAndLateStarts, "agentRestarts": agentRestarts, "agentAndWorkerRestarts": agentAndWorkerRestarts, "workerCuts": workerCuts,
		"storeOutages": storeOutages, "stalls": stalls, "lateReports": lateReports, "takeoversAndLateReports": takeoversAndLateReports, "restartsAndLateReports": restartsAndLateReports, "heldOrders": heldOrders, "lateMessages": lateMessages, "allWithLateReports": allWithLateReports, "all": allDisruptions,
		"newIDs": newIDs, "jobKinds": jobKinds, "shortLists": shortLists, "lateStore": lateStore, "flaps": flaps, "leaves": leaves, "lateCheckIns": lateCheckIns, "lateAnswers": lateAnswers, "largeProgress": largeProgress, "newerAndCuts": newerAndCuts, "allWithNewIDs": allWithNewIDs,
		"formerLives": formerLives, "formerLivesAndAgent": formerLivesAndAgent, "formerLivesSetBack": formerLivesSetBack, "bornSetBack": bornSetBack, "longLeases": longLeases, "refusals": refusals, "slowStops": slowStops, "waitingHolds": waitingHolds, "refusalsAndFormerLives": refusalsAndFormerLives, "rare": rareDisruptions, "rareWithNewIDs": rareWithNewIDs, "longLeasesAndTakeovers": longLeasesAndTakeovers,
		"drains": drains, "allDrains": allDrains, "clockSteps": clockSteps, "clockStepsAndTakeovers": clockStepsAndTakeovers, "formerLivesAndLate": formerLivesAndLate,
		"fullWorkers": fullWorkers, "fullWorkersAndRestarts": fullWorkersAndRestarts, "answersAfterTimeout": answersAfterTimeout, "checkpoints": checkpointScope, "allWithCheckpoints": allWithCheckpoints,
	}[os.Getenv("MODEL_SCOPE")]
	for _, scopes := range []map[string]modelScope{linkScopes, lossScopes, lastingScopes, supersededScopes, fullScopes} {
		if s, ok := scopes[os.Getenv("MODEL_SCOPE")]; ok {
			scope = s
		}
	}
	counts, seeds := map[string]int{}, map[string][]int{}
	for seed := first; seed < first+n; seed++ {
		m := modelHistory(seed, scope, modelFaults{})
		for i, v := range slices.Concat(m.violations, m.startViolations()) {
			kind := v.kind
			if v.isOrphaned {
				kind += ", with an orphaned run"
			}
			counts[kind]++
			if !slices.Contains(seeds[kind], seed) {
				seeds[kind] = append(seeds[kind], seed)
			}
			if i == 0 && os.Getenv("MODEL_TRACE") != "" {
				fmt.Printf("seed %d: %s\n%s\n", seed, v.text, m.timeline(v.task))
			}
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%s: %d, in %d of %d histories, seeds %v\n", kind, counts[kind], len(seeds[kind]), n, seeds[kind][:min(8, len(seeds[kind]))])
	}
}

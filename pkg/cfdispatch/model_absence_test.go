package cfdispatch_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfdispatch"
)

// The scopes with machines that are lost, worker and agent together, and planners that are replaced in series soon
// after.
var (
	losses       = modelScope{slowClocks: true, losses: true, fewTakeovers: true, lateStarts: true}
	lossesOfLate = modelScope{slowClocks: true, losses: true, fewTakeovers: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, lateStore: true}
	lossesOfNew  = modelScope{slowClocks: true, losses: true, fewTakeovers: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, newIDs: true, jobKinds: true, lateStore: true, storeOutages: true, workerCuts: true}
	allLosses    = modelScope{
		losses: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, workerCuts: true, slowClocks: true,
		storeOutages: true, lateStore: true, lateReports: true, heldOrders: true, drains: true, oneWayCuts: true, pausedPlanners: true,
	}
	lossScopes = map[string]modelScope{"losses": losses, "lossesOfLate": lossesOfLate, "lossesOfNew": lossesOfNew, "allLosses": allLosses}
)

// modelAbsences is what the store has about absent agents, and what is to come.
type modelAbsences struct {
	absences map[string]cfdispatch.Absence
	// lostUntil is until when no planner reaches an agent. elections are those to come.
	lostUntil map[string]time.Time
	elections []time.Time
}

// absenceChange is a record about an absence that a planner appends, or deletes if ab is nil.
type absenceChange struct {
	agent string
	ab    *cfdispatch.Absence
	at    time.Time
}

// injectLoss loses a machine: no planner reaches the agent any more, and the agent no longer reaches its worker. The
// planner is replaced up to three times soon after.
func (m *model) injectLoss() {
	if !m.scope.losses {
		return
	}
	if len(m.elections) > 0 && !m.now.Before(m.elections[0]) {
		m.elections = m.elections[1:]
		var handover []cfdispatch.Absence
		if newest := m.planners[len(m.planners)-1]; m.oneIn(1, "ends") {
			newest.hasEnded = true
			if newest.pause == nil && m.oneIn(1, "resigns") {
				handover = newest.HandOver()
			}
			m.tracef("planner %d ends, hands %d agents over", newest.epoch, len(handover))
		}
		m.electPlanner()
		m.handOver(handover)
	}
	if len(m.elections) > 0 || !m.oneIn(5, "loss") {
		return
	}
	for i, a := range m.agents {
		if !m.oneIn(1, "lost") {
			continue
		}
		until := m.now.Add(m.ticks(8, "lost"))
		m.lostUntil[a.name] = until
		*m.links[a.name] = modelLink{disturbedUntil: until, disturbance: loseCalls}
		m.tracef("the machine of %s is lost until %.1f", a.name, until.Sub(epochStart).Seconds())
		if m.oneIn(1, "restarts") {
			m.agents[i] = newModelAgent(m, a.worker)
			a.worker.restart()
		}
	}
	at := m.now.Add(m.ticks(5, "election"))
	for range 1 + m.uniform(2, "elections") {
		m.elections = append(m.elections, at)
		at = at.Add(m.ticks(5, "election"))
	}
}

// handOver passes the newest planner what the one before knew, also if that is late.
func (m *model) handOver(handover []cfdispatch.Absence) {
	p := m.planners[len(m.planners)-1]
	for _, ab := range handover {
		ab = m.shift(ab)
		p.TakeOver(m.now, &ab)
		m.tracef("planner %d: %s is taken over, leases until %.1f, complete %v, %d runs, %d starts", p.epoch, ab.Agent, ab.LeasesUntil.Sub(epochStart).Seconds(), ab.IsComplete, len(ab.Runs), len(ab.Starts))
	}
}

// shift returns an absence by a clock that is behind by up to 0.8 s.
func (m *model) shift(ab cfdispatch.Absence) cfdispatch.Absence {
	behind := m.ticks(3, "behind") - modelTick
	ab.Starts = slices.Clone(ab.Starts)
	for i := range ab.Starts {
		ab.Starts[i].Until = ab.Starts[i].Until.Add(behind)
	}
	for _, t := range []*time.Time{&ab.LeasesUntil, &ab.LongLeasesUntil, &ab.StartsUntil} {
		if !t.IsZero() {
			*t = t.Add(behind)
		}
	}
	if m.faults.trustAbsences {
		ab.IsComplete, ab.Runs, ab.Starts = true, nil, nil
	}
	return ab
}

// recordAbsences records which agents are absent, and deletes the records of those that have returned.
func (m *model) recordAbsences(p *modelPlanner, accepts bool) {
	if accepts {
		for _, ab := range p.TakeAbsences(m.now) {
			p.absenceChanges = append(p.absenceChanges, absenceChange{agent: ab.Agent, ab: &ab, at: m.changeTime()})
		}
	}
	for _, a := range p.TakeReturnedAgents() {
		p.absenceChanges = append(p.absenceChanges, absenceChange{agent: a, at: m.changeTime()})
	}
	for accepts && len(p.absenceChanges) > 0 && !m.now.Before(p.absenceChanges[0].at) {
		x := p.absenceChanges[0]
		p.absenceChanges = p.absenceChanges[1:]
		if x.ab == nil {
			delete(m.absences, x.agent)
			p.EndAbsence(x.agent)
			m.tracef("planner %d: the absence of %s is deleted", p.epoch, x.agent)
			continue
		}
		m.absences[x.agent] = *x.ab
		m.tracef("planner %d: the absence of %s is recorded, complete %v, %d runs, %d starts", p.epoch, x.agent, x.ab.IsComplete, len(x.ab.Runs), len(x.ab.Starts))
	}
}

// changeTime is when the store carries out a record about an absence.
func (m *model) changeTime() time.Time {
	if m.scope.lateStore && m.oneIn(1, "late absence") {
		return m.now.Add(m.ticks(4, "stored after"))
	}
	return m.now
}

// dropAbsence deletes what is recorded of an agent that is taken off the record.
func (m *model) dropAbsence(p *modelPlanner, agent string) {
	delete(m.absences, agent)
	p.absenceChanges = slices.DeleteFunc(p.absenceChanges, func(x absenceChange) bool { return x.agent == agent })
}

// restoreAbsences passes a new planner what is recorded of absent agents.
func (m *model) restoreAbsences(p *modelPlanner) {
	for _, name := range slices.Sorted(maps.Keys(m.absences)) {
		ab := m.shift(m.absences[name])
		p.RestoreAbsence(m.now, &ab)
		m.tracef("planner %d: %s is absent, leases until %.1f, complete %v", p.epoch, name, ab.LeasesUntil.Sub(epochStart).Seconds(), ab.IsComplete)
	}
}

// mayAnswer reports whether a planner lets an agent extend leases.
func (m *model) mayAnswer(p *modelPlanner, a *modelAgent) bool {
	return m.faults.answerAbsent || p.MayAnswer(a.name)
}

func TestModelWithLosses(t *testing.T) { checkModel(t, losses) }

func TestModelWithLossesAndLateOrders(t *testing.T) { checkModel(t, lossesOfLate) }

func TestModelWithLossesAndNewWorkerIDs(t *testing.T) { checkModel(t, lossesOfNew) }

func TestModelWithLossesAndAllDisruptions(t *testing.T) { checkModel(t, allLosses) }

func TestModelFindsInjectedFaultsOfAbsences(t *testing.T) {
	for name, c := range map[string]struct {
		scope  modelScope
		faults modelFaults
	}{
		"planners answer absent agents":                      {losses, modelFaults{answerAbsent: true}},
		"planners ignore the runs of absent agents":          {losses, modelFaults{trustAbsences: true}},
		"planners ignore the runs of agents that are cut":    {takeovers, modelFaults{trustAbsences: true}},
		"agents keep permissions":                            {workerCuts, modelFaults{keepGrants: true}},
		"planners ignore the runs, beside other disruptions": {allLosses, modelFaults{trustAbsences: true}},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for seed := 1; seed <= 3000 && found == 0; seed++ {
				if modelHistory(seed, c.scope, c.faults).violation() != "" && modelHistory(seed, c.scope, modelFaults{}).violation() == "" {
					found = seed
				}
			}
			t.Logf("found with seed %d", found)
			NewWithT(t).Expect(found).NotTo(BeZero())
		})
	}
}

// Without this, a scope could pass because it does not play what it names.
func TestModelPlaysAbsences(t *testing.T) {
	var trace strings.Builder
	for seed := range 30 {
		trace.WriteString(strings.Join(modelHistory(seed, allLosses, modelFaults{}).trace, "\n"))
	}
	for _, event := range []string{"the machine of a. is lost", "planner . ends, hands 0", "planner . ends, hands 3", "is taken over, leases until .* complete true, [1-9]+ runs", "is taken over, leases until .* complete false", "is recorded, complete true, [1-9] runs", "is recorded, complete true, [0-9]+ runs, [1-9] starts", "is recorded, complete false", "the absence of a. is deleted", "is absent, leases until .* complete true", "is absent, leases until .* complete false"} {
		t.Run(event, func(t *testing.T) { NewWithT(t).Expect(trace.String()).To(MatchRegexp(event)) })
	}
}

package cfjobentry

import (
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
)

// maxHandoverRuns bounds the agents, runs and starts in a resignation. The platform allows 256 KiB for a record.
const maxHandoverRuns = 4000

// absencesSince returns the epoch since which all planners have kept to the records of absences, if this entry
// claims an epoch now.
func (c *control) absencesSince(epoch cfcore.Epoch) cfcore.Epoch {
	if since := c.stored.Planner.AbsencesSince; since > 0 {
		return since
	}
	return epoch
}

// recordAbsences records which agents are absent, and deletes the records of those that have returned. While
// the store does not answer, no agent becomes absent: it could not return.
func (c *control) recordAbsences(now time.Time) {
	b := c.plan.pendingBatch
	if c.storeWorks() && (b == nil || b.retryAt.IsZero()) {
		for _, ab := range c.plan.TakeAbsences(now) {
			c.recordAbsence(now, &ab)
		}
	}
	for _, agent := range c.plan.TakeReturnedAgents() {
		c.Log.Info().Str("Agent", agent).Uint64("Epoch", uint64(c.plan.epoch)).Msg("agent reports its worker again: the record of its absence is deleted")
		c.plan.extraRecords = append(c.plan.extraRecords, c.codec.DropAbsence(agent))
		c.plan.returningAgents = append(c.plan.returningAgents, agent)
	}
}

// endAbsence handles that the record of an agent's absence is deleted, and answers the request that was held back.
func (c *control) endAbsence(agent string) {
	c.plan.EndAbsence(agent)
	ev, ok := c.plan.heldRequests[agent]
	delete(c.plan.heldRequests, agent)
	if ok && c.links[ev.link] && c.hasAuthority() && c.mayOrder(ev.link) {
		c.answerRequest(ev)
	}
}

func (c *control) recordAbsence(now time.Time, ab *cfdispatch.Absence) {
	stored := c.storedAbsence(now, ab)
	r, err := c.codec.Absence(ab.Agent, stored)
	if err != nil {
		c.Log.Error().Err(err).Str("Agent", ab.Agent).Msg("absence of an agent cannot be encoded; not recording it")
		c.plan.EndAbsence(ab.Agent)
		return
	}
	c.Log.Info().Str("Agent", ab.Agent).Uint64("Epoch", uint64(c.plan.epoch)).Dur("LeasesFor", ab.LeasesUntil.Sub(now)).Dur("StartsFor", max(0, ab.StartsUntil.Sub(now))).
		Bool("IsComplete", ab.IsComplete).Int("Runs", len(ab.Runs)).Int("Starts", len(ab.Starts)).Msg("agent does not report, or its worker does not respond: its absence is recorded")
	c.Scope.Counter("absences_recorded").Inc(1)
	c.plan.extraRecords = append(c.plan.extraRecords, r)
}

// storedAbsence converts an absence to its record.
func (c *control) storedAbsence(now time.Time, ab *cfdispatch.Absence) *cfjob.Absence {
	out := &cfjob.Absence{
		Epoch: c.plan.epoch, LeasesUntil: max(1, c.elapsedAt(ab.LeasesUntil, now)), LongLeasesUntil: c.elapsedAt(ab.LongLeasesUntil, now),
		StartsUntil: c.elapsedAt(ab.StartsUntil, now), WorkerID: ab.WorkerID, Born: ab.Born, IsComplete: ab.IsComplete,
	}
	for _, r := range ab.Runs {
		out.Runs = append(out.Runs, cfjob.AbsentRun(r))
	}
	for _, s := range ab.Starts {
		out.Starts = append(out.Starts, cfjob.AbsentStart{Task: s.Task, Run: s.Run, Until: c.elapsedAt(s.Until, now)})
	}
	return out
}

// restoredAbsence reverses storedAbsence.
func (c *control) restoredAbsence(now time.Time, agent string, ab *cfjob.Absence) *cfdispatch.Absence {
	out := &cfdispatch.Absence{
		Agent: agent, LeasesUntil: c.timeAt(ab.LeasesUntil, now), LongLeasesUntil: c.timeAt(ab.LongLeasesUntil, now),
		StartsUntil: c.timeAt(ab.StartsUntil, now), WorkerID: ab.WorkerID, Born: ab.Born, IsComplete: ab.IsComplete,
	}
	for _, r := range ab.Runs {
		out.Runs = append(out.Runs, cfdispatch.AbsentRun(r))
	}
	for _, s := range ab.Starts {
		out.Starts = append(out.Starts, cfdispatch.AbsentStart{Task: s.Task, Run: s.Run, Until: c.timeAt(s.Until, now)})
	}
	return out
}

// restoreAbsences passes a new planner what earlier planners have recorded about absent agents. A record is of no
// use if the agent is not on record, or if a planner that does not know of absences has been in force since.
func (c *control) restoreAbsences(claim cfjob.Claim) {
	now := c.Clock.Now()
	for _, agent := range slices.Sorted(maps.Keys(c.stored.Absences)) {
		ab := c.stored.Absences[agent]
		_, isRecorded := c.stored.Agents[agent]
		if !isRecorded || claim.AbsencesSince == 0 || ab.Epoch < claim.AbsencesSince {
			c.plan.extraRecords = append(c.plan.extraRecords, c.codec.DropAbsence(agent))
			continue
		}
		restored := c.restoredAbsence(now, agent, ab)
		c.plan.RestoreAbsence(now, restored)
		c.Log.Info().Str("Agent", agent).Uint64("Epoch", uint64(claim.Epoch)).Uint64("RecordedIn", uint64(ab.Epoch)).Dur("LeasesFor", restored.LeasesUntil.Sub(now)).
			Bool("IsComplete", ab.IsComplete).Int("Runs", len(ab.Runs)).Int("Starts", len(ab.Starts)).Msg("absence of an agent taken over")
		c.Scope.Counter("absences_restored").Inc(1)
	}
}

// resignation returns the resignation of this planner, with what it knows of the agents on record. If that has too
// many runs for a record, the next planner waits for the agents instead.
func (c *control) resignation(now time.Time) cfjob.Resignation {
	r := cfjob.Resignation{Epoch: c.plan.epoch, Elapsed: c.elapsed(), Agents: map[string]*cfjob.Absence{}}
	n := 0
	for _, ab := range c.plan.HandOver() {
		r.Agents[ab.Agent] = c.storedAbsence(now, &ab)
		n += 1 + len(ab.Runs) + len(ab.Starts)
	}
	if n > maxHandoverRuns {
		r.Agents = nil
	}
	return r
}

// takeOver passes this planner what the planner before it knew when it resigned.
func (c *control) takeOver() {
	r := &c.stored.Resigned
	if c.plan == nil || r.Epoch+1 != c.plan.epoch || r.Elapsed == 0 {
		return
	}
	now := c.Clock.Now()
	for _, agent := range slices.Sorted(maps.Keys(r.Agents)) {
		if r.Agents[agent] != nil {
			c.plan.TakeOver(now, c.restoredAbsence(now, agent, r.Agents[agent]))
		}
	}
	c.Log.Info().Uint64("Epoch", uint64(c.plan.epoch)).Int("Agents", len(r.Agents)).Msg("what the planner before knew of the agents is taken over")
}

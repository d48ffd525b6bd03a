package cfjobentry

import (
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
)

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

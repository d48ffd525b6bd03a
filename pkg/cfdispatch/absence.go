package cfdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

const (
	// absentAfter is how long an agent has not reported, or its worker has not responded, before its absence is
	// recorded. Agents report every 300 ms, and call their workers about as often.
	absentAfter = time.Second
	// maxAbsences bounds how many absences one call of TakeAbsences returns, since they share a record batch with
	// the progress of jobs. maxAbsentRuns bounds the runs and starts in one of them.
	maxAbsences   = 16
	maxAbsentRuns = 1000
)

// Absence is what a planner knows about an agent that does not report, or whose worker does not respond. Once it
// is recorded, no planner lets the agent extend leases or orders starts from it, until the record is deleted. What
// the record says therefore stays true, and later planners need not wait longer for the agent than the one that
// wrote it.
type Absence struct {
	Agent string
	// LeasesUntil is when the leases on the worker have expired, and LongLeasesUntil when those after a restart of
	// the worker have; zero if there are none.
	LeasesUntil, LongLeasesUntil time.Time
	// StartsUntil is until when the worker can execute starts that are in neither Runs nor Starts; zero if there
	// are none.
	StartsUntil time.Time
	// WorkerID and Born identify the incarnation of the worker; empty if it is not known.
	WorkerID string
	Born     time.Time
	// IsComplete is set if the worker can have no other runs than Runs and late executions of Starts.
	IsComplete bool
	Runs       []AbsentRun
	Starts     []AbsentStart
}

// AbsentRun is a run that the worker of an absent agent possibly has. AwaitsResult is set if its start got no
// answer.
type AbsentRun struct {
	Task         cfcore.TaskName
	Run          uint64
	AwaitsResult bool
}

// AbsentStart is a start without an answer that the worker of an absent agent can execute until a time.
type AbsentStart struct {
	Task  cfcore.TaskName
	Run   uint64
	Until time.Time
}

// TakeAbsences returns the agents on record that have become absent. The caller must record them. From this call
// on, they are absent until EndAbsence.
func (p *Planner) TakeAbsences(now time.Time) []Absence {
	if p.recordingSince.IsZero() || now.Sub(p.recordingSince) < absentAfter {
		return nil
	}
	var out []Absence
	for _, a := range p.unreportedAgents() {
		if len(out) < maxAbsences && p.MayAnswer(a) {
			p.absent[a] = p.expectedUntil
			out = append(out, Absence{Agent: a, LeasesUntil: p.expectedUntil, StartsUntil: p.bindings.unknown[a]})
		}
	}
	for _, w := range p.fleet {
		if len(out) >= maxAbsences {
			break
		}
		if w.isOnRecord() && p.MayAnswer(w.agent) && w.isAbsent(now) && len(w.runs)+len(w.bindings) <= maxAbsentRuns {
			ab := p.absenceOf(w)
			p.absent[w.agent] = ab.LeasesUntil
			out = append(out, ab)
		}
	}
	return out
}

// isOnRecord reports whether the agent is on record. That of a worker that has left is, as long as the worker's
// next incarnation under its ID can execute starts.
func (w *worker) isOnRecord() bool { return w.isRecorded && !w.hasLeft || w.isGone }

// isAbsent reports whether the agent has not reported, or the worker has not responded to it, for absentAfter.
func (w *worker) isAbsent(now time.Time) bool {
	return now.Sub(w.lastContact()) >= absentAfter || w.isUnreachable && w.lostFor >= absentAfter
}

// unreportedAgents returns the agents on record that have not reported to this planner and for which it waits.
func (p *Planner) unreportedAgents() []string {
	names := map[string]bool{}
	maps.Copy(names, p.expectedAgents)
	for a := range p.bindings.unknown {
		names[a] = true
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(names)), func(a string) bool { return p.workers[a] != nil })
}

// absenceOf returns what the planner knows about the agent of a worker. Ends that are not recorded make it
// incomplete: a later planner can start their tasks before the agent reports these ends to it.
func (p *Planner) absenceOf(w *worker) Absence {
	unknownUntil, hasUnknown := p.bindings.unknown[w.agent]
	ab := Absence{
		Agent: w.agent, LeasesUntil: p.leasesUntil(w), LongLeasesUntil: w.newbornUntil, StartsUntil: unknownUntil,
		WorkerID: w.state.ID, Born: w.state.Born,
		IsComplete: (w.hasListed || w.hasKnownRuns || w.hasLeft) && !w.lacksRuns && !hasUnknown && !p.expectedAgents[w.agent] && len(w.unsettled.running) == 0 && !p.hasUnrecordedEnds(w),
	}
	for r := range w.runs {
		ab.Runs = append(ab.Runs, AbsentRun{Task: r.task.name, Run: r.id, AwaitsResult: r.awaitsResult})
	}
	for _, x := range w.bindings {
		ab.Starts = append(ab.Starts, AbsentStart{Task: x.task, Run: x.run, Until: x.until})
	}
	slices.SortFunc(ab.Runs, func(a, b AbsentRun) int {
		return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	slices.SortFunc(ab.Starts, func(a, b AbsentStart) int {
		return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return ab
}

// leasesUntil returns when the leases on a worker have expired if its agent gets no more permission to extend them.
// An agent that waits for the run lists of its worker knows less than earlier planners.
func (p *Planner) leasesUntil(w *worker) time.Time {
	if until, ok := p.absent[w.agent]; ok {
		return until
	}
	until := w.lastContact().Add(p.cfg.LeaseExpiryTime())
	if w.isUnreachable && w.leasesFor > 0 && !p.expectedAgents[w.agent] {
		if t := w.reportedAt.Add(w.leasesFor); t.Before(until) {
			return t
		}
	}
	return until
}

// expireAbsent drops the runs on the worker of an absent agent once its leases have expired, although the agent
// reports: it has got no permission to extend them since. confirmed is that of ExpireLeases.
func (p *Planner) expireAbsent(now, confirmed time.Time, w *worker) {
	if until, ok := p.absent[w.agent]; ok && confirmed.After(until) && w.isUnreachable && (len(w.runs) > 0 || p.expectedAgents[w.agent]) {
		p.expireRuns(now, w)
		delete(p.expectedAgents, w.agent)
		w.hasListed, p.changed = false, true
	}
}

// HandOver returns what the planner knows of all agents on record, for the planner that follows it. From this call
// on, this planner must neither answer agents nor order anything.
func (p *Planner) HandOver() []Absence {
	var out []Absence
	for _, a := range p.unreportedAgents() {
		out = append(out, Absence{Agent: a, LeasesUntil: p.expectedUntil, StartsUntil: p.bindings.unknown[a]})
	}
	for _, w := range p.fleet {
		if w.isOnRecord() {
			out = append(out, p.absenceOf(w))
		}
	}
	return out
}

// TakeOver takes over what the planner before this one knew of an agent that has not reported yet. The times must
// not be earlier than that planner meant. All inherited jobs must be added before.
func (p *Planner) TakeOver(now time.Time, ab *Absence) {
	if p.expectedAgents[ab.Agent] && p.workers[ab.Agent] == nil {
		p.restoreWorker(now, ab)
	}
}

// RestoreAbsence takes over what an earlier planner has recorded about an absent agent, like TakeOver.
func (p *Planner) RestoreAbsence(now time.Time, ab *Absence) {
	if p.workers[ab.Agent] == nil {
		p.absent[ab.Agent] = ab.LeasesUntil
		p.restoreWorker(now, ab)
	}
}

func (p *Planner) restoreWorker(now time.Time, ab *Absence) {
	b := &p.bindings
	w := newWorker(ab.Agent)
	w.state.ID, w.state.Born = ab.WorkerID, ab.Born
	w.reportedAt, w.newbornUntil = ab.LeasesUntil.Add(-p.cfg.LeaseExpiryTime()), ab.LongLeasesUntil
	w.isRecorded, w.isRecordedLate = true, b.recordedLate[ab.Agent]
	p.addWorker(w)
	delete(p.unrecordedAgents, ab.Agent)
	if ab.StartsUntil.IsZero() {
		delete(b.unknown, ab.Agent)
	} else {
		// Starts that were unknown to the planner before are possibly not on record.
		delete(b.answered, ab.Agent)
		b.unknown[ab.Agent] = ab.StartsUntil
	}
	if w.hasKnownRuns = ab.IsComplete; w.hasKnownRuns {
		delete(p.expectedAgents, ab.Agent)
	}
	for _, s := range ab.Starts {
		b.bind(now, s.Task, w, s.Run, w.instance, s.Until).isLate = true
	}
	for _, r := range ab.Runs {
		p.restoreRun(now, w, r)
	}
}

// restoreRun adds a run that an earlier planner knew of.
func (p *Planner) restoreRun(now time.Time, w *worker, ar AbsentRun) {
	t := p.lookupTask(ar.Task)
	if t == nil || t.done {
		return
	}
	r := &run{
		task: t, id: ar.Run, w: w, phase: running, born: w.state.Born, startedAt: now, sentAt: w.reportedAt, awaitsSince: w.reportedAt,
		awaitsResult: ar.AwaitsResult, isRestored: true, speedPercent: unknownPercent,
	}
	if ar.AwaitsResult {
		r.phase = starting
	}
	t.addRun(r)
	w.addRun(r)
	p.markStarted(now, t.j)
}

// dropRestoredRuns drops the runs of a task that only an earlier planner has seen, since another worker lists a
// run of the task: the earlier planner has found out that they had ended.
func (p *Planner) dropRestoredRuns(t *task) {
	for _, r := range slices.Clone(t.runs) {
		if r.isRestored {
			p.dropRun(r)
		}
	}
}

// MayAnswer reports whether the planner may let an agent extend leases. It may not while the agent's absence is
// on record: later planners rely on it.
func (p *Planner) MayAnswer(agent string) bool {
	_, ok := p.absent[agent]
	return !ok
}

// HasAbsences reports whether absences of agents are on record.
func (p *Planner) HasAbsences() bool { return len(p.absent) > 0 }

// markReturned marks an absent agent as returned.
func (p *Planner) markReturned(agent string) {
	if !p.MayAnswer(agent) && !p.returning[agent] {
		p.returning[agent] = true
		p.returned = append(p.returned, agent)
	}
}

// TakeReturnedAgents returns the absent agents that have reported their workers, each once. The caller must delete
// the records of their absences, and call EndAbsence once that is certain.
func (p *Planner) TakeReturnedAgents() []string {
	out := p.returned
	p.returned = nil
	return out
}

// EndAbsence marks that the absence of an agent is no longer on record.
func (p *Planner) EndAbsence(agent string) {
	delete(p.absent, agent)
	delete(p.returning, agent)
	p.changed = true
}

// endAbsences ends the absences of agents that are taken off the record.
func (p *Planner) endAbsences(gone []GoneAgent) {
	for _, g := range gone {
		delete(p.absent, g.Agent)
		delete(p.returning, g.Agent)
		p.returned = slices.DeleteFunc(p.returned, func(a string) bool { return a == g.Agent })
	}
}

package cfdispatch

import (
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// ApplyReport applies a report that the planner received from an agent, unless it is outdated. The
// results in an outdated report are not lost: the planner repeats the orders.
func (p *Planner) ApplyReport(now time.Time, agent string, m *cfwire.JobReport) Outdated {
	o := p.checkOrder(agent, m)
	if o == UpToDate {
		p.applyNewest(now, agent, m)
	}
	return o
}

// applyNewest applies a report that is newer than all that were applied before.
func (p *Planner) applyNewest(now time.Time, agent string, m *cfwire.JobReport) {
	w := p.workers[agent]
	if w == nil {
		w = newWorker(agent)
		w.isRecordedLate = p.bindings.recordedLate[agent]
		w.state.ID = p.removedIDs[agent]
		p.addWorker(w)
	}
	p.recordContact(now, w, m)
	p.applyListedEnds(now, w, m)
	if m.Worker != nil {
		p.updateWorker(now, w, *m.Worker)
	}
	p.bindings.applyReport(now, w, m)
	p.applyLongLeases(now, w, m)
	// A report of the whole state of an unreachable worker contains the last lists, which are
	// older than the loss of the contact.
	isExpired := m.Lost != nil && (m.Lost.LeasesExpired && now.After(w.newbornUntil) && !p.awaitsFormerLeases(now, w, m) || m.Lost.Left)
	if m.Lists != nil {
		l := *m.Lists
		if isExpired {
			l.Running = nil
		}
		p.applyLists(now, w, &l, m.UncertainEnd)
	}
	w.updateReachability(m)
	if !w.isUnreachable {
		p.markReturned(agent)
	}
	if isExpired {
		p.expireRuns(now, w)
		w.hasListed = false
		delete(p.expectedAgents, agent)
	}
	if m.Lost != nil && m.Lost.Left {
		p.markLeft(w)
	}
	// Results are applied after the lists of the same report, which are as recent. If a run
	// has both a result and an end, its end is therefore applied first. applyResult then
	// ignores the result, because the planner no longer keeps the run.
	for _, r := range m.Results {
		p.applyResult(now, w, r)
	}
	p.bindings.applyReport(now, w, m)
}

// recordContact records that the worker's agent has reported.
func (p *Planner) recordContact(now time.Time, w *worker, m *cfwire.JobReport) {
	if !w.isUsable(now, p.cfg.SuspectAfter) || w.withholdsStarts != m.WithholdsStarts {
		p.changed = true
	}
	w.reportedAt, w.withholdsStarts = now, m.WithholdsStarts
}

// applyLongLeases records until when leases on a worker can be longer than its agent has allowed.
func (p *Planner) applyLongLeases(now time.Time, w *worker, m *cfwire.JobReport) {
	long := m.LongLeases
	if p.restartedAgents[w.agent] {
		long = max(long, m.FormerLeases)
	}
	if until := now.Add(min(long, longLeaseExpiry)); long > 0 && until.After(w.newbornUntil) {
		w.newbornUntil = until
	}
}

// awaitsFormerLeases reports whether the leases on a worker count as valid although its agent reports that they
// have expired. An agent that has started recently does not know the leases that its earlier instance
// extended, nor does a planner to which that instance has not reported.
func (p *Planner) awaitsFormerLeases(now time.Time, w *worker, m *cfwire.JobReport) bool {
	return p.expectedAgents[w.agent] && m.UnknownStarts > 0 && !now.After(p.expectedUntil)
}

// updateReachability records whether the worker responds to its agent.
func (w *worker) updateReachability(m *cfwire.JobReport) {
	w.awaitsInstance = w.awaitsInstance && m.Worker == nil
	w.isUnreachable = m.Lost != nil || w.awaitsInstance
	w.lostFor, w.leasesFor = 0, 0
	if m.Lost != nil {
		w.lostFor, w.leasesFor = m.Lost.For, m.Lost.LeasesFor
	}
}

// markLeft records that a worker has left. Later planners need not wait for the worker's
// agent.
func (p *Planner) markLeft(w *worker) {
	if !w.hasLeft {
		w.isGone = true
	}
	w.isRecorded, w.hasLeft = false, true
	delete(p.unrecordedAgents, w.agent)
}

// updateWorker applies the state that a worker reported. Reports arrive in order, so that another
// start time, also an earlier one, is a new incarnation.
func (p *Planner) updateWorker(now time.Time, w *worker, s cfcore.WorkerState) {
	if !s.Born.Equal(w.state.Born) {
		switch {
		case s.ID != w.state.ID:
			p.expireRuns(now, w)
			if w.state.ID != "" {
				// The worker refuses the calls for the previous one.
				p.bindings.unbindWorker(w)
				delete(p.restartedAgents, w.agent)
				w.newbornUntil = time.Time{}
			}
		case s.Clock < cfcore.MaxOrderDelay+cfcore.MaxLease:
			w.newbornUntil = now.Add(longLeaseExpiry)
		}
		p.retireEnds(w)
		w.isReleased = false
		w.unsettled, w.unexpectedStops = newUnsettledRuns(), map[runKey]time.Time{}
		w.hasListed, w.hasMoreEnds, w.hasKnownRuns = false, false, false
		w.failures, w.listedEnds = failureStreak{}, 0
		if w.hasLeft {
			w.hasLeft, w.isGone = false, false
			p.unrecordedAgents[w.agent] = true
		}
	}
	w.state = s
	p.changed, p.lastScan = true, time.Time{}
	w.drainDeadline = now.Add(s.Remaining)
}

// applyResult applies the result of a start order, or of a stop order for a run that the
// worker does not have. It ignores a refusal if the worker has already confirmed or listed
// the run, unless the planner has decided to stop the run.
func (p *Planner) applyResult(now time.Time, w *worker, res cfwire.JobOrderResult) {
	r := p.findRun(w, res.Task, res.Run)
	switch {
	case r == nil && res.Refusal != "":
		p.bindings.markRefused(w, res)
	case r == nil:
	case res.Refusal == "":
		p.confirmStart(r)
		if r.phase == starting {
			r.phase, r.startedAt = running, now
		}
	case r.phase != running:
		p.addEvent(Event{Kind: EventDropped, Agent: w.agent, Task: res.Task, Run: res.Run, Refusal: res.Refusal})
		p.confirmStart(r)
		p.dropRun(r)
		p.bindings.markRefused(w, res)
		switch res.Refusal {
		case cfcore.ExecutorNoTicket:
			r.task.forgetTicket(w)
			return
		case cfcore.ExecutorUnhealthy:
			w.failures.addFailure(now, res.Task.Job)
		}
		w.refusedAt = now
	}
}

// findRun returns the run of task n on worker w with the run number id, or nil.
func (p *Planner) findRun(w *worker, n cfcore.TaskName, id uint64) *run {
	t := p.findTask(n)
	if t == nil {
		return nil
	}
	for _, r := range t.runs {
		if r.id == id && r.w == w {
			return r
		}
	}
	return nil
}

// findEndedRun returns the run that has ended in the incarnation of a worker that started at born, or nil. A
// later incarnation can have a run with the same number.
func (p *Planner) findEndedRun(w *worker, born time.Time, e cfcore.EndedTask) *run {
	r := p.findRun(w, e.Task, e.Run)
	if r != nil && !born.Equal(w.state.Born) && !born.Equal(r.born) {
		return nil
	}
	return r
}

// dropRun removes a run from the planner's state. The run must have ended, or must never
// start.
func (p *Planner) dropRun(r *run) {
	p.changed = true
	p.bindLost(r)
	r.w.removeRun(r)
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
		r.task.o.liveRuns--
		r.task.j.liveRuns--
		r.task.dropIfDone()
		r.task.j.dropTasksIfOver()
	}
}

// applyLists applies a worker's lists of running and ended runs. uncertainEnd is
// cfwire.JobReport.UncertainEnd.
func (p *Planner) applyLists(now time.Time, w *worker, l *cfcore.RunLists, uncertainEnd uint64) {
	if l.Born.Before(w.state.Born) {
		return
	}
	if !w.hasListed {
		w.tailsUnchecked = true
	}
	w.hasListed, w.hasMoreEnds, w.listedAt, w.listedEnds = true, l.MoreEnds, now, len(l.Ended)
	w.lacksRuns = l.MayLackRuns() || l.LacksEnds
	// A row that is left out can name a run of an inherited task.
	if p.expectedAgents[w.agent] && !l.MayLackRuns() {
		delete(p.expectedAgents, w.agent)
		p.changed = true
	}
	unknown := w.unsettled.running
	w.unsettled.running = map[runKey]unknownRun{}
	for _, row := range l.Running {
		if p.lookupTask(row.Task) == nil {
			p.applyUnknownRunning(now, w, row, unknown)
			continue
		}
		p.applyRunning(now, w, row)
	}
	p.keepUnlistedRuns(w, l, unknown)
	p.expireMissingRuns(now, w, l)
	p.learnInterference(now, w)
	critical, bestEffort := w.colocated()
	p.trackTails(now, critical, bestEffort)
	p.enforceTailTargets(now, w, critical, bestEffort)
	p.applyEnds(now, w, l.Born, &w.ends, l, uncertainEnd)
}

// applyRunning applies a row of a worker's list of running runs, whose job must be known and
// open. If the run is unknown to this planner, an earlier planner started it. The run is then
// adopted, unless its task already has another run and must not have two. applyRunning stops
// a run that is not adopted, and a run whose task is done or whose job has ended.
func (p *Planner) applyRunning(now time.Time, w *worker, row cfcore.RunningTask) {
	t := p.lookupTask(row.Task)
	r := p.findRun(w, row.Task, row.Run)
	if r == nil {
		p.dropRestoredRuns(t)
	}
	if r == nil && len(t.runs) > 0 && !t.step.Duplicable {
		p.stopUnexpectedRun(now, w, row, "task has another run")
		return
	}
	if r == nil {
		r = &run{task: t, id: row.Run, w: w, phase: running, startedAt: now, speedPercent: unknownPercent}
		t.addRun(r)
		w.addRun(r)
		p.markStarted(now, t.j)
		p.addRunEvent(EventAdopted, r, now)
	}
	p.confirmStart(r)
	if r.phase == starting {
		r.phase = running
	}
	r.born, r.isRestored = w.state.Born, false
	r.listedAt = now
	if t.step.LongRunning && r.percent < fullPercent && row.Percent >= fullPercent {
		// The start of a long-running task has succeeded; the task itself does not end.
		w.failures.reset()
	}
	r.updateProgress(now, row.Percent)
	r.gauge = row.Gauge
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if t.done || t.j.isOver() {
		p.stopRun(r)
	}
}

// applyEnded applies the end of a run in the incarnation of a worker that started at born.
func (p *Planner) applyEnded(now time.Time, w *worker, born time.Time, e cfcore.EndedTask) {
	p.rememberGangEnd(w, e)
	t := p.lookupTask(e.Task)
	if t == nil {
		return
	}
	defer func() {
		t.dropIfDone()
		t.j.dropTasksIfOver()
	}()
	r := p.findEndedRun(w, born, e)
	var took time.Duration
	if r != nil {
		took = now.Sub(r.startedAt)
		p.dropRun(r)
	}
	defer func() {
		p.addEvent(Event{
			Kind: EventEnded, Agent: w.agent, Task: e.Task, Run: e.Run, How: e.How, Attempts: len(t.failedRuns), Took: took,
		})
	}()
	if t.done {
		return
	}
	switch e.How {
	case cfcore.EndDone:
		w.failures.reset()
		if r != nil && r.checkpoint == "" {
			p.durationRatios.addSample(t, took)
		}
		p.completeTask(now, t)
	case cfcore.EndFailed:
		p.recordFailure(now, w, t, e, r != nil && t.step.LongRunning && r.percent >= fullPercent)
	case cfcore.EndStopped, cfcore.EndLeaseExpired, cfcore.EndGangBroken, cfcore.EndGangTimeout:
	}
	if t.done || t.j.isOver() {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if e.Checkpoint != "" && e.Checkpoint != t.checkpoint {
		t.checkpoint = e.Checkpoint
		p.markDirty(t)
	}
}

// markDirty marks a task whose progress must be recorded without delay.
func (p *Planner) markDirty(t *task) {
	t.j.save(t)
	t.j.dirty = true
	p.unrecordedJobs[t.j.ID] = t.j
}

// completeTask marks a task as done. If the task is a member of a gang, the whole gang is
// done.
func (p *Planner) completeTask(now time.Time, t *task) {
	st := t.state()
	if !t.step.Gang {
		p.completeMember(t.j, t.o, t.name.Step, t.name.Index)
	}
	for i := 0; t.step.Gang && i < t.step.Count; i++ {
		if !t.j.done.Has(st.firstPosition + i) {
			p.completeMember(t.j, t.o, t.name.Step, i)
		}
	}
	p.markDirty(t)
	p.completeJob(now, t.j)
}

// completeMember marks task i of step s in an occurrence as done, and stops its other runs.
func (p *Planner) completeMember(j *job, o *occurrence, s, i int) {
	j.markDone(o, s, i)
	t := o.steps[s].taskInMemory(i)
	if t == nil {
		return
	}
	for _, r := range t.runs {
		if r.phase != stopping && !t.step.Duplicable && !t.step.Gang {
			p.addEvent(Event{Kind: EventOtherRun, Agent: r.w.agent, Task: t.name, Run: r.id, Born: r.w.state.Born})
		}
		p.stopRun(r)
	}
	t.dropIfDone()
}

// completeJob marks a job as completed if all its tasks are done.
func (p *Planner) completeJob(now time.Time, j *job) {
	if j.remaining > 0 || j.nextOccurrence < j.Occurrences() || j.isOver() {
		return
	}
	j.outcome, j.endedAt = cfjob.OutcomeCompleted, now
	j.dirty = true
	p.unrecordedJobs[j.ID] = j
	delete(p.open, j.ID)
	p.addOutcomeEvent(now, j)
}

// recordFailure records that a run of a task failed on a worker. If this was the last
// allowed attempt, the job fails. Long-running tasks have no limit of attempts. wasAtWork is set
// for the run of such a task that had served its users: it may fail at any time, which says
// nothing about the worker.
func (p *Planner) recordFailure(now time.Time, w *worker, t *task, e cfcore.EndedTask, wasAtWork bool) {
	if !wasAtWork && w.failures.addFailure(now, t.j.ID) {
		p.addEvent(Event{Kind: EventQuarantined, Agent: w.agent, Task: t.name, Run: e.Run})
	}
	if !wasAtWork {
		t.avoidAgent = w.agent
	}
	if t.step.LongRunning || slices.Contains(t.failedRuns, e.Run) {
		return
	}
	t.failedRuns = append(t.failedRuns, e.Run)
	p.markDirty(t)
	if len(t.failedRuns) >= t.j.queue.MaxAttempts && !t.j.isOver() {
		t.j.outcome, t.j.endedAt = cfjob.OutcomeFailed, now
		delete(p.open, t.j.ID)
		p.addOutcomeEvent(now, t.j)
		p.stopAllRuns(t.j)
		t.j.dropTasksIfOver()
	}
}

// expireMissingRuns drops the runs that were started on an earlier incarnation of a worker and
// are not in the run lists of the present one. A worker that restarts with the same ID can
// execute a late start of its earlier incarnation until it has returned its first lists, see
// cfjobagent. Until then, the runs count as existing. Runs that only an earlier planner has seen
// are dropped in the same way, unless the lists lack ends.
func (p *Planner) expireMissingRuns(now time.Time, w *worker, l *cfcore.RunLists) {
	if l.MayLackRuns() {
		return
	}
	for r := range w.runs {
		isUnseen := r.isRestored && !l.MoreEnds && !l.LacksEnds
		if r.born.Equal(w.state.Born) && !isUnseen || slices.ContainsFunc(l.Ended, func(e cfcore.EndedTask) bool { return e.Task == r.task.name && e.Run == r.id }) {
			continue
		}
		p.expireRun(now, r)
	}
}

// expireRuns drops all runs of a worker. The leases on the worker must have expired, or the
// worker must have left.
func (p *Planner) expireRuns(now time.Time, w *worker) {
	clear(w.unsettled.running)
	p.bindings.removeSettled(w)
	for r := range w.runs {
		if r.task.step.LongRunning {
			// A long-running task must not be away for long, and the agent has possibly never
			// received the order.
			r.awaitsResult = false
		}
		p.expireRun(now, r)
	}
}

// expireRun drops a run that has certainly ended but whose end was not reported.
func (p *Planner) expireRun(now time.Time, r *run) {
	p.addRunEvent(EventLost, r, now)
	p.dropRun(r)
	r.keepCheckpoint()
}

// keepCheckpoint makes the task resume from the last checkpoint of a lost run.
func (r *run) keepCheckpoint() {
	t := r.task
	if t.step.Checkpointing && r.checkpoint != "" && !t.j.isOver() {
		t.checkpoint = r.checkpoint
		t.j.save(t)
	}
}

// GoneAgent is an agent whose worker can no longer run anything.
type GoneAgent struct {
	Agent string
	// HasLeft is set if the worker announced that it leaves. Otherwise all leases on the
	// worker have expired.
	HasLeft bool
	// IsEmpty is set if the worker is there, but drains and has no runs.
	IsEmpty bool
}

// ExpireLeases removes the workers whose leases have all expired, and drops their runs.
// confirmed is the newest time for which it is certain that no newer planner was in force.
// The leases on a worker have expired if the agent's last contact with the planner was more
// than LeaseExpiryTime before confirmed: a newer planner that reached the agent after
// confirmed found no valid lease to extend. ExpireLeases returns the agents of these
// workers, and the agents whose workers have left since the previous call. The planner waits
// until confirmed is after expectedUntil for the run lists of the agents that were passed to
// New. After that, ExpireLeases also returns, once, those agents that have not reported. The planner orders copies
// only while confirmed is recent.
func (p *Planner) ExpireLeases(now, confirmed time.Time) []GoneAgent {
	p.confirmedAt = confirmed
	if now.Sub(p.lastExpiryScan) < scanInterval {
		return nil
	}
	var gone []GoneAgent
	p.lastExpiryScan = now
	p.expireBindings(now, confirmed)
	for _, w := range slices.Clone(p.fleet) {
		if w.isGone && !p.mayExecuteStarts(w) {
			w.isGone, w.isRecordedLate = false, false
			gone = append(gone, GoneAgent{Agent: w.agent, HasLeft: true})
		}
		if !confirmed.After(w.newbornUntil) {
			continue
		}
		if confirmed.Sub(w.lastContact()) <= p.cfg.LeaseExpiryTime() {
			p.expireAbsent(now, confirmed, w)
			continue
		}
		p.expireRuns(now, w)
		delete(p.expectedAgents, w.agent)
		p.changed = true
		if p.mayExecuteStarts(w) {
			w.hasListed = false
			continue
		}
		p.removeWorker(w)
		gone = append(gone, GoneAgent{Agent: w.agent})
	}
	if len(p.expectedAgents) > 0 && confirmed.After(p.expectedUntil) {
		p.giveUpExpectedAgents()
	}
	gone = append(gone, p.releaseEmptyWorkers(now)...)
	gone = append(gone, p.takeSilentAgents()...)
	p.endAbsences(gone)
	return gone
}

// giveUpExpectedAgents ends the wait for agents that have not reported.
func (p *Planner) giveUpExpectedAgents() {
	for a := range p.expectedAgents {
		w := p.workers[a]
		if w != nil && (!w.hasListed || w.hasMoreEnds) {
			// The agent has extended leases with this planner's permission, or the worker will
			// list more ends, possibly of tasks that are done.
			continue
		}
		if w == nil {
			p.silentAgents[a] = true
		}
		delete(p.expectedAgents, a)
		p.changed = true
	}
}

// takeSilentAgents returns the agents that have not reported and whose workers can execute no starts of
// earlier planners any more.
func (p *Planner) takeSilentAgents() []GoneAgent {
	var gone []GoneAgent
	for a := range p.silentAgents {
		if _, ok := p.bindings.unknown[a]; ok && p.workers[a] == nil {
			continue
		}
		delete(p.silentAgents, a)
		if p.workers[a] == nil {
			gone = append(gone, GoneAgent{Agent: a})
		}
	}
	return gone
}

// mayExecuteStarts reports whether a worker, or its next incarnation under the same ID, can still execute
// starts that got no answer. Its agent then stays on record, so that later planners learn of them.
func (p *Planner) mayExecuteStarts(w *worker) bool {
	_, ok := p.bindings.unknown[w.agent]
	return ok || len(w.bindings) > 0
}

package cfdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// worker is what the planner knows about a worker from the reports of the worker's agent. A
// restart of the worker is a new incarnation.
type worker struct {
	// agent is the name of the agent.
	agent string
	// state is the last reported state of the current incarnation.
	state cfcore.WorkerState
	// hasListed is set once the worker has listed its runs to this planner. It is reset
	// when the worker restarts or leaves, or when its leases expire.
	hasListed bool
	// hasKnownRuns is set if an earlier planner knew all runs of the incarnation, see Absence.IsComplete.
	hasKnownRuns bool
	// hasMoreEnds is set if the last lists left out ends, see cfcore.RunLists. listedAt is when
	// they arrived.
	hasMoreEnds bool
	listedAt    time.Time
	// lacksRuns is set if the last lists possibly lack runs, see cfcore.RunLists.MayLackRuns.
	lacksRuns bool
	// isUnreachable is set while the agent reports that the worker does not respond, and while
	// awaitsInstance is set: a new instance of the agent has not reported the worker yet.
	isUnreachable  bool
	awaitsInstance bool
	// lostFor is how long the worker had not responded at the agent's last report; zero if it does.
	// leasesFor is how much longer leases on it can last then, if the agent knows.
	lostFor, leasesFor time.Duration
	// isRecorded is set once the agent is on record in the store. The agent gets no starts
	// before, since only agents on record are known to later planners.
	isRecorded bool
	// isReleased is set if the agent was taken off the record since its worker drains and is empty.
	isReleased bool
	// hasLeft is set from the worker's announcement that it leaves until its next
	// incarnation. isGone is set if the agent is still on record after that.
	hasLeft bool
	isGone  bool
	// reportedAt is when the agent's last report arrived. answeredAt is when the agent was last
	// sent a response that lets it extend leases.
	reportedAt time.Time
	answeredAt time.Time
	// newbornUntil is set for a worker that has just restarted with the same ID. Until then, leases can last longer
	// than LeaseTime: before the agent learns that a worker has restarted with the same ID, it
	// extends leases by the clock of the previous incarnation.
	newbornUntil time.Time
	// drainDeadline is the earliest time at which a draining worker shuts down, according
	// to the worker's latest report.
	drainDeadline time.Time
	runs          map[*run]bool
	// used is the sum of the capacity that the runs reserve. reserved is the capacity that
	// the last planning pass kept free for a waiting task, see Planner.reserve.
	used     cfcore.Resources
	reserved cfcore.Resources
	// bestEffortCPU is the CPU demand of best-effort tasks, and criticalCPU the CPU reserved by
	// latency-critical tasks, both in thousandths of a core.
	bestEffortCPU int64
	criticalCPU   int64
	// overSince is set while at least one latency-critical run on the worker is over its
	// target for the tail latency. It is the time since which this is the case, even if the
	// run that is over its target changes meanwhile. It is zero if no run is over its target,
	// and is reset to zero when a pause ends. pausedAt is when the best-effort tasks were
	// paused; zero if they are not paused.
	overSince time.Time
	pausedAt  time.Time
	// tailsUnchecked is set when hasListed becomes true. It is reset when the tail
	// latencies of the worker's runs have been checked for the first time after that.
	tailsUnchecked bool
	// ends are the ends of the current incarnation.
	ends     endedRuns
	failures failureStreak
	// unexpectedStops holds when the stop of each unexpected run was last ordered.
	unsettled       unsettledRuns
	unexpectedStops map[runKey]time.Time
	// instance counts the instances of the agent. bindings are those to the worker. listedEnds is the number
	// of ends in its last lists.
	instance   int
	bindings   map[runKey]*binding
	listedEnds int
	// gangEnds holds members of gangs that have ended as done on the worker, see hasEndOfBoundGang.
	gangEnds map[cfcore.TaskName]bool
	// isRecordedLate is set if the agent is recorded to have late starts, since lateRecordedAt.
	isRecordedLate bool
	lateRecordedAt time.Time
	// startsKnown is set if the agent's last report has all starts of its instances.
	startsKnown bool
	// withholdsStarts is set while the agent refuses all starts but those of long-running tasks.
	withholdsStarts bool
	// refusedAt is when the worker last refused an order. The order was a start that was
	// refused for another reason than its ticket, or a stop of a run that the worker does
	// not have.
	refusedAt time.Time
}

// refusalBackoff is how long a worker gets no starts after it refused an order, counted from
// refusedAt. The worker's next lists arrive within that time and show the reason of the
// refusal.
const refusalBackoff = 100 * time.Millisecond

func newWorker(agent string) *worker {
	return &worker{
		agent: agent, runs: map[*run]bool{}, unsettled: newUnsettledRuns(), ends: newEndedRuns(),
		unexpectedStops: map[runKey]time.Time{}, bindings: map[runKey]*binding{}, gangEnds: map[cfcore.TaskName]bool{},
	}
}

// addRun adds a run to the worker and to the worker's totals.
func (w *worker) addRun(r *run) {
	w.runs[r] = true
	w.used = w.used.Add(r.task.step.Reservation())
	w.addCPU(r.task, 1)
}

// removeRun reverses addRun.
func (w *worker) removeRun(r *run) {
	if !w.runs[r] {
		return
	}
	delete(w.runs, r)
	w.used = w.used.Sub(r.task.step.Reservation())
	w.addCPU(r.task, -1)
}

// addCPU adds the CPU of n runs of a task to the worker's totals. A negative n subtracts
// CPU.
func (w *worker) addCPU(t *task, n int64) {
	if t.step.BestEffort {
		w.bestEffortCPU += n * t.step.Resources.MilliCores
	}
	if t.isLatencyCritical() {
		w.criticalCPU += n * t.step.Resources.MilliCores
	}
}

// isUsable reports whether the worker may get starts now.
func (w *worker) isUsable(now time.Time, suspectAfter time.Duration) bool {
	return w.hasListed && w.isRecorded && !w.isUnreachable && !w.state.Draining && now.Sub(w.reportedAt) < suspectAfter &&
		now.Sub(w.refusedAt) >= refusalBackoff
}

// lastContact returns when the agent last reported or was last sent a response.
func (w *worker) lastContact() time.Time {
	if w.reportedAt.After(w.answeredAt) {
		return w.reportedAt
	}
	return w.answeredAt
}

// failureStreak tracks the failures on a worker since its last successful run. Failures are
// failed and stalled runs, and starts that the worker refused because it is unhealthy.
type failureStreak struct {
	// jobs are the IDs of the jobs that had such failures.
	jobs map[string]bool
	// quarantinedUntil is when the latest quarantine ends; zero if there was none.
	quarantinedUntil time.Time
	// quarantines is the number of quarantines in a row, up to maxQuarantineDoublings.
	quarantines int
}

// Parameters of the quarantine of workers after failures.
const (
	// streakLimit is the number of different jobs with failures in a row after which a
	// worker is quarantined. A failure of one job can be the job's own fault. Failures of
	// two different jobs in a row are rarely the fault of both jobs.
	streakLimit = 2
	// quarantineTime is the duration of the first quarantine. The duration doubles with
	// each further quarantine in a row, at most maxQuarantineDoublings times and up to
	// maxQuarantineTime.
	quarantineTime         = 2 * time.Second
	maxQuarantineTime      = 30 * time.Second
	maxQuarantineDoublings = 8
)

// addFailure records a failure of a job's run and reports whether this failure puts the
// worker in quarantine.
func (f *failureStreak) addFailure(now time.Time, jobID string) bool {
	if f.jobs == nil {
		f.jobs = map[string]bool{}
	}
	f.jobs[jobID] = true
	if len(f.jobs) < streakLimit || now.Before(f.quarantinedUntil) {
		return false
	}
	f.quarantinedUntil = now.Add(min(quarantineTime<<f.quarantines, maxQuarantineTime))
	f.quarantines = min(f.quarantines+1, maxQuarantineDoublings)
	return true
}

// reset ends the streak and any quarantine.
func (f *failureStreak) reset() { *f = failureStreak{} }

// addWorker adds a worker to the fleet when its agent reports for the first time.
func (p *Planner) addWorker(w *worker) {
	p.workers[w.agent] = w
	i, _ := slices.BinarySearchFunc(p.fleet, w.agent, byAgent)
	p.fleet = slices.Insert(p.fleet, i, w)
	p.unrecordedAgents[w.agent] = true
}

func (p *Planner) removeWorker(w *worker) {
	delete(p.workers, w.agent)
	p.removedIDs[w.agent] = w.state.ID
	delete(p.unrecordedAgents, w.agent)
	delete(p.ackPending, w)
	if len(w.ends.postponed) > 0 {
		p.retireEnds(w)
	}
	if i, ok := slices.BinarySearchFunc(p.fleet, w.agent, byAgent); ok {
		p.fleet = slices.Delete(p.fleet, i, i+1)
	}
}

// byAgent compares a worker with an agent name, for binary searches in Planner.fleet.
func byAgent(w *worker, agent string) int { return cmp.Compare(w.agent, agent) }

// UnrecordedAgents returns the agents that are not on record and must be. An agent gets no starts
// until it is on record.
func (p *Planner) UnrecordedAgents() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(p.unrecordedAgents)), func(a string) bool { return !p.needsRecord(a) })
}

// MarkAgentRecorded marks an agent as on record. Later planners will wait for the run lists
// of this agent's worker.
func (p *Planner) MarkAgentRecorded(agent string) {
	if w := p.workers[agent]; w != nil && !w.hasLeft {
		w.isRecorded, w.isReleased, p.changed = true, false, true
		delete(p.unrecordedAgents, agent)
	}
}

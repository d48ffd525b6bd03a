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
	// hasListed is set once the worker has listed its runs to this planner.
	hasListed bool
	// isUnreachable is set while the agent reports that the worker does not answer.
	isUnreachable bool
	// recorded is set once the store has a record that the agent may be sent tasks.
	recorded bool
	// left is set once the worker has announced that it leaves, until its next incarnation.
	left bool
	// reportedAt is when the agent's last report arrived. answeredAt is when the agent was last
	// sent a response that lets it extend leases.
	reportedAt time.Time
	answeredAt time.Time
	// drainDeadline is the earliest time at which a draining worker shuts down, according to its
	// latest report.
	drainDeadline time.Time
	runs          map[*run]bool
	// used is the sum of the capacity that the runs reserve. reserved is the capacity that the
	// last planning pass kept free for a waiting task, see Planner.reserve.
	used     cfcore.Resources
	reserved cfcore.Resources
	// bestEffortCPU is the CPU demand of best-effort tasks, and criticalCPU the CPU reserved by
	// latency-critical tasks, both in thousandths of a core.
	bestEffortCPU int64
	criticalCPU   int64
	// overSince is since when the tail latency of a latency-critical run has been over its
	// target, counted anew after a pause; zero if none is. pausedAt is when the best-effort tasks
	// were paused; zero if they are not.
	overSince time.Time
	pausedAt  time.Time
	// tailsUnchecked is set when hasListed becomes true, until the tail latencies in those lists
	// have been checked.
	tailsUnchecked bool
	// lastEnd is the Number of the last cfcore.EndedTask that was applied, and recordedEnd that
	// of the last one on record.
	lastEnd     uint64
	recordedEnd uint64
	// ackedEnd is the last recordedEnd that was sent to the agent.
	ackedEnd uint64
	failures failureStreak
	// refusedAt is when the worker last refused a start.
	refusedAt time.Time
}

// refusalBackoff is how long a worker gets no starts after it refused one. Its next lists, which
// show the reason, arrive within that time.
const refusalBackoff = 100 * time.Millisecond

func (w *worker) add(r *run) {
	w.runs[r] = true
	w.used = w.used.Add(r.task.step.Reservation())
	w.addCPU(r.task, 1)
}

func (w *worker) remove(r *run) {
	if !w.runs[r] {
		return
	}
	delete(w.runs, r)
	w.used = w.used.Sub(r.task.step.Reservation())
	w.addCPU(r.task, -1)
}

// addCPU adds the CPU of n runs of a task to the worker's totals; n may be negative.
func (w *worker) addCPU(t *task, n int64) {
	if t.step.Filler {
		w.bestEffortCPU += n * t.step.Resources.MilliCores
	}
	if t.isLatencyCritical() {
		w.criticalCPU += n * t.step.Resources.MilliCores
	}
}

// usable reports whether the worker may get starts now.
func (w *worker) usable(now time.Time, suspectAfter time.Duration) bool {
	return w.hasListed && w.recorded && !w.isUnreachable && !w.state.Draining && now.Sub(w.reportedAt) < suspectAfter &&
		now.Sub(w.refusedAt) >= refusalBackoff
}

// failureStreak tracks the failures of a worker since its last successful run: failed and stalled
// runs, and starts refused because the worker is unhealthy.
type failureStreak struct {
	// jobs are the IDs of the jobs with such failures.
	jobs map[string]bool
	// quarantinedUntil is when the latest quarantine ends.
	quarantinedUntil time.Time
	// quarantines is the number of quarantines in a row, up to maxQuarantineDoublings.
	quarantines int
}

// Limits for quarantining workers after failures.
const (
	// streakLimit is the number of different jobs whose failures in a row quarantine a worker.
	// One failure can be the job's own fault; failures of two different jobs in a row rarely are.
	streakLimit = 2
	// quarantineTime is the duration of the first quarantine. It doubles with each further one
	// in a row, up to maxQuarantineTime.
	quarantineTime         = 2 * time.Second
	maxQuarantineTime      = 30 * time.Second
	maxQuarantineDoublings = 8
)

// addFailure records a failure and reports whether it puts the worker in quarantine.
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

func (f *failureStreak) reset() { *f = failureStreak{} }

// addWorker adds a worker that the planner has not seen before.
func (p *Planner) addWorker(w *worker) {
	p.workers[w.agent] = w
	i, _ := slices.BinarySearchFunc(p.fleet, w.agent, byAgent)
	p.fleet = slices.Insert(p.fleet, i, w)
	p.unrecordedAgents[w.agent] = true
}

func (p *Planner) removeWorker(w *worker) {
	delete(p.workers, w.agent)
	delete(p.unrecordedAgents, w.agent)
	if i, ok := slices.BinarySearchFunc(p.fleet, w.agent, byAgent); ok {
		p.fleet = slices.Delete(p.fleet, i, i+1)
	}
}

func byAgent(w *worker, agent string) int { return cmp.Compare(w.agent, agent) }

// UnrecordedAgents returns the agents that get no starts until they are on record.
func (p *Planner) UnrecordedAgents() []string { return slices.Sorted(maps.Keys(p.unrecordedAgents)) }

// MarkAgentRecorded marks an agent as on record. Later planners will wait for its report.
func (p *Planner) MarkAgentRecorded(agent string) {
	if w := p.workers[agent]; w != nil && !w.left {
		w.recorded, p.changed = true, true
		delete(p.unrecordedAgents, agent)
	}
}

package cfdispatch

import (
	"slices"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
)

// scanInterval is the minimum time between two scans of the same kind. The scans look for
// work that becomes due merely because time passes: starts, moves and preemptions (Plan),
// orders to repeat (resendOrders) and expired leases (ExpireLeases). A change can make
// Plan scan earlier. scanInterval is below refusalBackoff (100 ms) and preemptAfter (300 ms),
// two of the delays after which a decision of Plan becomes due.
const scanInterval = 50 * time.Millisecond

// Plan decides which tasks start now, and which runs stop to move to another worker or to
// make way for more urgent tasks. It does nothing if nothing has changed and the last scan
// is less than scanInterval ago.
func (p *Planner) Plan(now time.Time) {
	p.applyPostponedEnds(now)
	scanDue := now.Sub(p.lastScan) >= scanInterval
	if !scanDue && !p.changed {
		return
	}
	p.changed = false
	p.updateServiceLevels(now)
	for _, w := range p.fleet {
		w.reserved = cfcore.Resources{}
	}
	p.noFit = map[placementKey][]cfcore.Resources{}
	p.buildAllDueOccurrences(now)
	if scanDue {
		p.lastScan = now
		p.evacuateDrainingWorkers(now)
		p.moveStalledRuns(now)
	}
	// Inherited jobs wait until all expected agents have listed their runs. Until then, a run
	// of such a job may exist that the planner does not know of.
	reportsMissing := len(p.expectedAgents) > 0
	for _, j := range p.startableJobs(now, func(j *job) bool { return !reportsMissing || !j.inherited }) {
		for _, o := range j.occurrences {
			if now.Before(j.Due(o.index)) {
				continue
			}
			for s := range o.steps {
				if j.stepReady(o, s) && !p.awaitsUnknownStarts(j, s) {
					p.startStep(now, j, o, s)
				}
			}
		}
	}
}

// buildAllDueOccurrences creates the occurrences of all open jobs that are due.
func (p *Planner) buildAllDueOccurrences(now time.Time) {
	for _, j := range p.open {
		if j.nextOccurrence < j.Occurrences() {
			p.buildDueOccurrences(now, j)
		}
	}
}

// stepReady reports whether step s of an occurrence has unfinished tasks and all its
// predecessors are complete.
func (j *job) stepReady(o *occurrence, s int) bool {
	if o.steps[s].remaining == 0 {
		return false
	}
	for _, a := range j.Steps[s].After {
		if o.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}

// startableJobs returns the open jobs for which match returns true, the most urgent first.
// It leaves out a job that has as many live runs as tasks to do, unless the job allows
// second runs of its tasks.
func (p *Planner) startableJobs(now time.Time, match func(*job) bool) []*job {
	var out []*job
	for _, j := range p.open {
		if match(j) && (j.liveRuns < j.remaining || j.duplicable) {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(a, b int) bool { return isMoreUrgent(now, out[a], out[b]) })
	return out
}

// isMoreUrgent reports whether job a is more urgent than job b. It orders jobs by priority.
// Within a priority, jobs that are too late (see isTooLate) come last, and an earlier
// objective comes before a later one.
func isMoreUrgent(now time.Time, a, b *job) bool {
	if a.queue.Priority != b.queue.Priority {
		return a.queue.Priority < b.queue.Priority
	}
	if la, lb := a.isTooLate(now), b.isTooLate(now); la != lb {
		return lb
	}
	if !a.objective.Equal(b.objective) {
		return a.objective.Before(b.objective)
	}
	return a.ID < b.ID
}

// isTooLate reports whether a job has taken more than three times the time that its
// objective allows. The job's caller then no longer has a use for the job. A job with a
// long-running step is never too late.
func (j *job) isTooLate(now time.Time) bool {
	return !j.LongRunning() && now.Sub(j.Accepted) > 3*j.objective.Sub(j.Accepted)
}

// startStep starts the tasks of step s in an occurrence that can start now, and second runs of slow tasks.
// If no worker can start a task, startStep reserves capacity for the task. For a task that
// waits for free CPU (see waitsForFreeCPU), it marks the job as starving instead. For a
// gang, startStep only calls startGang, which reserves no capacity.
func (p *Planner) startStep(now time.Time, j *job, o *occurrence, s int) {
	if j.Steps[s].Gang {
		p.startGang(now, j, o, s)
		return
	}
	st := &o.steps[s]
	for i := st.firstOpen; i < j.Steps[s].Count; i++ {
		if j.done.Has(st.firstPosition + i) {
			if i == st.firstOpen {
				st.firstOpen++
			}
			continue
		}
		t := j.task(o, s, i)
		if p.needsCopy(now, t) {
			p.startCopy(now, t)
		}
		if len(t.runs) > 0 {
			continue
		}
		w := p.chooseWorker(now, t)
		if w == nil {
			if !p.waitForWorker(now, t) {
				return
			}
			continue
		}
		t.waitingSince, t.boundSince, t.j.starvingSince = time.Time{}, time.Time{}, time.Time{}
		p.start(now, t, w, p.runNumberFor(t, w))
	}
}

// waitForWorker handles that no worker can start a task. It reports whether later tasks of the step can
// possibly start.
func (p *Planner) waitForWorker(now time.Time, t *task) bool {
	if _, isBound := p.boundWorker(now, t); isBound {
		return true
	}
	if t.waitsForFreeCPU() {
		t.j.markStarving(now)
		return false
	}
	return p.reserve(now, t)
}

// waitsForFreeCPU reports whether the task starts only on a worker with enough free CPU,
// although it reserves no CPU. Best-effort tasks do, unless they are long-running: if other
// long-running tasks used the CPU, the wait would not end.
func (t *task) waitsForFreeCPU() bool { return t.step.BestEffort && !t.step.LongRunning }

// If a job of best-effort tasks has waited for free CPU for starveAfter and has no live run,
// one of its tasks, or a gang of them, starts without free CPU. The platform lets a job wait for at most 3 s
// while there is capacity for it.
const starveAfter = 1500 * time.Millisecond

// If the job still has no live run after harmAfter, one of its tasks starts even if it harms
// underserved jobs, and also on a paused worker. The rest of the 3 s is for the order and for the
// delay of the report on the job's last run.
const harmAfter = 2 * time.Second

// markStarving records that no worker can start a best-effort task of a job: they lack free CPU, are
// paused, or have underserved jobs that the task would harm.
// It does nothing while the job has a live run.
func (j *job) markStarving(now time.Time) {
	if j.liveRuns == 0 && j.starvingSince.IsZero() {
		j.starvingSince = now
	}
}

// isStarved reports whether a job has waited for free CPU for starveAfter and has no live
// run. The next task of such a job starts without waiting for free CPU.
func (j *job) isStarved(now time.Time) bool { return j.hasStarvedFor(now, starveAfter) }

// mayStartDespiteHarm reports whether the next task of a job starts even if it harms underserved jobs.
func (j *job) mayStartDespiteHarm(now time.Time) bool { return j.hasStarvedFor(now, harmAfter) }

func (j *job) hasStarvedFor(now time.Time, d time.Duration) bool {
	return j.liveRuns == j.placing && !j.starvingSince.IsZero() && now.Sub(j.starvingSince) >= d
}

// chooseWorker returns the best worker for a task, or nil. A task that is bound starts on its worker, under the number
// of the start that the worker can still execute.
func (p *Planner) chooseWorker(now time.Time, t *task) *worker {
	if w, ok := p.boundWorker(now, t); ok {
		isStartable := w != nil && p.canStart(now, t, w)
		if isStartable && p.repeatableRun(t, w) != 0 {
			return w
		}
		p.markBound(now, t)
		if !p.mayStartAgain(now, t) {
			return nil
		}
		if isStartable {
			return w
		}
	} else {
		t.boundSince = time.Time{}
	}
	k := t.placementKey(now)
	if p.fitsNowhere(k, t) {
		return nil
	}
	w := p.chooseMatchingWorker(now, t, func(*worker) bool { return true })
	if w == nil {
		p.recordNoFit(k, t)
	}
	return w
}

// maxCandidates is the maximum number of workers that are scored for one task. Workers that
// cannot start the task are not scored.
const maxCandidates = 100

// chooseMatchingWorker returns the best worker for a task among those for which match
// returns true, or nil. It scores at most maxCandidates workers: in a large fleet, the
// best of these is nearly as good as the best of all. For latency-critical tasks it scores
// all workers, since these tasks stay where they are for a long time.
func (p *Planner) chooseMatchingWorker(now time.Time, t *task, match func(*worker) bool) *worker {
	limit, offset := maxCandidates, 0
	if t.isLatencyCritical() {
		limit = len(p.fleet)
	}
	if len(p.fleet) > limit {
		p.searchOffset = (p.searchOffset + 1) % len(p.fleet)
		offset = p.searchOffset
	}
	var best *worker
	var bestScore float64
	for i, candidates := 0, 0; i < len(p.fleet) && candidates < limit; i++ {
		w := p.fleet[(offset+i)%len(p.fleet)]
		if !match(w) || !p.canStart(now, t, w) {
			continue
		}
		candidates++
		score := p.score(now, t, w)
		if best == nil || score > bestScore || score == bestScore && w.agent < best.agent {
			best, bestScore = w, score
		}
	}
	return best
}

// canStart reports whether a worker can start a task now. It limits how far best-effort
// tasks overcommit the CPU, since they reserve none. Without this limit, all best-effort
// tasks of a burst that fit into memory would run at the same time, and all of them would
// be late. With the limit, they run in sequence, and as many finish on time as the fleet
// has CPU time for.
func (p *Planner) canStart(now time.Time, t *task, w *worker) bool {
	if !w.used.Add(w.reserved).Add(t.step.Reservation()).Fits(w.state.Capacity) {
		return false
	}
	// A new run is not paused before the next report.
	if t.step.BestEffort && !w.pausedAt.IsZero() && !t.j.mayStartDespiteHarm(now) {
		return false
	}
	if t.waitsForFreeCPU() && w.overcommit(t) > maxOvercommit && !t.j.isStarved(now) {
		return false
	}
	return p.isEligible(now, t, w) && (!t.waitsForFreeCPU() || t.j.mayStartDespiteHarm(now) || !p.harmsUnderserved(now, t, w))
}

// isEligible reports whether a worker meets all conditions for running a task except free
// capacity.
func (p *Planner) isEligible(now time.Time, t *task, w *worker) bool {
	_, ok := t.ticketOn(now, w)
	return ok && p.isEligibleWithoutTicket(now, t, w)
}

// isEligibleWithoutTicket reports whether a worker meets all conditions for running a task
// except free capacity and the ticket.
func (p *Planner) isEligibleWithoutTicket(now time.Time, t *task, w *worker) bool {
	if !w.isUsable(now, p.cfg.SuspectAfter) || !p.MayAnswer(w.agent) || p.holdsManyEnds(w) || w.state.Service != t.j.queue.Service {
		return false
	}
	if w.withholdsStarts && !t.step.LongRunning || now.Before(w.failures.quarantinedUntil) {
		return false
	}
	if r := t.step.Requirement; r != "" && !slices.Contains(w.state.Labels, r) {
		return false
	}
	return t.step.MaxPerWorker == 0 || p.countStepRuns(t, w) < t.step.MaxPerWorker
}

// countStepRuns returns the number of runs on a worker that belong to the task's step in
// the same occurrence. It also counts runs whose start or end is not confirmed yet.
func (p *Planner) countStepRuns(t *task, w *worker) int {
	n := 0
	for r := range w.runs {
		if r.task.o == t.o && r.task.step == t.step {
			n++
		}
	}
	return n
}

package cfdispatch

import "time"

// Limits for stalled and slow runs. Workers can become slow, and tasks can stall on a worker
// that still answers.
const (
	// A run is stalled if it has shown no progress for longer than stallTimeout plus stallShare
	// times its expected duration. This time doubles with each move of the task, see maxMoves.
	// The planner sees each worker's progress every 300 ms.
	stallTimeout = 1500 * time.Millisecond
	stallShare   = 0.05
	// maxMoves is the maximum number of times that a task is moved because its run stalled.
	// The time without progress after which a run is stalled doubles with each move, since
	// the task itself may be the cause.
	maxMoves = 4
	// A duplicable task gets a second run (a copy) once its first run has taken copyFactor
	// times the expected duration, and at least minCopyDelay.
	copyFactor   = 2.5
	minCopyDelay = time.Second
	// runsPerCopy limits the number of second runs. Another second run starts only if the
	// number of run numbers that this planner has assigned is at least runsPerCopy times the
	// number of second runs that it has started so far.
	runsPerCopy = 20
	// A task gets a second run only if the agent of the first one has reported in the last copyContact.
	// Otherwise the first run has possibly ended, and a newer planner has recorded its end. Agents
	// report every 300 ms.
	copyContact = 400 * time.Millisecond
	// A task gets a second run only if no newer planner was in force copyAuthority ago. One that was has possibly
	// recorded an end of the task. The copy starts up to 0.45 s after the order (see cfjobagent), and must not start
	// over a second after such a record.
	copyAuthority = 500 * time.Millisecond
)

// updateProgress records the reported progress of a run.
func (r *run) updateProgress(now time.Time, percent int) {
	if percent > r.percent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	r.percent = percent
}

// moveStalledRuns stops stalled runs whose tasks can run on another worker. Such a stop
// counts as a failure of the worker (see failureStreak), but not as a failed attempt of
// the task.
func (p *Planner) moveStalledRuns(now time.Time) {
	for _, w := range p.fleet {
		if !w.isUsable(now, p.cfg.SuspectAfter) {
			continue
		}
		for r := range w.runs {
			if !p.isStalled(now, r) {
				continue
			}
			previous := r.task.avoidAgent
			r.task.avoidAgent = w.agent
			if o := p.chooseWorker(now, r.task); o == nil || o == w {
				r.task.avoidAgent = previous
				continue
			}
			r.task.stallMoves++
			p.addRunEvent(EventStalled, r, now)
			w.failures.addFailure(now, r.task.j.ID)
			p.stopRun(r)
		}
	}
}

// isStalled reports whether a run has shown no progress for too long. Long-running tasks
// and gangs are exempt, and so are best-effort tasks, since the planner pauses them at
// times. The runs of a task that was already moved maxMoves times do not count as stalled.
func (p *Planner) isStalled(now time.Time, r *run) bool {
	s := r.task.step
	if r.task.stallMoves >= maxMoves || r.phase != running || s.LongRunning || s.BestEffort || s.Gang || r.percent >= fullPercent || r.progressedAt.IsZero() {
		return false
	}
	if r.w.hasMoreEnds && r.listedAt.Before(r.w.listedAt) {
		// The run has ended, and its end is among those that are left out.
		return false
	}
	expected := p.durationRatios.expectedDuration(r.task.j.queue.Name, s.Estimate)
	timeout := stallTimeout + time.Duration(stallShare*float64(expected))
	return now.Sub(r.progressedAt) > timeout<<r.task.stallMoves
}

// needsCopy reports whether a task should get a second run. A duplicable task gets one if
// its only run takes much longer than expected and the limit of second runs is not reached
// (see runsPerCopy).
func (p *Planner) needsCopy(now time.Time, t *task) bool {
	if !t.step.Duplicable || t.step.Gang || len(t.runs) != 1 || t.runs[0].phase != running {
		return false
	}
	if p.copyCount*runsPerCopy > p.runCount || now.Sub(t.runs[0].w.reportedAt) > copyContact || now.Sub(p.confirmedAt) > copyAuthority {
		return false
	}
	expected := p.durationRatios.expectedDuration(t.j.queue.Name, t.step.Estimate)
	return now.Sub(t.runs[0].startedAt) > max(minCopyDelay, time.Duration(copyFactor*float64(expected)))
}

// startCopy starts a second run of a task if another worker can run it.
func (p *Planner) startCopy(now time.Time, t *task) {
	t.avoidAgent = t.runs[0].w.agent
	if w := p.chooseWorker(now, t); w != nil && w != t.runs[0].w {
		p.copyCount++
		r := t.place(now, w, p.newRunNumber())
		r.isCopy = true
		p.orderStart(now, r)
	}
}

package cfdispatch

import "time"

// Limits for stalled and slow runs. Workers can become slow, and tasks can stall on a worker
// that still answers.
const (
	// stallTimeout plus stallShare of the expected duration is how long a run may show no
	// progress. The planner sees each worker's progress every 300 ms.
	stallTimeout = 1500 * time.Millisecond
	stallShare   = 0.05
	// maxMoves is the maximum number of times that a task is moved because it stalls. The
	// timeout doubles with each move, since the cause may be the task itself.
	maxMoves = 4
	// A task that may run twice gets a second run after copyFactor times its expected
	// duration, but not before minCopyDelay.
	copyFactor   = 2.5
	minCopyDelay = time.Second
	// runsPerCopy limits second runs to one in this many runs.
	runsPerCopy = 20
)

// updateProgress records the reported progress of a run.
func (r *run) updateProgress(now time.Time, percent int) {
	if percent > r.percent || r.progressedAt.IsZero() {
		r.progressedAt = now
	}
	r.percent = percent
}

// moveStalled stops stalled runs whose tasks can run on another worker. Such a stop does not
// count as a failed attempt. Best-effort runs are exempt, since they may be paused.
func (p *Planner) moveStalled(now time.Time) {
	for _, w := range p.fleet {
		if !w.usable(now, p.cfg.SuspectAfter) {
			continue
		}
		for r := range w.runs {
			if !p.isStalled(now, r) {
				continue
			}
			previous := r.task.avoidAgent
			r.task.avoidAgent = w.agent
			if o := p.choose(now, r.task); o == nil || o == w {
				r.task.avoidAgent = previous
				continue
			}
			r.task.stallMoves++
			p.addRunEvent(EventStalled, r, now)
			w.failures.addFailure(now, r.task.j.ID)
			p.stop(r)
		}
	}
}

// isStalled reports whether a run has shown no progress for too long.
func (p *Planner) isStalled(now time.Time, r *run) bool {
	s := r.task.step
	if r.task.stallMoves >= maxMoves || r.phase != running || s.LongRunning || s.Filler || s.Gang || r.percent >= fullPercent || r.progressedAt.IsZero() {
		return false
	}
	expected := p.durationRatios.expect(r.task.j.queue.Name, s.Estimate)
	timeout := stallTimeout + time.Duration(stallShare*float64(expected))
	return now.Sub(r.progressedAt) > timeout<<r.task.stallMoves
}

// needsCopy reports whether a duplicable task should get a second run: its only run takes much
// longer than expected, and few tasks have had second runs.
func (p *Planner) needsCopy(now time.Time, t *task) bool {
	if !t.step.Duplicable || t.step.Gang || len(t.runs) != 1 || t.runs[0].phase != running {
		return false
	}
	if p.copies*runsPerCopy > p.runCount {
		return false
	}
	expected := p.durationRatios.expect(t.j.queue.Name, t.step.Estimate)
	return now.Sub(t.runs[0].startedAt) > max(minCopyDelay, time.Duration(copyFactor*float64(expected)))
}

// startCopy starts a second run of a task on another worker.
func (p *Planner) startCopy(now time.Time, t *task) {
	t.avoidAgent = t.runs[0].w.agent
	if w := p.choose(now, t); w != nil && w != t.runs[0].w {
		p.copies++
		p.start(now, t, w, p.newRun())
	}
}

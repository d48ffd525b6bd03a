package cfdispatch

import "time"

// drainSlack is subtracted from the time until a draining worker shuts down. If a run with
// checkpoints is expected to end in the rest of this time, it stays on the worker. Otherwise
// it moves to another worker. It must then be stopped before the shutdown, and a stop takes
// up to 400 ms.
const drainSlack = 600 * time.Millisecond

// evacuateDrainingWorkers stops runs on draining workers. It stops those runs that should
// move (see shouldEvacuate) and whose tasks can start on another worker.
func (p *Planner) evacuateDrainingWorkers(now time.Time) {
	for _, w := range p.fleet {
		if !w.state.Draining || !w.hasListed {
			continue
		}
		remaining := w.drainDeadline.Sub(now) - drainSlack
		for r := range w.runs {
			if r.phase == running && p.shouldEvacuate(r, remaining) && p.chooseWorker(now, r.task) != nil {
				p.stopRun(r)
			}
		}
	}
}

// shouldEvacuate reports whether a run on a draining worker should move to another worker.
// A run of a long-running task always should. Any other run should move if its task writes
// checkpoints, so that little work is lost, and if the run is expected to take longer than
// remaining. remaining is the time until the worker shuts down, minus drainSlack.
func (p *Planner) shouldEvacuate(r *run, remaining time.Duration) bool {
	switch {
	case r.task.step.LongRunning:
		return true
	case !r.task.step.Checkpointing:
		return false
	}
	expected := p.durationRatios.expectedDuration(r.task.j.queue.Name, r.task.step.Estimate)
	return time.Duration(float64(expected)*float64(fullPercent-r.percent)/fullPercent) > remaining
}

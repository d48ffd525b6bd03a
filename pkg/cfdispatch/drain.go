package cfdispatch

import "time"

// drainSlack is how long before a draining worker's shutdown the runs on the worker must
// have ended. A stop takes up to 400 ms.
const drainSlack = 600 * time.Millisecond

// evacuateDraining stops the runs on draining workers that should move (see shouldEvacuate)
// and whose tasks can start on another worker.
func (p *Planner) evacuateDraining(now time.Time) {
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

// shouldEvacuate reports whether a run is expected to take longer than the remaining time
// and can be stopped with little loss of work. Runs of long-running tasks and runs with
// checkpoints lose little.
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

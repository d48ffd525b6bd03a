package cfdispatch

import "time"

// drainSlack is how long before the shutdown of a draining worker its runs must have ended. A stop
// takes up to 400 ms.
const drainSlack = 600 * time.Millisecond

// evacuateDraining stops the runs on draining workers that will not finish in time and can
// continue elsewhere: long-running ones, and those with a checkpoint.
func (p *Planner) evacuateDraining(now time.Time) {
	for _, w := range p.fleet {
		if !w.state.Draining || !w.hasListed {
			continue
		}
		remaining := w.drainDeadline.Sub(now) - drainSlack
		for r := range w.runs {
			if r.phase == running && p.outlasts(r, remaining) && p.choose(now, r.task) != nil {
				p.stop(r)
			}
		}
	}
}

// outlasts reports whether a run is expected to take longer than the remaining time and loses
// little work by a stop.
func (p *Planner) outlasts(r *run, remaining time.Duration) bool {
	switch {
	case r.task.step.LongRunning:
		return true
	case !r.task.step.Checkpointing:
		return false
	}
	expected := p.durationRatios.expect(r.task.j.queue.Name, r.task.step.Estimate)
	return time.Duration(float64(expected)*float64(fullPercent-r.percent)/fullPercent) > remaining
}

package cfdispatch

import "time"

// drainSlack is the time before a draining worker's end at which its runs have to be
// gone: a stop takes up to 400 ms.
const drainSlack = 600 * time.Millisecond

// moveOff stops the runs on draining workers that will not be done in time and can go
// on elsewhere: long-running ones, and those with a checkpoint.
func (p *Planner) moveOff(now time.Time) {
	for _, w := range p.fleet {
		if !w.state.Draining || !w.known {
			continue
		}
		left := w.drainsUntil.Sub(now) - drainSlack
		for r := range w.runs {
			if r.phase == running && p.outlasts(r, left) && p.choose(now, r.task) != nil {
				p.stop(r)
			}
		}
	}
}

// outlasts reports whether a run is expected to go on for longer than a time, and
// loses little by a stop.
func (p *Planner) outlasts(r *run, left time.Duration) bool {
	switch {
	case r.task.step.LongRunning:
		return true
	case !r.task.step.Checkpointing:
		return false
	}
	expected := p.learnt.expect(r.task.j.queue.Name, r.task.step.Estimate)
	return time.Duration(float64(expected)*float64(fullPace-r.percent)/fullPace) > left
}

package cfdispatch

import "time"

// Limits on runs that are slower than they should be. Load: workers that turn slow, or
// on which tasks stand still while the worker answers.
const (
	// stuckAfter is how long a run may show no progress, beside stuckShare of its
	// expected duration; workers are looked at each 300 ms.
	stuckAfter = 1500 * time.Millisecond
	stuckShare = 0.05
	// maxMoves bounds how often a task is moved for it; its patience doubles each time,
	// since a task may stand still by its own fault.
	maxMoves = 4
	// copyAfter is how many times its expected duration a run may take, and leastCopy the
	// least time, before a task that may run twice gets a second run.
	copyAfter = 2.5
	leastCopy = time.Second
	// copyShare bounds the second runs to one in so many runs.
	copyShare = 20
)

// advance notes the progress of a run.
func (r *run) advance(now time.Time, percent int) {
	if percent > r.percent || r.progressed.IsZero() {
		r.progressed = now
	}
	r.percent = percent
}

// moveStuck stops runs that show no progress, where another worker can run their
// tasks. A stop costs no attempt; fillers may rightly stand still.
func (p *Planner) moveStuck(now time.Time) {
	for _, w := range p.fleet {
		if !w.usable(now, p.cfg.Suspect) {
			continue
		}
		for r := range w.runs {
			if !p.stuck(now, r) {
				continue
			}
			former := r.task.avoid
			r.task.avoid = w.agent
			if o := p.choose(now, r.task); o == nil || o == w {
				r.task.avoid = former
				continue
			}
			r.task.moves++
			p.noteRun(EventStuck, r, now)
			w.failures.fail(now, r.task.j.ID)
			p.stop(r)
		}
	}
}

func (p *Planner) stuck(now time.Time, r *run) bool {
	s := r.task.step
	if r.task.moves >= maxMoves || r.phase != running || s.LongRunning || s.Filler || s.Gang || r.percent >= fullPace || r.progressed.IsZero() {
		return false
	}
	expected := p.learnt.expect(r.task.j.queue.Name, s.Estimate)
	patience := stuckAfter + time.Duration(stuckShare*float64(expected))
	return now.Sub(r.progressed) > patience<<r.task.moves
}

// wantsCopy reports whether a task that may run twice should: its only run takes much
// longer than expected, and few tasks have two runs.
func (p *Planner) wantsCopy(now time.Time, t *task) bool {
	if !t.step.Duplicable || t.step.Gang || len(t.runs) != 1 || t.runs[0].phase != running {
		return false
	}
	if p.copies*copyShare > p.nextRun {
		return false
	}
	expected := p.learnt.expect(t.j.queue.Name, t.step.Estimate)
	return now.Sub(t.runs[0].begun) > max(leastCopy, time.Duration(copyAfter*float64(expected)))
}

// copyTask starts a second run of a task on another worker.
func (p *Planner) copyTask(now time.Time, t *task) {
	t.avoid = t.runs[0].w.agent
	if w := p.choose(now, t); w != nil && w != t.runs[0].w {
		p.copies++
		p.start(now, t, w, p.newRun())
	}
}

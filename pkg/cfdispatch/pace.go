package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfwire"
)

// The control of fillers beside tasks that serve. Load: fillers in waves beside
// services whose own load swings.
const (
	// fullPace lets a task work at its full speed, in percent.
	fullPace = 100
	// unknownPace is the pace of a run that an older planner may have halted.
	unknownPace = -1
	// haltAfter is how long a tail may be over its target before the fillers beside it are
	// halted. The platform allows harm for 4 s; a tail is a figure for the last half
	// second, and is up to 0.4 s old when it gets here.
	haltAfter = 2200 * time.Millisecond
	// takeoverTime is how long a tail that is over its target at a planner's first look may
	// have been so: a planner is silent for 1 s before the next one claims, and that needs
	// the reports of its agents.
	takeoverTime = 1200 * time.Millisecond
	// leastHalt is the time that a halted filler needs to be seen in the tails: half a
	// second of their window, and the way of the order and of the next report.
	leastHalt = 1100 * time.Millisecond
	// longestHalt is how long fillers are halted where the tail stays over its target
	// without them.
	longestHalt = 2 * time.Second
	// paceRepeat is the time after which a pace is sent again that may not be in force.
	paceRepeat = 1500 * time.Millisecond
)

// serves reports whether the task has users of its own whose tail latency counts.
func (t *task) serves() bool { return t.step.TailTarget > 0 }

// tail returns the tail latency that a run which serves reported last.
func (r *run) tail() time.Duration { return time.Duration(r.gauge) * time.Millisecond }

// sides returns the runs that serve and the fillers on a worker, the oldest first.
func (w *worker) sides() (serving, fillers []*run) {
	for r := range w.runs {
		switch {
		case r.phase != running:
		case r.task.serves():
			serving = append(serving, r)
		case r.task.step.Filler:
			fillers = append(fillers, r)
		}
	}
	byID := func(a, b *run) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(serving, byID)
	slices.SortFunc(fillers, byID)
	return serving, fillers
}

// watchTails halts the fillers on a worker where a tail has been over its target for
// some time, and lets them go on soon after. Holding them at a lower pace all the
// time was measured to delay most of their jobs past their objectives, since a job
// waits for its slowest task; short halts end the harm at less cost.
func (p *Planner) watchTails(now time.Time, w *worker) {
	serving, fillers := w.sides()
	over := slices.ContainsFunc(serving, func(r *run) bool { return r.tail() > r.task.step.TailTarget })
	switch {
	case !over:
		w.overSince = time.Time{}
	case w.overSince.IsZero():
		w.overSince = now
		if w.unwatched {
			w.overSince = now.Add(-takeoverTime)
		}
	}
	w.unwatched = false
	halt := now.Sub(w.haltedAt)
	switch {
	case w.haltedAt.IsZero():
		if over && now.Sub(w.overSince) >= haltAfter && len(fillers) > 0 {
			w.haltedAt = now
		}
	case halt >= leastHalt && (!over || halt > longestHalt):
		w.haltedAt, w.overSince = time.Time{}, time.Time{}
	}
	pace := fullPace
	if !w.haltedAt.IsZero() {
		pace = 0
	}
	p.setPaces(now, w, fillers, pace)
}

// setPaces lets fillers work at a pace.
func (p *Planner) setPaces(now time.Time, w *worker, fillers []*run, pace int) {
	for _, f := range fillers {
		// An order can be lost, or carried out after a newer one.
		asOrdered := pace == fullPace && f.gauge > 0
		if f.pace == pace && (asOrdered || now.Sub(f.paceSent) < paceRepeat) {
			continue
		}
		f.pace, f.paceSent = pace, now
		o := p.ordersFor(w)
		o.Paces = append(o.Paces, cfwire.JobPace{Task: f.task.name, Run: f.id, Percent: pace})
	}
}

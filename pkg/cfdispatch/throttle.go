package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfwire"
)

// Speeds of runs, and parameters for pausing best-effort tasks. The planner pauses those that
// run on the same worker as a latency-critical task whose tail latency is over its target.
// The pauses are temporary because the interference varies over time: best-effort jobs
// arrive in bursts, and the load of the latency-critical tasks changes.
const (
	// fullPercent is the full speed of a run, and also the progress of a complete run.
	fullPercent = 100
	// unknownPercent is the speed of an adopted run, which an earlier planner may have paused.
	unknownPercent = -1
	// pauseAfter is how long a tail latency stays over its target before the best-effort
	// tasks on the same worker are paused. It is well below the 4 s for which the platform
	// allows interference, because the planner sees a change late: a reported tail latency
	// covers the last half second, and is up to 0.4 s old when its report arrives.
	pauseAfter = 2200 * time.Millisecond
	// minPause is the minimum duration of a pause. Until then, the reported tail latencies don't
	// show the effect of the pause: they cover half a second, and the order has to be delivered.
	// A longer pause delays the best-effort tasks, which
	// then run beside more latency-critical tasks later.
	minPause = 800 * time.Millisecond
	// maxPause limits a pause if the tail latency stays over its target although the
	// best-effort tasks are paused. The pause then ends with the first lists of the worker
	// that arrive after this time.
	maxPause = 1200 * time.Millisecond
	// speedResendAfter is the time after which an ordered speed is sent again, unless the
	// run is known to run at this speed. A lost order to pause is so repeated within the pause.
	speedResendAfter = minPause - 100*time.Millisecond
)

// isLatencyCritical reports whether the task has a target for its tail latency.
func (t *task) isLatencyCritical() bool { return t.step.TailTarget > 0 }

// tailLatency returns the last reported tail latency of a latency-critical run.
func (r *run) tailLatency() time.Duration { return time.Duration(r.gauge) * time.Millisecond }

// colocated returns the latency-critical and the best-effort runs on a worker that are in
// the phase running, oldest first.
func (w *worker) colocated() (critical, bestEffort []*run) {
	for r := range w.runs {
		switch {
		case r.phase != running:
		case r.task.isLatencyCritical():
			critical = append(critical, r)
		case r.task.step.BestEffort:
			bestEffort = append(bestEffort, r)
		}
	}
	byID := func(a, b *run) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(critical, byID)
	slices.SortFunc(bestEffort, byID)
	return critical, bestEffort
}

// enforceTailTargets pauses the best-effort tasks on a worker if a tail latency there has
// been over its target for pauseAfter. A pause ends once all tail latencies there are
// within their targets, but lasts at least minPause and not much longer than maxPause.
//
// In the first lists that a planner gets from a worker, a tail latency that is over its target counts
// as having been over it for pauseAfter: the planner before has possibly seen it over its target for
// almost that long, and up to 1.2 s can pass from the last report to that planner until these lists.
// Short pauses end the interference at a lower cost than a permanently reduced speed. At a
// permanently reduced speed, most best-effort jobs would miss their objectives, since a job
// waits for its slowest task.
func (p *Planner) enforceTailTargets(now time.Time, w *worker, critical, bestEffort []*run) {
	overTarget := slices.ContainsFunc(critical, (*run).isOverTarget)
	switch {
	case !overTarget:
		w.overSince = time.Time{}
	case w.overSince.IsZero():
		w.overSince = now
		if w.tailsUnchecked {
			w.overSince = now.Add(-pauseAfter)
		}
	}
	w.tailsUnchecked = false
	pausedFor := now.Sub(w.pausedAt)
	switch {
	case w.pausedAt.IsZero():
		if overTarget && now.Sub(w.overSince) >= pauseAfter && len(bestEffort) > 0 {
			w.pausedAt = now
			p.addEvent(Event{Kind: EventPaused, Agent: w.agent, Took: now.Sub(w.overSince), BestEffort: len(bestEffort)})
		}
	case pausedFor >= minPause && (!overTarget || pausedFor > maxPause):
		w.pausedAt, w.overSince = time.Time{}, time.Time{}
		p.addEvent(Event{Kind: EventResumed, Agent: w.agent, Took: pausedFor, BestEffort: len(bestEffort)})
	}
	percent := fullPercent
	if !w.pausedAt.IsZero() {
		percent = 0
	}
	p.setSpeed(now, w, bestEffort, percent)
}

// setSpeed orders a worker's best-effort runs to run at a percentage of their full speed.
// It repeats the order for a run that is not known to run at this speed.
func (p *Planner) setSpeed(now time.Time, w *worker, bestEffort []*run, percent int) {
	for _, r := range bestEffort {
		// An order can be lost or carried out after a newer one. A gauge above 0 confirms
		// that a run was resumed; nothing confirms a pause.
		isConfirmed := percent == fullPercent && r.gauge > 0
		if r.speedPercent == percent && (isConfirmed || now.Sub(r.speedSentAt) < speedResendAfter) {
			continue
		}
		r.speedPercent, r.speedSentAt = percent, now
		o := p.ordersFor(w)
		o.Throttles = append(o.Throttles, cfwire.JobThrottle{Task: r.task.name, Run: r.id, Percent: percent})
	}
}

package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfwire"
)

// Limits for pausing best-effort tasks next to latency-critical ones. Best-effort tasks come in
// waves, and the load of the latency-critical tasks varies.
const (
	// fullPercent is the full speed of a run, and also the progress of a complete run.
	fullPercent = 100
	// unknownPercent is the speed of an adopted run, which an earlier planner may have paused.
	unknownPercent = -1
	// pauseAfter is how long a tail latency may be over its target before the best-effort
	// tasks next to it are paused. The platform allows interference for 4 s. A reported tail
	// covers the last half second, and is up to 0.4 s old when it arrives.
	pauseAfter = 2200 * time.Millisecond
	// takeoverGap is how long a tail may already have been over its target when a new planner
	// first sees it. The new planner claims leadership 1 s after the last message of the old
	// one, and must then receive its agents' reports.
	takeoverGap = 1200 * time.Millisecond
	// minPause is the time until the effect of a pause shows in the reported tails: their
	// window of half a second, plus the delivery of the order and of the next report.
	minPause = 1100 * time.Millisecond
	// maxPause is the maximum pause if the tail stays over its target while the best-effort
	// tasks are paused.
	maxPause = 2 * time.Second
	// speedResend is the time after which an ordered speed is sent again if it may not be in
	// force.
	speedResend = 1500 * time.Millisecond
)

// isLatencyCritical reports whether the task has a target for its tail latency.
func (t *task) isLatencyCritical() bool { return t.step.TailTarget > 0 }

// tail returns the tail latency that a latency-critical run reported last.
func (r *run) tail() time.Duration { return time.Duration(r.gauge) * time.Millisecond }

// colocated returns the running latency-critical and best-effort runs on a worker, oldest first.
func (w *worker) colocated() (critical, bestEffort []*run) {
	for r := range w.runs {
		switch {
		case r.phase != running:
		case r.task.isLatencyCritical():
			critical = append(critical, r)
		case r.task.step.Filler:
			bestEffort = append(bestEffort, r)
		}
	}
	byID := func(a, b *run) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(critical, byID)
	slices.SortFunc(bestEffort, byID)
	return critical, bestEffort
}

// enforceTailTargets pauses the best-effort tasks on a worker where a tail has been over its
// target for pauseAfter, and resumes them soon after. Throttling them to a lower speed all the
// time delays most of their jobs past their objectives, since a job waits for its slowest task.
// Short pauses end the interference at a lower cost.
func (p *Planner) enforceTailTargets(now time.Time, w *worker) {
	critical, bestEffort := w.colocated()
	overTarget := slices.ContainsFunc(critical, func(r *run) bool { return r.tail() > r.task.step.TailTarget })
	switch {
	case !overTarget:
		w.overSince = time.Time{}
	case w.overSince.IsZero():
		w.overSince = now
		if w.tailsUnchecked {
			w.overSince = now.Add(-takeoverGap)
		}
	}
	w.tailsUnchecked = false
	paused := now.Sub(w.pausedAt)
	switch {
	case w.pausedAt.IsZero():
		if overTarget && now.Sub(w.overSince) >= pauseAfter && len(bestEffort) > 0 {
			w.pausedAt = now
		}
	case paused >= minPause && (!overTarget || paused > maxPause):
		w.pausedAt, w.overSince = time.Time{}, time.Time{}
	}
	percent := fullPercent
	if !w.pausedAt.IsZero() {
		percent = 0
	}
	p.setSpeed(now, w, bestEffort, percent)
}

// setSpeed throttles best-effort runs to a percentage of their speed. It repeats an order that
// may not be in force.
func (p *Planner) setSpeed(now time.Time, w *worker, bestEffort []*run, percent int) {
	for _, r := range bestEffort {
		// An order can be lost or carried out after a newer one. A gauge above 0 confirms
		// that a run was resumed; nothing confirms a pause.
		isApplied := percent == fullPercent && r.gauge > 0
		if r.speedPercent == percent && (isApplied || now.Sub(r.speedSentAt) < speedResend) {
			continue
		}
		r.speedPercent, r.speedSentAt = percent, now
		o := p.ordersFor(w)
		o.Throttles = append(o.Throttles, cfwire.JobThrottle{Task: r.task.name, Run: r.id, Percent: percent})
	}
}

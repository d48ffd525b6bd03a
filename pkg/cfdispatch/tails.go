package cfdispatch

import (
	"slices"
	"time"
)

// isOverTarget reports whether the tail latency of a latency-critical run is possibly over its
// target. It is reported in whole milliseconds, so that a figure equal to the target can be that of
// a latency above it.
func (r *run) isOverTarget() bool { return r.tailLatency() >= r.task.step.TailTarget }

// trackTails records since when the latency-critical runs of a worker have been over their targets
// beside best-effort tasks, and adds an event once a run no longer is.
func (p *Planner) trackTails(now time.Time, critical, bestEffort []*run) {
	for _, r := range critical {
		if len(bestEffort) == 0 || !r.isOverTarget() {
			p.endOverTarget(now, r)
			continue
		}
		if r.overSince.IsZero() {
			r.overSince = now
		}
		r.addNeighbours(bestEffort)
	}
}

// addNeighbours adds the images of best-effort runs to those beside which a run is over its target.
func (r *run) addNeighbours(bestEffort []*run) {
	for _, be := range bestEffort {
		if image := be.task.step.Image; !slices.Contains(r.neighbours, image) {
			r.neighbours = append(r.neighbours, image)
		}
	}
}

// endOverTarget adds the event of the end of the time for which a run was over its target.
func (p *Planner) endOverTarget(now time.Time, r *run) {
	if r.overSince.IsZero() {
		return
	}
	slices.Sort(r.neighbours)
	p.addEvent(Event{
		Kind: EventOverTarget, Agent: r.w.agent, Task: r.task.name, Run: r.id, Took: now.Sub(r.overSince),
		Image: r.task.step.Image, Neighbours: r.neighbours,
	})
	r.overSince, r.neighbours = time.Time{}, nil
}

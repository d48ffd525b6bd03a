package cfdispatch

// This file limits how many tasks of a step are unavailable at the same time.

// canBeStopped reports whether a run is allowed to be stopped to make way for other tasks.
// The run must not be stopped if MaxUnavailable other tasks of its step are already
// unavailable, for whatever reason. A MaxUnavailable of 0 sets no limit.
func (r *run) canBeStopped() bool {
	limit := r.task.step.MaxUnavailable
	if limit == 0 {
		return true
	}
	unavailable := r.task.step.Count - 1
	for _, t := range r.task.state().tasks {
		if t != nil && t != r.task && t.isAvailable() {
			unavailable--
		}
	}
	return unavailable < limit
}

// isAvailable reports whether a long-running task serves its users, that is, whether one of
// its runs reports 100 percent.
func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= fullPercent {
			return true
		}
	}
	return false
}

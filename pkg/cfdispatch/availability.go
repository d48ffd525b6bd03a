package cfdispatch

// Limits on how many tasks of a step may be unavailable at the same time.

// canStop reports whether a run may be stopped to make way for other tasks. It may not if
// MaxUnavailable other tasks of its step are already unavailable, for whatever reason.
func (r *run) canStop() bool {
	limit := r.task.step.MaxUnavailable
	if limit == 0 {
		return true
	}
	unavailable := 0
	for _, t := range r.task.state().tasks {
		if t != r.task && !t.isAvailable() {
			unavailable++
		}
	}
	return unavailable < limit
}

// isAvailable reports whether a long-running task serves its users: one of its runs reports
// 100 percent.
func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= fullPercent {
			return true
		}
	}
	return false
}

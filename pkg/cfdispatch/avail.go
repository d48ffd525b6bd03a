package cfdispatch

// Tasks that last and of which only so many may be away at the same time.

// mayTakeAway reports whether a run may be stopped for the sake of others: not where as
// many tasks of its step as may be missed are already away, for whatever reason.
func (r *run) mayTakeAway() bool {
	most := r.task.step.MaxUnavailable
	if most == 0 {
		return true
	}
	away := 0
	for _, t := range r.task.state().tasks {
		if t != r.task && !t.atWork() {
			away++
		}
	}
	return away < most
}

// atWork reports whether a task that lasts serves its users.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.phase == running && r.percent >= fullPace {
			return true
		}
	}
	return false
}

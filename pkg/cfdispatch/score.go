package cfdispatch

import "time"

// Weights of the parts of a worker's score, in shares of its processor time. Those of
// fillers and of tasks that serve are the best of some that were tried on both
// deployments' standard days; half or twice of each changes little
// (docs/PLATFORM.md, harm).
const (
	// fillWeight is how much a filler's wish for processor time counts against the
	// same amount of reserved time; what is reserved is not all used.
	fillWeight = 0.5
	// rackWeight is the worth of being beside the task's data.
	rackWeight = 0.5
	// avoidWeight counts against the worker where the task failed last.
	avoidWeight = 2
	// streakWeight counts against a worker that failed another job's task last.
	streakWeight = 0.25
	// crowdWeight counts against a worker whose fillers wish for more than is left.
	crowdWeight = 20
	// harmWeight counts a task that a filler brings over its target against placing the
	// filler.
	harmWeight = 6
	// fillersWeight counts what fillers wish for against placing a task that serves.
	fillersWeight = 1
	// kinWeight counts the tasks that serve on a worker: those of the same image for
	// placing another one there, and those of other images against it.
	kinWeight = 1
	// busyShare is the part of its reserved processor time that a task which serves is
	// taken to use.
	busyShare = 0.6
	// maxCrowd is how much of a worker's processor time its fillers may wish for beyond
	// what is left. They do not use all that they wish for.
	maxCrowd = 0.3
)

// score rates a worker for a task; more is better.
func (p *Planner) score(now time.Time, t *task, w *worker) float64 {
	var score float64
	switch {
	case t.step.Filler:
		score = w.scoreOpen() - crowdWeight*w.crowd(t) - harmWeight*p.harm(now, t, w)
	case t.serves():
		score = w.scoreServing(t)
	default:
		score = w.scoreOpen()
	}
	if t.step.DataRack != "" && t.step.DataRack == w.state.Rack() {
		score += rackWeight
	}
	if t.avoid == w.agent {
		score -= avoidWeight
	}
	return score - streakWeight*float64(len(w.failures.jobs))
}

// share returns an amount of processor time as a share of what the worker has.
func (w *worker) share(milliCores int64) float64 {
	return float64(milliCores) / float64(max(w.state.Capacity.MilliCores, 1))
}

// scoreOpen rates a worker by the processor time that is left.
func (w *worker) scoreOpen() float64 {
	return 1 - w.share(w.used.MilliCores) - fillWeight*w.share(w.filling)
}

// scoreServing rates a worker for a task that serves. Tasks that serve are packed, and
// those of one image together: an image of fillers disturbs only some images, so that
// most fillers then find workers where they disturb none. Load: many images of
// services and of fillers on the same workers, where each worker with tasks of all
// images would have some that a filler disturbs.
func (w *worker) scoreServing(t *task) float64 {
	kin, strangers := 0, 0
	for r := range w.runs {
		switch {
		case !r.task.serves():
		case r.task.step.Image == t.step.Image:
			kin++
		default:
			strangers++
		}
	}
	score := w.share(w.used.MilliCores) - fillersWeight*w.share(w.filling)
	if kin+strangers > 0 {
		score += kinWeight * float64(kin-strangers) / float64(kin+strangers)
	}
	return score
}

// crowd is how much more processor time the fillers on a worker would wish for than
// is left, with another one.
func (w *worker) crowd(t *task) float64 {
	busy := w.share(w.used.MilliCores) - (1-busyShare)*w.share(w.serving)
	return max(0, busy+w.share(w.filling)+t.wish(w)-1)
}

package cfdispatch

import "time"

// Weights of the terms of a worker's score, and other parameters of the score. A weight of
// 1 counts as much as the whole CPU of the worker. The results are not sensitive to the
// exact weights for best-effort and latency-critical tasks: half or twice the values
// change little (see "Harm" in docs/PLATFORM.md).
const (
	// bestEffortWeight is the weight of the CPU demand of best-effort tasks, relative to
	// the same amount of reserved CPU. It is below 1 because other tasks do not use all the
	// CPU that they reserve, and best-effort tasks can use the rest.
	bestEffortWeight = 0.5
	// dataRackWeight favours a worker in the rack with the task's data.
	dataRackWeight = 0.5
	// avoidWeight counts against the worker where the task last failed, stalled or was slow.
	avoidWeight = 2
	// failureWeight counts against a worker for each job in its current failure streak.
	failureWeight = 0.25
	// overcommitWeight counts against a worker whose best-effort tasks demand more CPU than
	// is free there.
	overcommitWeight = 20
	// interferenceWeight counts against a worker for each latency-critical task that the
	// best-effort task to be placed would push over its target there.
	interferenceWeight = 6
	// colocationWeight applies when a latency-critical task is placed. It counts against a
	// worker in proportion to the CPU demand of the best-effort tasks there.
	colocationWeight = 1
	// imageWeight applies when a latency-critical task is placed. It favours a worker whose
	// latency-critical tasks have the same image, and counts against one whose
	// latency-critical tasks have other images.
	imageWeight = 1
	// criticalUtilization is the fraction of their reserved CPU that latency-critical tasks
	// are assumed to use.
	criticalUtilization = 0.6
	// maxOvercommit is the highest result of overcommit at which a worker can start a task
	// that waits for free CPU. Tasks of starved jobs are exempt. maxOvercommit is above 0
	// because best-effort tasks do not use all the CPU that they demand.
	maxOvercommit = 0.3
)

// score rates a worker for a task. A higher score is better.
func (p *Planner) score(now time.Time, t *task, w *worker) float64 {
	var score float64
	switch {
	case t.step.BestEffort:
		score = w.scoreFreeCPU() - overcommitWeight*w.overcommit(t) - interferenceWeight*p.interferenceCost(now, t, w)
	case t.isLatencyCritical():
		score = w.scoreLatencyCritical(t)
	default:
		score = w.scoreFreeCPU()
	}
	if t.step.DataRack != "" && t.step.DataRack == w.state.Rack() {
		score += dataRackWeight
	}
	if t.avoidAgent == w.agent {
		score -= avoidWeight
	}
	return score - failureWeight*float64(len(w.failures.jobs))
}

// cpuShare returns an amount of CPU as a share of the worker's capacity.
func (w *worker) cpuShare(milliCores int64) float64 {
	return float64(milliCores) / float64(max(w.state.Capacity.MilliCores, 1))
}

// scoreFreeCPU rates a worker by its free CPU.
func (w *worker) scoreFreeCPU() float64 {
	return 1 - w.cpuShare(w.used.MilliCores) - bestEffortWeight*w.cpuShare(w.bestEffortCPU)
}

// scoreLatencyCritical rates a worker for a latency-critical task. It favours workers with
// little free CPU, and workers whose latency-critical tasks have the same image. A
// best-effort task slows down only tasks of some images. If each worker has tasks of few
// images, most best-effort tasks find a worker on which they slow down no latency-critical
// task. If each worker had tasks of many images, a best-effort task would slow down some
// tasks on every worker.
func (w *worker) scoreLatencyCritical(t *task) float64 {
	sameImage, otherImages := 0, 0
	for r := range w.runs {
		switch {
		case !r.task.isLatencyCritical():
		case r.task.step.Image == t.step.Image:
			sameImage++
		default:
			otherImages++
		}
	}
	score := w.cpuShare(w.used.MilliCores) - colocationWeight*w.cpuShare(w.bestEffortCPU)
	if sameImage+otherImages > 0 {
		score += imageWeight * float64(sameImage-otherImages) / float64(sameImage+otherImages)
	}
	return score
}

// overcommit returns how much free CPU the worker lacks for its best-effort tasks and an
// additional best-effort task t. The result is the CPU demand of these tasks minus the free
// CPU, as a fraction of the worker's capacity, and 0 if the free CPU suffices. CPU that
// latency-critical tasks reserve but are assumed not to use (see criticalUtilization) counts
// as free.
func (w *worker) overcommit(t *task) float64 {
	busy := w.cpuShare(w.used.MilliCores) - (1-criticalUtilization)*w.cpuShare(w.criticalCPU)
	return max(0, busy+w.cpuShare(w.bestEffortCPU)+t.cpuDemand(w)-1)
}

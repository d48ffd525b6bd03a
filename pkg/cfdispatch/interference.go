package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfinterference"
)

// The gauges on a worker fully reflect a new run only after gaugeWarmup, counted from the
// run's start. This holds for the run's own gauge and for the tail latencies of the runs
// that it slows down. The platform measures gauges over half a second.
const gaugeWarmup = 600 * time.Millisecond

// headroom returns the target of a latency-critical run divided by its tail latency. The
// headroom is less than 1 if the tail latency is over the target, and 0 if no tail latency
// has been reported yet.
func (r *run) headroom() float64 {
	if r.gauge <= 0 {
		return 0
	}
	return float64(r.task.step.TailTarget) / float64(r.tailLatency())
}

// cpuDemand returns the share of a worker's CPU that a best-effort task would use if enough
// CPU were free.
func (t *task) cpuDemand(w *worker) float64 { return w.cpuShare(t.step.Resources.MilliCores) }

// cpuUsage returns the share of the worker's CPU that a best-effort run uses.
func (r *run) cpuUsage() float64 { return r.w.cpuShare(int64(max(r.gauge, 0))) }

// learnInterference learns how a worker's best-effort tasks affect the tail latencies of
// its latency-critical tasks. It uses the gauges in the worker's latest lists.
func (p *Planner) learnInterference(now time.Time, w *worker) {
	critical, bestEffort := w.colocated()
	usage := map[string]float64{}
	for _, be := range bestEffort {
		usage[be.task.step.Image] += be.cpuUsage()
	}
	shares := make([]cfinterference.CPUShare, 0, len(usage))
	for image, cpuUsage := range usage {
		shares = append(shares, cfinterference.CPUShare{Image: image, Fraction: cpuUsage})
	}
	slices.SortFunc(shares, func(a, b cfinterference.CPUShare) int { return cmp.Compare(a.Image, b.Image) })
	for _, r := range critical {
		if h := r.headroom(); h > 0 && now.Sub(r.startedAt) >= gaugeWarmup {
			p.headroomModel.Observe(now, r.task.j.ID, r.task.step.Image, h, shares)
		}
	}
}

// safeHeadroom is the headroom below which a task counts as partly over its target, see
// tailRisk. It is above 1, the headroom of a task that is exactly at its target, because
// loads vary while a best-effort task runs.
const safeHeadroom = 1.6

// recentLowShare is a fraction of HeadroomModel.AboveRecentLow, which is how far the headroom
// of a latency-critical job is above its recent low. The planner expects the headroom to fall
// by this fraction while a best-effort task runs next to the job's tasks, because the job's
// load varies.
const recentLowShare = 0.5

// tailRisk returns how far a task with the given headroom counts as over its target. The
// result is 0 if the headroom is at least safeHeadroom, 1 if it is at most safeHeadroom-1,
// and linear in between.
func tailRisk(headroom float64) float64 { return min(max(0, safeHeadroom-headroom), 1) }

// interferenceCost returns the expected number of latency-critical tasks on worker w that
// the best-effort task t would push over their targets. A task can count partly, see
// tailRisk.
func (p *Planner) interferenceCost(now time.Time, t *task, w *worker) float64 {
	if w.criticalCPU == 0 {
		return 0
	}
	sum := 0.0
	p.expectHeadrooms(now, t, w, func(_ *run, h, candidate float64) { sum += tailRisk(h-candidate) - tailRisk(h) })
	return sum
}

// expectHeadrooms calls f for each latency-critical run on worker w with its expected headroom
// without the best-effort task t, and with how much of it t would take.
func (p *Planner) expectHeadrooms(now time.Time, t *task, w *worker, f func(r *run, h, candidate float64)) {
	var unmeasured []*run
	for be := range w.runs {
		if be.task.step.BestEffort && now.Sub(be.startedAt) < gaugeWarmup {
			unmeasured = append(unmeasured, be)
		}
	}
	var costs []imageCost
	for r := range w.runs {
		if !r.task.isLatencyCritical() || r.gauge <= 0 {
			continue
		}
		var c imageCost
		costs, c = p.imageCost(costs, r.task.step.Image, t, w, unmeasured)
		f(r, r.headroom()-c.unmeasured-recentLowShare*p.headroomModel.AboveRecentLow(r.task.j.ID), c.candidate)
	}
}

const (
	// minHarmfulLoss is the headroom that a best-effort task must take to count as harmful.
	minHarmfulLoss = 0.15
	// maxUnderservedRisk is the sum of tailRisk of the tasks of underserved jobs on a worker beyond
	// which it gets no further harmful best-effort task.
	maxUnderservedRisk = 0.3
)

// harmsUnderserved reports whether the best-effort task t would bring or keep tasks of underserved
// jobs on worker w over their targets. Such a worker is not merely a worse place for t: if it
// were, t would run there whenever all workers are busy.
func (p *Planner) harmsUnderserved(now time.Time, t *task, w *worker) bool {
	if w.criticalCPU == 0 || !p.hasUnderserved {
		return false
	}
	sum := 0.0
	p.expectHeadrooms(now, t, w, func(r *run, h, candidate float64) {
		if r.task.j.level.isUnderserved && candidate >= minHarmfulLoss {
			sum += tailRisk(h - candidate)
		}
	})
	return sum > maxUnderservedRisk
}

// imageCost is the headroom that each latency-critical task with a given image loses to
// best-effort tasks on a worker.
type imageCost struct {
	image string
	// unmeasured is the loss due to best-effort runs that are too young to show in the
	// reported tail latencies. candidate is the loss due to the best-effort task to be
	// placed.
	unmeasured float64
	candidate  float64
}

// imageCost returns the cost for the latency-critical tasks with an image if task t is
// placed on worker w. unmeasured are the best-effort runs on w that are younger than
// gaugeWarmup. costs caches the costs by image, since a worker has many tasks of few
// images. The results are the updated cache and the cost for the given image.
func (p *Planner) imageCost(costs []imageCost, image string, t *task, w *worker, unmeasured []*run) ([]imageCost, imageCost) {
	for _, c := range costs {
		if c.image == image {
			return costs, c
		}
	}
	c := imageCost{image: image, candidate: p.headroomModel.Effect(image, t.step.Image) * t.cpuDemand(w)}
	for _, r := range unmeasured {
		c.unmeasured += p.headroomModel.Effect(image, r.task.step.Image) * r.task.cpuDemand(w)
	}
	return append(costs, c), c
}

package cfdispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// playedLoad describes the load of a deployment: latency-critical jobs that fill most of its
// workers, best-effort jobs that use the rest, and short jobs.
type playedLoad struct {
	workers int
	// critical is the number of latency-critical jobs, each with about criticalTasks tasks.
	critical      int
	criticalTasks float64
	// bestEffort and short are the jobs of each kind that arrive per second. bestEffortSeconds is
	// the mean duration of a best-effort task at full speed.
	bestEffort        float64
	bestEffortSeconds float64
	short             float64
	// estimateSpread is the spread of the declared durations around the actual ones.
	estimateSpread float64
	// swingPeriod is the period of the load of a latency-critical job.
	swingPeriod time.Duration
	// unreachable is the share of workers whose agents don't reach the planner from 3 to 15 s.
	unreachable float64
}

const (
	criticalImages   = 5
	bestEffortImages = 9
	// strongShare is the share of pairs of images in which best-effort tasks have a strong effect.
	strongShare = 0.6
	// usableShare is the share of the workers' CPU that latency-critical jobs reserve at most.
	usableShare = 0.8
	meanLoad    = 0.45
	loadSwing   = 0.5
)

var (
	dispatchLoad = playedLoad{
		workers: 11, critical: 11, criticalTasks: 5, bestEffort: 1.43, bestEffortSeconds: 1.7, short: 6.96, estimateSpread: 0.45,
		swingPeriod: 14 * time.Second,
	}
	crierLoad = playedLoad{
		workers: 11, critical: 11, criticalTasks: 5, bestEffort: 1.1, bestEffortSeconds: 2.2, short: 6.96, estimateSpread: 0.25,
		swingPeriod: 20 * time.Second,
	}
	unreachableLoad = playedLoad{
		workers: 11, critical: 11, criticalTasks: 5, bestEffort: 1.43, bestEffortSeconds: 1.7, short: 6.96, estimateSpread: 0.45,
		swingPeriod: 14 * time.Second, unreachable: 0.35,
	}
)

// drawnJob is a job of a played load.
type drawnJob struct {
	id    string
	queue cfjob.Queue
	steps []cfjob.Step
	// seconds are the durations of the tasks of each step at full speed.
	seconds [][]float64
	// work is the job's work in core seconds, or its reserved cores if it is latency-critical.
	work float64
	// acceptedAt and objective are relative to the start of the play.
	acceptedAt, objective time.Duration
	// image and phase are those of a latency-critical job.
	image string
	phase float64
}

// drawLogNormal draws from a log-normal distribution, cut off at most.
func drawLogNormal(r *rand.Rand, mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

func drawCount(r *rand.Rand, mean, spread, most float64) int {
	return max(1, int(math.Round(drawLogNormal(r, mean, spread, most))))
}

// drawCritical draws a latency-critical job that reserves at most the given CPU.
func (l playedLoad) drawCritical(r *rand.Rand, id string, maxMilliCores float64) *drawnJob {
	count := drawCount(r, l.criticalTasks, 0.4, 2*l.criticalTasks)
	cpu := drawLogNormal(r, 3200, 0.25, 5100)
	image := fmt.Sprintf("c%d", r.IntN(criticalImages))
	s := cfjob.Step{
		Count: min(count, int(maxMilliCores/cpu)), Resources: cfcore.Resources{MilliCores: int64(cpu), MemoryMB: int64(drawLogNormal(r, 6400, 0.3, 13000))},
		Estimate: time.Minute, LongRunning: true, TailTarget: tailTarget, Image: image,
	}
	if r.Float64() < 0.5 {
		s.MaxPerWorker = 2 + r.IntN(2)
	}
	return &drawnJob{
		id: id, queue: cfjob.Queue{Name: "watches", Service: "dispatch", MaxAttempts: 4, Stretch: 2.2, Latency: 2500 * time.Millisecond},
		steps: []cfjob.Step{s}, work: float64(s.Count) * cpu / 1000, image: image, phase: r.Float64() * 2 * math.Pi,
	}
}

// drawBestEffort draws a job of best-effort tasks.
func (l playedLoad) drawBestEffort(r *rand.Rand, id string) *drawnJob {
	j := &drawnJob{id: id, queue: cfjob.Queue{Name: "plans", Service: "dispatch", Priority: 2, MaxAttempts: 3, Stretch: 2, Latency: time.Second}}
	step := cfjob.Step{Image: fmt.Sprintf("b%d", r.IntN(bestEffortImages)), BestEffort: true}
	j.drawSteps(r, step, drawCount(r, 2, 0.4, 5), l.estimateSpread, func() (int, float64, float64) {
		return drawCount(r, 8, 0.6, 32), drawLogNormal(r, 1800, 0.3, 3500), drawLogNormal(r, l.bestEffortSeconds, 0.5, 2.5*l.bestEffortSeconds)
	})
	return j
}

// drawShort draws an urgent job of short tasks, which reserve their CPU.
func (l playedLoad) drawShort(r *rand.Rand, id string) *drawnJob {
	j := &drawnJob{id: id, queue: cfjob.Queue{Name: "checks", Service: "dispatch", MaxAttempts: 2, Stretch: 1.5, Latency: 250 * time.Millisecond}}
	j.drawSteps(r, cfjob.Step{}, drawCount(r, 1.6, 0.4, 4), l.estimateSpread, func() (int, float64, float64) {
		return drawCount(r, 6, 0.8, 24), drawLogNormal(r, 240, 0.45, 720), drawLogNormal(r, 0.64, 0.5, 1.6)
	})
	return j
}

// drawSteps adds n steps that follow one another. draw returns the number of tasks of a step, their
// CPU in thousandths of a core, and their mean duration in seconds.
func (j *drawnJob) drawSteps(r *rand.Rand, step cfjob.Step, n int, estimateSpread float64, draw func() (int, float64, float64)) {
	chain := 0.0
	for i := range n {
		count, cpu, mean := draw()
		s := step
		s.Count, s.Resources = count, cfcore.Resources{MilliCores: int64(cpu), MemoryMB: 500}
		s.Estimate = time.Duration(mean * math.Exp(estimateSpread*r.NormFloat64()) * float64(time.Second))
		if i > 0 {
			s.After = []int{i - 1}
		}
		var seconds []float64
		longest := 0.0
		for range count {
			d := mean * (1 + 0.15*(2*r.Float64()-1))
			seconds = append(seconds, d)
			longest = max(longest, d)
			j.work += d * cpu / 1000
		}
		chain += longest
		j.steps, j.seconds = append(j.steps, s), append(j.seconds, seconds)
	}
	j.objective = time.Duration(j.queue.Stretch*chain*float64(time.Second)) + j.queue.Latency
}

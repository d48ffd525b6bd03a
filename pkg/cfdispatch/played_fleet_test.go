package cfdispatch_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

const (
	playTick = 100 * time.Millisecond
	// reportTicks is the number of ticks between two reports of a worker without ended runs.
	// gaugeTicks is the number of ticks that a gauge covers.
	reportTicks = 3
	gaugeTicks  = 5
	// startupTime is how long a latency-critical task takes to be at work.
	startupTime = 500 * time.Millisecond
	// contactTime is how long an agent must have had contact before bounds on time hold for it.
	contactTime = 3 * time.Second
	// saturatedLoad is the utilization above which a tail latency grows no more.
	saturatedLoad = 0.99
)

// playedRun is a run on a worker of a playedFleet.
type playedRun struct {
	step *cfjob.Step
	job  *drawnJob
	cfwire.JobStart
	startedAt time.Duration
	// left is the time at full speed until the run is done, in seconds.
	left, total float64
	// speed is the present speed in percent. An ordered speed takes effect at speedAt.
	speed, nextSpeed int
	speedAt          time.Duration
	// samples are the last values of the gauge.
	samples []float64
	// over is set while the tail latency is over its target because of best-effort tasks, for
	// overFor so far.
	over    bool
	overFor time.Duration
}

func (r *playedRun) isAtWork(at time.Duration) bool { return at-r.startedAt > startupTime }

// playedFleet plays a load on workers. Tail latencies grow as 1/(1-u) with the utilization u, to
// which best-effort tasks add depending on the pair of images and on the CPU that they use.
// Gauges cover the last half second, and reports arrive a tick later.
type playedFleet struct {
	*fleet
	load playedLoad
	r    *rand.Rand
	at   time.Duration
	jobs map[string]*drawnJob
	// runs are indexed by agent and key. effects are indexed by pair, as "latency-critical/best-effort".
	runs        map[string]map[string]*playedRun
	effects     map[string]float64
	unreachable map[string]bool
	agents      []string
	reports     []func()
	lastEnd     uint64
	// freeMilliCores is the CPU that further latency-critical jobs may reserve.
	freeMilliCores float64
	tally          playedTally
	completedAt    map[string]time.Duration
}

func newPlayedFleet(t *testing.T, load playedLoad, seed uint64) *playedFleet {
	var agents []string
	for i := range load.workers {
		agents = append(agents, fmt.Sprintf("w%02d", i))
	}
	f := &playedFleet{
		fleet: newFleet(t, newPlanner(), agents...), load: load, r: rand.New(rand.NewPCG(seed, 38)), jobs: map[string]*drawnJob{},
		runs: map[string]map[string]*playedRun{}, effects: map[string]float64{}, unreachable: map[string]bool{}, agents: agents,
		tally: playedTally{jobs: map[string]*servedJob{}}, completedAt: map[string]time.Duration{},
	}
	for _, a := range agents {
		size := []int64{16000, 16000, 24000}[f.r.IntN(3)]
		f.workers[a].state.Capacity = cfcore.Resources{MilliCores: size, MemoryMB: size * 4}
		f.freeMilliCores += usableShare * float64(size)
		f.runs[a] = map[string]*playedRun{}
		f.unreachable[a] = f.r.Float64() < load.unreachable
	}
	for c := range criticalImages {
		for b := range bestEffortImages {
			effect := 0.2 * f.r.Float64()
			if f.r.Float64() < strongShare {
				effect = 0.5 + 1.5*f.r.Float64()
			}
			f.effects[fmt.Sprintf("c%d/b%d", c, b)] = effect
		}
	}
	return f
}

func (f *playedFleet) submit(j *drawnJob) {
	j.acceptedAt = f.at
	f.jobs[j.id] = j
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: j.id, Queue: j.queue, Steps: j.steps, Accepted: f.now}}, j.queue, false)
}

func (f *playedFleet) submitCritical() {
	j := f.load.drawCritical(f.r, f.nextID("watch"), f.freeMilliCores)
	if j.steps[0].Count > 0 {
		f.freeMilliCores -= j.work * 1000
		f.tally.jobs[j.id] = &servedJob{size: j.work, tasks: j.steps[0].Count}
		f.submit(j)
	}
}

func (f *playedFleet) nextID(prefix string) string {
	return fmt.Sprintf("%s-%04d", prefix, len(f.jobs))
}

// criticalLoad is the utilization that a latency-critical job causes by itself.
func (f *playedFleet) criticalLoad(j *drawnJob) float64 {
	return meanLoad * (1 + loadSwing*math.Sin(2*math.Pi*float64(f.at)/float64(f.load.swingPeriod)+j.phase))
}

// advance plays one tick on all workers.
func (f *playedFleet) advance() {
	f.at += playTick
	f.now = f.now.Add(playTick)
	for _, a := range f.agents {
		f.advanceWorker(a)
	}
	f.tally.endTick(f.at)
}

func (f *playedFleet) advanceWorker(agent string) {
	capacity := float64(f.workers[agent].state.Capacity.MilliCores)
	keys := slices.Sorted(maps.Keys(f.runs[agent]))
	share := f.bestEffortShare(agent, capacity)
	for _, k := range keys {
		r := f.runs[agent][k]
		if r.step.TailTarget > 0 {
			continue
		}
		speed := 1.0
		if r.step.BestEffort {
			speed = float64(r.speed) / 100 * share
			r.addSample(float64(r.step.Resources.MilliCores) * speed)
		}
		r.left -= speed * playTick.Seconds()
	}
	for _, k := range keys {
		if r := f.runs[agent][k]; r.step.TailTarget > 0 {
			f.advanceCritical(agent, r, capacity, share)
		}
	}
	for _, k := range keys {
		if r := f.runs[agent][k]; r.step.TailTarget == 0 && r.left <= 0 {
			f.end(agent, k, cfcore.EndDone)
		}
	}
}

// bestEffortShare is the share of their demand that the best-effort runs on a worker get.
func (f *playedFleet) bestEffortShare(agent string, capacity float64) float64 {
	free, demand := capacity, 0.0
	for _, r := range f.runs[agent] {
		cpu := float64(r.step.Resources.MilliCores)
		if f.at >= r.speedAt {
			r.speed = r.nextSpeed
		}
		switch {
		case r.step.TailTarget > 0:
			free -= cpu * f.criticalLoad(r.job)
		case r.step.BestEffort:
			demand += cpu * float64(r.speed) / 100
		default:
			free -= cpu
		}
	}
	return min(1, max(free, 0)/max(demand, 1))
}

func (f *playedFleet) advanceCritical(agent string, r *playedRun, capacity, share float64) {
	own := f.criticalLoad(r.job)
	utilization, works := own, false
	for _, o := range f.runs[agent] {
		if o.step.BestEffort && o.speed > 0 {
			used := float64(o.step.Resources.MilliCores) * float64(o.speed) / 100 * share
			utilization += f.effects[r.job.image+"/"+o.step.Image] * used / capacity
			works = true
		}
	}
	tail := func(u float64) time.Duration { return time.Duration(float64(idleTail) / (1 - min(u, saturatedLoad))) }
	r.addSample(float64(tail(utilization)) / float64(time.Millisecond))
	r.over = tail(utilization) > r.step.TailTarget && tail(own) <= r.step.TailTarget
	if !r.over || !works || f.isUnreachable(agent) || f.isUnreachableAt(agent, f.at-contactTime) {
		r.overFor = 0
	} else {
		r.overFor += playTick
	}
	f.tally.add(r.job.id, r.isAtWork(f.at), r.over, r.overFor == maxTimeOverTarget)
}

func (r *playedRun) addSample(v float64) {
	r.samples = append(r.samples, v)
	if len(r.samples) > gaugeTicks {
		r.samples = r.samples[1:]
	}
}

func (r *playedRun) gauge() int {
	sum := 0.0
	for _, v := range r.samples {
		sum += v
	}
	return int(sum / float64(max(len(r.samples), 1)))
}

func (f *playedFleet) end(agent, k string, how cfcore.RunEnd) {
	r, w := f.runs[agent][k], f.workers[agent]
	f.lastEnd++
	w.ended = append(w.ended, cfcore.EndedTask{Number: f.lastEnd, Task: r.Task, Run: r.Run, How: how})
	delete(f.runs[agent], k)
}

func (f *playedFleet) isUnreachable(agent string) bool { return f.isUnreachableAt(agent, f.at) }

func (f *playedFleet) isUnreachableAt(agent string, at time.Duration) bool {
	return f.unreachable[agent] && at > 3*time.Second && at < 15*time.Second
}

// report takes the lists of a worker. The planner gets them after the next tick.
func (f *playedFleet) report(agent string) {
	w := f.workers[agent]
	state := w.state
	lists := &cfcore.RunLists{Born: state.Born, Clock: f.at + time.Hour, Ended: slices.Clone(w.ended)}
	for _, k := range slices.Sorted(maps.Keys(f.runs[agent])) {
		r := f.runs[agent][k]
		row := cfcore.RunningTask{Task: r.Task, Run: r.Run, Gauge: r.gauge()}
		switch {
		case r.step.TailTarget == 0:
			row.Percent = int(100 * (1 - r.left/r.total))
		case r.isAtWork(f.at):
			row.Percent = 100
		default:
			row.Gauge = 0
		}
		lists.Running = append(lists.Running, row)
	}
	f.reports = append(f.reports, func() {
		f.ApplyReport(f.now, agent, &cfwire.JobReport{Worker: &state, Lists: lists})
	})
}

// deliver delivers the reports that were taken before the last tick, and records progress.
func (f *playedFleet) deliver(tick int) {
	for _, apply := range f.reports {
		apply()
	}
	f.reports = nil
	for i, a := range f.agents {
		if isDue := tick%reportTicks == i%reportTicks || len(f.workers[a].ended) > 0; isDue && !f.isUnreachable(a) {
			f.report(a)
		}
	}
	updates, ends := f.TakeUnrecordedProgress(f.now, true)
	f.MarkEndsRecorded(ends)
	for _, u := range updates {
		if u.Progress.Outcome == cfjob.OutcomeCompleted {
			f.completedAt[u.ID] = f.at
		}
	}
}

// carryOutOrders runs the planner and carries out its orders.
func (f *playedFleet) carryOutOrders() {
	f.Plan(f.now)
	orders := f.TakeOrders(f.now)
	for _, agent := range slices.Sorted(maps.Keys(orders)) {
		o, w := orders[agent], f.workers[agent]
		for _, s := range o.Starts {
			j := f.jobs[s.Task.Job]
			r := &playedRun{JobStart: s, job: j, step: &j.steps[s.Task.Step], startedAt: f.at, speed: 100, nextSpeed: 100}
			if r.step.TailTarget == 0 {
				r.left = j.seconds[s.Task.Step][s.Task.Index]
				r.total = r.left
			}
			f.runs[agent][key(s.Task, s.Run)] = r
		}
		for _, s := range o.Stops {
			if k := key(s.Task, s.Run); f.runs[agent][k] != nil {
				f.end(agent, k, cfcore.EndStopped)
			}
		}
		for _, s := range o.Throttles {
			if r := f.runs[agent][key(s.Task, s.Run)]; r != nil {
				r.nextSpeed, r.speedAt = s.Percent, f.at+playTick
			}
		}
		for len(w.ended) > 0 && w.ended[0].Number <= o.RecordedEnd {
			w.ended = w.ended[1:]
		}
	}
}

// play plays the load. More best-effort jobs than usual arrive from 8 to 14 s.
func (f *playedFleet) play(length time.Duration) {
	for range f.load.critical * 9 / 11 {
		f.submitCritical()
	}
	for _, a := range f.agents {
		f.report(a)
	}
	for tick := 1; f.at < length; tick++ {
		f.advance()
		burst := 1.0
		if f.at > 8*time.Second && f.at < 14*time.Second {
			burst = 1.4
		}
		for n := f.r.Float64(); n < f.load.bestEffort*burst*playTick.Seconds(); n++ {
			f.submit(f.load.drawBestEffort(f.r, f.nextID("plan")))
		}
		for n := f.r.Float64(); n < f.load.short*playTick.Seconds(); n++ {
			f.submit(f.load.drawShort(f.r, f.nextID("check")))
		}
		if tick%100 == 30 && len(f.tally.jobs) < f.load.critical {
			f.submitCritical()
		}
		f.deliver(tick)
		f.carryOutOrders()
	}
}

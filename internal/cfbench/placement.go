// Package cfbench compares the scheduler's policies with simple baselines, using fakes in one
// process: the routing policy, the placement policy and the rule for conflicts between plans.
// It also measures the resource use per task, worker, message and process on which
// docs/CAPACITY.md is based.
package cfbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfplace"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfinterference"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfstate"
)

// Kind says which part of a measurement failed.
type Kind string

// KindSetup means that a measurement cannot be set up.
const KindSetup Kind = "measurement setup failed"

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// The parameters of the placement simulation. The worker count is that of a sample
// deployment (see cfdemo). Latencies in the first simWarmUpTicks ticks are not part of the
// result. Each observation reaches the interference model simLagTicks ticks after its tick.
const (
	simWorkers        = 11
	simTicks          = 900
	simTick           = time.Second
	simWarmUpTicks    = 150
	simLagTicks       = 3
	simBatchWorkloads = 6
	baseLatency       = 10 * time.Millisecond
	callsPerTick      = 20
)

// PlacementResult is the result of one policy in one scenario. The quantiles are those
// of the services' call latency.
type PlacementResult struct {
	Scenario, Policy string
	P50, P99, P999   time.Duration
	// Done is the number of batch tasks that completed.
	Done int
	// Evictions counts the runs that ended without completing or failing.
	Evictions int
	// MaxServiceWait is always 0. It is meant to be the longest time from the arrival of a
	// service task until the task's start. addArrivals records arrival times only for batch
	// tasks, so that nothing sets MaxServiceWait.
	MaxServiceWait time.Duration
}

// placementPolicy is one of the compared combinations of a placer and the scheduler's settings
// for interference.
type placementPolicy struct {
	name   string
	placer cfcore.Placer
	// usesModel is set if the scheduler gets the learned interference model.
	usesModel bool
	// slowdownLimit limits the predicted slowdown on a worker: the sum, over the service tasks
	// there, of the time that batch tasks add to a call, as a fraction of the call's time
	// without batch tasks. A batch task that would exceed the limit does not start on this
	// worker until the task has waited for maxWait. Zero means no limit.
	slowdownLimit float64
	maxWait       time.Duration
}

var placementPolicies = [...]placementPolicy{
	{name: "first fit", placer: cfplace.FirstFit{}},
	{name: "spread, interference ignored", placer: cfplace.Spread{}},
	{name: "spread, interference learned", placer: cfplace.Spread{}, usesModel: true},
	{name: "spread, interference learned, batch waits", placer: cfplace.Spread{}, usesModel: true, slowdownLimit: 2, maxWait: 2 * time.Minute},
}

// placementScenario describes the arrival of batch tasks and the changes during a run.
type placementScenario struct {
	name string
	// arrivals returns the number of batch tasks that arrive at a tick, drawn from r.
	arrivals func(tick int, r *rand.Rand) int
	// shiftTick is the tick at which the slowdowns change; zero for never.
	shiftTick int
	// wrongDurations makes the run times of tasks differ from the declared durations.
	wrongDurations bool
	// rackLossTick is the tick at which a rack of three workers fails; zero for never.
	rackLossTick int
}

func steadyArrivals(_ int, r *rand.Rand) int { return r.IntN(3) }

// waveArrivals returns a high number of arrivals for 60 ticks, then a low number for 60 ticks,
// and so on.
func waveArrivals(tick int, r *rand.Rand) int {
	if tick/60%2 == 0 {
		return 2 + r.IntN(3)
	}
	return r.IntN(2)
}

var placementScenarios = [...]placementScenario{
	{name: "steady", arrivals: steadyArrivals},
	{name: "waves of arrivals", arrivals: waveArrivals},
	{name: "interference changes", arrivals: waveArrivals, shiftTick: 450},
	{name: "wrong durations", arrivals: waveArrivals, wrongDurations: true},
	{name: "a rack lost", arrivals: waveArrivals, rackLossTick: 450},
}

// MeasurePlacement measures every policy in every scenario with the same seed.
func MeasurePlacement(seed uint64) ([]PlacementResult, error) {
	var out []PlacementResult
	for _, sc := range placementScenarios {
		for _, p := range placementPolicies {
			sim, err := newPlacementSim(sc, p, seed)
			if err != nil {
				return nil, err
			}
			out = append(out, sim.run())
		}
	}
	return out, nil
}

// placementSim runs the real replicated state and scheduler against simulated workers. Batch
// tasks slow down the services on their worker. The policies do not know by how much; those
// with usesModel learn it.
type placementSim struct {
	scenario  placementScenario
	policy    placementPolicy
	state     *cfstate.State
	scheduler *cfschedule.Scheduler
	model     *cfinterference.SlowdownModel
	r         *rand.Rand
	views     map[cfcore.WorkerID]*cfschedule.WorkerView
	entries   *cfgrant.Table
	now       time.Time
	offset    cfcore.Offset
	// slowdowns are the true slowdowns, which the scheduler does not see.
	slowdowns map[cfinterference.Pair]float64
	// progress is how long each running batch task has run.
	progress map[cfcore.Assignment]time.Duration
	// changedAt is when the tasks of a worker last changed.
	changedAt map[cfcore.WorkerID]time.Time
	arrivedAt map[cfcore.TaskID]time.Time
	started   map[cfcore.TaskID]bool
	failed    map[cfcore.WorkerID]bool
	// unreported holds the observations that have not reached the model yet, by tick, oldest
	// first.
	unreported [][]observation
	// latencies are those of the single calls after the warm-up.
	latencies    []time.Duration
	result       PlacementResult
	arrivalCount int
}

// observation is the mean latency of one target during a tick.
type observation struct {
	service   string
	latency   time.Duration
	placement cfinterference.Placement
	at        time.Time
}

var simServices = [...]string{"dispatch", "crier-hub"}

func newPlacementSim(sc placementScenario, p placementPolicy, seed uint64) (*placementSim, error) {
	s := &placementSim{
		scenario: sc, policy: p, state: cfstate.NewState(), model: cfinterference.NewSlowdownModel(simLagTicks * simTick),
		r:     rand.New(rand.NewPCG(seed, 1)),
		views: map[cfcore.WorkerID]*cfschedule.WorkerView{}, slowdowns: map[cfinterference.Pair]float64{},
		entries: cfgrant.NewTable(cfgrant.Timing{Grant: time.Hour}),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), progress: map[cfcore.Assignment]time.Duration{},
		changedAt: map[cfcore.WorkerID]time.Time{}, arrivedAt: map[cfcore.TaskID]time.Time{},
		started: map[cfcore.TaskID]bool{}, failed: map[cfcore.WorkerID]bool{},
		result: PlacementResult{Scenario: sc.name, Policy: p.name},
	}
	s.scheduler = cfschedule.New(cfschedule.Settings{
		Timing: cfgrant.Timing{Grant: 3 * time.Second}, WorkerTimeout: 2 * time.Second, EntryTimeout: time.Hour,
		MaxBatch: 1000, HeadroomPercent: 10, QuarantineAfter: 16, QuarantineFor: time.Hour,
		SlowdownLimit: p.slowdownLimit, SlowdownWait: p.maxWait,
	}, p.placer)
	s.drawSlowdowns()
	return s, s.setUp()
}

// drawSlowdowns draws, for each pair of a service and a batch workload, how much one task of
// the workload slows the service down. The drawn value is between 0 and 3: the task adds that
// multiple of baseLatency. Small values are more likely: half of all draws are below 0.375.
func (s *placementSim) drawSlowdowns() {
	for _, service := range simServices {
		for i := range simBatchWorkloads {
			s.slowdowns[cfinterference.Pair{Service: service, Batch: batchName(i)}] = math.Pow(s.r.Float64(), 3) * 3
		}
	}
}

func batchName(i int) string { return fmt.Sprintf("batch-%d", i) }

// applyRecords applies the records as the next log entry and returns their outcomes.
func (s *placementSim) applyRecords(records ...cfrecord.Record) []cfstate.Outcome {
	s.offset++
	b := &cfrecord.Batch{At: s.now, By: "p", Records: records}
	b.ID = cfrecord.BatchID{byte(s.offset), byte(s.offset >> 8), byte(s.offset >> 16)}
	return s.state.Apply(s.offset, b)
}

// setUp makes the simulated entry a member and the planner. It then adds the workers, the
// services and one task of each batch workload.
func (s *placementSim) setUp() error {
	s.applyRecords(cfrecord.Record{Claim: &cfrecord.Claim{Epoch: 1, Entry: "p"}},
		cfrecord.Record{Members: &cfrecord.Members{Epoch: 1, Version: 1, Members: []cfrecord.Member{{Entry: "p"}}}})
	for i := range simWorkers {
		id := cfcore.WorkerID(fmt.Sprintf("vm-%02d", i))
		s.views[id] = &cfschedule.WorkerView{
			Worker: id, Instance: "i", DataCentre: "north-shore", Rack: fmt.Sprint("rack-", i/3),
			Capacity: cfcore.Resources{MilliCores: 16000, MemoryMB: 60000},
		}
	}
	s.runScheduler()
	var ws []cfcore.Workload
	for _, name := range simServices {
		ws = append(ws, cfcore.Workload{
			Name: name, Class: cfcore.ClassService, Team: "t", Replicas: 5, Timeout: time.Second,
			Resources:   cfcore.Resources{MilliCores: 4000, MemoryMB: 8000},
			Permissions: []cfcore.Permission{cfcore.PermitRestart, cfcore.PermitMove},
		})
	}
	for i := range simBatchWorkloads {
		ws = append(ws, batchWorkload(i, 1))
	}
	return s.planAndConfirm("set-up", ws)
}

// batchWorkload returns batch workload i with the given number of replicas.
func batchWorkload(i, replicas int) cfcore.Workload {
	return cfcore.Workload{
		Name: batchName(i), Class: cfcore.ClassBatch, Team: "t", Replicas: replicas, MaxFailures: 3,
		Resources: cfcore.Resources{MilliCores: 3000, MemoryMB: 6000}, Duration: 20 * time.Second,
		Permissions: []cfcore.Permission{cfcore.PermitRestart, cfcore.PermitMove, cfcore.PermitEvict},
	}
}

// planAndConfirm applies two records to the state: a plan for the workloads, and the confirmation
// of this plan. The parameter id is the plan's ID. planAndConfirm returns an error if the state
// rejects the confirmation.
func (s *placementSim) planAndConfirm(id string, ws []cfcore.Workload) error {
	plan := cfrecord.Plan{ID: cfcore.PlanID(id), At: s.now, Base: s.state.Offset, Intent: cfintent.Intent{
		Workloads: ws, Teams: []cfcore.Team{{Name: "t", Quota: cfcore.Resources{MilliCores: 1e9, MemoryMB: 1e9}}},
	}}
	out := s.applyRecords(cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: plan}},
		cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{Plan: plan.ID}})
	if rejection := out[1].Rejection; rejection != "" {
		return cferror.New("confirm a simulated plan", KindSetup, "the state rejected plan %s: %s %s", id, rejection, out[1].Detail)
	}
	return nil
}

// runScheduler first simulates a report of every worker that has not failed: it sets
// LastReportAt to the current time. It then runs the scheduler once and applies the resulting
// records.
func (s *placementSim) runScheduler() {
	for _, v := range s.views {
		if !s.failed[v.Worker] {
			v.LastReportAt = s.now
		}
	}
	in := cfschedule.Input{
		Self: "p", State: s.state, Workers: s.views, Entries: s.entries, Now: s.now, Rand: s.r,
	}
	if s.policy.usesModel {
		in.Interference = s.model
	}
	if records := s.scheduler.Decide(in); len(records) > 0 {
		s.applyRecords(records...)
	}
	for w := range s.state.Dirty {
		s.changedAt[w] = s.now
		delete(s.state.Dirty, w)
	}
}

// run runs all ticks and returns the result.
func (s *placementSim) run() PlacementResult {
	for tick := range simTicks {
		s.now = s.now.Add(simTick)
		s.applyEvents(tick)
		s.addArrivals(tick)
		s.runScheduler()
		s.runTasks()
		s.drawLatencies(tick)
	}
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	s.result.P50 = quantile(s.latencies, 0.5)
	s.result.P99 = quantile(s.latencies, 0.99)
	s.result.P999 = quantile(s.latencies, 0.999)
	for _, t := range s.state.Tasks {
		s.result.Evictions += t.Evictions
	}
	return s.result
}

// applyEvents applies those of the scenario's changes that are due at a tick.
func (s *placementSim) applyEvents(tick int) {
	if tick > 0 && tick == s.scenario.shiftTick {
		s.drawSlowdowns()
	}
	if tick > 0 && tick == s.scenario.rackLossTick {
		for _, v := range s.views {
			s.failed[v.Worker] = s.failed[v.Worker] || v.Rack == "rack-0"
		}
	}
}

// addArrivals adds the batch tasks that arrive at a tick. Each task is a new replica of a
// random batch workload.
func (s *placementSim) addArrivals(tick int) {
	n := s.scenario.arrivals(tick, s.r)
	for range n {
		s.arrivalCount++
		i := s.r.IntN(simBatchWorkloads)
		w := batchWorkload(i, s.state.Workloads[batchName(i)].Spec.Replicas+1)
		if err := s.planAndConfirm(fmt.Sprint("job-", s.arrivalCount), []cfcore.Workload{w}); err != nil {
			return
		}
		s.arrivedAt[cfcore.NewTaskID(w.Name, w.Replicas-1)] = s.now
	}
}

// sortedViews returns the workers sorted by ID, to keep the results reproducible.
func (s *placementSim) sortedViews() []*cfschedule.WorkerView {
	out := make([]*cfschedule.WorkerView, 0, len(s.views))
	for _, v := range s.views {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

// runTasks advances the tasks by one tick, on all workers that have not failed. It adds the
// runs that end to the workers' reports.
func (s *placementSim) runTasks() {
	for _, v := range s.sortedViews() {
		v.Runs = v.Runs[:0]
		if s.failed[v.Worker] {
			continue
		}
		w := s.state.Workers[v.Worker]
		for id, a := range w.Tasks {
			t := s.state.Tasks[id]
			s.recordStart(t)
			run := cfcore.Run{Assignment: a, Task: id, State: cfcore.RunRunning}
			switch spec := &s.state.Workloads[t.Workload].Spec; {
			case t.Status == cfstate.TaskStopping:
				run.State = cfcore.RunStopped
			case spec.Class == cfcore.ClassBatch:
				s.progress[a] += simTick
				if s.progress[a] >= s.actualDuration(id, spec) {
					run.State = cfcore.RunDone
					s.result.Done++
				}
			}
			if run.State.Ended() {
				delete(s.progress, a)
				v.Runs = append(v.Runs, run)
			}
		}
		sort.Slice(v.Runs, func(i, j int) bool { return v.Runs[i].Assignment < v.Runs[j].Assignment })
	}
}

// recordStart records the first start of a task. It is also meant to update MaxServiceWait from
// the arrival time of a service task, but never does: only batch tasks have an arrival time.
func (s *placementSim) recordStart(t *cfstate.Task) {
	if s.started[t.ID] {
		return
	}
	s.started[t.ID] = true
	if s.state.Workloads[t.Workload].Spec.Class != cfcore.ClassBatch {
		if wait := s.now.Sub(s.arrivedAt[t.ID]); !s.arrivedAt[t.ID].IsZero() {
			s.result.MaxServiceWait = max(s.result.MaxServiceWait, wait)
		}
	}
}

// actualDuration returns the run time of a task. It is the declared duration or, if the
// scenario has wrong durations, the declared duration times a factor between 1/3 and 3. The
// factor depends only on the FNV-1a hash of the task's ID.
func (s *placementSim) actualDuration(id cfcore.TaskID, spec *cfcore.Workload) time.Duration {
	if !s.scenario.wrongDurations {
		return spec.Duration
	}
	h := uint64(14695981039346656037)
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return time.Duration(float64(spec.Duration) * math.Pow(3, float64(h%200)/100-1))
}

// drawLatencies draws the latencies of each target's calls at a tick. The model gets the mean
// of each target's latencies simLagTicks ticks later.
func (s *placementSim) drawLatencies(tick int) {
	var observed []observation
	for _, v := range s.sortedViews() {
		if s.failed[v.Worker] {
			continue
		}
		w := s.state.Workers[v.Worker]
		batches := map[string]int{}
		var services []string
		for id := range w.Tasks {
			name := s.state.Tasks[id].Workload
			if s.state.Workloads[name].Spec.Class == cfcore.ClassBatch {
				batches[name]++
			} else {
				services = append(services, name)
			}
		}
		sort.Strings(services)
		for _, service := range services {
			mean := s.sampleCalls(tick, service, batches)
			observed = append(observed, observation{service, mean, cfinterference.Placement{Batches: batches, ChangedAt: s.changedAt[v.Worker]}, s.now})
		}
	}
	s.unreported = append(s.unreported, observed)
	if len(s.unreported) > simLagTicks {
		for _, o := range s.unreported[0] {
			s.model.Observe(o.service, o.latency, o.placement, o.at)
		}
		s.unreported = s.unreported[1:]
	}
}

// sampleCalls draws the latencies of a target's calls in one tick and returns their mean.
func (s *placementSim) sampleCalls(tick int, service string, batches map[string]int) time.Duration {
	slowdown := 1.0
	for i := range simBatchWorkloads {
		slowdown += float64(batches[batchName(i)]) * s.slowdowns[cfinterference.Pair{Service: service, Batch: batchName(i)}]
	}
	var sum time.Duration
	for range callsPerTick {
		// The latency of a single call varies by a random factor. The factor is at least 0.8,
		// its mean is 1, and it exceeds 1.4 in about 5 % of the calls.
		latency := time.Duration(float64(baseLatency) * slowdown * (0.8 + 0.2*s.r.ExpFloat64()))
		sum += latency
		if tick >= simWarmUpTicks {
			s.latencies = append(s.latencies, latency)
		}
	}
	return sum / callsPerTick
}

// quantile returns the q-quantile of sorted values, or 0 if there are no values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

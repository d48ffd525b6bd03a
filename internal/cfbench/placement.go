// Package cfbench measures the policies against plain baselines, on small fakes in
// one process, and the slopes that the capacity page rests on.
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

// Kind is the kind of an Error of this package.
type Kind string

// KindSetup is a measurement that cannot be set up.
const KindSetup Kind = "cannot set up"

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// The fleet of the placement measurement: the sizes of one deployment.
const (
	simWorkers   = 11
	simTicks     = 900
	simTick      = time.Second
	simWarmUp    = 150
	simLag       = 3
	simBatches   = 6
	baseLatency  = 10 * time.Millisecond
	callsPerTick = 20
)

// PlacementResult is what one policy reached in one scenario.
type PlacementResult struct {
	Scenario, Policy string
	P50, P99, P999   time.Duration
	// Done is the number of batch tasks that completed.
	Done int
	// Evictions counts tasks that were stopped before their end.
	Evictions int
	// UrgentMax is the longest wait of an urgent task for its start.
	UrgentMax time.Duration
}

// placementPolicy is one way to place tasks.
type placementPolicy struct {
	name   string
	placer cfcore.Placer
	learns bool
	// limit and wait are the harm above which a batch task waits, and for how long.
	limit float64
	wait  time.Duration
}

var placementPolicies = [...]placementPolicy{
	{name: "first fit", placer: cfplace.FirstFit{}},
	{name: "spread, harm ignored", placer: cfplace.Spread{}},
	{name: "spread by learnt harm", placer: cfplace.Spread{}, learns: true},
	{name: "the same, batch waits", placer: cfplace.Spread{}, learns: true, limit: 2, wait: 2 * time.Minute},
}

// placementScenario says when batch tasks arrive, and what changes meanwhile.
type placementScenario struct {
	name string
	// arrivals returns how many batch tasks arrive at a tick.
	arrivals func(tick int, r *rand.Rand) int
	// shiftAt is the tick at which the pairs' harm changes; zero for never.
	shiftAt int
	// wrongSizes makes tasks run for another time than declared.
	wrongSizes bool
	// rackLost is the tick at which a rack of three workers dies; zero for never.
	rackLost int
}

func steadyArrivals(_ int, r *rand.Rand) int { return r.IntN(3) }

func waves(tick int, r *rand.Rand) int {
	if tick/60%2 == 0 {
		return 2 + r.IntN(3)
	}
	return r.IntN(2)
}

var placementScenarios = [...]placementScenario{
	{name: "steady", arrivals: steadyArrivals},
	{name: "noisy waves", arrivals: waves},
	{name: "harm shifts", arrivals: waves, shiftAt: 450},
	{name: "wrong sizes", arrivals: waves, wrongSizes: true},
	{name: "a rack lost", arrivals: waves, rackLost: 450},
}

// Placement measures every policy in every scenario on the same seed.
func Placement(seed uint64) ([]PlacementResult, error) {
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

// placementSim runs the real fold and scheduler against workers whose tasks harm
// each other in a way that the policy does not know.
type placementSim struct {
	scenario  placementScenario
	policy    placementPolicy
	state     *cfstate.State
	scheduler *cfschedule.Scheduler
	model     *cfinterference.Model
	r         *rand.Rand
	views     map[cfcore.WorkerID]*cfschedule.WorkerView
	entries   *cfgrant.Table
	now       time.Time
	offset    cfcore.Offset
	harm      map[cfinterference.Pair]float64
	progress  map[cfcore.Assignment]time.Duration
	changed   map[cfcore.WorkerID]time.Time
	arrived   map[cfcore.TaskID]time.Time
	started   map[cfcore.TaskID]bool
	dead      map[cfcore.WorkerID]bool
	// lagged holds the measurements that have not been reported yet.
	lagged  [][]measurement
	samples []time.Duration
	result  PlacementResult
	jobs    int
}

// measurement is what was measured of one target.
type measurement struct {
	service   string
	latency   time.Duration
	placement cfinterference.Placement
	at        time.Time
}

var simServices = [...]string{"dispatch", "crier-hub"}

func newPlacementSim(sc placementScenario, p placementPolicy, seed uint64) (*placementSim, error) {
	s := &placementSim{
		scenario: sc, policy: p, state: cfstate.NewState(), model: cfinterference.NewModel(simLag * simTick),
		r:     rand.New(rand.NewPCG(seed, 1)),
		views: map[cfcore.WorkerID]*cfschedule.WorkerView{}, harm: map[cfinterference.Pair]float64{},
		entries: cfgrant.NewTable(cfgrant.Timing{Grant: time.Hour}),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), progress: map[cfcore.Assignment]time.Duration{},
		changed: map[cfcore.WorkerID]time.Time{}, arrived: map[cfcore.TaskID]time.Time{},
		started: map[cfcore.TaskID]bool{}, dead: map[cfcore.WorkerID]bool{},
		result: PlacementResult{Scenario: sc.name, Policy: p.name},
	}
	s.scheduler = cfschedule.New(cfschedule.Settings{
		Timing: cfgrant.Timing{Grant: 3 * time.Second}, WorkerTimeout: 2 * time.Second, EntryTimeout: time.Hour,
		MaxBatch: 1000, HeadroomPercent: 10, QuarantineAfter: 16, QuarantineFor: time.Hour,
		SlowdownLimit: p.limit, SlowdownWait: p.wait,
	}, p.placer)
	s.drawHarm()
	return s, s.setUp()
}

// drawHarm draws how much each batch workload slows each service: most hardly at
// all, some by several times.
func (s *placementSim) drawHarm() {
	for _, service := range simServices {
		for i := range simBatches {
			s.harm[cfinterference.Pair{Service: service, Batch: batchName(i)}] = math.Pow(s.r.Float64(), 3) * 3
		}
	}
}

func batchName(i int) string { return fmt.Sprintf("batch-%d", i) }

func (s *placementSim) apply(records ...cfrecord.Record) []cfstate.Outcome {
	s.offset++
	b := &cfrecord.Batch{At: s.now, By: "p", Records: records}
	b.ID = cfrecord.BatchID{byte(s.offset), byte(s.offset >> 8), byte(s.offset >> 16)}
	return s.state.Apply(s.offset, b)
}

func (s *placementSim) setUp() error {
	s.apply(cfrecord.Record{Claim: &cfrecord.Claim{Epoch: 1, Entry: "p"}},
		cfrecord.Record{Members: &cfrecord.Members{Epoch: 1, Version: 1, Members: []cfrecord.Member{{Entry: "p"}}}})
	for i := range simWorkers {
		id := cfcore.WorkerID(fmt.Sprintf("vm-%02d", i))
		s.views[id] = &cfschedule.WorkerView{
			Worker: id, Instance: "i", DataCentre: "north-shore", Rack: fmt.Sprint("rack-", i/3),
			Capacity: cfcore.Resources{MilliCores: 16000, MemoryMB: 60000},
		}
	}
	s.decide()
	var ws []cfcore.Workload
	for _, name := range simServices {
		ws = append(ws, cfcore.Workload{
			Name: name, Class: cfcore.ClassService, Team: "t", Replicas: 5, Timeout: time.Second,
			Resources:   cfcore.Resources{MilliCores: 4000, MemoryMB: 8000},
			Permissions: []cfcore.Permission{cfcore.PermitRestart, cfcore.PermitMove},
		})
	}
	for i := range simBatches {
		ws = append(ws, batchWorkload(i, 1))
	}
	return s.accept("set-up", ws)
}

func batchWorkload(i, replicas int) cfcore.Workload {
	return cfcore.Workload{
		Name: batchName(i), Class: cfcore.ClassBatch, Team: "t", Replicas: replicas, MaxFailures: 3,
		Resources: cfcore.Resources{MilliCores: 3000, MemoryMB: 6000}, Duration: 20 * time.Second,
		Permissions: []cfcore.Permission{cfcore.PermitRestart, cfcore.PermitMove, cfcore.PermitEvict},
	}
}

func (s *placementSim) accept(id string, ws []cfcore.Workload) error {
	plan := cfrecord.Plan{ID: cfcore.PlanID(id), At: s.now, Base: s.state.Offset, Intent: cfintent.Intent{
		Workloads: ws, Teams: []cfcore.Team{{Name: "t", Quota: cfcore.Resources{MilliCores: 1e9, MemoryMB: 1e9}}},
	}}
	out := s.apply(cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: plan}},
		cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{Plan: plan.ID}})
	if v := out[1].Rejection; v != "" {
		return cferror.New("placement", KindSetup, "plan %s: %s %s", id, v, out[1].Detail)
	}
	return nil
}

// decide lets the planner decide until it has nothing more to say.
func (s *placementSim) decide() {
	for _, v := range s.views {
		if !s.dead[v.Worker] {
			v.LastReportAt = s.now
		}
	}
	in := cfschedule.Input{
		Self: "p", State: s.state, Workers: s.views, Entries: s.entries, Now: s.now, Rand: s.r,
	}
	if s.policy.learns {
		in.Interference = s.model
	}
	if records := s.scheduler.Decide(in); len(records) > 0 {
		s.apply(records...)
	}
	for w := range s.state.Dirty {
		s.changed[w] = s.now
		delete(s.state.Dirty, w)
	}
}

func (s *placementSim) run() PlacementResult {
	for tick := range simTicks {
		s.now = s.now.Add(simTick)
		s.events(tick)
		s.arrive(tick)
		s.decide()
		s.execute()
		s.measure(tick)
	}
	sort.Slice(s.samples, func(i, j int) bool { return s.samples[i] < s.samples[j] })
	s.result.P50 = quantile(s.samples, 0.5)
	s.result.P99 = quantile(s.samples, 0.99)
	s.result.P999 = quantile(s.samples, 0.999)
	for _, t := range s.state.Tasks {
		s.result.Evictions += t.Evictions
	}
	return s.result
}

func (s *placementSim) events(tick int) {
	if tick > 0 && tick == s.scenario.shiftAt {
		s.drawHarm()
	}
	if tick > 0 && tick == s.scenario.rackLost {
		for _, v := range s.views {
			s.dead[v.Worker] = s.dead[v.Worker] || v.Rack == "rack-0"
		}
	}
}

// arrive adds batch tasks: each workload grows by the replicas that arrive.
func (s *placementSim) arrive(tick int) {
	n := s.scenario.arrivals(tick, s.r)
	for range n {
		s.jobs++
		i := s.r.IntN(simBatches)
		w := batchWorkload(i, s.state.Workloads[batchName(i)].Spec.Replicas+1)
		if err := s.accept(fmt.Sprint("job-", s.jobs), []cfcore.Workload{w}); err != nil {
			return
		}
		s.arrived[cfcore.NewTaskID(w.Name, w.Replicas-1)] = s.now
	}
}

// sortedViews returns the workers in one order, so that a seed gives one result.
func (s *placementSim) sortedViews() []*cfschedule.WorkerView {
	out := make([]*cfschedule.WorkerView, 0, len(s.views))
	for _, v := range s.views {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Worker < out[j].Worker })
	return out
}

// execute lets the tasks on live workers run for one tick.
func (s *placementSim) execute() {
	for _, v := range s.sortedViews() {
		v.Runs = v.Runs[:0]
		if s.dead[v.Worker] {
			continue
		}
		w := s.state.Workers[v.Worker]
		for id, a := range w.Tasks {
			t := s.state.Tasks[id]
			s.noteStart(t)
			run := cfcore.Run{Assignment: a, Task: id, State: cfcore.RunRunning}
			switch spec := &s.state.Workloads[t.Workload].Spec; {
			case t.Status == cfstate.TaskStopping:
				run.State = cfcore.RunStopped
			case spec.Class == cfcore.ClassBatch:
				s.progress[a] += simTick
				if s.progress[a] >= s.runTime(id, spec) {
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

func (s *placementSim) noteStart(t *cfstate.Task) {
	if s.started[t.ID] {
		return
	}
	s.started[t.ID] = true
	if s.state.Workloads[t.Workload].Spec.Class != cfcore.ClassBatch {
		if wait := s.now.Sub(s.arrived[t.ID]); !s.arrived[t.ID].IsZero() {
			s.result.UrgentMax = max(s.result.UrgentMax, wait)
		}
	}
}

// runTime is how long a task really runs: as declared, or a third to three times.
func (s *placementSim) runTime(id cfcore.TaskID, spec *cfcore.Workload) time.Duration {
	if !s.scenario.wrongSizes {
		return spec.Duration
	}
	h := uint64(14695981039346656037)
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return time.Duration(float64(spec.Duration) * math.Pow(3, float64(h%200)/100-1))
}

// measure takes samples of each target's calls, and reports their mean later.
func (s *placementSim) measure(tick int) {
	var now []measurement
	for _, v := range s.sortedViews() {
		if s.dead[v.Worker] {
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
			mean := s.sample(tick, service, batches)
			now = append(now, measurement{service, mean, cfinterference.Placement{Batches: batches, Changed: s.changed[v.Worker]}, s.now})
		}
	}
	s.lagged = append(s.lagged, now)
	if len(s.lagged) > simLag {
		for _, m := range s.lagged[0] {
			s.model.Observe(m.service, m.latency, m.placement, m.at)
		}
		s.lagged = s.lagged[1:]
	}
}

func (s *placementSim) sample(tick int, service string, batches map[string]int) time.Duration {
	slow := 1.0
	for i := range simBatches {
		slow += float64(batches[batchName(i)]) * s.harm[cfinterference.Pair{Service: service, Batch: batchName(i)}]
	}
	var sum time.Duration
	for range callsPerTick {
		// A call's own time varies by a factor that is mostly near 1.
		l := time.Duration(float64(baseLatency) * slow * (0.8 + 0.2*s.r.ExpFloat64()))
		sum += l
		if tick >= simWarmUp {
			s.samples = append(s.samples, l)
		}
	}
	return sum / callsPerTick
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

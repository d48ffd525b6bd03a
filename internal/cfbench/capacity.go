package cfbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfplace"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfstate"
	"cranberryford/pkg/cfwire"
)

// slope is one measured figure.
type slope struct {
	what  string
	value string
}

// The sizes at which the planner is measured: a data centre of the plan.
const (
	dcWorkers   = 1300
	dcBatch     = 100
	dcTasks     = 22
	maxTasks    = dcWorkers * dcTasks
	startRounds = 60
	// plannedStarts is the planned peak of task starts a second.
	plannedStarts = 6100
	// startsPerRound is what 6,100 starts a second leave for one of 20 decisions.
	startsPerRound = 305
)

// WriteCapacity measures the slopes and writes SLOPES.md.
func WriteCapacity(ctx context.Context, dir string, seed uint64) error {
	var all []slope
	for _, measure := range []func(uint64) ([]slope, error){foldSlopes, plannerSlopes, messageSlopes} {
		some, err := measure(seed)
		if err != nil {
			return err
		}
		all = append(all, some...)
	}
	processes, err := processSlopes(ctx)
	if err != nil {
		return err
	}
	all = append(all, processes...)
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Measured", "Figure"})
	for _, s := range all {
		t.AppendRow(table.Row{s.what, s.value})
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Slopes\n\nMade by `go run ./cmd/cfmeasure capacity docs` on one machine with %d cores.\nWhat follows from them is in [CAPACITY.md](CAPACITY.md).\n\n", runtime.NumCPU())
	b.WriteString(t.RenderMarkdown())
	b.WriteString("\n")
	return write(dir, "SLOPES.md", b.String())
}

// dcState returns a state with the workers and tasks of one data centre, all
// assigned, and its scheduler with fresh reports.
func dcState(tasks int, seed uint64) (*placementSim, error) {
	s := &placementSim{
		policy: placementPolicies[1], state: cfstate.NewState(), r: rand.New(rand.NewPCG(seed, 1)),
		views:   map[cfcore.WorkerID]*cfschedule.WorkerView{},
		entries: cfgrant.NewTable(cfgrant.Timing{Grant: time.Hour}),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		changed: map[cfcore.WorkerID]time.Time{}, dead: map[cfcore.WorkerID]bool{},
	}
	s.scheduler = cfschedule.New(cfschedule.Settings{
		Timing: cfgrant.Timing{Grant: time.Hour}, WorkerTimeout: time.Hour, EntryTimeout: time.Hour,
		MaxBatch: 1 << 20, HeadroomPercent: 10, QuarantineAfter: 16,
	}, cfplace.Spread{})
	s.apply(cfrecord.Record{Claim: &cfrecord.Claim{Epoch: 1, Entry: "p"}},
		cfrecord.Record{Members: &cfrecord.Members{Epoch: 1, Version: 1, Members: []cfrecord.Member{{Entry: "p"}}}})
	for i := range dcWorkers {
		id := cfcore.WorkerID(fmt.Sprintf("north-shore-%04d", i))
		s.views[id] = &cfschedule.WorkerView{
			Worker: id, Instance: cfcore.InstanceID(uuid.NewString()), DataCentre: "north-shore",
			Rack: fmt.Sprint("rack-", i/30), Capacity: cfcore.Resources{MilliCores: 16000, MemoryMB: 60000},
		}
	}
	s.decide()
	if err := s.addJobs("base", tasks); err != nil {
		return nil, err
	}
	s.decide()
	return s, nil
}

// addJobs adds small batch tasks, a hundred to a workload.
func (s *placementSim) addJobs(prefix string, tasks int) error {
	var ws []cfcore.Workload
	for i := 0; i < tasks; i += dcBatch {
		ws = append(ws, cfcore.Workload{
			Name: fmt.Sprintf("%s-%d", prefix, i), Class: cfcore.ClassBatch, Team: "t", MaxFailures: 3,
			Replicas: min(dcBatch, tasks-i), Resources: cfcore.Resources{MilliCores: 500, MemoryMB: 1000},
			Duration: time.Minute, Permissions: []cfcore.Permission{cfcore.PermitRestart},
		})
	}
	return s.accept(prefix, ws)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func foldSlopes(seed uint64) ([]slope, error) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return nil, err
	}
	before := heap()
	small, err := dcState(1000, seed)
	if err != nil {
		return nil, err
	}
	middle := heap()
	large, err := dcState(maxTasks, seed)
	if err != nil {
		return nil, err
	}
	after := heap()
	perTask := float64(int64(after-middle)-int64(middle-before)) / float64(maxTasks-1000)
	perWorker := float64(middle-before)/dcWorkers - perTask*1000/dcWorkers
	began := time.Now()
	data, err := large.state.Encode(codec)
	if err != nil {
		return nil, err
	}
	encode := time.Since(began)
	smallData, err := small.state.Encode(codec)
	if err != nil {
		return nil, err
	}
	began = time.Now()
	if _, err := cfstate.Decode(codec, data); err != nil {
		return nil, err
	}
	decode := time.Since(began)
	runtime.KeepAlive(small)
	return []slope{
		{"folded state, heap for each task", fmt.Sprintf("%.0f B", perTask)},
		{"folded state, heap for each worker with its report", fmt.Sprintf("%.0f B", perWorker)},
		{"snapshot, for each task", fmt.Sprintf("%.0f B", float64(len(data)-len(smallData))/float64(maxTasks-1000))},
		{fmt.Sprintf("snapshot of %d workers and %d tasks", dcWorkers, maxTasks), fmt.Sprintf("%.1f MB, written in %s, read in %s", float64(len(data))/1e6, encode.Round(time.Millisecond), decode.Round(time.Millisecond))},
	}, nil
}

// plannerWork is what the planner used to start tasks at the planned peak rate.
type plannerWork struct {
	decide, fold   time.Duration
	records, bytes int
}

// rate returns the task starts a second that one core decides and folds.
func (w plannerWork) rate() float64 { return float64(w.records) / (w.decide + w.fold).Seconds() }

// perStart returns a time for each task start, in microseconds.
func (w plannerWork) perStart(d time.Duration) string {
	return fmt.Sprintf("%.1f µs", float64(d.Microseconds())/float64(w.records))
}

// measurePlanner starts tasks at the planned peak rate and takes the time.
func measurePlanner(seed uint64) (plannerWork, error) {
	var w plannerWork
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return w, err
	}
	s, err := dcState(maxTasks/2, seed)
	if err != nil {
		return w, err
	}
	for i := range startRounds {
		if err := s.addJobs(fmt.Sprint("peak-", i), startsPerRound); err != nil {
			return w, err
		}
		for _, v := range s.views {
			v.LastReportAt = s.now
		}
		began := time.Now()
		out := s.scheduler.Decide(cfschedule.Input{
			Self: "p", State: s.state, Workers: s.views, Entries: s.entries, Now: s.now, Rand: s.r,
		})
		w.decide += time.Since(began)
		data, err := codec.Marshal(&cfrecord.Batch{By: "p", Records: out})
		if err != nil {
			return w, err
		}
		w.bytes += len(data)
		w.records += len(out)
		began = time.Now()
		s.apply(out...)
		w.fold += time.Since(began)
	}
	return w, nil
}

func plannerSlopes(seed uint64) ([]slope, error) {
	w, err := measurePlanner(seed)
	if err != nil {
		return nil, err
	}
	return []slope{
		{"decision, for each task start, with 1300 workers", w.perStart(w.decide)},
		{"fold of one assignment", w.perStart(w.fold)},
		{"task starts a second that one core decides and folds", fmt.Sprintf("%.0f", w.rate())},
		{"core used for 6,100 starts a second in 20 decisions a second", pct(plannedStarts/w.rate()) + " %"},
		{"records in one append at that rate", fmt.Sprintf("%.0f", float64(w.records)/startRounds)},
		{"bytes of one assignment on the log", fmt.Sprintf("%.0f B", float64(w.bytes)/float64(w.records))},
	}, nil
}

func messageSlopes(uint64) ([]slope, error) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return nil, err
	}
	spec := cfcore.Workload{Name: "route-plan-4711", Class: cfcore.ClassBatch, Team: "granite-spring", Replicas: 20, Resources: cfcore.Resources{MilliCores: 500, MemoryMB: 1000}}
	report := &cfwire.Report{Targets: []cfcore.Target{{Service: "dispatch", Slots: 8, Connections: 64}}}
	desired := &cfwire.DesiredState{Offset: 123456}
	for i := range dcTasks {
		task := cfcore.NewTaskID(spec.Name, i)
		report.Runs = append(report.Runs, cfcore.Run{Assignment: 123456, Task: task, State: cfcore.RunRunning, Checkpoint: "1m20s", Usage: spec.Resources})
		desired.Items = append(desired.Items, cfwire.DesiredRun{Assignment: 123456, Task: task, Instance: cfcore.InstanceID(uuid.NewString()), Workload: spec})
	}
	ask := cfwire.GrantRequest{
		Seq: 99999, Instance: cfcore.InstanceID(uuid.NewString()), Have: 123456,
	}
	full := ask
	full.Report = report
	grant := &cfwire.Grant{Seq: 99999}
	poll := &cfwire.PollAnswer{Seq: 99999, Entry: "north-shore.00000000", Offset: 123456, Version: 12, Member: true}
	out := make([]slope, 0, 8)
	sizes := map[string]int{}
	for _, m := range []struct {
		name string
		m    *cfwire.Message
	}{
		{"Ask without a report", &cfwire.Message{Ask: &ask}},
		{"Ask with a report of 22 runs", &cfwire.Message{Ask: &full}},
		{"Grant", &cfwire.Message{Grant: grant}},
		{"Desired with 22 runs", &cfwire.Message{Desired: desired}},
		{"PollAnswer", &cfwire.Message{PollAnswer: poll}},
		{"Beat", &cfwire.Message{Beat: &cfwire.Heartbeat{}}},
	} {
		data, err := codec.Marshal(m.m)
		if err != nil {
			return nil, err
		}
		sizes[m.name] = len(data)
		out = append(out, slope{"message: " + m.name, fmt.Sprintf("%d B", len(data))})
	}
	// Per entry: asks and grants on the control connection, beats on the two
	// connections for calls; each message has a frame of up to 8 bytes.
	const frame, asks, beats, conns = 8, 2, 5, 2
	perEntry := asks*(sizes["Ask without a report"]+sizes["Grant"]+2*frame) + 2*conns*beats*(sizes["Beat"]+frame)
	out = append(out,
		slope{"agent, control traffic at rest with each entry, both directions", fmt.Sprintf("%d B/s", perEntry)},
		slope{"agent, control traffic at rest with 3 entries", fmt.Sprintf("%.1f KB/s", 3*float64(perEntry)/1000)})
	return out, nil
}

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

// figure is one measured value with its label in SLOPES.md.
type figure struct {
	label string
	value string
}

// The size of the planned data centre, on which the planner is measured.
const (
	workersPerDC     = 1300
	tasksPerWorkload = 100
	tasksPerWorker   = 22
	tasksPerDC       = workersPerDC * tasksPerWorker
	// startRounds is the number of decisions that measurePlanner measures.
	startRounds = 60
	// plannedStartsPerSecond is the planned peak rate of task starts.
	plannedStartsPerSecond = 6100
	// startsPerRound is the number of task starts in each decision: 6,100 starts per second
	// divided by 20 decisions per second.
	startsPerRound = 305
)

// WriteCapacity measures the resource use per task, worker, message and process, and
// writes SLOPES.md into dir.
func WriteCapacity(ctx context.Context, dir string, seed uint64) error {
	var all []figure
	for _, measure := range []func(uint64) ([]figure, error){stateFigures, plannerFigures, messageFigures} {
		figures, err := measure(seed)
		if err != nil {
			return err
		}
		all = append(all, figures...)
	}
	processes, err := processFigures(ctx)
	if err != nil {
		return err
	}
	all = append(all, processes...)
	t := table.NewWriter()
	t.AppendHeader(table.Row{"Measured", "Figure"})
	for _, f := range all {
		t.AppendRow(table.Row{f.label, f.value})
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Slopes\n\nMade by `go run ./cmd/cfmeasure capacity docs` on one machine with %d cores.\nWhat follows from them is in [CAPACITY.md](CAPACITY.md).\n\n", runtime.NumCPU())
	b.WriteString(t.RenderMarkdown())
	b.WriteString("\n")
	return writePage(dir, "SLOPES.md", b.String())
}

// newDataCentreSim returns a simulation of one data centre with its scheduler, fresh worker
// reports and the given number of tasks. All tasks are assigned.
func newDataCentreSim(tasks int, seed uint64) (*placementSim, error) {
	s := &placementSim{
		policy: placementPolicies[1], state: cfstate.NewState(), r: rand.New(rand.NewPCG(seed, 1)),
		views:     map[cfcore.WorkerID]*cfschedule.WorkerView{},
		entries:   cfgrant.NewTable(cfgrant.Timing{Grant: time.Hour}),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		changedAt: map[cfcore.WorkerID]time.Time{}, failed: map[cfcore.WorkerID]bool{},
	}
	s.scheduler = cfschedule.New(cfschedule.Settings{
		Timing: cfgrant.Timing{Grant: time.Hour}, WorkerTimeout: time.Hour, EntryTimeout: time.Hour,
		MaxBatch: 1 << 20, HeadroomPercent: 10, QuarantineAfter: 16,
	}, cfplace.Spread{})
	s.applyRecords(cfrecord.Record{Claim: &cfrecord.Claim{Epoch: 1, Entry: "p"}},
		cfrecord.Record{Members: &cfrecord.Members{Epoch: 1, Version: 1, Members: []cfrecord.Member{{Entry: "p"}}}})
	for i := range workersPerDC {
		id := cfcore.WorkerID(fmt.Sprintf("north-shore-%04d", i))
		s.views[id] = &cfschedule.WorkerView{
			Worker: id, Instance: cfcore.InstanceID(uuid.NewString()), DataCentre: "north-shore",
			Rack: fmt.Sprint("rack-", i/30), Capacity: cfcore.Resources{MilliCores: 16000, MemoryMB: 60000},
		}
	}
	s.runScheduler()
	if err := s.addBatchTasks("base", tasks); err != nil {
		return nil, err
	}
	s.runScheduler()
	return s, nil
}

// addBatchTasks adds small batch tasks, in workloads of up to tasksPerWorkload tasks each. The
// prefix is the ID of the plan and begins the names of the workloads.
func (s *placementSim) addBatchTasks(prefix string, tasks int) error {
	var ws []cfcore.Workload
	for i := 0; i < tasks; i += tasksPerWorkload {
		ws = append(ws, cfcore.Workload{
			Name: fmt.Sprintf("%s-%d", prefix, i), Class: cfcore.ClassBatch, Team: "t", MaxFailures: 3,
			Replicas: min(tasksPerWorkload, tasks-i), Resources: cfcore.Resources{MilliCores: 500, MemoryMB: 1000},
			Duration: time.Minute, Permissions: []cfcore.Permission{cfcore.PermitRestart},
		})
	}
	return s.planAndConfirm(prefix, ws)
}

// heapBytes collects garbage and returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// stateFigures measures the heap and snapshot size of the replicated state.
func stateFigures(seed uint64) ([]figure, error) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return nil, err
	}
	heapEmpty := heapBytes()
	smallSim, err := newDataCentreSim(1000, seed)
	if err != nil {
		return nil, err
	}
	heapSmall := heapBytes()
	largeSim, err := newDataCentreSim(tasksPerDC, seed)
	if err != nil {
		return nil, err
	}
	heapLarge := heapBytes()
	perTask := float64(int64(heapLarge-heapSmall)-int64(heapSmall-heapEmpty)) / float64(tasksPerDC-1000)
	perWorker := float64(heapSmall-heapEmpty)/workersPerDC - perTask*1000/workersPerDC
	start := time.Now()
	largeData, err := largeSim.state.Encode(codec)
	if err != nil {
		return nil, err
	}
	encodeTime := time.Since(start)
	smallData, err := smallSim.state.Encode(codec)
	if err != nil {
		return nil, err
	}
	start = time.Now()
	if _, err := cfstate.Decode(codec, largeData); err != nil {
		return nil, err
	}
	decodeTime := time.Since(start)
	runtime.KeepAlive(smallSim)
	return []figure{
		{"replicated state, heap for each task", fmt.Sprintf("%.0f B", perTask)},
		{"replicated state, heap for each worker with its report", fmt.Sprintf("%.0f B", perWorker)},
		{"snapshot, for each task", fmt.Sprintf("%.0f B", float64(len(largeData)-len(smallData))/float64(tasksPerDC-1000))},
		{fmt.Sprintf("snapshot of %d workers and %d tasks", workersPerDC, tasksPerDC), fmt.Sprintf("%.1f MB, written in %s, read in %s", float64(len(largeData))/1e6, encodeTime.Round(time.Millisecond), decodeTime.Round(time.Millisecond))},
	}, nil
}

// plannerWork is the cost of all task starts that measurePlanner measures. decideTime is the
// elapsed time for all decisions, and applyTime the elapsed time for applying their records.
// records and bytes are the number and the encoded size of these records, one per task start.
type plannerWork struct {
	decideTime, applyTime time.Duration
	records, bytes        int
}

// startsPerSecond returns the rate of task starts that one core decides and applies.
func (w plannerWork) startsPerSecond() float64 {
	return float64(w.records) / (w.decideTime + w.applyTime).Seconds()
}

// timePerStart formats d divided by the number of task starts, in microseconds.
func (w plannerWork) timePerStart(d time.Duration) string {
	return fmt.Sprintf("%.1f µs", float64(d.Microseconds())/float64(w.records))
}

// measurePlanner measures the cost of task starts. It makes startRounds decisions without a
// pause. Each decision starts startsPerRound tasks, as at the planned peak rate.
func measurePlanner(seed uint64) (plannerWork, error) {
	var w plannerWork
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return w, err
	}
	s, err := newDataCentreSim(tasksPerDC/2, seed)
	if err != nil {
		return w, err
	}
	for i := range startRounds {
		if err := s.addBatchTasks(fmt.Sprint("peak-", i), startsPerRound); err != nil {
			return w, err
		}
		for _, v := range s.views {
			v.LastReportAt = s.now
		}
		start := time.Now()
		records := s.scheduler.Decide(cfschedule.Input{
			Self: "p", State: s.state, Workers: s.views, Entries: s.entries, Now: s.now, Rand: s.r,
		})
		w.decideTime += time.Since(start)
		data, err := codec.Marshal(&cfrecord.Batch{By: "p", Records: records})
		if err != nil {
			return w, err
		}
		w.bytes += len(data)
		w.records += len(records)
		start = time.Now()
		s.applyRecords(records...)
		w.applyTime += time.Since(start)
	}
	return w, nil
}

// plannerFigures measures the cost of a task start.
func plannerFigures(seed uint64) ([]figure, error) {
	w, err := measurePlanner(seed)
	if err != nil {
		return nil, err
	}
	return []figure{
		{"decision, for each task start, with 1300 workers", w.timePerStart(w.decideTime)},
		{"applying one assignment", w.timePerStart(w.applyTime)},
		{"task starts a second that one core decides and applies", fmt.Sprintf("%.0f", w.startsPerSecond())},
		{"core used for 6,100 starts a second in 20 decisions a second", pct(plannedStartsPerSecond/w.startsPerSecond()) + " %"},
		{"records in one append at that rate", fmt.Sprintf("%.0f", float64(w.records)/startRounds)},
		{"bytes of one assignment on the log", fmt.Sprintf("%.0f B", float64(w.bytes)/float64(w.records))},
	}, nil
}

// messageFigures measures the encoded size of the control messages and the control
// traffic of an idle agent.
func messageFigures(uint64) ([]figure, error) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		return nil, err
	}
	spec := cfcore.Workload{Name: "route-plan-4711", Class: cfcore.ClassBatch, Team: "granite-spring", Replicas: 20, Resources: cfcore.Resources{MilliCores: 500, MemoryMB: 1000}}
	report := &cfwire.Report{Targets: []cfcore.Target{{Service: "dispatch", Slots: 8, Connections: 64}}}
	desired := &cfwire.DesiredState{Offset: 123456}
	for i := range tasksPerWorker {
		task := cfcore.NewTaskID(spec.Name, i)
		report.Runs = append(report.Runs, cfcore.Run{Assignment: 123456, Task: task, State: cfcore.RunRunning, Checkpoint: "1m20s", Usage: spec.Resources})
		desired.Items = append(desired.Items, cfwire.DesiredRun{Assignment: 123456, Task: task, Instance: cfcore.InstanceID(uuid.NewString()), Workload: spec})
	}
	request := cfwire.GrantRequest{
		Seq: 99999, Instance: cfcore.InstanceID(uuid.NewString()), Have: 123456,
	}
	requestWithReport := request
	requestWithReport.Report = report
	grant := &cfwire.Grant{Seq: 99999}
	poll := &cfwire.PollAnswer{Seq: 99999, Entry: "north-shore.00000000", Offset: 123456, Version: 12, Member: true}
	out := make([]figure, 0, 8)
	sizes := map[string]int{}
	for _, m := range []struct {
		name string
		m    *cfwire.Message
	}{
		{"Ask without a report", &cfwire.Message{GrantRequest: &request}},
		{"Ask with a report of 22 runs", &cfwire.Message{GrantRequest: &requestWithReport}},
		{"Grant", &cfwire.Message{Grant: grant}},
		{"Desired with 22 runs", &cfwire.Message{Desired: desired}},
		{"PollAnswer", &cfwire.Message{PollAnswer: poll}},
		{"Beat", &cfwire.Message{Heartbeat: &cfwire.Heartbeat{}}},
	} {
		data, err := codec.Marshal(m.m)
		if err != nil {
			return nil, err
		}
		sizes[m.name] = len(data)
		out = append(out, figure{"message: " + m.name, fmt.Sprintf("%d B", len(data))})
	}
	// An idle agent has three connections to each entry: one control connection, and two that
	// carry calls. On the control connection, the agent sends GrantRequest and gets Grant. On
	// the other two, both sides send Heartbeat. With the default settings, GrantRequest is sent
	// every 500 ms (Ask) and Heartbeat every 200 ms (Beat). The frame adds up to 8 bytes to a
	// message.
	const frameBytes, requestsPerSecond, beatsPerSecond, callConns = 8, 2, 5, 2
	bytesPerSecond := requestsPerSecond*(sizes["Ask without a report"]+sizes["Grant"]+2*frameBytes) + 2*callConns*beatsPerSecond*(sizes["Beat"]+frameBytes)
	out = append(out,
		figure{"idle agent, control traffic with each entry, both directions", fmt.Sprintf("%d B/s", bytesPerSecond)},
		figure{"idle agent, control traffic with 3 entries", fmt.Sprintf("%.1f KB/s", 3*float64(bytesPerSecond)/1000)})
	return out, nil
}

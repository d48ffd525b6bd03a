package cfdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

var (
	epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settings   = cfdispatch.Settings{
		Epoch: 3, GrantTime: 2 * time.Second, LeaseTime: 5 * time.Second,
		ResendAfter: 600 * time.Millisecond, SuspectAfter: 800 * time.Millisecond,
	}
	queue = cfjob.Queue{Name: "plans", Service: "dispatch", MaxAttempts: 2, Stretch: 2, Latency: time.Second}
)

// fleet simulates the agents and workers of a planner.
type fleet struct {
	*WithT
	*cfdispatch.Planner
	now time.Time
	// workers are indexed by agent.
	workers map[string]*fakeWorker
	// stoppedTasks are the tasks for which a stop was ordered.
	stoppedTasks map[cfcore.TaskName]bool
	watch        startWatch
}

// fakeWorker is a worker that carries out starts. The tests end its runs.
type fakeWorker struct {
	state cfcore.WorkerState
	// runs are indexed by key.
	runs  map[string]cfwire.JobStart
	ended []cfcore.EndedTask
	// gauges are the gauges that running tasks report, by step.
	gauges map[int]int
	// extraPercent is added to the progress of 50 percent that running tasks report.
	extraPercent int
	// speeds are the last ordered speeds in percent, by job ID. stops holds the job ID of
	// each ordered stop.
	speeds   map[string]int
	stops    []string
	ackedEnd uint64
}

func newFleet(t *testing.T, p *cfdispatch.Planner, agents ...string) *fleet {
	f := &fleet{WithT: NewWithT(t), Planner: p, now: epochStart, workers: map[string]*fakeWorker{}, stoppedTasks: map[cfcore.TaskName]bool{}, watch: newStartWatch()}
	for i, a := range agents {
		f.workers[a] = &fakeWorker{
			state: cfcore.WorkerState{
				ID: "w-" + a, Service: "dispatch", Labels: []string{"a", fmt.Sprintf("rack-%d", i)},
				Capacity: cfcore.Resources{MilliCores: 4000, MemoryMB: 8000}, Born: epochStart, Clock: time.Hour,
			},
			runs: map[string]cfwire.JobStart{}, gauges: map[int]int{}, speeds: map[string]int{},
		}
	}
	f.report()
	for _, a := range agents {
		f.MarkAgentRecorded(a)
	}
	return f
}

func newPlanner() *cfdispatch.Planner { return cfdispatch.New(settings, nil, epochStart) }

// key returns a text that identifies a run.
func key(n cfcore.TaskName, run uint64) string {
	return fmt.Sprintf("%s.%d.%d.%d/%d", n.Job, n.Occurrence, n.Step, n.Index, run)
}

// report delivers the reports of all agents if agents is empty. Otherwise it delivers only
// the report of agents[0] and ignores the rest of agents.
func (f *fleet) report(agents ...string) {
	for a, w := range f.workers {
		if len(agents) > 0 && a != agents[0] {
			continue
		}
		lists := &cfcore.RunLists{Born: w.state.Born, Clock: f.now.Sub(epochStart), Ended: w.ended}
		for _, s := range w.runs {
			lists.Running = append(lists.Running, cfcore.RunningTask{
				Task: s.Task, Run: s.Run, Checkpoint: "cp-" + s.Task.Job, Percent: 50 + w.extraPercent, Gauge: w.gauges[s.Task.Step],
			})
		}
		f.ApplyReport(f.now, a, &cfwire.JobReport{Worker: &w.state, Lists: lists})
	}
}

// runPlanner runs a planning pass and carries out the starts and speeds that it orders. It
// only records the ordered stops. It returns the starts as "job.step@agent".
func (f *fleet) runPlanner() []string {
	f.Plan(f.now)
	var started []string
	for a, o := range f.TakeOrders(f.now) {
		w := f.workers[a]
		for _, s := range o.Starts {
			w.runs[key(s.Task, s.Run)] = s
			started = append(started, fmt.Sprintf("%s.%d@%s", s.Task.Job, s.Task.Step, a))
		}
		for _, s := range o.Stops {
			w.stops = append(w.stops, s.Task.Job)
			f.stoppedTasks[s.Task] = true
		}
		for _, s := range o.Throttles {
			w.speeds[s.Task.Job] = s.Percent
		}
		w.ackedEnd = max(w.ackedEnd, o.RecordedEnd)
	}
	return started
}

// endRuns ends all runs of a job and delivers the reports of all agents.
func (f *fleet) endRuns(job string, how cfcore.RunEnd) {
	for _, w := range f.workers {
		for k, s := range w.runs {
			if s.Task.Job == job {
				delete(w.runs, k)
				w.ended = append(w.ended, cfcore.EndedTask{Number: uint64(len(w.ended) + 1), Task: s.Task, Run: s.Run, How: how})
			}
		}
	}
	f.report()
}

func (f *fleet) add(id string, steps ...cfjob.Step) {
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: id, Queue: queue, Steps: steps, Accepted: f.now}}, queue, false)
}

// outcome returns the outcome of a job from the progress that must be recorded, or "".
func (f *fleet) outcome(id string) cfjob.Outcome {
	updates, ends := f.TakeUnrecordedProgress(f.now, true)
	f.MarkEndsRecorded(ends)
	for _, u := range updates {
		if u.ID == id {
			return u.Progress.Outcome
		}
	}
	return ""
}

func newStep(count int, milliCores int64) cfjob.Step {
	return cfjob.Step{Count: count, Resources: cfcore.Resources{MilliCores: milliCores, MemoryMB: 100}, Estimate: time.Second}
}

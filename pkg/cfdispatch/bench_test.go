package cfdispatch_test

import (
	"fmt"
	"testing"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// benchFleet is a fleet for benchmarks. Each of its workers runs latency-critical and
// best-effort tasks, and jobs wait for capacity.
type benchFleet struct {
	*cfdispatch.Planner
	now    time.Time
	agents []string
	// reports are the latest reports of the agents, in the order of agents.
	reports []*cfwire.JobReport
}

func newBenchFleet(workers int) *benchFleet {
	b := &benchFleet{Planner: cfdispatch.New(settings, nil, epochStart), now: epochStart}
	for i := range workers {
		agent := fmt.Sprintf("w%05d", i)
		state := cfcore.WorkerState{
			ID: agent, Service: "dispatch", Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
			Capacity: cfcore.Resources{MilliCores: 16000, MemoryMB: 64000}, Born: epochStart,
		}
		b.agents = append(b.agents, agent)
		b.reports = append(b.reports, &cfwire.JobReport{Worker: &state, Lists: &cfcore.RunLists{Born: epochStart}})
		b.ApplyReport(b.now, agent, b.reports[i])
		b.MarkAgentRecorded(agent)
	}
	// Each worker gets five latency-critical tasks, two best-effort tasks and one short task.
	// The same number of short tasks waits for capacity.
	for i := range workers / 4 {
		b.submit(fmt.Sprintf("s%d", i), latencyCriticalStep(fmt.Sprintf("i%d", i%16), 20))
		b.submit(fmt.Sprintf("f%d", i), bestEffortStep(fmt.Sprintf("b%d", i%30), 8))
		b.submit(fmt.Sprintf("t%d", i), newStep(8, 900))
	}
	b.Plan(b.now)
	b.applyOrders()
	return b
}

func (b *benchFleet) submit(id string, steps ...cfjob.Step) {
	b.AddJob(b.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: id, Queue: queue, Steps: steps, Accepted: b.now}}, queue, false)
}

// applyOrders takes the planner's orders. For each agent with orders, it adds the runs to
// start to the list of running tasks in the agent's report, and delivers the report to the
// planner.
func (b *benchFleet) applyOrders() {
	orders := b.TakeOrders(b.now)
	for i, agent := range b.agents {
		o := orders[agent]
		if o == nil {
			continue
		}
		for _, s := range o.Starts {
			b.reports[i].Lists.Running = append(b.reports[i].Lists.Running, cfcore.RunningTask{Task: s.Task, Run: s.Run, Percent: 100, Gauge: 20})
		}
		b.ApplyReport(b.now, agent, b.reports[i])
	}
}

// BenchmarkReport measures the planner's work for one report of a worker. In the first
// case the report contains no change. In the second case a task has ended, and another
// task takes the freed capacity.
func BenchmarkReport(b *testing.B) {
	for _, workers := range []int{100, 300, 1300} {
		f := newBenchFleet(workers)
		b.Run(fmt.Sprintf("%d workers, no change", workers), func(b *testing.B) {
			for n := range b.N {
				i := n % workers
				f.now = f.now.Add(time.Millisecond)
				f.ApplyReport(f.now, f.agents[i], f.reports[i])
				f.Plan(f.now)
				f.NextAdvice(f.now)
				f.TakeOrders(f.now)
			}
		})
		b.Run(fmt.Sprintf("%d workers, a task ends", workers), func(b *testing.B) {
			for n := range b.N {
				i := n % workers
				f.now = f.now.Add(time.Millisecond)
				l := f.reports[i].Lists
				last := l.Running[len(l.Running)-1]
				l.Running = l.Running[:len(l.Running)-1]
				l.Ended = []cfcore.EndedTask{{Number: uint64(n + 1), Task: last.Task, Run: last.Run, How: cfcore.EndDone}}
				f.ApplyReport(f.now, f.agents[i], f.reports[i])
				f.Plan(f.now)
				f.NextAdvice(f.now)
				f.applyOrders()
				if len(l.Running) == 0 {
					b.Skip("no task is running")
				}
			}
		})
	}
}

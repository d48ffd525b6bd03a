package cfjobentry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// startedRun is the control of a planner of epoch 2 that has started the only task of job j on the
// worker of agent a, an instance of which has opened two connections.
type startedRun struct {
	*control
	former, newer *link
	run           cfwire.JobStart
	worker        cfcore.WorkerState
}

func newStartedRun(t *testing.T) *startedRun {
	c, _ := newTestControl(t)
	c.stored.Agents = map[string]time.Time{"a": {}}
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	now := c.Clock.Now()
	c.plan.lastBatchAt = now
	former, _ := newAgentLink(t, c, "1")
	newer, _ := newAgentLink(t, c, "1")
	worker := cfcore.WorkerState{ID: "w", Service: "s", Born: now, Clock: time.Hour, Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 1000}}
	c.handleEvent(t.Context(), reportReceived{link: former, report: &cfwire.JobReport{Seq: 5, Epoch: 2, Worker: &worker, Lists: &cfcore.RunLists{Born: now}}})
	c.plan.MarkAgentRecorded("a")
	j := &cfjob.Job{ID: "j", Queue: cfjob.Queue{Service: "s"}, Steps: []cfjob.Step{{Count: 1}}, Accepted: now}
	c.plan.AddJob(now, &cfjob.StoredJob{Job: j}, j.Queue, false)
	c.plan.Plan(now)
	starts := c.plan.TakeOrders(now)["a"].Starts
	NewWithT(t).Expect(starts).To(HaveLen(1))
	return &startedRun{control: c, former: former, newer: newer, run: starts[0], worker: worker}
}

// An agent that has lost a connection reports on another one. What it wrote before can arrive later.
func TestReportThatArrivesAfterANewerOneIsIgnored(t *testing.T) {
	for name, late := range map[string]*cfwire.JobReport{
		"all leases have expired": {Lost: &cfwire.JobWorkerUnreachable{LeasesExpired: true}},
		"the worker has left":     {Lost: &cfwire.JobWorkerUnreachable{Left: true}},
		"the start was refused":   {Results: []cfwire.JobOrderResult{{Task: cfcore.TaskName{Job: "j"}, Refusal: cfcore.ExecutorNoCapacity}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newStartedRun(t)
			lists := &cfcore.RunLists{Born: c.worker.Born, Running: []cfcore.RunningTask{{Task: c.run.Task, Run: c.run.Run}}}
			c.handleEvent(t.Context(), reportReceived{link: c.newer, report: &cfwire.JobReport{Seq: 20, Epoch: 2, Worker: &c.worker, Lists: lists}})
			late.Seq, late.Epoch = 10, 2
			for i := range late.Results {
				late.Results[i].Run = c.run.Run
			}
			c.handleEvent(t.Context(), reportReceived{link: c.former, report: late})
			g.Expect(c.plan.HasLiveRuns("j")).To(BeTrue())
		})
	}
}

// An ended run that is adopted again keeps its task from starting.
func TestRunsOfALateReportAreNotAdopted(t *testing.T) {
	g := NewWithT(t)
	c := newStartedRun(t)
	ended := &cfcore.RunLists{Born: c.worker.Born, Ended: []cfcore.EndedTask{{Number: 1, Task: c.run.Task, Run: c.run.Run, How: cfcore.EndStopped}}}
	c.handleEvent(t.Context(), reportReceived{link: c.newer, report: &cfwire.JobReport{Seq: 20, Epoch: 2, Worker: &c.worker, Lists: ended}})
	g.Expect(c.plan.HasLiveRuns("j")).To(BeFalse())
	running := &cfcore.RunLists{Born: c.worker.Born, Running: []cfcore.RunningTask{{Task: c.run.Task, Run: c.run.Run}}}
	c.handleEvent(t.Context(), reportReceived{link: c.former, report: &cfwire.JobReport{Seq: 10, Epoch: 2, Worker: &c.worker, Lists: running}})
	g.Expect(c.plan.HasLiveRuns("j")).To(BeFalse())
}

// An entry can become the planner again while reports to its former term are on their way. Run
// lists of that term can lack runs that still start.
func TestReportToAFormerTermIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.stored.Agents = map[string]time.Time{"a": {}}
	c.becomePlanner(cfjob.Claim{Epoch: 3, Instance: "i"})
	now := c.Clock.Now()
	l, orders := newAgentLink(t, c, "1")
	worker := cfcore.WorkerState{ID: "w", Service: "s", Born: now, Clock: time.Hour, Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 1000}}
	report := &cfwire.JobReport{Seq: 5, Epoch: 2, Ask: 4, Worker: &worker, Lists: &cfcore.RunLists{Born: now}}
	c.handleEvent(t.Context(), reportReceived{link: l, report: report})
	g.Consistently(orders, "50ms").ShouldNot(Receive())
	c.plan.MarkAgentRecorded("a")
	j := &cfjob.Job{ID: "j", Queue: cfjob.Queue{Service: "s"}, Steps: []cfjob.Step{{Count: 1}}, Accepted: now}
	c.plan.AddJob(now, &cfjob.StoredJob{Job: j}, j.Queue, true)
	c.plan.Plan(now)
	g.Expect(c.plan.TakeOrders(now)).To(BeEmpty(), "the agent has not reported to this term")
	report.Epoch, report.Seq = 3, 6
	c.handleEvent(t.Context(), reportReceived{link: l, report: report})
	c.plan.MarkAgentRecorded("a")
	c.plan.Plan(now)
	g.Expect(c.plan.TakeOrders(now)).To(HaveKey("a"))
}

package cfjobagent

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// takeOverWithAgents returns a planner of epoch 2 that has taken over job j with one task. Agent b
// can start the task. The planner waits for the run lists of agent a.
func takeOverWithAgents(g *WithT, now time.Time) *cfdispatch.Planner {
	p := cfdispatch.New(cfdispatch.Settings{
		Epoch: 2, GrantTime: 2 * time.Second, LeaseTime: 5 * time.Second, ResendAfter: time.Second, SuspectAfter: time.Hour,
	}, []string{"a", "b"}, now.Add(10*time.Second))
	j := &cfjob.Job{ID: "j", Queue: cfjob.Queue{Service: "s"}, Steps: []cfjob.Step{{Count: 1}}, Accepted: now}
	p.AddJob(now, &cfjob.StoredJob{Job: j}, j.Queue, true)
	w := cfcore.WorkerState{ID: "b", Service: "s", Born: born, Clock: time.Hour}
	p.ApplyReport(now, "b", &cfwire.JobReport{Worker: &w, Lists: &cfcore.RunLists{Born: born}})
	p.MarkAgentRecorded("b")
	p.Plan(now)
	g.Expect(p.TakeOrders(now)).To(BeEmpty(), "agent a has not reported")
	return p
}

// A worker lists the end of a run while there is no planner. The end counts as taken note of
// 100 ms later, so that the next planner must not start the task again.
func TestEndListedWithoutAPlannerIsReportedToTheNextOne(t *testing.T) {
	refused := cferror.Wrap("hold", cfcore.ExecutorOutcomeUnknown, syscall.ECONNREFUSED)
	ends := []cfcore.EndedTask{{Number: 1, Task: cfcore.TaskName{Job: "j"}, Run: 5, How: cfcore.EndDone}}
	returnHold := func(a *control, l cfcore.RunLists, err error) {
		a.handleHoldReturned(holdReturned{
			incarnation: a.fence.currentIncarnation(), worker: a.worker.ID, token: a.fence.token(a.epoch), lists: l, err: err,
		})
	}
	restart := func(a *control, id string) {
		s := workerState(born.Add(time.Minute))
		s.ID = id
		a.handleHeartbeat(s)
		returnHold(a, cfcore.RunLists{}, refused)
	}
	next := cfcore.RunLists{Born: born.Add(time.Minute), Clock: 2 * time.Minute}
	for name, c := range map[string]struct {
		// disrupt happens before the next planner is elected. lists are the first run lists with its
		// epoch, if the worker answers.
		disrupt func(a *control, clock *fakeBootClock)
		lists   *cfcore.RunLists
	}{
		"the worker remains": {lists: &cfcore.RunLists{Born: born, Clock: 2 * time.Minute, Ended: ends}},
		"the worker leaves": {disrupt: func(a *control, _ *fakeBootClock) {
			a.handleWorkerLeft("w")
			returnHold(a, cfcore.RunLists{}, refused)
		}},
		"the worker restarts with its ID":    {disrupt: func(a *control, _ *fakeBootClock) { restart(a, "w") }, lists: &next},
		"another worker replaces the worker": {disrupt: func(a *control, _ *fakeBootClock) { restart(a, "w2") }, lists: &next},
		"the worker stops answering, and its leases expire": {disrupt: func(a *control, clock *fakeBootClock) {
			*clock += fakeBootClock(6 * time.Second)
			returnHold(a, cfcore.RunLists{}, errUnanswered)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, clock := answeredControl()
			former := &link{}
			a.handleMessage(t.Context(), former, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 1}})
			returnHold(a, cfcore.RunLists{Born: born, Clock: time.Minute + 2*time.Second, Running: []cfcore.RunningTask{{Task: ends[0].Task, Run: 5}}}, nil)
			g.Expect(a.takeReport().Lists).NotTo(BeNil())
			a.handleEvent(t.Context(), linkDown{link: former})
			returnHold(a, cfcore.RunLists{Born: born, Clock: time.Minute + 3*time.Second, Ended: ends}, nil)
			*clock += fakeBootClock(200 * time.Millisecond)
			if c.disrupt != nil {
				c.disrupt(a, clock)
			}
			a.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 2}})
			if c.lists != nil {
				returnHold(a, *c.lists, nil)
			}
			now := born.Add(time.Hour)
			p := takeOverWithAgents(g, now)
			p.ApplyReport(now, "a", a.takeReport())
			p.Plan(now)
			for agent, o := range p.TakeOrders(now) {
				g.Expect(o.Starts).To(BeEmpty(), "starts on %s of a task whose end was listed as done", agent)
			}
		})
	}
}

// A late check-in of a former worker arrives while the present one, whose goodbye is not
// acknowledged, still runs its tasks, and a call to the present one gets no answer.
func TestLateCheckInBesideALeavingWorkerThatMissesACall(t *testing.T) {
	g := NewWithT(t)
	a, _ := answeredControl()
	g.Expect(a.takeReport().Worker.ID).To(Equal("w"))
	a.handleWorkerLeft("w")
	former := workerState(born.Add(-time.Minute))
	former.ID = "former"
	a.handleHeartbeat(former)
	a.handleHoldReturned(holdReturned{incarnation: a.fence.currentIncarnation(), worker: "w", err: errUnanswered})
	if w := a.takeReport().Worker; w != nil {
		g.Expect(w.ID).To(Equal("w"), "the former worker has answered no call")
	}
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "former", err: cferror.New("hold", cfcore.ExecutorOtherIncarnation, "421"),
	})
	if l := a.takeReport().Lost; l != nil {
		g.Expect(l.Left).To(BeFalse(), "the present worker still runs its tasks")
	}
}

// A planner ignores reports while it has no authority. Its connection to the agent remains.
func TestEndsOfAWorkerThatIsGoneAreReportedUntilTheyAreRecorded(t *testing.T) {
	g := NewWithT(t)
	a, clock := answeredControl()
	a.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 2}})
	hold := holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch),
		lists: cfcore.RunLists{Born: born, Clock: 2 * time.Minute, Ended: []cfcore.EndedTask{{Number: 1, Task: cfcore.TaskName{Job: "j"}, Run: 5, How: cfcore.EndDone}}},
	}
	a.handleHoldReturned(hold)
	a.handleWorkerLeft("w")
	hold.err = cferror.Wrap("hold", cfcore.ExecutorOutcomeUnknown, syscall.ECONNREFUSED)
	a.handleHoldReturned(hold)
	now := born.Add(time.Hour)
	p := takeOverWithAgents(g, now)
	for range 3 {
		g.Expect(a.takeReport().Lost).To(HaveField("Left", BeTrue()), "the planner ignores this report")
		*clock += fakeBootClock(time.Second)
	}
	p.ApplyReport(now, "a", a.takeReport())
	p.Plan(now)
	g.Expect(p.TakeOrders(now)).NotTo(HaveKey("b"), "the task's end was listed as done")
}

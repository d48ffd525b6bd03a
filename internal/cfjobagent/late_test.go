package cfjobagent

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// An entry that the store rejects has an old list of entries, which lacks the address of a newer
// planner. An agent that applies it closes its connection to that planner, and all its leases
// expire.
func TestListOfALaggingEntryKeepsTheConnectionToThePlanner(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	ctx, cancel := context.WithCancel(t.Context())
	old, planner := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	a.handleMessage(ctx, &link{}, &cfwire.Message{JobEntries: &cfwire.JobEntries{Epoch: 5, Planner: planner, Addresses: []netip.AddrPort{old, planner}}})
	a.handleMessage(ctx, &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 5}})
	a.handleMessage(ctx, &link{}, &cfwire.Message{JobEntries: &cfwire.JobEntries{Epoch: 4, Planner: old, Addresses: []netip.AddrPort{old}}})
	g.Expect(a.dialCancels).To(HaveKey(planner))
	cancel()
	for a.runningDials > 0 {
		g.Eventually(a.dialDone).Should(Receive())
		a.runningDials--
	}
}

// A worker announces that it leaves, without saying which incarnation it is. The announcement can
// arrive after the first heartbeat of a new incarnation with the same ID, for example if the agent
// stood still. A worker that is taken for gone until its next restart runs nothing.
func TestLateGoodbyeOfAnEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	s := workerState(born.Add(time.Minute))
	a.handleHeartbeat(s)
	a.handleWorkerLeft(s.ID)
	for range 3 {
		s.Sequence++
		s.Clock += time.Second
		a.handleHeartbeat(s)
	}
	g.Expect(a.hasLeft).To(BeFalse(), "a worker that has left sends no further heartbeats")
}

// leavingWorker answers calls for the run lists until it is gone.
type leavingWorker struct {
	cfcore.Executor
	gone bool
}

func (w *leavingWorker) Hold(context.Context, cfcore.Order, cfcore.HoldOptions) (cfcore.RunLists, error) {
	if w.gone {
		return cfcore.RunLists{}, cferror.Wrap("hold", cfcore.ExecutorOutcomeUnknown, syscall.ECONNREFUSED)
	}
	return cfcore.RunLists{Born: born, Clock: time.Minute}, nil
}

// A worker whose goodbye gets no acknowledgement in time, for example because its agent stood still,
// goes on for seconds. The agent took the goodbye for the end of all runs, and the planner started
// their tasks elsewhere while they ran.
func TestRunsOfAWorkerEndNotBeforeItIsGone(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	clock := fakeBootClock(time.Hour)
	w := &leavingWorker{}
	a.Executor, a.bootClock = w, &clock
	a.grantedAt, a.answeredAt, a.leaseFrom = time.Hour, time.Hour, time.Hour
	s := workerState(born)
	s.Draining = true
	a.handleHeartbeat(s)
	call := func() *cfwire.JobReport {
		clock += fakeBootClock(holdRetryDelay)
		a.requestRunLists(t.Context())
		var ev event
		g.Eventually(a.events).Should(Receive(&ev))
		a.handleEvent(t.Context(), ev)
		return a.takeReport()
	}
	a.handleWorkerLeft(s.ID)
	g.Expect(a.takeReport().Lost).To(BeNil())
	for range 20 {
		g.Expect(call().Lost).To(BeNil(), "the worker answers")
	}
	w.gone = true
	g.Expect(call().Lost).To(HaveField("Left", BeTrue()))
}

// The next incarnation with the same ID answers calls and is not draining.
func TestWorkerGetsStartsAgainAfterALateGoodbye(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock, a.grantedAt, a.answeredAt, a.leaseFrom = &clock, time.Hour, time.Hour, time.Hour
	a.handleHeartbeat(workerState(born))
	a.handleWorkerLeft("w")
	start := func(run uint64) {
		clock += fakeBootClock(goodbyeTimeout/2 + 1)
		a.handleHoldReturned(holdReturned{
			incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch),
			lists: cfcore.RunLists{Born: born, Clock: time.Minute + time.Duration(clock)},
		})
		a.startRun(t.Context(), cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: run})
	}
	start(7)
	g.Eventually(w.stopped).Should(Receive(BeEquivalentTo(7)), "the worker is possibly leaving")
	start(8)
	g.Eventually(w.started).Should(Receive(HaveField("Run", BeEquivalentTo(8))))
}

// A check-in can arrive after its sender has crashed and another worker has registered at the same
// address. An agent that had just restarted reported the sender as gone, and the planner started
// the tasks of the present worker elsewhere.
func TestLateCheckInOfAFormerWorkerAfterARestartOfTheAgent(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.hasWorker = false
	former := workerState(born.Add(-time.Minute))
	former.ID = "former"
	a.handleHeartbeat(former)
	g.Expect(a.takeReport().Worker).To(BeNil(), "it has answered no call")
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "former", err: cferror.New("hold", cfcore.ExecutorOtherIncarnation, "421"),
	})
	r := a.takeReport()
	g.Expect(r.Lost).To(HaveField("Left", BeFalse()))
	g.Expect(r.Lost).To(HaveField("LeasesExpired", BeFalse()))
	a.handleHeartbeat(workerState(born))
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch),
		lists: cfcore.RunLists{Born: born, Clock: time.Minute},
	})
	r = a.takeReport()
	g.Expect(r.Lost).To(BeNil())
	g.Expect(r.Worker.ID).To(Equal("w"))
}

// answeredControl returns the control of an agent whose worker has answered a call.
func answeredControl() (*control, *fakeBootClock) {
	a, _ := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock, a.grantedAt, a.answeredAt, a.leaseFrom = &clock, time.Hour, time.Hour, time.Hour
	a.hasWorker = false
	a.handleHeartbeat(workerState(born))
	answer(a)
	return a, &clock
}

// answer lets the present worker answer a call.
func answer(a *control) {
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: a.worker.ID, token: a.fence.token(a.epoch),
		lists: cfcore.RunLists{Born: born, Clock: time.Minute + time.Second},
	})
}

// A late check-in of a former worker arrives while the present one, whose goodbye is not
// acknowledged, still runs its tasks. The agent has restarted since the former one was there.
func TestLateCheckInOfAFormerWorkerWhileThePresentOneLeaves(t *testing.T) {
	g := NewWithT(t)
	a, _ := answeredControl()
	g.Expect(a.takeReport().Worker.ID).To(Equal("w"))
	a.handleWorkerLeft("w")
	former := workerState(born.Add(-time.Minute))
	former.ID = "former"
	a.handleHeartbeat(former)
	if w := a.takeReport().Worker; w != nil {
		g.Expect(w.ID).To(Equal("w"), "former worker reported; it has answered no call")
	}
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "former", err: cferror.New("hold", cfcore.ExecutorOtherIncarnation, "421"),
	})
	if l := a.takeReport().Lost; l != nil {
		g.Expect(l.Left).To(BeFalse(), "the present worker still runs its tasks")
	}
}

// The heartbeat that says draining was missed; the worker ends 2 s after its goodbye.
func TestWorkerThatEndsSecondsAfterItsGoodbyeIsGone(t *testing.T) {
	g := NewWithT(t)
	a, clock := answeredControl()
	a.handleWorkerLeft("w")
	*clock += fakeBootClock(goodbyeTimeout + time.Millisecond)
	answer(a)
	*clock += fakeBootClock(time.Second)
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "w", err: cferror.Wrap("hold", cfcore.ExecutorOutcomeUnknown, syscall.ECONNREFUSED),
	})
	g.Expect(a.takeReport().Lost).To(HaveField("Left", BeTrue()))
}

// The time of day was set back, so that the former worker has the later start time. The agent has
// restarted since, and the present worker has answered it.
func TestLateCheckInOfAFormerWorkerWithALaterStartTime(t *testing.T) {
	g := NewWithT(t)
	a, _ := answeredControl()
	g.Expect(a.takeReport().Worker.ID).To(Equal("w"))
	former := workerState(born.Add(3 * time.Second))
	former.ID = "former"
	a.handleHeartbeat(former)
	if w := a.takeReport().Worker; w != nil {
		g.Expect(w.ID).To(Equal("w"), "former worker reported; it has answered no call")
	}
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "former", err: cferror.New("hold", cfcore.ExecutorOtherIncarnation, "421"),
	})
	if l := a.takeReport().Lost; l != nil {
		g.Expect(l.Left).To(BeFalse(), "the present worker still runs its tasks")
	}
}

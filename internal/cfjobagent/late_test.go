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

var (
	errOtherIncarnation = cferror.New("hold", cfcore.ExecutorOtherIncarnation, "421")
	errUnhealthy        = cferror.New("hold", cfcore.ExecutorUnhealthy, "503")
	errRefused          = cferror.Wrap("hold", cfcore.ExecutorOutcomeUnknown, syscall.ECONNREFUSED)
)

// fail makes a call to a worker fail.
func fail(a *control, id string, err error) {
	a.handleHoldReturned(holdReturned{incarnation: a.fence.currentIncarnation(), worker: id, sentAt: a.bootClock.Now(), err: err})
}

// formerState is the state in a check-in of a former worker.
func formerState(born time.Time) cfcore.WorkerState {
	s := workerState(born)
	s.ID = "former"
	return s
}

// A late check-in of a former worker and one failed call to the present one made the agent report the
// former one. The planner then started the tasks of the present one elsewhere.
func TestFailedCallDoesNotEndThePresentWorker(t *testing.T) {
	for name, c := range map[string]struct {
		leaves bool
		born   time.Time
		err    error
	}{
		"goodbye, then unhealthy":                {leaves: true, born: born.Add(-time.Minute), err: errUnhealthy},
		"goodbye, then no answer":                {leaves: true, born: born.Add(-time.Minute), err: errUnanswered},
		"a later start time, then unhealthy":     {born: born.Add(time.Second), err: errUnhealthy},
		"a later start time, then no answer":     {born: born.Add(time.Second), err: errUnanswered},
		"a later start time, then a refused one": {born: born.Add(time.Second), err: errRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, clock := answeredControl()
			g.Expect(a.takeReport().Worker.ID).To(Equal("w"))
			if c.leaves {
				a.handleWorkerLeft("w")
			}
			a.handleHeartbeat(formerState(c.born))
			fail(a, "w", c.err)
			a.reportAll = true
			g.Expect(a.takeReport().Worker.ID).To(Equal("w"))
			g.Expect(a.nextHoldAt).To(BeNumerically("<=", a.bootClock.Now()+holdRetryDelay), "the agent asks again")
			*clock += fakeBootClock(holdRetryDelay)
			answer(a)
			g.Expect(a.hasSuccessor).To(BeFalse())
			s := workerState(born)
			s.Sequence, s.Draining = 2, true
			a.handleHeartbeat(s)
			g.Expect(a.takeReport().Worker.Draining).To(BeTrue(), "its check-ins count")
		})
	}
}

// A new worker at the same address answers calls for the one before with 421.
func TestNewWorkerIsFollowedOnceThePresentOneIsGone(t *testing.T) {
	for name, c := range map[string]struct {
		leaves bool
		err    error
	}{
		"other incarnation":                       {err: errOtherIncarnation},
		"goodbye, then other incarnation":         {leaves: true, err: errOtherIncarnation},
		"goodbye, then its port refuses the call": {leaves: true, err: errRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := answeredControl()
			if c.leaves {
				a.handleWorkerLeft("w")
			}
			next := formerState(born.Add(time.Minute))
			next.ID = "next"
			a.handleHeartbeat(next)
			fail(a, "w", errUnhealthy)
			g.Expect(a.worker.ID).To(Equal("w"))
			fail(a, "w", c.err)
			g.Expect(a.worker.ID).To(Equal("next"))
			a.handleHeartbeat(workerState(born))
			g.Expect(a.worker.ID).To(Equal("next"), "a late check-in of the worker that is gone")
			a.takeReport()
			a.reportAll = true
			g.Expect(a.takeReport().Worker).To(BeNil(), "it has answered no call")
			a.handleHoldReturned(holdReturned{
				incarnation: a.fence.currentIncarnation(), worker: "next", token: a.fence.token(a.epoch),
				lists: cfcore.RunLists{Born: next.Born, Clock: time.Second},
			})
			g.Expect(a.takeReport().Worker.ID).To(Equal("next"))
		})
	}
}

// A worker that answers nothing until its leases have expired can come back if only its channels were
// reset.
func TestSilentWorkerIsReplacedOnceItsLeasesHaveExpired(t *testing.T) {
	g := NewWithT(t)
	a, clock := answeredControl()
	a.unanswered.unknownUntil = 0
	attempt := attemptUnanswered{worker: "w", start: startKey{task: cfcore.TaskName{Job: "j"}, run: 7}, at: a.bootClock.Now()}
	a.handleEvent(t.Context(), attempt)
	a.handleHeartbeat(formerState(born.Add(time.Second)))
	*clock += fakeBootClock(leaseExpiry(a.cfg.Lease.Lease))
	fail(a, "w", errUnanswered)
	g.Expect(a.worker.ID).To(Equal("w"))
	*clock += fakeBootClock(time.Millisecond)
	fail(a, "w", errUnanswered)
	g.Expect(a.worker.ID).To(Equal("former"))
	r := a.takeReport()
	g.Expect(r.Worker).To(BeNil(), "it has answered no call")
	g.Expect(r.Unanswered).To(HaveLen(1), "the worker before can still execute it")
	fail(a, "former", errOtherIncarnation)
	g.Expect(a.takeReport().Lost).To(HaveField("Left", BeFalse()))
	a.handleHeartbeat(workerState(born))
	answer(a)
	r = a.takeReport()
	g.Expect(r.Lost).To(BeNil())
	g.Expect(r.Worker.ID).To(Equal("w"), "the worker before is used again")
	g.Expect(r.Unanswered).To(HaveLen(1))
}

// A late goodbye, or a port that refuses connections for a moment, made the agent ignore its worker's later
// check-ins: its start time counted as that of a former incarnation.
func TestCheckInsOfAWorkerThatWasTakenForGoneCount(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	s := workerState(born)
	a.handleHeartbeat(s)
	a.handleWorkerLeft("w")
	fail(a, "w", errRefused)
	g.Expect(a.hasWorker).To(BeFalse())
	s.Sequence++
	a.handleHeartbeat(s)
	s.Sequence, s.Draining = s.Sequence+1, true
	a.handleHeartbeat(s)
	g.Expect(a.worker.Draining).To(BeTrue())
}

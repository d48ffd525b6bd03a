package cfjobagent

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// An agent that was cut off by all planners for so long that its leases expired got an order of
// before, on an earlier connection. The planner had started the task elsewhere.
func TestStartFromBeforeALongSilenceOfThePlannerIsIgnored(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock, a.grantedAt, a.answeredAt, a.leaseFrom = &clock, time.Hour, time.Hour, time.Hour
	a.worker, a.hasWorker, a.workerClock, a.workerClockAt = workerState(born), true, time.Minute, time.Hour
	before := a.takeReport().Seq
	clock += fakeBootClock(10 * time.Second)
	a.answeredAt, a.workerClockAt = a.bootClock.Now(), a.bootClock.Now()
	g.Expect(a.takeReport().Lost).To(BeNil(), "the worker has answered all the while")
	a.grantedAt = a.bootClock.Now()
	start := cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}
	a.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: a.epoch, AfterReport: before, Starts: []cfwire.JobStart{start}}})
	g.Consistently(w.started, "20ms").ShouldNot(Receive())
	clock++
	a.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: a.epoch, AfterReport: a.takeReport().Seq, Starts: []cfwire.JobStart{start}}})
	g.Eventually(w.started).Should(Receive())
}

// silentWorker answers no call for the run lists until released is closed.
type silentWorker struct {
	cfcore.Executor
	held     chan cfcore.Order
	released chan struct{}
}

func (w *silentWorker) Hold(_ context.Context, o cfcore.Order, _ cfcore.HoldOptions) (cfcore.RunLists, error) {
	w.held <- o
	<-w.released
	return cfcore.RunLists{}, errUnanswered
}

// Until the first call with a new token, a worker that has restarted executes late starts of its
// earlier incarnation. A call to that incarnation can be without an answer for long.
func TestRestartedWorkerIsCalledAtOnce(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	w := &silentWorker{held: make(chan cfcore.Order, 2), released: make(chan struct{})}
	a.Executor = w
	a.handleHeartbeat(workerState(born))
	a.requestRunLists(t.Context())
	var first, second cfcore.Order
	g.Eventually(w.held).Should(Receive(&first))
	s := workerState(born.Add(time.Minute))
	s.Clock = 100 * time.Millisecond
	a.handleHeartbeat(s)
	a.requestRunLists(t.Context())
	g.Eventually(w.held).Should(Receive(&second))
	g.Expect(second.Token).To(BeNumerically(">", first.Token))
	a.handleHoldReturned(holdReturned{worker: "w", err: errUnanswered})
	g.Expect(a.holdInFlight).To(BeTrue(), "the call to the earlier incarnation has failed")
	close(w.released)
	for range 2 {
		var ev event
		g.Eventually(a.events).Should(Receive(&ev))
		a.handleEvent(t.Context(), ev)
	}
	g.Expect(a.holdInFlight).To(BeFalse())
	g.Expect(a.holdFailed).To(BeTrue())
}

// An incarnation can have an earlier start time than the one before, if the time of day was set back
// in between. Its ends were acknowledged by the numbers of the former incarnation, and its lists
// were ignored.
func TestIncarnationWithAnEarlierStartTimeIsFollowed(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	next := born.Add(-time.Minute)
	w := &restartingWorker{born: next, clock: time.Second}
	a.Executor = w
	a.handleHeartbeat(workerState(born))
	a.lastRecorded = 57
	hold := func() cfcore.HoldOptions {
		a.nextHoldAt = 0
		a.requestRunLists(t.Context())
		var ev event
		g.Eventually(a.events).Should(Receive(&ev))
		a.handleEvent(t.Context(), ev)
		return w.holds[len(w.holds)-1]
	}
	hold()
	g.Expect(a.worker.Born).To(Equal(next))
	g.Expect(hold().LastSeen).To(BeZero())
	g.Expect(a.takeReport().Lists).To(HaveField("Born", next))
	late := workerState(born)
	late.Sequence = 9
	a.handleHeartbeat(late)
	g.Expect(a.worker.Born).To(Equal(next), "the heartbeat of the former incarnation was delayed")
}

func TestWorkerThatReturnsWithAnEarlierStartTimeIsUsed(t *testing.T) {
	for name, id := range map[string]string{"the same ID": "w", "another ID": "x"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := newTestControl()
			a.handleHeartbeat(workerState(born))
			a.handleWorkerLeft("w")
			s := workerState(born.Add(-time.Minute))
			s.ID = id
			a.handleHeartbeat(s)
			g.Expect(a.hasLeft).To(BeFalse())
			g.Expect(a.worker).To(Equal(s))
		})
	}
}

// The agent gave up its connection to an entry that a list from a lagging entry did not contain.
func TestListOfALaggingEntryDoesNotReplaceANewerOne(t *testing.T) {
	newer, older := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	for name, c := range map[string]struct {
		readTo   int64
		replaced bool
	}{
		"lagging":                   {readTo: 6},
		"as far":                    {readTo: 7, replaced: true},
		"an entry of former builds": {replaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := newTestControl()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			a.handleEntries(ctx, &cfwire.JobEntries{Addresses: []netip.AddrPort{newer}, ReadTo: 7})
			a.handleEntries(ctx, &cfwire.JobEntries{Addresses: []netip.AddrPort{older}, ReadTo: c.readTo})
			if c.replaced {
				g.Expect(a.dialCancels).To(HaveKey(older))
			} else {
				g.Expect(a.dialCancels).To(HaveKey(newer))
			}
		})
	}
}

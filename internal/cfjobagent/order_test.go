package cfjobagent

import (
	"context"
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

// silentWorker does not answer calls for the run lists until its context ends, except those of its
// next incarnation.
type silentWorker struct {
	cfcore.Executor
	held chan cfcore.Order
}

func (w *silentWorker) Hold(ctx context.Context, o cfcore.Order, _ cfcore.HoldOptions) (cfcore.RunLists, error) {
	w.held <- o
	<-ctx.Done()
	return cfcore.RunLists{}, ctx.Err()
}

// Until the first call with a new token, a worker that has restarted executes late starts of its
// earlier incarnation. A call to that incarnation can be without an answer for long.
func TestRestartedWorkerIsCalledAtOnce(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	w := &silentWorker{held: make(chan cfcore.Order, 2)}
	a.Executor = w
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a.handleHeartbeat(workerState(born))
	a.requestRunLists(ctx)
	var first cfcore.Order
	g.Eventually(w.held).Should(Receive(&first))
	s := workerState(born.Add(time.Minute))
	s.Clock = 100 * time.Millisecond
	a.handleHeartbeat(s)
	a.requestRunLists(ctx)
	var second cfcore.Order
	g.Eventually(w.held).Should(Receive(&second))
	g.Expect(second.Token).To(BeNumerically(">", first.Token))
	cancel()
	a.handleEvent(t.Context(), <-a.events)
	a.handleEvent(t.Context(), <-a.events)
	g.Expect(a.holdInFlight).To(BeFalse())
}

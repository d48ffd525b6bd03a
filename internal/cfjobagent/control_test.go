package cfjobagent

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// born is when the tested incarnation of the worker started.
var born = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// worker is a stand-in for a worker. It accepts all orders, except that it refuses starts
// if refusal is set.
type worker struct {
	cfcore.Executor
	started chan cfcore.RunStart
	stopped chan uint64
	// holds receives the options of each call for the run lists, unless it is nil.
	holds chan cfcore.HoldOptions
	// refusal is the kind of error that starts return; if empty, starts succeed.
	refusal cfcore.ExecutorKind
	// incomplete is set if the run lists have a row that cannot be decoded, moreEnds if they
	// leave out ends.
	incomplete bool
	moreEnds   bool
	// starts counts the attempts to start a run. beforeStart is called at each, unless it is nil.
	starts      int
	beforeStart func()
}

func (w *worker) Start(_ context.Context, _ cfcore.Order, s cfcore.RunStart) error {
	w.starts++
	if w.beforeStart != nil {
		w.beforeStart()
	}
	if w.refusal != "" {
		return cferror.New("start", w.refusal, "refused")
	}
	w.started <- s
	return nil
}

func (w *worker) Stop(_ context.Context, _ cfcore.Order, _ cfcore.TaskName, run uint64) error {
	w.stopped <- run
	return nil
}

func (w *worker) Hold(_ context.Context, _ cfcore.Order, h cfcore.HoldOptions) (cfcore.RunLists, error) {
	if w.holds != nil {
		w.holds <- h
	}
	return cfcore.RunLists{Born: born, Clock: time.Hour, Incomplete: w.incomplete, MoreEnds: w.moreEnds}, nil
}

// newTestControl returns the control of an agent that has just started and is allowed to
// extend leases, and the worker of that agent.
func newTestControl() (*control, *worker) {
	w := &worker{started: make(chan cfcore.RunStart, 1), stopped: make(chan uint64, 1)}
	c := newControl(&Agent{
		Common: &cfcommon.Common{Log: zerolog.Nop(), Clock: clockwork.NewRealClock(), Scope: tally.NoopScope},
		Deps:   Deps{Executor: w},
		cfg:    cfconfig.JobAgent{Lease: cfconfig.JobLease{Grant: 2 * time.Second, Lease: 5 * time.Second}},
		events: make(chan event, eventQueueCapacity),
	})
	c.grantedAt, c.hasGrant = c.bootClock.Now(), true
	return c, w
}

// workerState returns the state in the first heartbeat of a worker that started at
// startedAt.
func workerState(startedAt time.Time) cfcore.WorkerState {
	return cfcore.WorkerState{ID: "w", Born: startedAt, Sequence: 1, Clock: time.Minute}
}

// The planner repeats an order to start a run until it has a result. An earlier
// incarnation of the agent can have carried out the order just before that incarnation
// ended. A restarted agent must therefore not report a result that it cannot determine.
func TestNoResultForStartsWithUnknownState(t *testing.T) {
	order := cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}
	for _, c := range []struct {
		name    string
		worker  *cfcore.WorkerState
		hasLeft bool
		lost    bool
	}{
		{name: "no heartbeat yet", lost: true},
		{name: "an earlier incarnation of the worker", worker: new(workerState(born.Add(-time.Minute)))},
		{name: "a later incarnation of the worker", worker: new(workerState(born.Add(time.Minute)))},
		{name: "the worker has left", worker: new(workerState(born)), hasLeft: true, lost: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, w := newTestControl()
			if c.worker != nil {
				a.handleHeartbeat(*c.worker)
			}
			a.hasLeft = c.hasLeft
			a.startRun(t.Context(), order)
			r := a.takeReport()
			g.Expect(r.Results).To(BeEmpty())
			g.Expect(r.Lost != nil).To(Equal(c.lost), "the planner sends no starts to an unreachable worker")
			g.Consistently(w.started, "20ms").ShouldNot(Receive())
		})
	}
}

func TestStartIsCarriedOut(t *testing.T) {
	a, w := newTestControl()
	a.handleHeartbeat(workerState(born))
	a.startRun(t.Context(), cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7})
	NewWithT(t).Eventually(w.started).Should(Receive())
}

// Even after a refusal, the worker can still carry out an earlier order that a previous
// incarnation of the agent sent. The agent must therefore stop the run before it reports
// the refusal.
func TestRefusalAfterAgentRestartIsFollowedByStop(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		stop bool
	}{
		{"just started", time.Second, true},
		{"no order of an earlier incarnation can be in flight", time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			a, w := newTestControl()
			w.refusal = cfcore.ExecutorNoCapacity
			a.startedAt = a.bootClock.Now() - c.age
			a.handleHeartbeat(workerState(born))
			a.startRun(t.Context(), cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7})
			a.handleEvent(t.Context(), <-a.events)
			if c.stop {
				g.Expect(a.takeReport().Results).To(BeEmpty())
				g.Eventually(w.stopped).Should(Receive(Equal(uint64(7))))
				a.handleEvent(t.Context(), <-a.events)
			}
			g.Expect(a.takeReport().Results).To(HaveLen(1), "the run does not exist and will not start later")
		})
	}
}

// A start that arrived just after its worker had begun to drain got no result, and the task waited
// until the worker had left.
func TestStartForADrainingWorkerIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	s := workerState(born)
	s.Draining = true
	a.handleHeartbeat(s)
	order := cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}
	a.startRun(t.Context(), order)
	g.Eventually(w.stopped).Should(Receive(BeEquivalentTo(7)))
	a.handleEvent(t.Context(), <-a.events)
	g.Expect(a.takeReport().Results).To(Equal([]cfwire.JobOrderResult{{Task: order.Task, Run: 7, Refusal: cfcore.ExecutorStale}}))
	g.Expect(w.started).NotTo(Receive())
}

// A run that is missing from run lists possibly is in a row that cannot be decoded, or has ended
// and is beyond the ends that a worker lists at a time. The agent must not report that the run
// does not exist.
func TestNoResultFromIncompleteRunLists(t *testing.T) {
	for _, c := range []struct {
		name       string
		incomplete bool
		moreEnds   bool
		results    int
	}{
		{"complete", false, false, 1},
		{"incomplete", true, false, 0},
		{"more ends", false, true, 0},
	} {
		t.Run(c.name+", stop", func(t *testing.T) {
			a, w := newTestControl()
			w.incomplete, w.moreEnds = c.incomplete, c.moreEnds
			a.handleHeartbeat(workerState(born))
			a.stopRun(t.Context(), cfwire.JobStop{Task: cfcore.TaskName{Job: "j"}, Run: 7})
			a.handleEvent(t.Context(), <-a.events)
			NewWithT(t).Expect(a.takeReport().Results).To(HaveLen(c.results))
		})
		t.Run(c.name+", start", func(t *testing.T) {
			a, w := newTestControl()
			w.incomplete, w.moreEnds, w.refusal = c.incomplete, c.moreEnds, cfcore.ExecutorStale
			a.handleHeartbeat(workerState(born))
			a.startRun(t.Context(), cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7})
			a.handleEvent(t.Context(), <-a.events)
			NewWithT(t).Expect(a.takeReport().Results).To(HaveLen(c.results))
		})
	}
}

// A worker with an end that is never acknowledged answers each call at once. The agent must
// not call it again without a delay.
func TestIncompleteRunListsAreNotRequestedAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	a.handleHoldReturned(holdReturned{incarnation: a.fence.currentIncarnation(), token: a.fence.token(a.epoch), lists: cfcore.RunLists{Born: born, Clock: time.Hour, Incomplete: true}})
	g.Expect(a.nextHoldAt).To(BeNumerically(">", a.bootClock.Now()))
	g.Expect(a.lists.Incomplete).To(BeTrue())
}

// The ends that lists leave out when the leases have possibly expired are uncertain like the
// listed ones.
func TestEndsThatAreLeftOutAreUncertain(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	apply := func(clock time.Duration, last uint64, moreEnds bool) {
		l := cfcore.RunLists{Born: born, Clock: clock, Ended: []cfcore.EndedTask{{Number: last}}, MoreEnds: moreEnds}
		a.applyLists(l, a.fence.token(a.epoch))
	}
	apply(2*time.Minute, 500, true)
	a.leasedUntil = time.Hour
	apply(3*time.Minute, 1000, true)
	g.Expect(a.uncertainEnd).To(BeEquivalentTo(1000))
	apply(4*time.Minute, 1200, false)
	g.Expect(a.uncertainEnd).To(BeEquivalentTo(1200))
	apply(5*time.Minute, 1300, false)
	g.Expect(a.uncertainEnd).To(BeEquivalentTo(1200), "ends after the leases were extended")
}

// A heartbeat of an incarnation that starts in the future would make the agent ignore its
// worker until then.
func TestHeartbeatFromTheFutureIsRejected(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	go func() {
		for {
			select {
			case ev := <-a.events:
				a.handleEvent(t.Context(), ev)
			case <-t.Context().Done():
				return
			}
		}
	}()
	g.Expect(registry{a.Agent}.Heartbeat(t.Context(), workerState(time.Now().Add(30*24*time.Hour)))).To(BeFalse())
	g.Expect(registry{a.Agent}.Heartbeat(t.Context(), workerState(time.Now()))).To(BeTrue())
	g.Expect(a.worker.Born).To(BeTemporally("~", time.Now(), time.Minute))
}

// Addresses from another entry that cannot be dialled must not end the process.
func TestMalformedAddressesOfEntries(t *testing.T) {
	for name, addr := range map[string]netip.AddrPort{
		"none":     {},
		"port 0":   netip.MustParseAddrPort("127.0.0.1:0"),
		"no IP":    netip.AddrPortFrom(netip.Addr{}, 80),
		"any IP":   netip.MustParseAddrPort("0.0.0.0:0"),
		"any IPv6": netip.MustParseAddrPort("[::]:0"),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _ := newTestControl()
			ctx, cancel := context.WithCancel(t.Context())
			a.handleEntries(ctx, &cfwire.JobEntries{Addresses: []netip.AddrPort{addr}})
			g.Expect(a.runningDials).To(Equal(1))
			g.Consistently(a.dialDone, "50ms").ShouldNot(Receive(), "the dial loop goes on")
			cancel()
			g.Eventually(a.dialDone).Should(Receive())
		})
	}
}

// An order that a connection held back arrived after the report that all leases have expired, upon
// which the planner had started the task elsewhere.
func TestStartFromBeforeTheLeasesExpiredIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		// after is added to the sequence number of the report that the leases have expired.
		after  int
		known  bool
		starts bool
	}{
		"ordered before the report":         {after: -1, known: true},
		"ordered after the report":          {known: true, starts: true},
		"ordered after a later report":      {after: 1, known: true, starts: true},
		"ordered by an entry of old builds": {starts: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, w := newTestControl()
			clock := fakeBootClock(time.Hour)
			a.bootClock, a.grantedAt, a.answeredAt, a.leaseFrom = &clock, time.Hour, time.Hour-10*time.Second, time.Hour-10*time.Second
			a.worker, a.hasWorker, a.workerClock = workerState(born), true, time.Minute
			r := a.takeReport()
			g.Expect(r.Lost.LeasesExpired).To(BeTrue())
			a.answeredAt = time.Hour
			o := &cfwire.JobOrders{Epoch: a.epoch, Starts: []cfwire.JobStart{{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}}}
			if c.known {
				o.AfterReport = uint64(int(r.Seq) + c.after)
			}
			a.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: o})
			if c.starts {
				g.Eventually(w.started).Should(Receive())
				return
			}
			g.Consistently(w.started, "20ms").ShouldNot(Receive())
			g.Expect(a.takeReport().Results).To(BeEmpty(), "the planner repeats the order if it still wants the run")
		})
	}
}

// The planner repeats an order if the result of a start was lost with its connection. A worker that
// has become unhealthy refuses it, although the run exists. The planner then started the task
// elsewhere as well.
func TestStartIsNotRefusedWhenTheOrderIsRepeatedAfterASuccess(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	a.handleHeartbeat(workerState(born))
	order := cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}
	a.startRun(t.Context(), order)
	a.handleEvent(t.Context(), <-a.events)
	g.Expect(w.started).To(Receive())
	a.takeReport()
	w.refusal = cfcore.ExecutorUnhealthy
	a.startRun(t.Context(), order)
	g.Expect(a.inFlight).To(BeEmpty(), "the worker is not called again")
	g.Expect(a.takeReport().Results).To(Equal([]cfwire.JobOrderResult{{Task: order.Task, Run: 7}}))
}

// The planner repeats an order until it has the result. The repeated order can cross the refusal,
// after which the planner starts the task elsewhere.
func TestRefusedStartIsNotExecutedWhenTheOrderIsRepeated(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock, a.grantedAt, a.startedAt, a.answeredAt = &clock, time.Hour, 0, time.Hour
	a.handleHeartbeat(workerState(born))
	order := cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}
	w.refusal = cfcore.ExecutorNoCapacity
	a.startRun(t.Context(), order)
	a.handleEvent(t.Context(), <-a.events)
	refusal := cfwire.JobOrderResult{Task: order.Task, Run: 7, Refusal: cfcore.ExecutorNoCapacity}
	g.Expect(a.takeReport().Results).To(ConsistOf(refusal))
	w.refusal = ""
	a.startRun(t.Context(), order)
	g.Consistently(w.started, "20ms").ShouldNot(Receive())
	g.Expect(a.takeReport().Results).To(ConsistOf(refusal), "the planner possibly has not received the first one")
	order.Run++
	a.startRun(t.Context(), order)
	g.Eventually(w.started).Should(Receive(HaveField("Run", BeEquivalentTo(8))))
}

// The planner drops a start that a stop has barred, and starts the task again. An order for the first start can arrive
// later, on a former connection, or after it has waited for another call: if the worker has restarted and the agent has
// not noticed it, the worker's next incarnation executed the start as well.
func TestStartThatAStopHasBarredIsNotSent(t *testing.T) {
	for name, refusal := range map[string]cfcore.ExecutorKind{"after a stop": "", "after an answer that it is old": cfcore.ExecutorStale} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, w := newTestControl()
			clock := fakeBootClock(time.Hour)
			a.bootClock, a.grantedAt, a.startedAt, a.answeredAt = &clock, time.Hour, 0, time.Hour
			a.handleHeartbeat(workerState(born))
			order := cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7}
			if w.refusal = refusal; refusal == "" {
				a.stopRun(t.Context(), cfwire.JobStop{Task: order.Task, Run: 7})
			} else {
				a.startRun(t.Context(), order)
			}
			a.handleEvent(t.Context(), <-a.events)
			barred := cfwire.JobOrderResult{Task: order.Task, Run: 7, Refusal: cfcore.ExecutorStale}
			g.Expect(a.takeReport().Results).To(ConsistOf(barred))
			w.refusal = ""
			a.startRun(t.Context(), order)
			g.Consistently(w.started, "20ms").ShouldNot(Receive())
			g.Expect(a.takeReport().Results).To(ConsistOf(barred), "the planner possibly has not received the first one")
		})
	}
}

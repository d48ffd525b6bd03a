package cfjobentry

import (
	"context"
	"net/http"
	"net/http/httptest"
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
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// fakeBootClock is a boot clock that tests set.
type fakeBootClock time.Duration

func (c *fakeBootClock) Now() time.Duration { return time.Duration(*c) }

// newTestControl returns the control of an entry at the time of one minute on its boot clock.
func newTestControl(t *testing.T) (*control, *fakeBootClock) {
	codec, err := cfrecord.NewCodec()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	e := &Entry{
		Common: &cfcommon.Common{Log: zerolog.Nop(), Clock: clockwork.NewFakeClock(), Scope: tally.NoopScope, Codec: codec},
		cfg:    cfconfig.DefaultJobEntry(), codec: cfjob.Codec{Codec: codec}, instance: "i", events: make(chan event, queueCapacity),
	}
	e.cfg.Name = "e"
	e.relay = newRelay(e)
	c := newControl(e)
	clock := fakeBootClock(time.Minute)
	c.bootClock, c.confirmedAt = &clock, time.Minute
	return c, &clock
}

// A planner that was superseded keeps its authority for a while, and other entries may send
// it new jobs.
func TestNewJobsWaitForAgentsWhileAnEarlierPlannerIsInForce(t *testing.T) {
	// The earlier planner has authority for 2 s on a clock that is up to 4 % slow.
	earlierPlanner := 2080*time.Millisecond + authorityMargin
	for name, c := range map[string]struct {
		confirmed time.Duration
		starts    int
	}{
		"the last read was sent before the earlier planner's authority ended": {confirmed: earlierPlanner},
		"the last read was sent later":                                        {confirmed: earlierPlanner + time.Millisecond, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctl, clock := newTestControl(t)
			ctl.stored.Agents = map[string]time.Time{"a": {}, "b": {}}
			ctl.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
			*clock += fakeBootClock(c.confirmed)
			ctl.confirmedAt = ctl.bootTime()
			now := ctl.Clock.Now()
			w := cfcore.WorkerState{ID: "w", Service: "s", Born: now, Clock: time.Hour, Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 1000}}
			ctl.plan.ApplyReport(now, "a", &cfwire.JobReport{Worker: &w, Lists: &cfcore.RunLists{Born: now}})
			ctl.plan.MarkAgentRecorded("a")
			j := &cfjob.Job{ID: "j", Queue: cfjob.Queue{Service: "s"}, Steps: []cfjob.Step{{Count: 1}}, Accepted: now}
			ctl.addJob(&cfjob.StoredJob{Job: j})
			ctl.plan.Plan(now)
			var starts int
			for _, o := range ctl.plan.TakeOrders(now) {
				starts += len(o.Starts)
			}
			g.Expect(starts).To(Equal(c.starts))
		})
	}
}

// A page that does not reach the end of the records can precede the claim of a newer planner.
func TestLeadershipIsConfirmedOnlyByReadsThatReachTheEnd(t *testing.T) {
	g := NewWithT(t)
	c, clock := newTestControl(t)
	*clock += fakeBootClock(time.Second)
	c.handlePageRead(t.Context(), pageRead{from: 0, page: cfcore.StorePage{Next: 1, End: 2}, sentAt: c.bootTime()})
	g.Expect(c.confirmedAt).To(Equal(time.Minute))
	*clock += fakeBootClock(time.Second)
	c.handlePageRead(t.Context(), pageRead{from: 1, page: cfcore.StorePage{Next: 2, End: 3}, sentAt: c.bootTime()})
	g.Expect(c.confirmedAt).To(Equal(time.Minute+time.Second), "the end of the first read is reached")
	c.handlePageRead(t.Context(), pageRead{from: 2, page: cfcore.StorePage{Next: 3, End: 3}, sentAt: c.bootTime()})
	g.Expect(c.confirmedAt).To(Equal(time.Minute + 2*time.Second))
}

// A restarted agent possibly followed a newer planner before.
func TestRestartedAgentGetsOrdersOnceTheLeadershipIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	c, clock := newTestControl(t)
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	first := &link{name: "a", instance: "1", upAt: c.bootTime()}
	g.Expect(c.mayOrder(first)).To(BeTrue())
	*clock += fakeBootClock(time.Second)
	g.Expect(c.mayOrder(&link{name: "a", instance: "1", upAt: c.bootTime()})).To(BeTrue(), "the same instance has connected again")
	restarted := &link{name: "a", instance: "2", upAt: c.bootTime()}
	other := &link{name: "b", instance: "1", upAt: c.bootTime()}
	g.Expect(c.mayOrder(restarted)).To(BeFalse())
	g.Expect(c.mayOrder(other)).To(BeFalse())
	c.confirmedAt = restarted.upAt - 1
	g.Expect(c.mayOrder(restarted)).To(BeFalse(), "the read was sent before the agent connected")
	c.confirmedAt = restarted.upAt
	g.Expect(c.mayOrder(restarted)).To(BeTrue())
	g.Expect(c.mayOrder(other)).To(BeTrue())
	*clock += fakeBootClock(time.Second)
	g.Expect(c.mayOrder(first)).To(BeFalse(), "the earlier instance has ended")
	g.Expect(c.mayOrder(&link{name: "a", instance: "2", upAt: c.bootTime()})).To(BeTrue(), "the instance has had orders")
	c.becomePlanner(cfjob.Claim{Epoch: 3, Instance: "i"})
	*clock += fakeBootClock(time.Second)
	g.Expect(c.mayOrder(&link{name: "a", instance: "2", upAt: c.bootTime()})).To(BeFalse(), "another planner possibly was in force meanwhile")
}

// newAgentLink returns a connection to a stand-in for an agent, and the orders that the agent
// receives.
func newAgentLink(t *testing.T, c *control, instance cfcore.InstanceID) (*link, <-chan *cfwire.JobOrders) {
	opts := cfwire.Options{Codec: c.Codec, Clock: clockwork.NewRealClock(), Self: cfwire.Peer{Role: cfwire.RoleJobs, Name: "a", Instance: instance}}
	orders := make(chan *cfwire.JobOrders, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(context.Background(), w, r, opts)
		if err != nil {
			return
		}
		defer closeConn()
		for {
			m, err := conn.Receive(context.Background())
			if err != nil {
				return
			}
			if m.JobOrders != nil {
				orders <- m.JobOrders
			}
		}
	}))
	t.Cleanup(s.Close)
	conn, closeConn, err := cfwire.Dial(context.Background(), netip.MustParseAddrPort(s.Listener.Addr().String()), opts)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeConn)
	return &link{conn: conn, name: "a", instance: instance}, orders
}

func TestNoOrdersToARestartedAgentBeforeTheLeadershipIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	c, clock := newTestControl(t)
	c.stored.Agents = map[string]time.Time{"a": {}}
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	now := c.Clock.Now()
	c.plan.ApplyReport(now, "a", &cfwire.JobReport{Worker: &cfcore.WorkerState{ID: "w", Born: now}, Lists: &cfcore.RunLists{Born: now}})
	c.plan.MarkAgentRecorded("a")
	// No batch is due.
	c.plan.lastBatchAt = now
	c.plan.MarkEndsRecorded([]cfdispatch.EndedRunsPosition{{Agent: "a", Born: now, Number: 1}})
	*clock += fakeBootClock(time.Second)
	l, orders := newAgentLink(t, c, "2")
	c.handleEvent(t.Context(), linkUp{link: l})
	c.handleEvent(t.Context(), reportReceived{link: l, report: &cfwire.JobReport{Epoch: 2, Ask: 1}})
	c.runPlanningRound(t.Context())
	g.Consistently(orders, "50ms").ShouldNot(Receive())
	c.confirmedAt = c.bootTime()
	c.runPlanningRound(t.Context())
	g.Eventually(orders).Should(Receive(HaveField("Epoch", BeEquivalentTo(2))))
	g.Eventually(orders).Should(Receive(HaveField("RecordedEnd", BeEquivalentTo(1))), "the acknowledgement of the first round was not sent")
	c.handleEvent(t.Context(), reportReceived{link: l, report: &cfwire.JobReport{Epoch: 2, Ask: 2}})
	g.Eventually(orders).Should(Receive(HaveField("Answer", BeEquivalentTo(2))))
}

// An agent ignores starts that were ordered before the planner had its report that all leases have
// expired. It must know which of its reports an order follows.
func TestOrdersSayWhichReportTheyFollow(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	former, formerOrders := newAgentLink(t, c, "1")
	l, orders := newAgentLink(t, c, "2")
	c.handleEvent(t.Context(), reportReceived{link: former, report: &cfwire.JobReport{Epoch: 2, Seq: 90}})
	c.handleEvent(t.Context(), reportReceived{link: l, report: &cfwire.JobReport{Epoch: 2, Seq: 8}})
	c.handleEvent(t.Context(), reportReceived{link: l, report: &cfwire.JobReport{Epoch: 2, Seq: 7}})
	c.sendOrders(l, &cfdispatch.Orders{})
	g.Eventually(orders).Should(Receive(HaveField("AfterReport", BeEquivalentTo(8))))
	c.sendOrders(former, &cfdispatch.Orders{})
	g.Eventually(formerOrders).Should(Receive(HaveField("AfterReport", BeZero())), "the report of another instance")
}

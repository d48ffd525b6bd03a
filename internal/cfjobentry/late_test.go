package cfjobentry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// appendingStore accepts all appends.
type appendingStore struct{ cfcore.Store }

func (appendingStore) Append(context.Context, cfcore.Topic, []cfcore.KeyedRecord, cfcore.AppendOptions) (int64, error) {
	return 0, nil
}

// A planner that cannot read the claim of a newer one polls other entries for as long as the store
// rejects it. An entry that takes these polls for a sign of the newer planner does not replace that
// one when it falls silent, and no task starts.
func TestPollOfAFormerPlannerDoesNotDelayAClaim(t *testing.T) {
	for name, test := range map[string]struct {
		epoch  cfcore.Epoch
		claims bool
	}{
		"poll of the former planner":  {epoch: 3, claims: true},
		"poll of the current planner": {epoch: 4},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newTestControl(t)
			c.Store = appendingStore{}
			c.synced.Store(true)
			c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
			c.plannerSeenAt = c.Clock.Now()
			c.Clock.(*clockwork.FakeClock).Advance(2 * c.cfg.Planning.Silence)
			peer := &otherEntry{g: g, opts: cfwire.Options{Codec: c.Codec, Clock: c.Clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
			c.handleEvent(t.Context(), pollReceived{conn: peer.connect(t, nil), poll: &cfwire.JobPoll{Epoch: test.epoch}})
			c.claimIfNoPlanner(t.Context())
			g.Expect(c.claimInFlight).To(Equal(test.claims))
		})
	}
}

// An entry that the store rejects learns of a newer planner from another entry. Its promise to the
// former planner, which the store rejects as well, kept that one in force beside the newer one.
func TestNoPromiseToTheFormerPlannerOfANamedOne(t *testing.T) {
	for name, test := range map[string]struct {
		epoch    cfcore.Epoch
		promises bool
	}{
		"poll of the former planner": {epoch: 3},
		"poll of the named planner":  {epoch: 4, promises: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, clock := newTestControl(t)
			c.stored.Planner = cfjob.Claim{Epoch: 3, Instance: "former", Address: netip.MustParseAddrPort("127.0.0.1:8")}
			c.peerClaim = cfjob.Claim{Epoch: 4, Address: netip.MustParseAddrPort("127.0.0.1:9")}
			*clock += fakeBootClock(storeFreshFor)
			seenAt := c.plannerSeenAt
			peer := &otherEntry{g: g, opts: cfwire.Options{Codec: c.Codec, Clock: c.Clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
			c.Clock.(*clockwork.FakeClock).Advance(time.Second)
			c.handleEvent(t.Context(), pollReceived{conn: peer.connect(t, nil), poll: &cfwire.JobPoll{Epoch: test.epoch}})
			g.Expect(c.noClaimBefore > 0).To(Equal(test.promises))
			g.Expect(c.plannerSeenAt.After(seenAt)).To(Equal(test.promises))
		})
	}
}

// The store and another entry deliver configurations in two goroutines. The older one's event can
// be queued after the newer one's. A planner that applies it starts tasks on workers of a service
// to which the queue no longer leads.
func TestOlderConfigurationThatArrivesLateIsIgnored(t *testing.T) {
	g := NewWithT(t)
	c := newStartedRun(t)
	config := func(version uint64, service string) *cfjob.Config {
		return &cfjob.Config{Version: version, Queues: []cfjob.Queue{{Name: "q", Service: service}}}
	}
	newest := config(6, "new")
	now := c.Clock.Now()
	job := &cfjob.Job{ID: "k", Queue: cfjob.Queue{Name: "q", Service: "s"}, Steps: []cfjob.Step{{Count: 1}}, Accepted: now}
	c.plan.AddJob(now, &cfjob.StoredJob{Job: job}, job.Queue, false)
	c.config.Store(&configRecord{Config: newest})
	c.handleEvent(t.Context(), configChanged{config: newest})
	c.handleEvent(t.Context(), configChanged{config: config(5, "s")})
	c.plan.Plan(now)
	for _, o := range c.plan.TakeOrders(now) {
		for _, s := range o.Starts {
			g.Expect(s.Task).To(Equal(c.run.Task), "the only worker has the service of the older configuration")
		}
	}
}

// The control goroutine receives the configuration of another entry. It must not wait for room in
// its own queue, which is full after the process stood still: nothing else takes events from it.
func TestConfigurationOfAnotherEntryWithAFullQueue(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.DecodeConfig = func([]byte) (*cfjob.Config, error) { return &cfjob.Config{Version: 7}, nil }
	for range queueCapacity {
		c.events <- plannerMessage{}
	}
	peer := &otherEntry{g: g, opts: cfwire.Options{Codec: c.Codec, Clock: c.Clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
	conn := peer.connect(t, nil)
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		c.handleEvent(t.Context(), configPart{conn: conn, part: &cfwire.JobConfig{Version: 7, Size: 2, Part: []byte("{}")}})
	}()
	g.Eventually(handled, "2s").Should(BeClosed())
}

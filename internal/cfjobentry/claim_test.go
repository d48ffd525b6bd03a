package cfjobentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
)

// Once the planner is gone, the entry of the lowest rank claims without delay. It repeated a claim that
// failed at once, several thousand times per second.
func TestClaimIsRepeatedAfterADelay(t *testing.T) {
	for name, test := range map[string]struct {
		kind  cfcore.StoreKind
		delay time.Duration
	}{
		"no answer":                {kind: cfcore.StoreOutcomeUnknown, delay: retryDelay},
		"rejected":                 {kind: cfcore.StoreRejected, delay: retryDelay},
		"conflict":                 {kind: cfcore.StoreConflict},
		"stored, but not read yet": {delay: retryDelay},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, clock := newTestControl(t)
			c.Store = appendingStore{}
			c.synced.Store(true)
			c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
			c.goneEpoch = 4
			c.claimIfNoPlanner(t.Context())
			g.Expect(c.claimInFlight).To(BeTrue())
			var err error
			if test.kind != "" {
				err = cferror.New("append records", test.kind, "x")
			}
			c.handleEvent(t.Context(), claimAppended{offset: 0, err: err})
			c.stored.Next = 1
			c.claimIfNoPlanner(t.Context())
			g.Expect(c.claimInFlight).To(Equal(test.delay == 0))
			*clock += fakeBootClock(test.delay)
			c.claimIfNoPlanner(t.Context())
			g.Expect(c.claimInFlight).To(BeTrue())
		})
	}
}

// Starts that the planner before orders from then on are not on record. A claim without an answer is possibly stored,
// until another record is read at its offset.
func TestPlannerKnowsWhenItsClaimWasSent(t *testing.T) {
	for name, test := range map[string]struct {
		kind  cfcore.StoreKind
		next  int64
		first bool
	}{
		"no answer":                             {kind: cfcore.StoreOutcomeUnknown, first: true},
		"no answer, another record was stored":  {kind: cfcore.StoreOutcomeUnknown, next: 1},
		"a conflict with another record":        {kind: cfcore.StoreConflict, next: 1},
		"rejected, and sent again at the start": {kind: cfcore.StoreRejected, first: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, clock := newTestControl(t)
			c.Store = appendingStore{}
			c.synced.Store(true)
			c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
			c.goneEpoch = 4
			sentAt := c.Clock.Now()
			c.claimIfNoPlanner(t.Context())
			c.handleEvent(t.Context(), claimAppended{offset: 0, err: cferror.New("append records", test.kind, "x")})
			c.Clock.(*clockwork.FakeClock).Advance(time.Second)
			*clock += fakeBootClock(time.Second)
			c.stored.Next = test.next
			c.claimIfNoPlanner(t.Context())
			g.Expect(c.claimInFlight).To(BeTrue())
			if !test.first {
				sentAt = sentAt.Add(time.Second)
			}
			g.Expect(c.claimedAt(cfjob.Claim{Epoch: 5})).To(Equal(sentAt))
			g.Expect(c.claimedAt(cfjob.Claim{Epoch: 6})).To(BeZero())
		})
	}
}

// Its agents' records then have all late starts. Planners before it possibly still order starts.
func TestPlannerKnowsWhetherThoseBeforeHadEndedAtItsClaim(t *testing.T) {
	for name, test := range map[string]struct {
		gone  cfcore.Epoch
		own   bool
		read  time.Duration
		ended bool
	}{
		"the planner is silent":                       {gone: 3, read: 3 * time.Second},
		"it has ended, its claim was not read":        {gone: 4},
		"it was this entry's former instance":         {gone: 3, own: true, read: 3 * time.Second, ended: true},
		"it has ended long after its claim":           {gone: 4, read: 3 * time.Second, ended: true},
		"it has ended while the one before can order": {gone: 4, read: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newTestControl(t)
			c.Store = appendingStore{}
			c.synced.Store(true)
			c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
			if test.own {
				c.stored.Planner.Address = c.cfg.Inner
			}
			if test.read > 0 {
				c.newestClaimRead = claimRead{epoch: 4, at: c.Clock.Now().Add(-test.read)}
			}
			c.goneEpoch = test.gone
			c.appendClaim(t.Context(), 5)
			c.goneEpoch = 4
			g.Expect(c.sentClaim.predecessorEnded).To(Equal(test.ended))
		})
	}
}

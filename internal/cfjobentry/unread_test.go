package cfjobentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// A planner that the store rejects goes on giving orders as long as all entries that it knows of promise
// not to claim. It does not know of an entry whose record it has not read.
func TestNoClaimBeforeThePlannerKnowsTheEntry(t *testing.T) {
	planner := cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	const outage = time.Duration(float64(maxOutage)*(1+clockSlack)) + authorityMargin
	for name, test := range map[string]struct {
		poll   *cfwire.JobPoll
		gone   bool
		wait   time.Duration
		claims bool
	}{
		"no poll":                           {wait: 10 * time.Second},
		"a poll without the record":         {poll: &cfwire.JobPoll{Epoch: 4, ReadTo: 7}, wait: 10 * time.Second},
		"a poll of a former planner":        {poll: &cfwire.JobPoll{Epoch: 3, ReadTo: 8}, wait: 10 * time.Second},
		"a poll with the record":            {poll: &cfwire.JobPoll{Epoch: 4, ReadTo: 8}, wait: 10 * time.Second, claims: true},
		"the planner is gone":               {gone: true, claims: true},
		"shortly before the authority ends": {wait: outage - time.Millisecond},
		"the planner's authority has ended": {wait: outage, claims: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, clock := newTestControl(t)
			c.Store = appendingStore{}
			c.synced.Store(true)
			c.stored.Planner, c.stored.Next = planner, 7
			r, err := c.codec.Entry(c.cfg.Name, &cfjob.EntryInfo{Instance: c.instance, Address: netip.MustParseAddrPort("127.0.0.1:11")})
			g.Expect(err).NotTo(HaveOccurred())
			r.Offset = 7
			c.handlePageRead(t.Context(), pageRead{from: 7, page: cfcore.StorePage{Records: []cfcore.KeyedRecord{r}, Next: 8, End: 8}})
			if test.poll != nil {
				peer := &otherEntry{g: g, opts: cfwire.Options{Codec: c.Codec, Clock: c.Clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
				c.handleEvent(t.Context(), pollReceived{conn: peer.connect(t, nil), poll: test.poll})
			}
			if test.gone {
				c.handleEvent(t.Context(), plannerGone{epoch: planner.Epoch})
			}
			c.Clock.(*clockwork.FakeClock).Advance(2*c.cfg.Planning.Silence + test.wait)
			*clock += fakeBootClock(test.wait)
			c.confirmedAt = c.bootTime()
			c.claimIfNoPlanner(t.Context())
			g.Expect(c.claimInFlight).To(Equal(test.claims))
		})
	}
}

// A planner whose claim follows the record has read it.
func TestClaimAfterAPlannerThatKnowsTheEntry(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.Store = appendingStore{}
	c.synced.Store(true)
	c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	entry, err := c.codec.Entry(c.cfg.Name, &cfjob.EntryInfo{Instance: c.instance, Address: netip.MustParseAddrPort("127.0.0.1:11")})
	g.Expect(err).NotTo(HaveOccurred())
	claim, err := c.codec.Claim(&cfjob.Claim{Epoch: 5, Instance: "another", Address: netip.MustParseAddrPort("127.0.0.1:10")})
	g.Expect(err).NotTo(HaveOccurred())
	claim.Offset = 1
	c.handlePageRead(t.Context(), pageRead{page: cfcore.StorePage{Records: []cfcore.KeyedRecord{entry, claim}, Next: 2, End: 2}})
	t.Cleanup(func() { c.stopWatching() })
	c.Clock.(*clockwork.FakeClock).Advance(2 * c.cfg.Planning.Silence)
	c.claimIfNoPlanner(t.Context())
	g.Expect(c.claimInFlight).To(BeTrue())
}

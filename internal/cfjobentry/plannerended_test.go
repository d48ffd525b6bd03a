package cfjobentry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
)

// A planner that has ended neither answers agents nor orders starts. The planner after it need not wait until its
// authority would have ended, but it does wait for the authority of the planners before.
func TestPlannerDoesNotWaitForTheAuthorityOfAPlannerThatHasEnded(t *testing.T) {
	const authority = 2*time.Second + 80*time.Millisecond + authorityMargin
	for name, test := range map[string]struct {
		gone cfcore.Epoch
		// The claim before the entry's own one is read earlier by claimAge, and its planner's end is known
		// for goneFor.
		claimAge, goneFor, wait time.Duration
	}{
		"it ended long after its claim":      {gone: 4, claimAge: time.Minute, goneFor: 700 * time.Millisecond, wait: authorityMargin - 700*time.Millisecond},
		"it ended soon after its claim":      {gone: 4, claimAge: time.Second, goneFor: 700 * time.Millisecond, wait: authority - time.Second},
		"it is silent":                       {gone: 0, claimAge: time.Minute, wait: authority},
		"only a planner before it has ended": {gone: 3, claimAge: time.Minute, goneFor: 700 * time.Millisecond, wait: authority},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, _ := newTestControl(t)
			clock := clockwork.NewFakeClock()
			c.Clock = clock
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			read := func(claim cfjob.Claim) {
				r, err := c.codec.Claim(&claim)
				g.Expect(err).NotTo(HaveOccurred())
				r.Offset = c.stored.Next
				c.handlePageRead(ctx, pageRead{from: r.Offset, page: cfcore.StorePage{Records: []cfcore.KeyedRecord{r}, Next: r.Offset + 1, End: r.Offset + 1}})
			}
			c.stored.Agents = map[string]time.Time{"a": clock.Now()}
			read(cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")})
			clock.Advance(test.claimAge - test.goneFor)
			c.handleEvent(ctx, plannerGone{epoch: test.gone})
			clock.Advance(test.goneFor)
			read(cfjob.Claim{Epoch: 5, Instance: c.instance, Address: netip.MustParseAddrPort("127.0.0.1:10")})
			g.Expect(c.plan).NotTo(BeNil())
			absences := c.plan.HandOver()
			g.Expect(absences).To(HaveLen(1))
			leases := cfdispatch.Settings{GrantTime: c.cfg.Lease.Grant, LeaseTime: c.cfg.Lease.Lease}.LeaseExpiryTime()
			g.Expect(absences[0].LeasesUntil.Sub(clock.Now()) - leases).To(BeNumerically("~", test.wait, 50*time.Millisecond))
		})
	}
}

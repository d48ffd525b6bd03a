package cfjobentry

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// This entry has just started and read epoch 4, whose claim can be 0.1 s old: the planner of epoch 3 still has authority.
func TestPlannerBeforeARestoredClaimPossiblyHasAuthority(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	c.recordClaimRead(true)
	c.markPlannerGone(4)
	g.Expect(c.authorityEnd(5, c.othersFor()).Sub(c.Clock.Now())).To(BeNumerically(">", 0))
	c.claimReadBefore = c.newestClaimRead
	g.Expect(c.authorityEnd(5, c.othersFor()).Sub(c.Clock.Now())).To(BeNumerically("~", c.othersFor(), time.Millisecond))
	g.Expect(c.predecessorEnded(5)).To(BeFalse(), "the planner of epoch 3 possibly has authority")

	// The planner of epoch 4 has recorded readings of the planners' clock for long.
	c.stored.Planner.Elapsed, c.clock.reading.Elapsed = time.Minute, 2*time.Minute
	g.Expect(c.predecessorEnded(5)).To(BeTrue())
}

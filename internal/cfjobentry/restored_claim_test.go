package cfjobentry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// This entry has just started and read epoch 4, whose claim can be 0.1 s old: the planner of epoch 3 still has authority.
func TestPlannerBeforeARestoredClaimPossiblyHasAuthority(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	c.recordClaimRead()
	c.markPlannerGone(4)
	g.Expect(c.authorityEnd(5, c.othersFor()).Sub(c.Clock.Now())).To(BeNumerically(">", 0))
	c.claimReadBefore = c.newestClaimRead
	g.Expect(c.authorityEnd(5, c.othersFor()).Sub(c.Clock.Now())).To(BeNumerically("~", c.othersFor(), time.Millisecond))
	g.Expect(c.predecessorEnded(5)).To(BeFalse(), "the planner of epoch 3 possibly has authority")

	// The reading is that of the planner before: its clock was possibly ahead of the one of epoch 4.
	c.stored.Planner.Elapsed, c.clock.reading = time.Minute, cfjob.PlannerClock{Epoch: 3, Elapsed: 2 * time.Minute}
	g.Expect(c.predecessorEnded(5)).To(BeFalse())

	// The planner of epoch 4 has recorded readings of the planners' clock for long.
	c.clock.reading.Epoch = 4
	g.Expect(c.predecessorEnded(5)).To(BeTrue())
}

// All machines have lost power, and another entry sends the claim before this one has read the state.
func TestAgeOfAClaimIsKnownAlthoughAnotherEntrySentItFirst(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.Store, c.submissions = appendingStore{}, newAppender(c.Entry)
	claim := cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9"), Elapsed: time.Minute}
	r, err := c.codec.Claim(&claim)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.handleEvent(ctx, recordsStored{records: []cfcore.KeyedRecord{r}})
	stored := cfjob.NewStoreState(c.codec)
	reading, err := c.codec.PlannerClock(cfjob.PlannerClock{Epoch: 4, Elapsed: 2 * time.Minute})
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range []cfcore.KeyedRecord{r, reading} {
		_, err := stored.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
	}
	c.handleEvent(ctx, restored{stored: stored})
	c.markPlannerGone(4)
	g.Expect(c.predecessorEnded(5)).To(BeTrue())
}

func TestFirstPlannerHasEndedAlthoughItsClaimIsNew(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.stored.Planner = cfjob.Claim{Epoch: 1, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	c.recordClaimRead()
	g.Expect(c.predecessorEnded(2)).To(BeFalse())
	c.markPlannerGone(1)
	g.Expect(c.predecessorEnded(2)).To(BeTrue())
	g.Expect(c.predecessorMarked()).To(BeTrue())
}

package cfjobentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// Epoch 3 marked its records, and gave orders for up to 2.4 s after the claim of epoch 4, which are not on record. The planner of
// epoch 4 ended within its first second. That it had ended says nothing of the starts of epoch 3.
func TestRecordsOfASupersededPlannerAreIncompleteAlthoughItsSuccessorHasEnded(t *testing.T) {
	g := NewWithT(t)
	c, boot := newTestControl(t)
	clock := c.Clock.(*clockwork.FakeClock)
	c.Store = appendingStore{}
	advance := func(d time.Duration) {
		clock.Advance(d)
		*boot += fakeBootClock(d)
	}
	advance(time.Hour)
	mark, err := c.codec.RecordsMark(clock.Now())
	g.Expect(err).NotTo(HaveOccurred())
	agent, err := c.codec.Agent("a", clock.Now())
	g.Expect(err).NotTo(HaveOccurred())
	agent.Offset, mark.Offset = 0, 1
	c.handlePageRead(t.Context(), pageRead{page: cfcore.StorePage{Records: []cfcore.KeyedRecord{agent, mark}, Next: 2, End: 2}})
	advance(50 * time.Millisecond)
	c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	c.recordClaimRead()
	advance(500 * time.Millisecond)
	c.markPlannerGone(4)
	advance(c.othersFor() - 400*time.Millisecond)
	c.appendClaim(t.Context(), 5)
	g.Expect(c.sentClaim.predecessorEnded).To(BeTrue())
	advance(50 * time.Millisecond)
	c.stored.Planner = cfjob.Claim{Epoch: 5, Instance: c.instance}
	c.recordClaimRead()
	c.handlePlannerChange(t.Context())
	advance(500 * time.Millisecond)
	c.reportRestarted("a")
	c.plan.MarkAgentRecorded("a")
	late := c.plan.TakeAgentRecords(clock.Now())
	g.Expect(late).To(HaveLen(1), "the starts of epoch 3 are unknown")
	g.Expect(late[0].HasLateStarts).To(BeTrue())
}

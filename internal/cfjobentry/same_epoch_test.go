package cfjobentry

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// An entry reads the whole store again. Meanwhile a request for an unknown job reads the entry's
// own claim, and the entry appends records as the planner. The state that it has read is older than
// the claim. If the entry became the planner of the same epoch once more, it would use the sequence
// numbers again, and the store would confirm its next records without storing them.
func TestEntryUsesSequenceNumbersOfAnEpochOnce(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	c.submissions, c.cfg.Inner = newAppender(c.Entry), netip.MustParseAddrPort("127.0.0.1:9")
	c.synced.Store(true)
	claim := func(epoch cfcore.Epoch, instance string) cfcore.KeyedRecord {
		r, err := c.codec.Claim(&cfjob.Claim{Epoch: epoch, Instance: instance, Address: c.cfg.Inner})
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	older := cfjob.NewStoreState(c.codec)
	_, err := older.Apply(claim(4, "other"))
	g.Expect(err).NotTo(HaveOccurred())
	own := claim(5, "i")
	page := pageRead{page: cfcore.StorePage{Records: []cfcore.KeyedRecord{own}, Next: 1, End: 1}}
	c.handlePageRead(t.Context(), page)
	g.Expect(c.plan).NotTo(BeNil())
	first := c.plan.sequence
	c.plan.sequence += 3
	c.handleRestored(t.Context(), restored{stored: older, sentAt: c.bootTime()})
	c.handlePageRead(t.Context(), page)
	if c.plan != nil {
		g.Expect(c.plan.sequence).To(BeNumerically(">", first), "the sequence numbers are used")
	}
}

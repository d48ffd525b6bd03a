package cfjobentry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
)

// The store takes a batch long after it was first sent. The mark in it is as old as the batch, also on a machine whose
// clock is behind.
func TestMarkThatWasStoredLateIsAsOldAsItsBatch(t *testing.T) {
	g := NewWithT(t)
	c, _ := newTestControl(t)
	clock := c.Clock.(*clockwork.FakeClock)
	clock.Advance(time.Hour)
	const inFlight, behind = 2 * time.Second, 2 * time.Second
	markedAt := clock.Now()
	r, err := c.codec.RecordsMark(markedAt.Add(behind))
	g.Expect(err).NotTo(HaveOccurred())
	clock.Advance(inFlight)
	c.handlePageRead(t.Context(), pageRead{page: cfcore.StorePage{Records: []cfcore.KeyedRecord{r}, Next: 1, End: 1}})
	g.Expect(c.recordsAge()).To(BeNumerically(">=", inFlight))
}

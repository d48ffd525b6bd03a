package cfjobentry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// This entry restarts alone, while the planner gives orders in an outage of the store. The time for which this entry was
// down is then no time in which no start was sent.
func TestRecordsAgeInFullWhileThisEntryAloneWasDown(t *testing.T) {
	g := NewWithT(t)
	c, boot := newTestControl(t)
	clock := c.Clock.(*clockwork.FakeClock)
	c.stored.Planner = cfjob.Claim{Epoch: 4, Instance: "other", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	c.stored.MarkedAt = c.startedAt.Add(-9 * time.Second)
	c.observeMark()
	c.handleEvent(t.Context(), plannerMessage{epoch: 4})
	clock.Advance(500 * time.Millisecond)
	*boot += fakeBootClock(500 * time.Millisecond)
	g.Expect(c.recordsAge()).To(BeNumerically(">=", 9500*time.Millisecond))
	g.Expect(c.recordsValid()).To(BeFalse())
}

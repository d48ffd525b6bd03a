package cfjobentry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// After a loss of power an agent begins below the sessions of its former instance, whose late orders a worker would then
// execute beside those of the present one.
func TestPlannerPassesOnTheSessionsOfAnAgentsFormerInstance(t *testing.T) {
	g := NewWithT(t)
	c, boot := newTestControl(t)
	c.becomePlanner(cfjob.Claim{Epoch: 2, Instance: "i"})
	report := func(l *link, ask, session uint64) {
		c.handleEvent(t.Context(), linkUp{link: l})
		c.confirmedAt = c.bootTime()
		c.handleEvent(t.Context(), reportReceived{link: l, report: &cfwire.JobReport{Epoch: 2, Seq: ask, Ask: ask, Session: session}})
	}
	first, firstOrders := newAgentLink(t, c, "1")
	report(first, 1, 700)
	g.Eventually(firstOrders).Should(Receive(And(HaveField("Answer", BeEquivalentTo(1)), HaveField("SessionFloor", BeZero()))))
	*boot += fakeBootClock(time.Second)
	next, nextOrders := newAgentLink(t, c, "2")
	report(next, 2, 30)
	g.Eventually(nextOrders).Should(Receive(And(HaveField("Answer", BeEquivalentTo(2)), HaveField("SessionFloor", BeEquivalentTo(700+cfwire.SessionMargin)))))
}

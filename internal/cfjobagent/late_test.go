package cfjobagent

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfwire"
)

// An entry that the store rejects has an old list of entries, which lacks the address of a newer
// planner. An agent that applies it closes its connection to that planner, and all its leases
// expire.
func TestListOfALaggingEntryKeepsTheConnectionToThePlanner(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	ctx, cancel := context.WithCancel(t.Context())
	old, planner := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	a.handleMessage(ctx, &link{}, &cfwire.Message{JobEntries: &cfwire.JobEntries{Epoch: 5, Planner: planner, Addresses: []netip.AddrPort{old, planner}}})
	a.handleMessage(ctx, &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 5}})
	a.handleMessage(ctx, &link{}, &cfwire.Message{JobEntries: &cfwire.JobEntries{Epoch: 4, Planner: old, Addresses: []netip.AddrPort{old}}})
	g.Expect(a.dialCancels).To(HaveKey(planner))
	cancel()
	for a.runningDials > 0 {
		g.Eventually(a.dialDone).Should(Receive())
		a.runningDials--
	}
}

// A worker announces that it leaves, without saying which incarnation it is. The announcement can
// arrive after the first heartbeat of a new incarnation with the same ID, for example if the agent
// stood still. A worker that is taken for gone until its next restart runs nothing.
func TestLateGoodbyeOfAnEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	s := workerState(born.Add(time.Minute))
	a.handleHeartbeat(s)
	a.handleWorkerLeft(s.ID)
	for range 3 {
		s.Sequence++
		s.Clock += time.Second
		a.handleHeartbeat(s)
	}
	g.Expect(a.hasLeft).To(BeFalse(), "a worker that has left sends no further heartbeats")
}

package cfjobagent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Before an agent learns that its worker has restarted with the same ID, it extends leases by the
// clock of the former incarnation, up to the longest lease. An agent that restarts right after that
// reported the leases as expired too early, and the planner started tasks again that still ran.
func TestRestartedAgentWaitsForLongLeases(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock, a.answeredAt, a.leaseFrom = &clock, time.Hour, time.Hour
	s := workerState(born)
	s.Clock = 2 * time.Second
	a.handleHeartbeat(s)
	clock += fakeBootClock(6 * time.Second)
	g.Expect(a.takeReport().Lost).To(HaveField("LeasesExpired", BeFalse()), "leases of up to %s are possible", cfcore.MaxLease)
}

// A goodbye of a former incarnation with the same ID makes the agent accept a late check-in of
// another one if the next call gets no answer. A lease by its clock lasts up to the longest lease.
func TestLateCheckInDoesNotExtendLeases(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	a.handleHeartbeat(workerState(born.Add(time.Minute)))
	s := workerState(born.Add(2 * time.Minute))
	s.Clock = 2 * time.Second
	a.handleHeartbeat(s)
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch),
		lists: cfcore.RunLists{Born: s.Born, Clock: s.Clock},
	})
	g.Expect(a.leaseUntil()).To(Equal(s.Clock + a.cfg.Lease.Lease))
	a.handleWorkerLeft("w")
	a.handleHeartbeat(workerState(born))
	a.handleHoldReturned(holdReturned{
		incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch),
		err: cferror.New("hold", cfcore.ExecutorOutcomeUnknown, "no answer"),
	})
	g.Expect(a.leaseUntil()).To(BeNumerically("<=", s.Clock+a.cfg.Lease.Lease))
}

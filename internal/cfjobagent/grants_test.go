package cfjobagent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfwire"
)

// Planners count the leases on a worker that does not respond by the agent's report. A permission from before,
// or one that was requested meanwhile, would let the agent extend leases that count as expired.
func TestPermissionsOfTheTimeWithoutResponsesDoNotCountAfterwards(t *testing.T) {
	for name, test := range map[string]struct {
		silence time.Duration
		counts  bool
	}{
		"the worker has responded":     {silence: unreachableAfter, counts: true},
		"the worker has not responded": {silence: unreachableAfter + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, _, clock := newStartingControl()
			l := &link{}
			answer := func(n uint64) {
				a.handleMessage(t.Context(), l, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: a.epoch, Answer: n}})
			}
			a.recordAnswer(born)
			*clock += fakeBootClock(test.silence)
			a.lastGrantRequestAt = 0
			r := a.takeReport()
			g.Expect(r.Lost != nil).To(Equal(!test.counts))
			if r.Lost != nil {
				g.Expect(r.Lost.LeasesFor).To(Equal(leaseExpiry(a.cfg.Lease.Lease) - (a.bootClock.Now() - a.leaseFrom)))
			}
			a.recordAnswer(born)
			a.workerClock = time.Hour
			answer(r.Ask)
			g.Expect(a.leaseUntil() > 0).To(Equal(test.counts))
			r = a.takeReport()
			g.Expect(r.Ask).To(BeNumerically(">", 0), "it asks again at once")
			answer(r.Ask)
			g.Expect(a.leaseUntil()).To(BeNumerically(">", 0))
		})
	}
}

package cfadmit_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfadmit"
	"cranberryford/pkg/cfwire"
)

func TestGateLimits(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	gate := cfadmit.NewGate(2, 3, clock)
	deadline := clock.Now().Add(time.Hour)
	ctx, cancel := context.WithCancel(context.Background())
	done1, r := gate.Enter(ctx, deadline)
	g.Expect(r).To(Equal(cfadmit.Admitted))
	_, r = gate.Enter(ctx, deadline)
	g.Expect(r).To(Equal(cfadmit.Admitted))

	waited := make(chan cfadmit.Refusal, 1)
	go func() {
		_, r := gate.Enter(ctx, deadline)
		waited <- r
	}()
	g.Eventually(gate.InFlight).Should(Equal(3))
	_, r = gate.Enter(ctx, deadline)
	g.Expect(r).To(Equal(cfadmit.RefusedFull))

	done1()
	g.Eventually(waited).Should(Receive(Equal(cfadmit.Admitted)))
	gate.SetDraining(true)
	_, r = gate.Enter(ctx, deadline)
	g.Expect(r).To(Equal(cfadmit.RefusedDraining))
	cancel()
}

func TestGateAdmitsByDeadline(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	gate := cfadmit.NewGate(1, 10, clock)
	ctx := context.Background()
	done, _ := gate.Enter(ctx, clock.Now().Add(time.Hour))
	order := make(chan int, 3)
	for i, d := range []time.Duration{30, 10, 20} {
		before := gate.InFlight()
		go func() {
			done, r := gate.Enter(ctx, clock.Now().Add(d*time.Minute))
			if r == cfadmit.Admitted {
				order <- i
				done()
			}
		}()
		g.Eventually(gate.InFlight).Should(Equal(before + 1))
	}
	done()
	for _, want := range []int{1, 2, 0} {
		g.Eventually(order).Should(Receive(Equal(want)))
	}
}

func TestGateRefusesLateCalls(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	gate := cfadmit.NewGate(1, 10, clock)
	ctx := context.Background()
	done, _ := gate.Enter(ctx, clock.Now().Add(time.Hour))
	clock.Advance(100 * time.Millisecond)
	done() // the average time of a call is now 100 ms
	done, _ = gate.Enter(ctx, clock.Now().Add(time.Hour))
	_, r := gate.Enter(ctx, clock.Now().Add(50*time.Millisecond))
	g.Expect(r).To(Equal(cfadmit.RefusedLate), "the call would miss its deadline")

	waited := make(chan cfadmit.Refusal, 1)
	deadline := clock.Now().Add(300 * time.Millisecond)
	go func() {
		_, r := gate.Enter(ctx, deadline)
		waited <- r
	}()
	g.Eventually(gate.InFlight).Should(Equal(2))
	clock.Advance(250 * time.Millisecond)
	done()
	g.Eventually(waited).Should(Receive(Equal(cfadmit.RefusedLate)), "the slot became free too late")

	_, r = gate.Enter(ctx, clock.Now().Add(time.Millisecond))
	g.Expect(r).To(Equal(cfadmit.Admitted), "a call is not refused as late while a slot is free")
}

func TestCallsExecuteOnce(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	calls := cfadmit.NewCalls(time.Minute, 100, clock)
	id := cfwire.CallID{1}
	var got []*cfwire.Answer
	reply := func(a *cfwire.Answer) { got = append(got, a) }
	g.Expect(calls.Begin(id, func() {}, reply)).To(BeTrue())
	g.Expect(calls.Begin(id, func() {}, reply)).To(BeFalse())
	calls.Finish(&cfwire.Answer{ID: id, Verdict: cfwire.VerdictAnswered, Body: []byte("b")})
	g.Expect(got).To(HaveLen(2), "the answer goes to both connections")
	g.Expect(calls.Begin(id, func() {}, reply)).To(BeFalse())
	g.Expect(got).To(HaveLen(3))

	big := cfwire.CallID{2}
	calls.Begin(big, func() {}, reply)
	calls.Finish(&cfwire.Answer{ID: big, Verdict: cfwire.VerdictAnswered, Body: make([]byte, 200)})
	calls.Begin(id, func() {}, reply)
	g.Expect(got[len(got)-1].Verdict).To(Equal(cfwire.VerdictUnknown), "the body is dropped, but the call stays deduplicated")
	g.Expect(calls.InFlight()).To(BeZero())
}

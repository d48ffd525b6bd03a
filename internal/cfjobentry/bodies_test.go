package cfjobentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// largestBody is the platform's limit of a body.
const largestBody = 256 << 10

// The bodies of all submissions were read at once.
func TestBodiesInFlightStayWithinTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctl, _ := newTestControl(t)
		ctl.bodies = newBodyLimiter(160)
		releases := make(chan func(), 300)
		refused := cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: bodyRetryAfter}
		replies := make(chan cfjob.Reply, 300)
		for range 300 {
			go func() {
				release, reply := ctl.Admit(t.Context(), largestBody)
				if release != nil {
					releases <- release
				}
				replies <- reply
			}()
			synctest.Wait()
		}
		// 16 MB are enough for 10 bodies, and 8 times as many wait.
		g.Expect(releases).To(HaveLen(10))
		g.Expect(replies).To(HaveLen(300 - 85))
		for range 300 - 85 {
			if reply := <-replies; reply.Verdict == cfjob.VerdictRefused {
				g.Expect(reply).To(Equal(refused))
			}
		}
		for len(releases) > 0 {
			(<-releases)()
			synctest.Wait()
		}
		g.Expect(replies).To(HaveLen(85))
		for range 85 {
			g.Expect(<-replies).To(Equal(cfjob.Reply{}))
		}
		release, reply := ctl.Admit(t.Context(), largestBody)
		g.Expect(reply).To(Equal(cfjob.Reply{}), "after all others")
		release()
	})
}

func TestWaitForBodyMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctl, _ := newTestControl(t)
		ctl.bodies = newBodyLimiter(64)
		// A body for which the limit is too low is in flight alone.
		release, reply := ctl.Admit(t.Context(), 1<<40)
		g.Expect(reply).To(Equal(cfjob.Reply{}))
		for range 3 * maxWaitingBodies {
			start := time.Now()
			_, reply = ctl.Admit(t.Context(), 1<<40)
			g.Expect(reply).To(Equal(cfjob.Reply{Verdict: cfjob.VerdictRefused, RetryAfter: bodyRetryAfter}))
			g.Expect(time.Since(start)).To(Equal(bodyWait))
		}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		_, reply = ctl.Admit(gone, 1)
		g.Expect(reply.Verdict).To(Equal(cfjob.VerdictRefused))
		release()
		release, reply = ctl.Admit(t.Context(), 1)
		g.Expect(reply).To(Equal(cfjob.Reply{}))
		g.Expect(ctl.bodies.inFlight.TryAcquire(ctl.bodies.limit)).To(BeFalse(), "a small body counts, too")
		release()
		g.Expect(ctl.bodies.inFlight.TryAcquire(ctl.bodies.limit)).To(BeTrue())
		g.Expect(ctl.bodies.admitted.TryAcquire((1 + maxWaitingBodies) * ctl.bodies.limit)).To(BeTrue())
	})
}

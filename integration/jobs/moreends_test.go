package jobs

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// finishBound is how long after the end of the traffic a job may have nothing running: finish_s of the platform and 3 s.
const finishBound = 17 * time.Second

// The ends on a worker are not acknowledged while it can still execute a start. A new planner then waits for the ends
// that the worker's full list lacks, and starts no job that the planner before has possibly started.
var _ = It("jobs run on other workers under another planner although a worker with an unanswered start has more ends than it lists", func() {
	f := newFleet(3, 3)
	const wideJobs = 8
	for n := range wideJobs {
		Expect(f.submit(10+n, oneStep(100_000, "50ms"))).To(BeTrue())
	}
	for _, w := range f.workers {
		Eventually(w.History, 5*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
	}
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if r.URL.Path == "/log-append" {
			return standin.Down
		}
		return standin.Healthy
	})
	// A worker lists 500 ends. The next start gets no answer, unless the planner holds starts back by then.
	Eventually(f.workers[1].MostUnrecordedEnds, 5*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 400))
	isLost := false
	f.workers[1].SetFault(func(path string) standin.OrderFault {
		if path == "/run-start" && !isLost {
			isLost = true
			return standin.OrderFault{Fault: standin.Lost}
		}
		return standin.OrderFault{}
	})
	time.Sleep(time.Second)
	f.workers[1].SetFault(nil)
	f.store.SetFault(alwaysHealthy)
	p := f.entries[f.awaitPlanner()]
	p.kill()
	p.restart()
	for n := range wideJobs {
		Eventually(func() int {
			status, _ := f.call(n%len(f.entries), http.MethodDelete, queuePrefix+jobID(10+n), "")
			return status
		}, 5*time.Second).Should(Equal(http.StatusOK))
	}
	Expect(f.submit(2, oneStep(3, "10ms"))).To(BeTrue())
	f.expectCompleted(2, finishBound)
	f.expectNoOverlap()
})

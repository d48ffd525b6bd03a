package jobs

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// fullWorkerJob is the body of a job that needs the whole capacity of a worker.
const fullWorkerJob = `{"spec":%q,"steps":[{"count":6,"cpu":2500,"mem_mb":10,"estimated_ms":2000,"long_running":%t}]}`

// runsOn returns the number of runs of job n on a worker that have not ended.
func (f *fleet) runsOn(worker, n int) int {
	count := 0
	for _, r := range f.workers[worker].History() {
		if r.EndedAt.IsZero() && strings.HasPrefix(r.Task, jobID(n)) {
			count++
		}
	}
	return count
}

// holdBack is proxies.holdBack for the links of an agent to all entries. Agents report to the
// planner only, so that other connections stay open.
func (f *fleet) holdBack(agent int) (isHeld func() bool, deliver func()) {
	var held []*heldLink
	var delivers []func()
	for e := range f.entries {
		h, d := f.proxies.holdBack(agentIP(agent), e)
		held, delivers = append(held, h), append(delivers, d)
	}
	return func() bool {
			return slices.ContainsFunc(held, func(h *heldLink) bool { return h.reports.Load() > 0 })
		}, func() {
			for _, d := range delivers {
				d()
			}
		}
}

// A worker answers again just after its agent has reported that all leases have expired. The
// agent's connection ends at that moment, and the report arrives after newer ones on the next
// connection. The planner dropped runs that went on, and started their tasks elsewhere.
var _ = It("runs go on when a report that all leases have expired arrives after newer ones on another connection", func() {
	f := startFleet(3, 2, newProxies())
	isIgnored := func() bool { return f.countLogged("outdated report of an agent ignored") > 0 }
	// On a busy machine, the entry can close the connection before the report is delivered.
	for n := 1; n <= 5 && !isIgnored(); n++ {
		f.deliverExpiryLate(2*n, 2*n+1)
		f.expectNoOverlap()
	}
	Expect(isIgnored()).To(BeTrue(), "no report has arrived late")
})

// deliverExpiryLate delivers a report that all leases on worker 0 have expired after the worker has
// started the second of two jobs. The first one runs on worker 1 until then.
func (f *fleet) deliverExpiryLate(first, second int) {
	GinkgoHelper()
	f.workers[0].SetFault(func(string) standin.OrderFault { return standin.OrderFault{Fault: standin.Down} })
	// All leases have expired 6.3 s after the agent has lost the worker.
	time.Sleep(8 * time.Second)
	Expect(f.submit(first, fmt.Sprintf(fullWorkerJob, untilCancelled, true))).To(BeTrue())
	Eventually(func() int { return f.runsOn(1, first) }, 3*time.Second, 10*time.Millisecond).Should(Equal(6))
	Expect(f.submit(second, fmt.Sprintf(fullWorkerJob, "3s", false))).To(BeTrue())
	time.Sleep(500 * time.Millisecond)

	isHeld, deliver := f.holdBack(0)
	Eventually(isHeld, 3*time.Second, time.Millisecond).Should(BeTrue())
	f.workers[0].SetFault(nil)
	Eventually(func() int { return f.runsOn(0, second) }, 3*time.Second, time.Millisecond).Should(Equal(6))
	status, _ := f.call(f.awaitPlanner(), http.MethodDelete, queuePrefix+jobID(first), "")
	Expect(status).To(Equal(http.StatusOK))
	deliver()
	f.expectCompleted(second, 20*time.Second)
}

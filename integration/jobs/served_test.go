package jobs

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// The planner has dropped the record of an entry that was down. The store then rejects all entries but
// that one, which reaches agent 0 and the third entry. If it became the planner, the former one, which
// reaches agent 1 and the third entry, would have authority as long as the third entry promises not to claim.
var _ = DescribeTable("tasks are not started again while the store serves only one entry, which the planner has dropped, and while they",
	func(spec string, fault standin.Fault) {
		f := startFleet(3, 2, newProxies())
		p := f.awaitPlanner()
		served := f.otherEntries(p)[0]
		f.entries[served].kill()
		Eventually(func() int { return f.countLogged("disconnected for too long; dropping its record") }, 20*time.Second, 50*time.Millisecond).Should(Equal(1))
		f.submitToBothWorkers(spec)
		time.Sleep(500 * time.Millisecond)
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if f.isFrom(r, served) {
				return standin.Healthy
			}
			return fault
		})
		f.setCutEntries(served, []int{p}, true)
		f.cutLinks(agentIP(1), true, served)
		f.cutLinks(agentIP(0), true, p)
		// Reads that are in flight would tell the planner of the entry's new record.
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		f.entries[served].restart()
		time.Sleep(time.Until(start.Add(10 * time.Second)))
		// The restarted entry uses the store, and the planner does not.
		Expect(f.countLogged("state read from the store")).To(Equal(4))
		Expect(f.countLogged("dependency lost: the store does not answer")).To(Equal(2))
		f.restoreLinks()
		f.store.SetFault(alwaysHealthy)
		f.expectCompleted(1, 40*time.Second)
		f.expectNoOverlap()
	},
	Entry("run, 503", "14s", standin.Down),
	Entry("run, no response", "14s", standin.Silent),
	Entry("have ended, 503", "3s", standin.Down),
)

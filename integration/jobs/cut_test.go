package jobs

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

func agentIP(agent int) netip.Addr { return localAddr(100 + agent) }

// cutLinks cuts or restores the links from an address to the given entries.
func (f *fleet) cutLinks(from netip.Addr, cut bool, entries ...int) {
	for _, e := range entries {
		f.proxies.setCut(from, e, cut)
	}
}

// The former planner loses agent 0, and gives the agent's work to agent 1 when the leases that it
// has allowed must have expired. Shortly before, another planner, which reaches agent 0 only,
// takes over and extends these leases. The former planner does not learn of it, and has
// authority for 2 s more.
var _ = DescribeTable("tasks are not started again by a planner that another one has superseded, while they",
	func(spec string) {
		f := startFleet(3, 2, newProxies())
		p := f.awaitPlanner()
		var others []int
		for e := range f.entries {
			if e != p {
				others = append(others, e)
			}
		}
		f.cutLinks(agentIP(1), true, others...)
		time.Sleep(time.Second)
		// A worker has room for six of the tasks, so that worker 0 gets at least two.
		Expect(f.submit(1, fmt.Sprintf(`{"spec":%q,"steps":[{"count":8,"cpu":2500,"mem_mb":10,"estimated_ms":2000}]}`, spec))).To(BeTrue())
		Eventually(f.runs, 5*time.Second, 10*time.Millisecond).Should(HaveLen(8))
		Expect(f.workers[0].History()).NotTo(BeEmpty())
		start := time.Now()
		f.cutLinks(agentIP(0), true, p)
		// The other entries claim 1 s after the last message of the planner.
		time.Sleep(time.Until(start.Add(5400 * time.Millisecond)))
		for _, e := range others {
			f.cutLinks(f.entries[e].callers.Addr(), true, p)
			f.cutLinks(f.entries[p].callers.Addr(), true, e)
		}
		time.Sleep(time.Until(start.Add(6100 * time.Millisecond)))
		f.setStoreFaultFor(p, standin.Silent)
		time.Sleep(time.Until(start.Add(9 * time.Second)))
		Expect(f.countLogged("this entry is the planner")).To(Equal(2))
		for e := range f.entries {
			for a := range f.agents {
				f.cutLinks(agentIP(a), false, e)
			}
			for _, from := range f.entries {
				f.cutLinks(from.callers.Addr(), false, e)
			}
		}
		f.store.SetFault(alwaysHealthy)
		f.expectCompleted(1, 40*time.Second)
		f.expectNoOverlap()
	},
	Entry("run", "12s"),
	Entry("have ended", "3s"),
)

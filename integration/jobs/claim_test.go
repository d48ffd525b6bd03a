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

// claimDelay is the time after which the store executes a late claim.
const claimDelay = 5 * time.Second

// otherEntries returns the indexes of all entries but the given ones.
func (f *fleet) otherEntries(except ...int) []int {
	var out []int
	for e := range f.entries {
		if !slices.Contains(except, e) {
			out = append(out, e)
		}
	}
	return out
}

// isFrom reports whether a request to the store comes from an entry.
func (f *fleet) isFrom(r *http.Request, entry int) bool {
	return strings.HasPrefix(r.RemoteAddr, f.entries[entry].callers.Addr().String()+":")
}

// setCutEntries cuts or restores the links between an entry and other ones in both directions.
func (f *fleet) setCutEntries(entry int, others []int, cut bool) {
	for _, o := range others {
		f.cutLinks(f.entries[o].callers.Addr(), cut, entry)
		f.cutLinks(f.entries[entry].callers.Addr(), cut, o)
	}
}

// restoreLinks restores all links.
func (f *fleet) restoreLinks() {
	for e := range f.entries {
		for a := range f.agents {
			f.cutLinks(agentIP(a), false, e)
		}
		for _, from := range f.entries {
			f.cutLinks(from.callers.Addr(), false, e)
		}
	}
}

// submitToBothWorkers submits job 1, whose tasks run on two workers, and waits until they run.
func (f *fleet) submitToBothWorkers(spec string) {
	GinkgoHelper()
	// A worker has room for six of the tasks, so that worker 0 gets at least two.
	Expect(f.submit(1, fmt.Sprintf(`{"spec":%q,"steps":[{"count":8,"cpu":2500,"mem_mb":10,"estimated_ms":2000}]}`, spec))).To(BeTrue())
	Eventually(f.runs, 5*time.Second, 10*time.Millisecond).Should(HaveLen(8))
	Expect(f.workers[0].History()).NotTo(BeEmpty())
}

// The planner is cut from the other entries, and one of them claims. The store executes the claim only
// after the planner has worked on for seconds, while its records were refused: a record would prevent the
// claim. Shortly before the claim, the planner is cut from the other entries again, and it has lost agent
// 0. The new planner, which reaches agent 0 only, extends the leases that the former one is about to
// count as expired.
var _ = DescribeTable("tasks are not started again after a claim that the store executes seconds later, while they",
	func(spec string) {
		f := startFleet(3, 2, newProxies())
		p := f.awaitPlanner()
		others := f.otherEntries(p)
		f.cutLinks(agentIP(1), true, others...)
		time.Sleep(time.Second)
		f.submitToBothWorkers(spec)
		f.store.SetLateBy(claimDelay)
		lateClaims := func(r *http.Request) standin.Fault {
			switch {
			case r.URL.Query().Has("at"):
				return standin.Late
			case r.Method == http.MethodPost && f.isFrom(r, p):
				return standin.Busy
			}
			return standin.Healthy
		}
		f.store.SetFault(lateClaims)
		start := time.Now()
		f.cutLinks(agentIP(0), true, p)
		time.Sleep(400 * time.Millisecond)
		claims := f.countLogged("appending a claim to the planner role")
		f.setCutEntries(p, others, true)
		Eventually(func() int { return f.countLogged("appending a claim to the planner role") }, 2*time.Second, 10*time.Millisecond).Should(BeNumerically(">", claims))
		time.Sleep(200 * time.Millisecond)
		f.setCutEntries(p, others, false)
		time.Sleep(time.Until(start.Add(5400 * time.Millisecond)))
		Expect(f.countLogged("this entry is the planner")).To(Equal(1))
		Expect(f.countLogged("this entry resigns as planner")).To(BeZero())
		f.setCutEntries(p, others, true)
		time.Sleep(time.Until(start.Add(6100 * time.Millisecond)))
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if f.isFrom(r, p) {
				return standin.Silent
			}
			return lateClaims(r)
		})
		time.Sleep(time.Until(start.Add(9 * time.Second)))
		Expect(f.countLogged("this entry is the planner")).To(Equal(2))
		Expect(f.plannerFromLogs()).NotTo(Equal(p))
		f.restoreLinks()
		f.store.SetFault(alwaysHealthy)
		f.expectCompleted(1, 40*time.Second)
		f.expectNoOverlap()
	},
	Entry("run", "14s"),
	Entry("have ended", "4s"),
)

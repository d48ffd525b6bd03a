package state

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfdriver"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfstate"
)

// configBound limits two times. The first is from the request for a plan until the confirmed
// configuration is in force in every process. The second is from the restart of a killed entry
// until the new entry process serves.
const configBound = 7 * time.Second

// newCluster starts a cluster of the given size with short leases.
func newCluster(entries, vms int) *cfdriver.Cluster {
	return cfdriver.New(cfdriver.Options{
		Subnet: 40, Entries: entries, VMs: vms, Lease: cfdriver.ShortLease, Settings: cfdriver.ShortPlanner,
	})
}

// testContext returns a context that ends with the spec, but after 20 s at the latest.
func testContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	DeferCleanup(cancel)
	return ctx
}

// hasTasks reports whether an entry lists tasks of a workload.
func hasTasks(c *cfdriver.Cluster, entry int, workload string) bool {
	return len(c.Tasks(entry, workload)) > 0
}

var _ = Describe("plans", func() {
	It("take effect only when confirmed, and can be confirmed only once", func() {
		c := newCluster(2, 2)
		p, err := c.Entries[0].API.MakePlan(testContext(), cfdriver.Intent(cfdriver.Watch("relay", 1)))
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() bool { return hasTasks(c, 1, "relay") }).WithTimeout(2 * time.Second).Should(BeFalse())
		_, err = c.Entries[1].API.ConfirmPlan(testContext(), cfapi.ConfirmPlanParams{Plan: p.ID})
		Expect(err).NotTo(HaveOccurred())
		c.AwaitRunning(10*time.Second, "relay", 1)
		_, err = c.Entries[0].API.ConfirmPlan(testContext(), cfapi.ConfirmPlanParams{Plan: p.ID})
		Expect(err).To(MatchError(ContainSubstring("unknown or expired")))
	})

	It("that conflict with a change confirmed meanwhile are refused with the reason, and others are not", func() {
		c := newCluster(2, 2)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", 1)))
		api := []*cfapi.Client{c.Entries[0].API, c.Entries[1].API}
		c.Eventually(configBound, "the other entry has applied the first plan", func() bool { return c.Tasks(1, "dispatch") != nil })
		var ids []string
		for i, replicas := range []int{2, 1} {
			in := cfdriver.Intent(cfdriver.Service("dispatch", replicas))
			if i == 1 {
				in = &cfapi.Intent{Remove: []string{"dispatch"}}
			}
			p, err := api[i].MakePlan(testContext(), in)
			Expect(err).NotTo(HaveOccurred())
			ids = append(ids, p.ID)
		}
		other, err := api[0].MakePlan(testContext(), cfdriver.Intent(cfdriver.Watch("relay", 1)))
		Expect(err).NotTo(HaveOccurred())
		_, err = api[0].ConfirmPlan(testContext(), cfapi.ConfirmPlanParams{Plan: ids[0]})
		Expect(err).NotTo(HaveOccurred())
		_, err = api[1].ConfirmPlan(testContext(), cfapi.ConfirmPlanParams{Plan: ids[1]})
		Expect(err).To(MatchError(And(ContainSubstring("overtaken"), ContainSubstring("workload/dispatch"))))
		_, err = api[1].ConfirmPlan(testContext(), cfapi.ConfirmPlanParams{Plan: other.ID})
		Expect(err).NotTo(HaveOccurred())
	})

	It("with a workload that can never run or exceeds a quota are refused with the reason", func() {
		c := newCluster(1, 1)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Watch("relay", 1)))
		huge := cfdriver.Batch("huge", 1, time.Second)
		huge.Resources = cfdriver.NewResources(64000, 1000)
		_, err := c.Entries[0].API.MakePlan(testContext(), cfdriver.Intent(huge))
		Expect(err).To(MatchError(ContainSubstring("can never run")))
		greedy := cfdriver.Batch("greedy", 2000, time.Second)
		_, err = c.Entries[0].API.MakePlan(testContext(), cfdriver.Intent(greedy))
		Expect(err).To(MatchError(ContainSubstring("quota")))
		_, err = c.Entries[0].API.MakePlan(testContext(), &cfapi.Intent{Remove: []string{"nothing"}})
		Expect(err).To(MatchError(ContainSubstring("no workload")))
	})
})

var _ = Describe("an accepted configuration", func() {
	It("is in force in every process within seconds", func() {
		c := newCluster(3, 3)
		start := time.Now()
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", 3)))
		for i := range c.Entries {
			c.Eventually(configBound, "the entry serves the service", func() bool {
				return c.Call(i, "GET", "/dispatch/", "").Verdict == "Answered"
			})
		}
		c.AwaitRunning(configBound, "dispatch", 3)
		took := time.Since(start)
		AddReportEntry("in force after", took.String())
		Expect(took).To(BeNumerically("<", configBound))
	})

	It("reaches an entry that is replaced while the log is down through the other entries", func() {
		c := newCluster(3, 2)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", 2)))
		c.Eventually(10*time.Second, "the service answers", func() bool { return c.Call(2, "GET", "/dispatch/", "").Verdict == "Answered" })
		c.SetLogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
		c.Entries[2].Kill()
		c.Entries[2].Restart()
		c.Eventually(configBound, "the new entry serves", func() bool {
			return c.Call(2, "GET", "/dispatch/", "").Verdict == "Answered"
		})
		Expect(c.WorkersRunning("dispatch")).To(HaveLen(2))
		c.SetLogFault(cfstandin.LogControl{})
		c.AwaitLogReadable(2)
		c.PlanAndConfirm(2, cfdriver.Intent(cfdriver.Watch("relay", 1)))
		c.AwaitRunning(15*time.Second, "relay", 1)
		c.CheckHistory()
	})

	It("does not revert when the planner freezes, another entry takes over, and the old planner resumes", func() {
		c := newCluster(3, 3)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Batch("bulletin", 6, 3*time.Second)))
		p := c.PlannerEntry()
		other := (p + 1) % 3
		c.Entries[p].Freeze()
		c.PlanAndConfirm(other, cfdriver.Intent(cfdriver.Watch("relay", 1)))
		c.AwaitRunning(15*time.Second, "relay", 1)
		c.Entries[p].Thaw()
		c.Eventually(15*time.Second, "the former planner has caught up", func() bool { return hasTasks(c, p, "relay") })
		c.Eventually(20*time.Second, "all tasks of bulletin are done", c.TasksInStatus(p, "bulletin", cfstate.TaskDone, 6))
		Expect(c.WorkersRunning("relay")).To(HaveLen(1))
		c.CheckHistory()
	})
})

var _ = Describe("many plans confirmed at once", func() {
	It("never exceed the capacity of a VM", func() {
		c := newCluster(3, 3)
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				w := cfdriver.Batch(fmt.Sprintf("job-%d", i), 2, 1500*time.Millisecond)
				w.Resources = cfdriver.NewResources(3500, 9000)
				in := &cfapi.Intent{Workloads: []cfapi.Workload{w}, Teams: []cfapi.Team{cfdriver.Team()}}
				p, err := c.Entries[i%3].API.MakePlan(testContext(), in)
				if err == nil {
					_, _ = c.Entries[(i+1)%3].API.ConfirmPlan(testContext(), cfapi.ConfirmPlanParams{Plan: p.ID})
				}
			}()
		}
		stop := time.After(12 * time.Second)
		for done := false; !done; {
			select {
			case <-stop:
				done = true
			case <-time.After(50 * time.Millisecond):
			}
			for _, v := range c.VMs {
				c.CheckCapacity(v)
			}
		}
		wg.Wait()
		c.CheckHistory()
	})
})

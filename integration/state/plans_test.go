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
	"cranberryford/pkg/cffold"
)

// inForceBound is the time in which an accepted configuration is in force in
// every process.
const inForceBound = 7 * time.Second

func cluster(entries, vms int) *cfdriver.Cluster {
	return cfdriver.New(cfdriver.Shape{
		Net: 40, Entries: entries, VMs: vms, Lease: cfdriver.ShortLease, Settings: cfdriver.ShortPlanner,
	})
}

func ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	DeferCleanup(cancel)
	return ctx
}

func knows(c *cfdriver.Cluster, entry int, workload string) bool {
	return len(c.Tasks(entry, workload)) > 0
}

var _ = Describe("plans", func() {
	It("change nothing before they are confirmed, and only once", func() {
		c := cluster(2, 2)
		p, err := c.Entries[0].API.MakePlan(ctx(), cfdriver.Intent(cfdriver.Watch("relay", 1)))
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() bool { return knows(c, 1, "relay") }).WithTimeout(2 * time.Second).Should(BeFalse())
		_, err = c.Entries[1].API.ConfirmPlan(ctx(), cfapi.ConfirmPlanParams{Plan: p.ID})
		Expect(err).NotTo(HaveOccurred())
		c.AwaitRunning(10*time.Second, "relay", 1)
		_, err = c.Entries[0].API.ConfirmPlan(ctx(), cfapi.ConfirmPlanParams{Plan: p.ID})
		Expect(err).To(MatchError(ContainSubstring("unknown or expired")))
	})

	It("that were overtaken are refused with the reason, and others are not", func() {
		c := cluster(2, 2)
		c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", 1)))
		api := []*cfapi.Client{c.Entries[0].API, c.Entries[1].API}
		var ids []string
		for i, replicas := range []int{2, 1} {
			in := cfdriver.Intent(cfdriver.Service("dispatch", replicas))
			if i == 1 {
				in = &cfapi.Intent{Remove: []string{"dispatch"}}
			}
			p, err := api[i].MakePlan(ctx(), in)
			Expect(err).NotTo(HaveOccurred())
			ids = append(ids, p.ID)
		}
		other, err := api[0].MakePlan(ctx(), cfdriver.Intent(cfdriver.Watch("relay", 1)))
		Expect(err).NotTo(HaveOccurred())
		_, err = api[0].ConfirmPlan(ctx(), cfapi.ConfirmPlanParams{Plan: ids[0]})
		Expect(err).NotTo(HaveOccurred())
		_, err = api[1].ConfirmPlan(ctx(), cfapi.ConfirmPlanParams{Plan: ids[1]})
		Expect(err).To(MatchError(And(ContainSubstring("overtaken"), ContainSubstring("workload/dispatch"))))
		_, err = api[1].ConfirmPlan(ctx(), cfapi.ConfirmPlanParams{Plan: other.ID})
		Expect(err).NotTo(HaveOccurred())
	})

	It("for what can never run, or breaks a quota, are refused with the reason", func() {
		c := cluster(1, 1)
		c.Accept(0, cfdriver.Intent(cfdriver.Watch("relay", 1)))
		huge := cfdriver.Batch("huge", 1, time.Second)
		huge.Resources = cfdriver.Res(64000, 1000)
		_, err := c.Entries[0].API.MakePlan(ctx(), cfdriver.Intent(huge))
		Expect(err).To(MatchError(ContainSubstring("can never run")))
		greedy := cfdriver.Batch("greedy", 2000, time.Second)
		_, err = c.Entries[0].API.MakePlan(ctx(), cfdriver.Intent(greedy))
		Expect(err).To(MatchError(ContainSubstring("quota")))
		_, err = c.Entries[0].API.MakePlan(ctx(), &cfapi.Intent{Remove: []string{"nothing"}})
		Expect(err).To(MatchError(ContainSubstring("no workload")))
	})
})

var _ = Describe("an accepted configuration", func() {
	It("is in force in every process within seconds", func() {
		c := cluster(3, 3)
		began := time.Now()
		c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", 3)))
		for i := range c.Entries {
			c.Eventually(inForceBound, "the service is served", func() bool {
				return c.Call(i, "GET", "/dispatch/", "").Verdict == "Answered"
			})
		}
		c.AwaitRunning(inForceBound, "dispatch", 3)
		took := time.Since(began)
		AddReportEntry("in force after", took.String())
		Expect(took).To(BeNumerically("<", inForceBound))
	})

	It("is learnt from the others by an entry that is replaced while the log is down", func() {
		c := cluster(3, 2)
		c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", 2)))
		c.Eventually(10*time.Second, "it serves", func() bool { return c.Call(2, "GET", "/dispatch/", "").Verdict == "Answered" })
		c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
		c.Entries[2].Kill()
		c.Entries[2].Restart()
		c.Eventually(inForceBound, "the new entry serves", func() bool {
			return c.Call(2, "GET", "/dispatch/", "").Verdict == "Answered"
		})
		Expect(c.Running("dispatch")).To(HaveLen(2))
		c.LogFault(cfstandin.LogControl{})
		c.AwaitLog(2)
		c.Accept(2, cfdriver.Intent(cfdriver.Watch("relay", 1)))
		c.AwaitRunning(15*time.Second, "relay", 1)
		c.CheckHistory()
	})

	It("does not revert when the planner sleeps, another one takes over, and it wakes up", func() {
		c := cluster(3, 3)
		c.Accept(0, cfdriver.Intent(cfdriver.Batch("bulletin", 6, 3*time.Second)))
		p := c.PlannerEntry()
		other := (p + 1) % 3
		c.Entries[p].Freeze()
		c.Accept(other, cfdriver.Intent(cfdriver.Watch("relay", 1)))
		c.AwaitRunning(15*time.Second, "relay", 1)
		c.Entries[p].Thaw()
		c.Eventually(15*time.Second, "the old planner has caught up", func() bool { return knows(c, p, "relay") })
		c.Eventually(20*time.Second, "the job is done", c.Ended(p, "bulletin", cffold.TaskDone, 6))
		Expect(c.Running("relay")).To(HaveLen(1))
		c.CheckHistory()
	})
})

var _ = Describe("many operators who confirm at once", func() {
	It("never overfill a VM", func() {
		c := cluster(3, 3)
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Add(1)
			go func() {
				defer GinkgoRecover()
				defer wg.Done()
				w := cfdriver.Batch(fmt.Sprintf("job-%d", i), 2, 1500*time.Millisecond)
				w.Resources = cfdriver.Res(3500, 9000)
				in := &cfapi.Intent{Workloads: []cfapi.Workload{w}, Teams: []cfapi.Team{cfdriver.Team()}}
				p, err := c.Entries[i%3].API.MakePlan(ctx(), in)
				if err == nil {
					_, _ = c.Entries[(i+1)%3].API.ConfirmPlan(ctx(), cfapi.ConfirmPlanParams{Plan: p.ID})
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

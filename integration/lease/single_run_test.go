package lease

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cffold"
)

// evictionBound is the longest time that a relay may be without a run after its
// VM has died: silence, agreement of the entries, the eviction wait of two grants
// and a margin, and the start; with room for a busy machine.
const evictionBound = 800*time.Millisecond + 2*2*time.Second + 200*time.Millisecond + 4*time.Second

func cluster() *cfdriver.Cluster {
	return cfdriver.New(cfdriver.Shape{
		Net: 20, Entries: 3, VMs: 3, Lease: cfdriver.ShortLease, Settings: cfdriver.ShortPlanner,
	})
}

var _ = DescribeTable("a relay runs in one place only",
	func(inject func(c *cfdriver.Cluster, v *cfdriver.VMProc), heal func(c *cfdriver.Cluster, v *cfdriver.VMProc)) {
		c := cluster()
		c.Accept(0, cfdriver.Intent(cfdriver.Watch("relay", 1), cfdriver.Batch("bulletin", 2, 4*time.Second)))
		c.AwaitRunning(10*time.Second, "relay", 1)
		from := c.VMOf(0, "relay", 0)

		began := time.Now()
		inject(c, from)
		c.AwaitMoved(evictionBound+5*time.Second, 1, "relay", from)
		gap := time.Since(began)
		AddReportEntry("time until the relay ran elsewhere", gap.Round(10*time.Millisecond).String())
		Expect(gap).To(BeNumerically("<", evictionBound))

		heal(c, from)
		c.Eventually(20*time.Second, "the jobs are done", c.Ended(1, "bulletin", cffold.TaskDone, 2))
		Consistently(func() []string { return c.Running("relay") }).WithTimeout(2 * time.Second).Should(HaveLen(1))
		c.CheckHistory()
	},
	Entry("the VM dies and is replaced",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Die() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Replace() }),
	Entry("the agent dies and comes back",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Kill() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Restart() }),
	Entry("the agent is frozen past its lease and wakes up",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Freeze() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Thaw() }),
	Entry("the whole VM is frozen past its lease and wakes up",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Freeze(); v.Worker.Freeze() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Worker.Thaw(); v.Agent.Thaw() }),
	Entry("the agent is cut from all entries",
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.Cut(v, cfdriver.Cut) },
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.Cut(v, cfdriver.Pass) }),
	Entry("the agent's connections go silent",
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.Cut(v, cfdriver.Silent) },
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.Cut(v, cfdriver.Pass) }),
)

var _ = DescribeTable("nothing is evicted",
	func(hold time.Duration, inject func(c *cfdriver.Cluster)) {
		c := cfdriver.New(cfdriver.Shape{Net: 20, Entries: 3, VMs: 3})
		c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", 2), cfdriver.Watch("relay", 2)))
		c.AwaitRunning(10*time.Second, "relay", 2)
		c.AwaitRunning(10*time.Second, "dispatch", 2)
		inject(c)
		Consistently(func(g Gomega) {
			g.Expect(c.Running("relay")).To(HaveLen(2))
			g.Expect(c.Running("dispatch")).To(HaveLen(2))
		}).WithTimeout(hold).WithPolling(500 * time.Millisecond).Should(Succeed())
		c.LogFault(cfstandin.LogControl{})
		c.Eventually(15*time.Second, "a member answers", func() bool {
			_, err := c.Status(1)
			return err == nil
		})
		Consistently(func() int { return c.Evictions(1) }).WithTimeout(4 * time.Second).Should(BeZero())
		c.CheckHistory()
	},
	Entry("while the log is down for 60 s", 60*time.Second, func(c *cfdriver.Cluster) {
		c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
	}),
	Entry("while the log is down and one of three entries dies", 12*time.Second, func(c *cfdriver.Cluster) {
		c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
		c.Entries[0].Kill()
	}),
	Entry("while the log is down and one of three entries is replaced", 12*time.Second, func(c *cfdriver.Cluster) {
		c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
		c.Entries[0].Kill()
		c.Entries[0].Restart()
	}),
	Entry("when the planner dies", 8*time.Second, func(c *cfdriver.Cluster) {
		p := c.PlannerEntry()
		c.Entries[p].Kill()
		c.Entries[p].Restart()
	}),
	Entry("when an agent is cut from the planner", 8*time.Second, func(c *cfdriver.Cluster) {
		c.Entries[c.PlannerEntry()].Proxy.Set(c.VMOf(0, "relay", 0).Agent.IP, cfdriver.Cut)
	}),
	Entry("when an agent is cut from another entry", 8*time.Second, func(c *cfdriver.Cluster) {
		other := (c.PlannerEntry() + 1) % len(c.Entries)
		c.Entries[other].Proxy.Set(c.VMOf(0, "relay", 0).Agent.IP, cfdriver.Cut)
	}),
)

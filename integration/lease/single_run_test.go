package lease

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfstate"
)

// evictionBound is the longest time from the fault of a VM until its watch runs on another VM.
// It is the sum of these times: Silence, 800 ms; Grant twice, 2 * 2 s; Margin, 200 ms; and 4 s
// for the agreement of the entries, the start of the run and a busy machine. Grant counts twice:
// an entry's answer to a poll allows grants for one period Grant, and a grant made at the end of
// this period lasts for another.
const evictionBound = 800*time.Millisecond + 2*2*time.Second + 200*time.Millisecond + 4*time.Second

// newCluster starts a cluster of three entries and three VMs with short leases.
func newCluster() *cfdriver.Cluster {
	return cfdriver.New(cfdriver.Options{
		Subnet: 20, Entries: 3, VMs: 3, Lease: cfdriver.ShortLease, Settings: cfdriver.ShortPlanner,
	})
}

var _ = DescribeTable("a watch never runs on two VMs at once when",
	func(inject func(c *cfdriver.Cluster, v *cfdriver.VMProc), heal func(c *cfdriver.Cluster, v *cfdriver.VMProc)) {
		c := newCluster()
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Watch("relay", 1), cfdriver.Batch("bulletin", 2, 4*time.Second)))
		c.AwaitRunning(10*time.Second, "relay", 1)
		oldVM := c.VMOf(0, "relay", 0)

		injectedAt := time.Now()
		inject(c, oldVM)
		c.AwaitMoved(evictionBound+5*time.Second, 1, "relay", oldVM)
		moveTime := time.Since(injectedAt)
		AddReportEntry("time until the watch ran on another VM", moveTime.Round(10*time.Millisecond).String())
		Expect(moveTime).To(BeNumerically("<", evictionBound))

		heal(c, oldVM)
		c.Eventually(20*time.Second, "all tasks of bulletin are done", c.TasksInStatus(1, "bulletin", cfstate.TaskDone, 2))
		Consistently(func() []string { return c.WorkersRunning("relay") }).WithTimeout(2 * time.Second).Should(HaveLen(1))
		c.CheckHistory()
	},
	Entry("the VM dies and is replaced",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Crash() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Replace() }),
	Entry("the agent is killed and restarted",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Kill() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Restart() }),
	Entry("the agent freezes until its lease has expired and resumes",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Freeze() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Thaw() }),
	Entry("the whole VM freezes until its lease has expired and resumes",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Freeze(); v.Worker.Freeze() },
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Worker.Thaw(); v.Agent.Thaw() }),
	Entry("the agent's connections to all entries are closed",
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.SetAgentFault(v, cfdriver.Cut) },
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.SetAgentFault(v, cfdriver.Pass) }),
	Entry("the agent's connections stop forwarding data",
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.SetAgentFault(v, cfdriver.Silent) },
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.SetAgentFault(v, cfdriver.Pass) }),
)

var _ = DescribeTable("nothing is evicted",
	func(faultDuration time.Duration, inject func(c *cfdriver.Cluster)) {
		c := cfdriver.New(cfdriver.Options{Subnet: 20, Entries: 3, VMs: 3})
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", 2), cfdriver.Watch("relay", 2)))
		c.AwaitRunning(10*time.Second, "relay", 2)
		c.AwaitRunning(10*time.Second, "dispatch", 2)
		inject(c)
		Consistently(func(g Gomega) {
			g.Expect(c.WorkersRunning("relay")).To(HaveLen(2))
			g.Expect(c.WorkersRunning("dispatch")).To(HaveLen(2))
		}).WithTimeout(faultDuration).WithPolling(500 * time.Millisecond).Should(Succeed())
		c.SetLogFault(cfstandin.LogControl{})
		c.Eventually(15*time.Second, "an entry answers", func() bool {
			_, err := c.Status(1)
			return err == nil
		})
		Consistently(func() int { return c.Evictions(1) }).WithTimeout(4 * time.Second).Should(BeZero())
		c.CheckHistory()
	},
	Entry("while the log is down for 60 s", 60*time.Second, func(c *cfdriver.Cluster) {
		c.SetLogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
	}),
	Entry("while the log is down and one of three entries is killed", 12*time.Second, func(c *cfdriver.Cluster) {
		c.SetLogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
		c.Entries[0].Kill()
	}),
	Entry("while the log is down and one of three entries is replaced", 12*time.Second, func(c *cfdriver.Cluster) {
		c.SetLogFault(cfstandin.LogControl{Fault: cfstandin.LogDown})
		c.Entries[0].Kill()
		c.Entries[0].Restart()
	}),
	Entry("when the planner is killed and restarted", 8*time.Second, func(c *cfdriver.Cluster) {
		p := c.PlannerEntry()
		c.Entries[p].Kill()
		c.Entries[p].Restart()
	}),
	Entry("when an agent cannot connect to the planner", 8*time.Second, func(c *cfdriver.Cluster) {
		c.Entries[c.PlannerEntry()].Proxy.Set(c.VMOf(0, "relay", 0).Agent.IP, cfdriver.Cut)
	}),
	Entry("when an agent cannot connect to an entry other than the planner", 8*time.Second, func(c *cfdriver.Cluster) {
		other := (c.PlannerEntry() + 1) % len(c.Entries)
		c.Entries[other].Proxy.Set(c.VMOf(0, "relay", 0).Agent.IP, cfdriver.Cut)
	}),
)

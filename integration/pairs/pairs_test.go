package pairs

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cffold"
)

// seed chooses which process each fault of a story hits.
const seed = 20261204

// fault is one fault, and what ends it.
type fault struct {
	name   string
	inject func(c *cfdriver.Cluster, i int)
	heal   func(c *cfdriver.Cluster, i int)
}

var faults = []fault{
	{
		"VM dies",
		func(c *cfdriver.Cluster, i int) { c.VMs[i%len(c.VMs)].Die() },
		func(c *cfdriver.Cluster, i int) { c.VMs[i%len(c.VMs)].Replace() },
	},
	{
		"agent freezes",
		func(c *cfdriver.Cluster, i int) { c.VMs[i%len(c.VMs)].Agent.Freeze() },
		func(c *cfdriver.Cluster, i int) { c.VMs[i%len(c.VMs)].Agent.Thaw() },
	},
	{
		"agent is cut off",
		func(c *cfdriver.Cluster, i int) { c.Cut(c.VMs[i%len(c.VMs)], cfdriver.Silent) },
		func(c *cfdriver.Cluster, i int) { c.Cut(c.VMs[i%len(c.VMs)], cfdriver.Pass) },
	},
	{
		"entry dies",
		func(c *cfdriver.Cluster, i int) { c.Entries[i%len(c.Entries)].Kill() },
		func(c *cfdriver.Cluster, i int) { c.Entries[i%len(c.Entries)].Restart() },
	},
	{
		"entry freezes",
		func(c *cfdriver.Cluster, i int) { c.Entries[i%len(c.Entries)].Freeze() },
		func(c *cfdriver.Cluster, i int) { c.Entries[i%len(c.Entries)].Thaw() },
	},
	{
		"entries are cut apart",
		func(c *cfdriver.Cluster, i int) { cutEntry(c, i%len(c.Entries), cfdriver.Cut) },
		func(c *cfdriver.Cluster, i int) { cutEntry(c, i%len(c.Entries), cfdriver.Pass) },
	},
	{
		"entry is cut from the log",
		func(c *cfdriver.Cluster, i int) { c.Log.Set(c.Entries[i%len(c.Entries)].IP, cfdriver.Silent) },
		func(c *cfdriver.Cluster, i int) { c.Log.Set(c.Entries[i%len(c.Entries)].IP, cfdriver.Pass) },
	},
	{
		"log is down",
		func(c *cfdriver.Cluster, _ int) { c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogDown}) },
		func(c *cfdriver.Cluster, _ int) { c.LogFault(cfstandin.LogControl{}) },
	},
	{
		"log loses answers",
		func(c *cfdriver.Cluster, _ int) { c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogLosesAnswers}) },
		func(c *cfdriver.Cluster, _ int) { c.LogFault(cfstandin.LogControl{}) },
	},
}

// cutEntry cuts one entry from all others, in both directions.
func cutEntry(c *cfdriver.Cluster, i int, f cfdriver.Fault) {
	for j, e := range c.Entries {
		if j != i {
			c.Entries[i].Proxy.Set(e.IP, f)
			e.Proxy.Set(c.Entries[i].IP, f)
		}
	}
}

// pairs returns every pair of faults, each with itself too.
func pairs() []TableEntry {
	var out []TableEntry
	for i, a := range faults {
		for _, b := range faults[i:] {
			out = append(out, Entry(a.name+" and "+b.name, a, b, len(out)))
		}
	}
	return out
}

// hold is how long the faults last together: longer than an eviction takes.
const hold = 6 * time.Second

var _ = DescribeTable("two faults at once break no promise",
	func(a, b fault, n int) {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		c := cfdriver.New(cfdriver.Shape{
			Net: 50, Entries: 3, VMs: 4, Lease: cfdriver.ShortLease, Settings: cfdriver.ShortPlanner,
		})
		c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", 3), cfdriver.Watch("relay", 3),
			cfdriver.Batch("bulletin", 4, 5*time.Second)))
		c.AwaitRunning(10*time.Second, "relay", 3)
		load := c.Start(cfdriver.Load{
			Callers: 6, Entries: []int{0, 1, 2}, Method: "POST", Path: "/dispatch/bookings?WorkMS=5", Pause: 10 * time.Millisecond,
		})
		i := r.IntN(12)
		j := i + 1
		a.inject(c, i)
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		b.inject(c, j)
		time.Sleep(hold)
		a.heal(c, i)
		b.heal(c, j)

		for e := range c.Entries {
			c.AwaitLog(e)
		}
		c.Eventually(40*time.Second, "the jobs are done", c.Ended(0, "bulletin", cffold.TaskDone, 4))
		c.AwaitRunning(30*time.Second, "relay", 3)
		c.AwaitRunning(30*time.Second, "dispatch", 3)
		sent := load.Stop()
		AddReportEntry("verdicts, evictions", fmt.Sprint(cfdriver.Tally(sent), c.Evictions(0)))
		for _, v := range c.VMs {
			c.CheckCapacity(v)
		}
		Expect(cfdriver.Tally(sent)["Answered"]).To(BeNumerically(">", 0))
		c.CheckCalls(sent)
		c.CheckHistory()
	}, pairs())

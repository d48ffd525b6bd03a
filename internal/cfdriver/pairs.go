package cfdriver

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cffold"
)

// seed chooses which process each fault of a story hits.
const seed = 20261204

// Story is one fault, and what ends it.
type Story struct {
	name   string
	inject func(c *Cluster, i int)
	heal   func(c *Cluster, i int)
}

// stories are the faults that come in pairs. Each hits the process with number i.
var stories = []Story{
	{
		"VM dies",
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Die() },
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Replace() },
	},
	{
		"agent freezes",
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Agent.Freeze() },
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Agent.Thaw() },
	},
	{
		"agent is cut off",
		func(c *Cluster, i int) { c.Cut(c.VMs[i%len(c.VMs)], Silent) },
		func(c *Cluster, i int) { c.Cut(c.VMs[i%len(c.VMs)], Pass) },
	},
	{
		"entry dies",
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Kill() },
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Restart() },
	},
	{
		"entry freezes",
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Freeze() },
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Thaw() },
	},
	{
		"entries are cut apart",
		func(c *Cluster, i int) { cutEntry(c, i%len(c.Entries), Cut) },
		func(c *Cluster, i int) { cutEntry(c, i%len(c.Entries), Pass) },
	},
	{
		"entry is cut from the log",
		func(c *Cluster, i int) { c.Log.Set(c.Entries[i%len(c.Entries)].IP, Silent) },
		func(c *Cluster, i int) { c.Log.Set(c.Entries[i%len(c.Entries)].IP, Pass) },
	},
	{
		"log is down",
		func(c *Cluster, _ int) { c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogDown}) },
		func(c *Cluster, _ int) { c.LogFault(cfstandin.LogControl{}) },
	},
	{
		"log loses answers",
		func(c *Cluster, _ int) { c.LogFault(cfstandin.LogControl{Fault: cfstandin.LogLosesAnswers}) },
		func(c *Cluster, _ int) { c.LogFault(cfstandin.LogControl{}) },
	},
}

// cutEntry cuts one entry from all others, in both directions.
func cutEntry(c *Cluster, i int, f Fault) {
	for j, e := range c.Entries {
		if j != i {
			c.Entries[i].Proxy.Set(e.IP, f)
			e.Proxy.Set(c.Entries[i].IP, f)
		}
	}
}

// Pairs returns a part of the pairs of faults, each with itself too. The parts run
// in packages of their own, at the same time.
func Pairs(part, parts int) []TableEntry {
	var out []TableEntry
	n := 0
	for i, a := range stories {
		for _, b := range stories[i:] {
			if n%parts == part {
				out = append(out, Entry(a.name+" and "+b.name, a, b, n))
			}
			n++
		}
	}
	return out
}

// hold is how long the faults last together: longer than an eviction takes.
const hold = 6 * time.Second

// CheckPair fails where two faults at once break a promise. The address part net
// keeps packages apart that run at the same time.
func CheckPair(net byte) func(a, b Story, n int) {
	return func(a, b Story, n int) {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		c := New(Shape{
			Net: net, Entries: 3, VMs: 4, Lease: ShortLease, Settings: ShortPlanner,
		})
		c.Accept(0, Intent(Service("dispatch", 3), Watch("relay", 3),
			Batch("bulletin", 4, 5*time.Second)))
		c.AwaitRunning(10*time.Second, "relay", 3)
		load := c.Start(Load{
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
		AddReportEntry("verdicts, evictions", fmt.Sprint(Tally(sent), c.Evictions(0)))
		for _, v := range c.VMs {
			c.CheckCapacity(v)
		}
		Expect(Tally(sent)["Answered"]).To(BeNumerically(">", 0))
		c.CheckCalls(sent)
		c.CheckHistory()
	}
}

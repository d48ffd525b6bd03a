package cfdriver

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfstate"
)

// seed and the number of the pair determine which processes the faults hit, and the delay
// between the starts of the two faults.
const seed = 20261204

// Scenario is a fault with the functions that inject and end it. Their argument i selects the
// process to hit.
type Scenario struct {
	name   string
	inject func(c *Cluster, i int)
	heal   func(c *Cluster, i int)
}

// scenarios are the faults that Pairs combines.
var scenarios = []Scenario{
	{
		"VM crashes",
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Crash() },
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Replace() },
	},
	{
		"agent freezes",
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Agent.Freeze() },
		func(c *Cluster, i int) { c.VMs[i%len(c.VMs)].Agent.Thaw() },
	},
	{
		"agent is partitioned",
		func(c *Cluster, i int) { c.SetAgentFault(c.VMs[i%len(c.VMs)], Silent) },
		func(c *Cluster, i int) { c.SetAgentFault(c.VMs[i%len(c.VMs)], Pass) },
	},
	{
		"entry is killed",
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Kill() },
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Restart() },
	},
	{
		"entry freezes",
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Freeze() },
		func(c *Cluster, i int) { c.Entries[i%len(c.Entries)].Thaw() },
	},
	{
		"entry is partitioned from the others",
		func(c *Cluster, i int) { setEntryFault(c, i%len(c.Entries), Cut) },
		func(c *Cluster, i int) { setEntryFault(c, i%len(c.Entries), Pass) },
	},
	{
		"entry is partitioned from the log",
		func(c *Cluster, i int) { c.LogProxy.Set(c.Entries[i%len(c.Entries)].IP, Silent) },
		func(c *Cluster, i int) { c.LogProxy.Set(c.Entries[i%len(c.Entries)].IP, Pass) },
	},
	{
		"log is down",
		func(c *Cluster, _ int) { c.SetLogFault(cfstandin.LogControl{Fault: cfstandin.LogDown}) },
		func(c *Cluster, _ int) { c.SetLogFault(cfstandin.LogControl{}) },
	},
	{
		"log loses answers",
		func(c *Cluster, _ int) { c.SetLogFault(cfstandin.LogControl{Fault: cfstandin.LogDropsAnswers}) },
		func(c *Cluster, _ int) { c.SetLogFault(cfstandin.LogControl{}) },
	},
}

// setEntryFault sets the fault of the connections between one entry and all others, in
// both directions.
func setEntryFault(c *Cluster, i int, f Fault) {
	for j, e := range c.Entries {
		if j != i {
			c.Entries[i].Proxy.Set(e.IP, f)
			e.Proxy.Set(c.Entries[i].IP, f)
		}
	}
}

// Pairs divides all pairs of scenarios into parts and returns the table entries of one part. The
// parameter parts is the number of parts, and part is the index of the returned one, starting
// at 0. The pairs include each scenario paired with itself. Each part runs in a package of its
// own, at the same time as the other parts.
func Pairs(part, parts int) []TableEntry {
	var out []TableEntry
	n := 0
	for i, a := range scenarios {
		for _, b := range scenarios[i:] {
			if n%parts == part {
				out = append(out, Entry(a.name+" and "+b.name, a, b, n))
			}
			n++
		}
	}
	return out
}

// faultOverlap is the time between the start of the second fault and the end of the first. It is
// longer than an eviction with ShortLease, which takes about 5 s.
const faultOverlap = 6 * time.Second

// CheckPair returns the body of a table spec. The spec injects two overlapping faults under
// load and ends them. It then checks that all work recovers and that calls and history are
// correct. The parameter n is the number of the pair: each pair has its own random choices.
// Packages that run at the same time need different subnets.
func CheckPair(subnet byte) func(a, b Scenario, n int) {
	return func(a, b Scenario, n int) {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		c := New(Options{
			Subnet: subnet, Entries: 3, VMs: 4, Lease: ShortLease, Settings: ShortPlanner,
		})
		c.PlanAndConfirm(0, Intent(Service("dispatch", 3), Watch("relay", 3),
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
		time.Sleep(faultOverlap)
		a.heal(c, i)
		b.heal(c, j)

		for e := range c.Entries {
			c.AwaitLogReadable(e)
		}
		c.Eventually(40*time.Second, "all tasks of bulletin are done", c.TasksInStatus(0, "bulletin", cfstate.TaskDone, 4))
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

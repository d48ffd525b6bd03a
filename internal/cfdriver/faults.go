package cfdriver

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
)

// ShortLease is lease settings under which an eviction takes about 5 s. A grant
// lasts much longer than ShortPlanner's silence, so that an eviction that does not
// wait for the lease shows as a run in two places.
const ShortLease = `{"Grant": "2s", "Ask": "200ms", "Margin": "200ms", "Poll": "150ms"}`

// ShortPlanner goes with ShortLease.
const ShortPlanner = `"Planner": {"Silence": "800ms", "PlannerSilence": "1500ms", "EntrySilence": "4s"},`

// Evictions returns how many runs of all tasks were evicted.
func (c *Cluster) Evictions(entry int) int {
	st, err := c.Status(entry)
	if err != nil {
		return 0
	}
	n := 0
	for _, w := range st.Workloads {
		for i := range w.Tasks {
			n += w.Tasks[i].Evictions
		}
	}
	return n
}

// Task returns a task as an entry knows it.
func (c *Cluster) Task(entry int, workload string, index int) cfapi.Task {
	if ts := c.Tasks(entry, workload); index < len(ts) {
		return ts[index]
	}
	return cfapi.Task{}
}

// VMOf returns the VM that a task is assigned to, or nil.
func (c *Cluster) VMOf(entry int, workload string, index int) *VMProc {
	name := c.Task(entry, workload, index).Worker.Or("")
	for _, v := range c.VMs {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// AwaitRunning waits until n tasks of a workload execute.
func (c *Cluster) AwaitRunning(limit time.Duration, workload string, n int) {
	GinkgoHelper()
	c.Eventually(limit, workload+" runs", func() bool { return len(c.Running(workload)) == n })
}

// AwaitMoved waits until a task is assigned to another VM and executes there.
func (c *Cluster) AwaitMoved(limit time.Duration, entry int, workload string, from *VMProc) *VMProc {
	GinkgoHelper()
	var to *VMProc
	c.Eventually(limit, workload+" moved off "+from.Name, func() bool {
		to = c.VMOf(entry, workload, 0)
		return to != nil && to != from && c.executes(to, workload)
	})
	return to
}

func (c *Cluster) executes(v *VMProc, workload string) bool {
	for _, r := range c.Report(v).Runs {
		if string(r.Task) == workload+"/0" && !r.State.Ended() {
			return true
		}
	}
	return false
}

// PlannerEntry returns the position of the planner among the entries.
func (c *Cluster) PlannerEntry() int {
	GinkgoHelper()
	found := -1
	c.Eventually(10*time.Second, "there is a planner", func() bool {
		st, err := c.Status(0)
		if err != nil {
			st, err = c.Status(1)
		}
		if err != nil {
			return false
		}
		for _, e := range st.Entries {
			for i, x := range c.Entries {
				if e.Planner && e.Peer == x.Proxy.addr().String() {
					found = i
				}
			}
		}
		return found >= 0
	})
	return found
}

// Cut cuts every connection that a VM's agent has, or opens, to the entries.
func (c *Cluster) Cut(v *VMProc, f Fault) {
	for _, e := range c.Entries {
		e.Proxy.Set(v.Agent.IP, f)
	}
}

// Ended reports whether n tasks of a workload have a status.
func (c *Cluster) Ended(entry int, workload string, s cffold.TaskStatus, n int) func() bool {
	return func() bool { return c.Count(entry, workload, s) == n }
}

// SetFailures changes what fails on a VM's worker.
func (c *Cluster) SetFailures(v *VMProc, s cfstandin.VMSettings) {
	GinkgoHelper()
	c.post(fmt.Sprintf("http://%s/settings", v.addr), s)
}

// RunCount returns how many runs execute on all VMs.
func (c *Cluster) RunCount() int {
	n := 0
	for _, v := range c.VMs {
		for _, r := range c.Report(v).Runs {
			if !r.State.Ended() {
				n++
			}
		}
	}
	return n
}

// CheckCapacity fails where the runs that execute on a VM need more than it holds.
func (c *Cluster) CheckCapacity(v *VMProc) {
	GinkgoHelper()
	report := c.Report(v)
	var used cfcore.Resources
	for _, r := range report.Runs {
		if !r.State.Ended() {
			used = used.Add(r.Usage)
		}
	}
	Expect(used.Fits(report.Capacity)).To(BeTrue(), "%s holds %s of %s", v.Name, used, report.Capacity)
}

// AwaitLog waits until an entry can read the log.
func (c *Cluster) AwaitLog(entry int) {
	GinkgoHelper()
	c.Eventually(10*time.Second, "the log is readable", func() bool {
		st, err := c.Status(entry)
		return err == nil && st.LogHealthy
	})
}

// LogFirst returns the offset of the oldest entry that the log still keeps.
func (c *Cluster) LogFirst() cfcore.Offset {
	var page cfcore.LogPage
	c.get(fmt.Sprintf("http://%s/streams/cranberryford/entries?From=1000000&Wait=0s", c.logAddr), &page)
	return page.First
}

package cfdriver

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfstate"
)

// ShortLease are lease settings for quick evictions. With ShortPlanner, an eviction takes about
// 5 s: Silence, 800 ms; Grant twice, 2 * 2 s; and Margin, 200 ms. Grant is much longer than
// Silence on purpose, so that CheckHistory detects an eviction that does not wait for the lease
// to expire: the old run then still executes when the new run starts.
const ShortLease = `{"Grant": "2s", "Ask": "200ms", "Margin": "200ms", "Poll": "150ms"}`

// ShortPlanner are the planner settings to use with ShortLease. An eviction begins when the
// planner fences a worker: after the time Silence without messages from the worker.
const ShortPlanner = `"Planner": {"Silence": "800ms", "PlannerSilence": "1500ms", "EntrySilence": "4s"},`

// Evictions returns the number of evictions of all tasks, as an entry reports it; 0 if the
// entry does not answer.
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

// Task returns a task of a workload as an entry reports it; the zero value if the entry does
// not list the task.
func (c *Cluster) Task(entry int, workload string, index int) cfapi.Task {
	if ts := c.Tasks(entry, workload); index < len(ts) {
		return ts[index]
	}
	return cfapi.Task{}
}

// VMOf returns the VM that a task is assigned to, as an entry reports it; nil if the task is
// not assigned.
func (c *Cluster) VMOf(entry int, workload string, index int) *VMProc {
	name := c.Task(entry, workload, index).Worker.Or("")
	for _, v := range c.VMs {
		if v.Name == name {
			return v
		}
	}
	return nil
}

// AwaitRunning waits until the workers report exactly n current runs of a workload.
func (c *Cluster) AwaitRunning(limit time.Duration, workload string, n int) {
	GinkgoHelper()
	c.Eventually(limit, workload+" has the expected number of runs", func() bool { return len(c.WorkersRunning(workload)) == n })
}

// AwaitMoved waits until the first task of a workload is assigned to a VM other than oldVM,
// and runs there. It returns the new VM.
func (c *Cluster) AwaitMoved(limit time.Duration, entry int, workload string, oldVM *VMProc) *VMProc {
	GinkgoHelper()
	var newVM *VMProc
	c.Eventually(limit, workload+" moved off "+oldVM.Name, func() bool {
		newVM = c.VMOf(entry, workload, 0)
		return newVM != nil && newVM != oldVM && c.runsFirstTask(newVM, workload)
	})
	return newVM
}

// runsFirstTask reports whether a VM executes the first task of a workload.
func (c *Cluster) runsFirstTask(v *VMProc, workload string) bool {
	for _, r := range c.Report(v).Runs {
		if string(r.Task) == workload+"/0" && !r.State.Ended() {
			return true
		}
	}
	return false
}

// PlannerEntry waits until the first or second entry reports which entry is the planner, and
// returns the planner's index in Entries.
func (c *Cluster) PlannerEntry() int {
	GinkgoHelper()
	planner := -1
	c.Eventually(10*time.Second, "there is a planner", func() bool {
		st, err := c.Status(0)
		if err != nil {
			st, err = c.Status(1)
		}
		if err != nil {
			return false
		}
		for _, e := range st.Entries {
			for i, entry := range c.Entries {
				if e.Planner && e.Peer == entry.Proxy.addr().String() {
					planner = i
				}
			}
		}
		return planner >= 0
	})
	return planner
}

// SetAgentFault sets the fault of all connections between a VM's agent and the entries.
func (c *Cluster) SetAgentFault(v *VMProc, f Fault) {
	for _, e := range c.Entries {
		e.Proxy.Set(v.Agent.IP, f)
	}
}

// TasksInStatus returns a function to pass to Eventually. The function asks an entry for its
// status and reports whether exactly n tasks of a workload are in the given status.
func (c *Cluster) TasksInStatus(entry int, workload string, s cfstate.TaskStatus, n int) func() bool {
	return func() bool { return c.CountTasks(entry, workload, s) == n }
}

// SetFailures sets which runs fail on a VM's worker, from the fields FailAll and FailTasks
// of s. The other fields are ignored.
func (c *Cluster) SetFailures(v *VMProc, s cfstandin.VMSettings) {
	GinkgoHelper()
	c.postJSON(fmt.Sprintf("http://%s/settings", v.addr), s)
}

// RunCount returns the total number of current runs on all VMs, as the workers report them.
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

// CheckCapacity fails the spec if the current runs on a VM use more than the VM's capacity.
func (c *Cluster) CheckCapacity(v *VMProc) {
	GinkgoHelper()
	report := c.Report(v)
	var used cfcore.Resources
	for _, r := range report.Runs {
		if !r.State.Ended() {
			used = used.Add(r.Usage)
		}
	}
	Expect(used.Fits(report.Capacity)).To(BeTrue(), "the runs on %s use %s, more than the capacity of the VM, %s", v.Name, used, report.Capacity)
}

// AwaitLogReadable waits until an entry reports that it can read the log.
func (c *Cluster) AwaitLogReadable(entry int) {
	GinkgoHelper()
	c.Eventually(10*time.Second, "the log is readable", func() bool {
		st, err := c.Status(entry)
		return err == nil && st.LogHealthy
	})
}

// LogFirstOffset returns the offset of the oldest entry that the log retains. It reads from
// an offset beyond the end of the log, so that the response contains no entries.
func (c *Cluster) LogFirstOffset() cfcore.Offset {
	var page cfcore.LogPage
	c.getJSON(fmt.Sprintf("http://%s/streams/cranberryford/entries?From=1000000&Wait=0s", c.logAddr), &page)
	return page.First
}

package state

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfdriver"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfstate"
)

// replaceAll kills all entries and then starts new ones. The new entries have no state.
func replaceAll(c *cfdriver.Cluster) {
	for _, e := range c.Entries {
		e.Kill()
	}
	for _, e := range c.Entries {
		e.Restart()
	}
}

var _ = DescribeTable("all state is recovered from the log",
	func(settings string, keep int, replace func(c *cfdriver.Cluster)) {
		c := cfdriver.New(cfdriver.Options{
			Subnet: 40, Entries: 3, VMs: 3, Lease: cfdriver.ShortLease,
			Settings: fmt.Sprintf(`"Planner": {"Silence": "800ms", "PlannerSilence": "1500ms", "EntrySilence": "4s"%s},`, settings),
		})
		c.SetLogFault(cfstandin.LogControl{Keep: keep})
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", 2), cfdriver.Watch("relay", 2)))
		for i := range 30 {
			c.PlanAndConfirm(i%3, cfdriver.Intent(cfdriver.Batch(fmt.Sprintf("job-%d", i), 1, 500*time.Millisecond)))
		}
		c.AwaitRunning(10*time.Second, "relay", 2)
		c.PlanAndConfirm(1, cfdriver.Intent(cfdriver.Batch("bulletin", 4, 6*time.Second)))
		if keep > 0 {
			Expect(c.LogFirstOffset()).To(BeNumerically(">", 1), "the first entries of the log have expired")
			// The state can be recovered only while the log retains a snapshot. The log can lack
			// one for a moment: it retains only the last 40 log entries (keep), and the test
			// writes that many within a fraction of a second. So wait for a snapshot.
			c.Eventually(time.Second, "the log retains a usable snapshot", c.HasUsableSnapshot)
		}
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				AddReportEntry("the log", c.DescribeLog())
			}
		})
		start := time.Now()
		replace(c)
		c.Eventually(20*time.Second, "an entry has recovered the state", func() bool {
			return hasTasks(c, 0, "relay") && c.Call(0, "GET", "/dispatch/", "").Verdict == "Answered"
		})
		AddReportEntry("recovered after", time.Since(start).String())
		for i := range 30 {
			// Some jobs were still running when the entries were killed. No job must be lost.
			name := fmt.Sprintf("job-%d", i)
			c.Eventually(20*time.Second, name+" is done", c.TasksInStatus(0, name, cfstate.TaskDone, 1))
			Expect(c.CountRuns(cfcore.NewTaskID(name, 0), "Done")).To(Equal(1), name)
		}
		c.Eventually(30*time.Second, "the job is done", c.TasksInStatus(1, "bulletin", cfstate.TaskDone, 4))
		c.AwaitRunning(20*time.Second, "relay", 2)
		c.CheckHistory()
	},
	Entry("when all entries are replaced at once", "", 0, replaceAll),
	Entry("when all entries are replaced one by one", "", 0, func(c *cfdriver.Cluster) {
		for _, e := range c.Entries {
			e.Kill()
			e.Restart()
			time.Sleep(3 * time.Second)
		}
	}),
	Entry("when all entries are replaced and the first entries of the log have expired",
		`, "SnapshotEvery": 15`, 40, replaceAll),
)

var _ = Describe("an evicted task", func() {
	It("resumes once, from its newest checkpoint", func() {
		c := newCluster(2, 3)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Batch("bulletin", 1, 8*time.Second)))
		c.AwaitRunning(10*time.Second, "bulletin", 1)
		c.Eventually(10*time.Second, "there is a checkpoint", func() bool {
			return c.Task(0, "bulletin", 0).Checkpoint.Or("") >= "2s"
		})
		checkpoint := c.Task(0, "bulletin", 0).Checkpoint.Or("")
		oldVM := c.VMOf(0, "bulletin", 0)
		oldVM.Crash()
		oldVM.Replace()
		c.Eventually(30*time.Second, "the job is done", c.TasksInStatus(0, "bulletin", cfstate.TaskDone, 1))
		spans := c.Spans()
		Expect(spans).To(HaveLen(2))
		minProgress, err := time.ParseDuration(checkpoint)
		Expect(err).NotTo(HaveOccurred())
		Expect(spans[1].StartProgress).To(BeNumerically(">=", minProgress))
		c.CheckHistory()
	})

	It("keeps all its progress when its agent shuts down gracefully", func() {
		c := newCluster(2, 2)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Batch("bulletin", 1, 6*time.Second)))
		c.AwaitRunning(10*time.Second, "bulletin", 1)
		time.Sleep(1500 * time.Millisecond)
		c.VMOf(0, "bulletin", 0).Agent.Terminate()
		c.Eventually(20*time.Second, "the job is done", c.TasksInStatus(0, "bulletin", cfstate.TaskDone, 1))
		spans := c.Spans()
		Expect(spans).To(HaveLen(2))
		Expect(spans[1].StartProgress).To(Equal(spans[0].Progress))
		c.CheckHistory()
	})

	It("is held if its workload permits no restart, until an operator restarts it", func() {
		c := newCluster(2, 2)
		w := cfdriver.Watch("relay", 1)
		w.Permissions = nil
		c.PlanAndConfirm(0, cfdriver.Intent(w))
		c.AwaitRunning(10*time.Second, "relay", 1)
		c.VMOf(0, "relay", 0).Crash()
		c.Eventually(20*time.Second, "the task is held", c.TasksInStatus(0, "relay", cfstate.TaskHeld, 1))
		Consistently(func() []string { return c.WorkersRunning("relay") }).WithTimeout(2 * time.Second).Should(BeEmpty())
		c.PlanAndConfirm(1, &cfapi.Intent{Restart: []string{"relay"}})
		c.AwaitRunning(10*time.Second, "relay", 1)
		c.CheckHistory()
	})
})

var _ = Describe("the removal of 1,000 jobs at once", func() {
	It("ends all runs, and no job completes after the confirmation", func() {
		c := newCluster(2, 3)
		var names []string
		var ws []cfapi.Workload
		for i := range 1000 {
			name := fmt.Sprintf("job-%d", i)
			names = append(names, name)
			w := cfdriver.Batch(name, 1, 3*time.Second)
			w.Resources = cfdriver.NewResources(300, 300)
			ws = append(ws, w)
		}
		c.PlanAndConfirm(0, &cfapi.Intent{Teams: []cfapi.Team{cfdriver.Team()}, Workloads: ws})
		c.Eventually(10*time.Second, "more than 20 runs execute", func() bool { return c.RunCount() > 20 })
		c.PlanAndConfirm(1, &cfapi.Intent{Remove: names})
		confirmedAt := time.Now()
		const bound = 15 * time.Second
		c.Eventually(bound, "no run executes", func() bool { return c.RunCount() == 0 })
		AddReportEntry("time until no run executed", time.Since(confirmedAt).String())
		// The entry can still list the tasks as stopping. It learns that a run has ended only
		// after the agent has polled the worker again, at the interval of the setting VMPoll.
		var st *cfapi.Status
		c.Eventually(time.Until(confirmedAt.Add(bound)), "the entry reports that no task is stopping", func() bool {
			var err error
			st, err = c.Status(0)
			return err == nil && !hasTaskInStatus(st, string(cfstate.TaskStopping))
		})
		AddReportEntry("time until the entry reported that no task is stopping", time.Since(confirmedAt).String())
		done, cancelled := 0, 0
		for _, w := range st.Workloads {
			for _, t := range w.Tasks {
				switch t.Status {
				case string(cfstate.TaskDone):
					done++
					Expect(t.Since).To(BeTemporally("<=", confirmedAt))
				case string(cfstate.TaskCancelled):
					cancelled++
				default:
					Fail("task " + t.ID + " is " + t.Status)
				}
			}
		}
		Expect(done + cancelled).To(Equal(1000))
		for _, w := range st.Workers {
			Expect(w.Used.MilliCores.Or(0)).To(BeZero())
		}
		c.CheckHistory()
	})
})

var _ = Describe("failing tasks", func() {
	It("quarantine a worker on which every run fails, and complete on others", func() {
		c := newCluster(2, 3)
		c.SetFailures(c.VMs[0], cfstandin.VMSettings{FailAll: true})
		for i := range 12 {
			c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Batch(fmt.Sprintf("job-%d", i), 1, 300*time.Millisecond)))
		}
		c.Eventually(20*time.Second, "all jobs are done", func() bool {
			n := 0
			for i := range 12 {
				n += c.CountTasks(0, fmt.Sprintf("job-%d", i), cfstate.TaskDone)
			}
			return n == 12
		})
		st, err := c.Status(0)
		Expect(err).NotTo(HaveOccurred())
		for _, w := range st.Workers {
			if w.ID == c.VMs[0].Name {
				Expect(w.State).To(Equal("Quarantined"))
			} else {
				Expect(w.State).To(Equal("Up"))
			}
		}
	})

	It("that fail on every worker end with a reason, and no worker is quarantined", func() {
		c := newCluster(2, 3)
		for _, v := range c.VMs {
			c.SetFailures(v, cfstandin.VMSettings{FailTasks: []string{"bad"}})
		}
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Batch("bad", 3, time.Second), cfdriver.Batch("good", 3, time.Second)))
		c.Eventually(20*time.Second, "the bad job has failed", c.TasksInStatus(0, "bad", cfstate.TaskFailed, 3))
		c.Eventually(20*time.Second, "the good job is done", c.TasksInStatus(0, "good", cfstate.TaskDone, 3))
		st, err := c.Status(0)
		Expect(err).NotTo(HaveOccurred())
		for _, w := range st.Workers {
			Expect(w.State).To(Equal("Up"))
		}
		e, err := c.Entries[1].API.ExplainTask(testContext(), cfapi.ExplainTaskParams{Task: "bad/0"})
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Task.Reason.Or("")).To(ContainSubstring("the worker fails what it starts"))
		Expect(e.Task.Failures).To(Equal(3))
	})
})

var _ = Describe("an urgent service", func() {
	It("evicts batch tasks that permit it from full VMs, never a watch, and starts in time", func() {
		c := newCluster(2, 2)
		// Of the 16 cores of a VM, 10 % are headroom and a task of the watch uses 0.5. The other
		// 13.9 cores have room for 6 tasks of 2 cores each.
		batch := cfdriver.Batch("filler", 12, time.Minute)
		batch.Resources = cfdriver.NewResources(2000, 2000)
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Watch("relay", 2), batch))
		c.AwaitRunning(10*time.Second, "filler", 12)
		urgent := cfdriver.Service("dispatch", 2)
		urgent.Resources = cfdriver.NewResources(6000, 6000)
		start := time.Now()
		c.PlanAndConfirm(0, cfdriver.Intent(urgent))
		c.AwaitRunning(urgentBound, "dispatch", 2)
		took := time.Since(start)
		AddReportEntry("urgent service started after", took.String())
		Expect(took).To(BeNumerically("<", urgentBound))
		Expect(c.WorkersRunning("relay")).To(HaveLen(2))
		for _, t := range c.Tasks(0, "relay") {
			Expect(t.Evictions).To(BeZero())
		}
		c.CheckHistory()
	})
})

// urgentBound is the longest time from the request for a plan with an urgent service until all
// tasks of the service run.
const urgentBound = 6900 * time.Millisecond

// hasTaskInStatus reports whether at least one task of any workload is in a status.
func hasTaskInStatus(st *cfapi.Status, status string) bool {
	for _, w := range st.Workloads {
		for _, t := range w.Tasks {
			if t.Status == status {
				return true
			}
		}
	}
	return false
}

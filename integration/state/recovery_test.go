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
	"cranberryford/pkg/cffold"
)

// replaceAll kills every entry and starts new ones, with nothing kept.
func replaceAll(c *cfdriver.Cluster) {
	for _, e := range c.Entries {
		e.Kill()
	}
	for _, e := range c.Entries {
		e.Restart()
	}
}

var _ = DescribeTable("all state comes back from the log",
	func(settings string, keep int, replace func(c *cfdriver.Cluster)) {
		c := cfdriver.New(cfdriver.Shape{
			Net: 40, Entries: 3, VMs: 3, Lease: cfdriver.ShortLease,
			Settings: fmt.Sprintf(`"Planner": {"Silence": "800ms", "PlannerSilence": "1500ms", "EntrySilence": "4s"%s},`, settings),
		})
		c.LogFault(cfstandin.LogControl{Keep: keep})
		c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", 2), cfdriver.Watch("relay", 2)))
		for i := range 30 {
			c.Accept(i%3, cfdriver.Intent(cfdriver.Batch(fmt.Sprintf("job-%d", i), 1, 500*time.Millisecond)))
		}
		c.AwaitRunning(10*time.Second, "relay", 2)
		c.Accept(1, cfdriver.Intent(cfdriver.Batch("bulletin", 4, 6*time.Second)))
		if keep > 0 {
			Expect(c.LogFirst()).To(BeNumerically(">", 1), "the first records have expired")
			// A retention of 40 entries is a fraction of a second here: the promise is for
			// a log that keeps a snapshot.
			c.Eventually(time.Second, "a snapshot is kept", c.SnapshotKept)
		}
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				AddReportEntry("the log", c.DescribeLog())
			}
		})
		began := time.Now()
		replace(c)
		c.Eventually(20*time.Second, "an entry knows it all", func() bool {
			return knows(c, 0, "relay") && c.Call(0, "GET", "/dispatch/", "").Verdict == "Answered"
		})
		AddReportEntry("recovered after", time.Since(began).String())
		for i := range 30 {
			// Some were still running when the entries went; none may be lost.
			name := fmt.Sprintf("job-%d", i)
			c.Eventually(20*time.Second, name+" is done", c.Ended(0, name, cffold.TaskDone, 1))
			Expect(c.Runs(cfcore.NewTaskID(name, 0), "Done")).To(Equal(1), name)
		}
		c.Eventually(30*time.Second, "the job is done", c.Ended(1, "bulletin", cffold.TaskDone, 4))
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
	Entry("when all entries are replaced and the first records have expired",
		`, "SnapshotEvery": 15`, 40, replaceAll),
)

var _ = Describe("evicted work", func() {
	It("resumes once, from its newest checkpoint", func() {
		c := cluster(2, 3)
		c.Accept(0, cfdriver.Intent(cfdriver.Batch("bulletin", 1, 8*time.Second)))
		c.AwaitRunning(10*time.Second, "bulletin", 1)
		c.Eventually(10*time.Second, "there is a checkpoint", func() bool {
			return c.Task(0, "bulletin", 0).Checkpoint.Or("") >= "2s"
		})
		checkpoint := c.Task(0, "bulletin", 0).Checkpoint.Or("")
		from := c.VMOf(0, "bulletin", 0)
		from.Die()
		from.Replace()
		c.Eventually(30*time.Second, "the job is done", c.Ended(0, "bulletin", cffold.TaskDone, 1))
		spans := c.Spans()
		Expect(spans).To(HaveLen(2))
		least, err := time.ParseDuration(checkpoint)
		Expect(err).NotTo(HaveOccurred())
		Expect(spans[1].Resumed).To(BeNumerically(">=", least))
		c.CheckHistory()
	})

	It("moves with all its progress when its VM shuts down gracefully", func() {
		c := cluster(2, 2)
		c.Accept(0, cfdriver.Intent(cfdriver.Batch("bulletin", 1, 6*time.Second)))
		c.AwaitRunning(10*time.Second, "bulletin", 1)
		time.Sleep(1500 * time.Millisecond)
		c.VMOf(0, "bulletin", 0).Agent.Term()
		c.Eventually(20*time.Second, "the job is done", c.Ended(0, "bulletin", cffold.TaskDone, 1))
		spans := c.Spans()
		Expect(spans).To(HaveLen(2))
		Expect(spans[1].Resumed).To(Equal(spans[0].Progress))
		c.CheckHistory()
	})

	It("is held where its plan gives no permission, until an operator allows it", func() {
		c := cluster(2, 2)
		w := cfdriver.Watch("relay", 1)
		w.Permissions = nil
		c.Accept(0, cfdriver.Intent(w))
		c.AwaitRunning(10*time.Second, "relay", 1)
		c.VMOf(0, "relay", 0).Die()
		c.Eventually(20*time.Second, "it is held", c.Ended(0, "relay", cffold.TaskHeld, 1))
		Consistently(func() []string { return c.Running("relay") }).WithTimeout(2 * time.Second).Should(BeEmpty())
		c.Accept(1, &cfapi.Intent{Restart: []string{"relay"}})
		c.AwaitRunning(10*time.Second, "relay", 1)
		c.CheckHistory()
	})
})

var _ = Describe("a wave of 1,000 cancellations", func() {
	It("leaves nothing behind, and nothing completes after it was confirmed", func() {
		c := cluster(2, 3)
		var names []string
		var ws []cfapi.Workload
		for i := range 1000 {
			name := fmt.Sprintf("job-%d", i)
			names = append(names, name)
			w := cfdriver.Batch(name, 1, 3*time.Second)
			w.Resources = cfdriver.Res(300, 300)
			ws = append(ws, w)
		}
		c.Accept(0, &cfapi.Intent{Teams: []cfapi.Team{cfdriver.Team()}, Workloads: ws})
		c.Eventually(10*time.Second, "some run", func() bool { return c.RunCount() > 20 })
		c.Accept(1, &cfapi.Intent{Remove: names})
		confirmed := time.Now()
		const bound = 15 * time.Second
		c.Eventually(bound, "nothing is left", func() bool { return c.RunCount() == 0 })
		AddReportEntry("nothing left after", time.Since(confirmed).String())
		// An entry hears of an end with the next look at the worker, after VMPoll.
		var st *cfapi.Status
		c.Eventually(time.Until(confirmed.Add(bound)), "the entry knows that nothing is left", func() bool {
			var err error
			st, err = c.Status(0)
			return err == nil && !anyTask(st, string(cffold.TaskStopping))
		})
		AddReportEntry("known after", time.Since(confirmed).String())
		done, cancelled := 0, 0
		for _, w := range st.Workloads {
			for _, t := range w.Tasks {
				switch t.Status {
				case string(cffold.TaskDone):
					done++
					Expect(t.Since).To(BeTemporally("<=", confirmed))
				case string(cffold.TaskCancelled):
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

var _ = Describe("failing work", func() {
	It("on a worker that fails everything gets that worker quarantined, and runs elsewhere", func() {
		c := cluster(2, 3)
		c.SetFailures(c.VMs[0], cfstandin.VMSettings{FailAll: true})
		for i := range 12 {
			c.Accept(0, cfdriver.Intent(cfdriver.Batch(fmt.Sprintf("job-%d", i), 1, 300*time.Millisecond)))
		}
		c.Eventually(20*time.Second, "all jobs are done", func() bool {
			n := 0
			for i := range 12 {
				n += c.Count(0, fmt.Sprintf("job-%d", i), cffold.TaskDone)
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

	It("that fails everywhere stops with its reason, and no worker is blamed", func() {
		c := cluster(2, 3)
		for _, v := range c.VMs {
			c.SetFailures(v, cfstandin.VMSettings{FailTasks: []string{"bad"}})
		}
		c.Accept(0, cfdriver.Intent(cfdriver.Batch("bad", 3, time.Second), cfdriver.Batch("good", 3, time.Second)))
		c.Eventually(20*time.Second, "the bad job stops", c.Ended(0, "bad", cffold.TaskFailed, 3))
		c.Eventually(20*time.Second, "the good job is done", c.Ended(0, "good", cffold.TaskDone, 3))
		st, err := c.Status(0)
		Expect(err).NotTo(HaveOccurred())
		for _, w := range st.Workers {
			Expect(w.State).To(Equal("Up"))
		}
		e, err := c.Entries[1].API.ExplainTask(ctx(), cfapi.ExplainTaskParams{Task: "bad/0"})
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Task.Reason.Or("")).To(ContainSubstring("the worker fails what it starts"))
		Expect(e.Task.Failures).To(Equal(3))
	})
})

var _ = Describe("urgent work", func() {
	It("on a full fleet evicts permitted batch work, never a watch, and starts in time", func() {
		c := cluster(2, 2)
		// A relay and the headroom of a tenth leave room for 6 of 2 cores on each VM.
		filler := cfdriver.Batch("filler", 12, time.Minute)
		filler.Resources = cfdriver.Res(2000, 2000)
		c.Accept(0, cfdriver.Intent(cfdriver.Watch("relay", 2), filler))
		c.AwaitRunning(10*time.Second, "filler", 12)
		urgent := cfdriver.Service("dispatch", 2)
		urgent.Resources = cfdriver.Res(6000, 6000)
		began := time.Now()
		c.Accept(0, cfdriver.Intent(urgent))
		c.AwaitRunning(urgentBound, "dispatch", 2)
		took := time.Since(began)
		AddReportEntry("urgent work started after", took.String())
		Expect(took).To(BeNumerically("<", urgentBound))
		Expect(c.Running("relay")).To(HaveLen(2))
		for _, t := range c.Tasks(0, "relay") {
			Expect(t.Evictions).To(BeZero())
		}
		c.CheckHistory()
	})
})

// urgentBound is the time in which urgent work starts.
const urgentBound = 6900 * time.Millisecond

// anyTask reports whether a task of any workload has a status.
func anyTask(st *cfapi.Status, status string) bool {
	for _, w := range st.Workloads {
		for _, t := range w.Tasks {
			if t.Status == status {
				return true
			}
		}
	}
	return false
}

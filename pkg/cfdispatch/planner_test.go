package cfdispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

func TestStepsWaitForTheirPredecessors(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	second := newStep(1, 100)
	second.After = []int{0}
	f.add("j", newStep(2, 100), second)
	f.Expect(f.runPlanner()).To(HaveLen(2))
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("j.1@")))
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

func TestCapacityIsNeverOverbooked(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(5, 1500))
	f.Expect(f.runPlanner()).To(HaveLen(2), "4,000 thousandths of a core fit two tasks of 1,500")
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
}

func TestBestEffortTasksReserveMemoryOnly(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	bestEffort := newStep(3, 1500)
	bestEffort.BestEffort = true
	f.add("j", bestEffort)
	f.Expect(f.runPlanner()).To(HaveLen(3), "more CPU than the worker has")
	f.add("full", newStep(1, 4000))
	f.Expect(f.runPlanner()).To(HaveLen(1), "best-effort tasks reserve no CPU")
}

// The platform counts a job as lost if no task of it runs for 3 s while there is capacity.
func TestEachBestEffortJobHasARunningTask(t *testing.T) {
	const maxWait = 3 * time.Second
	f := newFleet(t, newPlanner(), "a")
	bestEffort := newStep(3, 1500)
	bestEffort.BestEffort = true
	startDelays := map[string]time.Duration{}
	for i := range 6 {
		f.add(fmt.Sprintf("j%d", i), bestEffort)
	}
	for range 10 {
		for _, s := range f.runPlanner() {
			id, _, _ := strings.Cut(s, ".")
			if _, ok := startDelays[id]; !ok {
				startDelays[id] = f.now.Sub(epochStart)
			}
		}
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
	}
	f.Expect(startDelays).To(HaveLen(6))
	for id, delay := range startDelays {
		f.Expect(delay).To(BeNumerically("<", maxWait-time.Second), id)
	}
}

func TestRequirementsAndMaxPerWorker(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b", "c")
	f.workers["b"].state.Labels[0] = "special"
	f.report()
	required := newStep(1, 100)
	required.Requirement = "special"
	f.add("needs", required)
	f.Expect(f.runPlanner()).To(ConsistOf("needs.0@b"))
	spread := newStep(5, 100)
	spread.MaxPerWorker = 1
	f.add("apart", spread)
	f.Expect(f.runPlanner()).To(HaveLen(3), "one task on each worker")
}

func TestAttemptsAreCountedOnce(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b", "c")
	f.add("j", newStep(1, 100))
	f.runPlanner()
	f.endRuns("j", cfcore.EndFailed)
	f.report() // lists the same end again
	f.Expect(f.outcome("j")).To(BeEmpty())
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.endRuns("j", cfcore.EndFailed)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeFailed))
}

func TestGangStartsWholeWithOneRunNumber(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	gang := newStep(3, 2500)
	gang.Gang = true
	f.add("j", gang)
	f.Expect(f.runPlanner()).To(BeEmpty(), "two workers fit only two members")
	gang.Count = 2
	f.add("k", gang)
	f.Expect(f.runPlanner()).To(HaveLen(2))
	runs := map[uint64]bool{}
	for _, w := range f.workers {
		for _, s := range w.runs {
			runs[s.Run] = true
		}
	}
	f.Expect(runs).To(HaveLen(1))
}

func TestCancelledJobsAreStopped(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(2, 100))
	f.runPlanner()
	f.report()
	f.Cancel("j")
	f.runPlanner()
	f.Expect(f.workers["a"].stops).To(Equal([]string{"j", "j"}))
	f.now = f.now.Add(settings.ResendAfter)
	f.report()
	f.runPlanner()
	f.Expect(f.workers["a"].stops).To(HaveLen(4), "a stop without a result is sent again")
}

func TestEndsAreAcknowledgedOnceRecorded(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(1, 100))
	f.runPlanner()
	f.endRuns("j", cfcore.EndDone)
	updates, ends := f.TakeUnrecordedProgress(f.now, false)
	f.Expect(updates).To(HaveLen(1))
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeZero())
	f.MarkEndsRecorded(ends)
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeEquivalentTo(1))
}

func TestFailingWorkerIsQuarantined(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	pin := func(id string) {
		s := newStep(1, 100)
		s.Requirement = "rack-0"
		f.add(id, s)
	}
	pin("x")
	pin("y")
	f.Expect(f.runPlanner()).To(HaveLen(2))
	f.endRuns("x", cfcore.EndFailed)
	f.endRuns("y", cfcore.EndFailed)
	pin("z")
	f.Expect(f.runPlanner()).To(BeEmpty(), "two jobs in a row failed on a")
	f.now = f.now.Add(2100 * time.Millisecond)
	f.report()
	f.Expect(f.runPlanner()).To(HaveLen(3))
}

// A best-effort task runs next to a latency-critical task whose tail latency is over its
// target.
func TestBestEffortTasksArePausedBeforeInterferenceLasts(t *testing.T) {
	const maxTimeOver = 4 * time.Second
	f := newFleet(t, newPlanner(), "a")
	critical := newStep(1, 100)
	critical.LongRunning, critical.TailTarget = true, 50*time.Millisecond
	bestEffort := newStep(1, 2000)
	bestEffort.BestEffort = true
	f.add("watch", critical, bestEffort)
	f.runPlanner()
	w := f.workers["a"]
	start := f.now
	var pausedAfter time.Duration
	for f.now.Sub(start) < maxTimeOver && pausedAfter == 0 {
		w.gauges[0] = 200
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		f.runPlanner()
		if percent, ok := w.speeds["watch"]; ok && percent == 0 {
			pausedAfter = f.now.Sub(start)
		}
	}
	f.Expect(pausedAfter).To(And(BeNumerically(">", time.Second), BeNumerically("<", maxTimeOver-time.Second)))
	w.gauges[0] = 20
	for range 5 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		f.runPlanner()
	}
	f.Expect(w.speeds["watch"]).To(Equal(100), "the best-effort task resumes")
}

func TestSchedule(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{
		ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now,
		Schedule: &cfjob.Schedule{Count: 2, FirstRun: f.now.Add(time.Second), Period: time.Second},
	}}, queue, false)
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.now = f.now.Add(time.Second)
	f.report()
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.now = f.now.Add(time.Second)
	f.report()
	f.Expect(f.runPlanner()).To(HaveLen(1))
}

// An earlier planner may have paused a best-effort task just before losing its leadership.
func TestAdoptedBestEffortTasksResume(t *testing.T) {
	bestEffort := newStep(1, 2000)
	bestEffort.BestEffort = true
	old := newFleet(t, newPlanner(), "a")
	old.add("j", bestEffort)
	old.runPlanner()
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{bestEffort}}}, queue, true)
	f.workers = old.workers
	f.workers["a"].speeds["j"] = 0
	f.report()
	f.runPlanner()
	f.Expect(f.workers["a"].speeds["j"]).To(Equal(100))
}

// The order to pause a best-effort task can be carried out after the newer order to resume
// the task.
func TestPausedBestEffortTasksAreResumedAgain(t *testing.T) {
	bestEffort := newStep(1, 2000)
	bestEffort.BestEffort = true
	f := newFleet(t, newPlanner(), "a")
	f.add("j", bestEffort)
	f.runPlanner()
	f.workers["a"].speeds["j"] = 0
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		f.runPlanner()
	}
	f.Expect(f.workers["a"].speeds["j"]).To(Equal(100))
}

// A worker is full of less urgent tasks, and more such tasks are waiting.
func TestUrgentTaskPreemptsLessUrgentOnes(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	lowPriority := queue
	lowPriority.Priority = 2
	batch := newStep(12, 1000)
	batch.Checkpointing = true
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "batch", Queue: lowPriority, Steps: []cfjob.Step{batch}, Accepted: f.now}}, lowPriority, false)
	f.Expect(f.runPlanner()).To(HaveLen(4))
	f.report()
	f.add("urgent", newStep(1, 2500))
	w := f.workers["a"]
	for range 5 {
		f.Expect(f.runPlanner()).To(BeEmpty())
		f.now = f.now.Add(100 * time.Millisecond)
		f.report()
	}
	f.Expect(w.stops).To(Equal([]string{"batch", "batch", "batch"}), "no more runs than needed")
	n := 0
	for k, s := range w.runs {
		if n++; n <= 3 {
			delete(w.runs, k)
			w.ended = append(w.ended, cfcore.EndedTask{Number: uint64(n), Task: s.Task, Run: s.Run, How: cfcore.EndStopped})
		}
	}
	f.report()
	f.Expect(f.runPlanner()).To(ContainElement("urgent.0@a"))
}

func TestDrainingWorkerIsEvacuated(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	long, short, plain := newStep(1, 100), newStep(1, 100), newStep(1, 100)
	long.LongRunning = true
	short.Checkpointing, short.Estimate = true, 100*time.Millisecond
	for _, s := range []*cfjob.Step{&long, &short, &plain} {
		s.Requirement = "rack-0"
	}
	f.add("long", long)
	f.add("short", short)
	f.add("plain", plain)
	f.Expect(f.runPlanner()).To(HaveLen(3))
	f.workers["b"].state.Labels[1] = "rack-0"
	f.workers["a"].state.Draining, f.workers["a"].state.Remaining = true, 3*time.Second
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(f.workers["a"].stops).To(Equal([]string{"long"}), "the others finish in time, or would start from scratch")
	f.endRuns("long", cfcore.EndStopped)
	f.Expect(f.runPlanner()).To(ConsistOf("long.0@b"))
}

func TestStalledRunsMove(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", newStep(1, 100))
	agent := strings.TrimPrefix(f.runPlanner()[0], "j.0@")
	for i := range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		if i < 4 {
			f.workers[agent].extraPercent += 5
		}
		f.report()
		f.runPlanner()
		if i < 7 {
			f.Expect(f.workers[agent].stops).To(BeEmpty(), "report %d", i)
		}
	}
	f.Expect(f.workers[agent].stops).NotTo(BeEmpty())
	f.endRuns("j", cfcore.EndStopped)
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.Expect(f.workers[agent].runs).To(BeEmpty(), "the task runs on the other worker")
}

func TestSlowDuplicableTaskGetsASecondRun(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	plain, duplicable := newStep(20, 100), newStep(1, 100)
	duplicable.Duplicable = true
	f.add("plain", plain)
	f.add("twice", duplicable)
	f.Expect(f.runPlanner()).To(HaveLen(21))
	var copies []string
	for range 10 {
		f.now = f.now.Add(300 * time.Millisecond)
		for _, w := range f.workers {
			w.extraPercent++
		}
		f.report()
		f.ExpireLeases(f.now, f.now)
		copies = append(copies, f.runPlanner()...)
	}
	f.Expect(copies).To(ConsistOf(HavePrefix("twice.0@")))
	f.endRuns("twice", cfcore.EndDone)
	f.Expect(f.outcome("twice")).To(Equal(cfjob.OutcomeCompleted))
}

// A task that stalls on every worker must not be moved endlessly.
func TestTaskStalledOnEveryWorkerIsMovedRarely(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", newStep(1, 100))
	starts := len(f.runPlanner())
	for range 200 {
		f.now = f.now.Add(300 * time.Millisecond)
		f.report()
		if starts += len(f.runPlanner()); len(f.workers["a"].stops)+len(f.workers["b"].stops) > 0 {
			f.workers["a"].stops, f.workers["b"].stops = nil, nil
			f.endRuns("j", cfcore.EndStopped)
		}
	}
	f.Expect(starts).To(And(BeNumerically(">", 1), BeNumerically("<", 6)), "starts in a minute")
}

// A job counts as waiting until its start is on record.
func TestStartOfGangIsRecorded(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	gang := newStep(2, 100)
	gang.Gang = true
	f.add("j", gang)
	f.Expect(f.runPlanner()).To(HaveLen(2))
	updates, _ := f.TakeUnrecordedProgress(f.now.Add(time.Second), false)
	f.Expect(updates).To(HaveLen(1))
	f.Expect(updates[0].Progress.Started).To(BeTrue())
}

// An earlier planner may have ended before it recorded the start of a job.
func TestAdoptedJobIsRecordedAsStarted(t *testing.T) {
	old := newFleet(t, newPlanner(), "a")
	old.add("j", newStep(1, 100))
	old.runPlanner()
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}}}, queue, true)
	f.workers = old.workers
	f.report()
	updates, _ := f.TakeUnrecordedProgress(f.now.Add(time.Second), false)
	f.Expect(updates).To(HaveLen(1))
	f.Expect(updates[0].Progress.Started).To(BeTrue())
}

// A worker's refusal arrives within 2 ms. Retries without a delay would cause hundreds of
// start orders a second, and each of them takes time in the entry and in the agent.
func TestRefusedStartsAreNotRetriedAtOnce(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(1, 100))
	starts := 0
	for range 500 {
		f.Plan(f.now)
		var results []cfwire.JobOrderResult
		if o := f.TakeOrders(f.now)["a"]; o != nil {
			for _, s := range o.Starts {
				starts++
				results = append(results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorNoCapacity})
			}
		}
		f.now = f.now.Add(2 * time.Millisecond)
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Results: results})
	}
	f.Expect(starts).To(BeNumerically("<=", 10), "starts in a second")
	f.Expect(starts).To(BeNumerically(">", 1), "the worker is tried again")
}

func TestAgentsOfWorkersThatLeftAreNotOnRecord(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	left := &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{Left: true}}
	f.ApplyReport(f.now, "a", left)
	f.ApplyReport(f.now, "a", left)
	f.Expect(f.ExpireLeases(f.now, f.now)).To(Equal([]cfdispatch.GoneAgent{{Agent: "a", HasLeft: true}}), "reported once")
	f.MarkAgentRecorded("a")
	f.Expect(f.UnrecordedAgents()).To(BeEmpty())
	f.add("j", newStep(2, 1000))
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b", "j.0@b"))

	f.workers["a"].state.Born = epochStart.Add(time.Second)
	f.report("a")
	f.Expect(f.UnrecordedAgents()).To(ConsistOf("a"), "another incarnation")
}

// Orders that an agent does not receive are not repeated as such. Without its acknowledgement, the
// worker lists an end again and again.
func TestAcknowledgementIsRepeated(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(1, 100))
	f.runPlanner()
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	f.Expect(f.TakeOrders(f.now)["a"].RecordedEnd).To(BeEquivalentTo(1))
	f.report()
	f.Expect(f.TakeOrders(f.now)["a"]).To(BeNil())
	f.RepeatAcknowledgement("a")
	f.Expect(f.TakeOrders(f.now)["a"].RecordedEnd).To(BeEquivalentTo(1))
	f.RepeatAcknowledgement("unknown")
}

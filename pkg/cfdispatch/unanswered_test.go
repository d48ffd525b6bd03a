package cfdispatch_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// unansweredFor returns the report of an agent that a start got no answer just now.
func unansweredFor(run cfwire.JobStart, results ...cfwire.JobOrderResult) *cfwire.JobReport {
	return &cfwire.JobReport{
		Unanswered: []cfwire.JobUnansweredStart{{Task: run.Task, Run: run.Run, For: cfcore.MaxOrderDelay}}, Results: results,
	}
}

// A start without an answer was given up with the leases on its worker, and its task started elsewhere.
// The worker executed it up to 12 s after it was sent, after a restart under its ID.
func TestTaskOfAnUnansweredStartWaitsForIt(t *testing.T) {
	for name, c := range map[string]struct {
		step   cfjob.Step
		report func(run cfwire.JobStart) *cfwire.JobReport
		waits  bool
	}{
		"no result": {step: newStep(1, 100), waits: true},
		"a result": {step: newStep(1, 100), report: func(run cfwire.JobStart) *cfwire.JobReport {
			return &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run}}}
		}},
		"a result after an unanswered attempt": {step: newStep(1, 100), waits: true, report: func(run cfwire.JobStart) *cfwire.JobReport {
			return unansweredFor(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run})
		}},
		"no result, long-running":              {step: longRunningStep()},
		"an unanswered attempt, long-running":  {step: longRunningStep(), waits: true, report: func(run cfwire.JobStart) *cfwire.JobReport { return unansweredFor(run) }},
		"an unanswered attempt, allows copies": {step: duplicableStep(), report: func(run cfwire.JobStart) *cfwire.JobReport { return unansweredFor(run) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.workers["b"].state.Draining = true
			f.report()
			f.add("j", c.step)
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			for _, run := range f.workers["a"].runs {
				if c.report != nil {
					f.ApplyReport(f.now, "a", c.report(run))
				}
			}
			f.workers["b"].state.Draining = false
			startedAt := f.now
			var moved time.Duration
			for moved == 0 && f.now.Sub(startedAt) < time.Minute {
				f.now = f.now.Add(100 * time.Millisecond)
				f.report("b")
				f.ExpireLeases(f.now, f.now)
				if slices.Contains(f.runPlanner(), "j.0@b") {
					moved = f.now.Sub(startedAt)
				}
			}
			if c.waits {
				f.Expect(moved).To(BeNumerically(">", cfcore.MaxOrderDelay+cfcore.MaxLease))
				f.Expect(moved).To(BeNumerically("<", 30*time.Second))
			} else {
				f.Expect(moved).To(BeNumerically("<", settings.LeaseExpiryTime()+time.Second))
			}
		})
	}
}

func longRunningStep() cfjob.Step {
	s := newStep(1, 100)
	s.LongRunning = true
	return s
}

func duplicableStep() cfjob.Step {
	s := newStep(1, 100)
	s.Duplicable = true
	return s
}

// The next incarnation of a worker can restart as well, and then executes the start. The task therefore
// starts again as the same run on the same worker, unless that worker can't run it any more.
func TestUnansweredStartIsOrderedAgainAfterARestart(t *testing.T) {
	for name, c := range map[string]struct {
		labels []string
		same   bool
	}{
		"the worker can run it": {labels: []string{"a"}, same: true},
		"it cannot any more":    {labels: []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.workers["b"].state.Draining = true
			f.report()
			step := newStep(1, 100)
			step.Requirement = "a"
			f.add("j", step)
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			f.workers["b"].state.Draining = false
			f.report("b")
			a := f.workers["a"]
			var run cfwire.JobStart
			for _, run = range a.runs {
				f.ApplyReport(f.now, "a", unansweredFor(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run}))
			}
			f.now = f.now.Add(time.Second)
			clear(a.runs)
			a.state.Born, a.state.Clock, a.state.Labels = f.now, 0, c.labels
			f.report()
			if c.same {
				f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
				for _, next := range a.runs {
					f.Expect(next.Run).To(Equal(run.Run))
					f.Expect(next.Born).To(Equal(a.state.Born))
				}
				return
			}
			f.Expect(f.runPlanner()).To(BeEmpty())
			f.Expect(a.stops).To(ConsistOf("j"), "the worker then refuses the start")
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale}}})
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
		})
	}
}

// A refusal says nothing about the next incarnation of the worker.
func TestRefusedStartWithAnUnansweredAttemptStaysOnItsWorker(t *testing.T) {
	for name, unanswered := range map[string]bool{"unanswered before": true, "refused only": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.workers["b"].state.Draining = true
			f.report()
			f.add("j", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			f.workers["b"].state.Draining = false
			f.report("b")
			for k, run := range f.workers["a"].runs {
				delete(f.workers["a"].runs, k)
				r := unansweredFor(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale})
				if !unanswered {
					r.Unanswered = nil
				}
				f.ApplyReport(f.now, "a", r)
			}
			var started []string
			for range 10 {
				started = append(started, f.runPlanner()...)
				f.now = f.now.Add(100 * time.Millisecond)
				f.report()
			}
			if unanswered {
				f.Expect(started).To(ConsistOf("j.0@a"))
			} else {
				f.Expect(started).To(ConsistOf("j.0@b"))
			}
		})
	}
}

// A new planner learns of the unanswered starts of earlier ones from the agents, possibly after it has
// the run lists. A task that has another run keeps it.
func TestNewPlannerAdoptsUnansweredStarts(t *testing.T) {
	for name, hasRun := range map[string]bool{"the task does not run": false, "it runs elsewhere": true} {
		t.Run(name, func(t *testing.T) {
			s := settings
			s.Epoch = 2
			f := newFleet(t, cfdispatch.New(s, []string{"a", "b"}, epochStart.Add(time.Minute)))
			f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}}, queue, true)
			agents := newFleet(t, newPlanner(), "a", "b").workers
			f.workers = agents
			run := cfwire.JobStart{Task: cfcore.TaskName{Job: "j"}, Run: 1<<24 | 1}
			f.report("a")
			f.ApplyReport(f.now, "a", unansweredFor(run))
			f.Expect(f.runPlanner()).To(BeEmpty(), "the list of b is missing")
			if hasRun {
				agents["b"].runs["j"] = cfwire.JobStart{Task: run.Task, Run: 1<<24 | 2}
			}
			f.report("b")
			f.MarkAgentRecorded("a")
			f.MarkAgentRecorded("b")
			f.now = f.now.Add(100 * time.Millisecond)
			started := f.runPlanner()
			if hasRun {
				f.Expect(started).To(BeEmpty())
				return
			}
			f.Expect(started).To(ConsistOf("j.0@a"))
			for _, r := range agents["a"].runs {
				f.Expect(r.Run).To(Equal(run.Run))
			}
		})
	}
}

// An end that was acknowledged must be the task's last one. Until then, a restart of the worker makes it
// unknown again. A worker lists 500 ends, so that only few can be held back.
func TestEndsOfUnansweredStartsAreAcknowledgedLater(t *testing.T) {
	f, a, run := startOnWorker(t)
	f.ApplyReport(f.now, "a", unansweredFor(run))
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	f.runPlanner()
	f.Expect(a.ackedEnd).To(BeZero())
	f.now = f.now.Add(cfcore.MaxOrderDelay - time.Millisecond)
	f.runPlanner()
	f.Expect(a.ackedEnd).To(BeZero())
	f.now = f.now.Add(time.Millisecond)
	f.runPlanner()
	f.Expect(a.ackedEnd).To(BeEquivalentTo(1))
}

func TestManyEndsAreNotHeldBack(t *testing.T) {
	f, a, run := startOnWorker(t)
	f.ApplyReport(f.now, "a", unansweredFor(run))
	f.endRuns("j", cfcore.EndDone)
	for len(a.ended) < 399 {
		a.ended = append(a.ended, cfcore.EndedTask{Number: uint64(len(a.ended) + 1), Task: cfcore.TaskName{Job: "other"}, Run: 1, How: cfcore.EndStopped})
	}
	f.MarkStoreRead(f.now.Add(time.Second))
	acked := func() uint64 {
		f.report()
		f.outcome("j")
		f.runPlanner()
		return a.ackedEnd
	}
	f.Expect(acked()).To(BeZero())
	a.ended = append(a.ended, cfcore.EndedTask{Number: 400, Task: cfcore.TaskName{Job: "other"}, Run: 1, How: cfcore.EndStopped})
	f.Expect(acked()).To(BeEquivalentTo(400))
}

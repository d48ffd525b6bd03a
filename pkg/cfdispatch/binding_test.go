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

// unanswered returns a report that an attempt to start a run got no answer just now.
func unanswered(run cfwire.JobStart, results ...cfwire.JobOrderResult) *cfwire.JobReport {
	return &cfwire.JobReport{
		Unanswered: []cfwire.JobUnansweredStart{{Task: run.Task, Run: run.Run, For: cfcore.MaxOrderDelay + cfcore.MaxLease}}, Results: results,
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

// newBoundFleet starts a task on worker a, which is the only usable one until the function returns, and
// returns the order.
func newBoundFleet(t *testing.T, step cfjob.Step) (*fleet, cfwire.JobStart) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.workers["b"].state.Draining = true
	f.report()
	f.add("j", step)
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
	f.workers["b"].state.Draining = false
	f.report("b")
	for _, run := range f.workers["a"].runs {
		return f, run
	}
	panic("no run")
}

func TestTaskOfAnUnansweredStartStartsOnNoOtherWorker(t *testing.T) {
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
			return unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run})
		}},
		"no result, long-running":              {step: longRunningStep()},
		"an unanswered attempt, long-running":  {step: longRunningStep(), report: func(run cfwire.JobStart) *cfwire.JobReport { return unanswered(run) }},
		"an unanswered attempt, allows copies": {step: duplicableStep(), report: func(run cfwire.JobStart) *cfwire.JobReport { return unanswered(run) }},
	} {
		t.Run(name, func(t *testing.T) {
			f, run := newBoundFleet(t, c.step)
			if c.report != nil {
				f.ApplyReport(f.now, "a", c.report(run))
			}
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

// Whatever ends the run, an earlier attempt can be executed by the worker's next incarnation.
func TestBoundTaskStartsAgainOnItsWorker(t *testing.T) {
	for name, end := range map[string]func(f *fleet, run cfwire.JobStart) *cfwire.JobReport{
		"the worker restarts": func(f *fleet, run cfwire.JobStart) *cfwire.JobReport {
			clear(f.workers["a"].runs)
			f.now = f.now.Add(time.Second)
			f.workers["a"].state.Born = f.now
			return unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run})
		},
		"the run is refused": func(f *fleet, run cfwire.JobStart) *cfwire.JobReport {
			clear(f.workers["a"].runs)
			return unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale})
		},
		"the run lapses": func(f *fleet, run cfwire.JobStart) *cfwire.JobReport {
			clear(f.workers["a"].runs)
			f.workers["a"].ended = []cfcore.EndedTask{{Number: 1, Task: run.Task, Run: run.Run, How: cfcore.EndLeaseExpired}}
			return unanswered(run)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, run := newBoundFleet(t, newStep(1, 100))
			r := end(f, run)
			lists := &cfcore.RunLists{Born: f.workers["a"].state.Born, Clock: time.Hour, Ended: f.workers["a"].ended}
			r.Worker, r.Lists = &f.workers["a"].state, lists
			f.ApplyReport(f.now, "a", r)
			f.now = f.now.Add(200 * time.Millisecond)
			r.Results = nil
			f.ApplyReport(f.now, "a", r)
			f.report("b")
			started := f.runPlanner()
			if name != "the worker restarts" {
				f.Expect(started).To(BeEmpty(), "the worker refuses the number, and its next incarnation would execute two")
				f.now = f.now.Add(200 * time.Millisecond)
				r.Unanswered = nil
				f.ApplyReport(f.now, "a", r)
				started = f.runPlanner()
			}
			f.Expect(started).To(ConsistOf("j.0@a"))
			for _, s := range f.workers["a"].runs {
				f.Expect(s.Run == run.Run).To(Equal(name == "the worker restarts"), "a worker executes only one start of a run, and refuses one that has ended")
			}
		})
	}
}

// Only the agent knows that no attempt is left.
func TestTaskIsBoundUntilTheAgentNoLongerListsTheStart(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	clear(f.workers["a"].runs)
	f.workers["a"].state.Labels = []string{"other"}
	f.workers["a"].state.Draining = true
	r := unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale})
	r.Worker, r.Lists = &f.workers["a"].state, &cfcore.RunLists{Born: f.workers["a"].state.Born, Clock: time.Hour}
	f.ApplyReport(f.now, "a", r)
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.report("a")
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
}

func TestTaskIsNotBoundToAWorkerWithAnotherID(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	f.ApplyReport(f.now, "a", unanswered(run))
	clear(f.workers["a"].runs)
	s := f.workers["a"].state
	s.ID, s.Born, s.Draining = "another", f.now.Add(time.Second), true
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s})
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
}

// A new instance of the agent does not know the starts of the earlier one, which the planner does.
func TestTaskStaysBoundWhenTheAgentRestarts(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	f.ApplyReport(f.now, "a", unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale}))
	f.BeginInstance("a")
	clear(f.workers["a"].runs)
	s := f.workers["a"].state
	s.Draining = true
	lists := &cfcore.RunLists{Born: s.Born, Clock: time.Hour}
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, Lists: lists, UnknownStarts: 10 * time.Second})
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, Lists: lists})
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
}

// Neither the new planner nor the new instance of the agent knows the starts of the earlier ones.
func TestInheritedTasksAndEndsWaitForUnknownStarts(t *testing.T) {
	f := newFleet(t, cfdispatch.New(settings, []string{"a", "b"}, epochStart.Add(time.Minute)))
	for _, step := range []cfjob.Step{newStep(1, 100), longRunningStep()} {
		id := map[bool]string{false: "old", true: "lasting"}[step.LongRunning]
		f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: id, Queue: queue, Steps: []cfjob.Step{step}, Accepted: f.now}}, queue, true)
	}
	f.workers = newFleet(t, newPlanner(), "a", "b").workers
	f.add("new", newStep(1, 100))
	a := f.workers["a"]
	a.ended = []cfcore.EndedTask{{Number: 1, Task: cfcore.TaskName{Job: "other"}, Run: 1, How: cfcore.EndDone}}
	report := func(unknown time.Duration) {
		f.report("b")
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &a.state, Lists: &cfcore.RunLists{Born: a.state.Born, Clock: time.Hour, Ended: a.ended}, UnknownStarts: unknown})
		f.MarkAgentRecorded("a")
		f.MarkAgentRecorded("b")
		f.MarkStoreRead(f.now.Add(time.Second))
	}
	report(10 * time.Second)
	f.now = f.now.Add(time.Second)
	report(9 * time.Second)
	f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("lasting.0"), HavePrefix("new.0")))
	f.outcome("new")
	f.runPlanner()
	f.Expect(a.ackedEnd).To(BeZero())
	report(0)
	f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
	f.Expect(a.ackedEnd).To(BeEquivalentTo(1))
}

func TestEndsAreNotAcknowledgedWhileAStartIsUnanswered(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	r := unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run})
	r.Worker = &f.workers["a"].state
	r.Lists = &cfcore.RunLists{Born: r.Worker.Born, Clock: time.Hour, Ended: []cfcore.EndedTask{{Number: 1, Task: run.Task, Run: run.Run, How: cfcore.EndDone}}}
	f.ApplyReport(f.now, "a", r)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeZero())
	r.Unanswered = nil
	f.ApplyReport(f.now, "a", r)
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeEquivalentTo(1))
}

// A worker lists 500 ends. The end of a run that it does not list cannot be acted on.
func TestWorkerWithManyUnacknowledgedEndsGetsNoStarts(t *testing.T) {
	for name, c := range map[string]struct {
		ends     int
		bound    bool
		inFlight bool
		expected string
	}{
		"few ends": {399, true, false, "k.0@a"}, "many ends": {400, true, false, "k.0@b"},
		"many ends, a start in flight": {400, true, true, "k.0@a"}, "many ends, no unanswered start": {400, false, false, "k.0@a"},
	} {
		t.Run(name, func(t *testing.T) {
			f, run := newBoundFleet(t, newStep(1, 100))
			r := &cfwire.JobReport{Worker: &f.workers["a"].state, Lists: &cfcore.RunLists{Born: f.workers["a"].state.Born, Clock: time.Hour}}
			for n := range c.ends {
				r.Lists.Ended = append(r.Lists.Ended, cfcore.EndedTask{Number: uint64(n + 1), Task: cfcore.TaskName{Job: "other"}, Run: 1, How: cfcore.EndStopped})
			}
			if c.bound {
				r.Unanswered = unanswered(run).Unanswered
				r.Unanswered[0].IsLate = !c.inFlight
			}
			f.ApplyReport(f.now, "a", r)
			if c.expected == "k.0@a" {
				f.workers["b"].state.Draining = true
				f.report("b")
			}
			f.add("k", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf(c.expected))
		})
	}
}

func TestGangDoesNotStartWhileAMemberIsBound(t *testing.T) {
	step := newStep(2, 100)
	step.Gang = true
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", step)
	started := f.runPlanner()
	f.Expect(started).To(HaveLen(2))
	var agent string
	var run cfwire.JobStart
	for name, w := range f.workers {
		for _, s := range w.runs {
			agent, run = name, s
		}
	}
	f.ApplyReport(f.now, agent, unanswered(run))
	f.endRuns("j", cfcore.EndGangBroken)
	f.ApplyReport(f.now, agent, unanswered(run))
	f.now = f.now.Add(time.Second)
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.report()
	f.Expect(f.runPlanner()).To(HaveLen(2))
}

// The end of one member is that of the whole gang, and the next incarnation of the other worker can execute its start.
func TestEndOfAGangIsNotAcknowledgedWhileAMemberIsBound(t *testing.T) {
	step := newStep(2, 100)
	step.Gang, step.MaxPerWorker = true, 1
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", step)
	f.Expect(f.runPlanner()).To(ConsistOf(HaveSuffix("@a"), HaveSuffix("@b")))
	report := func(agent string, isBound bool) {
		w := f.workers[agent]
		for _, s := range w.runs {
			r := &cfwire.JobReport{Worker: &w.state}
			if isBound {
				r.Unanswered = unanswered(s).Unanswered
			}
			r.Results = []cfwire.JobOrderResult{{Task: s.Task, Run: s.Run}}
			r.Lists = &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour, Ended: []cfcore.EndedTask{{Number: 1, Task: s.Task, Run: s.Run, How: cfcore.EndDone}}}
			f.ApplyReport(f.now, agent, r)
		}
	}
	report("b", true)
	report("a", false)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeZero())
	report("b", false)
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeEquivalentTo(1))
}

// The agent is killed right after it has sent a start, and its next instance sends the start again. The
// first attempt can still be executed by the worker's next incarnation.
func TestEndOfAStartThatAnotherInstanceRepeatsIsNotAcknowledged(t *testing.T) {
	for name, resend := range map[string]bool{"listed without another order": false, "ordered again": true} {
		t.Run(name, func(t *testing.T) {
			f, run := newBoundFleet(t, newStep(1, 100))
			f.BeginInstance("a")
			s := f.workers["a"].state
			unknown := 20 * time.Second
			lists := func(running bool, ended ...cfcore.EndedTask) *cfcore.RunLists {
				l := &cfcore.RunLists{Born: s.Born, Clock: time.Hour, Ended: ended}
				if running {
					l.Running = []cfcore.RunningTask{{Task: run.Task, Run: run.Run}}
				}
				return l
			}
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, Lists: lists(false), UnknownStarts: unknown})
			if resend {
				f.now = f.now.Add(5 * time.Second)
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, Lists: lists(false), UnknownStarts: unknown})
				f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"), "the order is repeated")
			}
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, Lists: lists(true), UnknownStarts: unknown, Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run}}})
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, UnknownStarts: unknown, Lists: lists(false, cfcore.EndedTask{Number: 1, Task: run.Task, Run: run.Run, How: cfcore.EndDone})})
			f.outcome("j")
			f.runPlanner()
			f.Expect(f.workers["a"].ackedEnd).To(BeZero(), "the end must be held back while the agent reports unknown starts")
		})
	}
}

// A start of the former instance is bound. The next instance repeats it and reports while it is in flight.
func TestBindingOfAFormerInstanceOutlastsAnAnsweredRepeat(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	f.ApplyReport(f.now, "a", unanswered(run))
	f.BeginInstance("a")
	s := f.workers["a"].state
	r := unanswered(run)
	r.Worker, r.Lists, r.UnknownStarts = &s, &cfcore.RunLists{Born: s.Born, Clock: time.Hour}, 20*time.Second
	f.ApplyReport(f.now, "a", r)
	end := cfcore.EndedTask{Number: 1, Task: run.Task, Run: run.Run, How: cfcore.EndDone}
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s, UnknownStarts: 20 * time.Second, Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run}},
		Lists: &cfcore.RunLists{Born: s.Born, Clock: time.Hour, Ended: []cfcore.EndedTask{end}}})
	f.outcome("j")
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeZero())
}

// The lists that contain the run of a late start arrive after the report that no longer lists the start if
// the agent has just followed this planner.
func TestReportWithoutListsDoesNotUnbind(t *testing.T) {
	f, run := newBoundFleet(t, newStep(1, 100))
	f.ApplyReport(f.now, "a", unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale}))
	clear(f.workers["a"].runs)
	f.workers["a"].state.Draining = true
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &f.workers["a"].state})
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.report("a")
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
}

// A task that lasts must run again within 7 calm seconds (LOST). A start without an answer binds it for 15 s to a worker
// that gets no more starts.
func TestLongRunningTaskDoesNotWaitForADrainingWorker(t *testing.T) {
	f, run := newBoundFleet(t, longRunningStep())
	w := f.workers["a"]
	clear(w.runs)
	s := w.state
	s.Draining = true
	r := unanswered(run, cfwire.JobOrderResult{Task: run.Task, Run: run.Run})
	r.Worker = &s
	r.Lists = &cfcore.RunLists{Born: s.Born, Clock: time.Hour, Ended: []cfcore.EndedTask{{Number: 1, Task: run.Task, Run: run.Run, How: cfcore.EndFailed}}}
	started := []string{}
	for range 70 {
		f.now = f.now.Add(100 * time.Millisecond)
		r.Unanswered[0].For -= 100 * time.Millisecond
		f.ApplyReport(f.now, "a", r)
		f.report("b")
		started = append(started, f.runPlanner()...)
	}
	f.Expect(started).To(ConsistOf("j.0@b"), "7 s later")
}

// The new instance does not know the start that the former one possibly sent, and acknowledges what it is told is recorded.
func TestNoEndIsAcknowledgedWhileAStartOfAFormerInstanceHasNoResult(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("other", newStep(1, 100))
	f.Expect(f.runPlanner()).To(ConsistOf("other.0@a"))
	f.report()
	f.endRuns("other", cfcore.EndDone)
	f.add("j", newStep(1, 100))
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
	clear(f.workers["a"].runs) // the start is in flight
	f.outcome("other")         // the end is recorded
	f.now = f.now.Add(100 * time.Millisecond)
	f.BeginInstance("a")
	f.RepeatAcknowledgement("a")
	for a, o := range f.TakeOrders(f.now) {
		f.Expect(o.RecordedEnd).To(BeZero(), "before the first report of the new instance of %s", a)
	}
	w := f.workers["a"]
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: &cfcore.RunLists{Born: w.state.Born, Ended: w.ended}, UnknownStarts: 12 * time.Second})
	f.RepeatAcknowledgement("a")
	for a, o := range f.TakeOrders(f.now) {
		f.Expect(o.RecordedEnd).To(BeZero(), "after it, for %s", a)
	}
}

// The worker restarts 3 s after a start that got no answer: its next incarnation can execute it for 15 s.
func TestLongRunningTaskIsNotMovedFromAnUnreachableWorker(t *testing.T) {
	f, run := newBoundFleet(t, longRunningStep())
	clear(f.workers["a"].runs)
	refused := cfwire.JobOrderResult{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale}
	r := unanswered(run, refused)
	r.Worker, r.Lists = &f.workers["a"].state, &cfcore.RunLists{Born: f.workers["a"].state.Born, Clock: time.Hour}
	f.ApplyReport(f.now, "a", r)
	start := f.now
	for f.now.Sub(start) < 12*time.Second {
		f.now = f.now.Add(100 * time.Millisecond)
		u := unanswered(run)
		u.Lost = &cfwire.JobWorkerUnreachable{}
		f.ApplyReport(f.now, "a", u)
		f.report("b")
		f.ExpireLeases(f.now, f.now)
		for _, s := range f.runPlanner() {
			f.Expect(s).NotTo(Equal("j.0@b"), "after %s", f.now.Sub(start))
		}
	}
}

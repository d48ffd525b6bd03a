package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// loseAgent lets an agent become absent, and returns what the planner knows of it.
func (f *fleet) loseAgent(agent string) cfdispatch.Absence {
	w := f.workers[agent]
	delete(f.workers, agent)
	for range 12 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report()
		f.TakeAgentRecords(f.now)
		if out := f.TakeAbsences(f.now); len(out) > 0 {
			f.Expect(out).To(HaveLen(1))
			f.workers[agent] = w
			return out[0]
		}
	}
	f.Expect(false).To(BeTrue(), "not absent")
	return cfdispatch.Absence{}
}

// succeed replaces the planner by a new one that inherits the given jobs and knows of an absence.
func (f *fleet) succeed(ab *cfdispatch.Absence, agents []string, jobs ...*cfjob.Job) {
	s := settings
	s.Epoch++
	f.Planner = cfdispatch.New(s, agents, f.now.Add(9600*time.Millisecond))
	for _, j := range jobs {
		f.AddJob(f.now, &cfjob.StoredJob{Job: j}, queue, true)
	}
	if ab != nil {
		f.RestoreAbsence(f.now, ab)
	}
}

func (f *fleet) job(id string, steps ...cfjob.Step) *cfjob.Job {
	j := &cfjob.Job{ID: id, Queue: queue, Steps: steps, Accepted: f.now}
	f.AddJob(f.now, &cfjob.StoredJob{Job: j}, queue, false)
	return j
}

// Later planners rely on the record: an agent that was allowed to extend leases, or got a start, would have runs
// that they take for ended.
func TestAbsentAgentIsNotAnsweredAndGetsNoStartsUntilItsRecordIsDeleted(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.TakeAgentRecords(f.now)
	f.loseAgent("b")
	f.Expect(f.MayAnswer("a")).To(BeTrue())
	f.Expect(f.MayAnswer("b")).To(BeFalse())
	f.Expect(f.TakeReturnedAgents()).To(BeEmpty())
	f.report()
	f.add("j", newStep(4, 1000), newStep(4, 1000))
	f.Expect(f.TakeReturnedAgents()).To(ConsistOf("b"))
	f.Expect(f.TakeReturnedAgents()).To(BeEmpty(), "returned once")
	f.Expect(f.MayAnswer("b")).To(BeFalse())
	f.Expect(f.runPlanner()).To(HaveEach(HaveSuffix("@a")))
	f.EndAbsence("b")
	f.Expect(f.MayAnswer("b")).To(BeTrue())
	f.Expect(f.runPlanner()).To(ContainElement(HaveSuffix("@b")))
}

// Tasks that were on the lost worker wait until its leases have expired; others need not wait for its agent.
func TestNewPlannerHoldsBackTheRunsOfAnAbsentAgentOnly(t *testing.T) {
	f := newFleet(t, newPlanner(), "b")
	lasting, running := f.job("lasting", longRunningStep()), f.job("running", newStep(1, 100))
	f.Expect(f.runPlanner()).To(ConsistOf("lasting.0@b", "running.0@b"))
	f.report()
	waiting := f.job("waiting", newStep(1, 100))
	w := f.workers["b"]
	lostAt := f.now
	ab := f.loseAgent("b")
	f.Expect(ab.IsComplete).To(BeTrue())
	f.Expect(ab.Runs).To(HaveLen(2))
	f.Expect(ab.LeasesUntil).To(Equal(lostAt.Add(settings.LeaseExpiryTime())))
	f.succeed(&ab, []string{"a", "b"}, lasting, running, waiting)
	*f = fleet{WithT: f.WithT, Planner: f.Planner, now: f.now, workers: map[string]*fakeWorker{"a": newFleet(t, newPlanner(), "a").workers["a"]}, stoppedTasks: map[cfcore.TaskName]bool{}, watch: newStartWatch()}
	f.report()
	f.MarkAgentRecorded("a")
	f.Expect(f.runPlanner()).To(ConsistOf("waiting.0@a"))
	for f.now.Before(ab.LeasesUntil) {
		f.ExpireLeases(f.now, f.now)
		f.Expect(f.runPlanner()).To(BeEmpty())
		f.now = f.now.Add(100 * time.Millisecond)
		f.report("a")
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.report("a")
	f.Expect(f.ExpireLeases(f.now, f.now)).To(ConsistOf(cfdispatch.GoneAgent{Agent: "b"}))
	f.Expect(f.runPlanner()).To(ConsistOf("lasting.0@a", "running.0@a"))
	f.Expect(w.stops).To(BeEmpty())
}

// The agent returns to the new planner while the leases are valid: its runs go on.
func TestNewPlannerAdoptsTheRunsOfAnAbsentAgentThatReturns(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	job := f.job("j", newStep(8, 1000))
	f.Expect(f.runPlanner()).To(HaveLen(8))
	f.report()
	ab := f.loseAgent("b")
	f.succeed(&ab, []string{"a", "b"}, job)
	f.Expect(f.MayAnswer("b")).To(BeFalse(), "the record is in the store")
	f.BeginInstance("a")
	f.BeginInstance("b")
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report()
		for _, a := range f.TakeReturnedAgents() {
			f.EndAbsence(a)
		}
		f.MarkAgentRecorded("a")
		f.ExpireLeases(f.now, f.now)
		f.Expect(f.runPlanner()).To(BeEmpty())
	}
	f.Expect(f.workers["a"].stops).To(BeEmpty())
	f.Expect(f.workers["b"].stops).To(BeEmpty())
}

// The earlier planner found out that the run had ended, after it had recorded the absence. The run that it then
// started elsewhere must not be stopped for one that has ended.
func TestRunOnAnotherWorkerIsNotStoppedForOneOfAnAbsentAgent(t *testing.T) {
	for name, hasResult := range map[string]bool{"the agent does not report": false, "the agent reports a late result of the start": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "b")
			job := f.job("j", longRunningStep())
			f.Expect(f.runPlanner()).To(HaveLen(1))
			f.report()
			b := f.workers["b"].state
			ab := f.loseAgent("b")
			f.succeed(&ab, []string{"a", "b"}, job)
			task, run := cfcore.TaskName{Job: "j"}, ab.Runs[0].Run
			if hasResult {
				f.ApplyReport(f.now, "b", &cfwire.JobReport{Worker: &b, Results: []cfwire.JobOrderResult{{Task: task, Run: run}}})
			}
			a := cfcore.WorkerState{ID: "w-a", Service: "dispatch", Born: epochStart, Clock: time.Hour}
			row := cfcore.RunningTask{Task: task, Run: run + 1, Percent: 100}
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &a, Lists: &cfcore.RunLists{Born: a.Born, Running: []cfcore.RunningTask{row}}})
			for _, o := range f.TakeOrders(f.now) {
				f.Expect(o.Stops).To(BeEmpty())
			}
		})
	}
}

// The earlier planner gave the start up when the leases had expired, and started the task elsewhere. A planner that
// repeated the start would run the task twice.
func TestStartOfAnEarlierPlannerIsNotRepeated(t *testing.T) {
	f := newFleet(t, newPlanner(), "b")
	job := f.job("j", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	started := f.workers["b"].runs
	f.workers["b"].runs = map[string]cfwire.JobStart{}
	ab := f.loseAgent("b")
	f.Expect(ab.Runs).To(HaveLen(1))
	f.Expect(ab.Runs[0].AwaitsResult).To(BeTrue())
	f.succeed(&ab, []string{"a", "b"}, job)
	f.EndAbsence("b")
	for range 20 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report("b")
		f.Expect(f.runPlanner()).To(BeEmpty(), "the agent that the task possibly runs at has not reported")
	}
	w := newFleet(t, newPlanner(), "a").workers["a"]
	for key, r := range started {
		r.Run++
		w.runs[key] = r
	}
	f.workers["a"] = w
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(w.stops).To(BeEmpty(), "its run is adopted")
}

// A later planner that takes an absence for complete starts tasks before the agent has reported to it.
func TestAbsenceIsNotCompleteWhile(t *testing.T) {
	task := cfcore.TaskName{Job: "unknown"}
	for name, report := range map[string]cfwire.JobReport{
		"it lists a run of an unknown job": {Lists: &cfcore.RunLists{Running: []cfcore.RunningTask{{Task: task, Run: 1}}}},
		"it lists an end":                  {Lists: &cfcore.RunLists{Ended: []cfcore.EndedTask{{Number: 1, Task: task, Run: 1, How: cfcore.EndDone}}}},
		"its lists are not complete":       {Lists: &cfcore.RunLists{Incomplete: true}},
		"its lists lack ends":              {Lists: &cfcore.RunLists{LacksEnds: true}},
		"it has not listed its runs":       {},
		"a former incarnation has an end": {Lists: &cfcore.RunLists{}, ListedEnds: []cfwire.JobListedEnds{{Born: epochStart.Add(-time.Hour),
			Ended: []cfcore.EndedTask{{Number: 1, Task: task, Run: 1, How: cfcore.EndDone}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner())
			f.TakeAgentRecords(f.now)
			w := cfcore.WorkerState{ID: "w", Service: "dispatch", Born: epochStart, Clock: time.Hour}
			r := report
			r.Worker = &w
			if r.Lists != nil {
				r.Lists.Born = w.Born
			}
			f.ApplyReport(f.now, "a", &r)
			f.MarkAgentRecorded("a")
			f.now = f.now.Add(time.Second)
			out := f.TakeAbsences(f.now)
			f.Expect(out).To(HaveLen(1))
			f.Expect(out[0].IsComplete).To(BeFalse())
		})
	}
}

// A planner that never heard of an agent passes on how long it would have waited itself.
func TestAbsenceOfAnAgentThatHasNotReportedKeepsTheWaitOfTheFirstPlanner(t *testing.T) {
	until := epochStart.Add(9600 * time.Millisecond)
	f := newFleet(t, cfdispatch.New(settings, []string{"b"}, until))
	f.TakeAgentRecords(f.now)
	f.Expect(f.TakeAbsences(f.now)).To(BeEmpty())
	f.now = f.now.Add(time.Second)
	out := f.TakeAbsences(f.now)
	f.Expect(out).To(HaveLen(1))
	f.Expect(out[0].IsComplete).To(BeFalse())
	f.Expect(out[0].LeasesUntil).To(Equal(until))
	f.Expect(f.TakeAbsences(f.now)).To(BeEmpty(), "returned once")

	lasting, other := f.job("lasting", longRunningStep()), f.job("other", newStep(1, 100))
	f.now = f.now.Add(time.Second)
	f.succeed(&out[0], []string{"a", "b"}, lasting, other)
	a := newFleet(t, newPlanner(), "a").workers["a"]
	f.workers["a"] = a
	startedAt := map[string]time.Time{}
	for range 400 {
		f.report()
		f.MarkAgentRecorded("a")
		f.TakeAgentRecords(f.now)
		f.Expect(f.TakeAbsences(f.now)).To(BeEmpty(), "it is on record")
		f.ExpireLeases(f.now, f.now)
		for _, s := range f.runPlanner() {
			startedAt[s] = f.now
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	f.Expect(startedAt["lasting.0@a"]).To(BeTemporally("~", until, 200*time.Millisecond))
	f.Expect(startedAt["other.0@a"]).To(BeTemporally("~", out[0].StartsUntil, 200*time.Millisecond))
}

// A start was ordered between the worker's last lists and its goodbye, and got no answer. The agent stays on record
// as long as a worker can execute it, and later planners held back all tasks of inherited jobs for that time.
func TestNewPlannerHoldsBackOnlyTheStartsOfAWorkerThatHasLeft(t *testing.T) {
	f := newFleet(t, newPlanner(), "b")
	f.TakeAgentRecords(f.now)
	started, other := f.job("started", newStep(1, 100)), f.job("other", newStep(1, 5000))
	f.Expect(f.runPlanner()).To(ConsistOf("started.0@b"))
	f.Expect(f.TakeAbsences(f.now)).To(BeEmpty())
	var unanswered []cfwire.JobUnansweredStart
	for _, r := range f.workers["b"].runs {
		unanswered = append(unanswered, cfwire.JobUnansweredStart{Task: r.Task, Run: r.Run, For: 20 * time.Second, IsLate: true})
	}
	left := func(d time.Duration) {
		f.ApplyReport(f.now, "b", &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{For: d, Left: true}, Unanswered: unanswered})
		f.Expect(f.ExpireLeases(f.now, f.now)).To(BeEmpty(), "the start can be executed late")
	}
	left(0)
	f.now = f.now.Add(time.Second)
	left(time.Second)
	out := f.TakeAbsences(f.now)
	f.Expect(out).To(HaveLen(1))
	f.Expect(out[0].IsComplete).To(BeTrue())
	f.Expect(out[0].Starts).To(HaveLen(1))
	f.succeed(&out[0], []string{"a", "b"}, started, other)
	f.workers = map[string]*fakeWorker{"a": newFleet(t, newPlanner(), "a").workers["a"]}
	f.workers["a"].state.Capacity.MilliCores = 16000
	f.report()
	f.MarkAgentRecorded("a")
	f.Expect(f.runPlanner()).To(ConsistOf("other.0@a"))
}

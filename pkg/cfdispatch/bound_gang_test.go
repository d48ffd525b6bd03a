package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// A member of a gang with checkpoints is evacuated while another member is bound.
func TestGangMemberOnADrainingWorkerWhileAnotherMemberIsBound(t *testing.T) {
	step := newStep(2, 100)
	step.Gang, step.MaxPerWorker, step.Checkpointing, step.Estimate = true, 1, true, time.Minute
	f := newFleet(t, newPlanner(), "a", "b", "c")
	f.workers["c"].state.Draining = true
	f.report("c")
	f.add("j", step)
	f.Expect(f.runPlanner()).To(ConsistOf(HaveSuffix("@a"), HaveSuffix("@b")))
	for _, agent := range []string{"a", "b"} {
		w := f.workers[agent]
		for _, s := range w.runs {
			r := &cfwire.JobReport{Worker: &w.state}
			if agent == "b" {
				r.Unanswered = unanswered(s).Unanswered
			}
			r.Results = []cfwire.JobOrderResult{{Task: s.Task, Run: s.Run}}
			r.Lists = &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour, Running: []cfcore.RunningTask{{Task: s.Task, Run: s.Run, Percent: 1}}}
			f.ApplyReport(f.now, agent, r)
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
	s := f.workers["a"].state
	s.Draining, s.Remaining = true, 5*time.Second
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &s})
	f.now = f.now.Add(100 * time.Millisecond)
	f.Expect(func() { f.runPlanner() }).NotTo(Panic())
}

// The start of another member has no result yet, and its agent has not listed it as unanswered.
func TestEndOfAGangIsNotAcknowledgedWhileAMembersStartHasNoResult(t *testing.T) {
	step := newStep(2, 100)
	step.Gang, step.MaxPerWorker = true, 1
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", step)
	f.Expect(f.runPlanner()).To(ConsistOf(HaveSuffix("@a"), HaveSuffix("@b")))
	w := f.workers["a"]
	for _, s := range w.runs {
		f.ApplyReport(f.now, "a", &cfwire.JobReport{
			Worker: &w.state, Results: []cfwire.JobOrderResult{{Task: s.Task, Run: s.Run}},
			Lists: &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour, Ended: []cfcore.EndedTask{{Number: 1, Task: s.Task, Run: s.Run, How: cfcore.EndDone}}},
		})
	}
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	f.runPlanner()
	f.Expect(f.workers["a"].ackedEnd).To(BeZero(), "b has not answered the start of its member")
}

// A queue with a policy service: the planner looks for a worker for the next member of a gang that is bound.
func TestAdviceForAGangWithABoundMember(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	q := queue
	q.Advice = &cfjob.Advice{Decision: 20 * time.Millisecond, Interval: 5 * time.Millisecond, Validity: time.Minute}
	step := newStep(2, 100)
	step.Gang, step.MaxPerWorker = true, 1
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: q, Steps: []cfjob.Step{step}, Accepted: f.now}}, q, false)
	r := f.NextAdvice(f.now)
	f.Expect(r).NotTo(BeNil())
	tickets := map[string]string{"a": "t", "b": "t"}
	for _, w := range f.workers {
		tickets[w.state.ID] = "t"
	}
	f.RecordAdvice(f.now, r, tickets)
	f.Expect(f.runPlanner()).To(ConsistOf(HaveSuffix("@a"), HaveSuffix("@b")))
	for _, agent := range []string{"a", "b"} {
		w := f.workers[agent]
		for _, s := range w.runs {
			rep := &cfwire.JobReport{Worker: &w.state}
			if s.Task.Index == 1 {
				rep.Unanswered = unanswered(s).Unanswered
			}
			rep.Lists = &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour, Ended: []cfcore.EndedTask{{Number: 1, Task: s.Task, Run: s.Run, How: cfcore.EndGangBroken}}}
			f.ApplyReport(f.now, agent, rep)
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.Expect(func() { f.NextAdvice(f.now) }).NotTo(Panic())
}

// A task that lasts is bound to a worker that has left, and to one that refuses its number.
func TestLongRunningTaskWithTwoBindingsStartsAgainIn3Seconds(t *testing.T) {
	f, run := newBoundFleet(t, longRunningStep())
	un := func(s cfwire.JobStart, until time.Time) []cfwire.JobUnansweredStart {
		return []cfwire.JobUnansweredStart{{Task: s.Task, Run: s.Run, For: until.Sub(f.now), IsLate: true}}
	}
	untilA := f.now.Add(cfcore.MaxOrderDelay + cfcore.MaxLease)
	a := f.workers["a"].state
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &a, Unanswered: un(run, untilA)})
	lost := &cfwire.JobWorkerUnreachable{For: 6 * time.Second, LeasesExpired: true}
	started := false
	for i := 0; i < 100 && !started; i++ {
		f.now = f.now.Add(100 * time.Millisecond)
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: lost, Unanswered: un(run, untilA)})
		f.report("b")
		for _, s := range f.runPlanner() {
			started = started || s == "j.0@b"
		}
	}
	f.Expect(started).To(BeTrue())
	t.Logf("second start on b after %s", f.now.Sub(untilA.Add(-cfcore.MaxOrderDelay-cfcore.MaxLease)))
	var second cfwire.JobStart
	for _, s := range f.workers["b"].runs {
		second = s
	}
	clear(f.workers["b"].runs)
	b := f.workers["b"].state
	at, untilB := f.now, f.now.Add(cfcore.MaxOrderDelay+cfcore.MaxLease)
	f.now = f.now.Add(600 * time.Millisecond)
	f.ApplyReport(f.now, "b", &cfwire.JobReport{Worker: &b, Unanswered: un(second, untilB), Lists: &cfcore.RunLists{Born: b.Born, Clock: time.Hour},
		Results: []cfwire.JobOrderResult{{Task: second.Task, Run: second.Run, Refusal: cfcore.ExecutorStale}}})
	again := time.Duration(0)
	for again == 0 && f.now.Sub(at) < 40*time.Second {
		f.now = f.now.Add(100 * time.Millisecond)
		ra, rb := &cfwire.JobReport{Lost: lost}, &cfwire.JobReport{Worker: &b, Lists: &cfcore.RunLists{Born: b.Born, Clock: time.Hour}}
		if f.now.Before(untilA) {
			ra.Unanswered = un(run, untilA)
		}
		if f.now.Before(untilB) {
			rb.Unanswered = un(second, untilB)
		}
		f.ApplyReport(f.now, "a", ra)
		f.ApplyReport(f.now, "b", rb)
		f.ExpireLeases(f.now, f.now)
		if len(f.runPlanner()) > 0 {
			again = f.now.Sub(at)
		}
	}
	f.Expect(again).To(BeNumerically("~", 3*time.Second, time.Second))
}

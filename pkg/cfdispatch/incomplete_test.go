package cfdispatch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// A row that is left out of run lists can name a run that an earlier planner started. A new
// planner must not start that task again because of such lists. If the row is never decoded,
// the wait ends like that for an agent that does not report. Ends that a worker has not listed
// yet follow once older ones are acknowledged, so that the wait for them does not end.
func TestNewPlannerWaitsForCompleteRunLists(t *testing.T) {
	for _, c := range []struct {
		name     string
		lists    cfcore.RunLists
		complete bool
		wait     time.Duration
		starts   bool
	}{
		{name: "incomplete lists", lists: cfcore.RunLists{Incomplete: true}, wait: time.Second},
		{name: "complete lists follow", lists: cfcore.RunLists{Incomplete: true}, complete: true, wait: time.Second, starts: true},
		{name: "incomplete until the end of the wait", lists: cfcore.RunLists{Incomplete: true}, wait: time.Minute + time.Second, starts: true},
		{name: "more ends", lists: cfcore.RunLists{MoreEnds: true}, wait: time.Second},
		{name: "the last ends follow", lists: cfcore.RunLists{MoreEnds: true}, complete: true, wait: time.Second, starts: true},
		{name: "more ends at the end of the wait", lists: cfcore.RunLists{MoreEnds: true}, wait: time.Minute + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)))
			state := cfcore.WorkerState{ID: "w", Service: "dispatch", Capacity: cfcore.Resources{MilliCores: 4000, MemoryMB: 8000}, Born: epochStart}
			f.workers["a"] = &fakeWorker{state: state, runs: map[string]cfwire.JobStart{}}
			report := func(l cfcore.RunLists) {
				l.Born = epochStart
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &state, Lists: &l})
			}
			report(c.lists)
			f.MarkAgentRecorded("a")
			f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}}, queue, true)
			f.add("new", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf("new.0@a"), "the worker itself can be used")
			f.now = f.now.Add(c.wait)
			if c.complete {
				c.lists = cfcore.RunLists{}
			}
			report(c.lists)
			f.Expect(f.ExpireLeases(f.now, f.now)).To(BeEmpty(), "the agent has reported and stays on record")
			f.Expect(slices.Contains(f.runPlanner(), "old.0@a")).To(Equal(c.starts))
		})
	}
}

// Runs whose ends were beyond those that their worker lists at a time were stopped as stalled,
// taken for never started, and their tasks started again although they were done.
func TestRunsWithUnlistedEndsAreNotStalled(t *testing.T) {
	for name, moreEnds := range map[string]bool{"all ends are listed": false, "more ends": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.add("j", newStep(1, 100))
			agent := strings.TrimPrefix(f.runPlanner()[0], "j.0@")
			f.report()
			w := f.workers[agent]
			other := map[string]string{"a": "b", "b": "a"}[agent]
			for range 10 {
				f.now = f.now.Add(300 * time.Millisecond)
				f.report(other)
				f.ApplyReport(f.now, agent, &cfwire.JobReport{Lists: &cfcore.RunLists{Born: w.state.Born, MoreEnds: moreEnds}})
				f.runPlanner()
			}
			f.Expect(len(w.stops) == 0).To(Equal(moreEnds))
		})
	}
}

// A run of an earlier incarnation possibly is among the ends that are left out.
func TestRunsOfAnEarlierIncarnationWaitForAllEnds(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("j", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	w := f.workers["a"]
	w.state.Born = w.state.Born.Add(time.Second)
	report := func(moreEnds bool) []string {
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: &cfcore.RunLists{Born: w.state.Born, MoreEnds: moreEnds}})
		return f.runPlanner()
	}
	f.Expect(report(true)).To(BeEmpty())
	f.Expect(report(false)).To(HaveLen(1))
}

// An end whose row cannot be decoded was acknowledged together with a higher one. The worker forgot
// it, and the planner started the task again.
func TestEndsThatCannotBeDecodedAreNotAcknowledged(t *testing.T) {
	for name, c := range map[string]struct {
		lists cfcore.RunLists
		acked uint64
	}{
		"all rows are decoded":                   {acked: 2},
		"a row of a running task is left out":    {lists: cfcore.RunLists{Incomplete: true}, acked: 2},
		"a row of an end is left out":            {lists: cfcore.RunLists{Incomplete: true, LacksEnds: true}},
		"a row of an end is left out, more ends": {lists: cfcore.RunLists{Incomplete: true, LacksEnds: true, MoreEnds: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			f.add("j", newStep(2, 100))
			f.Expect(f.runPlanner()).To(HaveLen(2))
			w := f.workers["a"]
			var ends []cfcore.EndedTask
			for _, r := range w.runs {
				ends = append(ends, cfcore.EndedTask{Number: uint64(len(ends) + 1), Task: r.Task, Run: r.Run, How: cfcore.EndDone})
			}
			l := c.lists
			l.Born, l.Ended = w.state.Born, ends
			if l.LacksEnds {
				l.Ended = ends[1:]
			}
			acked := func(l cfcore.RunLists) uint64 {
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: &l})
				_, recorded := f.TakeUnrecordedProgress(f.now, true)
				f.MarkEndsRecorded(recorded)
				f.runPlanner()
				return w.ackedEnd
			}
			f.Expect(acked(l)).To(Equal(c.acked))
			f.Expect(acked(l)).To(Equal(c.acked))
			f.Expect(acked(cfcore.RunLists{Born: w.state.Born, Ended: ends})).To(BeEquivalentTo(2), "the row can be decoded now")
		})
	}
}

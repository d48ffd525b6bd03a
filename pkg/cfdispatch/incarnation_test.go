package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfwire"
)

// startOnWorker starts the only task of job j on the worker of agent a, and returns the
// fleet and the order. The worker of agent b can then run the task as well.
func startOnWorker(t *testing.T) (*fleet, *fakeWorker, cfwire.JobStart) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.workers["b"].state.Draining = true
	f.report()
	f.add("j", newStep(1, 100))
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
	a := f.workers["a"]
	var run cfwire.JobStart
	for _, run = range a.runs {
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run}}})
	}
	f.workers["b"].state.Draining = false
	f.report("b")
	return f, a, run
}

// A restarted worker can execute a late start of its previous incarnation until it has
// returned its first run lists.
func TestTaskOfARestartedWorkerWaitsForItsFirstRunLists(t *testing.T) {
	for name, c := range map[string]struct {
		id string
		// late is set if the new incarnation executes the start of the previous one.
		late bool
		// startsAtOnce and startsAfterLists are set if the task starts again before or after
		// the first run lists.
		startsAtOnce     bool
		startsAfterLists bool
	}{
		"the same ID, the run is not listed": {id: "w-a", startsAfterLists: true},
		"the same ID, the run is listed":     {id: "w-a", late: true},
		"another ID than in the order":       {id: "w-a2", startsAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, a, run := startOnWorker(t)
			f.now = f.now.Add(time.Second)
			a.state.ID, a.state.Born, a.state.Clock = c.id, f.now, 0
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &a.state})
			if !c.late {
				clear(a.runs)
			}
			f.report("b")
			if c.startsAtOnce {
				f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
				return
			}
			f.Expect(f.runPlanner()).To(BeEmpty(), "before the first run lists")
			f.report()
			if !c.startsAfterLists {
				f.Expect(f.runPlanner()).To(BeEmpty())
				f.Expect(a.stops).To(BeEmpty(), "the late run continues")
				return
			}
			f.Expect(f.runPlanner()).To(HaveLen(1))
			for _, w := range f.workers {
				for _, next := range w.runs {
					f.Expect(next.Run).To(BeNumerically(">", run.Run))
				}
			}
		})
	}
}

// Before the agent learns of a restart with the same ID, it extends leases by the clock of
// the previous incarnation. The worker limits them to cfcore.MaxLease.
func TestLeasesOfARestartedWorkerExpireLater(t *testing.T) {
	for name, c := range map[string]struct {
		lost *cfwire.JobWorkerUnreachable
		// removed is set if the planner has removed the worker before it restarts.
		removed bool
	}{
		"the agent is silent":                                           {},
		"the agent reports that leases expired":                         {lost: &cfwire.JobWorkerUnreachable{LeasesExpired: true}},
		"the worker was removed, the agent is silent":                   {removed: true},
		"the worker was removed, the agent reports that leases expired": {removed: true, lost: &cfwire.JobWorkerUnreachable{LeasesExpired: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			a, lost := f.workers["a"], c.lost
			f.now = f.now.Add(time.Second)
			if c.removed {
				f.now = f.now.Add(settings.LeaseExpiryTime())
				f.report("b")
				f.Expect(f.ExpireLeases(f.now, f.now)).To(ConsistOf(cfdispatch.GoneAgent{Agent: "a"}))
			}
			a.state.Born, a.state.Clock = f.now, 0
			f.workers["b"].state.Draining = true
			f.report()
			f.MarkAgentRecorded("a")
			f.add("j", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			f.workers["b"].state.Draining = false
			f.report()
			restartedAt := f.now
			for f.now.Sub(restartedAt) < cfcore.MaxLease {
				f.now = f.now.Add(200 * time.Millisecond)
				f.report("b")
				if lost != nil {
					f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: lost})
				}
				f.ExpireLeases(f.now, f.now)
				f.Expect(f.runPlanner()).To(BeEmpty(), "after %s", f.now.Sub(restartedAt))
			}
			f.now = f.now.Add(time.Second)
			f.report("b")
			if lost != nil {
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: lost})
			}
			f.ExpireLeases(f.now, f.now)
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
		})
	}
}

// An incarnation can have an earlier start time than the one before, if the time of day was set back
// in between. The planner ignored it and its ends.
func TestIncarnationWithAnEarlierStartTimeIsApplied(t *testing.T) {
	f, a, run := startOnWorker(t)
	a.ended = []cfcore.EndedTask{{Number: 1}, {Number: 2}}
	f.report()
	clear(a.runs)
	a.state.Born, a.ended = a.state.Born.Add(-time.Minute), nil
	f.report()
	f.Expect(f.HasLiveRuns("j")).To(BeFalse())
	a.ended = []cfcore.EndedTask{{Number: 1, Task: run.Task, Run: run.Run, How: cfcore.EndDone}}
	f.report()
	_, ends := f.TakeUnrecordedProgress(f.now, true)
	f.Expect(ends).To(ConsistOf(HaveField("Number", BeEquivalentTo(1))))
}

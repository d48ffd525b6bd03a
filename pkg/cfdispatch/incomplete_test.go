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

// A row that is left out of run lists can name a run that an earlier planner started. A new
// planner must not start that task again because of such lists. If the row is never decoded,
// the wait ends like that for an agent that does not report.
func TestNewPlannerWaitsForCompleteRunLists(t *testing.T) {
	for _, c := range []struct {
		name     string
		complete bool
		wait     time.Duration
		starts   bool
	}{
		{name: "incomplete lists", wait: time.Second},
		{name: "complete lists follow", complete: true, wait: time.Second, starts: true},
		{name: "incomplete until the end of the wait", wait: time.Minute + time.Second, starts: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)))
			state := cfcore.WorkerState{ID: "w", Service: "dispatch", Capacity: cfcore.Resources{MilliCores: 4000, MemoryMB: 8000}, Born: epochStart}
			f.workers["a"] = &fakeWorker{state: state, runs: map[string]cfwire.JobStart{}}
			report := func(incomplete bool) {
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &state, Lists: &cfcore.RunLists{Born: epochStart, Incomplete: incomplete}})
			}
			report(true)
			f.MarkAgentRecorded("a")
			f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}}, queue, true)
			f.add("new", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf("new.0@a"), "the worker itself can be used")
			f.now = f.now.Add(c.wait)
			report(!c.complete)
			f.Expect(f.ExpireLeases(f.now, f.now)).To(BeEmpty(), "the agent has reported and stays on record")
			f.Expect(slices.Contains(f.runPlanner(), "old.0@a")).To(Equal(c.starts))
		})
	}
}

package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// An urgent task needs the capacity of less urgent long-running tasks. At most
// MaxUnavailable of these are stopped, or any number if MaxUnavailable is 0.
func TestPreemptionRespectsMaxUnavailable(t *testing.T) {
	for _, c := range []struct {
		name           string
		maxUnavailable int
		stops          int
	}{
		{name: "any number", maxUnavailable: 0, stops: 3},
		{name: "one", maxUnavailable: 1, stops: 1},
		{name: "two", maxUnavailable: 2, stops: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			lowPriority := queue
			lowPriority.Priority = 2
			longRunning := newStep(4, 1000)
			longRunning.LongRunning, longRunning.Checkpointing, longRunning.MaxUnavailable = true, true, c.maxUnavailable
			f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "watch", Queue: lowPriority, Steps: []cfjob.Step{longRunning}, Accepted: f.now}}, lowPriority, false)
			f.Expect(f.runPlanner()).To(HaveLen(4))
			f.workers["a"].extraPercent = 50
			f.report()
			f.add("urgent", newStep(1, 2500))
			for range 30 {
				f.runPlanner()
				f.now = f.now.Add(100 * time.Millisecond)
				f.report()
			}
			f.Expect(f.stoppedTasks).To(HaveLen(c.stops))
		})
	}
}

// The tasks of a gang are slower if they are spread over several racks. Each of the two
// racks has capacity for the gang, but no single worker has. All workers are equally free.
func TestGangGoesToOneRack(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b", "c", "d")
	for agent, rack := range map[string]string{"a": "r1", "b": "r2", "c": "r1", "d": "r2"} {
		f.workers[agent].state.Labels = []string{"x", rack}
	}
	f.report()
	gang := newStep(2, 2500)
	gang.Gang, gang.SameRack = true, true
	f.add("j", gang)
	f.Expect(f.runPlanner()).To(HaveLen(2))
	racks := map[string]bool{}
	for _, w := range f.workers {
		for _, s := range w.runs {
			if s.Task.Job == "j" {
				racks[w.state.Labels[1]] = true
			}
		}
	}
	f.Expect(racks).To(HaveLen(1))
}

// A gang starts even if no single rack has the capacity for it.
func TestGangThatFitsOnNoRackIsSpreadOverRacks(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	gang := newStep(2, 2500)
	gang.Gang, gang.SameRack = true, true
	f.add("j", gang)
	f.Expect(f.runPlanner()).To(HaveLen(2))
}

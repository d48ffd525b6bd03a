package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfjob"
)

// The load: urgent tasks that need the room of tasks of a less urgent service, which may
// miss only some of them.
func TestUrgentTasksTakeNoMoreThanMayBeMissed(t *testing.T) {
	for _, c := range []struct {
		name  string
		may   int
		stops int
	}{
		{name: "any number", may: 0, stops: 3},
		{name: "one", may: 1, stops: 1},
		{name: "two", may: 2, stops: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			low := queue
			low.Priority = 2
			watch := step(4, 1000)
			watch.LongRunning, watch.Checkpointing, watch.MaxUnavailable = true, true, c.may
			f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: "watch", Queue: low, Steps: []cfjob.Step{watch}, Accepted: f.now}}, low, false)
			f.Expect(f.step()).To(HaveLen(4))
			f.workers["a"].progress = 50
			f.report()
			f.add("urgent", step(1, 2500))
			for range 30 {
				f.step()
				f.now = f.now.Add(100 * time.Millisecond)
				f.report()
			}
			f.Expect(f.stoppedTasks).To(HaveLen(c.stops))
		})
	}
}

// The load: a gang whose tasks are slower on several racks. Each of the two racks has room
// for it, one worker alone has not, and all workers are as empty.
func TestGangGoesToOneRack(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b", "c", "d")
	for agent, rack := range map[string]string{"a": "r1", "b": "r2", "c": "r1", "d": "r2"} {
		f.workers[agent].state.Labels = []string{"x", rack}
	}
	f.report()
	gang := step(2, 2500)
	gang.Gang, gang.SameRack = true, true
	f.add("j", gang)
	f.Expect(f.step()).To(HaveLen(2))
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

// A gang that no rack has room for still starts.
func TestGangThatFitsOnNoRackIsSpread(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	gang := step(2, 2500)
	gang.Gang, gang.SameRack = true, true
	f.add("j", gang)
	f.Expect(f.step()).To(HaveLen(2))
}

package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// A worker restarts after a start order was answered. The same order was possibly sent
// before and got no response. That earlier transmission can be executed until
// cfcore.MaxOrderDelay after it was sent. If the worker's ID has not changed, the new
// incarnation can execute it.
func TestPendingStartsOfAnOldIncarnationAreStopped(t *testing.T) {
	for name, c := range map[string]struct {
		id    string
		after time.Duration
		// startsAtOnce is set if the planner need not wait for a stop before it starts the
		// task again.
		startsAtOnce bool
	}{
		"the same ID":                              {id: "w-a", after: time.Second},
		"another ID than in the order":             {id: "w-a2", after: time.Second, startsAtOnce: true},
		"the same ID, after the order has expired": {id: "w-a", after: 20 * time.Second, startsAtOnce: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			f.add("j", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			a := f.workers["a"]
			var run cfwire.JobStart
			for _, run = range a.runs {
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run}}})
			}
			f.now = f.now.Add(c.after)
			clear(a.runs)
			a.state.ID, a.state.Born = c.id, f.now
			f.report()
			if c.startsAtOnce {
				f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
				return
			}
			f.Expect(f.runPlanner()).To(BeEmpty())
			f.Expect(a.stops).To(ConsistOf("j"))
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale}}})
			f.now = f.now.Add(time.Second)
			f.report()
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			for _, next := range a.runs {
				f.Expect(next.Run).To(BeNumerically(">", run.Run))
			}
		})
	}
}

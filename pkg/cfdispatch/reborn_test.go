package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// A worker starts again while the start of a run has got no answer. The order can be
// carried out up to 12 s later, in the new life as well where that has the same ID.
func TestStartsOfAFormerLifeAreRuledOut(t *testing.T) {
	for name, c := range map[string]struct {
		id    string
		after time.Duration
		// again is whether the task may start again at once.
		again bool
	}{
		"the same ID":                      {id: "w-a", after: time.Second},
		"another ID, which orders name":    {id: "w-a2", after: time.Second, again: true},
		"the same ID, after a longer time": {id: "w-a", after: 20 * time.Second, again: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			f.add("j", step(1, 100))
			f.Expect(f.step()).To(ConsistOf("j.0@a"))
			a := f.workers["a"]
			var run cfwire.JobStart
			for _, run = range a.runs {
				f.Report(f.now, "a", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run}}})
			}
			f.now = f.now.Add(c.after)
			clear(a.runs)
			a.state.ID, a.state.Born = c.id, f.now
			f.report()
			if c.again {
				f.Expect(f.step()).To(ConsistOf("j.0@a"))
				return
			}
			f.Expect(f.step()).To(BeEmpty())
			f.Expect(a.stops).To(ConsistOf("j"))
			f.Report(f.now, "a", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: run.Task, Run: run.Run, Refusal: cfcore.ExecutorStale}}})
			f.now = f.now.Add(time.Second)
			f.report()
			f.Expect(f.step()).To(ConsistOf("j.0@a"))
			for _, next := range a.runs {
				f.Expect(next.Run).To(BeNumerically(">", run.Run))
			}
		})
	}
}

package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// A task that never ends as done cannot run again after an end that only the worker knows.
func TestOnlyLongRunningTasksStartWhereAnAgentWithholdsStarts(t *testing.T) {
	for name, c := range map[string]struct {
		step   cfjob.Step
		starts []string
	}{
		"a task that ends":    {step: newStep(1, 100)},
		"a duplicable task":   {step: duplicableStep()},
		"a long-running task": {step: longRunningStep(), starts: []string{"j.0@a"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			f.ApplyReport(f.now, "a", &cfwire.JobReport{WithholdsStarts: true})
			f.add("other", newStep(1, 100))
			f.add("j", c.step)
			f.Expect(f.runPlanner()).To(ConsistOf(c.starts))
			f.report()
			f.Expect(f.runPlanner()).To(ContainElement("other.0@a"), "no longer withheld")
		})
	}
}

// An agent of an earlier version refuses them.
func TestLongRunningTaskThatAnAgentRefusesStartsElsewhere(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", longRunningStep())
	n := map[string]int{}
	for range 30 {
		f.now = f.now.Add(50 * time.Millisecond)
		r := &cfwire.JobReport{WithholdsStarts: true}
		for _, s := range f.workers["a"].runs {
			r.Results = append(r.Results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorRefused})
		}
		clear(f.workers["a"].runs)
		f.ApplyReport(f.now, "a", r)
		f.report("b")
		for _, s := range f.runPlanner() {
			n[s]++
		}
	}
	f.Expect(n).To(HaveKeyWithValue("j.0@b", 1))
}

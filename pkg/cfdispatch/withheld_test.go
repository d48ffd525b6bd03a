package cfdispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

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

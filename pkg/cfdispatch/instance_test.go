package cfdispatch_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfwire"
)

// A start that names no report of the agent that executes it is executed however late it arrives,
// also after the planner has started the task elsewhere.
func TestNoStartsToARestartedAgentBeforeItReports(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("started", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.BeginInstance("a")
	f.add("new", newStep(1, 100))
	f.now = f.now.Add(settings.ResendAfter)
	f.Expect(f.runPlanner()).To(BeEmpty(), "no report of the new instance")
	f.report()
	f.Expect(f.runPlanner()).NotTo(BeEmpty())
}

// A new instance of an agent that has a check-in but no answer yet sends such a report.
func TestNoStartsAfterAReportWithoutAWorkerOfANewInstance(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.add("started", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.BeginInstance("a")
	f.add("new", newStep(1, 100))
	f.now = f.now.Add(settings.ResendAfter)
	f.ApplyReport(f.now, "a", &cfwire.JobReport{})
	f.Expect(f.runPlanner()).To(BeEmpty(), "the new instance has reported no worker")
}

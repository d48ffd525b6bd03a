package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfwire"
)

// The worker leaves, its agent's record is deleted, and another worker is there within 5 s. The agent's new record says "no late
// starts", and the planner took the old one for it.
func TestLateStartIsRecordedAfterTheAgentsRecordWasReplaced(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	w := f.workers["a"]
	f.TakeAgentRecords(f.now)
	f.now = f.now.Add(time.Minute)
	f.add("j", newStep(1, 100))
	f.report("a")
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.now = f.now.Add(300 * time.Millisecond)
	f.Expect(f.TakeAgentRecords(f.now)).To(Equal([]cfdispatch.AgentRecord{{Agent: "a", HasLateStarts: true}}))
	f.report("a")
	f.endRuns("j", cfcore.EndDone)
	f.now = f.now.Add(300 * time.Millisecond)
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{LeasesExpired: true, Left: true}})
	f.Expect(f.ExpireLeases(f.now, f.now)).To(Equal([]cfdispatch.GoneAgent{{Agent: "a", HasLeft: true}}))
	f.now = f.now.Add(300 * time.Millisecond)
	w.state.ID, w.state.Born, w.ended, w.runs = "w-a2", f.now, nil, map[string]cfwire.JobStart{}
	f.report("a")
	f.Expect(f.UnrecordedAgents()).To(ConsistOf("a"))
	f.MarkAgentRecorded("a")
	f.add("k", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.Expect(f.TakeAgentRecords(f.now)).To(BeEmpty())
	f.now = f.now.Add(300 * time.Millisecond)
	f.Expect(f.TakeAgentRecords(f.now)).To(Equal([]cfdispatch.AgentRecord{{Agent: "a", HasLateStarts: true}}))
}

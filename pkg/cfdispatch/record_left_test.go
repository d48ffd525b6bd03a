package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfwire"
)

// The agent stays on record until the worker's next incarnation can execute the start no more.
func TestLateStartOfAWorkerThatHasLeftIsOnRecordBeforeItsAbsenceIs(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.TakeAgentRecords(f.now)
	f.now = f.now.Add(time.Minute)
	f.add("j", newStep(1, 100))
	f.report("a")
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.now = f.now.Add(100 * time.Millisecond)
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{LeasesExpired: true, Left: true}})
	f.Expect(f.ExpireLeases(f.now, f.now)).To(BeEmpty(), "the next incarnation can execute the start")
	f.now = f.now.Add(200 * time.Millisecond)
	f.Expect(f.TakeAbsences(f.now)).To(BeEmpty())
	f.Expect(f.TakeAgentRecords(f.now)).To(Equal([]cfdispatch.AgentRecord{{Agent: "a", HasLateStarts: true}}))
}

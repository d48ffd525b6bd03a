package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// endOfJ is an end of the only task of job j that another incarnation has listed.
func endOfJ(run uint64, how cfcore.RunEnd) cfwire.JobListedEnds {
	return cfwire.JobListedEnds{
		Born: epochStart, Ended: []cfcore.EndedTask{{Number: 4, Task: cfcore.TaskName{Job: "j"}, Run: run, How: how}},
	}
}

// reportFormer delivers a report of agent a with lists of its worker and ends of a former incarnation.
func (f *fleet) reportFormer(ends ...cfwire.JobListedEnds) {
	w := f.workers["a"]
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: &cfcore.RunLists{Born: w.state.Born}, ListedEnds: ends})
}

func TestFormerEndsAreAcknowledgedUntilTheyAreReportedNoMore(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.workers["a"].state.Born = epochStart.Add(time.Minute)
	f.add("j", newStep(1, 100))
	f.reportFormer(endOfJ(5, cfcore.EndDone))
	f.Expect(f.runPlanner()).To(BeEmpty(), "the task is done")
	f.Expect(f.TakeOrders(f.now)).To(BeEmpty(), "the end is not recorded")
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	recorded := []cfwire.JobRecordedEnds{{Born: epochStart, Number: 4}}
	f.Expect(f.TakeOrders(f.now)["a"].RecordedFormer).To(Equal(recorded))
	f.Expect(f.TakeOrders(f.now)).To(BeEmpty())
	f.reportFormer(endOfJ(5, cfcore.EndDone))
	f.Expect(f.TakeOrders(f.now)["a"].RecordedFormer).To(Equal(recorded), "the agent has possibly not received it")
	f.reportFormer()
	f.Expect(f.TakeOrders(f.now)).To(BeEmpty())
}

// A worker that restarts under its ID possibly gets the same run again.
func TestFormerEndDoesNotEndTheRunOfALaterIncarnation(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.workers["a"].state.Born = epochStart.Add(time.Minute)
	f.report()
	f.add("j", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	for _, s := range f.workers["a"].runs {
		f.reportFormer(endOfJ(s.Run, cfcore.EndLeaseExpired))
	}
	f.Expect(f.HasLiveRuns("j")).To(BeTrue())
	f.Expect(f.runPlanner()).To(BeEmpty())
}

// The planner starts tasks of a job that no earlier planner knew without waiting for agents. An uncertain
// end of such a task is not postponed.
func TestUncertainEndOfANewJobIsAppliedAtOnce(t *testing.T) {
	p := cfdispatch.New(settings, []string{"b"}, epochStart.Add(2*time.Second+settings.LeaseExpiryTime()))
	f := newFleet(t, p, "a")
	f.add("j", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	for k, s := range f.workers["a"].runs {
		delete(f.workers["a"].runs, k)
		f.workers["a"].state.ID, f.workers["a"].state.Born = "w2", epochStart.Add(time.Minute)
		f.reportFormer(endOfJ(s.Run, cfcore.EndDone))
	}
	f.Expect(f.runPlanner()).To(BeEmpty(), "the task is done")
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

// Only the agent's report of a worker that stopped answering has the end.
func TestCertainListsFollowUncertainEnds(t *testing.T) {
	p := cfdispatch.New(settings, []string{"a", "b"}, epochStart.Add(2*time.Second+settings.LeaseExpiryTime()))
	f := newFleet(t, p)
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}}, queue, true)
	state := cfcore.WorkerState{ID: "w", Service: "dispatch", Born: epochStart, Clock: time.Hour}
	end := endOfJ(5, cfcore.EndDone)
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &state})
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &state, ListedEnds: []cfwire.JobListedEnds{end}, Lost: &cfwire.JobWorkerUnreachable{}})
	f.Expect(f.outcome("j")).To(BeEmpty(), "an earlier planner possibly starts the task again")
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &state, Lists: &cfcore.RunLists{Born: epochStart, Ended: end.Ended}})
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
)

// takeOverUnknownJob returns the fleet of a new planner whose only worker runs both tasks of
// job j. An earlier planner started them. The new planner does not have the job yet.
func takeOverUnknownJob(t *testing.T) *fleet {
	old := newFleet(t, newPlanner(), "a")
	old.add("j", newStep(2, 100))
	old.Expect(old.runPlanner()).To(HaveLen(2))
	s := settings
	s.Epoch++
	f := newFleet(t, cfdispatch.New(s, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.workers["a"].runs = old.workers["a"].runs
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
	return f
}

// learnJob passes job j to the planner after it was read in the store.
func (f *fleet) learnJob() {
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(2, 100)}, Accepted: f.now}}, queue, true)
}

func TestRunsOfAJobThatIsReadLaterAreAdopted(t *testing.T) {
	f := takeOverUnknownJob(t)
	f.learnJob()
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(f.workers["a"].stops).To(BeEmpty())
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

func TestEndsOfAJobThatIsReadLaterAreNotLost(t *testing.T) {
	f := takeOverUnknownJob(t)
	f.endRuns("j", cfcore.EndDone)
	_, ends := f.TakeUnrecordedProgress(f.now, true)
	f.Expect(ends).To(BeEmpty(), "ends of an unknown job must not be acknowledged")
	f.learnJob()
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
	f.report()
	_, ends = f.TakeUnrecordedProgress(f.now, true)
	f.Expect(ends).To(ConsistOf(HaveField("Number", BeEquivalentTo(2))))
}

func TestEndsAfterAnUnknownOneAreAppliedAndNotAcknowledged(t *testing.T) {
	f := takeOverUnknownJob(t)
	f.add("k", newStep(1, 100))
	f.Expect(f.runPlanner()).To(HaveLen(1))
	f.report()
	f.endRuns("j", cfcore.EndDone)
	f.endRuns("k", cfcore.EndDone)
	progress, ends := f.TakeUnrecordedProgress(f.now, true)
	f.Expect(progress).To(ConsistOf(HaveField("Progress.Outcome", cfjob.OutcomeCompleted)))
	f.Expect(ends).To(BeEmpty())
	f.MarkStoreRead(f.now.Add(time.Millisecond))
	f.report()
	_, ends = f.TakeUnrecordedProgress(f.now, true)
	f.Expect(ends).To(ConsistOf(HaveField("Number", BeEquivalentTo(3))), "the store does not have the job")
}

func TestRunsOfAJobThatTheStoreDoesNotHaveAreStopped(t *testing.T) {
	f := takeOverUnknownJob(t)
	f.MarkStoreRead(f.now)
	f.report()
	f.runPlanner()
	f.Expect(f.workers["a"].stops).To(BeEmpty(), "the job was possibly stored since that read")
	f.MarkStoreRead(f.now.Add(time.Millisecond))
	for range 3 {
		f.report()
		f.runPlanner()
	}
	f.Expect(f.workers["a"].stops).To(Equal([]string{"j", "j"}), "not repeated before ResendAfter")
	f.now = f.now.Add(settings.ResendAfter)
	f.report()
	f.runPlanner()
	f.Expect(f.workers["a"].stops).To(HaveLen(4))
}

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

// A run of a job that the planner had not read ended beyond the ends that its worker lists at a time.
// Its task started again although it was done.
func TestUnlistedEndsOfAJobThatIsReadLaterAreAwaited(t *testing.T) {
	for _, c := range []struct {
		name   string
		lists  cfcore.RunLists
		starts int
	}{
		{name: "all ends are listed", starts: 2},
		{name: "more ends", lists: cfcore.RunLists{MoreEnds: true}},
		{name: "a row is left out", lists: cfcore.RunLists{Incomplete: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := takeOverUnknownJob(t)
			c.lists.Born = epochStart
			for range 2 {
				f.ApplyReport(f.now, "a", &cfwire.JobReport{Lists: &c.lists})
			}
			f.learnJob()
			f.Expect(f.runPlanner()).To(HaveLen(c.starts))
			if c.starts > 0 {
				return
			}
			f.endRuns("j", cfcore.EndDone)
			f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
		})
	}
}

// The leases on a worker possibly expired after a run had ended there. An earlier planner then
// takes the run for lost, and possibly starts its task again on an agent that the new planner
// has not reached.
func TestUncertainEndWaitsForEarlierPlanner(t *testing.T) {
	authority := 2 * time.Second
	for name, c := range map[string]struct {
		uncertainEnd uint64
		// wait is how long after its election the planner gets the report again. reached is set
		// if the other agent has reported by then.
		wait    time.Duration
		reached bool
		applied bool
	}{
		"certain":                             {applied: true},
		"uncertain":                           {uncertainEnd: 1, wait: authority},
		"uncertain, all agents have reported": {uncertainEnd: 1, reached: true, applied: true},
		"uncertain, earlier planners have no effect": {uncertainEnd: 1, wait: authority + settings.GrantTime, applied: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := cfdispatch.New(settings, []string{"a", "b"}, epochStart.Add(authority+settings.LeaseExpiryTime()))
			f := newFleet(t, p)
			f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}}, queue, true)
			f.now = f.now.Add(c.wait)
			state := cfcore.WorkerState{ID: "w", Service: "dispatch", Born: epochStart, Clock: time.Hour}
			if c.reached {
				f.ApplyReport(f.now, "b", &cfwire.JobReport{Worker: &state, Lists: &cfcore.RunLists{Born: epochStart}})
			}
			end := cfcore.EndedTask{Number: 1, Task: cfcore.TaskName{Job: "j"}, Run: 5, How: cfcore.EndDone}
			f.ApplyReport(f.now, "a", &cfwire.JobReport{
				Worker: &state, Lists: &cfcore.RunLists{Born: epochStart, Ended: []cfcore.EndedTask{end}}, UncertainEnd: c.uncertainEnd,
			})
			f.Expect(f.outcome("j") == cfjob.OutcomeCompleted).To(Equal(c.applied))
		})
	}
}

func TestExpiredRunOfAnUnknownJobIsNotAdopted(t *testing.T) {
	f := takeOverUnknownJob(t)
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{For: 6 * time.Second, LeasesExpired: true}})
	f.learnJob()
	f.Expect(f.HasLiveRuns("j")).To(BeFalse())
}

// A worker lists ends of a job that the planner has not read yet, and then is gone. The ends of
// these runs are known all the same.
func TestPostponedEndsOutlastTheirWorker(t *testing.T) {
	for name, disrupt := range map[string]func(f *fleet, w *fakeWorker){
		"the worker remains": func(*fleet, *fakeWorker) {},
		"the worker restarts with its ID": func(f *fleet, w *fakeWorker) {
			w.state.Born, w.state.Clock, w.ended = f.now, 0, nil
		},
		"another worker replaces the worker": func(f *fleet, w *fakeWorker) {
			w.state.ID, w.state.Born, w.state.Clock, w.ended = "w2", f.now, 0, nil
		},
		"the worker leaves, and another one follows": func(f *fleet, w *fakeWorker) {
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lost: &cfwire.JobWorkerUnreachable{Left: true}})
			w.state.ID, w.state.Born, w.state.Clock, w.ended = "w2", f.now, 0, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := takeOverUnknownJob(t)
			f.endRuns("j", cfcore.EndDone)
			f.now = f.now.Add(200 * time.Millisecond)
			disrupt(f, f.workers["a"])
			f.report()
			f.MarkAgentRecorded("a")
			f.learnJob()
			f.Expect(f.runPlanner()).To(BeEmpty(), "both tasks are done")
			f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
		})
	}
}

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

// supersededFor is how long an earlier planner gives orders after the election of the next one.
const supersededFor = 2 * time.Second

// newSupersedingPlanner returns the planner that follows another one at the time now. According to their records,
// the agents a and b had no late starts. It inherits a task.
func newSupersedingPlanner(now time.Time) *cfdispatch.Planner { return newPlannerAfter(settings, now) }

func newPlannerAfter(cfg cfdispatch.Settings, now time.Time) *cfdispatch.Planner {
	p := cfdispatch.New(cfg, []string{"a", "b"}, now.Add(supersededFor+settings.LeaseExpiryTime()))
	p.SetAnswered("a")
	p.SetAnswered("b")
	p.AddJob(now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: now}}, queue, true)
	return p
}

// reportInstance delivers the lists of an instance of an agent that started at a time.
func (f *fleet) reportInstance(agent string, startedAt time.Time) {
	w := f.workers[agent]
	m := &cfwire.JobReport{Worker: &w.state, Lists: &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour}}
	if age := f.now.Sub(startedAt); age < cfcore.MaxExecutionDelay {
		m.UnknownStarts = cfcore.MaxExecutionDelay + time.Duration(float64(cfcore.MaxLease)*1.04) + 200*time.Millisecond - age
	}
	f.ApplyReport(f.now, agent, m)
	f.MarkAgentRecorded(agent)
}

// The superseded planner orders starts until 2 s after the election, from agents that the new planner does not reach.
// They are not on record: the store refuses its records. If the agent restarts as well, nobody knows of them, and
// the worker's next incarnation can execute them.
func TestInheritedTaskWaitsForStartsOfASupersededPlanner(t *testing.T) {
	for name, c := range map[string]struct {
		// startedAfter is the time from the election to the start of the agent's instance.
		startedAfter time.Duration
		waits        bool
	}{
		"the instance is older than the election":                 {-5 * time.Second, false},
		"the instance was there a second before the election":     {-time.Second, false},
		"the instance started as the election was on its way":     {-100 * time.Millisecond, true},
		"the instance started while the planner was superseded":   {1300 * time.Millisecond, true},
		"the instance started after the planner had to end":       {4 * time.Second, true},
		"the instance is new, and all its workers' starts listed": {-cfcore.MaxExecutionDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.Planner = newSupersedingPlanner(f.now)
			startedAt := f.now.Add(c.startedAfter)
			f.now = f.now.Add(5 * time.Second)
			f.reportInstance("a", startedAt)
			f.report("b")
			f.MarkAgentRecorded("b")
			if !c.waits {
				f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
				return
			}
			for ; f.now.Sub(startedAt) < cfcore.MaxExecutionDelay; f.now = f.now.Add(100 * time.Millisecond) {
				f.reportInstance("a", startedAt)
				f.report("b")
				f.ExpireLeases(f.now, f.now)
				f.Expect(f.runPlanner()).To(BeEmpty(), "%s after the start of the instance", f.now.Sub(startedAt))
			}
			f.reportInstance("a", startedAt)
			f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
		})
	}
}

// Another instance reports once an earlier one has reported to this planner, which then knows its starts.
func TestInheritedTaskDoesNotWaitForInstancesAfterAKnownOne(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.Planner = newSupersedingPlanner(f.now)
	f.reportInstance("b", f.now.Add(-time.Minute))
	unreachable := &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{}, UnknownStarts: 15 * time.Second}
	f.ApplyReport(f.now, "a", unreachable)
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.now = f.now.Add(time.Second)
	f.BeginInstance("a")
	f.reportInstance("a", f.now)
	f.reportInstance("b", f.now.Add(-time.Minute))
	f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
}

// The planner between the two has neither heard of the agent nor recorded it as silent. The superseded planner
// possibly ordered starts from it after that planner's claim, so that the record is older than the last claim shows.
func TestInheritedTaskWaitsForStartsThatWereUnknownToThePlannerBefore(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.Planner = newSupersedingPlanner(f.now)
	startedAt := f.now.Add(200 * time.Millisecond)
	f.report("b")
	f.MarkAgentRecorded("b")
	f.now = f.now.Add(900 * time.Millisecond)
	f.Expect(f.TakeAgentRecords(f.now)).To(BeEmpty())
	handover := f.HandOver()
	f.Expect(handover).To(HaveLen(2))
	f.now = f.now.Add(200 * time.Millisecond)
	f.Planner = newSupersedingPlanner(f.now)
	for i := range handover {
		f.TakeOver(f.now, &handover[i])
	}
	f.now = f.now.Add(time.Second)
	f.reportInstance("a", startedAt)
	f.reportInstance("b", f.now.Add(-time.Minute))
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.now = startedAt.Add(cfcore.MaxExecutionDelay)
	f.reportInstance("a", startedAt)
	f.reportInstance("b", f.now.Add(-time.Minute))
	f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
}

// The planner before gave no orders after the claim, so that the records have all late starts.
func TestInheritedTaskDoesNotWaitAfterAPlannerThatHadEnded(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	cfg := settings
	cfg.PredecessorEnded = true
	f.Planner = newPlannerAfter(cfg, f.now)
	startedAt := f.now.Add(time.Second)
	f.now = f.now.Add(2 * time.Second)
	f.reportInstance("a", startedAt)
	f.reportInstance("b", startedAt)
	f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
}

// Late starts after the last mark of the planner before are not on record: the store took no records, or the planner was
// killed first.
func TestInheritedTaskWaitsForStartsAfterTheLastMark(t *testing.T) {
	const before = -time.Second
	for name, c := range map[string]struct {
		// markedAfter and startedAfter are the times from the claim to the last mark and to the start of the instance.
		markedAfter, startedAfter time.Duration
		ended, waits              bool
	}{
		"the instance started before the mark":               {markedAfter: -3 * time.Second, startedAfter: -3*time.Second + before},
		"the instance started after the mark":                {markedAfter: -3 * time.Second, startedAfter: before, waits: true},
		"the instance started as the mark was on its way":    {markedAfter: -3 * time.Second, startedAfter: -3 * time.Second, waits: true},
		"the planner before had ended and marked until then": {markedAfter: -time.Second, startedAfter: time.Second, ended: true},
		"the planner before had ended, but marked nothing":   {markedAfter: -4 * time.Second, startedAfter: before, ended: true, waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			cfg := settings
			cfg.RecordedAt, cfg.PredecessorEnded = f.now.Add(c.markedAfter), c.ended
			startedAt := f.now.Add(c.startedAfter)
			f.Planner = newPlannerAfter(cfg, f.now)
			f.now = f.now.Add(3 * time.Second)
			f.reportInstance("a", startedAt)
			f.reportInstance("b", f.now.Add(-time.Minute))
			if c.waits {
				f.Expect(f.runPlanner()).To(BeEmpty())
				f.now = startedAt.Add(cfcore.MaxExecutionDelay)
				f.reportInstance("a", startedAt)
				f.reportInstance("b", f.now.Add(-time.Minute))
			}
			f.Expect(f.runPlanner()).To(ConsistOf(HavePrefix("old.0")))
		})
	}
}

// A new planner does not know yet which agents are silent, and can have late starts that are not on record.
func TestRecordsOfAgentsAreCompleteOnceSilentOnesAreOnRecord(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.Planner = newSupersedingPlanner(f.now)
	f.Expect(f.AreAgentRecordsComplete()).To(BeFalse())
	f.report("b")
	f.MarkAgentRecorded("b")
	f.Expect(f.TakeAgentRecords(f.now)).To(BeEmpty())
	f.now = f.now.Add(900 * time.Millisecond)
	f.Expect(f.TakeAgentRecords(f.now)).To(BeEmpty())
	f.Expect(f.AreAgentRecordsComplete()).To(BeFalse())
	f.now = f.now.Add(100 * time.Millisecond)
	f.Expect(f.AreAgentRecordsComplete()).To(BeFalse())
	f.Expect(f.TakeAgentRecords(f.now)).To(Equal([]cfdispatch.AgentRecord{{Agent: "a", HasLateStarts: true}}))
	f.Expect(f.AreAgentRecordsComplete()).To(BeTrue())
}

// The planner before recorded nothing for more than 5 s. A later planner takes the record for valid again.
func TestAgentWithAnOutdatedRecordIsRecordedToHaveLateStarts(t *testing.T) {
	for name, reports := range map[string]bool{"it is silent": false, "its instance is new": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.Planner = cfdispatch.New(settings, []string{"a", "b"}, f.now.Add(supersededFor+settings.LeaseExpiryTime()))
			f.SetOutdated("a")
			f.SetAnswered("b")
			f.report("b")
			f.MarkAgentRecorded("b")
			if reports {
				f.reportInstance("a", f.now)
			}
			var records []cfdispatch.AgentRecord
			for range 11 {
				records = append(records, f.TakeAgentRecords(f.now)...)
				f.now = f.now.Add(100 * time.Millisecond)
			}
			f.Expect(records).To(Equal([]cfdispatch.AgentRecord{{Agent: "a", HasLateStarts: true}}))
		})
	}
}

func TestRecordsOfAgentsAreCompleteAtOnceIfNoneIsInherited(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	f.Expect(f.TakeAgentRecords(f.now)).To(BeEmpty())
	f.Expect(f.AreAgentRecordsComplete()).To(BeTrue())
}

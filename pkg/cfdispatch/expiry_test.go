package cfdispatch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// A worker that cannot be reached can still run its tasks until all leases on it have
// certainly expired.
func TestTasksMoveOnlyAfterTheirLeaseHasExpired(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	checkpointing := newStep(1, 100)
	checkpointing.Checkpointing = true
	f.add("j", checkpointing)
	agent := strings.TrimPrefix(f.runPlanner()[0], "j.0@")
	f.report()
	other := map[string]string{"a": "b", "b": "a"}[agent]
	lastReport := f.now
	for f.now.Sub(lastReport) < settings.LeaseExpiryTime() {
		f.now = f.now.Add(200 * time.Millisecond)
		f.report(other)
		f.ExpireLeases(f.now, f.now)
		if f.now.Sub(lastReport) <= settings.LeaseExpiryTime() {
			f.Expect(f.runPlanner()).To(BeEmpty(), "after %s", f.now.Sub(lastReport))
		}
	}
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@" + other))
	for _, s := range f.workers[other].runs {
		f.Expect(s.Checkpoint).To(Equal("cp-j"))
	}
}

// A newer planner can extend the leases on a worker that the superseded planner cannot reach.
func TestSupersededPlannerDoesNotMoveWorkOfANewerOne(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", newStep(1, 100))
	agent := strings.TrimPrefix(f.runPlanner()[0], "j.0@")
	f.report()
	other := map[string]string{"a": "b", "b": "a"}[agent]
	expiry := f.now.Add(settings.LeaseExpiryTime())
	supersededAt := expiry.Add(-time.Millisecond)
	f.now = expiry.Add(time.Second)
	f.report(other)
	f.ExpireLeases(f.now, supersededAt)
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.now = f.now.Add(time.Second)
	f.report(other)
	f.ExpireLeases(f.now, expiry.Add(time.Millisecond))
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@" + other))
}

// An earlier planner may have started a task through an agent that has not reported yet. A
// new planner must not start the task again before the agent's report or the end of the
// wait for it. The start possibly got no answer, and only a long-running task does not wait for that.
func TestNewPlannerWaitsForAgentsThatHaveNotReported(t *testing.T) {
	p := cfdispatch.New(settings, []string{"a", "b"}, epochStart.Add(time.Minute))
	f := newFleet(t, p, "a")
	old := cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}
	f.AddJob(f.now, &cfjob.StoredJob{Job: &old}, queue, true)
	lasting := old
	lasting.ID, lasting.Steps = "lasting", []cfjob.Step{longRunningStep()}
	f.AddJob(f.now, &cfjob.StoredJob{Job: &lasting}, queue, true)
	f.add("new", newStep(1, 100))
	f.Expect(f.runPlanner()).To(ConsistOf("new.0@a"), "the earlier planner cannot have started a job that was accepted later")
	f.now = f.now.Add(time.Minute + time.Second)
	f.report()
	f.ExpireLeases(f.now, epochStart.Add(time.Minute))
	f.Expect(f.runPlanner()).To(BeEmpty(), "a still newer planner could have reached the other agent")
	f.now = f.now.Add(time.Second)
	f.report()
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(ConsistOf("lasting.0@a"))
	f.now = epochStart.Add(time.Minute + cfcore.MaxOrderDelay)
	f.report()
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(BeEmpty(), "a late start possibly runs until its lease expires")
	f.now = f.now.Add(cfcore.MaxLease)
	f.report()
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(ConsistOf("old.0@a"))
}

// A report of the whole state contains the last run lists even if they are old.
func TestUnreachableWorkerWithOldRunListsGetsNoStarts(t *testing.T) {
	for name, lost := range map[string]cfwire.JobWorkerUnreachable{
		"leases are valid":    {For: time.Second},
		"leases have expired": {For: 6 * time.Second, LeasesExpired: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.add("j", newStep(1, 100))
			agent := strings.TrimPrefix(f.runPlanner()[0], "j.0@")
			f.report()
			f.now = f.now.Add(200 * time.Millisecond)
			f.report()
			w := f.workers[agent]
			lists := &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour}
			for _, s := range w.runs {
				lists.Running = append(lists.Running, cfcore.RunningTask{Task: s.Task, Run: s.Run})
			}
			f.ApplyReport(f.now, agent, &cfwire.JobReport{Worker: &w.state, Lists: lists, Lost: &lost})
			f.add("k", newStep(8, 100))
			started := f.runPlanner()
			f.Expect(started).NotTo(BeEmpty())
			f.Expect(started).NotTo(ContainElement(HaveSuffix("@" + agent)))
			if lost.LeasesExpired {
				f.Expect(started).To(ContainElement(HavePrefix("j.0@")), "the lists are older than the expiry")
			} else {
				f.Expect(started).NotTo(ContainElement(HavePrefix("j.0@")))
			}
		})
	}
}

func TestOldRunListsDoNotReplaceANewerCheckpoint(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	step := newStep(1, 100)
	step.Checkpointing = true
	f.add("j", step)
	f.Expect(f.runPlanner()).To(HaveLen(1))
	w := f.workers["a"]
	lists := func(checkpoint string) *cfcore.RunLists {
		l := &cfcore.RunLists{Born: w.state.Born, Clock: time.Hour}
		for _, s := range w.runs {
			l.Running = append(l.Running, cfcore.RunningTask{Task: s.Task, Run: s.Run, Checkpoint: checkpoint})
		}
		return l
	}
	old := lists("40")
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: lists("80")})
	lost := &cfwire.JobWorkerUnreachable{For: 6 * time.Second, LeasesExpired: true}
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: lost})
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &w.state, Lists: old, Lost: lost})
	clear(w.runs)
	f.report()
	f.Expect(f.runPlanner()).To(HaveLen(1))
	for _, s := range w.runs {
		f.Expect(s.Checkpoint).To(Equal("80"))
	}
}

// Late calls for the worker's earlier incarnation have extended its leases. Only the agent has
// seen the restart.
func TestNewPlannerCountsLongLeasesOfARestartedWorker(t *testing.T) {
	f := newFleet(t, newPlanner(), "a", "b")
	f.add("j", newStep(1, 100))
	agent := strings.TrimPrefix(f.runPlanner()[0], "j.0@")
	f.report()
	other := map[string]string{"a": "b", "b": "a"}[agent]
	f.ApplyReport(f.now, agent, &cfwire.JobReport{LongLeases: 10 * time.Second})
	for _, at := range []time.Duration{8 * time.Second, 10 * time.Second} {
		f.now = epochStart.Add(at)
		f.report(other)
		f.ExpireLeases(f.now, f.now)
		f.Expect(f.runPlanner()).To(BeEmpty(), "after %s", at)
	}
	f.now = f.now.Add(time.Second)
	f.report(other)
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@" + other))
}

// The next planner must wait for this agent as well.
func TestAgentWithoutRunListsStaysOnRecord(t *testing.T) {
	f := newFleet(t, cfdispatch.New(settings, []string{"a", "b", "c"}, epochStart.Add(time.Second)), "a")
	f.now = f.now.Add(2 * time.Second)
	f.ApplyReport(f.now, "b", &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{For: time.Second}})
	f.Expect(f.ExpireLeases(f.now, f.now)).To(BeEmpty(), "the worker of c can still execute a start")
	f.now = f.now.Add(cfcore.MaxOrderDelay + cfcore.MaxLease)
	f.report("a")
	f.ApplyReport(f.now, "b", &cfwire.JobReport{Lost: &cfwire.JobWorkerUnreachable{For: time.Second}})
	f.Expect(f.ExpireLeases(f.now, f.now)).To(ConsistOf(cfdispatch.GoneAgent{Agent: "c"}))
}

// An agent that reports without run lists extends leases with the new planner's permission, so
// that they outlast the wait for earlier planners.
func TestNewPlannerWaitsForRunListsOfAnAgentThatReports(t *testing.T) {
	f := newFleet(t, cfdispatch.New(settings, []string{"a", "b"}, epochStart.Add(time.Second)), "a")
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}, Accepted: f.now}}, queue, true)
	f.ApplyReport(f.now, "b", &cfwire.JobReport{})
	lastContact := f.now
	for f.now.Sub(lastContact) < settings.LeaseExpiryTime() {
		f.report()
		f.ExpireLeases(f.now, f.now)
		f.Expect(f.runPlanner()).To(BeEmpty(), "after %s", f.now.Sub(lastContact))
		f.now = f.now.Add(200 * time.Millisecond)
	}
	f.report()
	f.ExpireLeases(f.now, f.now)
	f.Expect(f.runPlanner()).To(ConsistOf("old.0@a"))
}

func TestNewPlannerAdoptsRuns(t *testing.T) {
	old := newFleet(t, newPlanner(), "a")
	old.add("j", newStep(1, 100))
	old.runPlanner()
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, epochStart.Add(time.Minute)), "a")
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "j", Queue: queue, Steps: []cfjob.Step{newStep(1, 100)}}}, queue, true)
	f.workers = old.workers
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.outcome("j")).To(Equal(cfjob.OutcomeCompleted))
}

// A restarted agent does not know the leases that its earlier instance extended by the clock of a former
// incarnation. The first instance of an agent has none.
func TestLeasesOfAnEarlierInstanceExpireLater(t *testing.T) {
	for name, c := range map[string]struct {
		restarts, isSilent, hasOtherID bool
		former                         time.Duration
		waits                          bool
	}{
		"the agent has restarted":               {restarts: true, former: 10 * time.Second, waits: true},
		"the agent has restarted and is silent": {restarts: true, isSilent: true, former: 10 * time.Second, waits: true},
		"the worker is old":                     {restarts: true},
		"the worker has another ID":             {restarts: true, hasOtherID: true, former: 10 * time.Second},
		"the first instance":                    {former: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a", "b")
			f.workers["b"].state.Draining = true
			f.report()
			if c.restarts {
				f.BeginInstance("a")
			}
			a := f.workers["a"]
			if c.hasOtherID {
				a.state.ID, a.state.Born = "another", f.now.Add(time.Second)
			}
			f.ApplyReport(f.now, "a", &cfwire.JobReport{Worker: &a.state, Lists: &cfcore.RunLists{Born: a.state.Born}, FormerLeases: c.former})
			f.add("j", newStep(1, 100))
			f.Expect(f.runPlanner()).To(ConsistOf("j.0@a"))
			f.workers["b"].state.Draining = false
			f.report()
			from, moved := f.now, time.Duration(0)
			for moved == 0 && f.now.Sub(from) < time.Minute {
				f.now = f.now.Add(100 * time.Millisecond)
				f.report("b")
				if d := f.now.Sub(from); !c.isSilent {
					f.ApplyReport(f.now, "a", &cfwire.JobReport{FormerLeases: max(0, c.former-d), Lost: &cfwire.JobWorkerUnreachable{For: d, LeasesExpired: d > 5400*time.Millisecond}})
				}
				f.ExpireLeases(f.now, f.now)
				if slices.Contains(f.runPlanner(), "j.0@b") {
					moved = f.now.Sub(from)
				}
			}
			if c.waits {
				f.Expect(moved).To(BeNumerically(">=", c.former))
				f.Expect(moved).To(BeNumerically("<", c.former+time.Second))
			} else {
				f.Expect(moved).To(BeNumerically("<", 6*time.Second))
			}
		})
	}
}

// A restarted agent that has not reached its worker counts the leases of its earlier instance as expired
// after the shortest lease. A new planner does not know them either.
func TestNewPlannerDoesNotRelyOnARestartedAgent(t *testing.T) {
	until := epochStart.Add(9600 * time.Millisecond)
	f := newFleet(t, cfdispatch.New(settings, []string{"a"}, until), "b")
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: "old", Queue: queue, Steps: []cfjob.Step{longRunningStep()}, Accepted: f.now}}, queue, true)
	lost := &cfwire.JobWorkerUnreachable{For: 6 * time.Second, LeasesExpired: true}
	for f.now.Before(until) {
		f.now = f.now.Add(200 * time.Millisecond)
		f.report("b")
		f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: lost, UnknownStarts: 20 * time.Second})
		f.ExpireLeases(f.now, f.now)
		f.Expect(f.runPlanner()).To(BeEmpty(), "after %s", f.now.Sub(epochStart))
	}
	f.now = f.now.Add(200 * time.Millisecond)
	f.report("b")
	f.ApplyReport(f.now, "a", &cfwire.JobReport{Lost: lost, UnknownStarts: 20 * time.Second})
	f.Expect(f.runPlanner()).To(ConsistOf("old.0@b"))
}

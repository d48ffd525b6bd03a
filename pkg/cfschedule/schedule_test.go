package cfschedule_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfplace"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfstate"
)

// planner runs a Scheduler on a state and a clock that the test controls.
type planner struct {
	state     *cfstate.State
	scheduler *cfschedule.Scheduler
	entries   *cfgrant.Table
	views     map[cfcore.WorkerID]*cfschedule.WorkerView
	now       time.Time
	rand      *rand.Rand
}

func newPlanner(workers int) *planner {
	p := &planner{
		state: cfstate.NewState(), entries: cfgrant.NewTable(cfgrant.Timing{Grant: time.Second}),
		views: map[cfcore.WorkerID]*cfschedule.WorkerView{}, now: startTime, rand: rand.New(rand.NewPCG(1, 1)),
	}
	p.scheduler = cfschedule.New(cfschedule.Settings{
		Timing: cfgrant.Timing{Grant: time.Second}, WorkerTimeout: 2 * time.Second, EntryTimeout: 5 * time.Second,
		MaxBatch: 100, HeadroomPercent: 10, QuarantineAfter: 2, QuarantineFor: time.Minute, RetryAfter: time.Second,
	}, cfplace.Spread{})
	p.apply(cfrecord.Record{Claim: &cfrecord.Claim{Epoch: 1, Entry: "p"}},
		cfrecord.Record{Members: &cfrecord.Members{Epoch: 1, Version: 1, Members: []cfrecord.Member{{Entry: "p"}}}})
	for i := range workers {
		id := cfcore.WorkerID(fmt.Sprint("w", i))
		p.views[id] = &cfschedule.WorkerView{
			Worker: id, Instance: "i", Rack: "r", DataCentre: "d",
			Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 1000}, LastReportAt: p.now,
		}
	}
	p.decide(0)
	return p
}

// apply applies a batch of records to the state.
func (p *planner) apply(records ...cfrecord.Record) {
	off := p.state.Offset + 1
	p.state.Apply(off, &cfrecord.Batch{ID: cfrecord.BatchID{byte(off), byte(off >> 8)}, At: p.now, By: "p", Records: records})
}

// decide advances the clock by elapsed, and makes all workers except the unreachable ones
// report. It then makes a decision, applies the records of the decision and returns them.
func (p *planner) decide(elapsed time.Duration, unreachable ...cfcore.WorkerID) []cfrecord.Record {
	p.now = p.now.Add(elapsed)
	for id, v := range p.views {
		v.LastReportAt = p.now
		for _, u := range unreachable {
			if id == u {
				v.LastReportAt = time.Time{}
			}
		}
	}
	out := p.scheduler.Decide(cfschedule.Input{
		Self: "p", State: p.state, Workers: p.views, Entries: p.entries, Now: p.now, Rand: p.rand,
	})
	if len(out) > 0 {
		p.apply(out...)
	}
	return out
}

// createWorkloads applies a plan that creates the workloads ws, and the plan's confirmation.
func (p *planner) createWorkloads(ws ...cfcore.Workload) {
	in := cfintent.Intent{Workloads: ws, Teams: []cfcore.Team{{Name: "t", Quota: cfcore.Resources{MilliCores: 1e6, MemoryMB: 1e6}}}}
	id := cfcore.PlanID(fmt.Sprint("plan", p.state.Offset))
	p.apply(cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: cfrecord.Plan{ID: id, At: p.now, Base: p.state.Offset, Intent: in}}},
		cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{Plan: id}})
}

func newWorkload(name string, c cfcore.Class, replicas int, milliCores int64) cfcore.Workload {
	return cfcore.Workload{
		Name: name, Class: c, Team: "t", Replicas: replicas, MaxFailures: 3,
		Resources:   cfcore.Resources{MilliCores: milliCores, MemoryMB: 1},
		Permissions: []cfcore.Permission{cfcore.PermitRestart, cfcore.PermitMove, cfcore.PermitEvict},
	}
}

// failRuns changes the report of every worker, so that it lists only the worker's runs of the
// given workload, all of them as failed.
func (p *planner) failRuns(workload string) {
	for _, v := range p.views {
		v.Runs = nil
		for id, a := range p.state.Workers[v.Worker].Tasks {
			if p.state.Tasks[id].Workload == workload {
				v.Runs = append(v.Runs, cfcore.Run{Assignment: a, Task: id, State: cfcore.RunFailed, Reason: "broken"})
			}
		}
	}
}

func TestHeadroomIsKeptForUrgentWork(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	p.createWorkloads(newWorkload("batch", cfcore.ClassBatch, 10, 100))
	p.decide(time.Second)
	g.Expect(p.state.Workers["w0"].Tasks).To(HaveLen(9))
	p.createWorkloads(newWorkload("watch", cfcore.ClassWatch, 1, 100))
	p.decide(time.Second)
	g.Expect(p.state.Tasks["watch/0"].Status).To(Equal(cfstate.TaskAssigned))
}

func TestUrgentWorkEvictsTheFewestBatchTasks(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(2)
	p.createWorkloads(newWorkload("small", cfcore.ClassBatch, 4, 200), newWorkload("relay", cfcore.ClassWatch, 2, 500))
	p.decide(time.Second)
	p.createWorkloads(newWorkload("urgent", cfcore.ClassService, 1, 400))
	stops := 0
	for _, r := range p.decide(time.Second) {
		if r.Stop != nil {
			stops++
			g.Expect(r.Stop.Permission).To(Equal(cfcore.PermitEvict))
			g.Expect(p.state.Tasks[p.state.Assigned[r.Stop.Assignment]].Workload).To(Equal("small"))
		}
	}
	g.Expect(stops).To(BeNumerically("<=", 2))
}

func TestReplicasAreSpread(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(4)
	p.createWorkloads(newWorkload("service", cfcore.ClassService, 4, 100))
	p.decide(time.Second)
	for _, w := range p.state.Workers {
		g.Expect(w.Tasks).To(HaveLen(1))
	}
}

func TestUnreachableWorkerIsFencedThenEvictedThenUnfenced(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(2)
	p.createWorkloads(newWorkload("relay", cfcore.ClassWatch, 1, 100))
	p.decide(time.Second)
	w := p.state.Tasks["relay/0"].Worker
	p.decide(time.Second, w)
	g.Expect(p.state.Workers[w].Fenced).To(BeFalse(), "the worker has not been unreachable for long enough")
	p.decide(2*time.Second, w)
	g.Expect(p.state.Workers[w].Fenced).To(BeTrue())
	p.decide(0, w)
	p.decide(1900*time.Millisecond, w)
	g.Expect(p.state.Tasks["relay/0"].Worker).To(Equal(w), "the worker's lease can still be valid")
	p.decide(200*time.Millisecond, w)
	p.decide(0, w)
	g.Expect(p.state.Tasks["relay/0"].Worker).NotTo(Equal(w))
	p.decide(time.Second)
	g.Expect(p.state.Workers[w].Fenced).To(BeFalse())
}

func TestQuarantineAndProbe(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	for _, name := range []string{"a", "b"} {
		p.createWorkloads(newWorkload(name, cfcore.ClassBatch, 1, 100))
		p.decide(time.Second)
		p.failRuns(name)
		p.decide(time.Second)
	}
	p.views["w0"].Runs = nil
	p.decide(time.Second)
	g.Expect(p.state.Workers["w0"].Quarantined).To(BeTrue())
	p.decide(0)
	p.decide(time.Minute)
	g.Expect(p.state.Workers["w0"].Quarantined).To(BeFalse(), "the quarantine must end after QuarantineFor")
}

func TestOneBadJobDoesNotQuarantine(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(1)
	p.createWorkloads(newWorkload("bad", cfcore.ClassBatch, 1, 100))
	for range 5 {
		p.decide(2 * time.Second)
		p.failRuns("bad")
		p.decide(2 * time.Second)
		p.views["w0"].Runs = nil
	}
	g.Expect(p.state.Tasks["bad/0"].Status).To(Equal(cfstate.TaskFailed))
	g.Expect(p.state.Workers["w0"].Quarantined).To(BeFalse())
}

func TestUnreachableCandidateIsDroppedAndMemberKeptWithoutMajority(t *testing.T) {
	g := NewWithT(t)
	p := newPlanner(0)
	peer := netip.MustParseAddrPort("10.0.0.1:1")
	p.apply(cfrecord.Record{Candidate: &cfrecord.Candidate{Member: cfrecord.Member{Entry: "gone", Peer: peer}}})
	p.decide(time.Second)
	p.decide(6 * time.Second)
	g.Expect(p.state.Candidates).To(BeEmpty())

	p.apply(cfrecord.Record{Candidate: &cfrecord.Candidate{Member: cfrecord.Member{Entry: "q", Peer: peer}}})
	p.entries.Put("q", cfgrant.PollAnswer{SentAt: p.now, Version: 1})
	p.decide(0)
	g.Expect(p.state.IsMember("q")).To(BeTrue())
	p.decide(10 * time.Second)
	g.Expect(p.state.IsMember("q")).To(BeTrue(), "one of two members is no majority: only an operator can remove the other one")
}

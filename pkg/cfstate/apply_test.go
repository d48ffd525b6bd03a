package cfstate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfstate"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testLog is a log and the state after applying all its batches.
type testLog struct {
	state   *cfstate.State
	batches []*cfrecord.Batch
}

func newTestLog() *testLog { return &testLog{state: cfstate.NewState()} }

// add appends a batch by one author and applies it. It returns the rejection of the
// batch's last record, which is empty if the record was applied.
func (l *testLog) add(by cfcore.EntryID, records ...cfrecord.Record) cfstate.Rejection {
	b := &cfrecord.Batch{At: startTime.Add(time.Duration(len(l.batches)) * time.Second), By: by, Records: records}
	n := len(l.batches) + 1
	b.ID = cfrecord.BatchID{byte(n), byte(n >> 8), byte(n >> 16)}
	l.batches = append(l.batches, b)
	out := l.state.Apply(cfcore.Offset(n), b)
	return out[len(out)-1].Rejection
}

func claim(e cfcore.Epoch, id cfcore.EntryID) cfrecord.Record {
	return cfrecord.Record{Claim: &cfrecord.Claim{Epoch: e, Entry: id}}
}

func workerUp(e cfcore.Epoch, w cfcore.WorkerID, milliCores int64) cfrecord.Record {
	return cfrecord.Record{WorkerUp: &cfrecord.WorkerUp{
		Epoch: e, Worker: w, Instance: cfcore.InstanceID(w) + "-i", Capacity: cfcore.Resources{MilliCores: milliCores, MemoryMB: 100},
	}}
}

func assign(e cfcore.Epoch, task string, a int, w cfcore.WorkerID) cfrecord.Record {
	return cfrecord.Record{Assign: &cfrecord.Assign{
		Epoch: e, Task: cfcore.TaskID(task), Assignment: cfcore.Assignment(a), Worker: w, Instance: cfcore.InstanceID(w) + "-i",
	}}
}

func runEnded(e cfcore.Epoch, a int, s cfcore.RunState) cfrecord.Record {
	return cfrecord.Record{Ended: &cfrecord.RunEnded{Epoch: e, Assignment: cfcore.Assignment(a), State: s, Checkpoint: "c"}}
}

func newBatchWorkload(name string, replicas int, milliCores int64, ps ...cfcore.Permission) cfcore.Workload {
	return cfcore.Workload{
		Name: name, Class: cfcore.ClassBatch, Team: "t", Replicas: replicas, MaxFailures: 3, Permissions: ps,
		Resources: cfcore.Resources{MilliCores: milliCores, MemoryMB: 1},
	}
}

// planAndConfirm adds a plan for an intent, and then its confirmation. It returns the
// rejection of the confirmation.
func (l *testLog) planAndConfirm(id string, in cfintent.Intent, touches ...string) cfstate.Rejection {
	in.Teams = append(in.Teams, cfcore.Team{Name: "t", Quota: cfcore.Resources{MilliCores: 1e6, MemoryMB: 1e6}})
	plan := cfrecord.Plan{
		ID: cfcore.PlanID(id), Who: "alice", At: l.state.At, Base: l.state.Offset, Intent: in, Touches: touches,
	}
	l.add("e", cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: plan}})
	return l.add("e", cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{Plan: plan.ID, Who: "alice"}})
}

// newFleetLog returns a log with planner "p" of epoch 1 and workers w0 and w1 of 10
// millicores each. Its batch workload "j" has 4 tasks of 4 millicores each, with
// permissions ps.
func newFleetLog(ps ...cfcore.Permission) *testLog {
	l := newTestLog()
	l.add("p", claim(1, "p"))
	l.add("p", workerUp(1, "w0", 10), workerUp(1, "w1", 10))
	l.planAndConfirm("plan", cfintent.Intent{Workloads: []cfcore.Workload{newBatchWorkload("j", 4, 4, ps...)}}, "workload/j")
	return l
}

func TestRejectedRecords(t *testing.T) {
	for name, c := range map[string]struct {
		by   cfcore.EntryID
		rec  []cfrecord.Record
		want string
	}{
		"a second claim of the same epoch":                       {"q", []cfrecord.Record{claim(1, "q")}, "of another epoch"},
		"a decision of an old epoch's planner":                   {"p", []cfrecord.Record{claim(2, "q"), assign(1, "j/0", 1, "w0")}, "of another epoch"},
		"a decision of an entry that is not the planner":         {"q", []cfrecord.Record{assign(1, "j/0", 1, "w0")}, "of another epoch"},
		"an assignment beyond capacity":                          {"p", []cfrecord.Record{assign(1, "j/0", 1, "w0"), assign(1, "j/1", 2, "w0"), assign(1, "j/2", 3, "w0")}, "worker's capacity exceeded"},
		"an assignment of a running task":                        {"p", []cfrecord.Record{assign(1, "j/0", 1, "w0"), assign(1, "j/0", 2, "w1")}, "task not waiting"},
		"an assignment number that was used before":              {"p", []cfrecord.Record{assign(1, "j/0", 5, "w0"), assign(1, "j/1", 5, "w1")}, "assignment number not new"},
		"an assignment to a fenced worker":                       {"p", []cfrecord.Record{{Fence: &cfrecord.FenceWorker{Epoch: 1, Worker: "w0"}}, assign(1, "j/0", 1, "w0")}, "worker not usable"},
		"an assignment to an unknown worker":                     {"p", []cfrecord.Record{assign(1, "j/0", 1, "w9")}, "worker not usable"},
		"the end of a run that has ended already":                {"p", []cfrecord.Record{assign(1, "j/0", 1, "w0"), runEnded(1, 1, cfcore.RunDone), runEnded(1, 1, cfcore.RunDone)}, "not the task's assignment"},
		"the unfencing of a worker with assigned tasks":          {"p", []cfrecord.Record{assign(1, "j/0", 1, "w0"), {Fence: &cfrecord.FenceWorker{Epoch: 1, Worker: "w0"}}, {Unfence: &cfrecord.UnfenceWorker{Epoch: 1, Worker: "w0"}}}, "tasks still assigned"},
		"a stop without the plan's permission":                   {"p", []cfrecord.Record{assign(1, "j/0", 1, "w0"), {Stop: &cfrecord.Stop{Epoch: 1, Assignment: 1, Permission: cfcore.PermitEvict}}}, "no permission for it"},
		"a membership with two more members":                     {"p", []cfrecord.Record{{Members: &cfrecord.Members{Epoch: 1, Version: 1, Members: []cfrecord.Member{{Entry: "a"}, {Entry: "b"}}}}}, "not the next membership"},
		"a confirmation of an unknown plan":                      {"p", []cfrecord.Record{{Confirmed: &cfrecord.PlanConfirmed{Plan: "nothing"}}}, "plan unknown or expired"},
		"a second confirmation of a plan":                        {"p", []cfrecord.Record{{Confirmed: &cfrecord.PlanConfirmed{Plan: "plan"}}}, "plan unknown or expired"},
		"a key that is claimed already":                          {"p", []cfrecord.Record{{KeyClaim: &cfrecord.KeyClaim{Claim: cfrecord.BatchID{1}, Service: "s", Key: "k"}}, {KeyClaim: &cfrecord.KeyClaim{Claim: cfrecord.BatchID{2}, Service: "s", Key: "k"}}}, "key claimed before"},
		"the release of a key by another claim":                  {"p", []cfrecord.Record{{KeyClaim: &cfrecord.KeyClaim{Claim: cfrecord.BatchID{1}, Service: "s", Key: "k"}}, {KeyRelease: &cfrecord.KeyRelease{Claim: cfrecord.BatchID{2}, Service: "s", Key: "k"}}}, "key claimed before"},
		"a new instance while tasks are assigned to the old one": {"p", []cfrecord.Record{assign(1, "j/0", 1, "w0"), {WorkerUp: &cfrecord.WorkerUp{Epoch: 1, Worker: "w0", Instance: "new"}}}, "tasks still assigned"},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(string(newFleetLog().add(c.by, c.rec...))).To(Equal(c.want))
		})
	}
}

func TestTaskStatusAfterRunEnds(t *testing.T) {
	for name, c := range map[string]struct {
		permits []cfcore.Permission
		recs    []cfrecord.Record
		want    cfstate.TaskStatus
	}{
		"done":                                 {nil, []cfrecord.Record{runEnded(1, 1, cfcore.RunDone)}, cfstate.TaskDone},
		"lease expired, restart permitted":     {[]cfcore.Permission{cfcore.PermitRestart}, []cfrecord.Record{runEnded(1, 1, cfcore.RunLeaseExpired)}, cfstate.TaskPending},
		"lease expired, restart not permitted": {nil, []cfrecord.Record{runEnded(1, 1, cfcore.RunLeaseExpired)}, cfstate.TaskHeld},
		"failed, restart permitted":            {[]cfcore.Permission{cfcore.PermitRestart}, []cfrecord.Record{runEnded(1, 1, cfcore.RunFailed)}, cfstate.TaskPending},
		"stopped by a permitted stop":          {[]cfcore.Permission{cfcore.PermitMove}, []cfrecord.Record{{Stop: &cfrecord.Stop{Epoch: 1, Assignment: 1, Permission: cfcore.PermitMove}}, runEnded(1, 1, cfcore.RunStopped)}, cfstate.TaskPending},
		"done while being stopped":             {[]cfcore.Permission{cfcore.PermitMove}, []cfrecord.Record{{Stop: &cfrecord.Stop{Epoch: 1, Assignment: 1, Permission: cfcore.PermitMove}}, runEnded(1, 1, cfcore.RunDone)}, cfstate.TaskDone},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newFleetLog(c.permits...)
			l.add("p", assign(1, "j/0", 1, "w0"))
			l.add("p", c.recs...)
			g.Expect(l.state.Tasks["j/0"].Status).To(Equal(c.want))
			g.Expect(l.state.Workers["w0"].Used.IsZero()).To(BeTrue())
		})
	}
}

func TestCancelledTaskNeverCompletes(t *testing.T) {
	g := NewWithT(t)
	l := newFleetLog()
	l.add("p", assign(1, "j/0", 1, "w0"))
	g.Expect(l.planAndConfirm("cancel", cfintent.Intent{Remove: []string{"j"}}, "workload/j")).To(BeEmpty())
	l.add("p", runEnded(1, 1, cfcore.RunDone))
	for i := range 4 {
		g.Expect(l.state.Tasks[cfcore.NewTaskID("j", i)].Status).To(Equal(cfstate.TaskCancelled))
	}
	g.Expect(l.planAndConfirm("again", cfintent.Intent{Workloads: []cfcore.Workload{newBatchWorkload("j", 1, 4)}}, "workload/j")).To(BeEmpty())
	g.Expect(l.state.Tasks["j/0"].Status).To(Equal(cfstate.TaskPending))
}

func TestConflictingPlanIsRejected(t *testing.T) {
	g := NewWithT(t)
	l := newFleetLog()
	plan := func(id, key string, in cfintent.Intent) {
		l.add("e", cfrecord.Record{Planned: &cfrecord.PlanProposed{Plan: cfrecord.Plan{
			ID: cfcore.PlanID(id), At: l.state.At, Base: l.state.Offset, Intent: in, Touches: []string{key},
		}}})
	}
	confirm := func(id string) cfstate.Rejection {
		return l.add("e", cfrecord.Record{Confirmed: &cfrecord.PlanConfirmed{Plan: cfcore.PlanID(id)}})
	}
	plan("a", "workload/j", cfintent.Intent{Remove: []string{"j"}})
	plan("b", "workload/j", cfintent.Intent{Workloads: []cfcore.Workload{newBatchWorkload("j", 6, 4)}})
	plan("c", "worker/w0", cfintent.Intent{Drain: []cfcore.WorkerID{"w0"}})
	g.Expect(confirm("b")).To(BeEmpty())
	g.Expect(string(confirm("a"))).To(Equal("plan overtaken by another change"))
	g.Expect(confirm("c")).To(BeEmpty())
	g.Expect(l.state.Workers["w0"].Draining).To(BeTrue())
}

// randomRecord returns a random record. The state rejects many of these records.
func randomRecord(r *rand.Rand, s *cfstate.State) cfrecord.Record {
	task := fmt.Sprintf("j%d/%d", r.IntN(4), r.IntN(3))
	worker := cfcore.WorkerID(fmt.Sprintf("w%d", r.IntN(4)))
	epoch := s.Epoch - cfcore.Epoch(r.IntN(6)/5)
	a := cfcore.Assignment(r.IntN(int(s.LastAssignment) + 2))
	states := []cfcore.RunState{cfcore.RunDone, cfcore.RunFailed, cfcore.RunStopped, cfcore.RunLeaseExpired}
	switch k := r.IntN(20); {
	case k < 7:
		return assign(epoch, task, int(s.LastAssignment)+r.IntN(2), worker)
	case k < 12:
		return runEnded(epoch, int(a), states[r.IntN(4)])
	case k < 13:
		return cfrecord.Record{Stop: &cfrecord.Stop{Epoch: epoch, Assignment: a}}
	case k < 14:
		return workerUp(epoch, worker, int64(5+r.IntN(10)))
	case k < 15:
		return cfrecord.Record{Fence: &cfrecord.FenceWorker{Epoch: epoch, Worker: worker}}
	case k < 16:
		return cfrecord.Record{Unfence: &cfrecord.UnfenceWorker{Epoch: epoch, Worker: worker}}
	case k < 17:
		return claim(s.Epoch+cfcore.Epoch(r.IntN(2)), cfcore.EntryID([]string{"p", "q"}[r.IntN(2)]))
	case k < 18:
		return cfrecord.Record{KeyClaim: &cfrecord.KeyClaim{Claim: cfrecord.BatchID{byte(r.IntN(9))}, Service: "s", Key: task}}
	case k < 19:
		return cfrecord.Record{Checkpoint: &cfrecord.Checkpoint{Epoch: epoch, Assignment: a, Checkpoint: task}}
	}
	return cfrecord.Record{Quarantine: &cfrecord.Quarantine{Epoch: epoch, Worker: worker, Lifted: r.IntN(2) == 0}}
}

// randomLog returns a log that creates 4 workers and 4 batch workloads, followed by n
// random batches. After some of these batches it removes a workload.
func randomLog(r *rand.Rand, n int) *testLog {
	l := newTestLog()
	l.add("p", claim(1, "p"))
	for i := range 4 {
		w := cfcore.WorkerID(fmt.Sprintf("w%d", i))
		l.add("p", workerUp(1, w, 10))
		name := fmt.Sprintf("j%d", i)
		l.planAndConfirm("plan-"+name, cfintent.Intent{Workloads: []cfcore.Workload{newBatchWorkload(name, 3, int64(2+i), cfcore.PermitRestart)}}, "workload/"+name)
	}
	for i := range n {
		by := l.state.Planner
		if r.IntN(10) == 0 {
			by = "q"
		}
		l.add(by, randomRecord(r, l.state))
		if r.IntN(40) == 0 {
			name := fmt.Sprintf("j%d", r.IntN(4))
			l.planAndConfirm(fmt.Sprint("x", i), cfintent.Intent{Remove: []string{name}}, "workload/"+name)
		}
	}
	return l
}

// checkInvariants checks properties that every state must have: each task is on at most
// one worker, the tasks on a worker fit within its capacity, and counters and indexes
// match the tasks.
func checkInvariants(g *WithT, s *cfstate.State) {
	on := map[cfcore.TaskID]cfcore.WorkerID{}
	for _, w := range s.Workers {
		var used cfcore.Resources
		for id := range w.Tasks {
			g.Expect(on).NotTo(HaveKey(id), "a task is on two workers")
			on[id] = w.ID
			used = used.Add(s.Workloads[s.Tasks[id].Workload].Spec.Resources)
		}
		g.Expect(used).To(Equal(w.Used))
		g.Expect(used.Fits(w.Capacity)).To(BeTrue())
	}
	live, kept := map[string]int{}, map[string]int{}
	for id, t := range s.Tasks {
		_, placed := on[id]
		g.Expect(placed).To(Equal(t.Status.OnWorker()), "task %s has status %s", id, t.Status)
		_, pending := s.Pending[id]
		g.Expect(pending).To(Equal(t.Status == cfstate.TaskPending))
		kept[t.Workload]++
		if !t.Status.Ended() {
			live[t.Workload]++
		}
	}
	for name, w := range s.Workloads {
		g.Expect(w.Live).To(Equal(live[name]), name)
		g.Expect(w.Kept).To(Equal(kept[name]), name)
	}
}

func TestInvariants(t *testing.T) {
	codec, err := cfrecord.NewCodec()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		l := randomLog(r, rapid.IntRange(1, 200).Draw(rt, "batches"))
		checkInvariants(g, l.state)

		// A snapshot taken at any offset plus the rest of the log must give the same state. At
		// the end, some batches are applied again: they must add nothing to the audit trail.
		cut := rapid.IntRange(0, len(l.batches)-1).Draw(rt, "cut")
		atCut := cfstate.NewState()
		for i, b := range l.batches[:cut] {
			atCut.Apply(cfcore.Offset(i+1), b)
		}
		data, err := atCut.Encode(codec)
		g.Expect(err).NotTo(HaveOccurred())
		restored, err := cfstate.Decode(codec, data)
		g.Expect(err).NotTo(HaveOccurred())
		for i, b := range l.batches[cut:] {
			restored.Apply(cfcore.Offset(cut+i+1), b)
		}
		g.Expect(cfstate.Equal(codec, restored, l.state)).To(BeTrue())
		checkInvariants(g, restored)

		auditLength := len(l.state.Audit)
		for i := 0; i < len(l.batches); i += 7 {
			l.state.Apply(l.state.Offset, l.batches[i])
		}
		g.Expect(l.state.Audit).To(HaveLen(auditLength))
	})
}

func FuzzApply(f *testing.F) {
	codec, err := cfrecord.NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	for _, b := range randomLog(rand.New(rand.NewPCG(1, 2)), 40).batches {
		data, err := codec.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := cfstate.NewLogReader(codec)
		r.StartEmpty()
		l := randomLog(rand.New(rand.NewPCG(3, 4)), 10)
		r.State = l.state
		r.Apply(cfcore.LogEntry{Offset: l.state.Offset + 1, Data: data})
		checkInvariants(NewWithT(t), r.State)
	})
}

// TestReaderWithExpiredLogEntries reads logs whose oldest entries have expired, with a
// snapshot of the state at offset base. A reader that starts at offset base + 1 or before
// gets the full state. A reader that starts later must not get a state.
func TestReaderWithExpiredLogEntries(t *testing.T) {
	g := NewWithT(t)
	codec, err := cfrecord.NewCodec()
	g.Expect(err).NotTo(HaveOccurred())
	l := randomLog(rand.New(rand.NewPCG(5, 6)), 50)
	data, err := l.state.Encode(codec)
	g.Expect(err).NotTo(HaveOccurred())
	base := l.state.Offset
	for _, r := range cfstate.SplitSnapshot(cfrecord.BatchID{9}, base, data) {
		l.add("p", r)
	}
	for range 20 {
		l.add("p", randomRecord(rand.New(rand.NewPCG(7, 8)), l.state))
	}
	for first := range len(l.batches) {
		r := cfstate.NewLogReader(codec)
		for i := first; i < len(l.batches); i++ {
			raw, err := codec.Marshal(l.batches[i])
			g.Expect(err).NotTo(HaveOccurred())
			r.Apply(cfcore.LogEntry{Offset: cfcore.Offset(i + 1), Data: raw})
		}
		if cfcore.Offset(first) <= base {
			g.Expect(r.IsCurrent()).To(BeTrue(), "log read from index %d", first)
			g.Expect(cfstate.Equal(codec, r.State, l.state)).To(BeTrue(), "log read from index %d", first)
		} else {
			g.Expect(r.State).To(BeNil(), "state built from an incomplete log, read from index %d", first)
		}
	}
}

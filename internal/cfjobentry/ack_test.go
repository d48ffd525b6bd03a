package cfjobentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// faultyStore is a store whose appends have a random outcome. An append without an answer is
// stored at once, later or never.
type faultyStore struct {
	cfcore.Store
	rand    *rand.Rand
	records []cfcore.KeyedRecord
	epoch   cfcore.Epoch
	// sequence is the last sequence number of the epoch. late are the appends that are still on
	// their way.
	sequence uint64
	late     []func()
}

func (s *faultyStore) Append(_ context.Context, _ cfcore.Topic, records []cfcore.KeyedRecord, o cfcore.AppendOptions) (int64, error) {
	p := *o.Producer
	switch s.rand.IntN(5) {
	case 0:
		return 0, cferror.New("append", cfcore.StoreRejected, "rejected")
	case 1:
		_ = s.store(records, p)
		return 0, cferror.New("append", cfcore.StoreOutcomeUnknown, "answer lost")
	case 2:
		s.late = append(s.late, func() { _ = s.store(records, p) })
		return 0, cferror.New("append", cfcore.StoreOutcomeUnknown, "late")
	}
	return 0, s.store(records, p)
}

// store stores an append unless a newer epoch has begun or it is a repeat.
func (s *faultyStore) store(records []cfcore.KeyedRecord, p cfcore.Producer) error {
	switch {
	case p.Epoch < s.epoch:
		return cferror.New("append", cfcore.StoreFenced, "fenced")
	case p.Sequence <= s.sequence:
		return nil
	case p.Sequence > s.sequence+1:
		return cferror.New("append", cfcore.StoreSequence, "sequence")
	}
	s.sequence = p.Sequence
	s.records = append(s.records, records...)
	return nil
}

// storeLate stores a late append.
func (s *faultyStore) storeLate() {
	if n := len(s.late); n > 0 {
		i := s.rand.IntN(n)
		s.late[i]()
		s.late = slices.Delete(s.late, i, i+1)
	}
}

// ackRun is a run of planners, one after the other, with one worker whose leases never expire.
type ackRun struct {
	*WithT
	*control
	store   *faultyStore
	job     *cfjob.Job
	worker  cfcore.WorkerState
	running map[uint64]cfcore.TaskName
	ends    []cfcore.EndedTask
	// acked is the number up to which ends are acknowledged.
	acked uint64
}

// takeOver replaces the planner by one with the records that are stored.
func (r *ackRun) takeOver(t *testing.T) {
	r.store.epoch, r.store.sequence = r.store.epoch+1, 1
	clock := r.Clock
	r.control, _ = newTestControl(t)
	r.Clock, r.Store = clock, r.store
	r.stored = r.storedState()
	r.stored.Agents = map[string]time.Time{"a": {}}
	r.becomePlanner(cfjob.Claim{Epoch: r.store.epoch, Instance: "i"})
}

// storedState returns the state in the store.
func (r *ackRun) storedState() *cfjob.StoreState {
	s := cfjob.NewStoreState(r.codec)
	submission, err := r.codec.Job(r.job)
	r.Expect(err).NotTo(HaveOccurred())
	for _, rec := range append([]cfcore.KeyedRecord{submission}, r.store.records...) {
		_, err := s.Apply(rec)
		r.Expect(err).NotTo(HaveOccurred())
	}
	return s
}

// report reports the lists of the worker, without the ends that it has forgotten.
func (r *ackRun) report() {
	l := &cfcore.RunLists{Born: r.worker.Born, Ended: slices.Clone(r.ends[r.acked:])}
	for id, task := range r.running {
		l.Running = append(l.Running, cfcore.RunningTask{Task: task, Run: id})
	}
	r.plan.ApplyReport(r.Clock.Now(), "a", &cfwire.JobReport{Worker: &r.worker, Lists: l})
	r.plan.MarkAgentRecorded("a")
}

// followOrders carries out starts and acknowledgements. It checks that acknowledged ends are stored,
// and that no task starts whose acknowledged end is done.
func (r *ackRun) followOrders() {
	r.plan.Plan(r.Clock.Now())
	o := r.plan.TakeOrders(r.Clock.Now())["a"]
	if o == nil {
		return
	}
	if o.RecordedEnd > r.acked {
		r.acked = o.RecordedEnd
		stored := r.storedState().Jobs[r.job.ID]
		r.Expect(stored.Progress).NotTo(BeNil())
		for _, e := range r.ends[:r.acked] {
			position := r.job.Position(e.Task)
			isStored := stored.Progress.IsDone(position) || e.How == cfcore.EndFailed && slices.Contains(stored.TaskProgress()[position].Failed, e.Run)
			r.Expect(isStored).To(BeTrue(), "acknowledged end %d: %v", e.Number, e)
		}
	}
	for _, s := range o.Starts {
		for _, e := range r.ends[:r.acked] {
			r.Expect(e.Task == s.Task && e.How == cfcore.EndDone).To(BeFalse(), "%v starts after end %d", s.Task, e.Number)
		}
		if !slices.ContainsFunc(r.ends, func(e cfcore.EndedTask) bool { return e.Run == s.Run }) {
			r.running[s.Run] = s.Task
		}
	}
}

// endRuns ends some of the runs.
func (r *ackRun) endRuns() {
	for id, task := range r.running {
		how := cfcore.EndDone
		switch r.store.rand.IntN(12) {
		case 0:
			how = cfcore.EndFailed
		case 1, 2:
		default:
			continue
		}
		delete(r.running, id)
		r.ends = append(r.ends, cfcore.EndedTask{Number: uint64(len(r.ends) + 1), Task: task, Run: id, How: how})
	}
}

// A worker forgets an end that is acknowledged. If the end is not stored, the next planner starts
// the task again.
func TestAcknowledgedEndsAreStored(t *testing.T) {
	for seed := range uint64(6) {
		g := NewWithT(t)
		c, _ := newTestControl(t)
		now := c.Clock.Now()
		r := &ackRun{
			WithT: g, control: c, running: map[uint64]cfcore.TaskName{}, store: &faultyStore{rand: rand.New(rand.NewPCG(seed, 1))},
			worker: cfcore.WorkerState{ID: "w", Service: "s", Born: now, Clock: time.Hour, Capacity: cfcore.Resources{MilliCores: 1000, MemoryMB: 1000}},
			job: &cfjob.Job{
				ID: "00000000000000aa", Queue: cfjob.Queue{Service: "s", MaxAttempts: 1000}, Accepted: now,
				Steps: []cfjob.Step{{Count: 700, Resources: cfcore.Resources{MilliCores: 20}}, {Count: 30, After: []int{0}}},
			},
		}
		r.takeOver(t)
		for range 300 {
			r.report()
			r.followOrders()
			r.appendBatch(t.Context(), r.Clock.Now())
			if b := r.plan.pendingBatch; b != nil && b.inFlight {
				r.handleEvent(t.Context(), <-r.events)
			}
			r.endRuns()
			r.Clock.(*clockwork.FakeClock).Advance(time.Duration(r.store.rand.IntN(100)) * time.Millisecond)
			if r.store.rand.IntN(8) == 0 {
				r.store.storeLate()
			}
			if r.plan == nil || r.store.rand.IntN(40) == 0 {
				r.takeOver(t)
			}
		}
		g.Expect(r.acked).To(BeNumerically(">", 100), "seed %d", seed)
	}
}

package cfjob_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfrecord"
)

const jobID = "5c0e7a21d94b36f8"

func validJob() *cfjob.Job {
	return &cfjob.Job{ID: jobID, Steps: []cfjob.Step{{Count: 2}, {Count: 3, After: []int{0}}}}
}

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*cfjob.Job)
		ok     bool
	}{
		"valid":                   {func(*cfjob.Job) {}, true},
		"largest spec":            {func(j *cfjob.Job) { j.Spec = string(make([]byte, 4000)) }, true},
		"spec too long":           {func(j *cfjob.Job) { j.Spec = string(make([]byte, 4001)) }, false},
		"ID too short":            {func(j *cfjob.Job) { j.ID = "5c0e" }, false},
		"ID not hexadecimal":      {func(j *cfjob.Job) { j.ID = "5c0e7a21d94b36fz" }, false},
		"no steps":                {func(j *cfjob.Job) { j.Steps = nil }, false},
		"no tasks":                {func(j *cfjob.Job) { j.Steps[0].Count = 0 }, false},
		"negative count":          {func(j *cfjob.Job) { j.Steps[0].Count = -1 }, false},
		"too many tasks":          {func(j *cfjob.Job) { j.Steps[0].Count = 1 << 30 }, false},
		"negative memory":         {func(j *cfjob.Job) { j.Steps[0].Resources.MemoryMB = -1 }, false},
		"waits for itself":        {func(j *cfjob.Job) { j.Steps[1].After = []int{1} }, false},
		"waits for a later step":  {func(j *cfjob.Job) { j.Steps[0].After = []int{1} }, false},
		"waits for unknown step":  {func(j *cfjob.Job) { j.Steps[1].After = []int{-1} }, false},
		"schedule without runs":   {func(j *cfjob.Job) { j.Schedule = &cfjob.Schedule{} }, false},
		"negative latency target": {func(j *cfjob.Job) { j.Steps[0].TailTarget = -1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := validJob()
			c.change(j)
			NewWithT(t).Expect(j.Check() == nil).To(Equal(c.ok), "Check returned %v", j.Check())
		})
	}
}

// The positions of a job's tasks must not overflow.
func TestCheckBoundsOccurrences(t *testing.T) {
	for name, c := range map[string]struct {
		s  cfjob.Schedule
		ok bool
	}{
		"largest":               {cfjob.Schedule{Count: cfjob.MaxOccurrences, FirstRun: time.UnixMilli(1767225600123), Period: time.Second}, true},
		"too many":              {cfjob.Schedule{Count: cfjob.MaxOccurrences + 1}, false},
		"product overflows":     {cfjob.Schedule{Count: math.MaxInt/5 + 1}, false},
		"product wraps":         {cfjob.Schedule{Count: -3689348814741910323 & math.MaxInt}, false},
		"largest int":           {cfjob.Schedule{Count: math.MaxInt}, false},
		"first run too late":    {cfjob.Schedule{Count: 1, FirstRun: time.Date(10000, 1, 1, 0, 0, 0, 0, time.UTC)}, false},
		"first run before 1970": {cfjob.Schedule{Count: 1, FirstRun: time.Unix(-1, 0)}, false},
		"last run overflows":    {cfjob.Schedule{Count: 1000, FirstRun: time.UnixMilli(1767225600123), Period: math.MaxInt64 / 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := validJob()
			j.Schedule = &c.s
			NewWithT(t).Expect(j.Check() == nil).To(Equal(c.ok), "Check returned %v", j.Check())
		})
	}
}

func TestPosition(t *testing.T) {
	g := NewWithT(t)
	j := validJob()
	j.Schedule = &cfjob.Schedule{Count: 2}
	g.Expect(j.Position(cfcore.TaskName{Job: jobID, Occurrence: 1, Step: 1, Index: 2})).To(Equal(9))
	g.Expect(j.Position(cfcore.TaskName{Job: jobID, Occurrence: 2})).To(Equal(-1))
	g.Expect(j.Position(cfcore.TaskName{Job: jobID, Step: 1, Index: 3})).To(Equal(-1))
}

// stateFixture applies records to a StoreState and reads the state of the job jobID from
// it.
type stateFixture struct {
	*WithT
	codec  cfjob.Codec
	stored *cfjob.StoreState
	next   int64
}

func newStateFixture(t *testing.T) *stateFixture {
	codec, err := cfrecord.NewCodec()
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	c := cfjob.Codec{Codec: codec}
	return &stateFixture{WithT: g, codec: c, stored: cfjob.NewStoreState(c)}
}

func (f *stateFixture) apply(r cfcore.KeyedRecord, err error) cfjob.Change {
	f.Expect(err).NotTo(HaveOccurred())
	r.Offset = f.next
	f.next++
	c, err := f.stored.Apply(r)
	f.Expect(err).NotTo(HaveOccurred())
	return c
}

func (f *stateFixture) state() cfjob.State {
	j, ok := f.stored.Lookup(jobID)
	if !ok {
		return ""
	}
	return j.State()
}

func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	f := newStateFixture(t)
	f.apply(f.codec.Job(validJob()))
	f.apply(f.codec.Progress(jobID, &cfjob.Progress{Started: true, Outcome: cfjob.OutcomeCompleted}))
	again := validJob()
	again.Spec = "another"
	f.apply(f.codec.Job(again))
	f.Expect(f.state()).To(Equal(cfjob.StateCompleted))
	f.Expect(f.stored.Jobs[jobID].Job.Spec).To(BeEmpty())
}

func TestStates(t *testing.T) {
	f := newStateFixture(t)
	f.Expect(f.state()).To(BeEmpty())
	f.apply(f.codec.Job(validJob()))
	f.Expect(f.state()).To(Equal(cfjob.StatePending))
	f.Expect(f.stored.Waiting("")).To(Equal(1))
	f.apply(f.codec.Progress(jobID, &cfjob.Progress{Started: true}))
	f.Expect(f.state()).To(Equal(cfjob.StateActive))
	f.Expect(f.stored.Waiting("")).To(Equal(0))
	f.apply(f.codec.Cancel(jobID, time.Now()))
	f.Expect(f.state()).To(Equal(cfjob.StateCancelled))
	for _, r := range f.codec.DropJob(jobID) {
		f.apply(r, nil)
	}
	f.Expect(f.state()).To(BeEmpty())
	f.Expect(f.stored.Jobs).To(BeEmpty())
}

// TestOlderProgressIsIgnored guards against progress that goes back. An entry gets progress
// from the planner before the entry reads the same record from the store. The records that
// the entry reads in between are older.
func TestOlderProgressIsIgnored(t *testing.T) {
	f := newStateFixture(t)
	f.apply(f.codec.Job(validJob()))
	f.apply(f.codec.Progress(jobID, &cfjob.Progress{Stamp: 2, Outcome: cfjob.OutcomeCompleted}))
	f.apply(f.codec.Progress(jobID, &cfjob.Progress{Stamp: 1, Started: true}))
	f.Expect(f.state()).To(Equal(cfjob.StateCompleted))
	f.apply(f.codec.Progress(jobID, &cfjob.Progress{Stamp: 3, Outcome: cfjob.OutcomeFailed}))
	f.Expect(f.state()).To(Equal(cfjob.StateFailed))
}

// The parts of a job's progress are records of their own. A planner of an earlier build wrote
// all tasks to one record.
func TestPartsOfProgress(t *testing.T) {
	f := newStateFixture(t)
	f.apply(f.codec.Job(validJob()))
	f.apply(f.codec.Progress(jobID, &cfjob.Progress{Stamp: 1, Tasks: map[int]cfjob.TaskProgress{0: {Run: 1}, 500: {Run: 1}, 1000: {Run: 1}}}))
	f.Expect(f.apply(f.codec.ProgressPart(jobID, 1, &cfjob.Progress{Stamp: 3, Tasks: map[int]cfjob.TaskProgress{501: {Run: 3}}})).JobID).To(Equal(jobID))
	f.apply(f.codec.ProgressPart(jobID, 1, &cfjob.Progress{Stamp: 2, Tasks: map[int]cfjob.TaskProgress{502: {Run: 2}}}))
	f.Expect(f.stored.Jobs[jobID].TaskProgress()).To(Equal(map[int]cfjob.TaskProgress{0: {Run: 1}, 501: {Run: 3}, 1000: {Run: 1}}))
	f.Expect(f.stored.Memory).To(BeNumerically(">", 0))
	for _, r := range f.codec.DropJob(jobID, 1) {
		f.apply(r, nil)
	}
	f.Expect(f.stored.Jobs).To(BeEmpty())
	f.Expect(f.stored.Memory).To(BeZero())
}

func TestOlderClaimIsIgnored(t *testing.T) {
	f := newStateFixture(t)
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	f.Expect(f.apply(f.codec.Claim(&cfjob.Claim{Epoch: 2, Instance: "a", Address: addr})).Planner).To(BeTrue())
	f.Expect(f.apply(f.codec.Claim(&cfjob.Claim{Epoch: 1, Instance: "b", Address: addr})).Planner).To(BeFalse())
	f.Expect(f.stored.Planner.Instance).To(Equal("a"))
}

func TestInvalidRecordChangesNothing(t *testing.T) {
	f := newStateFixture(t)
	f.apply(f.codec.Job(validJob()))
	for _, r := range []cfcore.KeyedRecord{
		{Key: "progress/" + jobID, Value: []byte{0xff}}, {Key: "unknown", Value: []byte{1}}, {Key: "planner", Value: []byte("x")},
	} {
		_, err := f.stored.Apply(r)
		f.Expect(err).To(HaveOccurred())
	}
	f.Expect(f.state()).To(Equal(cfjob.StatePending))
}

func TestProgressKeepsDoneTasks(t *testing.T) {
	g := NewWithT(t)
	p := &cfjob.Progress{Tasks: map[int]cfjob.TaskProgress{9: {Checkpoint: "c"}}}
	p.SetDone(9)
	g.Expect(p.IsDone(9)).To(BeTrue())
	g.Expect(p.IsDone(8)).To(BeFalse())
	g.Expect(p.IsDone(90)).To(BeFalse())
	g.Expect(p.Tasks).To(BeEmpty())
}

func TestNewestLearnedDataIsKept(t *testing.T) {
	g := NewWithT(t)
	inner, err := cfrecord.NewCodec()
	g.Expect(err).NotTo(HaveOccurred())
	codec := cfjob.Codec{Codec: inner}
	stored := cfjob.NewStoreState(codec)
	for _, v := range []string{"older", "newer"} {
		r, err := codec.Learned(v)
		g.Expect(err).NotTo(HaveOccurred())
		change, err := stored.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(change).To(BeZero())
	}
	var v string
	g.Expect(codec.Unmarshal(stored.Learned, &v)).To(Succeed())
	g.Expect(v).To(Equal("newer"))
}

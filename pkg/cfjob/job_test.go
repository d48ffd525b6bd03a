package cfjob_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfrecord"
)

const id = "5c0e7a21d94b36f8"

func valid() *cfjob.Job {
	return &cfjob.Job{ID: id, Steps: []cfjob.Step{{Count: 2}, {Count: 3, After: []int{0}}}}
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
		"negative size":           {func(j *cfjob.Job) { j.Steps[0].Resources.MemoryMB = -1 }, false},
		"waits for itself":        {func(j *cfjob.Job) { j.Steps[1].After = []int{1} }, false},
		"waits for a later step":  {func(j *cfjob.Job) { j.Steps[0].After = []int{1} }, false},
		"waits for unknown step":  {func(j *cfjob.Job) { j.Steps[1].After = []int{-1} }, false},
		"schedule without runs":   {func(j *cfjob.Job) { j.Schedule = &cfjob.Schedule{} }, false},
		"negative time objective": {func(j *cfjob.Job) { j.Steps[0].TailTarget = -1 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := valid()
			c.change(j)
			NewWithT(t).Expect(j.Check() == nil).To(Equal(c.ok), "%v", j.Check())
		})
	}
}

func TestPositions(t *testing.T) {
	g := NewWithT(t)
	j := valid()
	j.Schedule = &cfjob.Schedule{Count: 2}
	g.Expect(j.Position(cfcore.TaskName{Job: id, Occurrence: 1, Step: 1, Index: 2})).To(Equal(9))
	g.Expect(j.Position(cfcore.TaskName{Job: id, Occurrence: 2})).To(Equal(-1))
	g.Expect(j.Position(cfcore.TaskName{Job: id, Step: 1, Index: 3})).To(Equal(-1))
}

// story applies records to a book, and reads what callers are told.
type story struct {
	*WithT
	codec cfjob.Codec
	book  *cfjob.Book
	next  int64
}

func newStory(t *testing.T) *story {
	codec, err := cfrecord.NewCodec()
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	c := cfjob.Codec{Codec: codec}
	return &story{WithT: g, codec: c, book: cfjob.NewBook(c)}
}

func (s *story) apply(r cfcore.KeyedRecord, err error) cfjob.Change {
	s.Expect(err).NotTo(HaveOccurred())
	r.Offset = s.next
	s.next++
	c, err := s.book.Apply(r)
	s.Expect(err).NotTo(HaveOccurred())
	return c
}

func (s *story) state() cfjob.State {
	e, ok := s.book.Lookup(id)
	if !ok {
		return ""
	}
	return e.State()
}

func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	s := newStory(t)
	s.apply(s.codec.Job(valid()))
	s.apply(s.codec.Progress(id, &cfjob.Progress{Started: true, Outcome: cfjob.OutcomeCompleted}))
	again := valid()
	again.Spec = "another"
	s.apply(s.codec.Job(again))
	s.Expect(s.state()).To(Equal(cfjob.StateCompleted))
	s.Expect(s.book.Jobs[id].Job.Spec).To(BeEmpty())
}

func TestStates(t *testing.T) {
	s := newStory(t)
	s.Expect(s.state()).To(BeEmpty())
	s.apply(s.codec.Job(valid()))
	s.Expect(s.state()).To(Equal(cfjob.StatePending))
	s.Expect(s.book.Waiting("")).To(Equal(1))
	s.apply(s.codec.Progress(id, &cfjob.Progress{Started: true}))
	s.Expect(s.state()).To(Equal(cfjob.StateActive))
	s.Expect(s.book.Waiting("")).To(Equal(0))
	s.apply(s.codec.Cancel(id, time.Now()))
	s.Expect(s.state()).To(Equal(cfjob.StateCancelled))
	for _, r := range s.codec.DropJob(id) {
		s.apply(r, nil)
	}
	s.Expect(s.state()).To(BeEmpty())
	s.Expect(s.book.Jobs).To(BeEmpty())
}

// Entries are told of progress before they read it; what they read then is older.
func TestOlderProgressChangesNothing(t *testing.T) {
	s := newStory(t)
	s.apply(s.codec.Job(valid()))
	s.apply(s.codec.Progress(id, &cfjob.Progress{Stamp: 2, Outcome: cfjob.OutcomeCompleted}))
	s.apply(s.codec.Progress(id, &cfjob.Progress{Stamp: 1, Started: true}))
	s.Expect(s.state()).To(Equal(cfjob.StateCompleted))
	s.apply(s.codec.Progress(id, &cfjob.Progress{Stamp: 3, Outcome: cfjob.OutcomeFailed}))
	s.Expect(s.state()).To(Equal(cfjob.StateFailed))
}

func TestOnlyNewerClaimsCount(t *testing.T) {
	s := newStory(t)
	s.Expect(s.apply(s.codec.Claim(&cfjob.Claim{Epoch: 2, Instance: "a"})).Planner).To(BeTrue())
	s.Expect(s.apply(s.codec.Claim(&cfjob.Claim{Epoch: 1, Instance: "b"})).Planner).To(BeFalse())
	s.Expect(s.book.Planner.Instance).To(Equal("a"))
}

func TestBadRecordChangesNothing(t *testing.T) {
	s := newStory(t)
	s.apply(s.codec.Job(valid()))
	for _, r := range []cfcore.KeyedRecord{
		{Key: "progress/" + id, Value: []byte{0xff}}, {Key: "unknown", Value: []byte{1}}, {Key: "planner", Value: []byte("x")},
	} {
		_, err := s.book.Apply(r)
		s.Expect(err).To(HaveOccurred())
	}
	s.Expect(s.state()).To(Equal(cfjob.StatePending))
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

func TestNewestLearntIsKept(t *testing.T) {
	g := NewWithT(t)
	inner, err := cfrecord.NewCodec()
	g.Expect(err).NotTo(HaveOccurred())
	codec := cfjob.Codec{Codec: inner}
	b := cfjob.NewBook(codec)
	for _, v := range []string{"older", "newer"} {
		r, err := codec.Learnt(v)
		g.Expect(err).NotTo(HaveOccurred())
		change, err := b.Apply(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(change).To(BeZero())
	}
	var v string
	g.Expect(codec.Unmarshal(b.Learnt, &v)).To(Succeed())
	g.Expect(v).To(Equal("newer"))
}

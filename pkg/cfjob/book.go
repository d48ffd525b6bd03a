package cfjob

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// Entry is what the store says of one job.
type Entry struct {
	Job       *Job
	Cancelled *Cancellation
	Progress  *Progress
}

// Ended reports whether nothing of the job will run any more.
func (e *Entry) Ended() bool {
	return e.Cancelled != nil || (e.Progress != nil && e.Progress.Outcome != OutcomeNone)
}

// Book is the state that the records of the store add up to. Records may be applied
// more than once. It belongs to one goroutine.
type Book struct {
	codec   Codec
	Jobs    map[string]*Entry
	Entries map[string]EntryInfo
	Workers map[string]time.Time
	// Planner is the newest claim.
	Planner Claim
	// Learnt is what planners have learnt of tasks, as they encoded it.
	Learnt []byte
	// Next is the offset up to which records have been applied.
	Next int64
}

// NewBook returns an empty book.
func NewBook(codec Codec) *Book {
	return &Book{codec: codec, Jobs: map[string]*Entry{}, Entries: map[string]EntryInfo{}, Workers: map[string]time.Time{}}
}

// Change is what a record changed.
type Change struct {
	// JobID is set where the record is about a job.
	JobID string
	// Planner is set where another planner has claimed an epoch.
	Planner bool
	// Entries is set where the entries changed.
	Entries bool
}

// Apply applies one record. An error names a record that cannot be decoded; it
// changes nothing.
func (b *Book) Apply(r cfcore.KeyedRecord) (Change, error) {
	kind, name := cutKey(r.Key)
	switch kind {
	case prefixJob, prefixCancel, prefixProgress:
		return Change{JobID: name}, b.applyJob(kind, name, r.Value)
	case prefixEntry:
		return Change{Entries: true}, b.applyEntry(name, r.Value)
	case prefixWorker:
		return Change{}, b.applyWorker(name, r.Value)
	case keyPlanner:
		return b.applyClaim(r.Value)
	case keyLearnt:
		b.Learnt = r.Value
		return Change{}, nil
	}
	return Change{}, cferror.New("apply record", KindRecord, "unknown key %q", r.Key)
}

func (b *Book) applyJob(kind, id string, value []byte) error {
	e := b.Jobs[id]
	if e == nil {
		e = &Entry{}
		b.Jobs[id] = e
	}
	defer func() {
		if e.Job == nil && e.Cancelled == nil && e.Progress == nil {
			delete(b.Jobs, id)
		}
	}()
	switch kind {
	case prefixJob:
		return b.applySubmission(e, value)
	case prefixCancel:
		return decodeInto(b.codec, &e.Cancelled, value)
	}
	return b.applyProgress(e, value)
}

// applyProgress keeps the newest progress of a job. The planner tells entries of it
// before they read it, so that an older one may come after it.
func (b *Book) applyProgress(e *Entry, value []byte) error {
	var p *Progress
	if err := decodeInto(b.codec, &p, value); err != nil {
		return err
	}
	if p != nil && e.Progress != nil && p.Stamp < e.Progress.Stamp {
		return nil
	}
	e.Progress = p
	return nil
}

// applySubmission keeps the first submission of a job; a repeated one changes nothing.
func (b *Book) applySubmission(e *Entry, value []byte) error {
	if len(value) > 0 && e.Job != nil {
		return nil
	}
	return decodeInto(b.codec, &e.Job, value)
}

func decodeInto[T any](codec Codec, out **T, value []byte) error {
	if len(value) == 0 {
		*out = nil
		return nil
	}
	v := new(T)
	if err := codec.Unmarshal(value, v); err != nil {
		return cferror.Wrap("apply record", KindRecord, err)
	}
	*out = v
	return nil
}

func (b *Book) applyEntry(name string, value []byte) error {
	var e *EntryInfo
	if err := decodeInto(b.codec, &e, value); err != nil {
		return err
	}
	if e == nil {
		delete(b.Entries, name)
		return nil
	}
	b.Entries[name] = *e
	return nil
}

func (b *Book) applyWorker(id string, value []byte) error {
	var at *time.Time
	if err := decodeInto(b.codec, &at, value); err != nil {
		return err
	}
	if at == nil {
		delete(b.Workers, id)
		return nil
	}
	b.Workers[id] = *at
	return nil
}

func (b *Book) applyClaim(value []byte) (Change, error) {
	var c *Claim
	if err := decodeInto(b.codec, &c, value); err != nil || c == nil {
		return Change{}, err
	}
	if c.Epoch <= b.Planner.Epoch {
		return Change{}, nil
	}
	b.Planner = *c
	return Change{Planner: true}, nil
}

// Lookup returns a job that was accepted.
func (b *Book) Lookup(id string) (*Entry, bool) {
	e := b.Jobs[id]
	return e, e != nil && e.Job != nil
}

// Waiting returns the number of a queue's jobs of which no task has started.
func (b *Book) Waiting(queue string) int {
	n := 0
	for _, e := range b.Jobs {
		if e.Job != nil && e.Job.Queue.Name == queue && !e.Ended() && (e.Progress == nil || !e.Progress.Started) {
			n++
		}
	}
	return n
}

// State returns what callers are told of a job that was accepted.
func (e *Entry) State() State {
	switch {
	case e.Progress != nil && e.Progress.Outcome == OutcomeCompleted:
		return StateCompleted
	case e.Progress != nil && e.Progress.Outcome == OutcomeFailed:
		return StateFailed
	case e.Cancelled != nil:
		return StateCancelled
	case e.Progress != nil && e.Progress.Started:
		return StateActive
	}
	return StatePending
}

package cfjob

import (
	"net/netip"
	"strings"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
)

// The prefixes of keys. Facts of different kinds have keys of their own, so that a
// repeated submission cannot replace a later fact.
const (
	prefixJob      = "job/"
	prefixCancel   = "cancel/"
	prefixProgress = "progress/"
	prefixEntry    = "entry/"
	prefixWorker   = "worker/"
	keyPlanner     = "planner"
	keyLearnt      = "learnt"
)

// Outcome is how a job ended.
type Outcome string

// The outcomes of jobs.
const (
	// OutcomeNone is a job that has not ended.
	OutcomeNone Outcome = ""
	// OutcomeCompleted is a job all of whose tasks are done.
	OutcomeCompleted Outcome = "Completed"
	// OutcomeFailed is a job with a task that failed as often as its queue allows.
	OutcomeFailed Outcome = "Failed"
)

// TaskProgress is what has to last of a task that is not done.
type TaskProgress struct {
	// Failed are the runs that failed by the task's or the worker's fault.
	Failed []uint64 `cbor:",omitempty"`
	// Checkpoint is where the task resumes.
	Checkpoint string `cbor:",omitempty"`
	// Run is the highest run that has ended.
	Run uint64 `cbor:",omitempty"`
}

// Progress is what has to last of a job after it was accepted. Only the planner
// writes it.
type Progress struct {
	// Stamp orders the records of a job: a later one has a greater stamp.
	Stamp   uint64 `cbor:",omitempty"`
	Started bool
	Outcome Outcome `cbor:",omitempty"`
	// Ended is when the job got its outcome.
	Ended time.Time `cbor:",omitzero"`
	// Done has one bit for each task, in the order of their positions.
	Done  []byte               `cbor:",omitempty"`
	Tasks map[int]TaskProgress `cbor:",omitempty"`
}

// IsDone reports whether the task at a position is done.
func (p *Progress) IsDone(position int) bool {
	return position/8 < len(p.Done) && p.Done[position/8]&(1<<(position%8)) != 0
}

// SetDone notes that the task at a position is done.
func (p *Progress) SetDone(position int) {
	for position/8 >= len(p.Done) {
		p.Done = append(p.Done, 0)
	}
	p.Done[position/8] |= 1 << (position % 8)
	delete(p.Tasks, position)
}

// Claim is an entry's claim to be the planner of an epoch.
type Claim struct {
	Epoch cfcore.Epoch
	// Instance names one run of the entry.
	Instance string
	Address  netip.AddrPort
}

// EntryInfo is where an entry can be reached.
type EntryInfo struct {
	Instance string
	Address  netip.AddrPort
	Started  time.Time
}

// Cancellation is a caller's wish that a job ends.
type Cancellation struct {
	At time.Time
}

// Codec turns facts into records.
type Codec struct {
	*cfrecord.Codec
}

// Job returns the record of an accepted job.
func (c Codec) Job(j *Job) (cfcore.KeyedRecord, error) { return c.record(prefixJob+j.ID, j) }

// Cancel returns the record of a cancelled job.
func (c Codec) Cancel(id string, at time.Time) (cfcore.KeyedRecord, error) {
	return c.record(prefixCancel+id, &Cancellation{At: at})
}

// Progress returns the record of a job's progress.
func (c Codec) Progress(id string, p *Progress) (cfcore.KeyedRecord, error) {
	return c.record(prefixProgress+id, p)
}

// Claim returns the record of a planner.
func (c Codec) Claim(m *Claim) (cfcore.KeyedRecord, error) { return c.record(keyPlanner, m) }

// Learnt returns the record of what the planner has learnt of tasks.
func (c Codec) Learnt(v any) (cfcore.KeyedRecord, error) { return c.record(keyLearnt, v) }

// Entry returns the record of an entry.
func (c Codec) Entry(name string, e *EntryInfo) (cfcore.KeyedRecord, error) {
	return c.record(prefixEntry+name, e)
}

// Worker returns the record of a worker that tasks may run on.
func (c Codec) Worker(id string, at time.Time) (cfcore.KeyedRecord, error) {
	return c.record(prefixWorker+id, at)
}

// DropWorker returns the record that drops a worker.
func (c Codec) DropWorker(id string) cfcore.KeyedRecord {
	return cfcore.KeyedRecord{Key: prefixWorker + id}
}

// DropEntry returns the record that drops an entry.
func (c Codec) DropEntry(name string) cfcore.KeyedRecord {
	return cfcore.KeyedRecord{Key: prefixEntry + name}
}

// DropJob returns the records that drop a job. The job itself goes last, so that no
// other record outlives it.
func (c Codec) DropJob(id string) []cfcore.KeyedRecord {
	return []cfcore.KeyedRecord{{Key: prefixCancel + id}, {Key: prefixProgress + id}, {Key: prefixJob + id}}
}

func (c Codec) record(key string, v any) (cfcore.KeyedRecord, error) {
	data, err := c.Marshal(v)
	if err != nil {
		return cfcore.KeyedRecord{}, cferror.Wrap("encode "+key, KindRecord, err)
	}
	return cfcore.KeyedRecord{Key: key, Value: data}, nil
}

func cutKey(key string) (kind, name string) {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1], key[i+1:]
	}
	return key, ""
}

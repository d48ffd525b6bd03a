package cfjob

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
)

// Record keys and prefixes of keys. Each kind of record has its own prefix. A repeated
// submission therefore cannot overwrite the progress or the cancellation of its job. The
// records of agents have prefixWorker.
const (
	prefixJob      = "job/"
	prefixCancel   = "cancel/"
	prefixProgress = "progress/"
	prefixEntry    = "entry/"
	prefixWorker   = "worker/"
	keyPlanner     = "planner"
	keyLearned     = "learnt"
	// keyRecordsMark is the key of the record that says when the records of agents were complete.
	keyRecordsMark = "mark"
	// keyPlannerClock is the key of the newest reading of the planners' clock.
	keyPlannerClock = "clock"
	prefixAbsence   = "absent/"
	// keyResigned is the key of the record of the newest resignation.
	keyResigned = "resigned"
)

// Outcome says how a job ended, unless it was cancelled (see Cancellation).
type Outcome string

// The outcomes of jobs.
const (
	// OutcomeNone marks a job that has neither completed nor failed.
	OutcomeNone Outcome = ""
	// OutcomeCompleted marks a job whose tasks are all done.
	OutcomeCompleted Outcome = "Completed"
	// OutcomeFailed marks a job in which a task has reached Queue.MaxAttempts failed runs.
	OutcomeFailed Outcome = "Failed"
)

// TaskProgress is the stored state of a task that is not done.
type TaskProgress struct {
	// Failed lists the numbers of the runs that failed because of the task or its worker. It
	// does not list runs that were stopped or lost, or runs of long-running tasks.
	Failed []uint64 `cbor:",omitempty"`
	// Checkpoint is the checkpoint from which the task resumes.
	Checkpoint string `cbor:",omitempty"`
	// Run is the highest run number among the ended runs of the task.
	Run uint64 `cbor:",omitempty"`
}

// Progress is the stored state of an accepted job. Only the planner writes it.
type Progress struct {
	// Stamp orders the progress records of a job: a record that is written later has a higher
	// stamp.
	Stamp uint64 `cbor:",omitempty"`
	// Started is set once the planner has ordered the start of a task of the job.
	Started bool
	Outcome Outcome `cbor:",omitempty"`
	// EndedAt is when the job got its outcome. It is zero without an outcome.
	EndedAt time.Time `cbor:"Ended,omitzero"`
	// Done is a bitmap of the tasks that are done, indexed by Job.Position minus DoneBelow.
	// All tasks before are done.
	DoneBelow int    `cbor:",omitempty"`
	Done      []byte `cbor:",omitempty"`
	// Tasks holds the state of tasks that are not done, indexed by Job.Position. A task is
	// left out if it has neither a failed run nor a checkpoint, or if it belongs to another
	// part (see PartOf).
	Tasks map[int]TaskProgress `cbor:",omitempty"`
}

// partPositions is the number of positions in one part of a job's progress. Each part has a
// record of its own, since the platform limits the size of a record. The record of part 0
// holds all of Progress. The others hold only Stamp and Tasks.
const partPositions = 500

// PartOf returns the part of the progress that the task at a position belongs to.
func PartOf(position int) int { return position / partPositions }

// DonePositions returns the positions of the tasks that are done.
func (p *Progress) DonePositions() Positions { return NewPositions(p.DoneBelow, p.Done) }

// SetDonePositions replaces the positions of the tasks that are done.
func (p *Progress) SetDonePositions(done *Positions) { p.DoneBelow, p.Done = done.Bitmap() }

// IsDone reports whether the task at a position is done.
func (p *Progress) IsDone(position int) bool {
	done := p.DonePositions()
	return done.Has(position)
}

// SetDone marks the task at a position as done and removes it from Tasks.
func (p *Progress) SetDone(position int) {
	done := p.DonePositions()
	done.Add(position)
	p.SetDonePositions(&done)
	delete(p.Tasks, position)
}

const (
	// MaxEpoch is the highest epoch that can be claimed. Epochs rise by one with each claim.
	// If a higher epoch were accepted, it would leave no epochs for later claims, and all
	// agents and workers would ignore the planners of lower epochs.
	MaxEpoch = 1<<31 - 1
	// maxStamp is the highest Progress.Stamp of an epoch up to MaxEpoch. The epoch is in the
	// upper 32 bits of a stamp.
	maxStamp = MaxEpoch<<32 | 1<<32 - 1
)

// Claim is an entry's claim to be the planner of an epoch.
type Claim struct {
	Epoch cfcore.Epoch
	// Instance identifies the incarnation of the entry.
	Instance string
	// Address is the address at which other entries and agents reach the entry.
	Address netip.AddrPort
	// Elapsed is the time on the planners' clock. All planners since the epoch AbsencesSince keep to Absence. Both
	// are zero in the claims of builds that do not know absences.
	Elapsed       time.Duration `cbor:",omitempty"`
	AbsencesSince cfcore.Epoch  `cbor:",omitempty"`
}

// Resignation says that the planner of an epoch gives no orders any more.
type Resignation struct {
	Epoch cfcore.Epoch
	// Elapsed is the time on the planners' clock, and Agents what the planner knew of the agents on record. They
	// are for the planner of the next epoch only, and empty if the planner had nothing to pass on.
	Elapsed time.Duration       `cbor:",omitempty"`
	Agents  map[string]*Absence `cbor:",omitempty"`
}

// EntryInfo holds the current incarnation of an entry and its address. RecordedAt is when
// the record was created. MemoryMB is the memory limit of the entry, and Cores its CPU limit, or 0 if it is unknown.
type EntryInfo struct {
	Instance   string
	Address    netip.AddrPort
	RecordedAt time.Time `cbor:"Started"`
	MemoryMB   int       `cbor:",omitempty"`
	Cores      float64   `cbor:",omitempty"`
}

// Cancellation is a caller's request to cancel a job.
type Cancellation struct {
	At time.Time
}

// Codec creates the records for the store. It also decodes the values of records (see
// cfrecord.Codec).
type Codec struct {
	*cfrecord.Codec
}

// Job returns the record of an accepted job.
func (c Codec) Job(j *Job) (cfcore.KeyedRecord, error) { return c.record(prefixJob+j.ID, j) }

// Cancel returns the record of a job's cancellation at the given time.
func (c Codec) Cancel(id string, at time.Time) (cfcore.KeyedRecord, error) {
	return c.record(prefixCancel+id, &Cancellation{At: at})
}

// Progress returns the record of part 0 of a job's progress.
func (c Codec) Progress(id string, p *Progress) (cfcore.KeyedRecord, error) {
	return c.record(progressKey(id, 0), p)
}

// ProgressPart returns the record of a part of a job's progress.
func (c Codec) ProgressPart(id string, part int, p *Progress) (cfcore.KeyedRecord, error) {
	return c.record(progressKey(id, part), p)
}

// progressKey returns the key of a part of a job's progress. The number of a part other than 0
// follows the job's ID.
func progressKey(id string, part int) string {
	if part == 0 {
		return prefixProgress + id
	}
	return prefixProgress + id + "/" + strconv.Itoa(part)
}

// splitProgressName splits the name in a key of progress into job ID and part.
func splitProgressName(name string) (id string, part int, err error) {
	id, number, ok := strings.Cut(name, "/")
	if !ok {
		return id, 0, nil
	}
	part, err = strconv.Atoi(number)
	if err != nil || part < 1 {
		return "", 0, newRecordError("progress %q has no valid number of a part", name)
	}
	return id, part, nil
}

// Claim returns the record of an entry's claim to be the planner.
func (c Codec) Claim(claim *Claim) (cfcore.KeyedRecord, error) { return c.record(keyPlanner, claim) }

// Resignation returns the record of a planner's resignation.
func (c Codec) Resignation(r *Resignation) (cfcore.KeyedRecord, error) {
	return c.record(keyResigned, r)
}

// Learned returns the record of what the planner has learned about tasks.
func (c Codec) Learned(v any) (cfcore.KeyedRecord, error) { return c.record(keyLearned, v) }

// Entry returns the record of the entry with the given name.
func (c Codec) Entry(name string, e *EntryInfo) (cfcore.KeyedRecord, error) {
	return c.record(prefixEntry+name, e)
}

// Agent returns the record of an agent whose worker can run tasks. at is the time at which
// the record is created.
func (c Codec) Agent(agent string, at time.Time) (cfcore.KeyedRecord, error) {
	return c.record(prefixWorker+agent, at)
}

// LateAgent returns the record of an agent whose worker can execute starts that got no answer, see
// StoreState.HasLateStarts.
func (c Codec) LateAgent(agent string) (cfcore.KeyedRecord, error) {
	return c.Agent(agent, lateAgentTime)
}

// lateAgentTime stands in the record of an agent with late starts.
var lateAgentTime = time.Unix(0, 0)

// RecordsMark returns a record that says when the planner last recorded anything.
func (c Codec) RecordsMark(at time.Time) (cfcore.KeyedRecord, error) {
	return c.record(keyRecordsMark, at)
}

// DropAgent returns a record that deletes the record of an agent.
func (c Codec) DropAgent(agent string) cfcore.KeyedRecord {
	return cfcore.KeyedRecord{Key: prefixWorker + agent}
}

// DropEntry returns a record that deletes the record of an entry.
func (c Codec) DropEntry(name string) cfcore.KeyedRecord {
	return cfcore.KeyedRecord{Key: prefixEntry + name}
}

// DropJob returns the records that delete everything stored about a job. parts are the parts
// of its progress other than 0. The record of the job itself is deleted last. It thus
// outlives the others if only some of the deletions are appended.
func (c Codec) DropJob(id string, parts ...int) []cfcore.KeyedRecord {
	var records []cfcore.KeyedRecord
	for _, part := range parts {
		records = append(records, cfcore.KeyedRecord{Key: progressKey(id, part)})
	}
	return append(records, cfcore.KeyedRecord{Key: prefixCancel + id}, cfcore.KeyedRecord{Key: progressKey(id, 0)}, cfcore.KeyedRecord{Key: prefixJob + id})
}

// record returns the record with the given key and the encoded value v.
func (c Codec) record(key string, v any) (cfcore.KeyedRecord, error) {
	data, err := c.Marshal(v)
	if err != nil {
		return cfcore.KeyedRecord{}, cferror.Wrap("encode record "+key, KindRecord, err)
	}
	return cfcore.KeyedRecord{Key: key, Value: data}, nil
}

// splitKey splits a key after its first slash into kind and name. If the key has no slash,
// kind is the whole key.
func splitKey(key string) (kind, name string) {
	if i := strings.IndexByte(key, '/'); i >= 0 {
		return key[:i+1], key[i+1:]
	}
	return key, ""
}

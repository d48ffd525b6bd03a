package cfjob

import (
	"maps"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

// StoredJob is the state of one job in the store. Each field is the value of one record of
// the job, and nil if the store has no such record.
type StoredJob struct {
	Job          *Job
	Cancellation *Cancellation
	Progress     *Progress
	// Parts holds the parts of the progress other than 0, see PartOf.
	Parts map[int]*Progress
	// memory is what the job counts in StoreState.Memory.
	memory int
}

// isEmpty reports whether the store has no record of the job.
func (j *StoredJob) isEmpty() bool {
	return j.Job == nil && j.Cancellation == nil && j.Progress == nil && len(j.Parts) == 0
}

// TaskProgress returns the stored state of the tasks that are not done, by Job.Position. A
// record of part 0 by an earlier build can hold tasks of other parts. It is older than
// the record of such a part.
func (j *StoredJob) TaskProgress() map[int]TaskProgress {
	tasks := map[int]TaskProgress{}
	if j.Progress != nil {
		for position, t := range j.Progress.Tasks {
			if part := PartOf(position); part == 0 || j.Parts[part] == nil {
				tasks[position] = t
			}
		}
	}
	for _, p := range j.Parts {
		maps.Copy(tasks, p.Tasks)
	}
	return tasks
}

// Ended reports whether the job is cancelled or has an outcome. An ended job starts no
// more runs.
func (j *StoredJob) Ended() bool {
	return j.Cancellation != nil || (j.Progress != nil && j.Progress.Outcome != OutcomeNone)
}

// StoreState is the state that results from applying the records of the store. It is safe
// to apply a record more than once. StoreState is not safe for concurrent use.
type StoreState struct {
	codec Codec
	// Jobs is indexed by the IDs of the jobs, Entries by the names of the entries.
	Jobs    map[string]*StoredJob
	Entries map[string]EntryInfo
	// Agents holds the agents whose workers can run tasks. It maps the name of each agent to
	// the creation time of its record.
	Agents map[string]time.Time
	// MarkedAt is when a planner last marked the records of agents as complete, by the clock of its entry.
	MarkedAt time.Time
	// Absences holds the recorded absences, by agent. Clock is the newest reading of the planners' clock.
	Absences map[string]*Absence
	Clock    PlannerClock
	// Planner is the claim with the highest epoch.
	Planner Claim
	// Resigned is the resignation with the highest epoch.
	Resigned Resignation
	// Learned is the encoded data that planners have learned about tasks.
	Learned []byte
	// Memory estimates the memory that a planner needs for Jobs, in bytes.
	Memory int
	// Next is the store offset of the next record to apply. Apply does not change Next; its
	// caller does.
	Next int64
}

// NewStoreState returns a StoreState without records.
func NewStoreState(codec Codec) *StoreState {
	return &StoreState{codec: codec, Jobs: map[string]*StoredJob{}, Entries: map[string]EntryInfo{}, Agents: map[string]time.Time{}, Absences: map[string]*Absence{}}
}

// Change says what applying one record has changed.
type Change struct {
	// JobID is the ID of the job that the record belongs to. It is empty if the record
	// belongs to no job.
	JobID string
	// Planner is set if the record is a claim with a higher epoch than all earlier claims.
	Planner bool
	// Resigned is set if the record is a resignation with a higher epoch than all earlier ones.
	Resigned bool
	// Entries is set if the record adds, changes or deletes an entry.
	Entries bool
}

// Apply applies one record. If the record has an unknown key, cannot be decoded or holds
// values out of range, Apply returns an error of KindRecord and changes nothing, with one
// exception: the record of an agent is applied even if its value cannot be decoded. Learned
// data is kept without decoding it.
func (s *StoreState) Apply(r cfcore.KeyedRecord) (Change, error) {
	kind, name := splitKey(r.Key)
	switch kind {
	case prefixJob, prefixCancel:
		return Change{JobID: name}, s.applyJob(name, func(j *StoredJob) error {
			if kind == prefixJob {
				return s.applySubmission(j, name, r.Value)
			}
			return decodeInto(s.codec, &j.Cancellation, r.Value)
		})
	case prefixProgress:
		id, part, err := splitProgressName(name)
		if err != nil {
			return Change{}, err
		}
		return Change{JobID: id}, s.applyJob(id, func(j *StoredJob) error { return s.applyProgress(j, part, r.Value) })
	case prefixEntry:
		return Change{Entries: true}, s.applyEntry(name, r.Value)
	case prefixWorker:
		return Change{}, s.applyAgent(name, r.Value)
	case keyPlanner:
		return s.applyClaim(r.Value)
	case keyResigned:
		return s.applyResignation(r.Value)
	case prefixAbsence:
		return Change{}, s.applyAbsence(name, r.Value)
	case keyRecordsMark, keyPlannerClock:
		return Change{}, s.applyTime(kind, r.Value)
	case keyLearned:
		s.Learned = r.Value
		return Change{}, nil
	}
	return Change{}, cferror.New("apply record", KindRecord, "unknown key %q", r.Key)
}

// applyTime applies a mark of valid records or a reading of the planners' clock.
func (s *StoreState) applyTime(kind string, value []byte) error {
	if kind == keyRecordsMark {
		var at *time.Time
		if err := decodeInto(s.codec, &at, value); err != nil || at == nil {
			return err
		}
		s.MarkedAt = *at
		return nil
	}
	var clock *PlannerClock
	if err := decodeInto(s.codec, &clock, value); err != nil || clock == nil {
		return err
	}
	if clock.Epoch > MaxEpoch || clock.Elapsed <= 0 {
		return newRecordError("reading of the planners' clock of epoch %d, %s", clock.Epoch, clock.Elapsed)
	}
	s.applyClock(*clock)
	return nil
}

// applyJob applies a record of a job with apply. A job is dropped when the last of its records
// is deleted.
func (s *StoreState) applyJob(id string, apply func(*StoredJob) error) error {
	j := s.Jobs[id]
	if j == nil {
		j = &StoredJob{}
		s.Jobs[id] = j
	}
	err := apply(j)
	s.Memory -= j.memory
	j.memory = 0
	if j.isEmpty() {
		delete(s.Jobs, id)
		return err
	}
	j.memory = j.estimateMemory()
	s.Memory += j.memory
	return err
}

// applyProgress keeps the newest progress of a job, and ignores older progress. An entry can
// get progress from the planner before the entry reads the same record from the store. Until
// then, the entry may still read older records of the job's progress from the store.
func (s *StoreState) applyProgress(j *StoredJob, part int, value []byte) error {
	var p *Progress
	if err := decodeInto(s.codec, &p, value); err != nil {
		return err
	}
	if err := p.check(); err != nil {
		return err
	}
	old := j.Progress
	if part > 0 {
		old = j.Parts[part]
	}
	switch {
	case p != nil && old != nil && p.Stamp < old.Stamp:
	case part == 0:
		j.Progress = p
	case p == nil:
		delete(j.Parts, part)
	default:
		if j.Parts == nil {
			j.Parts = map[int]*Progress{}
		}
		j.Parts[part] = p
	}
	return nil
}

// applySubmission keeps the first submission of a job, and ignores repeated ones. An empty
// value deletes the job's record. A job that Check rejects is not kept: it could end the
// process of every planner.
func (s *StoreState) applySubmission(j *StoredJob, id string, value []byte) error {
	if len(value) > 0 && j.Job != nil {
		return nil
	}
	var job *Job
	if err := decodeInto(s.codec, &job, value); err != nil {
		return err
	}
	if job != nil && job.ID != id {
		return newRecordError("job %q has the key of job %q", job.ID, id)
	}
	if job != nil {
		if err := job.Check(); err != nil {
			return cferror.Wrap("apply record", KindRecord, err)
		}
	}
	j.Job = job
	return nil
}

func newRecordError(format string, args ...any) error {
	return cferror.New("apply record", KindRecord, format, args...)
}

// check returns an error for values that no planner writes. A stamp out of range would hide
// all later progress of the job.
func (p *Progress) check() error {
	switch {
	case p == nil:
	case p.Stamp > maxStamp:
		return newRecordError("stamp %d is out of range", p.Stamp)
	case p.DoneBelow < 0 || p.DoneBelow%bitsPerByte != 0:
		return newRecordError("%d done tasks before the bitmap", p.DoneBelow)
	case p.Outcome != OutcomeNone && p.Outcome != OutcomeCompleted && p.Outcome != OutcomeFailed:
		return newRecordError("unknown outcome %q", p.Outcome)
	}
	return nil
}

// checkAddress returns an error unless addr can be dialed.
func checkAddress(addr netip.AddrPort) error {
	if !addr.IsValid() || addr.Port() == 0 {
		return newRecordError("address %s cannot be dialed", addr)
	}
	return nil
}

// decodeInto sets *out to the decoded value, or to nil if value is empty. On an error,
// *out keeps its value.
func decodeInto[T any](codec Codec, out **T, value []byte) error {
	if len(value) == 0 {
		*out = nil
		return nil
	}
	v := new(T)
	if err := codec.UnmarshalBounded(value, v); err != nil {
		return cferror.Wrap("apply record", KindRecord, err)
	}
	*out = v
	return nil
}

func (s *StoreState) applyEntry(name string, value []byte) error {
	var e *EntryInfo
	if err := decodeInto(s.codec, &e, value); err != nil {
		return err
	}
	if e == nil {
		delete(s.Entries, name)
		return nil
	}
	if err := checkAddress(e.Address); err != nil {
		return err
	}
	s.Entries[name] = *e
	return nil
}

// HasLateStarts reports whether the worker of a recorded agent possibly executes starts that got no
// answer, see Codec.LateAgent.
func (s *StoreState) HasLateStarts(agent string) bool { return s.Agents[agent].Equal(lateAgentTime) }

// applyAgent applies the record of an agent. A value that cannot be decoded counts as the
// zero time: a new planner that does not wait for the run lists of this agent could start
// tasks that still run there.
func (s *StoreState) applyAgent(agent string, value []byte) error {
	var at *time.Time
	err := decodeInto(s.codec, &at, value)
	if err == nil && at == nil {
		delete(s.Agents, agent)
		return nil
	}
	if err != nil {
		at = &time.Time{}
	}
	s.Agents[agent] = *at
	return err
}

// applyClaim keeps the claim with the highest epoch.
func (s *StoreState) applyClaim(value []byte) (Change, error) {
	var c *Claim
	if err := decodeInto(s.codec, &c, value); err != nil || c == nil {
		return Change{}, err
	}
	if c.Epoch > MaxEpoch {
		return Change{}, newRecordError("epoch %d is out of range", c.Epoch)
	}
	if err := checkAddress(c.Address); err != nil {
		return Change{}, err
	}
	if c.Epoch <= s.Planner.Epoch {
		return Change{}, nil
	}
	s.Planner = *c
	s.applyClock(PlannerClock{Epoch: c.Epoch, Elapsed: c.Elapsed})
	return Change{Planner: true}, nil
}

// applyResignation keeps the resignation with the highest epoch. A resignation follows the claim in the store. One of a
// later epoch would make each claim count as that of a planner that is gone.
func (s *StoreState) applyResignation(value []byte) (Change, error) {
	var r *Resignation
	if err := decodeInto(s.codec, &r, value); err != nil || r == nil {
		return Change{}, err
	}
	if r.Epoch > s.Planner.Epoch {
		return Change{}, newRecordError("epoch %d is not claimed", r.Epoch)
	}
	if r.Epoch <= s.Resigned.Epoch {
		return Change{}, nil
	}
	s.Resigned = *r
	if r.Elapsed > 0 {
		s.applyClock(PlannerClock{Epoch: r.Epoch, Elapsed: r.Elapsed})
	}
	return Change{Resigned: true}, nil
}

// Lookup returns the accepted job with the given ID. The result is false if the ID has no
// submission record, even if a cancellation or progress is stored under it.
func (s *StoreState) Lookup(id string) (*StoredJob, bool) {
	j := s.Jobs[id]
	return j, j != nil && j.Job != nil
}

// Waiting returns how many jobs of the named queue have neither started a task nor ended.
func (s *StoreState) Waiting(queue string) int {
	n := 0
	for _, j := range s.Jobs {
		if j.Job != nil && j.Job.Queue.Name == queue && !j.Ended() && (j.Progress == nil || !j.Progress.Started) {
			n++
		}
	}
	return n
}

// State returns the state of an accepted job, as callers see it. An outcome takes
// precedence over a cancellation.
func (j *StoredJob) State() State {
	switch {
	case j.Progress != nil && j.Progress.Outcome == OutcomeCompleted:
		return StateCompleted
	case j.Progress != nil && j.Progress.Outcome == OutcomeFailed:
		return StateFailed
	case j.Cancellation != nil:
		return StateCancelled
	case j.Progress != nil && j.Progress.Started:
		return StateActive
	}
	return StatePending
}

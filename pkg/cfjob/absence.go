package cfjob

import (
	"time"

	"cranberryford/pkg/cfcore"
)

// PlannerClock is a reading of the clock that planners continue one after another: each begins with the
// newest reading of the one before. The clock runs no faster than time passes, so that a time on it that
// an earlier planner has recorded is at least as long ago as a later planner counts.
type PlannerClock struct {
	Epoch cfcore.Epoch
	// Elapsed is the time since the clock began. It is positive.
	Elapsed time.Duration
}

// Absence is what a planner knows about an agent that does not report. From its record on, planners neither let
// the agent extend leases nor order starts from it, until they have deleted the record.
// All durations are times on the planners' clock, see PlannerClock.
type Absence struct {
	// Epoch is that of the planner that wrote the record.
	Epoch cfcore.Epoch
	// LeasesUntil is when the leases on the worker have expired, and LongLeasesUntil when those after a restart of
	// the worker have; zero if there are none.
	LeasesUntil     time.Duration
	LongLeasesUntil time.Duration `cbor:",omitempty"`
	// StartsUntil is until when the worker can execute starts that are in neither Runs nor Starts. It is zero if
	// there are none.
	StartsUntil time.Duration `cbor:",omitempty"`
	// WorkerID and Born identify the incarnation of the worker; empty if it is not known.
	WorkerID string    `cbor:",omitempty"`
	Born     time.Time `cbor:",omitzero"`
	// IsComplete is set if the worker can have no other runs than Runs and late executions of Starts.
	IsComplete bool          `cbor:",omitempty"`
	Runs       []AbsentRun   `cbor:",omitempty"`
	Starts     []AbsentStart `cbor:",omitempty"`
}

// AbsentRun is a run that a worker possibly has. AwaitsResult is set if its start got no answer.
type AbsentRun struct {
	Task         cfcore.TaskName
	Run          uint64
	AwaitsResult bool `cbor:",omitempty"`
}

// AbsentStart is a start without an answer that a worker can execute until a time.
type AbsentStart struct {
	Task  cfcore.TaskName
	Run   uint64
	Until time.Duration
}

// PlannerClock returns the record of a reading of the planners' clock.
func (c Codec) PlannerClock(r PlannerClock) (cfcore.KeyedRecord, error) {
	return c.record(keyPlannerClock, &r)
}

// Absence returns the record of an agent's absence.
func (c Codec) Absence(agent string, a *Absence) (cfcore.KeyedRecord, error) {
	return c.record(prefixAbsence+agent, a)
}

// DropAbsence returns a record that deletes the record of an agent's absence.
func (c Codec) DropAbsence(agent string) cfcore.KeyedRecord {
	return cfcore.KeyedRecord{Key: prefixAbsence + agent}
}

// applyAbsence applies the record of an agent's absence. A value that cannot be decoded counts as none: later
// planners then wait for the agent as if it had just reported.
func (s *StoreState) applyAbsence(agent string, value []byte) error {
	var a *Absence
	err := decodeInto(s.codec, &a, value)
	if err == nil && a != nil && (a.Epoch > MaxEpoch || a.LeasesUntil <= 0) {
		a, err = nil, newRecordError("absence of epoch %d until %s", a.Epoch, a.LeasesUntil)
	}
	if err != nil || a == nil {
		delete(s.Absences, agent)
		return err
	}
	s.Absences[agent] = a
	return nil
}

// applyClock keeps the newest reading of the planners' clock. A claim has one as well.
func (s *StoreState) applyClock(r PlannerClock) {
	if r.Epoch > s.Clock.Epoch || r.Epoch == s.Clock.Epoch && r.Elapsed > s.Clock.Elapsed {
		s.Clock = r
	}
}

// Package cfgrant decides whether an entry is allowed to grant lease time to a worker. The
// condition is that a majority of the member entries, including the granting entry, confirmed
// within the last grant period that the worker is not fenced. A grant therefore needs no
// access to the log. Once a majority has fenced a worker, the worker's lease expires, at the
// latest after Timing.EvictionWait.
//
// An answer to a poll is valid for one grant period, counted from when the poll was sent.
// All times are on the monotonic clock of the polling process.
package cfgrant

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Timing holds the periods that the safety of leases depends on.
type Timing struct {
	// Grant is how long a grant lasts, and how long an entry's answer to a poll is valid.
	Grant time.Duration
	// Margin covers the drift between clocks during an eviction wait.
	Margin time.Duration
}

// EvictionWait returns how long the planner waits after a majority has fenced a worker. At
// the end of the wait, the worker's last lease has expired. Poll answers from before the
// fencing allow grants for at most one grant period, and the last of these grants lasts for
// another grant period.
func (t Timing) EvictionWait() time.Duration { return 2*t.Grant + t.Margin }

// PollAnswer is another entry's answer to a poll.
type PollAnswer struct {
	// SentAt is when this entry sent the poll.
	SentAt time.Time
	// Offset is the offset up to which the other entry has applied the log.
	Offset cfcore.Offset
	// Version is the version of the membership that the other entry has applied.
	Version uint64
	// Member is set if the other entry is a member in its own state. An answer without Member
	// confirms nothing, because it can come from a restarted entry. The state of such an entry
	// can lack FenceWorker records that its previous incarnation had applied.
	Member bool
	// Fenced lists the workers that are fenced in the other entry's state.
	Fenced []cfcore.WorkerID
}

// View is the part of an entry's own state that the methods of Table need.
type View struct {
	Self cfcore.EntryID
	// Version is the version of Members.
	Version uint64
	Members []cfrecord.Member
	// IsFenced reports whether a worker is fenced in this entry's state.
	IsFenced func(cfcore.WorkerID) bool
}

// Refusal is the reason why a grant is refused. It is empty if the grant is allowed.
type Refusal string

const (
	// Granted means that the grant is allowed.
	Granted Refusal = ""
	// RefusedNotMember means that this entry is not a member.
	RefusedNotMember Refusal = "NotMember"
	// RefusedBehind means that another member has applied a newer membership than this entry.
	RefusedBehind Refusal = "Behind"
	// RefusedFenced means that the worker is fenced in this entry's state.
	RefusedFenced Refusal = "Barred"
	// RefusedInstance means that the worker's instance is not the one recorded on the log.
	RefusedInstance Refusal = "Instance"
	// RefusedNoMajority means that fewer members than a majority confirmed within the last
	// grant period that the worker is not fenced.
	RefusedNoMajority Refusal = "NoMajority"
)

// Table holds the newest answer of each other entry. It is not safe for concurrent use.
type Table struct {
	timing  Timing
	answers map[cfcore.EntryID]PollAnswer
}

// NewTable returns an empty table.
func NewTable(t Timing) *Table {
	return &Table{timing: t, answers: map[cfcore.EntryID]PollAnswer{}}
}

// Put stores an entry's answer, unless the table has that entry's answer to a later poll.
func (t *Table) Put(id cfcore.EntryID, a PollAnswer) {
	if stored, ok := t.answers[id]; ok && stored.SentAt.After(a.SentAt) {
		return
	}
	t.answers[id] = a
}

// Get returns the newest answer of an entry, and false if there is none.
func (t *Table) Get(id cfcore.EntryID) (PollAnswer, bool) {
	a, ok := t.answers[id]
	return a, ok
}

// Check returns why this entry must not grant lease time to worker w at time now, or Granted.
// It does not check the worker's instance.
func (t *Table) Check(v View, w cfcore.WorkerID, now time.Time) Refusal {
	if !isMember(v.Members, v.Self) {
		return RefusedNotMember
	}
	if v.IsFenced(w) {
		return RefusedFenced
	}
	confirmed := 0
	for _, m := range v.Members {
		if m.Entry == v.Self {
			confirmed++
			continue
		}
		a, ok := t.answers[m.Entry]
		if !ok || now.Sub(a.SentAt) >= t.timing.Grant {
			continue
		}
		if a.Version > v.Version {
			return RefusedBehind
		}
		if a.Member && !contains(a.Fenced, w) {
			confirmed++
		}
	}
	if confirmed < len(v.Members)/2+1 {
		return RefusedNoMajority
	}
	return Granted
}

// MajorityReached reports whether a majority of the members is known to have applied the log
// up to off. ownOffset is the offset up to which this entry has applied the log. For the same
// members, a true result stays true, because the offset of an entry never decreases.
func (t *Table) MajorityReached(v View, ownOffset, off cfcore.Offset) bool {
	reached := 0
	for _, m := range v.Members {
		if m.Entry == v.Self {
			if ownOffset >= off {
				reached++
			}
			continue
		}
		if a, ok := t.answers[m.Entry]; ok && a.Offset >= off {
			reached++
		}
	}
	return reached >= len(v.Members)/2+1
}

// HasVersion reports whether a member is known to have applied the given membership
// version or a later one.
func (t *Table) HasVersion(v View, id cfcore.EntryID, version uint64) bool {
	if id == v.Self {
		return v.Version >= version
	}
	a, ok := t.answers[id]
	return ok && a.Version >= version
}

// LastAnsweredPollSentAt returns the send time of the newest poll that the given entry has
// answered, or the zero time if the entry has answered none.
func (t *Table) LastAnsweredPollSentAt(id cfcore.EntryID) time.Time { return t.answers[id].SentAt }

func isMember(list []cfrecord.Member, id cfcore.EntryID) bool {
	for _, m := range list {
		if m.Entry == id {
			return true
		}
	}
	return false
}

func contains(list []cfcore.WorkerID, w cfcore.WorkerID) bool {
	for _, x := range list {
		if x == w {
			return true
		}
	}
	return false
}

// Package cfgrant decides whether an entry may grant lease time to a worker. An
// entry may while a majority of the entries, itself included, said within the
// last grant period that the worker is not barred. A grant therefore needs no
// log, and a worker that a majority lists as barred runs out of lease time.
//
// All times are on the monotonic clock of the process that asked: an answer
// counts from the moment when its question was sent.
package cfgrant

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Timing is the set of periods that the safety of leases rests on.
type Timing struct {
	// Grant is how long a grant lasts, and how long an entry's answer counts.
	Grant time.Duration
	// Margin covers the drift between clocks over one wait.
	Margin time.Duration
}

// EvictionWait returns how long after a majority listed a worker as barred its
// last lease has lapsed: an answer counts for one period, and a grant that rests
// on it lasts for another.
func (t Timing) EvictionWait() time.Duration { return 2*t.Grant + t.Margin }

// Answer is what another entry said of its state.
type Answer struct {
	// SentAt is when this entry sent the question.
	SentAt time.Time
	// Offset is how far the other entry has folded the log.
	Offset  cfcore.Offset
	Version uint64
	// Member is set when the other entry has folded its own membership. Before
	// that it may not know what the run before it had barred.
	Member bool
	Barred []cfcore.WorkerID
}

// View is what an entry itself has folded.
type View struct {
	Self    cfcore.EntryID
	Version uint64
	Members []cfrecord.Member
	// Barred reports whether this entry lists a worker as barred.
	Barred func(cfcore.WorkerID) bool
}

// Refusal says why a grant is refused. The empty value means that it is not.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedNot is no refusal.
	RefusedNot Refusal = ""
	// RefusedNotMember is an entry that does not count for majorities.
	RefusedNotMember Refusal = "NotMember"
	// RefusedBehind is an entry that has not folded the newest membership.
	RefusedBehind Refusal = "Behind"
	// RefusedBarred is a worker that this entry lists as barred.
	RefusedBarred Refusal = "Barred"
	// RefusedInstance is an instance of a worker that the log does not name.
	RefusedInstance Refusal = "Instance"
	// RefusedNoMajority is an entry that is cut from too many others.
	RefusedNoMajority Refusal = "NoMajority"
)

// Table holds the newest answer of each other entry. It belongs to one goroutine.
type Table struct {
	timing  Timing
	answers map[cfcore.EntryID]Answer
}

// NewTable returns an empty table.
func NewTable(t Timing) *Table {
	return &Table{timing: t, answers: map[cfcore.EntryID]Answer{}}
}

// Put keeps an answer, unless a later question was answered before it.
func (t *Table) Put(id cfcore.EntryID, a Answer) {
	if old, ok := t.answers[id]; ok && old.SentAt.After(a.SentAt) {
		return
	}
	t.answers[id] = a
}

// Get returns the newest answer of an entry.
func (t *Table) Get(id cfcore.EntryID) (Answer, bool) {
	a, ok := t.answers[id]
	return a, ok
}

// Check returns why worker w gets no grant at time now, or RefusedNot.
func (t *Table) Check(v View, w cfcore.WorkerID, now time.Time) Refusal {
	if !isMember(v.Members, v.Self) {
		return RefusedNotMember
	}
	if v.Barred(w) {
		return RefusedBarred
	}
	agree := 0
	for _, m := range v.Members {
		if m.Entry == v.Self {
			agree++
			continue
		}
		a, ok := t.answers[m.Entry]
		if !ok || now.Sub(a.SentAt) >= t.timing.Grant {
			continue
		}
		if a.Version > v.Version {
			return RefusedBehind
		}
		if a.Member && !contains(a.Barred, w) {
			agree++
		}
	}
	if agree < len(v.Members)/2+1 {
		return RefusedNoMajority
	}
	return RefusedNot
}

// Reached reports whether a majority of the members has folded the log up to
// off, as far as this table and the entry's own offset tell. Such a majority
// stays one: no entry goes back.
func (t *Table) Reached(v View, own, off cfcore.Offset) bool {
	n := 0
	for _, m := range v.Members {
		if m.Entry == v.Self {
			if own >= off {
				n++
			}
			continue
		}
		if a, ok := t.answers[m.Entry]; ok && a.Offset >= off {
			n++
		}
	}
	return n >= len(v.Members)/2+1
}

// AtVersion reports whether a member is known to have folded membership version
// or a later one.
func (t *Table) AtVersion(v View, id cfcore.EntryID, version uint64) bool {
	if id == v.Self {
		return v.Version >= version
	}
	a, ok := t.answers[id]
	return ok && a.Version >= version
}

// LastSent returns when the newest answered question to an entry was sent; the
// zero time where none was answered.
func (t *Table) LastSent(id cfcore.EntryID) time.Time { return t.answers[id].SentAt }

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

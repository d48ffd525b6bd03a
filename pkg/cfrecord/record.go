// Package cfrecord defines the records that the scheduler keeps on the
// platform's log, and their encoding: one log entry is one batch of records in
// CBOR with the field names as keys.
package cfrecord

import (
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
)

// BatchID names a batch. A batch that is on the log twice, because the answer of
// its first append was lost, counts once.
type BatchID [16]byte

// Batch is what one append adds to the log.
type Batch struct {
	ID BatchID
	// At is the author's wall clock. The rules of the fold that depend on time
	// use it, never the reader's clock.
	At time.Time
	By cfcore.EntryID
	// Records take effect one after the other, in this order.
	Records []Record
}

// Record is one change. Exactly one field is set.
type Record struct {
	Claim      *Claim      `cbor:",omitempty"`
	Candidate  *Candidate  `cbor:",omitempty"`
	Gone       *Gone       `cbor:",omitempty"`
	Members    *Members    `cbor:",omitempty"`
	WorkerUp   *WorkerUp   `cbor:",omitempty"`
	Bar        *Bar        `cbor:",omitempty"`
	Unbar      *Unbar      `cbor:",omitempty"`
	Quarantine *Quarantine `cbor:",omitempty"`
	Assign     *Assign     `cbor:",omitempty"`
	Stop       *Stop       `cbor:",omitempty"`
	Checkpoint *Checkpoint `cbor:",omitempty"`
	Ended      *Ended      `cbor:",omitempty"`
	Planned    *Planned    `cbor:",omitempty"`
	Confirmed  *Confirmed  `cbor:",omitempty"`
	KeyClaim   *KeyClaim   `cbor:",omitempty"`
	KeyAnswer  *KeyAnswer  `cbor:",omitempty"`
	KeyRelease *KeyRelease `cbor:",omitempty"`
	Snapshot   *Snapshot   `cbor:",omitempty"`
}

// Claim is an entry's claim to be the planner of an epoch. The first claim of
// the epoch after the current one wins.
type Claim struct {
	Epoch cfcore.Epoch
	Entry cfcore.EntryID
}

// Member is an entry that counts for majorities.
type Member struct {
	Entry cfcore.EntryID
	// Peer is where other entries and agents reach it.
	Peer       netip.AddrPort
	DataCentre string
}

// Candidate is an entry's wish to become a member.
type Candidate struct {
	Member Member
}

// Gone takes a candidate out that has been silent for long.
type Gone struct {
	Entry cfcore.EntryID
}

// Members is the next membership. It differs from the one before by one entry,
// so that any majority of one meets any majority of the other.
type Members struct {
	Epoch   cfcore.Epoch
	Version uint64
	Members []Member
}

// WorkerUp announces a worker, or a new instance of one.
type WorkerUp struct {
	Epoch      cfcore.Epoch
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
}

// Bar forbids every entry to grant lease time to a worker.
type Bar struct {
	Epoch  cfcore.Epoch
	Worker cfcore.WorkerID
	Reason string
}

// Unbar lifts a Bar. It is void while a task is still assigned to the worker.
type Unbar struct {
	Epoch  cfcore.Epoch
	Worker cfcore.WorkerID
}

// Quarantine keeps new tasks away from a worker, or, with Lifted, no longer.
type Quarantine struct {
	Epoch  cfcore.Epoch
	Worker cfcore.WorkerID
	Reason string
	Lifted bool
}

// Assign places a task on an instance of a worker.
type Assign struct {
	Epoch      cfcore.Epoch
	Task       cfcore.TaskID
	Assignment cfcore.Assignment
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
}

// Stop asks for the end of a run, after a checkpoint.
type Stop struct {
	Epoch      cfcore.Epoch
	Assignment cfcore.Assignment
	Permission cfcore.Permission
	Reason     string
}

// Checkpoint names the newest checkpoint of a run.
type Checkpoint struct {
	Epoch      cfcore.Epoch
	Assignment cfcore.Assignment
	Checkpoint string
}

// Ended says that a run executes no longer.
type Ended struct {
	Epoch      cfcore.Epoch
	Assignment cfcore.Assignment
	State      cfcore.RunState
	Checkpoint string
	Reason     string
}

// Planned proposes a plan.
type Planned struct {
	Plan Plan
}

// Plan is an intent, what it would change, and the state that it was made for.
type Plan struct {
	ID     cfcore.PlanID
	Who    string
	At     time.Time
	Base   cfcore.Offset
	Intent cfintent.Intent
	Steps  []Step
	// Touches are the keys of what the plan changes, sorted.
	Touches []string
}

// Step is one line of a plan.
type Step struct {
	Action  string
	Subject string
	Detail  string
}

// Confirmed accepts a plan.
type Confirmed struct {
	Plan cfcore.PlanID
	Who  string
}

// KeyClaim claims a caller's idempotency key before the call is sent.
type KeyClaim struct {
	Claim   BatchID
	Service string
	Key     string
	// Print is a hash of the request, so that a key cannot be used for another one.
	Print uint64
}

// KeyAnswer is the whole answer to a keyed call.
type KeyAnswer struct {
	Claim   BatchID
	Service string
	Key     string
	Answer  Answer
}

// Answer is a target's answer as it is kept for a repeated call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped is set when the body was too large to be kept.
	Dropped bool
}

// KeyRelease gives a key back: the call that it was claimed for did not run.
type KeyRelease struct {
	Claim   BatchID
	Service string
	Key     string
}

// Snapshot is one part of the encoded state at Base.
type Snapshot struct {
	ID    BatchID
	Base  cfcore.Offset
	Part  int
	Parts int
	Data  []byte
}

// Package cfrecord defines the records that the scheduler stores on the platform's
// log, and their encoding. Each log entry is one batch of records, encoded in CBOR
// with the Go field names as keys, unless a tag gives another key.
package cfrecord

import (
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfintent"
)

// BatchID identifies a batch. A batch can be on the log twice, because its append is
// retried when the response is lost. Only the first copy is applied.
type BatchID [16]byte

// Batch is the content of one log entry.
type Batch struct {
	ID BatchID
	// At is the wall clock time at which the author created the batch. Rules that depend on
	// time use the latest At of the batches applied so far, not the clock of the process that
	// applies them.
	At time.Time
	// By is the author, the entry that appended the batch.
	By cfcore.EntryID
	// Records are applied in the order of this list.
	Records []Record
}

// Record is one change. Exactly one field is set.
type Record struct {
	Claim      *Claim         `cbor:",omitempty"`
	Candidate  *Candidate     `cbor:",omitempty"`
	Gone       *CandidateGone `cbor:",omitempty"`
	Members    *Members       `cbor:",omitempty"`
	WorkerUp   *WorkerUp      `cbor:",omitempty"`
	Fence      *FenceWorker   `cbor:"Bar,omitempty"`
	Unfence    *UnfenceWorker `cbor:"Unbar,omitempty"`
	Quarantine *Quarantine    `cbor:",omitempty"`
	Assign     *Assign        `cbor:",omitempty"`
	Stop       *Stop          `cbor:",omitempty"`
	Checkpoint *Checkpoint    `cbor:",omitempty"`
	Ended      *RunEnded      `cbor:",omitempty"`
	Planned    *PlanProposed  `cbor:",omitempty"`
	Confirmed  *PlanConfirmed `cbor:",omitempty"`
	KeyClaim   *KeyClaim      `cbor:",omitempty"`
	KeyAnswer  *KeyAnswer     `cbor:",omitempty"`
	KeyRelease *KeyRelease    `cbor:",omitempty"`
	Snapshot   *Snapshot      `cbor:",omitempty"`
}

// Claim is an entry's claim to be the planner of an epoch. Only the epoch after the
// current one can be claimed, so the first claim of an epoch on the log wins.
type Claim struct {
	Epoch cfcore.Epoch
	Entry cfcore.EntryID
}

// Member is an entry that counts toward majorities.
type Member struct {
	Entry cfcore.EntryID
	// Peer is the address at which other entries and agents reach the entry.
	Peer       netip.AddrPort
	DataCentre string
}

// Candidate requests that an entry become a member.
type Candidate struct {
	Member Member
}

// CandidateGone removes a candidate. The planner writes it if the candidate has answered no
// poll for the entry timeout (see cfschedule.Settings.EntryTimeout).
type CandidateGone struct {
	Entry cfcore.EntryID
}

// Members sets the next membership. It adds one entry, removes one, or replaces one by its new
// incarnation. Any majority of the next membership therefore shares an entry with any majority
// of the current one, if the two incarnations count as the same entry.
type Members struct {
	// Epoch is the epoch of the planner that wrote the record, here and in the types below.
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

// FenceWorker fences a worker. Entries that have applied the record grant the worker no
// lease time.
type FenceWorker struct {
	Epoch  cfcore.Epoch
	Worker cfcore.WorkerID
	Reason string
}

// UnfenceWorker ends the fencing of a worker. The record is rejected while a task is
// assigned to the worker.
type UnfenceWorker struct {
	Epoch  cfcore.Epoch
	Worker cfcore.WorkerID
}

// Quarantine starts the quarantine of a worker, or ends it if Lifted is set. A quarantined
// worker gets no new tasks.
type Quarantine struct {
	Epoch  cfcore.Epoch
	Worker cfcore.WorkerID
	Reason string
	Lifted bool
}

// Assign assigns a task to an instance of a worker.
type Assign struct {
	Epoch      cfcore.Epoch
	Task       cfcore.TaskID
	Assignment cfcore.Assignment
	Worker     cfcore.WorkerID
	Instance   cfcore.InstanceID
}

// Stop requests that a run save a checkpoint and then stop.
type Stop struct {
	Epoch      cfcore.Epoch
	Assignment cfcore.Assignment
	// Permission is the permission of the workload that allows the stop. It is empty if an
	// operator requested the stop.
	Permission cfcore.Permission
	Reason     string
}

// Checkpoint records the newest checkpoint of a run.
type Checkpoint struct {
	Epoch      cfcore.Epoch
	Assignment cfcore.Assignment
	Checkpoint string
}

// RunEnded records that a run no longer executes.
type RunEnded struct {
	Epoch      cfcore.Epoch
	Assignment cfcore.Assignment
	State      cfcore.RunState
	// Checkpoint is the newest checkpoint of the run that the planner knows of. If Checkpoint
	// is empty, the task keeps the checkpoint recorded before.
	Checkpoint string
	Reason     string
}

// PlanProposed adds a plan, which has no effect until it is confirmed.
type PlanProposed struct {
	Plan Plan
}

// Plan is an intent together with the changes that the intent would make. The changes are
// computed from the state at offset Base.
type Plan struct {
	ID cfcore.PlanID
	// Who is the operator who made the plan.
	Who    string
	At     time.Time
	Base   cfcore.Offset
	Intent cfintent.Intent
	Steps  []Step
	// Touches are the keys of the objects that the plan changes, sorted.
	Touches []string
}

// Step is one change that a plan would make. For example, the Action "scale" on the
// Subject "dispatch" has the Detail "4 replicas, was 2".
type Step struct {
	Action  string
	Subject string
	Detail  string
}

// PlanConfirmed confirms a plan, which then takes effect. The record is rejected if the
// plan is unknown or no longer valid, or if the plan conflicts with a change made after the
// plan's Base.
type PlanConfirmed struct {
	Plan cfcore.PlanID
	// Who is the operator who confirmed the plan.
	Who string
}

// KeyClaim claims the idempotency key of a call. The entry that handles the call writes
// the claim before it sends the call to a target.
type KeyClaim struct {
	// Claim is the ID of this claim of the key. A KeyAnswer or KeyRelease belongs to this
	// claim if its field Claim has the same ID.
	Claim   BatchID
	Service string
	Key     string
	// Fingerprint is a hash of the request's method, path and body. It shows whether a later
	// request with the same key is a repetition or a different request.
	Fingerprint uint64 `cbor:"Print"`
}

// KeyAnswer stores the answer to a call with an idempotency key.
type KeyAnswer struct {
	Claim   BatchID
	Service string
	Key     string
	Answer  Answer
}

// Answer is a target's answer to a call. It is stored to answer duplicates of the call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Dropped is set if the body was too large to store. ContentType and Body are then empty.
	Dropped bool
}

// KeyRelease releases a claimed key after a call that did not run.
type KeyRelease struct {
	Claim   BatchID
	Service string
	Key     string
}

// Snapshot is one part of the encoded state at offset Base.
type Snapshot struct {
	// ID is the same in all parts of a snapshot.
	ID   BatchID
	Base cfcore.Offset
	// Part is the index of this part, from 0 to Parts-1.
	Part  int
	Parts int
	Data  []byte
}

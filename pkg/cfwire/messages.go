// Package cfwire is the protocol between the scheduler's own processes: CBOR
// messages over WebSocket. Both ends prove the shared key before the first one.
package cfwire

import (
	"net/http"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Message is one message. Exactly one field is set.
type Message struct {
	Challenge       *Challenge       `cbor:",omitempty"`
	Proof           *Proof           `cbor:",omitempty"`
	Beat            *Beat            `cbor:",omitempty"`
	Ask             *Ask             `cbor:",omitempty"`
	Grant           *Grant           `cbor:",omitempty"`
	Desired         *Desired         `cbor:",omitempty"`
	Poll            *Poll            `cbor:",omitempty"`
	PollAnswer      *PollAnswer      `cbor:",omitempty"`
	StateRequest    *StateRequest    `cbor:",omitempty"`
	StateAnswer     *StateAnswer     `cbor:",omitempty"`
	Call            *Call            `cbor:",omitempty"`
	Answer          *Answer          `cbor:",omitempty"`
	Cancel          *Cancel          `cbor:",omitempty"`
	JobReport       *JobReport       `cbor:",omitempty"`
	JobOrders       *JobOrders       `cbor:",omitempty"`
	JobEntries      *JobEntries      `cbor:",omitempty"`
	JobPoll         *JobPoll         `cbor:",omitempty"`
	JobPollAnswer   *JobPollAnswer   `cbor:",omitempty"`
	JobRecords      *JobRecords      `cbor:",omitempty"`
	JobAppend       *JobAppend       `cbor:",omitempty"`
	JobAppendAnswer *JobAppendAnswer `cbor:",omitempty"`
	JobConfigAsk    *JobConfigAsk    `cbor:",omitempty"`
	JobConfig       *JobConfig       `cbor:",omitempty"`
}

// Challenge is the first message of either end.
type Challenge struct {
	Nonce []byte
	// Peer says who speaks.
	Peer Peer
}

// Role says what kind of connection this is.
type Role string

// The roles of connections.
const (
	// RoleEntry is an entry that answers.
	RoleEntry Role = "Entry"
	// RolePeer is an entry that dials another one.
	RolePeer Role = "Peer"
	// RoleControl is an agent's connection for grants and reports.
	RoleControl Role = "Control"
	// RoleTraffic is an agent's connection for calls.
	RoleTraffic Role = "Traffic"
	// RoleJobs is an agent's connection for the tasks of jobs.
	RoleJobs Role = "Jobs"
)

// Peer names the process at one end.
type Peer struct {
	Role Role
	// Name is an entry's ID or a worker's ID.
	Name string
	// Instance is the agent's run. A call is sent again only to the run that got
	// it first.
	Instance cfcore.InstanceID
}

// Proof is the keyed hash of the other end's nonce.
type Proof struct {
	Sum []byte
}

// Beat keeps a connection known to be alive.
type Beat struct{}

// Ask is an agent's question for lease time, with what it reports.
type Ask struct {
	Seq uint64
	// Instance is the worker's instance, as of the newest About.
	Instance cfcore.InstanceID
	Leaving  bool
	// About and Report are nil where they are the same as in the Ask before on this
	// connection.
	About  *About
	Report *Report
	// Have is the offset of the desired state that the agent knows.
	Have cfcore.Offset
}

// About is what a worker is.
type About struct {
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
}

// Report is what runs and answers on a VM.
type Report struct {
	Runs    []cfcore.Run
	Targets []cfcore.Target
}

// Grant is the answer to an Ask.
type Grant struct {
	Seq uint64
	// Refusal is empty where lease time is granted.
	Refusal string
	// Barred is set when the agent must stop all its runs.
	Barred bool
	// Entries are the members, so that an agent finds entries that its settings
	// do not name. They are nil where they are the same as in the Grant before on
	// this connection.
	Entries []cfrecord.Member
}

// Desired is what should run on a worker, as of an offset of the log.
type Desired struct {
	Offset cfcore.Offset
	Items  []Item
}

// Item is one run that should exist.
type Item struct {
	Assignment cfcore.Assignment
	Task       cfcore.TaskID
	// Instance is the worker's instance that the run is for, and for no other.
	Instance   cfcore.InstanceID
	Workload   cfcore.Workload
	Checkpoint string
	// Stop is set when the run should end.
	Stop bool
}

// Poll is an entry's question to another one.
type Poll struct {
	Seq uint64
	// Unheard are the workers that the planner does not hear itself.
	Unheard []cfcore.WorkerID
}

// PollAnswer is what an entry says of itself.
type PollAnswer struct {
	Seq     uint64
	Entry   cfcore.EntryID
	Offset  cfcore.Offset
	Version uint64
	Member  bool
	Epoch   cfcore.Epoch
	// Planning is set when the entry is the planner of Epoch.
	Planning bool
	Barred   []cfcore.WorkerID
	// Heard is what this entry heard of the workers that the Poll names.
	Heard []Heard
}

// Heard is what an entry heard of a worker.
type Heard struct {
	Worker   cfcore.WorkerID
	Instance cfcore.InstanceID
	About    About
	Runs     []cfcore.Run
	Leaving  bool
	// Age is how long ago that was.
	Age time.Duration
}

// StateRequest asks for the whole state, where the log cannot be read.
type StateRequest struct {
	// Have is the offset that the asker has.
	Have cfcore.Offset
}

// StateAnswer is an entry's encoded state.
type StateAnswer struct {
	Offset cfcore.Offset
	Data   []byte
}

// CallID names one call of one entry. It stays the same when the call is sent
// again to the same agent.
type CallID [16]byte

// Call is a caller's request on its way to a target.
type Call struct {
	ID      CallID
	Service string
	// Target is the target on the agent's VM.
	Target netip.AddrPort
	Method string
	// Path is the path with the query, as the target sees it.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is what is left of the caller's time when the call is sent.
	Timeout time.Duration
}

// Verdict says what is known of a call.
type Verdict string

// The verdicts.
const (
	// VerdictAnswered is a whole answer of a target.
	VerdictAnswered Verdict = "Answered"
	// VerdictNotRun is a call that no target has seen, or will.
	VerdictNotRun Verdict = "NotRun"
	// VerdictUnknown is a call that may or may not have run.
	VerdictUnknown Verdict = "Unknown"
)

// Answer is what became of a call.
type Answer struct {
	ID      CallID
	Verdict Verdict
	Status  int
	Header  http.Header
	Body    []byte
	// Reason says why a call was not answered.
	Reason string
	// Busy is set when the target was full.
	Busy bool
}

// Cancel says that nobody waits for a call any more.
type Cancel struct {
	ID CallID
}

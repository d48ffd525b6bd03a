// Package cfwire implements the protocol between the scheduler's own processes: CBOR messages
// over WebSocket. Before they exchange other messages, both peers prove that they have the
// shared key.
package cfwire

import (
	"net/http"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
)

// Message holds a message of any type. Exactly one field is set.
type Message struct {
	Challenge       *Challenge        `cbor:",omitempty"`
	Proof           *Proof            `cbor:",omitempty"`
	Heartbeat       *Heartbeat        `cbor:"Beat,omitempty"`
	GrantRequest    *GrantRequest     `cbor:"Ask,omitempty"`
	Grant           *Grant            `cbor:",omitempty"`
	Desired         *DesiredState     `cbor:",omitempty"`
	Poll            *Poll             `cbor:",omitempty"`
	PollAnswer      *PollAnswer       `cbor:",omitempty"`
	StateRequest    *StateRequest     `cbor:",omitempty"`
	StateAnswer     *StateAnswer      `cbor:",omitempty"`
	Call            *Call             `cbor:",omitempty"`
	Answer          *Answer           `cbor:",omitempty"`
	Cancel          *Cancel           `cbor:",omitempty"`
	JobReport       *JobReport        `cbor:",omitempty"`
	JobOrders       *JobOrders        `cbor:",omitempty"`
	JobEntries      *JobEntries       `cbor:",omitempty"`
	JobPoll         *JobPoll          `cbor:",omitempty"`
	JobPollAnswer   *JobPollAnswer    `cbor:",omitempty"`
	JobRecords      *JobRecords       `cbor:",omitempty"`
	JobAppend       *JobAppend        `cbor:",omitempty"`
	JobAppendAnswer *JobAppendAnswer  `cbor:",omitempty"`
	JobConfigAsk    *JobConfigRequest `cbor:",omitempty"`
	JobConfig       *JobConfig        `cbor:",omitempty"`
}

// Challenge is the first message of each peer.
type Challenge struct {
	Nonce []byte
	// Peer is the sender.
	Peer Peer
}

// Role is the sender's role in a connection.
type Role string

const (
	// RoleEntry is an entry that accepted the connection.
	RoleEntry Role = "Entry"
	// RolePeer is an entry that dialed another entry.
	RolePeer Role = "Peer"
	// RoleControl is an agent on a connection for grants and reports.
	RoleControl Role = "Control"
	// RoleTraffic is an agent on a connection for calls.
	RoleTraffic Role = "Traffic"
	// RoleJobs is an agent on a connection for the tasks of jobs.
	RoleJobs Role = "Jobs"
)

// Peer identifies the process on one side of a connection.
type Peer struct {
	Role Role
	// Name is an entry's ID or configured name, or the configured name of an agent's worker.
	Name string
	// Instance is the incarnation of the process; empty for some entries. A call is
	// resent only to the incarnation of an agent that received the call first.
	Instance cfcore.InstanceID
}

// Proof is the HMAC of the other peer's nonce and the sender's identity.
type Proof struct {
	Sum []byte
}

// Heartbeat shows that the sender still runs. A process sends one if it has sent no other
// message on the connection for a while.
type Heartbeat struct{}

// GrantRequest is an agent's request for lease time, with its report.
type GrantRequest struct {
	// Seq is the sequence number of the request. The Grant has the same number.
	Seq uint64
	// Instance is the current incarnation of the agent's worker.
	Instance cfcore.InstanceID
	// Leaving is set while the agent shuts down.
	Leaving bool
	// About and Report are nil if they are unchanged since the previous GrantRequest on this
	// connection.
	About  *WorkerInfo
	Report *Report
	// Have is the Offset of the newest DesiredState that the agent has.
	Have cfcore.Offset
}

// WorkerInfo holds the location and the capacity of a worker.
type WorkerInfo struct {
	DataCentre string
	Rack       string
	Capacity   cfcore.Resources
}

// Report lists the runs and targets on a VM.
type Report struct {
	Runs    []cfcore.Run
	Targets []cfcore.Target
}

// Grant is the response to a GrantRequest.
type Grant struct {
	// Seq is the Seq of the GrantRequest.
	Seq uint64
	// Refusal is empty if lease time is granted.
	Refusal string
	// Fenced is set if the worker is fenced. The agent must then stop all runs on the worker.
	Fenced bool `cbor:"Barred"`
	// Entries are the member entries. From them, an agent learns of entries that its settings
	// do not list. Entries is nil if it is unchanged since the previous Grant on this
	// connection.
	Entries []cfrecord.Member
}

// DesiredState lists the runs that a worker should have, as of an offset of the log.
type DesiredState struct {
	Offset cfcore.Offset
	Items  []DesiredRun
}

// DesiredRun is one run that should exist or, if Stop is set, be stopped.
type DesiredRun struct {
	Assignment cfcore.Assignment
	Task       cfcore.TaskID
	// Instance is the only instance of the worker that may execute the run.
	Instance   cfcore.InstanceID
	Workload   cfcore.Workload
	Checkpoint string
	// Stop is set if the agent should stop the run.
	Stop bool
}

// Poll is an entry's periodic request for a PollAnswer from another entry.
type Poll struct {
	Seq uint64
	// StaleWorkers are workers whose agents have sent the sender no report for half of
	// Planner.Silence. Only the planner lists them.
	StaleWorkers []cfcore.WorkerID `cbor:"Unheard"`
}

// PollAnswer is an entry's answer to a Poll.
type PollAnswer struct {
	// Seq is the Seq of the Poll.
	Seq   uint64
	Entry cfcore.EntryID
	// Offset is the offset up to which the entry has applied the log.
	Offset cfcore.Offset
	// Version is the version of the membership that the entry has applied.
	Version uint64
	// Member is set if the entry is a member in its own state.
	Member bool
	Epoch  cfcore.Epoch
	// Planning is set if the entry is the planner of Epoch and is not shutting down.
	Planning bool
	// Fenced lists the workers that are fenced in the entry's state.
	Fenced []cfcore.WorkerID `cbor:"Barred"`
	// RelayedReports are the recent reports that the answering entry received from the agents
	// of the workers in Poll.StaleWorkers.
	RelayedReports []RelayedReport `cbor:"Heard"`
}

// RelayedReport is the newest report that an entry received from a worker's agent.
type RelayedReport struct {
	Worker   cfcore.WorkerID
	Instance cfcore.InstanceID
	About    WorkerInfo
	Runs     []cfcore.Run
	Leaving  bool
	// Age is the time from the receipt of the report until the poll was answered.
	Age time.Duration
}

// StateRequest requests another entry's whole state. An entry that is behind and cannot catch
// up from the log sends this request.
type StateRequest struct {
	// Have is the offset of the requester's state.
	Have cfcore.Offset
}

// StateAnswer is an entry's encoded state as of an offset of the log.
type StateAnswer struct {
	Offset cfcore.Offset
	Data   []byte
}

// CallID identifies one attempt of a call. An attempt that is resent to the same agent keeps
// its ID; a retry on another target has a new one.
type CallID [16]byte

// Call is a caller's request that an entry forwards to a target.
type Call struct {
	ID      CallID
	Service string
	// Target is the target on the agent's VM.
	Target netip.AddrPort
	Method string
	// Path is the path and query of the request to the target.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the time that remains until the caller's deadline when the call is sent.
	Timeout time.Duration
}

// Verdict is the known outcome of a call.
type Verdict string

const (
	// VerdictAnswered means that a target answered the call completely.
	VerdictAnswered Verdict = "Answered"
	// VerdictNotRun means that no target has received the call, and that none will later.
	VerdictNotRun Verdict = "NotRun"
	// VerdictUnknown means that it is unknown whether the call ran.
	VerdictUnknown Verdict = "Unknown"
)

// Answer is the result of a call.
type Answer struct {
	ID      CallID
	Verdict Verdict
	// Status, Header and Body are the target's HTTP response.
	Status int
	Header http.Header
	Body   []byte
	// Reason is why the target's answer is missing; empty for VerdictAnswered.
	Reason string
	// Busy is set if the call was refused because the target was at capacity.
	Busy bool
}

// Cancel cancels a call whose caller no longer waits for the answer.
type Cancel struct {
	ID CallID
}

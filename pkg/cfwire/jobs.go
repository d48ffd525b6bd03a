package cfwire

import (
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
)

// JobReport is an agent's report to the planner about its worker and the tasks there. Worker
// and Lists are nil if they are unchanged since the previous report on this connection.
type JobReport struct {
	// Seq is the sequence number of the report. It rises across restarts of the agent.
	Seq uint64 `cbor:",omitempty"`
	// Ask is the sequence number of the agent's request for permission to extend leases; 0 if
	// the report contains no such request.
	Ask uint64
	// Epoch is the newest epoch that the agent knows. The agent ignores orders of older epochs.
	Epoch  cfcore.Epoch
	Worker *cfcore.WorkerState `cbor:",omitempty"`
	Lists  *cfcore.RunLists    `cbor:",omitempty"`
	// UncertainEnd is the Number of the last end since which the leases on the worker possibly
	// expired; 0 if there is none.
	UncertainEnd uint64 `cbor:",omitempty"`
	// ListedEnds are ends that the worker has listed and that are not known to be recorded: those of former
	// incarnations, and of the present one if it does not respond. The leases possibly expired since all of them.
	ListedEnds []JobListedEnds `cbor:",omitempty"`
	// LongLeases is set for a worker that has just restarted with the same ID. For that time,
	// leases on it can last longer than the agent has allowed.
	LongLeases time.Duration `cbor:",omitempty"`
	// FormerLeases is set for an agent that started recently and whose worker is young. If an instance of the
	// agent ran before, its calls for a former incarnation possibly extended leases for that time.
	FormerLeases time.Duration `cbor:",omitempty"`
	// Results are the results of orders since the previous report.
	Results []JobOrderResult `cbor:",omitempty"`
	// Unanswered are all starts with an attempt that has got no answer and can still be executed.
	Unanswered []JobUnansweredStart `cbor:",omitempty"`
	// UnknownStarts is set if the worker can still execute starts of an earlier instance of the agent. It
	// is the time after which their runs have certainly ended.
	UnknownStarts time.Duration `cbor:",omitempty"`
	// WithholdsStarts is set while the agent refuses all starts but those of long-running tasks, see cfjobagent.
	WithholdsStarts bool `cbor:",omitempty"`
	// Session is the session of the agent's fencing tokens.
	Session uint64 `cbor:",omitempty"`
	// Lost is set if the worker does not respond or has left, or if the agent has just
	// started and has not heard from the worker yet.
	Lost *JobWorkerUnreachable `cbor:",omitempty"`
}

// JobListedEnds are ends that the incarnation of the worker that started at Born has listed.
type JobListedEnds struct {
	Born  time.Time
	Ended []cfcore.EndedTask
	// LacksEnds is set if the incarnation listed ends that could not be decoded.
	LacksEnds bool `cbor:",omitempty"`
}

// JobWorkerUnreachable reports that the agent has no working contact with its worker.
type JobWorkerUnreachable struct {
	// For is how long the worker has not responded.
	For time.Duration
	// LeasesFor is how much longer leases on the worker can last; zero if that is not known. The agent extends
	// none before it has a permission that it requested after the worker had responded again.
	LeasesFor time.Duration `cbor:",omitempty"`
	// LeasesExpired is set if the leases of all runs on the worker have expired.
	LeasesExpired bool `cbor:"Lapsed"`
	// Left is set if the worker announced its shutdown.
	Left bool
}

// JobOrderResult is the result of an order to start a run, or of an order to stop a run that
// the worker does not have.
type JobOrderResult struct {
	Task cfcore.TaskName
	Run  uint64
	// Refusal is empty if the run has started. Otherwise the run does not exist and will not
	// start later. For a stop order, Refusal is ExecutorStale.
	Refusal cfcore.ExecutorKind `cbor:",omitempty"`
}

// JobUnansweredStart is a start with an attempt that has got no answer. The worker, or its next
// incarnation under the same ID, can still execute the attempt. For is the time after which the run has
// certainly ended even then.
type JobUnansweredStart struct {
	Task cfcore.TaskName
	Run  uint64
	For  time.Duration
	// IsLate is set if an attempt got no answer, or if one has been in flight for long.
	IsLate bool `cbor:",omitempty"`
}

// JobOrders are the planner's orders to an agent.
type JobOrders struct {
	Epoch cfcore.Epoch
	// Answer is the sequence number of the agent's newest request (JobReport.Ask).
	Answer uint64
	// AfterReport is the highest JobReport.Seq that the planner had applied before it gave the
	// orders; 0 if it is not known.
	AfterReport uint64     `cbor:",omitempty"`
	Starts      []JobStart `cbor:",omitempty"`
	Stops       []JobStop  `cbor:",omitempty"`
	// Throttles are the orders to throttle runs.
	Throttles []JobThrottle `cbor:"Paces,omitempty"`
	// SessionFloor is above the sessions of the agent's former instances; 0 if the planner has heard of none.
	SessionFloor uint64 `cbor:",omitempty"`
	// RecordedEnd is the Number of the last EndedTask that is recorded in the store. It applies
	// to the incarnation of the worker that started at Born.
	RecordedEnd uint64    `cbor:"Noted,omitempty"`
	Born        time.Time `cbor:",omitzero"`
	// RecordedFormer are the recorded ends of former incarnations of the worker.
	RecordedFormer []JobRecordedEnds `cbor:",omitempty"`
}

// SessionMargin is the number of sessions that an agent can possibly have begun since its last report. It is that of
// half an hour.
const SessionMargin = 1 << 16

// JobRecordedEnds says that the ends up to Number of the incarnation of the worker that started at Born are
// recorded in the store.
type JobRecordedEnds struct {
	Born   time.Time
	Number uint64
}

// JobStart is the order to start a run on one incarnation of a worker.
type JobStart struct {
	Worker     string
	Born       time.Time
	Task       cfcore.TaskName
	Run        uint64
	Spec       string
	Checkpoint string `cbor:",omitempty"`
	Ticket     string `cbor:",omitempty"`
	// LongRunning is set if the task never ends as done.
	LongRunning bool `cbor:",omitempty"`
	// IsCopy is set if the task has another run. An agent then makes one attempt, and none if the order is
	// based on an old report.
	IsCopy bool `cbor:",omitempty"`
}

// JobStop is the order to stop a run.
type JobStop struct {
	Task cfcore.TaskName
	Run  uint64
}

// JobThrottle is the order to throttle a run to a percentage of its full speed.
type JobThrottle struct {
	Task    cfcore.TaskName
	Run     uint64
	Percent int
}

// JobPoll is the planner's poll of the other entries.
type JobPoll struct {
	// Seq is the sequence number of the poll. The JobPollAnswer has the same number.
	Seq   uint64
	Epoch cfcore.Epoch
	// Config is the version of the planner's configuration.
	Config uint64
	// ReadTo is the store offset up to which the planner had applied records; 0 if it is not known.
	ReadTo int64 `cbor:",omitempty"`
}

// JobPollAnswer is another entry's answer to a JobPoll.
type JobPollAnswer struct {
	Seq   uint64
	Epoch cfcore.Epoch
	// StoreAge is the age of the answering entry's newest read of the store that got a
	// response, counted from when that read was sent.
	StoreAge time.Duration
	// Promise is set if the answering entry promises to claim no epoch until the time
	// Lease.Promise of the settings has passed since this answer. The entry promises this if
	// none of its recent reads of the store got a response.
	Promise bool
	// Config is the version of the answering entry's configuration.
	Config uint64
}

// JobEntries informs an agent or another entry of the addresses of all entries and of the
// current planner. In two cases an entry sends only some of the fields. After it has dialed
// another entry, it sends only its own address. When it resigns as the planner, it sends only
// Epoch and Resigned.
type JobEntries struct {
	Addresses []netip.AddrPort
	// ReadTo is the store offset up to which the sender had applied records; 0 if it is not known.
	// Of two lists, the one with the higher offset is newer.
	ReadTo int64 `cbor:",omitempty"`
	// Epoch is the newest claimed epoch that the sender knows. Planner is the address of the
	// entry that claimed it.
	Epoch   cfcore.Epoch
	Planner netip.AddrPort
	// Config is the version of the sender's configuration.
	Config uint64
	// Resigned is set if the sender was the planner of Epoch and no longer is.
	Resigned bool `cbor:",omitempty"`
}

// JobRecords forwards records that are already in the store. An entry sends the records that
// it appended for its callers to all entries that it is connected to. One of these is normally
// the planner. The planner sends the other entries the progress records that it appended.
type JobRecords struct {
	Records []cfcore.KeyedRecord
}

// JobAppend requests that another entry append records to the store.
type JobAppend struct {
	// Seq is the sequence number of the request. The JobAppendAnswer has the same number.
	Seq     uint64
	Records []cfcore.KeyedRecord
}

// JobAppendAnswer is the result of a JobAppend.
type JobAppendAnswer struct {
	Seq uint64
	// Failure is the kind of the failure; empty if the records are in the store.
	Failure cfcore.StoreKind `cbor:",omitempty"`
}

// JobConfigRequest requests a part of another entry's configuration if that configuration is
// newer than version NewerThan.
type JobConfigRequest struct {
	NewerThan uint64 `cbor:"Above"`
	// From is the number of bytes of the newer configuration that the requester already has.
	From int
}

// JobConfig is a part of the sender's configuration, in the form that operators wrote to
// the store.
type JobConfig struct {
	Version uint64
	// From is the offset of the part, and Size the length of the whole configuration, both
	// in bytes.
	From int
	Size int
	Part []byte
}

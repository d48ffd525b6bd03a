package cfwire

import (
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
)

// JobReport is what an agent tells entries of its worker's tasks. Fields that are
// nil are the same as in the report before on this connection.
type JobReport struct {
	// Ask numbers the agent's question whether it may still extend leases.
	Ask uint64
	// Epoch is the newest epoch that the agent knows; it obeys no older one.
	Epoch   cfcore.Epoch
	Worker  *cfcore.WorkerState `cbor:",omitempty"`
	Lists   *cfcore.RunLists    `cbor:",omitempty"`
	Results []JobOrderResult    `cbor:",omitempty"`
	Lost    *JobWorkerUnreached `cbor:",omitempty"`
}

// JobWorkerUnreached says that the agent's worker does not answer.
type JobWorkerUnreached struct {
	// For is how long it has not answered.
	For time.Duration
	// Lapsed is set when the lease of all that it ran has ended.
	Lapsed bool
	// Left is set when the worker said that it ends.
	Left bool
}

// JobOrderResult is what became of a start.
type JobOrderResult struct {
	Task cfcore.TaskName
	Run  uint64
	// Refusal is empty where the run has started. Else the run is not there, and
	// never will be.
	Refusal cfcore.ExecutorKind `cbor:",omitempty"`
}

// JobOrders are the planner's orders to an agent.
type JobOrders struct {
	Epoch cfcore.Epoch
	// Answer is the number of the newest question of the agent.
	Answer uint64
	Starts []JobStart `cbor:",omitempty"`
	Stops  []JobStop  `cbor:",omitempty"`
	Paces  []JobPace  `cbor:",omitempty"`
	// Noted is the number of the last end of the life Born that is on record.
	Noted uint64    `cbor:",omitempty"`
	Born  time.Time `cbor:",omitzero"`
}

// JobStart is the order to start a run on one life of a worker.
type JobStart struct {
	Worker     string
	Born       time.Time
	Task       cfcore.TaskName
	Run        uint64
	Spec       string
	Checkpoint string `cbor:",omitempty"`
	Ticket     string `cbor:",omitempty"`
}

// JobStop is the order to stop a run.
type JobStop struct {
	Task cfcore.TaskName
	Run  uint64
}

// JobPace is the order to let a run work at a share of its speed.
type JobPace struct {
	Task    cfcore.TaskName
	Run     uint64
	Percent int
}

// JobPoll is the planner's question to the other entries, while it is the planner.
type JobPoll struct {
	Seq   uint64
	Epoch cfcore.Epoch
	// Config is the version of the planner's configuration.
	Config uint64
}

// JobPollAnswer is what another entry answers.
type JobPollAnswer struct {
	Seq   uint64
	Epoch cfcore.Epoch
	// StoreAge is how long ago the other entry asked what the store last answered.
	StoreAge time.Duration
	// Promise is set where the store does not answer the other entry. It then promises
	// not to claim an epoch for the settings' Lease.Promise.
	Promise bool
	// Config is the version of the other entry's configuration.
	Config uint64
}

// JobEntries tells an agent or a peer which entries there are.
type JobEntries struct {
	Addresses []netip.AddrPort
	// Epoch and Planner are the newest claim that the sender knows.
	Epoch   cfcore.Epoch
	Planner netip.AddrPort
	// Config is the version of the sender's configuration.
	Config uint64
	// Resigned is set when the sender was the planner of Epoch and is no longer.
	Resigned bool `cbor:",omitempty"`
}

// JobRecords tells of records that are in the store: the planner of what an entry has
// added for its callers, and entries of progress that the planner has added.
type JobRecords struct {
	Records []cfcore.KeyedRecord
}

// JobAppend asks another entry to add records to the store.
type JobAppend struct {
	Seq     uint64
	Records []cfcore.KeyedRecord
}

// JobAppendAnswer is what became of the records.
type JobAppendAnswer struct {
	Seq uint64
	// Failure is empty where the records are in the store.
	Failure cfcore.StoreKind `cbor:",omitempty"`
}

// JobConfigAsk asks another entry for a part of its configuration, where that is newer
// than a version.
type JobConfigAsk struct {
	Above uint64
	// From is the number of bytes that the asker has of it.
	From int
}

// JobConfig is a part of the sender's configuration, as operators have written it to the
// store.
type JobConfig struct {
	Version uint64
	// From is where the part begins, and Size the length of the whole, in bytes.
	From int
	Size int
	Part []byte
}

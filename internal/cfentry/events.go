package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfstate"
	"cranberryford/pkg/cfwire"
)

// event is a message to the control goroutine of an entry.
type event interface{ isEvent() }

type (
	// pageRead carries a page of the log.
	pageRead struct {
		page cfcore.LogPage
		// from is the offset from which the log was read.
		from cfcore.Offset
	}
	// readFailed reports a failed read of the log.
	readFailed struct{ err error }
	// appendDone reports the result of an append.
	appendDone struct {
		id  cfrecord.BatchID
		err error
	}
	// submitted carries records to append.
	submitted struct{ sub *submission }
	// sessionUp and sessionDown report that an agent's control connection has opened
	// or closed.
	sessionUp   struct{ session *session }
	sessionDown struct{ session *session }
	// grantRequestReceived is an agent's grant request.
	grantRequestReceived struct {
		session *session
		request *cfwire.GrantRequest
	}
	// trafficUp reports that an agent has opened a connection for calls. The reply is the
	// link to which the connection belongs. trafficDown reports that such a connection has
	// closed.
	trafficUp struct {
		peer  cfwire.Peer
		conn  *cfwire.Conn
		reply chan *cfroute.Link
	}
	trafficDown struct {
		link *cfroute.Link
		conn *cfwire.Conn
	}
	// pollReceived is a poll from another entry. The answer is sent on conn.
	pollReceived struct {
		conn *cfwire.Conn
		poll *cfwire.Poll
	}
	// pollAnswered is another entry's answer to a poll of this entry.
	pollAnswered struct {
		answer *cfwire.PollAnswer
		sentAt time.Time
		conn   *cfwire.Conn
	}
	// stateRequested is another entry's request for the whole state. have is the log offset
	// of the other entry's state. This entry sends its own state on conn if that state's log
	// offset is above have. stateReceived carries another entry's state.
	stateRequested struct {
		conn *cfwire.Conn
		have cfcore.Offset
	}
	stateReceived struct{ state *cfstate.State }
	// claimAbandoned reports that a call was refused because the outcome of its key claim
	// is unknown.
	claimAbandoned struct{ claim *cfrecord.KeyClaim }
	// query makes the control goroutine call f and then close done.
	query struct {
		f    func(c *control)
		done chan struct{}
	}
)

func (pageRead) isEvent()             {}
func (readFailed) isEvent()           {}
func (appendDone) isEvent()           {}
func (submitted) isEvent()            {}
func (sessionUp) isEvent()            {}
func (sessionDown) isEvent()          {}
func (grantRequestReceived) isEvent() {}
func (trafficUp) isEvent()            {}
func (trafficDown) isEvent()          {}
func (pollReceived) isEvent()         {}
func (pollAnswered) isEvent()         {}
func (stateRequested) isEvent()       {}
func (stateReceived) isEvent()        {}
func (claimAbandoned) isEvent()       {}
func (query) isEvent()                {}

// submission is a set of records that are appended together.
type submission struct {
	records []cfrecord.Record
	// reply receives the result and has a buffer of one. It is nil if the result is
	// not needed.
	reply chan submitResult
	// fromPlanner is set for records that this entry submits as the planner or to
	// become the planner.
	fromPlanner bool
	// snapshotBytes is the size of the snapshot data in the records, or 0 if they have none.
	snapshotBytes int
}

// submitResult is the result of a submission: the outcome of each record and the log
// offset of their batch, or err.
type submitResult struct {
	outcomes []cfstate.Outcome
	offset   cfcore.Offset
	err      error
}

// session is an agent's control connection, with what this entry last received and sent
// on it.
type session struct {
	conn   *cfwire.Conn
	worker cfcore.WorkerID
	// agentInstance is the incarnation of the agent, not of the worker's VM.
	agentInstance cfcore.InstanceID
	// number rises from session to session.
	number uint64
	// lastRequest is the newest grant request, or nil before the first. A request carries
	// the WorkerInfo and the report only when they have changed. workerInfo and report hold
	// the newest ones that were received.
	lastRequest *cfwire.GrantRequest
	workerInfo  cfwire.WorkerInfo
	report      cfwire.Report
	// sentMemberVersion is the version of the membership that was sent last.
	sentMemberVersion uint64
	// Changes of the desired state at the log offset unsentFrom or later have not been sent
	// on this connection. unsentFrom is 1 above the offset of the desired state that was sent
	// last, or 0 if none was sent.
	unsentFrom cfcore.Offset
}

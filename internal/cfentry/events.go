package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfwire"
)

// event is what the control goroutine is told.
type event interface{ isEvent() }

type (
	// pageRead is a page of the log.
	pageRead struct {
		page cfcore.LogPage
		// from is the offset that was asked for.
		from cfcore.Offset
	}
	// readFailed says that the log cannot be read.
	readFailed struct{ err error }
	// appendEnded says what became of an append.
	appendEnded struct {
		id  cfrecord.BatchID
		err error
	}
	// submitted are records to append, with where their outcome goes.
	submitted struct{ sub *submission }
	// sessionUp and sessionDown are the beginning and end of an agent's control
	// connection.
	sessionUp   struct{ session *session }
	sessionDown struct{ session *session }
	// asked is an agent's question.
	asked struct {
		session *session
		ask     *cfwire.Ask
	}
	// trafficUp asks for the link that a connection for calls belongs to.
	trafficUp struct {
		peer  cfwire.Peer
		conn  *cfwire.Conn
		reply chan *cfroute.Link
	}
	trafficDown struct {
		link *cfroute.Link
		conn *cfwire.Conn
	}
	// pollAsked is another entry's question.
	pollAsked struct {
		conn *cfwire.Conn
		poll *cfwire.Poll
	}
	// polled is the answer of another entry.
	polled struct {
		answer *cfwire.PollAnswer
		sentAt time.Time
		conn   *cfwire.Conn
	}
	// stateAsked asks for the whole state, stateCame brings it.
	stateAsked struct {
		conn *cfwire.Conn
		have cfcore.Offset
	}
	stateCame struct{ state *cffold.State }
	// claimAbandoned says that the call for which a key is claimed was refused.
	claimAbandoned struct{ claim *cfrecord.KeyClaim }
	// query runs a function on the control state.
	query struct {
		f    func(c *control)
		done chan struct{}
	}
)

func (pageRead) isEvent()       {}
func (readFailed) isEvent()     {}
func (appendEnded) isEvent()    {}
func (submitted) isEvent()      {}
func (sessionUp) isEvent()      {}
func (sessionDown) isEvent()    {}
func (asked) isEvent()          {}
func (trafficUp) isEvent()      {}
func (trafficDown) isEvent()    {}
func (pollAsked) isEvent()      {}
func (polled) isEvent()         {}
func (stateAsked) isEvent()     {}
func (stateCame) isEvent()      {}
func (claimAbandoned) isEvent() {}
func (query) isEvent()          {}

// submission is a set of records that are appended together.
type submission struct {
	records []cfrecord.Record
	// reply gets the result; it has room for one. It is nil where nobody waits.
	reply chan submitResult
	// planner is set for the decisions of this entry's planner.
	planner bool
	bytes   int
}

// submitResult is what became of a submission.
type submitResult struct {
	outcomes []cffold.Outcome
	offset   cfcore.Offset
	err      error
}

// session is an agent's control connection.
type session struct {
	conn   *cfwire.Conn
	worker cfcore.WorkerID
	agent  cfcore.InstanceID
	// hello is the newest Ask, and report what it or an earlier one reported.
	hello  *cfwire.Ask
	about  cfwire.About
	report cfwire.Report
	// entriesAt is the membership version that was sent last.
	entriesAt uint64
	// desiredAt is the offset of the desired state that was sent last, plus one;
	// zero before the first.
	desiredAt cfcore.Offset
}

package cfjobagent

import (
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// event is an input of the control goroutine.
type event interface{ isEvent() }

type (
	// heartbeat is a heartbeat of the worker. handled is closed once the control
	// goroutine has handled the event.
	heartbeat struct {
		state   cfcore.WorkerState
		handled chan struct{}
	}
	// workerLeft is the worker's announcement that it is about to shut down. handled is
	// closed once the control goroutine has handled the event.
	workerLeft struct {
		id      string
		handled chan struct{}
	}
	// seedsChanged is a new list of the entries that the settings name.
	seedsChanged struct{ addrs []netip.AddrPort }
	// linkDown is the end of a connection to an entry.
	linkDown struct{ link *link }
	// messageReceived is a message of an entry.
	messageReceived struct {
		link    *link
		message *cfwire.Message
	}
	// holdReturned is the outcome of a call for the worker's run lists.
	holdReturned struct {
		lists cfcore.RunLists
		err   error
		// worker is the ID of the worker that the call was for, and incarnation the number of its
		// incarnation (see fence). until is the time on the worker's clock until which the call
		// extended leases; 0 if it extended none.
		worker      string
		incarnation uint64
		until       time.Duration
		token       cfcore.FencingToken
		// sentAt is when the call was sent. It acknowledged the ends up to lastSeen.
		// waited is set if the worker could wait for an end.
		sentAt   time.Duration
		lastSeen uint64
		waited   bool
		// notSent is set if no attempt of the call was made.
		notSent bool
	}
	// attemptUnanswered is an attempt to start a run that got no answer. It was sent to the worker at
	// the time at.
	attemptUnanswered struct {
		worker string
		start  startKey
		at     time.Duration
	}
	// callAnswered is the answer to a call for the run lists after an attempt that got no answer.
	callAnswered struct{ lists cfcore.RunLists }
	// orderReturned is the outcome of an order to start or stop a run.
	orderReturned struct {
		key    orderKey
		worker string
		token  cfcore.FencingToken
		err    error
		// lists are the run lists after the order. They are valid if hasLists is set.
		// They are requested only if they are needed to determine the state of the run.
		lists    cfcore.RunLists
		hasLists bool
		// waits is set for a start that the planner can repeat until an earlier attempt is over. Long-running tasks
		// must not be away for that long.
		waits bool
	}
)

func (heartbeat) isEvent()         {}
func (workerLeft) isEvent()        {}
func (seedsChanged) isEvent()      {}
func (linkDown) isEvent()          {}
func (messageReceived) isEvent()   {}
func (holdReturned) isEvent()      {}
func (attemptUnanswered) isEvent() {}
func (callAnswered) isEvent()      {}
func (orderReturned) isEvent()     {}

// orderKey identifies an order to start a run or, if stop is set, to stop it. born
// identifies the incarnation of the worker: it is the time when that incarnation started.
type orderKey struct {
	task cfcore.TaskName
	run  uint64
	stop bool
	born time.Time
}

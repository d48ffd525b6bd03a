package cfjobagent

import (
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// event is what the control goroutine is told.
type event interface{ isEvent() }

type (
	// heartbeat is a heartbeat of the worker; taken is closed when it is noted.
	heartbeat struct {
		state cfcore.WorkerState
		taken chan struct{}
	}
	// workerLeft says that the worker is about to end.
	workerLeft struct {
		id    string
		taken chan struct{}
	}
	// entriesSet is another list of entries in the settings.
	entriesSet struct{ addrs []netip.AddrPort }
	// linkDown is the end of a connection to an entry.
	linkDown struct{ link *link }
	// received is a message of an entry.
	received struct {
		link    *link
		message *cfwire.Message
	}
	// held is the outcome of a call for the worker's lists.
	held struct {
		lists cfcore.RunLists
		err   error
		// token is the epoch that the call carried.
		token cfcore.Epoch
	}
	// ordered is the outcome of a start or a stop.
	ordered struct {
		key   orderKey
		token cfcore.Epoch
		err   error
		// lists are those after an order whose run may have ended, where listed is set.
		lists  cfcore.RunLists
		listed bool
	}
)

func (heartbeat) isEvent()  {}
func (workerLeft) isEvent() {}
func (entriesSet) isEvent() {}
func (linkDown) isEvent()   {}
func (received) isEvent()   {}
func (held) isEvent()       {}
func (ordered) isEvent()    {}

// orderKey names an order to the worker.
type orderKey struct {
	task cfcore.TaskName
	run  uint64
	stop bool
	born time.Time
}

package cfjobentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// event is what the control goroutine is told.
type event interface{ isEvent() }

type (
	// restored is the whole content of the store, as a new book.
	restored struct {
		book  *cfjob.Book
		asked time.Duration
	}
	// followed is a page of records that were read from offset from.
	followed struct {
		from  int64
		page  cfcore.StorePage
		asked time.Duration
		// applied is closed when the page has been applied, where it is not nil.
		applied chan struct{}
	}
	// accepted are records that are in the store, which this entry may not have read yet.
	accepted struct{ records []cfcore.KeyedRecord }
	// lookup asks for the state of a job.
	lookup struct {
		id    string
		reply chan<- found
	}
	// count asks how many jobs of a queue wait.
	count struct {
		queue string
		reply chan<- int
	}
	// configured is a newer configuration.
	configured struct{ config *cfjob.Config }
	// configPart is a part of another entry's configuration.
	configPart struct {
		conn *cfwire.Conn
		part *cfwire.JobConfig
	}
	// linkUp and linkDown are the beginning and the end of an agent's connection.
	linkUp   struct{ link *link }
	linkDown struct{ link *link }
	// reported is a report of an agent.
	reported struct {
		link   *link
		report *cfwire.JobReport
	}
	// peerHeard is a sign of life of the planner, and peerGone a planner that has
	// resigned or whose process has ended.
	peerHeard struct{ epoch cfcore.Epoch }
	peerGone  struct{ epoch cfcore.Epoch }
	// peerNamed is which planner and which configuration another entry knows.
	peerNamed struct {
		conn    *cfwire.Conn
		entries *cfwire.JobEntries
	}
	// polled is a question of the planner, and answered an answer to this entry's.
	polled struct {
		conn *cfwire.Conn
		poll *cfwire.JobPoll
	}
	answered struct {
		link   *link
		answer *cfwire.JobPollAnswer
	}
	// kept is the outcome of an append of facts.
	kept struct {
		epoch cfcore.Epoch
		err   error
	}
	// claimed is the outcome of an append of a claim. Only the log tells who is the
	// planner.
	claimed struct {
		at  int64
		err error
	}
	// advised is an answer of the policy service.
	advised struct {
		epoch   cfcore.Epoch
		ask     *cfdispatch.AdviceAsk
		tickets map[string]string
		err     error
	}
	// left begins a graceful shutdown.
	left struct{}
)

func (restored) isEvent()   {}
func (followed) isEvent()   {}
func (accepted) isEvent()   {}
func (lookup) isEvent()     {}
func (count) isEvent()      {}
func (configPart) isEvent() {}
func (configured) isEvent() {}
func (linkUp) isEvent()     {}
func (linkDown) isEvent()   {}
func (reported) isEvent()   {}
func (peerHeard) isEvent()  {}
func (peerGone) isEvent()   {}
func (peerNamed) isEvent()  {}
func (polled) isEvent()     {}
func (answered) isEvent()   {}
func (kept) isEvent()       {}
func (claimed) isEvent()    {}
func (advised) isEvent()    {}
func (left) isEvent()       {}

// found is what is known of a job.
type found struct {
	known bool
	state cfjob.State
	// next is the offset up to which the store has been read.
	next int64
}

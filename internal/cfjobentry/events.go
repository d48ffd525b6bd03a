package cfjobentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// event is an input of the control goroutine.
type event interface{ isEvent() }

type (
	// restored is the whole state read from the store. sentAt is when the first read was
	// sent, on the boot clock.
	restored struct {
		stored *cfjob.StoreState
		sentAt time.Duration
	}
	// pageRead is a page of records. The field from is the offset at which the page starts.
	// sentAt is when the read was sent, on the boot clock, or zero for the read of a lookup.
	pageRead struct {
		from   int64
		page   cfcore.StorePage
		sentAt time.Duration
		// applied is closed once the page has been handled. It is nil if nothing waits for
		// the page.
		applied chan struct{}
	}
	// recordsStored holds records that are in the store. This entry has possibly not read
	// them yet.
	recordsStored struct{ records []cfcore.KeyedRecord }
	// lookup requests the state of a job by its ID. If the job is unknown and memory is not 0, it
	// also reserves this number of bytes for the job.
	lookup struct {
		id     string
		memory int
		reply  chan<- lookupResult
	}
	// submissionRefused ends the reservation of a submission that the store rejected.
	submissionRefused struct {
		id     string
		memory int
	}
	// countRequested requests the number of waiting jobs of a queue.
	countRequested struct {
		queue string
		reply chan<- int
	}
	// configChanged is a newer configuration that this entry has put in force.
	configChanged struct{ config *cfjob.Config }
	// configPart is a part of another entry's configuration.
	configPart struct {
		conn *cfwire.Conn
		part *cfwire.JobConfig
	}
	// linkUp and linkDown are the start and the end of a connection of an agent or an
	// entry.
	linkUp   struct{ link *link }
	linkDown struct{ link *link }
	// reportReceived is a report of an agent.
	reportReceived struct {
		link   *link
		report *cfwire.JobReport
	}
	// plannerMessage reports a message of the planner. Polls and messages about records or
	// configurations are not reported by a plannerMessage. plannerGone means that the
	// planner has resigned or that the planner's process has ended. epoch is the planner's
	// epoch, or 0 if the message came from an entry that is not known to be the planner.
	plannerMessage struct{ epoch cfcore.Epoch }
	plannerGone    struct{ epoch cfcore.Epoch }
	// entriesReceived holds the list of entries, the planner and the configuration version
	// that another entry sent.
	entriesReceived struct {
		conn    *cfwire.Conn
		entries *cfwire.JobEntries
	}
	// pollReceived is a poll from the planner. pollAnswered is another entry's answer to
	// a poll that this entry has sent as the planner.
	pollReceived struct {
		conn *cfwire.Conn
		poll *cfwire.JobPoll
	}
	pollAnswered struct {
		link   *link
		answer *cfwire.JobPollAnswer
	}
	// batchAppended is the outcome of an append of the planner's records.
	batchAppended struct {
		epoch cfcore.Epoch
		err   error
	}
	// claimAppended is the outcome of an append of a claim. The claim was to be added at
	// offset, and only if the store ended there. Success does not yet make this entry the
	// planner: it becomes the planner when it reads its claim from the store and no claim
	// there has a higher epoch.
	claimAppended struct {
		offset int64
		err    error
	}
	// adviceReceived is the outcome of a call to the policy service. tickets holds, by
	// worker, a ticket for each worker that is allowed to run the step.
	adviceReceived struct {
		epoch   cfcore.Epoch
		request *cfdispatch.AdviceRequest
		tickets map[string]string
		err     error
	}
	// leaveRequested starts a graceful shutdown.
	leaveRequested struct{}
)

func (restored) isEvent()          {}
func (pageRead) isEvent()          {}
func (recordsStored) isEvent()     {}
func (lookup) isEvent()            {}
func (submissionRefused) isEvent() {}
func (countRequested) isEvent()    {}
func (configPart) isEvent()        {}
func (configChanged) isEvent()     {}
func (linkUp) isEvent()            {}
func (linkDown) isEvent()          {}
func (reportReceived) isEvent()    {}
func (plannerMessage) isEvent()    {}
func (plannerGone) isEvent()       {}
func (entriesReceived) isEvent()   {}
func (pollReceived) isEvent()      {}
func (pollAnswered) isEvent()      {}
func (batchAppended) isEvent()     {}
func (claimAppended) isEvent()     {}
func (adviceReceived) isEvent()    {}
func (leaveRequested) isEvent()    {}

// lookupResult is the state of a job in the records applied so far. known is set if they
// contain the job.
type lookupResult struct {
	known bool
	state cfjob.State
	// next is the offset of the next record to read.
	next int64
	// reserved is set if the memory that the lookup asked for is reserved.
	reserved bool
}

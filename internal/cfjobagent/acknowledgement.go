package cfjobagent

import (
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// ackDelay is how long no end is acknowledged after a call to the worker that got no answer: the next
// one possibly gets none either.
const ackDelay = 5 * time.Second

// withholdTime is how long all calls to a worker must have been answered before it gets starts while it can still
// execute a call that acknowledges ends.
const withholdTime = 2 * time.Second

// Ends are acknowledged at most once in ackInterval, or once ackBatch of them are recorded: most calls that get no
// answer then acknowledge none. The platform lists 500 ends and allows 4 s for their acknowledgement.
const (
	ackInterval = 2 * time.Second
	ackBatch    = 100
)

// Ends are acknowledged right after callsBeforeAck answered calls that acknowledge none and don't wait, each
// answered within ackWindow before the next one: the next call is then likely to get an answer as well.
const (
	ackWindow      = 20 * time.Millisecond
	callsBeforeAck = 2
)

// acknowledgement is the state of the acknowledgement of ends. The worker, or its next incarnation
// under the same ID, can execute an unanswered call that acknowledges ends, and a start, late: it then
// forgets the end of a run that the agent has never seen. There is therefore never such a call while a start
// has no answer, and few starts while such a call has none, see withholdsStarts.
type acknowledgement struct {
	// to is the number of the last end that an answered call has acknowledged.
	to uint64
	// inFlight is set while a call that acknowledges ends is in flight. waiting are the starts that wait
	// for its answer, or for one after a failed call.
	inFlight bool
	waiting  []cfwire.JobStart
	// sentAt is when such a call was last sent to this incarnation of the worker; zero if none was.
	sentAt time.Duration
	// until is until when an unanswered call that acknowledges ends can be executed.
	until time.Duration
	// answeredAt is when such a call was last answered, and unansweredAt when a call to the
	// worker last got no answer; zero if none did.
	answeredAt   time.Duration
	unansweredAt time.Duration
	// calmSince is since when all calls have been answered; zero if the last one was not.
	calmSince time.Duration
	// answered is the number of calls up to answeredAt that were answered in a row.
	answered int
}

// mayAcknowledge reports whether ends may be acknowledged, by a call within ackWindow after an answered one.
func (c *control) mayAcknowledge(now time.Duration) bool {
	a := &c.acknowledgement
	isDue := a.sentAt == 0 || now-a.sentAt >= ackInterval || c.lastRecorded >= a.to+ackBatch
	return isDue && !c.holdFailed && c.lastRecorded > a.to && len(c.unanswered.starts) == 0 && (a.unansweredAt == 0 || now-a.unansweredAt >= ackDelay)
}

// acknowledgesNow reports whether the next call is to acknowledge ends.
func (c *control) acknowledgesNow(now time.Duration) bool {
	a := &c.acknowledgement
	return c.mayAcknowledge(now) && a.answered >= callsBeforeAck && now-a.answeredAt <= ackWindow
}

// isUnanswered reports whether the worker has possibly received the call, or still receives it.
func (ev *holdReturned) isUnanswered() bool {
	return !ev.notSent && cferror.Is(ev.err, cfcore.ExecutorOutcomeUnknown) && !errors.Is(ev.err, syscall.ECONNREFUSED)
}

// handleAcknowledged handles the outcome of a call for the run lists, which possibly acknowledged ends.
func (c *control) handleAcknowledged(ev holdReturned) {
	a, isUnanswered := &c.acknowledgement, ev.isUnanswered()
	if isUnanswered {
		a.unansweredAt = c.bootClock.Now()
	}
	switch {
	case ev.err != nil:
		a.calmSince = 0
	case a.calmSince == 0:
		a.calmSince = c.bootClock.Now()
	}
	if ev.err == nil && ev.lastSeen == 0 && !ev.waited {
		if ev.sentAt-a.answeredAt > ackWindow {
			a.answered = 0
		}
		a.answeredAt, a.answered = c.bootClock.Now(), a.answered+1
	} else {
		a.answered = 0
	}
	if ev.lastSeen == 0 {
		return
	}
	switch {
	case isUnanswered && c.mayBePresent(ev.worker):
		a.until = max(a.until, ev.sentAt+cfcore.MaxOrderDelay)
		c.reportAll = true
		c.Log.Warn().Err(ev.err).Str("Worker", ev.worker).Uint64("LastSeen", ev.lastSeen).Msg("call that acknowledged ends got no answer: the worker gets few starts until it can be executed no more")
		c.Scope.Counter("acknowledgements_unanswered").Inc(1)
	case ev.err == nil && ev.incarnation == c.fence.currentIncarnation():
		a.to = max(a.to, ev.lastSeen)
	}
}

// withholdsStarts reports whether the worker must get no starts of tasks that can end as done, since it can
// still execute a call that acknowledges ends. Once its calls have been answered for withholdTime, a start is unlikely
// to get no answer as well.
func (c *control) withholdsStarts() bool {
	now := c.bootClock.Now()
	a := &c.acknowledgement
	return now < a.until && (a.calmSince == 0 || now-a.calmSince < withholdTime)
}

// withholdStart reports whether a start is not sent now because of a call that acknowledges ends, or of a failed
// call. The start waits for the answer to that call or to a later one, or is refused if the acknowledgement got none.
func (c *control) withholdStart(s cfwire.JobStart) bool {
	isHeldBack := c.acknowledgement.inFlight || c.fence.hasFailedCall()
	if c.acknowledgement.inFlight && !s.IsCopy {
		c.acknowledgement.waiting = append(c.acknowledgement.waiting, s)
		return true
	}
	if c.withholdsStarts() && !s.LongRunning || isHeldBack && s.IsCopy {
		if _, ok := c.unanswered.starts[startKey{task: s.Task, run: s.Run}]; ok {
			// An earlier attempt can still be executed. The planner repeats the order.
			return true
		}
		c.recordStartResult(orderKey{task: s.Task, run: s.Run, born: s.Born}, cfcore.ExecutorRefused)
		c.results = append(c.results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorRefused})
		return true
	}
	if isHeldBack {
		c.acknowledgement.waiting = append(c.acknowledgement.waiting, s)
		return true
	}
	return false
}

// cancelWaiting removes a start from those that wait, as its run is to be stopped.
func (a *acknowledgement) cancelWaiting(t cfcore.TaskName, run uint64) {
	a.waiting = slices.DeleteFunc(a.waiting, func(s cfwire.JobStart) bool { return s.Task == t && s.Run == run })
}

// reset handles another incarnation of the worker.
func (a *acknowledgement) reset() { a.to, a.inFlight, a.sentAt, a.calmSince = 0, false, 0, 0 }

package cfjobagent

import (
	"maps"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// startKey identifies a start in all incarnations of a worker.
type startKey struct {
	task cfcore.TaskName
	run  uint64
}

// unansweredStart is a start with an attempt that has got no answer. The worker, or its next incarnation
// under the same ID, can execute the attempt until the time until.
type unansweredStart struct {
	// until is zero if no attempt but those in flight got no answer.
	until time.Duration
	// inFlight is the number of calls in flight, to different incarnations. The first one was sent at
	// sentAt.
	inFlight int
	sentAt   time.Duration
}

// lateAfter is how long a start is in flight before it is reported as late.
const lateAfter = 100 * time.Millisecond

// unansweredStarts are the starts that the worker can still execute although they got no answer. The
// planner starts their tasks on no other worker and does not let their ends be acknowledged.
type unansweredStarts struct {
	starts map[startKey]unansweredStart
	// unknownUntil is until when starts of an earlier instance of the agent can be executed; zero if there
	// are none any more.
	unknownUntil time.Duration
}

func newUnansweredStarts(now time.Duration) unansweredStarts {
	return unansweredStarts{starts: map[startKey]unansweredStart{}, unknownUntil: now + cfcore.MaxExecutionDelay}
}

// maxSendDelay is how long after an order to start a run the last attempt is sent. An agent that was paused
// does not know whether the worker has restarted meanwhile.
const maxSendDelay = 2 * time.Second

// begin remembers that an attempt of a start is in flight from the time at.
func (u *unansweredStarts) begin(k startKey, at time.Duration) {
	s := u.starts[k]
	if s.inFlight++; s.inFlight == 1 {
		s.sentAt = at
	}
	u.starts[k] = s
}

// addAttempt remembers an attempt that got no answer. It was sent at the time at.
func (u *unansweredStarts) addAttempt(k startKey, at time.Duration) {
	s := u.starts[k]
	s.until = max(s.until, at+cfcore.MaxOrderDelay)
	u.starts[k] = s
}

// addExecuted remembers an attempt that an unknown incarnation of the worker has possibly executed by the
// time at.
func (u *unansweredStarts) addExecuted(k startKey, at time.Duration) {
	s := u.starts[k]
	s.until = max(s.until, at)
	u.starts[k] = s
}

// end remembers that no attempt of a start is in flight any more.
func (u *unansweredStarts) end(k startKey) {
	s := u.starts[k]
	s.inFlight--
	if u.starts[k] = s; s.until == 0 && s.inFlight <= 0 {
		delete(u.starts, k)
	}
}

// settle forgets the starts that were executed, if ever, before the time at: run lists that were
// requested then contain their runs. It reports whether there were any.
func (u *unansweredStarts) settle(at time.Duration) bool {
	before, hadUnknown := len(u.starts), u.unknownUntil > 0
	maps.DeleteFunc(u.starts, func(_ startKey, s unansweredStart) bool { return s.inFlight <= 0 && at >= s.until })
	if at >= u.unknownUntil {
		u.unknownUntil = 0
	}
	return len(u.starts) < before || hadUnknown && u.unknownUntil == 0
}

// settleStarts settles starts. The planner unbinds their tasks by the next lists.
func (c *control) settleStarts(at time.Duration) {
	if c.unanswered.settle(at) {
		c.reportAll = true
	}
}

// forget forgets all starts: a worker with another ID refuses them.
func (u *unansweredStarts) forget() {
	clear(u.starts)
	u.unknownUntil = 0
}

// expire forgets the starts whose runs have certainly ended, even if they have been executed.
func (u *unansweredStarts) expire(now time.Duration) { u.settle(now - leaseExpiry(cfcore.MaxLease)) }

// addTo adds the starts to a report.
func (u *unansweredStarts) addTo(r *cfwire.JobReport, now time.Duration) {
	u.expire(now)
	for k, s := range u.starts {
		until := s.until
		if s.inFlight > 0 {
			until = now + cfcore.MaxOrderDelay
		}
		r.Unanswered = append(r.Unanswered, cfwire.JobUnansweredStart{Task: k.task, Run: k.run, For: until + leaseExpiry(cfcore.MaxLease) - now, IsLate: s.until > 0 || now-s.sentAt >= lateAfter})
	}
	if u.unknownUntil > 0 {
		r.UnknownStarts = u.unknownUntil + leaseExpiry(cfcore.MaxLease) - now
	}
}

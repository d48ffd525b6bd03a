package cfdispatch_test

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// modelStart identifies a start in all incarnations of a worker.
type modelStart struct {
	task cfcore.TaskName
	run  uint64
}

// modelCopies are the starts that a worker can still carry out, see unansweredStarts in
// internal/cfjobagent.
type modelCopies struct {
	starts       map[modelStart]modelCopy
	unknownUntil time.Time
	// renumbered holds other numbers of starts, see modelFaults.renumberRefused.
	renumbered map[modelStart]uint64
}

type modelCopy struct {
	until, sentAt time.Time
	inFlight      int
}

func newModelCopies(now time.Time) modelCopies {
	return modelCopies{starts: map[modelStart]modelCopy{}, unknownUntil: now.Add(cfcore.MaxExecutionDelay)}
}

func (a *modelAgent) beginCopy(k modelOrderKey) {
	s := modelStart{task: k.task, run: k.run}
	c := a.copies.starts[s]
	if c.inFlight++; c.inFlight == 1 {
		c.sentAt = a.m.now
	}
	a.copies.starts[s] = c
}

// addCopy remembers that an attempt of a start got no answer.
func (a *modelAgent) addCopy(c modelCall) {
	s := modelStart{task: c.key.task, run: c.key.run}
	x, ok := a.copies.starts[s]
	if c.key.stop || !ok {
		return
	}
	x.until, a.unansweredAt, a.calmSince = c.sentAt.Add(cfcore.MaxOrderDelay), a.m.now, time.Time{}
	a.copies.starts[s] = x
}

// addExecutedCopy remembers a start that an unknown incarnation has possibly carried out by now.
func (a *modelAgent) addExecutedCopy(k modelOrderKey) {
	s := modelStart{task: k.task, run: k.run}
	x := a.copies.starts[s]
	x.until = maxTime(x.until, a.m.now)
	a.copies.starts[s] = x
}

// awaitsFirstAttempt reports whether a refused start has no result since an earlier attempt can still be carried out.
func (a *modelAgent) awaitsFirstAttempt(k modelOrderKey, refusal cfcore.ExecutorKind) bool {
	isPassing := refusal == cfcore.ExecutorNoCapacity || refusal == cfcore.ExecutorLeaseExpired || refusal == cfcore.ExecutorUnhealthy
	return isPassing && !a.m.step(k.task).LongRunning && a.m.now.Before(a.copies.starts[modelStart{task: k.task, run: k.run}].until)
}

// endCopy remembers that no attempt of a start is in flight any more.
func (a *modelAgent) endCopy(k modelOrderKey) {
	s := modelStart{task: k.task, run: k.run}
	x, ok := a.copies.starts[s]
	if k.stop || !ok {
		return
	}
	x.inFlight--
	if a.copies.starts[s] = x; x.inFlight <= 0 && x.until.IsZero() {
		delete(a.copies.starts, s)
	}
}

// settleCopies forgets the starts that are not carried out after the time at.
func (a *modelAgent) settleCopies(at time.Time) {
	maps.DeleteFunc(a.copies.starts, func(_ modelStart, c modelCopy) bool { return c.inFlight <= 0 && !at.Before(c.until) })
	if !at.Before(a.copies.unknownUntil) {
		a.copies.unknownUntil = time.Time{}
	}
}

// reportCopies adds the starts to a report.
func (a *modelAgent) reportCopies(r *cfwire.JobReport) {
	now, lease := a.m.now, agentLeaseExpiry(cfcore.MaxLease)
	a.settleCopies(now.Add(-lease))
	f := &a.m.faults
	if f.hideUnanswered || f.reportUncertain || f.forgetUncertain {
		return
	}
	starts := slices.SortedFunc(maps.Keys(a.copies.starts), func(x, y modelStart) int { return cmp.Or(compareTasks(x.task, y.task), cmp.Compare(x.run, y.run)) })
	for _, s := range starts {
		c := a.copies.starts[s]
		isLate := !c.until.IsZero() || now.After(c.sentAt)
		if c.inFlight > 0 {
			c.until = now.Add(cfcore.MaxOrderDelay)
		}
		r.Unanswered = append(r.Unanswered, cfwire.JobUnansweredStart{Task: s.task, Run: a.reportedNumber(s), For: c.until.Add(lease).Sub(now), IsLate: isLate})
	}
	if !a.copies.unknownUntil.IsZero() {
		r.UnknownStarts = a.copies.unknownUntil.Add(lease).Sub(now)
	}
}

// As in internal/cfjobagent: ackDelay is how long no end is acknowledged after a call that got no answer, and withholdTime
// how long all calls must have been answered before a worker gets starts beside an unanswered acknowledgement.
const (
	ackDelay     = 5 * time.Second
	withholdTime = 2 * time.Second
)

// mayAcknowledge reports whether the next call may acknowledge ends.
func (a *modelAgent) mayAcknowledge() bool {
	return a.lastRecorded > a.ackedTo && len(a.copies.starts) == 0 && (a.unansweredAt.IsZero() || a.m.now.Sub(a.unansweredAt) >= ackDelay)
}

// markUnanswered remembers a call that acknowledged the ends up to lastSeen and got no answer.
func (a *modelAgent) markUnanswered(lastSeen uint64) {
	a.unansweredAt, a.calmSince = a.m.now, time.Time{}
	if lastSeen > 0 {
		a.ackUntil = a.m.now.Add(cfcore.MaxOrderDelay)
	}
}

func (a *modelAgent) withholdsStarts() bool {
	return a.m.now.Before(a.ackUntil) && (a.calmSince.IsZero() || a.m.now.Sub(a.calmSince) < withholdTime)
}

// startWaiting sends the starts that have waited for the answer to a call that acknowledged ends.
func (a *modelAgent) startWaiting() {
	waiting := a.waitingStarts
	a.waitingStarts = nil
	for _, s := range waiting {
		a.startRun(s)
	}
}

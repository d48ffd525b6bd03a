package cfjobagent

import (
	"context"
	"maps"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// requestRunLists keeps one call for the worker's run lists in flight. The call also
// extends the leases if the planner permits it, and acknowledges recorded ends. It acknowledges
// none after a failed call: if the worker has restarted with the same ID meanwhile, the
// numbers of its ends have started anew. See also acknowledgement.
func (c *control) requestRunLists(ctx context.Context) {
	now := c.bootClock.Now()
	if c.holdInFlight || !c.hasWorker || c.hasLeft || now < c.nextHoldAt {
		return
	}
	h := cfcore.HoldOptions{}
	if c.isConfirmed() {
		h.Until = c.leaseUntil()
	}
	switch {
	case c.acknowledgesNow(now):
		h.LastSeen, c.acknowledgement.inFlight, c.acknowledgement.sentAt = c.lastRecorded, true, now
	case c.mayAcknowledge(now):
	case !c.holdFailed && !c.fence.hasFailedCall() && c.hasLists && c.lastListed <= c.acknowledgement.to && !c.isEnding() && !c.hasSuccessor:
		h.Wait = c.cfg.HoldWait
	}
	c.holdInFlight = true
	call := c.present()
	go func() {
		ev := holdReturned{worker: call.worker, incarnation: call.incarnation, until: h.Until, sentAt: now, lastSeen: h.LastSeen, waited: h.Wait > 0}
		var isSent bool
		ev.lists, ev.token, isSent, ev.err = c.hold(ctx, call, h)
		ev.notSent = !isSent
		c.post(ctx, ev)
	}()
}

// handleHoldReturned handles the outcome of a call for the worker's run lists.
func (c *control) handleHoldReturned(ev holdReturned) {
	c.handleAcknowledged(ev)
	c.recordEnds(&ev.lists)
	if ev.incarnation != c.fence.currentIncarnation() {
		// Another call, to the present incarnation, is in flight or due.
		return
	}
	c.holdInFlight, c.holdFailed, c.nextHoldAt = false, ev.err != nil, 0
	c.acknowledgement.inFlight = false
	if ev.err != nil {
		c.nextHoldAt = c.bootClock.Now() + c.failedHoldRetryDelay()
		if cferror.Is(ev.err, cfcore.ExecutorOtherIncarnation) || c.isLeaving && errors.Is(ev.err, syscall.ECONNREFUSED) {
			c.markGone(ev.worker)
		}
		c.settleSuccessor(false)
		c.Log.Debug().Err(ev.err).Msg("call for the worker's run lists failed")
		c.Scope.Counter("holds_failed").Inc(1)
		return
	}
	if c.applyLists(ev.lists, ev.token) && !ev.lists.MayLackRuns() {
		c.settleStarts(ev.sentAt)
	}
	c.settleSuccessor(true)
	// A call that was sent before a restart was noticed contains a time on the earlier clock.
	if ev.lists.Born.Equal(c.worker.Born) && ev.until <= ev.lists.Clock+c.cfg.Lease.Lease {
		c.leasedUntil = max(c.leasedUntil, ev.until)
	}
	// A worker that lists ends which the planner does not record answers without waiting.
	if c.isEnding() {
		c.nextHoldAt = c.bootClock.Now() + failedHoldRetryDelay
	} else if now := c.bootClock.Now(); c.lastListed > c.acknowledgement.to && !c.mayAcknowledge(now) || ev.lists.Incomplete {
		c.nextHoldAt = now + holdRetryDelay
	}
}

// startWaiting sends the starts that have waited for the answer to a call that acknowledged ends.
func (c *control) startWaiting(ctx context.Context) {
	waiting := c.acknowledgement.waiting
	c.acknowledgement.waiting = nil
	for _, s := range waiting {
		c.startRun(ctx, s)
	}
}

// failedHoldRetryDelay returns the delay after a failed call for the run lists.
func (c *control) failedHoldRetryDelay() time.Duration {
	if d, _ := c.unansweredFor(); d > restartWait {
		return holdRetryDelay
	}
	return failedHoldRetryDelay
}

// applyLists records run lists unless they are older than the current ones. They must come from a
// call that was sent to the current incarnation: if another one has answered it, the worker has
// restarted. The first run lists of an incarnation or an epoch must come from a call of the
// current session, because only then the worker refuses all orders that are missing in the lists.
// applyLists reports whether it has recorded the lists.
func (c *control) applyLists(l cfcore.RunLists, token cfcore.FencingToken) bool {
	c.recordAnswer(l.Born)
	if !l.Born.Equal(c.worker.Born) {
		c.Log.Info().Str("Worker", c.worker.ID).Time("Born", l.Born).Msg("worker has restarted with the same ID")
		c.resetWorker(c.worker.ID, l.Clock)
		c.worker.Born, c.worker.Clock, c.worker.Sequence = l.Born, l.Clock, 0
		c.awaitsCheckIn = true
	}
	if c.fence.isCurrent(token) {
		c.hasRestarted = false
	}
	if token.Epoch() < c.epoch || !c.hasLists && !c.fence.isCurrent(token) || c.hasLists && l.Clock < c.lists.Clock {
		return false
	}
	if !c.hasLists {
		c.boundFormerLeases(l.Clock)
	}
	c.recordClock(l.Clock)
	c.logMalformedRow(l.Malformed)
	if l.MoreEnds && !c.lists.MoreEnds {
		c.Log.Warn().Str("Worker", c.worker.ID).Int("Listed", len(l.Ended)).Msg("worker has more unrecorded ends than it lists")
		c.Scope.Counter("run_lists_with_more_ends").Inc(1)
	}
	c.lists, c.hasLists = l, true
	for _, e := range l.Ended {
		c.lastListed = max(c.lastListed, e.Number)
	}
	if l.Clock >= c.leasedUntil || c.moreUncertainEnds {
		c.uncertainEnd, c.moreUncertainEnds = c.lastListed, l.MoreEnds
		c.reported.reset()
	}
	c.reportAll = c.reportAll || !c.reported.cover(&l, c.bootClock.Now())
	return true
}

// boundFormerLeases bounds the leases that calls of an earlier instance of the agent extend on a young worker:
// from its first lists on, the worker refuses these calls. clock is a reading of its clock.
func (c *control) boundFormerLeases(clock time.Duration) {
	if clock < cfcore.MaxOrderDelay+cfcore.MaxLease {
		c.formerLeasesUntil = min(c.bootClock.Now(), c.startedAt+cfcore.MaxExecutionDelay) + leaseExpiry(cfcore.MaxLease)
	}
}

// logMalformedRow logs and counts run lists with a malformed row. It logs the error of the
// row once, not for each call that lists it again.
func (c *control) logMalformedRow(err error) {
	if err == nil {
		return
	}
	c.Scope.Counter("run_lists_malformed").Inc(1)
	if c.lists.Malformed == nil || c.lists.Malformed.Error() != err.Error() {
		c.Log.Warn().Err(err).Str("Worker", c.worker.ID).Msg("a row of the worker's run lists cannot be decoded; using the other rows")
	}
}

// startRun sends the worker an order to start a run.
func (c *control) startRun(ctx context.Context, s cfwire.JobStart) {
	key := orderKey{task: s.Task, run: s.Run, born: s.Born}
	if c.inFlight[key] {
		return
	}
	if r, ok := c.startResults[key]; ok {
		// The planner possibly has this result already and acts on it. A worker that has started
		// the run can refuse another attempt.
		c.results = append(c.results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: r.refusal})
		return
	}
	if c.hasWorker && s.Born.Equal(c.worker.Born) && !c.hasLeft && (c.worker.Draining || c.isEnding()) {
		// The worker gets no more starts. Once it has answered the stop, the planner can start
		// the task elsewhere.
		c.stopRun(ctx, cfwire.JobStop{Task: s.Task, Run: s.Run})
		return
	}
	if c.isUnknown() {
		// The planner repeats the order.
		return
	}
	until := c.leaseUntil()
	if !c.hasWorker || !s.Born.Equal(c.worker.Born) || c.hasLeft || until == 0 {
		// An earlier attempt, of this or an earlier incarnation of the agent, has possibly
		// started the run already. The run can also still start in another incarnation of
		// the worker. The agent cannot determine whether the run exists, so it returns no
		// result. The planner then repeats the order or stops the run.
		return
	}
	if c.withholdStart(s) {
		return
	}
	c.inFlight[key] = true
	c.sendStart(ctx, key, cfcore.RunStart{Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket, LeaseUntil: until, Clock: c.workerClock}, !s.IsCopy, !s.LongRunning)
}

// sendStart calls the worker to start a run. Without an answer, it repeats the call if repeats is set. waits is
// orderReturned.waits.
func (c *control) sendStart(ctx context.Context, key orderKey, run cfcore.RunStart, repeats, waits bool) {
	start, orderedAt := startKey{task: run.Task, run: run.Run}, c.bootClock.Now()
	c.unanswered.begin(start, orderedAt)
	call := c.present()
	go func() {
		ev := orderReturned{key: key, worker: call.worker, waits: waits}
		token, err := c.fence.send(call.worker, call.incarnation, call.epoch, func() bool {
			ev = c.withRunLists(ctx, ev, call, true)
			return repeats && ev.hasLists && ev.lists.Born.Equal(key.born) && !inLists(&ev.lists, key)
		}, func(o cfcore.Order) error {
			sentAt := c.bootClock.Now()
			if sentAt-orderedAt > maxSendDelay {
				return cferror.New("start run", cfcore.ExecutorOutcomeUnknown, "not sent: the order is %s old", sentAt-orderedAt)
			}
			if ev.hasLists {
				c.post(ctx, callAnswered{lists: ev.lists})
				ev.lists, ev.hasLists = cfcore.RunLists{}, false
			}
			err := c.Executor.Start(ctx, o, run)
			if cferror.Is(err, cfcore.ExecutorOutcomeUnknown) && !errors.Is(err, syscall.ECONNREFUSED) {
				c.post(ctx, attemptUnanswered{worker: call.worker, start: start, at: sentAt})
			}
			return err
		})
		switch ev.err = err; {
		case !ev.hasLists:
			ev.token = token
		case ev.lists.Born.Equal(key.born) && inLists(&ev.lists, key):
			// An attempt without an answer has started the run.
			ev.err = nil
		}
		c.post(ctx, c.withRunLists(ctx, ev, call, cferror.Is(ev.err, cfcore.ExecutorStale)))
	}()
}

// stopRun sends the worker an order to stop a run. Once the worker has answered the order,
// either the run is in the worker's run lists, or it does not exist and will never start.
func (c *control) stopRun(ctx context.Context, s cfwire.JobStop) {
	c.acknowledgement.cancelWaiting(s.Task, s.Run)
	key := orderKey{task: s.Task, run: s.Run, stop: true, born: c.worker.Born}
	if c.inFlight[key] || !c.hasWorker || c.hasLeft {
		return
	}
	c.inFlight[key] = true
	call := c.present()
	go func() {
		token, err := c.fence.send(call.worker, call.incarnation, call.epoch, nil, func(o cfcore.Order) error { return c.Executor.Stop(ctx, o, s.Task, s.Run) })
		c.post(ctx, c.withRunLists(ctx, orderReturned{key: key, token: token, err: err}, call, err == nil))
	}()
}

// withRunLists requests the worker's run lists if needed is set, and returns the outcome
// of an order with these lists. needed means that the state of the run cannot be
// determined without the lists. If the request fails, the outcome has no lists.
func (c *control) withRunLists(ctx context.Context, ev orderReturned, call holdCall, needed bool) orderReturned {
	if !needed {
		return ev
	}
	if lists, token, _, err := c.hold(ctx, call, cfcore.HoldOptions{}); err == nil {
		ev.lists, ev.token, ev.hasLists = lists, token, true
	}
	return ev
}

// throttleRun sends the worker an order to throttle a run to a percentage of its full
// speed. It does not report the result to the planner.
func (c *control) throttleRun(ctx context.Context, p cfwire.JobThrottle) {
	worker, epoch, incarnation := c.worker.ID, c.epoch, c.fence.currentIncarnation()
	go func() {
		_, err := c.fence.send(worker, incarnation, epoch, nil, func(o cfcore.Order) error { return c.Executor.Throttle(ctx, o, p.Task, p.Run, p.Percent) })
		if err != nil {
			c.Log.Debug().Err(err).Msg("call to throttle a run failed")
			c.Scope.Counter("paces_failed").Inc(1)
		}
	}()
}

// endOrder records that an order is in flight no more. It reports whether the incarnation that the order was
// for is the present one. If its next incarnation has answered a start, the run counts as possibly existing
// until lists show it.
func (c *control) endOrder(ev orderReturned) bool {
	delete(c.inFlight, ev.key)
	hasRestarted := cferror.Is(ev.err, cfcore.ExecutorRestarted)
	if !ev.key.stop {
		start := startKey{task: ev.key.task, run: ev.key.run}
		if hasRestarted && c.mayBePresent(ev.worker) {
			c.unanswered.addExecuted(start, c.bootClock.Now())
		}
		c.unanswered.end(start)
		c.reported.reset()
	}
	isPresent := ev.key.born.Equal(c.worker.Born)
	if isPresent && hasRestarted {
		c.logOrder(ev)
		c.handleRestart()
	}
	return isPresent && !hasRestarted
}

// handleOrderReturned handles the outcome of an order and adds the order's result to the
// next report.
func (c *control) handleOrderReturned(ctx context.Context, ev orderReturned) {
	c.recordEnds(&ev.lists)
	if !c.endOrder(ev) {
		return
	}
	if ev.hasLists {
		c.applyLists(ev.lists, ev.token)
		if !ev.lists.Born.Equal(ev.key.born) {
			// The order was for the former incarnation. This one can still start the run.
			return
		}
	}
	res := cfwire.JobOrderResult{Task: ev.key.task, Run: ev.key.run}
	switch {
	case ev.key.stop, cferror.Is(ev.err, cfcore.ExecutorStale):
		if !ev.hasLists || mayBeListed(&ev.lists, ev.key) {
			return
		}
		res.Refusal = cfcore.ExecutorStale
		c.recordBarred(ev.key)
	case ev.err == nil:
		c.recordStartResult(ev.key, "")
	case cferror.Is(ev.err, cfcore.ExecutorOutcomeUnknown):
		c.uncertain[ev.key] = true
		c.logOrder(ev)
		return
	case cferror.Is(ev.err, cfcore.ExecutorFenced):
		c.logOrder(ev)
		return
	case c.awaitsFirstAttempt(ev):
		c.logOrder(ev)
		return
	case c.uncertain[ev.key] || c.bootClock.Now()-c.startedAt < cfcore.MaxOrderDelay:
		// The worker can still carry out an earlier attempt, possibly of an earlier
		// incarnation of this agent. A stop prevents that.
		c.logOrder(ev)
		c.stopRun(ctx, cfwire.JobStop{Task: ev.key.task, Run: ev.key.run})
		return
	default:
		res.Refusal = refusalOf(ev.err)
		c.recordStartResult(ev.key, res.Refusal)
	}
	delete(c.uncertain, ev.key)
	c.logOrder(ev)
	c.results = append(c.results, res)
}

// awaitsFirstAttempt reports whether a refused start has no result yet, since an earlier attempt can still be executed:
// the planner repeats the order. A stop would bar the run number, and the task could then not start before that attempt
// is over: the next incarnation of the worker would execute both numbers.
func (c *control) awaitsFirstAttempt(ev orderReturned) bool {
	isPassing := cferror.Is(ev.err, cfcore.ExecutorNoCapacity) || cferror.Is(ev.err, cfcore.ExecutorLeaseExpired) || cferror.Is(ev.err, cfcore.ExecutorUnhealthy)
	s, ok := c.unanswered.starts[startKey{task: ev.key.task, run: ev.key.run}]
	return ev.waits && isPassing && ok && c.bootClock.Now() < s.until
}

// startResult is the result of a start. refusal is empty if the run has started. at is on the boot
// clock.
type startResult struct {
	refusal cfcore.ExecutorKind
	at      time.Duration
}

// recordStartResult remembers the result of a start, and forgets older ones at times.
func (c *control) recordStartResult(key orderKey, refusal cfcore.ExecutorKind) {
	now := c.bootClock.Now()
	if now-c.resultsForgottenAt > resultMemory {
		maps.DeleteFunc(c.startResults, func(_ orderKey, r startResult) bool { return now-r.at > resultMemory })
		c.resultsForgottenAt = now
	}
	c.startResults[key] = startResult{refusal: refusal, at: now}
}

// recordBarred remembers that the present incarnation of the worker refuses a run. An order to start it that arrives
// later is not sent: the planner has given the start up, and the next incarnation would execute it.
func (c *control) recordBarred(key orderKey) {
	key.stop = false
	c.recordStartResult(key, cfcore.ExecutorStale)
}

// logOrder logs the outcome of an order, also if the order failed.
func (c *control) logOrder(ev orderReturned) {
	l := c.Log.Info()
	if ev.err != nil {
		l = c.Log.Warn().Err(ev.err)
	}
	cfcommon.WithRun(l, ev.key.task, ev.key.run).Bool("Stop", ev.key.stop).Time("Born", ev.key.born).Uint64("Epoch", uint64(ev.token.Epoch())).Uint64("Session", ev.token.Session()).Msg("call to the worker for an order returned")
}

// refusalOf returns the kind of a worker's refusal, or ExecutorRefused for other errors.
func refusalOf(err error) cfcore.ExecutorKind {
	for _, k := range []cfcore.ExecutorKind{
		cfcore.ExecutorLeaseExpired, cfcore.ExecutorNoCapacity, cfcore.ExecutorNoTicket, cfcore.ExecutorUnhealthy, cfcore.ExecutorOtherIncarnation,
	} {
		if cferror.Is(err, k) {
			return k
		}
	}
	return cfcore.ExecutorRefused
}

// mayBeListed reports whether the run of an order is in the run lists, or possibly in a row
// that they leave out.
func mayBeListed(l *cfcore.RunLists, key orderKey) bool {
	return l.MayLackRuns() || inLists(l, key)
}

// inLists reports whether the run of an order is in the run lists.
func inLists(l *cfcore.RunLists, key orderKey) bool {
	for _, r := range l.Running {
		if r.Task == key.task && r.Run == key.run {
			return true
		}
	}
	for _, e := range l.Ended {
		if e.Task == key.task && e.Run == key.run {
			return true
		}
	}
	return false
}

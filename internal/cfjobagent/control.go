package cfjobagent

import (
	"context"
	"net/netip"
	"time"

	"cranberryford/pkg/cfclock"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

const (
	// tickInterval is how often the control goroutine checks its timers.
	tickInterval = 50 * time.Millisecond
	// clockSlack is the fraction by which the speeds of the worker's clock and of this
	// machine's clock can differ. The platform allows the worker's clock to be 2 % slow.
	// Another 2 % is added for this machine's clock.
	clockSlack = 0.04
	// leaseExpiryMargin is added to the wait for a lease to expire. It covers the time
	// between the check of the boot clock in leaseUntil and the sending of the call that
	// extends the lease.
	leaseExpiryMargin = 200 * time.Millisecond
	// If the worker last returned its run lists more than unreachableAfter ago, the agent
	// reports the worker as unreachable to the planner.
	unreachableAfter = 900 * time.Millisecond
	// holdRetryDelay is the delay between two calls for the worker's run lists
	// (Executor.Hold) if the first call listed ended runs that the planner has not recorded
	// in the store yet.
	holdRetryDelay = 100 * time.Millisecond
	// failedHoldRetryDelay is the delay after a failed call. Until the first call, a worker
	// that has restarted executes late orders of its previous incarnation.
	failedHoldRetryDelay = 20 * time.Millisecond
	// restartWait is how long a worker normally takes to restart. After that time without an
	// answer, the delay is holdRetryDelay.
	restartWait = 3 * time.Second
	// resultMemory is how long the agent remembers the result of a start. An order that the planner
	// repeated before it received the result arrives much earlier.
	resultMemory = time.Minute
	// goodbyeTimeout is how long a worker that is not draining can answer calls after its goodbye.
	// After that time, the goodbye counts as that of an earlier incarnation with the same ID.
	goodbyeTimeout = 500 * time.Millisecond
	// maxPendingGrants bounds the number of grant requests that wait for answers. If there
	// are more, the agent discards all of them and ignores their answers.
	maxPendingGrants = 64
)

// control is the state of the control goroutine. Times are on the boot clock unless noted.
type control struct {
	*Agent
	bootClock cfclock.BootClock
	// dialCancels holds the function that stops each dial loop, by the address of its
	// entry.
	dialCancels map[netip.AddrPort]context.CancelFunc
	// seeds are the entries from the settings. discovered are those that an entry listed when it
	// had applied the records of the store up to discoveredTo.
	seeds        []netip.AddrPort
	discovered   []netip.AddrPort
	discoveredTo int64
	// dialDone receives a value when a dial loop ends. runningDials is the number of dial
	// loops that have not ended yet.
	dialDone     chan struct{}
	runningDials int

	// epoch is the newest known epoch. planner is the connection to the planner of that
	// epoch, or nil if there is none. plannerLinks are all connections on which orders of that
	// epoch have arrived: an entry can have more than one address.
	epoch        cfcore.Epoch
	planner      *link
	plannerLinks map[*link]bool
	fence        *fence
	// A grant request asks the planner for permission to extend leases. grantSeq is the
	// number of the last grant request. pendingGrants holds the send time of each
	// unanswered one, by its number.
	grantSeq           uint64
	pendingGrants      map[uint64]time.Duration
	lastGrantRequestAt time.Duration
	// grantedAt is when the newest answered grant request was sent. hasGrant is set once
	// the planner of this epoch has answered a grant request.
	grantedAt time.Duration
	hasGrant  bool

	// worker is the newest state of the worker's current incarnation. hasWorker is set
	// once a heartbeat has arrived. isLeaving is set once the worker has announced its
	// shutdown, at leavingSince. hasLeft is set once it is gone: its port refuses connections
	// after the announcement, or a call was refused because it is for another incarnation.
	worker       cfcore.WorkerState
	hasWorker    bool
	isLeaving    bool
	leavingSince time.Duration
	hasLeft      bool
	// answeredID is the ID of the last worker that has answered a call of this instance of the
	// agent; empty if none has. It can still be there when worker is another one.
	answeredID string
	// answeredBorn is the start time of the incarnation that answered last.
	answeredBorn time.Time
	// successor is the state in the heartbeat of another worker, if hasSuccessor is set. It can be a
	// late one of a former worker. The calls to the present worker decide that.
	successor    cfcore.WorkerState
	hasSuccessor bool
	// hasRestarted is set if an answer has shown that the worker has restarted with the same ID, until
	// the start time of its next incarnation is known. worker is the former one until then.
	hasRestarted bool
	// awaitsCheckIn is set from the first lists of an incarnation until its check-in, which names its labels
	// and its capacity.
	awaitsCheckIn bool
	// formerBorn is the start time of the last incarnation that is known to be gone.
	formerBorn time.Time
	// workerClock is the newest reading of the worker's clock.
	workerClock time.Duration
	// lists are the newest run lists that a call with the current epoch returned. They are
	// valid if hasLists is set.
	lists    cfcore.RunLists
	hasLists bool
	// lastRecorded is the number of the last ended run that the planner has recorded in the
	// store. lastListed is the number of the last ended run that the worker has listed.
	lastRecorded uint64
	lastListed   uint64
	listed       listedEnds
	endTimes     endTimes
	// leasedUntil is the time on the worker's clock until which answered calls have extended the
	// leases. uncertainEnd is the number of the last end that was listed when that time was
	// over: the leases possibly expired since the end.
	leasedUntil  time.Duration
	uncertainEnd uint64
	// moreUncertainEnds is set if the lists with uncertainEnd left out ends, which are uncertain
	// as well.
	moreUncertainEnds bool
	// holdInFlight is set while the regular call for the run lists is in flight. The next
	// call is due at nextHoldAt.
	holdInFlight bool
	nextHoldAt   time.Duration
	// holdFailed is set if the last regular call for the run lists has failed.
	holdFailed bool
	// answeredAt is when the worker last returned its run lists. It is reset to the current
	// time when the agent starts and when a new incarnation of the worker appears.
	answeredAt time.Duration
	// workerClockAt is when the newest reading of the worker's clock arrived. If both clocks
	// have the same speed, every lease expires at most Lease.Lease after workerClockAt. This
	// holds even if a call that extends a lease is delayed, since the call contains the
	// expiry time on the worker's clock.
	workerClockAt time.Duration
	// leaseFrom is the workerClockAt from which leases were last extended.
	leaseFrom time.Duration
	// longLeasesUntil is set when the worker has restarted with the same ID, see
	// mayHaveLongLeases. Until then, leases can last longer than Lease.Lease.
	longLeasesUntil time.Duration
	// formerLeasesUntil is until when leases can last longer than Lease.Lease if an earlier instance of
	// the agent has made calls for a former incarnation, see JobReport.FormerLeases.
	formerLeasesUntil time.Duration
	// inFlight holds the orders whose calls to the worker are in flight.
	inFlight map[orderKey]bool
	// uncertain holds the starts with an unanswered attempt that the worker can still
	// carry out.
	uncertain map[orderKey]bool
	// unanswered holds the starts, of all incarnations of the worker, that it can still execute.
	unanswered unansweredStarts
	// acknowledgement is the state of the acknowledgement of ends.
	acknowledgement acknowledgement
	// startResults holds the results of starts within about the last resultMemory.
	startResults       map[orderKey]startResult
	resultsForgottenAt time.Duration
	// startedAt is when this incarnation of the agent started.
	startedAt time.Duration
	// reportAll is set when the next report must contain the worker's whole state. results
	// are the results of orders since the last report.
	reportAll bool
	reported  reportedLists
	results   []cfwire.JobOrderResult
	// lastReport is the sequence number of the last report.
	lastReport uint64
	// startsAfter is the sequence number of a report. The planner possibly gives up the starts that
	// it has ordered before it receives that report, and starts the tasks elsewhere. Such an order
	// can be delayed on a connection.
	startsAfter uint64
}

func newControl(a *Agent) *control {
	c := &control{
		Agent: a, bootClock: cfclock.System{}, dialCancels: map[netip.AddrPort]context.CancelFunc{},
		seeds: a.cfg.Entries, dialDone: make(chan struct{}), fence: newFence(cfclock.System{}), pendingGrants: map[uint64]time.Duration{}, inFlight: map[orderKey]bool{}, uncertain: map[orderKey]bool{}, plannerLinks: map[*link]bool{}, startResults: map[orderKey]startResult{}, endTimes: endTimes{},
	}
	// An earlier incarnation of this agent possibly extended leases just before this one
	// started. The time until leases have expired is therefore counted from now.
	c.workerClockAt = c.bootClock.Now()
	c.leaseFrom = c.workerClockAt
	c.answeredAt, c.startedAt = c.workerClockAt, c.workerClockAt
	c.unanswered = newUnansweredStarts(c.startedAt)
	return c
}

// run handles events until the context ends. Only this goroutine uses the control state.
func (c *control) run(ctx context.Context) error {
	c.dialAll(ctx)
	tick := c.Clock.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for c.runningDials > 0 {
				<-c.dialDone
				c.runningDials--
			}
			return ctx.Err()
		case <-c.dialDone:
			c.runningDials--
		case <-tick.Chan():
		case ev := <-c.events:
			c.handleEvent(ctx, ev)
		}
		c.requestRunLists(ctx)
		c.sendReport()
	}
}

func (c *control) handleEvent(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case heartbeat:
		c.handleHeartbeat(ev.state)
		close(ev.handled)
	case workerLeft:
		c.handleWorkerLeft(ev.id)
		close(ev.handled)
	case seedsChanged:
		if len(ev.addrs) > 0 {
			c.seeds = ev.addrs
			c.dialAll(ctx)
		}
	case linkDown:
		c.dropPlannerLink(ev.link)
	case messageReceived:
		c.handleMessage(ctx, ev.link, ev.message)
	case holdReturned:
		c.handleHoldReturned(ev)
		c.startWaiting(ctx)
	case attemptUnanswered:
		if c.mayBePresent(ev.worker) {
			c.unanswered.addAttempt(ev.start, ev.at)
			c.acknowledgement.unansweredAt, c.acknowledgement.calmSince = c.bootClock.Now(), 0
			c.reportAll = true
		}
	case callAnswered:
		c.recordEnds(&ev.lists)
	case orderReturned:
		c.handleOrderReturned(ctx, ev)
	}
	if len(c.acknowledgement.waiting) > 0 && !c.acknowledgement.inFlight && !c.fence.hasFailedCall() {
		c.startWaiting(ctx)
	}
}

// handleHeartbeat records the worker's state. It ignores a heartbeat that arrives after a
// newer one or comes from an earlier incarnation. If the time of day was set back, a new
// incarnation has an earlier start time than the one before. Its answers to calls show it then,
// or its heartbeat if the one before has left or is leaving. A heartbeat with another ID, or of a
// leaving worker's predecessor, waits until calls show whether the present worker is gone.
func (c *control) handleHeartbeat(s cfcore.WorkerState) {
	if c.hasWorker && (s.Born.Equal(c.formerBorn) || c.hasRestarted && s.Born.Equal(c.worker.Born) || s.Born.Before(c.worker.Born) && !c.hasLeft && !c.isLeaving) {
		return
	}
	if c.hasWorker && c.hasAnswered() && !c.hasLeft && (s.ID != c.worker.ID || s.Born.Before(c.worker.Born)) {
		c.successor, c.hasSuccessor, c.nextHoldAt = s, true, 0
		return
	}
	c.applyHeartbeat(s)
}

// applyHeartbeat records the state in a heartbeat that is not a late one of a former worker.
func (c *control) applyHeartbeat(s cfcore.WorkerState) {
	sameIncarnation := c.hasWorker && s.Born.Equal(c.worker.Born)
	if sameIncarnation && s.Sequence <= c.worker.Sequence && !c.awaitsCheckIn {
		return
	}
	if !sameIncarnation {
		c.Log.Info().Str("Worker", s.ID).Time("Born", s.Born).Str("Service", s.Service).Msg("worker registered")
		c.resetWorker(s.ID, s.Clock)
		if c.formerBorn.Equal(s.Born) {
			c.formerBorn = time.Time{}
		}
	}
	if sameIncarnation && s.Draining != c.worker.Draining {
		c.Log.Info().Str("Worker", s.ID).Bool("Draining", s.Draining).Dur("Remaining", s.Remaining).Msg("worker has started or stopped draining")
	}
	changed := !sameIncarnation || c.awaitsCheckIn || s.Draining != c.worker.Draining || s.Remaining != c.worker.Remaining
	c.worker, c.hasWorker, c.awaitsCheckIn = s, true, false
	if !sameIncarnation && c.answeredID == "" {
		c.boundFormerLeases(s.Clock)
	}
	c.recordClock(s.Clock)
	if changed {
		c.reportAll = true
	}
}

// recordClock records a reading of the worker's clock if it is the newest one.
func (c *control) recordClock(reading time.Duration) {
	if reading > c.workerClock && !c.hasRestarted {
		c.workerClock, c.workerClockAt = reading, c.bootClock.Now()
	}
}

// resetWorker clears the state of the previous incarnation of the worker. The session in
// which the agent learns of the new incarnation ends: until then, the agent possibly sent
// the new incarnation orders for the previous one. id and clock belong to the new one.
func (c *control) resetWorker(id string, clock time.Duration) {
	c.fence.beginIncarnation()
	c.acknowledgement.reset()
	if !c.hasWorker || c.hasLeft || c.hasAnswered() && c.worker.ID == id {
		c.formerBorn = c.worker.Born
	}
	if c.mayHaveLongLeases(id, clock) {
		c.longLeasesUntil = c.bootClock.Now() + leaseExpiry(cfcore.MaxLease)
	}
	c.workerClock, c.lists, c.hasLists, c.lastRecorded, c.lastListed = 0, cfcore.RunLists{}, false, 0, 0
	// Results name no incarnation.
	c.results = nil
	c.inFlight, c.uncertain, c.startResults = map[orderKey]bool{}, map[orderKey]bool{}, map[orderKey]startResult{}
	// A call to the previous incarnation is not waited for: until a call with a token of the new
	// session, the new incarnation executes late starts of the previous one.
	c.discardGrants()
	c.hasLeft, c.answeredAt, c.nextHoldAt, c.holdInFlight = false, c.bootClock.Now(), 0, false
	c.isLeaving, c.hasSuccessor, c.hasRestarted, c.awaitsCheckIn = false, false, false, false
	c.leasedUntil, c.uncertainEnd, c.moreUncertainEnds = 0, 0, false
}

// handleRestart handles that the worker's next incarnation with the same ID has answered a start for the
// present one, and possibly extended leases by the former clock. Until lists or a heartbeat name that
// incarnation, it gets no starts and no more time, and no end is acknowledged.
func (c *control) handleRestart() {
	if c.hasRestarted || c.hasLeft {
		return
	}
	c.Log.Info().Str("Worker", c.worker.ID).Time("Born", c.worker.Born).Msg("worker has restarted with the same ID: its clock is behind")
	c.hasRestarted, c.workerClock, c.hasLists, c.results = true, 0, false, nil
	c.longLeasesUntil = c.bootClock.Now() + leaseExpiry(cfcore.MaxLease)
	c.fence.beginIncarnation()
	c.acknowledgement.reset()
	c.holdInFlight, c.holdFailed, c.nextHoldAt = false, true, 0
	c.reportAll = true
}

// handleWorkerLeft handles the goodbye of the worker with the given ID. It ignores that of
// another worker. The runs of a worker have not ended until it is gone: it goes on for seconds if
// its goodbye is not acknowledged in time. A goodbye names no incarnation; it can also come from an
// earlier one with the same ID.
func (c *control) handleWorkerLeft(id string) {
	if !c.hasWorker || c.worker.ID != id || c.isLeaving || c.hasLeft {
		return
	}
	c.Log.Info().Str("Worker", id).Msg("worker is about to shut down; it gets no more starts")
	c.isLeaving, c.leavingSince = true, c.bootClock.Now()
	c.nextHoldAt = 0
}

// mayHaveLongLeases reports whether calls with a time on the clock of an earlier incarnation possibly
// extend the leases of the one that id and clock belong to: late calls for an earlier one with the same
// ID, or calls that were sent before the agent learned of this one.
func (c *control) mayHaveLongLeases(id string, clock time.Duration) bool {
	return c.hasWorker && c.worker.ID == id && (clock < cfcore.MaxOrderDelay+cfcore.MaxLease || clock < c.workerClock)
}

// hasAnswered reports whether the worker has answered a call of this instance of the agent. Before,
// its heartbeat can be a late one of a former worker.
func (c *control) hasAnswered() bool { return c.answeredID != "" && c.answeredID == c.worker.ID }

// isConfirmed reports whether the present incarnation has answered a call of this instance of the agent.
// Before, its heartbeat can be a late one of a former incarnation with the same ID, whose clock is ahead.
func (c *control) isConfirmed() bool { return c.hasAnswered() && c.answeredBorn.Equal(c.worker.Born) }

// recordAnswer records that the incarnation of the worker that started at born has answered a call. Calls name the worker's ID, so that the
// one that answered before is gone if it had another ID, and its orders are refused.
func (c *control) recordAnswer(born time.Time) {
	if c.answeredID != "" && !c.hasAnswered() {
		c.unanswered.forget()
		c.acknowledgement.until, c.longLeasesUntil, c.formerLeasesUntil = 0, 0, 0
	}
	c.discardGrants()
	c.answeredAt, c.answeredID, c.answeredBorn = c.bootClock.Now(), c.worker.ID, born
}

// mayBePresent reports whether the worker with the given ID can still execute orders: it is the present
// one, or no other worker has answered since.
func (c *control) mayBePresent(id string) bool {
	return id == c.worker.ID || id == c.answeredID || c.answeredID == ""
}

// markGone records that the worker with the given ID is gone. It ignores the ID of another worker.
// If no worker has answered this instance of the agent, the heartbeat can be a late one of a former
// worker. The present one then possibly has runs that an earlier instance started.
func (c *control) markGone(id string) {
	switch {
	case !c.hasWorker || c.worker.ID != id:
	case !c.hasAnswered():
		c.Log.Info().Str("Worker", id).Msg("heartbeat ignored: its sender is gone and has answered no call")
		c.hasWorker, c.isLeaving = false, false
	default:
		c.Log.Info().Str("Worker", id).Msg("worker is gone")
		c.hasLeft, c.isLeaving = true, false
		c.reportAll = true
	}
}

// settleSuccessor decides on the heartbeat of another worker once a call to the present one has
// returned. If the present one has answered, that heartbeat was a late one of a former worker. A call
// that failed for another reason than that the worker is gone decides nothing until the leases have
// expired: the worker possibly still runs its tasks.
func (c *control) settleSuccessor(hasAnswered bool) {
	if !c.hasSuccessor {
		return
	}
	if hasAnswered {
		c.hasSuccessor = false
		c.Log.Info().Str("Worker", c.successor.ID).Time("Born", c.successor.Born).Msg("late heartbeat of a former worker ignored")
		return
	}
	if _, unreachable := c.unansweredFor(); c.hasLeft || unreachable && c.leasesExpired() {
		c.hasSuccessor = false
		c.applyHeartbeat(c.successor)
	}
}

// isEnding reports whether the worker is about to shut down. One that still answers long after a
// goodbye and is not draining is probably not: the goodbye was a late one.
func (c *control) isEnding() bool {
	return c.isLeaving && (c.worker.Draining || c.bootClock.Now()-c.leavingSince <= goodbyeTimeout)
}

// handleMessage handles a message of an entry, which is either a list of entries or orders.
// It ignores orders of an older epoch than the newest known one.
func (c *control) handleMessage(ctx context.Context, l *link, m *cfwire.Message) {
	if m.JobEntries != nil {
		c.handleEntries(ctx, m.JobEntries)
		return
	}
	o := m.JobOrders
	if o.Epoch < c.epoch {
		return
	}
	if o.Epoch > c.epoch || c.planner == nil {
		c.followPlanner(l, o.Epoch)
	}
	c.plannerLinks[l] = true
	c.fence.raiseAbove(o.SessionFloor)
	if at, ok := c.pendingGrants[o.Answer]; ok && (!c.hasGrant || at > c.grantedAt) {
		c.grantedAt, c.hasGrant = at, true
		delete(c.pendingGrants, o.Answer)
	}
	if o.RecordedEnd > c.lastRecorded && o.Born.Equal(c.worker.Born) {
		c.lastRecorded = o.RecordedEnd
		c.nextHoldAt = 0
	}
	c.markRecorded(o.Born, o.RecordedEnd)
	for _, r := range o.RecordedFormer {
		c.markRecorded(r.Born, r.Number)
	}
	c.dropOutdatedStarts(o)
	c.stopOutdatedCopies(ctx, o)
	for _, s := range o.Starts {
		c.startRun(ctx, s)
	}
	for _, s := range o.Stops {
		c.stopRun(ctx, s)
	}
	for _, p := range o.Throttles {
		c.throttleRun(ctx, p)
	}
}

// dropOutdatedStarts removes the starts from orders if the planner has possibly given them up.
func (c *control) dropOutdatedStarts(o *cfwire.JobOrders) {
	if o.AfterReport == 0 || o.AfterReport >= c.startsAfter || len(o.Starts) == 0 {
		return
	}
	c.Log.Warn().Int("Starts", len(o.Starts)).Uint64("After", o.AfterReport).Uint64("Report", c.startsAfter).Msg("starts ignored: the planner gave them before leases expired or its permission to extend them lapsed")
	c.Scope.Counter("starts_outdated").Inc(int64(len(o.Starts)))
	o.Starts = nil
}

// handleEntries handles an entry's list of entries, or the resignation of the planner.
func (c *control) handleEntries(ctx context.Context, e *cfwire.JobEntries) {
	if e.Epoch > c.epoch {
		c.followPlanner(nil, e.Epoch)
	}
	// An entry that the store does not answer sends the list that it knew before.
	isOlder := e.Epoch < c.epoch || e.ReadTo > 0 && e.ReadTo < c.discoveredTo
	if len(e.Addresses) > 0 && !isOlder {
		c.discovered, c.discoveredTo = e.Addresses, max(c.discoveredTo, e.ReadTo)
		c.dialAll(ctx)
	}
	if e.Resigned && e.Epoch == c.epoch {
		c.planner = nil
		clear(c.plannerLinks)
	}
}

// followPlanner switches to a newer epoch, or to another connection to the planner of the
// current epoch. l is the connection to the planner, or nil if there is none yet. With a
// newer epoch, the agent discards its run lists: a start that was ordered in the older
// epoch can still be in flight, and the run is then missing from the lists. After a call
// with a fencing token of the new epoch, the worker refuses such starts. The run lists
// that this call returns are therefore complete.
func (c *control) followPlanner(l *link, epoch cfcore.Epoch) {
	if epoch > c.epoch {
		c.Log.Info().Uint64("Epoch", uint64(epoch)).Msg("following a newer planner")
		c.acknowledgement.waiting = nil
		c.hasLists, c.hasGrant = false, false
		c.nextHoldAt = 0
		clear(c.plannerLinks)
	}
	c.epoch, c.planner = epoch, l
	clear(c.pendingGrants)
	c.lastGrantRequestAt = 0
	c.reportAll = true
	c.reported.reset()
}

// dropPlannerLink stops using a connection. If it was the one to the planner, the agent
// continues on another connection to the same planner, if it has one: the planner sends an
// agent nothing until it gets a report.
func (c *control) dropPlannerLink(l *link) {
	delete(c.plannerLinks, l)
	if c.planner != l {
		return
	}
	c.planner = nil
	for other := range c.plannerLinks {
		c.followPlanner(other, c.epoch)
		return
	}
}

// leaseUntil returns the time on the worker's clock until which the agent is now allowed
// to extend leases, or 0 if it is not allowed to extend them. It does not extend the leases of
// an unreachable worker, so that they certainly expire.
func (c *control) leaseUntil() time.Duration {
	if _, unreachable := c.unansweredFor(); unreachable || !c.hasValidGrant() || c.workerClock == 0 {
		return 0
	}
	c.leaseFrom = max(c.leaseFrom, c.workerClockAt)
	return c.workerClock + c.cfg.Lease.Lease
}

// unansweredFor returns how long the worker has not returned its run lists, that is, the
// time since answeredAt. The second result reports whether the worker counts as
// unreachable.
func (c *control) unansweredFor() (time.Duration, bool) {
	d := c.bootClock.Now() - c.answeredAt
	return d, d > unreachableAfter
}

// discardGrants discards all permissions to extend leases if the worker has not responded. The planner goes by the
// agent's report that leases can last no longer, see cfwire.JobWorkerUnreachable.LeasesFor.
func (c *control) discardGrants() {
	if _, unreachable := c.unansweredFor(); unreachable {
		c.hasGrant, c.lastGrantRequestAt = false, 0
		clear(c.pendingGrants)
	}
}

// leasesExpired reports whether all leases on the worker have certainly expired.
func (c *control) leasesExpired() bool {
	now := c.bootClock.Now()
	return now-c.leaseFrom > leaseExpiry(c.cfg.Lease.Lease) && now > c.longLeasesUntil
}

// leaseExpiry returns the time after which a lease of duration d has certainly expired.
func leaseExpiry(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+clockSlack)) + leaseExpiryMargin
}

// sendReport sends changes to the planner. If a grant request is due, the report contains
// it.
func (c *control) sendReport() {
	if c.planner == nil || !c.isRequestDue() && !c.reportAll && len(c.results) == 0 {
		return
	}
	if err := c.planner.conn.Send(&cfwire.Message{JobReport: c.takeReport()}); err != nil {
		c.Log.Debug().Err(err).Msg("report not sent on this connection to the planner")
		c.dropPlannerLink(c.planner)
	}
}

// isRequestDue reports whether the next report must contain a grant request.
func (c *control) isRequestDue() bool { return c.bootClock.Now()-c.lastGrantRequestAt >= c.cfg.Ask }

// hasValidGrant reports whether the planner now permits to extend leases.
func (c *control) hasValidGrant() bool {
	return c.hasGrant && c.bootClock.Now()-c.grantedAt <= c.cfg.Lease.Grant
}

// takeReport returns a report of the results since the last one, with the worker's whole
// state if reportAll is set. It clears the results and reportAll.
func (c *control) takeReport() *cfwire.JobReport {
	now := c.bootClock.Now()
	c.lastReport = max(c.lastReport+1, uint64(now))
	r := &cfwire.JobReport{Seq: c.lastReport, Epoch: c.epoch, Results: c.results, Session: c.fence.currentSession(), LongLeases: max(0, c.longLeasesUntil-now), FormerLeases: max(0, c.formerLeasesUntil-now)}
	c.results = nil
	c.unanswered.addTo(r, now)
	r.WithholdsStarts = c.withholdsStarts() || c.awaitsCheckIn
	if c.isRequestDue() {
		c.addGrantRequest(r, now)
	}
	if c.reportAll && c.hasWorker && c.hasAnswered() {
		w := c.worker
		r.Worker = &w
		if c.hasLists {
			l := c.lists
			r.Lists, r.UncertainEnd = &l, c.uncertainEnd
			c.reported.set(l, now)
		}
	}
	// An agent that has not received a heartbeat yet does not know which tasks its worker
	// runs. It therefore also reports the worker as unreachable.
	if d, unreachable := c.unansweredFor(); c.hasLeft || unreachable || !c.hasWorker {
		r.Lost = &cfwire.JobWorkerUnreachable{For: d, LeasesExpired: c.leasesExpired(), Left: c.hasLeft}
		if unreachable {
			r.Lost.LeasesFor = max(0, leaseExpiry(c.cfg.Lease.Lease)-(now-c.leaseFrom))
		}
		c.reported.reset()
	}
	// The planner possibly ignored earlier reports. It must learn of the ends before it counts the runs as
	// ended in another way.
	c.listed.addTo(r, c.worker.Born, r.Lost != nil)
	if r.Lost != nil && r.Lost.LeasesExpired {
		c.startsAfter, c.acknowledgement.waiting = r.Seq, nil
	}
	c.reportAll = false
	return r
}

// addGrantRequest adds a grant request to a report. A planner that has answered none for longer
// than a grant is valid can give up the runs on the worker, and also the starts that it has
// ordered before it receives this request.
func (c *control) addGrantRequest(r *cfwire.JobReport, now time.Duration) {
	if !c.hasValidGrant() {
		c.startsAfter, c.acknowledgement.waiting = r.Seq, nil
	}
	c.grantSeq++
	r.Ask, c.lastGrantRequestAt = c.grantSeq, now
	if len(c.pendingGrants) > maxPendingGrants {
		clear(c.pendingGrants)
	}
	c.pendingGrants[c.grantSeq] = now
}

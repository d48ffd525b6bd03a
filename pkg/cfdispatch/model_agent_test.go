package cfdispatch_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// Parameters of agents, as in internal/cfjobagent and the defaults of its settings.
const (
	agentClockSlack   = 0.04
	agentExpiryMargin = 200 * time.Millisecond
	unreachableAfter  = 900 * time.Millisecond
	orderTimeout      = 400 * time.Millisecond
	startAttempts     = 2
)

// modelOrderKey identifies an order to start a run or, if stop is set, to stop it.
type modelOrderKey struct {
	task cfcore.TaskName
	run  uint64
	stop bool
	born time.Time
}

// modelCall is an order whose last attempt was not answered.
type modelCall struct {
	key         modelOrderKey
	incarnation int
	token       cfcore.FencingToken
	until       time.Duration
	// clock is the reading of the worker's clock that until is based on.
	clock   time.Duration
	attempt int
	// checkpoint is the one that a start carries.
	checkpoint string
	// isCopy is set for a start that is attempted once.
	isCopy bool
	// sentAt is when the last attempt was sent. dueAt is when the agent gives up waiting for an answer.
	sentAt, dueAt time.Time
}

// lateOrder is an order that got no answer and is carried out at the time at.
type lateOrder struct {
	at     time.Time
	worker string
	run    func()
	// start is set for a start.
	start *modelLateStart
}

// lateAnswer is an answer that arrives at the time at.
type lateAnswer struct {
	at    time.Time
	apply func()
}

// modelAgent follows the rules of internal/cfjobagent. A restart resets all fields but m, name
// and worker.
type modelAgent struct {
	// isDraining is what the last check-in has said.
	isDraining bool

	m      *model
	name   string
	worker *modelWorker
	modelIncarnations

	// session is the number of the agent's session, see internal/cfjobagent.
	epoch     cfcore.Epoch
	session   uint64
	sessions  modelSessions
	hasGrant  bool
	grantedAt time.Time
	// grantsFrom is the time before which no permission was requested that counts.
	grantsFrom time.Time

	hasWorker bool
	// hasAnswered is set once a worker has answered this instance of the agent.
	hasAnswered bool
	// answeredBorn is the start time of the incarnation that answered last.
	answeredBorn time.Time
	// hasLeft is set once the worker has announced that it leaves, or another incarnation has answered.
	hasLeft       bool
	born          time.Time
	workerClock   time.Duration
	workerClockAt time.Time
	lists         cfcore.RunLists
	hasLists      bool
	lastRecorded  uint64
	listed        []*modelListedEnds
	lastListed    uint64
	leasedUntil   time.Duration
	uncertainEnd  uint64
	// moreUncertainEnds is set if uncertain ends are left out of the last lists.
	moreUncertainEnds bool
	holdDueAt         time.Time
	holdInFlight      bool
	// checkInAt is when the worker sends its next check-in.
	checkInAt   time.Time
	lateAnswers []lateAnswer
	holdFailed  bool
	holdToken   cfcore.FencingToken
	answeredAt  time.Time
	leaseFrom   time.Time
	longLeases  time.Time
	// formerLeases is until when the calls of an earlier instance possibly extended leases.
	formerLeases time.Time
	startedAt    time.Time
	inFlight     map[modelOrderKey]bool
	uncertain    map[modelOrderKey]bool
	copies       modelCopies
	// See acknowledgement in internal/cfjobagent.
	ackedTo       uint64
	ackInFlight   bool
	ackUntil      time.Time
	unansweredAt  time.Time
	calmSince     time.Time
	waitingStarts []cfwire.JobStart
	// startResults holds the refusals of starts; empty if the run has started.
	startResults map[modelOrderKey]cfcore.ExecutorKind
	calls        []modelCall
	results      []cfwire.JobOrderResult
	// lastReport is the sequence number of the last report. Starts ordered before the report
	// startsAfter was applied are ignored.
	lastReport, startsAfter uint64
	// lastCheckpoint is that of the last start.
	lastCheckpoint string
	// sending is the start that is being sent.
	sending *modelLateStart
}

func newModelAgent(m *model, w *modelWorker) *modelAgent {
	a := &modelAgent{
		m: m, name: w.name, worker: w, session: m.sessionNow(), workerClockAt: m.now, answeredAt: m.now, leaseFrom: m.now, startedAt: m.now,
		inFlight: map[modelOrderKey]bool{}, uncertain: map[modelOrderKey]bool{}, startResults: map[modelOrderKey]cfcore.ExecutorKind{},
		copies: newModelCopies(m.now),
	}
	a.startSessions()
	return a
}

// answers draws whether a call to the worker is answered. If it is not, the call is possibly
// carried out late.
func (a *modelAgent) answers(kind string, late bool, call func()) bool {
	l := a.m.links[a.name]
	if a.worker.isDown() {
		return false
	}
	if !a.m.now.Before(l.disturbedUntil) {
		return true
	}
	if l.disturbance == loseCalls || l.disturbance == loseSomeAnswers && rapid.Bool().Draw(a.m.t, "answered") {
		return l.disturbance == loseSomeAnswers
	}
	a.loseCall(kind, late, call)
	return false
}

// loseCall draws whether a call without an answer is carried out late.
func (a *modelAgent) loseCall(kind string, late bool, call func()) {
	if late && rapid.Bool().Draw(a.m.t, kind) {
		after := a.lateBy()
		a.m.tracef("%s: %s is carried out after %s", a.name, kind, after)
		a.m.lateOrders = append(a.m.lateOrders, lateOrder{at: a.m.now.Add(after), worker: a.name, run: call, start: a.sending})
	}
}

// token is the fencing token of orders to the worker.
func (a *modelAgent) token() cfcore.FencingToken { return cfcore.NewFencingToken(a.epoch, a.session) }

// hasNewIDs reports whether each incarnation of the worker has an ID of its own, as far as the agent
// reports.
func (a *modelAgent) hasNewIDs() bool { return a.m.faults.hideSameID || a.m.scope.newIDs }

// endSession begins a new session unless the session of t has already ended.
func (a *modelAgent) endSession(t cfcore.FencingToken) {
	if t.Session() != a.session || a.m.faults.keepSession {
		return
	}
	if a.m.scope.clockSteps {
		a.sessions.hasEnded = true
		a.beginSession()
	} else {
		a.session = max(a.session+1, a.m.sessionNow())
	}
}

// sessionNow returns the number of a session that begins now.
func (m *model) sessionNow() uint64 { return uint64(m.now.Sub(epochStart) / modelTick) }

// hasValidGrant reports whether the planner now permits to extend leases.
func (a *modelAgent) hasValidGrant() bool {
	return a.hasGrant && a.m.now.Sub(a.grantedAt) <= settings.GrantTime
}

// isConfirmed reports whether the present incarnation has answered a call. Before, its check-in can be a late
// one of a former incarnation, whose clock is ahead.
func (a *modelAgent) isConfirmed() bool {
	return a.hasAnswered && a.answeredBorn.Equal(a.born) || a.m.faults.extendUnconfirmed
}

// leaseUntil returns the time on the worker's clock until which the agent may extend leases,
// or 0.
func (a *modelAgent) leaseUntil() time.Duration {
	if !a.hasValidGrant() || a.workerClock == 0 || a.isUnreachable() {
		return 0
	}
	a.leaseFrom = a.workerClockAt
	return a.workerClock + settings.LeaseTime
}

// isUnreachable reports whether the worker has not responded for long.
func (a *modelAgent) isUnreachable() bool { return a.m.now.Sub(a.answeredAt) > unreachableAfter }

// discardGrants discards all permissions if the worker has not responded.
func (a *modelAgent) discardGrants() {
	if a.isUnreachable() && !a.m.faults.keepGrants {
		a.hasGrant, a.grantsFrom = false, a.m.now
	}
}

// leasesExpired reports whether all leases on the worker have expired.
func (a *modelAgent) leasesExpired() bool {
	if a.m.faults.expireUnreachable {
		return true
	}
	return a.m.now.Sub(a.leaseFrom) > agentLeaseExpiry(settings.LeaseTime) && a.m.now.After(a.longLeases)
}

func agentLeaseExpiry(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+agentClockSlack)) + agentExpiryMargin
}

// advance handles a heartbeat, orders without an answer and the regular call for the run
// lists.
func (a *modelAgent) advance() {
	a.getCheckIn()
	a.advanceWaitingHold()
	a.applyLateAnswers()
	calls := a.calls
	a.calls = nil
	for _, c := range calls {
		switch {
		case a.m.now.Before(c.dueAt):
			a.calls = append(a.calls, c)
		case c.key.stop || c.isCopy || c.attempt >= startAttempts || c.incarnation != a.incarnation:
			if c.incarnation == a.incarnation {
				a.markFailed()
			}
			a.endSession(c.token)
			a.addCopy(c)
			a.handleOrder(c.key, c.token, cfcore.ExecutorOutcomeUnknown)
		default:
			a.markFailed()
			a.endSession(c.token)
			a.addCopy(c)
			a.repeatStart(c)
		}
	}
	if !a.holdsBack() && !a.ackInFlight {
		a.startWaiting()
	}
	if !a.hasWorker || a.hasLeft || a.holdInFlight || a.m.now.Before(a.holdDueAt) {
		return
	}
	lastSeen := uint64(0)
	if a.holdFailed {
		a.endSession(a.holdToken)
	} else if a.mayAcknowledge() {
		lastSeen = a.lastRecorded
	}
	if a.withholdCall() {
		return
	}
	waits := lastSeen == 0 && a.mayWait()
	until := time.Duration(0)
	if a.isConfirmed() {
		until = a.leaseUntil()
	}
	token, w, born, incarnation, failures := a.token(), a.worker, a.born, a.incarnation, a.answered.failures
	a.holdFailed = !a.answers("hold", a.m.scope.lateHolds, func() { _, _ = w.hold(born, token, until, lastSeen) })
	if a.holdFailed {
		a.holdDueAt, a.holdToken = a.m.now.Add(orderTimeout), token
		a.markFailed()
		a.markUnanswered(lastSeen)
		a.failAtOnce(until)
		a.handleHoldFailure()
		return
	}
	l, refusal := w.hold(born, token, until, lastSeen)
	if a.answersTooLate("hold") {
		a.holdFailed, a.holdDueAt, a.holdToken = true, a.m.now.Add(orderTimeout), token
		a.markUnanswered(lastSeen)
		a.handleHoldFailure()
		return
	}
	a.handleFenced(token, refusal)
	sentAt := a.m.now
	a.holdInFlight, a.ackInFlight = true, lastSeen > 0
	finish := func(l cfcore.RunLists, refusal cfcore.ExecutorKind) {
		if incarnation != a.incarnation {
			if refusal == "" {
				a.recordEnds(&l)
			}
			return
		}
		a.holdInFlight, a.ackInFlight = false, false
		defer a.startWaiting()
		if refusal == cfcore.ExecutorOtherIncarnation {
			a.leaveWorker(born)
		}
		if refusal != "" {
			a.calmSince = time.Time{}
			a.handleHoldRefusal(refusal)
			return
		}
		a.recordEnds(&l)
		a.markAnswered(&l, failures)
		if a.calmSince.IsZero() {
			a.calmSince = a.m.now
		}
		if l.Born.Equal(a.born) {
			a.ackedTo = max(a.ackedTo, lastSeen)
		}
		if a.applyLists(l, token) {
			a.settleCopies(sentAt)
		}
		a.settleSuccessor(true)
		// A call that was sent before a restart was noticed contains a time on the earlier clock.
		if l.Born.Equal(a.born) && until <= l.Clock+settings.LeaseTime {
			a.leasedUntil = max(a.leasedUntil, until)
		}
	}
	if waits && refusal == "" {
		a.waitForEnd(token, finish)
		return
	}
	a.answer(func() { finish(l, refusal) })
}

// leaveWorker records that an incarnation of the worker is gone.
func (a *modelAgent) leaveWorker(born time.Time) {
	switch {
	case !a.hasWorker || !a.born.Equal(born):
	case !a.hasAnswered && !a.m.faults.trustCheckIns:
		a.hasWorker = false
	default:
		a.hasLeft = true
		a.m.tracef("%s: the worker has left", a.name)
	}
}

// observeBorn clears the state of the previous incarnation if the worker is a new one.
func (a *modelAgent) observeBorn(born time.Time, clock time.Duration) {
	if born.After(a.born) || !born.Equal(a.born) && a.m.scope.playsFormerLives() && !a.m.faults.ignoreSetBack {
		a.resetWorker(born, clock)
	}
}

// resetWorker clears the state of the previous incarnation.
func (a *modelAgent) resetWorker(born time.Time, clock time.Duration) {
	a.endSession(a.token())
	if !a.born.IsZero() && a.hasNewIDs() {
		clear(a.copies.starts)
		a.copies.unknownUntil, a.ackUntil = time.Time{}, time.Time{}
	}
	a.modelIncarnations = modelIncarnations{incarnation: a.incarnation + 1, formerBorn: a.born}
	a.longLeases = time.Time{}
	if !a.hasAnswered && clock < cfcore.MaxOrderDelay+cfcore.MaxLease {
		a.formerLeases = minTime(a.m.now, a.startedAt.Add(cfcore.MaxExecutionDelay)).Add(agentLeaseExpiry(cfcore.MaxLease))
	}
	if !a.m.faults.forgetLongLeases && a.hasWorker && !a.born.IsZero() && !a.m.scope.newIDs && clock < cfcore.MaxOrderDelay+cfcore.MaxLease {
		a.longLeases = a.m.now.Add(agentLeaseExpiry(cfcore.MaxLease))
	}
	a.born, a.workerClock, a.hasLists, a.lastRecorded = born, 0, false, 0
	a.lastListed, a.leasedUntil, a.uncertainEnd, a.moreUncertainEnds = 0, 0, 0, false
	a.results = nil
	a.inFlight, a.uncertain, a.startResults = map[modelOrderKey]bool{}, map[modelOrderKey]bool{}, map[modelOrderKey]cfcore.ExecutorKind{}
	a.discardGrants()
	a.answeredAt, a.holdDueAt, a.hasLeft = a.m.now, time.Time{}, false
	a.holdInFlight, a.ackInFlight, a.ackedTo, a.calmSince = false, false, 0, time.Time{}
}

func (a *modelAgent) recordClock(reading time.Duration) {
	if reading > a.workerClock && !a.hasRestarted {
		a.workerClock, a.workerClockAt = reading, a.m.now
	}
}

// handleRestart handles that the worker's next incarnation has answered a start for the present one.
func (a *modelAgent) handleRestart() {
	if a.hasRestarted || a.hasLeft {
		return
	}
	a.m.tracef("%s: the worker's clock is behind, so it has restarted", a.name)
	a.hasRestarted, a.workerClock, a.hasLists, a.results = true, 0, false, nil
	a.longLeases = a.m.now.Add(agentLeaseExpiry(cfcore.MaxLease))
	a.endSession(a.token())
	a.incarnation++
	a.holdInFlight, a.ackInFlight, a.ackedTo, a.holdFailed = false, false, 0, true
	a.calmSince = time.Time{}
	a.holdToken, a.holdDueAt, a.waiting = 0, time.Time{}, nil
}

// applyLists records run lists that a call returned.
func (a *modelAgent) applyLists(l cfcore.RunLists, token cfcore.FencingToken) bool {
	if l.Born.Before(a.born) && !a.m.scope.playsFormerLives() {
		return false
	}
	before := a.born
	a.observeBorn(l.Born, l.Clock)
	a.answered.awaitsCheckIn = a.answered.awaitsCheckIn || !before.Equal(a.born)
	a.m.markListed(a.worker, &l)
	a.discardGrants()
	a.answeredAt, a.hasAnswered, a.answeredBorn = a.m.now, true, a.born
	if token.Session() == a.session {
		a.hasRestarted = false
	}
	if !a.m.faults.applyEarlierLists && token.Epoch() < a.epoch || !a.hasLists && token.Session() != a.session || a.hasLists && l.Clock < a.lists.Clock {
		return false
	}
	if !a.hasLists && l.Clock < cfcore.MaxOrderDelay+cfcore.MaxLease {
		a.formerLeases = minTime(a.m.now, a.startedAt.Add(cfcore.MaxExecutionDelay)).Add(agentLeaseExpiry(cfcore.MaxLease))
	}
	a.recordClock(l.Clock)
	for _, e := range l.Ended {
		a.lastListed = max(a.lastListed, e.Number)
	}
	if l.Clock >= a.leasedUntil || a.moreUncertainEnds {
		a.uncertainEnd, a.moreUncertainEnds = a.lastListed, l.MoreEnds
	}
	a.lists, a.hasLists = l, true
	return true
}

// follow switches to a newer epoch. Run lists of calls with an older one can lack runs that
// still start.
func (a *modelAgent) follow(epoch cfcore.Epoch) {
	if epoch > a.epoch {
		a.epoch, a.hasLists, a.hasGrant, a.holdDueAt = epoch, false, false, time.Time{}
		a.observeEpoch()
		a.waitingStarts = nil
	}
}

// takeReport returns a report of the worker's whole state and of the results since the last
// one.
func (a *modelAgent) takeReport() *cfwire.JobReport {
	a.lastReport = max(a.lastReport+1, uint64(a.m.now.Sub(epochStart)))
	r := &cfwire.JobReport{Seq: a.lastReport, Epoch: a.epoch, Results: a.results, LongLeases: max(0, a.longLeases.Sub(a.m.now)), FormerLeases: max(0, a.formerLeases.Sub(a.m.now))}
	a.results = nil
	a.reportCopies(r)
	r.WithholdsStarts = a.withholdsStarts() || a.answered.awaitsCheckIn
	if a.hasWorker && (a.hasAnswered || a.m.faults.trustCheckIns) {
		r.Worker = &cfcore.WorkerState{ID: workerID, Service: "dispatch", Born: a.born, Clock: a.workerClock, Capacity: workerCapacity, Draining: a.isDraining}
		if a.hasNewIDs() {
			r.Worker.ID = a.born.String()
		}
		if a.hasLists {
			l := a.lists
			r.Lists, r.UncertainEnd = &l, a.uncertainEnd
		}
	}
	if d := a.m.now.Sub(a.answeredAt); d > unreachableAfter || !a.hasWorker || a.hasLeft {
		r.Lost = &cfwire.JobWorkerUnreachable{For: d, LeasesExpired: a.leasesExpired(), Left: a.hasLeft}
		if a.isUnreachable() {
			r.Lost.LeasesFor = max(0, agentLeaseExpiry(settings.LeaseTime)-a.m.now.Sub(a.leaseFrom))
		}
	}
	a.reportEnds(r)
	if !a.hasValidGrant() && !a.m.faults.ignoreSilence || r.Lost != nil && r.Lost.LeasesExpired {
		a.startsAfter, a.waitingStarts = r.Seq, nil
	}
	return r
}

// startRun sends the worker an order to start a run.
func (a *modelAgent) startRun(s cfwire.JobStart) {
	key := modelOrderKey{task: s.Task, run: s.Run, born: s.Born}
	if a.inFlight[key] {
		return
	}
	if refusal, ok := a.startResults[key]; ok && !a.m.faults.forgetResults {
		a.results = append(a.results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: refusal})
		return
	}
	if a.hasWorker && s.Born.Equal(a.born) && !a.hasLeft && a.isEnding() {
		a.stopRun(s.Task, s.Run)
		return
	}
	if a.answered.awaitsCheckIn || a.hasAnswered && !a.isConfirmed() && !a.m.scope.newIDs {
		return
	}
	until := a.leaseUntil()
	if !a.hasWorker || !s.Born.Equal(a.born) || a.hasLeft || until == 0 {
		return
	}
	isHeldBack := a.ackInFlight || a.holdsBack()
	if a.ackInFlight && !s.IsCopy {
		a.waitingStarts = append(a.waitingStarts, s)
		return
	}
	if a.withholdsStarts() || isHeldBack && s.IsCopy {
		if _, ok := a.copies.starts[modelStart{task: s.Task, run: s.Run}]; ok {
			return
		}
		a.startResults[key] = cfcore.ExecutorRefused
		a.results = append(a.results, cfwire.JobOrderResult{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorRefused})
		return
	}
	if isHeldBack {
		a.waitingStarts = append(a.waitingStarts, s)
		return
	}
	a.inFlight[key] = true
	a.beginCopy(key)
	a.sendStart(modelCall{key: key, incarnation: a.incarnation, token: a.token(), until: until, clock: a.workerClock, attempt: 1, sentAt: a.m.now, checkpoint: a.checkpointFor(s), isCopy: s.IsCopy})
}

func (a *modelAgent) sendStart(c modelCall) {
	w := a.worker
	if !a.beginSession() {
		a.handleOrder(c.key, c.token, cfcore.ExecutorOutcomeUnknown)
		return
	}
	if a.m.scope.clockSteps {
		c.token = cfcore.NewFencingToken(c.token.Epoch(), a.session)
	}
	start := func() cfcore.ExecutorKind {
		a.m.isOrphaned = !c.key.born.Equal(w.born)
		defer func() { a.m.isOrphaned = false }()
		return w.start(c.key.born, c.token, c.key.task, c.key.run, c.until, c.checkpoint)
	}
	a.sending = &modelLateStart{call: c, w: w}
	isAnswered := a.answers(fmt.Sprintf("start of run %x of %s", c.key.run, taskString(c.key.task)), a.m.scope.lateStarts, func() { start() })
	a.sending = nil
	if !isAnswered {
		a.awaitAnswer(c)
		return
	}
	if a.answered.hasFailed && !c.key.born.Equal(w.born) && !a.hasNewIDs() {
		a.m.violate(violationOtherLife, c.key.task, false, "run %x on %s", c.key.run, a.name)
	}
	refusal := cfcore.ExecutorUnhealthy
	if !a.m.now.Before(a.m.links[a.name].disturbedUntil) || !rapid.Bool().Draw(a.m.t, "unhealthy") {
		refusal = start()
		if refusal == cfcore.ExecutorFenced && c.token.Session() != a.session {
			c.token = cfcore.NewFencingToken(c.token.Epoch(), a.session)
			refusal = start()
		}
		a.handleFenced(c.token, refusal)
	}
	if a.answersTooLate("start") {
		a.awaitAnswer(c)
		return
	}
	hasClock := slices.Contains([]cfcore.ExecutorKind{"", cfcore.ExecutorStale, cfcore.ExecutorNoCapacity, cfcore.ExecutorLeaseExpired}, refusal)
	switch {
	case hasClock && w.clock() < c.clock && !a.m.faults.ignoreClocks:
		refusal = cfcore.ExecutorRestarted
	case c.attempt > 1 && refusal == cfcore.ExecutorNoCapacity && a.m.faults.trustRoom:
		delete(a.copies.starts, modelStart{task: c.key.task, run: c.key.run})
	case c.attempt > 1 && refusal != "" && refusal != cfcore.ExecutorStale:
		// The refusal of a retry does not prove that the first attempt had no effect.
		refusal = cfcore.ExecutorOutcomeUnknown
	}
	a.handleOrder(c.key, c.token, refusal)
}

// stopRun sends the worker an order to stop a run.
func (a *modelAgent) stopRun(n cfcore.TaskName, run uint64) {
	a.waitingStarts = slices.DeleteFunc(a.waitingStarts, func(s cfwire.JobStart) bool { return s.Task == n && s.Run == run })
	c := modelCall{key: modelOrderKey{task: n, run: run, stop: true, born: a.born}, incarnation: a.incarnation, token: a.token()}
	if a.inFlight[c.key] || !a.hasWorker || a.hasLeft || !a.beginSession() {
		return
	}
	a.inFlight[c.key] = true
	c.token = a.token()
	w := a.worker
	stop := func() cfcore.ExecutorKind { return w.stop(c.key.born, c.token, n, run) }
	if !a.answers(fmt.Sprintf("stop of run %x of %s", run, taskString(n)), a.m.scope.lateStops, func() { stop() }) {
		a.awaitAnswer(c)
		return
	}
	refusal := stop()
	if a.answersTooLate("stop") {
		a.awaitAnswer(c)
		return
	}
	a.handleOrder(c.key, c.token, refusal)
}

// listsAfter requests the run lists that show the effect of an order.
func (a *modelAgent) listsAfter(token cfcore.FencingToken) (cfcore.RunLists, bool) {
	w, born := a.worker, a.born
	if !a.answers("hold", a.m.scope.lateHolds, func() { _, _ = w.hold(born, token, 0, 0) }) {
		return cfcore.RunLists{}, false
	}
	l, refusal := w.hold(born, token, 0, 0)
	return l, refusal == ""
}

// handleOrder handles the outcome of an order.
func (a *modelAgent) handleOrder(key modelOrderKey, token cfcore.FencingToken, refusal cfcore.ExecutorKind) {
	if a.renumbers(key, refusal) {
		a.stopRun(key.task, key.run)
		return
	}
	if a.m.scope.lateBeyondTimeout && refusal != cfcore.ExecutorOutcomeUnknown {
		a.handleLateOrder(key, token, refusal)
		return
	}
	needsLists := refusal == cfcore.ExecutorStale || key.stop && refusal == ""
	var l cfcore.RunLists
	var hasLists bool
	if needsLists {
		l, hasLists = a.listsAfter(token)
	}
	if refusal == cfcore.ExecutorOutcomeUnknown {
		a.applyResult(key, token, refusal, l, hasLists)
		return
	}
	a.answer(func() { a.applyResult(key, token, refusal, l, hasLists) })
}

// applyResult applies the outcome of an order, with the run lists after it if there are any.
func (a *modelAgent) applyResult(key modelOrderKey, token cfcore.FencingToken, refusal cfcore.ExecutorKind, l cfcore.RunLists, hasLists bool) {
	delete(a.inFlight, key)
	if refusal == cfcore.ExecutorRestarted {
		a.addExecutedCopy(key)
	}
	a.endCopy(key)
	if hasLists {
		a.recordEnds(&l)
	}
	if !key.born.Equal(a.born) {
		return
	}
	if refusal == cfcore.ExecutorRestarted {
		a.handleRestart()
		return
	}
	if hasLists {
		a.applyLists(l, token)
		if !l.Born.Equal(key.born) {
			return
		}
	}
	res := cfwire.JobOrderResult{Task: key.task, Run: key.run}
	faults := &a.m.faults
	switch {
	case key.stop && (faults.trustStops && refusal == cfcore.ExecutorOutcomeUnknown || faults.trustRefusedStops && refusal == cfcore.ExecutorUnhealthy):
		res.Refusal = cfcore.ExecutorStale
	case key.stop || refusal == cfcore.ExecutorStale:
		if !hasLists || listed(&l, key) {
			return
		}
		res.Refusal = cfcore.ExecutorStale
		a.startResults[modelOrderKey{task: key.task, run: key.run, born: key.born}] = cfcore.ExecutorStale
	case refusal == "":
		a.startResults[key] = refusal
	case refusal == cfcore.ExecutorOutcomeUnknown && faults.reportUncertain:
		res.Refusal = cfcore.ExecutorRefused
	case refusal == cfcore.ExecutorOutcomeUnknown:
		a.uncertain[key] = true
		return
	case refusal == cfcore.ExecutorFenced:
		return
	case !faults.forgetUncertain && a.awaitsFirstAttempt(key, refusal):
		return
	case !faults.forgetUncertain && (a.uncertain[key] || a.m.now.Sub(a.startedAt) < cfcore.MaxOrderDelay):
		a.stopRun(key.task, key.run)
		return
	default:
		res.Refusal = refusal
		a.startResults[key] = refusal
	}
	delete(a.uncertain, key)
	a.results = append(a.results, res)
}

// listed reports whether the run of an order is in the run lists, or possibly left out.
func listed(l *cfcore.RunLists, key modelOrderKey) bool {
	return l.MayLackRuns() || inModelLists(l, key)
}

// inModelLists reports whether the run of an order is in the run lists.
func inModelLists(l *cfcore.RunLists, key modelOrderKey) bool {
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

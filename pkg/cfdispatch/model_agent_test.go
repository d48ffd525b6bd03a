package cfdispatch_test

import (
	"fmt"
	"maps"
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

// modelCopy is an unanswered start that can be carried out until then.
type modelCopy struct {
	run   uint64
	until time.Time
}

// modelCall is an order whose last attempt was not answered.
type modelCall struct {
	key     modelOrderKey
	token   cfcore.FencingToken
	until   time.Duration
	attempt int
	// dueAt is when the agent gives up waiting for an answer.
	dueAt time.Time
}

// lateOrder is an order that got no answer and is carried out at the time at.
type lateOrder struct {
	at  time.Time
	run func()
}

// modelAgent follows the rules of internal/cfjobagent. A restart resets all fields but m, name
// and worker.
type modelAgent struct {
	m      *model
	name   string
	worker *modelWorker

	// session is the number of the agent's session, see internal/cfjobagent.
	epoch     cfcore.Epoch
	session   uint64
	hasGrant  bool
	grantedAt time.Time

	hasWorker     bool
	born          time.Time
	workerClock   time.Duration
	workerClockAt time.Time
	lists         cfcore.RunLists
	hasLists      bool
	lastRecorded  uint64
	lastListed    uint64
	leasedUntil   time.Duration
	uncertainEnd  uint64
	holdDueAt     time.Time
	holdFailed    bool
	holdToken     cfcore.FencingToken
	answeredAt    time.Time
	leaseFrom     time.Time
	longLeases    time.Time
	startedAt     time.Time
	inFlight      map[modelOrderKey]bool
	uncertain     map[modelOrderKey]bool
	// copies holds until when an unanswered start of a task can still be carried out.
	copies map[cfcore.TaskName]modelCopy
	// startResults holds the refusals of starts; empty if the run has started.
	startResults map[modelOrderKey]cfcore.ExecutorKind
	calls        []modelCall
	results      []cfwire.JobOrderResult
	// lastReport is the sequence number of the last report. Starts ordered before the report
	// startsAfter was applied are ignored.
	lastReport, startsAfter uint64
}

func newModelAgent(m *model, w *modelWorker) *modelAgent {
	return &modelAgent{
		m: m, name: w.name, worker: w, session: m.sessionNow(), workerClockAt: m.now, answeredAt: m.now, leaseFrom: m.now, startedAt: m.now,
		inFlight: map[modelOrderKey]bool{}, uncertain: map[modelOrderKey]bool{}, startResults: map[modelOrderKey]cfcore.ExecutorKind{},
		copies: map[cfcore.TaskName]modelCopy{},
	}
}

// answers draws whether a call to the worker is answered. If it is not, the call is possibly
// carried out late.
func (a *modelAgent) answers(kind string, late bool, call func()) bool {
	l := a.m.links[a.name]
	if !a.m.now.Before(l.disturbedUntil) {
		return true
	}
	if l.disturbance == loseCalls || l.disturbance == loseSomeAnswers && rapid.Bool().Draw(a.m.t, "answered") {
		return l.disturbance == loseSomeAnswers
	}
	if late && rapid.Bool().Draw(a.m.t, kind) {
		after := min(a.m.ticks(7, "late"), maxOrderDelay)
		a.m.tracef("%s: %s is carried out after %s", a.name, kind, after)
		a.m.lateOrders = append(a.m.lateOrders, lateOrder{at: a.m.now.Add(after), run: call})
	}
	return false
}

// token is the fencing token of orders to the worker.
func (a *modelAgent) token() cfcore.FencingToken { return cfcore.NewFencingToken(a.epoch, a.session) }

// endSession begins a new session unless the session of t has already ended.
func (a *modelAgent) endSession(t cfcore.FencingToken) {
	if t.Session() == a.session && !a.m.faults.keepSession {
		a.session = max(a.session+1, a.m.sessionNow())
	}
}

// sessionNow returns the number of a session that begins now.
func (m *model) sessionNow() uint64 { return uint64(m.now.Sub(epochStart) / modelTick) }

// hasValidGrant reports whether the planner now permits to extend leases.
func (a *modelAgent) hasValidGrant() bool {
	return a.hasGrant && a.m.now.Sub(a.grantedAt) <= settings.GrantTime
}

// leaseUntil returns the time on the worker's clock until which the agent may extend leases,
// or 0.
func (a *modelAgent) leaseUntil() time.Duration {
	if !a.hasValidGrant() || a.workerClock == 0 || a.m.now.Sub(a.answeredAt) > unreachableAfter {
		return 0
	}
	a.leaseFrom = a.workerClockAt
	return a.workerClock + settings.LeaseTime
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
	if !a.m.now.Before(a.m.links[a.name].disturbedUntil) {
		a.hasWorker = true
		a.observeBorn(a.worker.born)
		a.recordClock(a.worker.clock())
	}
	calls := a.calls
	a.calls = nil
	for _, c := range calls {
		switch {
		case a.m.now.Before(c.dueAt):
			a.calls = append(a.calls, c)
		case c.key.stop || c.attempt >= startAttempts || !c.key.born.Equal(a.born):
			a.endSession(c.token)
			a.addCopy(c)
			a.handleOrder(c.key, c.token, cfcore.ExecutorOutcomeUnknown)
		default:
			a.endSession(c.token)
			a.addCopy(c)
			c.attempt, c.token = c.attempt+1, cfcore.NewFencingToken(c.token.Epoch(), a.session)
			a.sendStart(c)
		}
	}
	if !a.hasWorker || a.m.now.Before(a.holdDueAt) {
		return
	}
	lastSeen := a.lastRecorded
	if a.holdFailed {
		a.endSession(a.holdToken)
		lastSeen = 0
	}
	token, until, w := a.token(), a.leaseUntil(), a.worker
	a.holdFailed = !a.answers("hold", a.m.scope.lateHolds, func() { _, _ = w.hold(token, until, lastSeen) })
	if a.holdFailed {
		a.holdDueAt, a.holdToken = a.m.now.Add(orderTimeout), token
		return
	}
	l, refusal := w.hold(token, until, lastSeen)
	if refusal != "" {
		return
	}
	a.applyLists(l, token)
	if l.Born.Equal(a.born) {
		a.leasedUntil = max(a.leasedUntil, until)
	}
}

// addCopy remembers that a start got no answer.
func (a *modelAgent) addCopy(c modelCall) {
	f := &a.m.faults
	if !c.key.stop && !f.hideUnanswered && !f.reportUncertain && !f.forgetUncertain {
		a.copies[c.key.task] = modelCopy{run: c.key.run, until: a.m.now.Add(cfcore.MaxOrderDelay)}
	}
}

// observeBorn clears the state of the previous incarnation if the worker is a new one.
func (a *modelAgent) observeBorn(born time.Time) {
	if !born.After(a.born) {
		return
	}
	a.endSession(a.token())
	a.longLeases = time.Time{}
	if !a.born.IsZero() && a.worker.clock() < cfcore.MaxOrderDelay+cfcore.MaxLease {
		a.longLeases = a.m.now.Add(agentLeaseExpiry(cfcore.MaxLease))
	}
	a.born, a.workerClock, a.lists, a.hasLists, a.lastRecorded = born, 0, cfcore.RunLists{}, false, 0
	a.lastListed, a.leasedUntil, a.uncertainEnd = 0, 0, 0
	a.inFlight, a.uncertain, a.startResults = map[modelOrderKey]bool{}, map[modelOrderKey]bool{}, map[modelOrderKey]cfcore.ExecutorKind{}
	a.answeredAt, a.holdDueAt = a.m.now, time.Time{}
}

func (a *modelAgent) recordClock(reading time.Duration) {
	if reading > a.workerClock {
		a.workerClock, a.workerClockAt = reading, a.m.now
	}
}

// applyLists records run lists that a call returned.
func (a *modelAgent) applyLists(l cfcore.RunLists, token cfcore.FencingToken) {
	if l.Born.Before(a.born) {
		return
	}
	a.observeBorn(l.Born)
	a.answeredAt = a.m.now
	if token.Epoch() < a.epoch || !a.hasLists && token.Session() != a.session {
		return
	}
	a.recordClock(l.Clock)
	for _, e := range l.Ended {
		a.lastListed = max(a.lastListed, e.Number)
	}
	if l.Clock >= a.leasedUntil {
		a.uncertainEnd = a.lastListed
	}
	a.lists, a.hasLists = l, true
}

// follow switches to a newer epoch. Run lists of calls with an older one can lack runs that
// still start.
func (a *modelAgent) follow(epoch cfcore.Epoch) {
	if epoch > a.epoch {
		a.epoch, a.hasLists, a.hasGrant, a.holdDueAt = epoch, false, false, time.Time{}
	}
}

// takeReport returns a report of the worker's whole state and of the results since the last
// one.
func (a *modelAgent) takeReport() *cfwire.JobReport {
	a.lastReport = max(a.lastReport+1, uint64(a.m.now.Sub(epochStart)))
	r := &cfwire.JobReport{Seq: a.lastReport, Epoch: a.epoch, Results: a.results, LongLeases: max(0, a.longLeases.Sub(a.m.now))}
	a.results = nil
	for _, n := range slices.SortedFunc(maps.Keys(a.copies), compareTasks) {
		if c := a.copies[n]; a.m.now.Before(c.until) {
			r.Unanswered = append(r.Unanswered, cfwire.JobUnansweredStart{Task: n, Run: c.run, For: c.until.Sub(a.m.now)})
		}
	}
	if a.hasWorker {
		r.Worker = &cfcore.WorkerState{ID: workerID, Service: "dispatch", Born: a.born, Clock: a.workerClock, Capacity: workerCapacity}
		if a.m.faults.hideSameID {
			r.Worker.ID = a.born.String()
		}
		if a.hasLists {
			l := a.lists
			r.Lists, r.UncertainEnd = &l, a.uncertainEnd
		}
	}
	if d := a.m.now.Sub(a.answeredAt); d > unreachableAfter || !a.hasWorker {
		r.Lost = &cfwire.JobWorkerUnreachable{For: d, LeasesExpired: a.leasesExpired()}
	}
	if !a.hasValidGrant() && !a.m.faults.ignoreSilence || r.Lost != nil && r.Lost.LeasesExpired {
		a.startsAfter = r.Seq
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
	until := a.leaseUntil()
	if !a.hasWorker || !s.Born.Equal(a.born) || until == 0 {
		return
	}
	a.inFlight[key] = true
	a.sendStart(modelCall{key: key, token: a.token(), until: until, attempt: 1})
}

func (a *modelAgent) sendStart(c modelCall) {
	w := a.worker
	start := func() cfcore.ExecutorKind {
		a.m.isOrphaned = !c.key.born.Equal(w.born)
		defer func() { a.m.isOrphaned = false }()
		return w.start(c.token, c.key.task, c.key.run, c.until)
	}
	if !a.answers(fmt.Sprintf("start of run %x of %s", c.key.run, taskString(c.key.task)), a.m.scope.lateStarts, func() { start() }) {
		c.dueAt = a.m.now.Add(orderTimeout)
		a.calls = append(a.calls, c)
		return
	}
	refusal := cfcore.ExecutorUnhealthy
	if !a.m.now.Before(a.m.links[a.name].disturbedUntil) || !rapid.Bool().Draw(a.m.t, "unhealthy") {
		refusal = start()
		if refusal == cfcore.ExecutorFenced && c.token.Session() != a.session {
			c.token = cfcore.NewFencingToken(c.token.Epoch(), a.session)
			refusal = start()
		}
	}
	if c.attempt > 1 && refusal != "" && refusal != cfcore.ExecutorStale {
		// The refusal of a retry does not prove that the first attempt had no effect.
		refusal = cfcore.ExecutorOutcomeUnknown
	}
	a.handleOrder(c.key, c.token, refusal)
}

// stopRun sends the worker an order to stop a run.
func (a *modelAgent) stopRun(n cfcore.TaskName, run uint64) {
	c := modelCall{key: modelOrderKey{task: n, run: run, stop: true, born: a.born}, token: a.token()}
	if a.inFlight[c.key] || !a.hasWorker {
		return
	}
	a.inFlight[c.key] = true
	w := a.worker
	stop := func() cfcore.ExecutorKind { return w.stop(c.token, n, run) }
	if !a.answers(fmt.Sprintf("stop of run %x of %s", run, taskString(n)), a.m.scope.lateStops, func() { stop() }) {
		c.dueAt = a.m.now.Add(orderTimeout)
		a.calls = append(a.calls, c)
		return
	}
	a.handleOrder(c.key, c.token, stop())
}

// listsAfter requests the run lists that show the effect of an order.
func (a *modelAgent) listsAfter(token cfcore.FencingToken) (cfcore.RunLists, bool) {
	w := a.worker
	if !a.answers("hold", a.m.scope.lateHolds, func() { _, _ = w.hold(token, 0, 0) }) {
		return cfcore.RunLists{}, false
	}
	l, refusal := w.hold(token, 0, 0)
	return l, refusal == ""
}

// handleOrder handles the outcome of an order.
func (a *modelAgent) handleOrder(key modelOrderKey, token cfcore.FencingToken, refusal cfcore.ExecutorKind) {
	delete(a.inFlight, key)
	needsLists := refusal == cfcore.ExecutorStale || key.stop && refusal == ""
	var l cfcore.RunLists
	var hasLists bool
	if needsLists {
		l, hasLists = a.listsAfter(token)
	}
	if !key.born.Equal(a.born) {
		return
	}
	if hasLists {
		a.applyLists(l, token)
	}
	res := cfwire.JobOrderResult{Task: key.task, Run: key.run}
	faults := &a.m.faults
	switch {
	case key.stop && faults.trustStops && refusal == cfcore.ExecutorOutcomeUnknown:
		res.Refusal = cfcore.ExecutorStale
	case key.stop || refusal == cfcore.ExecutorStale:
		if !hasLists || listed(&l, key) {
			return
		}
		res.Refusal = cfcore.ExecutorStale
	case refusal == "":
		a.startResults[key] = refusal
	case refusal == cfcore.ExecutorOutcomeUnknown && faults.reportUncertain:
		res.Refusal = cfcore.ExecutorRefused
	case refusal == cfcore.ExecutorOutcomeUnknown:
		a.uncertain[key] = true
		return
	case refusal == cfcore.ExecutorFenced:
		return
	case !faults.forgetUncertain && (a.uncertain[key] || a.m.now.Before(a.copies[key.task].until) || a.m.now.Sub(a.startedAt) < cfcore.MaxOrderDelay):
		a.stopRun(key.task, key.run)
		return
	default:
		res.Refusal = refusal
		a.startResults[key] = refusal
	}
	delete(a.uncertain, key)
	a.results = append(a.results, res)
}

// listed reports whether the run of an order is in the run lists.
func listed(l *cfcore.RunLists, key modelOrderKey) bool {
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

package cfdispatch_test

import (
	"testing"
	"time"

	"cranberryford/pkg/cfcore"
)

// Parameters of sessions, as in internal/cfjobagent.
const (
	sessionInterval  = 32 * time.Millisecond
	startSessionLead = 16
	youngSessions    = startSessionLead / 2
	// timeOfDayInterval is that of sessions by the time of day.
	timeOfDayInterval = 256 * time.Millisecond
)

// clockSteps and clockStepsAndTakeovers restart agents, often with their workers, after steps of the time of day
// and calls that failed at once. formerLivesAndLate has late goodbyes, late check-ins and late starts as well.
var (
	clockSteps             = modelScope{slowClocks: true, clockSteps: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, fewTakeovers: true}
	clockStepsAndTakeovers = modelScope{slowClocks: true, clockSteps: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, workerCuts: true}
	formerLivesAndLate     = modelScope{slowClocks: true, clockSteps: true, formerCheckIns: true, lateGoodbyes: true, lateStarts: true, lateStops: true, lateHolds: true, workerRestarts: true, agentRestarts: true, fewTakeovers: true}
)

// modelSessions follows the rules of fence in internal/cfjobagent.
type modelSessions struct {
	first, raise, raised uint64
	hasEnded             bool
	// step is the step of the machine's time of day.
	step time.Duration
}

func (a *modelAgent) sessionInterval() time.Duration {
	if a.m.faults.timeOfDaySessions {
		return timeOfDayInterval
	}
	return sessionInterval
}

// startSessions draws a step of the time of day, and begins the first session of an instance.
func (a *modelAgent) startSessions() {
	if !a.m.scope.clockSteps {
		return
	}
	a.sessions.step = (time.Duration(a.m.uniform(6, "step")) - 32) * modelTick
	clock := a.m.now.Sub(epochStart) + time.Hour
	if a.m.faults.timeOfDaySessions {
		clock += a.sessions.step
	}
	a.session = uint64(clock/a.sessionInterval()) + startSessionLead
	a.sessions.first = a.session
	a.m.tracef("%s begins in session %d, the time of day is off by %s", a.name, a.session, a.sessions.step)
}

// beginSession begins the next session if one has ended, and reports whether orders can be sent.
func (a *modelAgent) beginSession() bool {
	s := &a.sessions
	if !s.hasEnded {
		return true
	}
	elapsed := uint64(a.m.now.Sub(a.startedAt) / a.sessionInterval())
	if a.session >= s.first+max(elapsed-min(elapsed, 1), youngSessions) {
		return false
	}
	a.session, s.hasEnded = max(a.session+1, s.first+elapsed-min(elapsed, startSessionLead)), false
	return true
}

// handleFenced raises the session if the worker has refused it.
func (a *modelAgent) handleFenced(t cfcore.FencingToken, refusal cfcore.ExecutorKind) {
	if !a.m.scope.clockSteps || refusal != cfcore.ExecutorFenced || t.Session() != a.session || t.Epoch() < a.epoch {
		return
	}
	s := &a.sessions
	s.raise = min(max(1, 2*s.raise), 1<<20)
	a.session, s.first, s.raised = a.session+s.raise, s.first+s.raise, s.raised+s.raise
	a.m.tracef("%s: orders are refused, session %d follows", a.name, a.session)
}

// observeEpoch takes the increases of an earlier epoch back.
func (a *modelAgent) observeEpoch() {
	s := &a.sessions
	a.session, s.first, s.raise, s.raised = a.session-s.raised, s.first-s.raised, 0, 0
}

// failAtOnce lets further calls for the run lists fail within the tick.
func (a *modelAgent) failAtOnce(until time.Duration) {
	if !a.m.scope.clockSteps || !a.m.oneIn(1, "fail at once") {
		return
	}
	for range a.m.uniform(4, "calls") {
		a.endSession(a.holdToken)
		if !a.beginSession() {
			return
		}
		token, w, born := a.token(), a.worker, a.born
		a.holdToken = token
		a.loseCall("hold", a.m.scope.lateHolds, func() { _, _ = w.hold(born, token, until, 0) })
	}
}

// withholdCall handles that a call for the run lists cannot be sent in any session yet.
func (a *modelAgent) withholdCall() bool {
	if a.beginSession() {
		return false
	}
	a.holdFailed, a.holdToken, a.holdDueAt = true, 0, time.Time{}
	return true
}

func TestModelWithClockSteps(t *testing.T) { checkModel(t, clockSteps) }

func TestModelWithClockStepsAndTakeovers(t *testing.T) { checkModel(t, clockStepsAndTakeovers) }

func TestModelWithFormerLivesAndLateOrders(t *testing.T) { checkModel(t, formerLivesAndLate) }

func TestModelWithRestartsAndLateStarts(t *testing.T) { checkModel(t, restartsAndLateStarts) }

func TestModelWithAllDisruptionsAndLateReports(t *testing.T) { checkModel(t, allWithLateReports) }

package cfjobagent

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"cranberryford/pkg/cfclock"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
)

const (
	// sessionInterval is the time that one session number stands for. An agent starts
	// startSessionLead ahead of the number of the present time, and later stays below that lead.
	// The number is therefore higher than those of its earlier incarnations, unless the agent was
	// restarted within youngSessions intervals (0.26 s).
	sessionInterval  = 32 * time.Millisecond
	startSessionLead = 16
	// youngSessions is how many sessions can begin while the agent is still that far ahead.
	youngSessions = startSessionLead / 2
	// firstBootSession is the number of the session at the boot of the machine. Agents that number
	// their sessions by the time of day, in intervals of 256 ms, stay below it.
	firstBootSession = 1 << 33
	// maxSessionLead bounds how far session numbers are ahead of the present time. After a reboot of its
	// machine, an agent catches up with the sessions of its former instance.
	maxSessionLead = 1 << 32
	// orderAttempts bounds the number of attempts of one order.
	orderAttempts = 2
)

// fence issues the fencing tokens of orders. A worker can execute an unanswered order much
// later, even after a restart with the same ID, which resets the worker's token. A new
// session therefore begins after each unanswered order. Once the worker has answered an
// order of the new session, it refuses the orders of all earlier ones. If sessions begin faster
// than time passes, orders are withheld.
//
// Sessions are numbered by the boot clock: the time of day can be set back between two incarnations
// of the agent.
type fence struct {
	clock cfclock.BootClock
	mu    sync.Mutex
	// session is the number of the current session. raise is the last step by which
	// handleRefusal increased it; 0 if the worker has not refused the session's orders.
	session uint64
	raise   uint64
	// epoch is the newest epoch of an order. raised is how much refusals in this epoch have increased the
	// session: a worker that follows a newer epoch refuses all sessions.
	epoch  cfcore.Epoch
	raised uint64
	// hasEnded is set if the session has ended and the next one cannot begin yet.
	hasEnded bool
	// first is the first session, which began at startedAt. It rises by the steps of handleRefusal.
	first     uint64
	startedAt time.Duration
	// incarnation counts the incarnations of the worker that the agent has seen.
	incarnation uint64
	answered    answeredCalls
}

func newFence(clock cfclock.BootClock) *fence {
	now := clock.Now()
	first := sessionAt(now) + startSessionLead
	return &fence{clock: clock, session: first, first: first, startedAt: now}
}

// sessionAt returns the number of a session that begins at a time on the boot clock.
func sessionAt(t time.Duration) uint64 { return firstBootSession + uint64(t/sessionInterval) }

// token returns the token for an order in an epoch.
func (f *fence) token(epoch cfcore.Epoch) cfcore.FencingToken {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEpoch(epoch)
	return cfcore.NewFencingToken(epoch, f.session)
}

// observeEpoch takes the increases of earlier epochs back in a newer one, whose tokens are higher anyway.
func (f *fence) observeEpoch(epoch cfcore.Epoch) {
	if epoch <= f.epoch {
		return
	}
	f.epoch, f.session, f.first = epoch, f.session-f.raised, f.first-f.raised
	f.raise, f.raised = 0, 0
}

// raiseAbove lets the sessions continue above those of the agent's former instances, which end below floor. The boot
// clock, which they are numbered by, begins anew when the machine has lost power.
func (f *fence) raiseAbove(floor uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if floor > f.session {
		f.first += floor - f.session
		f.session = floor
	}
}

// currentSession returns the number of the current session.
func (f *fence) currentSession() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.session
}

// endSession begins a new session unless the session of t has already ended.
func (f *fence) endSession(t cfcore.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Session() == f.session && t.Epoch() >= f.epoch {
		f.hasEnded = true
		f.beginSession()
	}
}

// beginSession begins the next session if the session has ended, and reports whether orders can be
// sent.
func (f *fence) beginSession() bool {
	if !f.hasEnded {
		return true
	}
	elapsed := uint64((f.clock.Now() - f.startedAt) / sessionInterval)
	if f.session >= f.first+max(elapsed-min(elapsed, 1), youngSessions) {
		return false
	}
	f.session, f.hasEnded = max(f.session+1, f.first+elapsed-min(elapsed, startSessionLead)), false
	return true
}

// currentIncarnation returns the number of the worker's incarnation.
func (f *fence) currentIncarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation
}

// beginIncarnation begins another incarnation of the worker, in a new session.
func (f *fence) beginIncarnation() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation++
	f.answered.hasFailed = false
	f.hasEnded = true
	f.beginSession()
}

// tokenFor returns the token for an order to an incarnation. It reports false if the worker has
// another incarnation since, or if the next session cannot begin yet.
func (f *fence) tokenFor(incarnation uint64, epoch cfcore.Epoch) (cfcore.FencingToken, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEpoch(epoch)
	canSend := f.incarnation == incarnation && f.beginSession()
	return cfcore.NewFencingToken(epoch, f.session), canSend
}

// isCurrent reports whether t belongs to the current session and the newest epoch.
func (f *fence) isCurrent(t cfcore.FencingToken) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.Session() == f.session && t.Epoch() >= f.epoch && !f.hasEnded
}

// handleRefusal handles that the worker has refused t as too low. If t belongs to the current
// session, an earlier incarnation of this agent used a higher session number. The steps by which the number rises double, up to
// maxSessionLead ahead of the present time. They never reach a newer epoch.
func (f *fence) handleRefusal(t cfcore.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Session() != f.session || t.Epoch() < f.epoch {
		return
	}
	f.raise = max(1, 2*f.raise)
	before := f.session
	f.session = max(f.session, min(f.session+f.raise, sessionAt(f.clock.Now())+maxSessionLead))
	f.first += f.session - before
	f.raised += f.session - before
}

// handleAnswer handles that the worker has accepted t.
func (f *fence) handleAnswer(t cfcore.FencingToken) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Session() == f.session {
		f.raise = 0
	}
}

// send calls attempt with the fields of an order, up to orderAttempts times. It repeats an
// order that the worker refused because a newer session has begun meanwhile, and a start
// that got no answer if mayRepeat allows it; mayRepeat is nil for other orders. It makes no attempt once the worker has
// another incarnation than the given one, or before the next session can begin, nor to start a run after a failed
// call (see answeredCalls). send returns the token of the last attempt and its
// error. A refused connection has delivered nothing and ends no session. After an unanswered
// attempt, only a success, cfcore.ExecutorStale or cfcore.ExecutorRestarted replaces that attempt's error:
// another refusal does not prove that the attempt had no effect.
func (f *fence) send(worker string, incarnation uint64, epoch cfcore.Epoch, mayRepeat func() bool, attempt func(cfcore.Order) error) (cfcore.FencingToken, error) {
	var unanswered error
	for n := 1; ; n++ {
		token, ok := f.tokenFor(incarnation, epoch)
		if !ok || mayRepeat != nil && f.hasFailedCall() {
			return token, firstError(unanswered, cferror.New("send order", cfcore.ExecutorOutcomeUnknown, "worker %s has restarted, or orders got no answer", worker))
		}
		o := cfcore.Order{Worker: worker, Token: token}
		err := attempt(o)
		switch {
		case err == nil, cferror.Is(err, cfcore.ExecutorStale):
			f.handleAnswer(o.Token)
			return o.Token, err
		case cferror.Is(err, cfcore.ExecutorRestarted):
			return o.Token, err
		case cferror.Is(err, cfcore.ExecutorOutcomeUnknown):
			if !errors.Is(err, syscall.ECONNREFUSED) {
				f.endSession(o.Token)
			}
			f.recordFailure(incarnation)
			unanswered = err
			if mayRepeat != nil && n < orderAttempts && mayRepeat() {
				continue
			}
		case cferror.Is(err, cfcore.ExecutorFenced):
			f.handleRefusal(o.Token)
			if n < orderAttempts {
				continue
			}
		}
		return o.Token, firstError(unanswered, err)
	}
}

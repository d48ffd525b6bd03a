package cfjobagent

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// fencingWorker refuses orders as a worker does, and remembers the tokens of all orders.
type fencingWorker struct {
	newest cfcore.FencingToken
	tokens []cfcore.FencingToken
	// errs are the errors of the next orders.
	errs []error
}

func (w *fencingWorker) execute(o cfcore.Order) error {
	w.tokens = append(w.tokens, o.Token)
	if len(w.errs) > 0 {
		err := w.errs[0]
		w.errs = w.errs[1:]
		return err
	}
	if o.Token < w.newest {
		return cferror.New("order", cfcore.ExecutorFenced, "refused")
	}
	w.newest = o.Token
	return nil
}

var (
	errUnanswered = cferror.New("order", cfcore.ExecutorOutcomeUnknown, "no answer")
	errNoCapacity = cferror.New("order", cfcore.ExecutorNoCapacity, "no capacity")
	errStale      = cferror.New("order", cfcore.ExecutorStale, "not newer")
	errRestarted  = cferror.New("order", cfcore.ExecutorRestarted, "clock is behind")
)

func newBootClock() *fakeBootClock {
	clock := fakeBootClock(time.Hour)
	return &clock
}

func TestTokensOfANewerEpochAreHigher(t *testing.T) {
	g := NewWithT(t)
	last := cfcore.NewFencingToken(7, cfcore.MaxSession)
	g.Expect(cfcore.NewFencingToken(8, 0)).To(BeNumerically(">", last))
	g.Expect(cfcore.NewFencingToken(7, cfcore.MaxSession+1)).To(Equal(last))
	g.Expect(last.Epoch()).To(BeEquivalentTo(7))
	g.Expect(last.Session()).To(BeEquivalentTo(cfcore.MaxSession))
}

// A worker can execute an unanswered order late. It must refuse the order once it has
// answered a later one.
func TestOrderAfterAnUnansweredOneHasAHigherToken(t *testing.T) {
	for name, c := range map[string]struct {
		errs            []error
		retryUnanswered bool
		attempts        int
		kind            cfcore.ExecutorKind
	}{
		"not repeated":                          {errs: []error{errUnanswered}, attempts: 1, kind: cfcore.ExecutorOutcomeUnknown},
		"repeated with success":                 {errs: []error{errUnanswered}, retryUnanswered: true, attempts: 2},
		"repeated, then refused":                {errs: []error{errUnanswered, errNoCapacity}, retryUnanswered: true, attempts: 2, kind: cfcore.ExecutorOutcomeUnknown},
		"repeated, then refused as not newer":   {errs: []error{errUnanswered, errStale}, retryUnanswered: true, attempts: 2, kind: cfcore.ExecutorStale},
		"repeated, then answered by another":    {errs: []error{errUnanswered, errRestarted}, retryUnanswered: true, attempts: 2, kind: cfcore.ExecutorRestarted},
		"repeated, then unanswered once more":   {errs: []error{errUnanswered, errUnanswered}, retryUnanswered: true, attempts: 2, kind: cfcore.ExecutorOutcomeUnknown},
		"refused without an unanswered attempt": {errs: []error{errNoCapacity}, retryUnanswered: true, attempts: 1, kind: cfcore.ExecutorNoCapacity},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, w := newFence(newBootClock()), &fencingWorker{errs: c.errs}
			var mayRepeat func() bool
			if c.retryUnanswered {
				mayRepeat = func() bool { f.recordLists(0, f.failureCount(), true); return true }
			}
			_, err := f.send("w", 0, 1, mayRepeat, w.execute)
			if c.kind == "" {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(cferror.Is(err, c.kind)).To(BeTrue(), "%v", err)
			}
			g.Expect(w.tokens).To(HaveLen(c.attempts))
			if cferror.Is(c.errs[0], cfcore.ExecutorOutcomeUnknown) {
				late := w.tokens[0]
				_, err = f.send("w", 0, 1, nil, w.execute)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(cferror.Is(w.execute(cfcore.Order{Token: late}), cfcore.ExecutorFenced)).To(BeTrue())
			}
		})
	}
}

func TestOrderRefusedBecauseOfANewSessionIsRepeated(t *testing.T) {
	g := NewWithT(t)
	f, w := newFence(newBootClock()), &fencingWorker{}
	_, err := f.send("w", 0, 1, func() bool { return true }, func(o cfcore.Order) error {
		if len(w.tokens) == 0 {
			// Another order begins a new session while this one is in flight.
			f.endSession(o.Token)
			w.newest = f.token(1)
		}
		return w.execute(o)
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w.tokens).To(HaveLen(2))
}

// An earlier incarnation of the agent used a higher session number.
func TestAgentCatchesUpWithSessionOfItsEarlierIncarnation(t *testing.T) {
	g := NewWithT(t)
	clock := newBootClock()
	f := newFence(clock)
	w := &fencingWorker{newest: cfcore.NewFencingToken(1, sessionAt(clock.Now()+time.Hour))}
	g.Eventually(func() error { _, err := f.send("w", 0, 1, nil, w.execute); return err }).Should(Succeed())
	g.Expect(len(w.tokens)).To(BeNumerically("<", 30))
	newer := &fencingWorker{newest: cfcore.NewFencingToken(2, 0)}
	for range 100 {
		_, err := f.send("w", 0, 1, nil, newer.execute)
		g.Expect(cferror.Is(err, cfcore.ExecutorFenced)).To(BeTrue(), "the worker follows a newer planner")
	}
	g.Expect(f.token(1).Session()).To(BeNumerically("<=", sessionAt(clock.Now())+maxSessionLead))
}

// Calls whose connections are reset fail at once. Their sessions ran ahead of the time, and the next
// incarnation of the agent started below them: a worker that had restarted then executed late starts.
func TestSessionsStayBelowThoseOfTheNextIncarnationOfTheAgent(t *testing.T) {
	g := NewWithT(t)
	clock := newBootClock()
	f := newFence(clock)
	*clock += fakeBootClock((startSessionLead + 1) * sessionInterval)
	reset := cferror.Wrap("hold", cfcore.ExecutorOutcomeUnknown, syscall.ECONNRESET)
	var attempts int
	send := func(result error) error {
		_, err := f.send("w", 0, 1, nil, func(o cfcore.Order) error {
			attempts++
			g.Expect(newFence(clock).token(1)).To(BeNumerically(">", o.Token))
			return result
		})
		return err
	}
	for range 300 {
		before, sent := f.token(1), attempts
		g.Expect(send(reset)).To(HaveOccurred())
		if attempts > sent {
			g.Expect(f.hasEnded || f.token(1) > before).To(BeTrue(), "a call without an answer ends its session")
		}
		*clock += fakeBootClock(failedHoldRetryDelay)
	}
	g.Expect(attempts).To(BeNumerically(">", 10), "calls go on")
	*clock += fakeBootClock(sessionInterval)
	g.Expect(send(nil)).To(Succeed())
}

// An agent that was restarted twice within 2 s began below the sessions of the calls that had failed meanwhile.
func TestSessionsOfAYoungAgentStayBelowThoseOfTheNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	clock := newBootClock()
	f := newFence(clock)
	var last cfcore.FencingToken
	for range 200 {
		*clock += fakeBootClock(10 * time.Millisecond)
		_, _ = f.send("w", 0, 1, nil, func(o cfcore.Order) error { last = o.Token; return errUnanswered })
		if age := clock.Now() - f.startedAt; age > (youngSessions+1)*sessionInterval {
			g.Expect(newFence(clock).token(1)).To(BeNumerically(">", last), "after %s", age)
		}
	}
}

// Otherwise late orders of the ended session would be executed after the answer.
func TestListsOfAnEndedSessionAreNotCurrent(t *testing.T) {
	g := NewWithT(t)
	clock := newBootClock()
	f := newFence(clock)
	for range 2 * startSessionLead {
		f.endSession(f.token(1))
	}
	g.Expect(f.hasEnded).To(BeTrue())
	g.Expect(f.isCurrent(f.token(1))).To(BeFalse())
	token, ok := f.tokenFor(0, 1)
	g.Expect(ok).To(BeFalse(), "no order before the next session")
	*clock += fakeBootClock(startSessionLead * sessionInterval)
	next, ok := f.tokenFor(0, 1)
	g.Expect(ok).To(BeTrue())
	g.Expect(next).To(BeNumerically(">", token))
	g.Expect(f.isCurrent(next)).To(BeTrue())
}

func TestRefusedConnectionEndsNoSession(t *testing.T) {
	g := NewWithT(t)
	f := newFence(newBootClock())
	before := f.token(1)
	for range 100 {
		_, err := f.send("w", 0, 1, nil, func(cfcore.Order) error { return errRefused })
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
	}
	g.Expect(f.token(1)).To(Equal(before))
	_, err := f.send("w", 0, 1, nil, func(cfcore.Order) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
}

// After a failed call the worker has possibly restarted with the same ID. Its ends are then
// numbered anew. Soon after an unanswered call, and long after an answered one, the next one possibly
// gets no answer either.
func TestCallAfterAFailedOneAcknowledgesNoEnds(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock = &clock
	a.handleHeartbeat(workerState(born))
	a.lastRecorded = 57
	w.holds = make(chan cfcore.HoldOptions, 1)
	a.handleHoldReturned(holdReturned{incarnation: a.fence.currentIncarnation(), worker: "w", err: errUnanswered})
	a.nextHoldAt = 0
	a.requestRunLists(t.Context())
	g.Expect((<-w.holds).LastSeen).To(BeZero())
	a.handleEvent(t.Context(), <-a.events)
	a.requestRunLists(t.Context())
	g.Expect((<-w.holds).LastSeen).To(BeZero())
	a.handleEvent(t.Context(), <-a.events)
	clock += fakeBootClock(ackDelay)
	for range callsBeforeAck {
		a.requestRunLists(t.Context())
		g.Expect((<-w.holds).LastSeen).To(BeZero())
		a.handleEvent(t.Context(), <-a.events)
	}
	a.requestRunLists(t.Context())
	g.Expect((<-w.holds).LastSeen).To(BeEquivalentTo(57))
}

// Until the worker has answered a call of the current session, it can execute late starts
// that its run lists do not contain.
func TestFirstRunListsComeFromTheCurrentSession(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	before := a.fence.token(a.epoch)
	a.handleHeartbeat(workerState(born.Add(time.Minute)))
	lists := cfcore.RunLists{Born: born.Add(time.Minute), Clock: time.Second}
	a.applyLists(lists, before)
	g.Expect(a.hasLists).To(BeFalse())
	a.applyLists(lists, a.fence.token(a.epoch))
	g.Expect(a.hasLists).To(BeTrue())
}

// The planner learns from the clock that the worker has just started.
func TestRestartSeenInRunListsResetsTheReportedClock(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	a.applyLists(cfcore.RunLists{Born: born.Add(time.Minute), Clock: time.Second}, a.fence.token(a.epoch))
	g.Expect(a.takeReport().Worker.Clock).To(Equal(time.Second))
}

// A call for a worker that has been replaced meanwhile says nothing about the new worker.
func TestAnswerForAReplacedWorkerDoesNotEndTheNewOne(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	next := workerState(born.Add(time.Minute))
	next.ID = "w2"
	a.handleHeartbeat(next)
	a.handleHoldReturned(holdReturned{incarnation: a.fence.currentIncarnation(), worker: "w", err: cferror.New("hold", cfcore.ExecutorOtherIncarnation, "refused")})
	g.Expect(a.hasLeft).To(BeFalse())
}

// The leases possibly expired between an end and its listing, unless answered calls extended
// them without a gap.
func TestEndsListedAfterTheLeasesAreUncertain(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	list := func(clock, until time.Duration, ends ...uint64) uint64 {
		l := cfcore.RunLists{Born: born, Clock: clock}
		for _, n := range ends {
			l.Ended = append(l.Ended, cfcore.EndedTask{Number: n})
		}
		a.handleHoldReturned(holdReturned{incarnation: a.fence.currentIncarnation(), worker: "w", token: a.fence.token(a.epoch), lists: l, until: until})
		return a.takeReport().UncertainEnd
	}
	g.Expect(list(10*time.Second, 15*time.Second, 1)).To(BeEquivalentTo(1), "a restarted agent knows no leases")
	g.Expect(list(11*time.Second, 16*time.Second, 1, 2)).To(BeEquivalentTo(1))
	g.Expect(list(12*time.Second, 0, 1, 2, 3)).To(BeEquivalentTo(1))
	g.Expect(list(16*time.Second, 21*time.Second, 1, 2, 3)).To(BeEquivalentTo(3), "the leases had expired since the ends were listed")
	g.Expect(list(21*time.Second, 26*time.Second, 1, 2, 3, 4)).To(BeEquivalentTo(4), "the leases had expired")
	g.Expect(list(22*time.Second, 27*time.Second, 1, 2, 3, 4, 5)).To(BeEquivalentTo(4))
}

// The boot clock begins anew, and no newer planner may come for a long time.
func TestAgentCatchesUpAfterARebootOfItsMachine(t *testing.T) {
	g := NewWithT(t)
	clock := newBootClock()
	w := &fencingWorker{newest: cfcore.NewFencingToken(1, sessionAt(clock.Now()+365*24*time.Hour))}
	f := newFence(clock)
	for range 50 {
		if _, err := f.send("w", 0, 1, nil, w.execute); err == nil {
			break
		}
	}
	_, err := f.send("w", 0, 1, nil, w.execute)
	g.Expect(err).NotTo(HaveOccurred())
}

// The boot clock can begin anew below that of the machine's former boot. The planner passes on what it has heard of.
func TestSessionsRiseAcrossARebootOfTheMachine(t *testing.T) {
	for name, former := range map[string]time.Duration{"the machine was up for a minute": time.Minute, "a day": 24 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			before, after := fakeBootClock(former), fakeBootClock(10*time.Second)
			last := newFence(&before)
			reported := last.currentSession()
			for range 1000 {
				before += fakeBootClock(30 * time.Millisecond)
				last.endSession(last.token(1))
			}
			next, _ := newTestControl()
			next.fence = newFence(&after)
			next.handleMessage(t.Context(), &link{}, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: 1, SessionFloor: reported + cfwire.SessionMargin}})
			g.Expect(next.fence.token(1)).To(BeNumerically(">", last.token(1)), "of calls that failed for 30 s after the last report")
			token := next.fence.token(1)
			after += fakeBootClock(time.Second)
			next.fence.endSession(token)
			g.Expect(next.fence.token(1)).To(BeNumerically(">", token))
		})
	}
}

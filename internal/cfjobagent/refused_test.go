package cfjobagent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// newUnansweredControl returns an agent whose first attempt of a start got no answer. The worker refuses all later ones.
func newUnansweredControl(t *testing.T, s cfwire.JobStart, refusal cfcore.ExecutorKind) (*control, *worker, *fakeBootClock) {
	a, w, clock := newStartingControl()
	a.startedAt = a.bootClock.Now() - time.Minute
	w.refusal = cfcore.ExecutorOutcomeUnknown
	w.beforeStart = func() {
		if w.starts > 1 {
			w.refusal = refusal
		}
	}
	a.startRun(t.Context(), s)
	a.handleEvents(t, 3)
	NewWithT(t).Expect(w.starts).To(Equal(2))
	return a, w, clock
}

// A worker refuses a run that was stopped there, so that the planner needs a second number, while the next incarnation
// executes the first attempt.
func TestRefusedRepetitionOfAnUnansweredStartIsNotStopped(t *testing.T) {
	for _, kind := range []cfcore.ExecutorKind{cfcore.ExecutorNoCapacity, cfcore.ExecutorLeaseExpired, cfcore.ExecutorUnhealthy} {
		t.Run(string(kind), func(t *testing.T) {
			g := NewWithT(t)
			a, w, _ := newUnansweredControl(t, startOfJ, kind)
			for range 2 {
				a.startRun(t.Context(), startOfJ)
				a.handleEvents(t, 1)
				g.Consistently(w.stopped, "20ms").ShouldNot(Receive())
				r := a.takeReport()
				g.Expect(r.Results).To(BeEmpty(), "the planner repeats the order")
				g.Expect(r.Unanswered).To(HaveLen(1))
			}
			w.beforeStart, w.refusal = nil, ""
			a.startRun(t.Context(), startOfJ)
			a.handleEvents(t, 1)
			g.Expect(w.started).To(Receive(HaveField("Run", startOfJ.Run)))
			g.Expect(a.takeReport().Results).To(Equal([]cfwire.JobOrderResult{{Task: startOfJ.Task, Run: startOfJ.Run}}))
		})
	}
}

// The first attempt was sent to the former incarnation, and another one can follow.
func TestStartThatTheNextIncarnationRefusesIsRepeated(t *testing.T) {
	g := NewWithT(t)
	a, w, _ := newUnansweredControl(t, startOfJ, cfcore.ExecutorNoCapacity)
	next := born.Add(time.Minute)
	a.handleHeartbeat(workerState(next))
	a.answeredID, a.answeredBorn, a.grantedAt, a.hasGrant = "w", next, a.bootClock.Now(), true
	s := startOfJ
	s.Born = next
	a.startRun(t.Context(), s)
	a.handleEvents(t, 1)
	g.Expect(w.starts).To(Equal(3))
	g.Consistently(w.stopped, "20ms").ShouldNot(Receive())
	g.Expect(a.takeReport().Results).To(BeEmpty())
	w.beforeStart, w.refusal = nil, ""
	a.startRun(t.Context(), s)
	a.handleEvents(t, 1)
	g.Expect(w.started).To(Receive(HaveField("Run", startOfJ.Run)))
}

// No incarnation executes the first attempt any more, and the planner can start the task elsewhere.
func TestRefusedStartIsStoppedOnceItsFirstAttemptIsOver(t *testing.T) {
	g := NewWithT(t)
	a, w, clock := newUnansweredControl(t, startOfJ, cfcore.ExecutorNoCapacity)
	*clock += fakeBootClock(cfcore.MaxOrderDelay)
	a.grantedAt, a.answeredAt, a.workerClockAt = a.bootClock.Now(), a.bootClock.Now(), a.bootClock.Now()
	a.handleHoldReturned(holdReturned{
		worker: "w", incarnation: a.fence.currentIncarnation(), token: a.fence.token(a.epoch), sentAt: a.bootClock.Now(),
		lists: cfcore.RunLists{Born: born, Clock: 2 * time.Hour},
	})
	g.Expect(a.takeReport().Unanswered).To(BeEmpty())
	a.startRun(t.Context(), startOfJ)
	a.handleEvents(t, 2)
	g.Expect(w.stopped).To(Receive(Equal(startOfJ.Run)))
	g.Expect(a.takeReport().Results).To(Equal([]cfwire.JobOrderResult{{Task: startOfJ.Task, Run: startOfJ.Run, Refusal: cfcore.ExecutorStale}}))
}

// A task that lasts must run again within 7 s, on another worker if this one is full, and a start with another ticket is
// another order.
func TestRefusedRepetitionIsStoppedIfTheTaskCannotWait(t *testing.T) {
	lasting := startOfJ
	lasting.LongRunning = true
	for name, c := range map[string]struct {
		start cfwire.JobStart
		kind  cfcore.ExecutorKind
	}{
		"a task that lasts": {lasting, cfcore.ExecutorNoCapacity},
		"no valid ticket":   {startOfJ, cfcore.ExecutorNoTicket},
		"another refusal":   {startOfJ, cfcore.ExecutorRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, w, _ := newUnansweredControl(t, c.start, c.kind)
			a.startRun(t.Context(), c.start)
			a.handleEvents(t, 2)
			g.Expect(w.stopped).To(Receive(Equal(c.start.Run)))
			g.Expect(a.takeReport().Results).To(Equal([]cfwire.JobOrderResult{{Task: c.start.Task, Run: c.start.Run, Refusal: cfcore.ExecutorStale}}))
		})
	}
}

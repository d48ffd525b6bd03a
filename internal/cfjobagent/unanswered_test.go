package cfjobagent

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// The next incarnation of a worker executes the unanswered starts of the previous one until its agent
// has reached it, which a planner must know.
func TestReportsNameUnansweredStarts(t *testing.T) {
	g := NewWithT(t)
	a, w := newTestControl()
	clock := fakeBootClock(time.Hour)
	a.bootClock, a.grantedAt, a.answeredAt, a.leaseFrom = &clock, time.Hour, time.Hour, time.Hour
	a.worker, a.hasWorker, a.workerClock, a.workerClockAt = workerState(born), true, time.Minute, time.Hour
	w.refusal = cfcore.ExecutorOutcomeUnknown
	a.startRun(t.Context(), cfwire.JobStart{Worker: "w", Born: born, Task: cfcore.TaskName{Job: "j"}, Run: 7})
	for range orderAttempts + 1 {
		var ev event
		g.Eventually(a.events).Should(Receive(&ev))
		a.handleEvent(t.Context(), ev)
	}
	g.Expect(a.reportAll).To(BeTrue())
	start := func(left time.Duration) []cfwire.JobUnansweredStart {
		return []cfwire.JobUnansweredStart{{Task: cfcore.TaskName{Job: "j"}, Run: 7, For: left}}
	}
	g.Expect(a.takeReport().Unanswered).To(Equal(start(cfcore.MaxOrderDelay)))
	clock += fakeBootClock(5 * time.Second)
	a.handleHeartbeat(workerState(born.Add(time.Minute)))
	g.Expect(a.takeReport().Unanswered).To(Equal(start(cfcore.MaxOrderDelay - 5*time.Second)))
	clock += fakeBootClock(cfcore.MaxOrderDelay)
	g.Expect(a.takeReport().Unanswered).To(BeEmpty())
}

// A worker with another ID refuses the orders for the previous one.
func TestUnansweredStartsOfAnotherIDAreForgotten(t *testing.T) {
	g := NewWithT(t)
	a, _ := newTestControl()
	a.handleHeartbeat(workerState(born))
	start := startUnanswered{worker: "w", task: cfcore.TaskName{Job: "j"}, run: 7, at: a.bootClock.Now()}
	a.handleStartUnanswered(start)
	g.Expect(a.takeReport().Unanswered).To(HaveLen(1))
	s := workerState(born.Add(time.Minute))
	s.ID = "x"
	a.handleHeartbeat(s)
	a.handleStartUnanswered(start)
	g.Expect(a.takeReport().Unanswered).To(BeEmpty())
}

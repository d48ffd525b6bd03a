package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// advisedFleet is a fleet whose queue asks a policy service.
type advisedFleet struct {
	*fleet
	// allowed are the workers that the service lets run any step.
	allowed map[string]bool
	// asked counts how often each worker was named.
	asked map[string]int
}

func newAdvisedFleet(t *testing.T, allowed ...string) *advisedFleet {
	f := &advisedFleet{fleet: newFleet(t, newPlanner(), "a", "b", "c"), allowed: map[string]bool{}, asked: map[string]int{}}
	for _, w := range allowed {
		f.allowed[w] = true
	}
	return f
}

func (f *advisedFleet) add(id string, steps ...cfjob.Step) {
	q := queue
	q.Advice = &cfjob.Advice{Decision: 20 * time.Millisecond, Interval: 5 * time.Millisecond, Validity: 4 * time.Second}
	f.AddJob(f.now, &cfjob.Entry{Job: &cfjob.Job{ID: id, Queue: q, Steps: steps, Accepted: f.now}}, q, false)
}

// ask lets the service answer one question, and returns the step it was about.
func (f *advisedFleet) ask() *cfcore.StepName {
	ask := f.NextAdvice(f.now)
	if ask == nil {
		return nil
	}
	f.Expect(ask.Wait).To(Equal(20*time.Millisecond + time.Duration(len(ask.Workers))*5*time.Millisecond))
	tickets := map[string]string{}
	for _, w := range ask.Workers {
		f.asked[w]++
		if f.allowed[w] {
			tickets[w] = "ticket-" + w
		}
	}
	f.Advised(f.now, ask, tickets)
	return &ask.Step
}

// wait lets time pass in which agents go on reporting.
func (f *advisedFleet) wait(d time.Duration) {
	f.now = f.now.Add(d)
	f.report()
}

func TestStepsStartOnlyWithTickets(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", step(3, 1000))
	f.Expect(f.step()).To(BeEmpty())
	f.Expect(f.ask()).To(Equal(&cfcore.StepName{Job: "j"}))
	f.Expect(f.step()).To(ConsistOf("j.0@b", "j.0@b", "j.0@b"))
	for _, s := range f.workers["b"].runs {
		f.Expect(s.Ticket).To(Equal("ticket-w-b"))
	}
	f.Expect(f.ask()).To(BeNil(), "nothing more to start")
}

func TestWorkersThatMayNotRunAStepAreAskedOnce(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", step(9, 1000))
	f.ask()
	f.Expect(f.step()).To(HaveLen(4), "as many as b has room for")
	f.Expect(f.ask()).To(BeNil())
	f.wait(5 * time.Second)
	f.end("j", cfcore.EndDone)
	f.Expect(f.ask()).NotTo(BeNil(), "the ticket has run out")
	f.Expect(f.step()).To(HaveLen(4))
	f.Expect(f.asked).To(Equal(map[string]int{"w-a": 1, "w-b": 2, "w-c": 1}))
}

func TestTicketsAreAskedForAhead(t *testing.T) {
	f := newAdvisedFleet(t, "w-a", "w-b", "w-c")
	second := step(2, 1000)
	second.After = []int{0}
	f.add("j", step(2, 1000), second)
	f.ask()
	f.Expect(f.step()).To(HaveLen(2))
	f.Expect(f.ask()).To(Equal(&cfcore.StepName{Job: "j", Step: 1}), "while the first step runs")
	f.Expect(f.ask()).To(BeNil())
	f.end("j", cfcore.EndDone)
	f.Expect(f.step()).To(HaveLen(2))
}

func TestTicketsAreForOneLifeOfAWorker(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", step(1, 1000))
	f.ask()
	f.workers["b"].state.Born = epochStart.Add(time.Second)
	f.wait(100 * time.Millisecond)
	f.Expect(f.step()).To(BeEmpty())
	f.Expect(f.ask()).NotTo(BeNil())
	f.Expect(f.step()).To(ConsistOf("j.0@b"))
}

func TestRefusedTicketsAreAskedForAgain(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", step(1, 1000))
	f.ask()
	f.Expect(f.step()).To(HaveLen(1))
	for k, s := range f.workers["b"].runs {
		delete(f.workers["b"].runs, k)
		f.Report(f.now, "b", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorTicket}}})
	}
	f.Expect(f.step()).To(BeEmpty())
	f.Expect(f.ask()).NotTo(BeNil())
	f.Expect(f.step()).To(ConsistOf("j.0@b"))
}

package cfdispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// advisedFleet is a fleet whose queue requires tickets from a policy service.
type advisedFleet struct {
	*fleet
	// allowed are the IDs of the workers for which the service issues tickets.
	allowed map[string]bool
	// queries counts how often each worker was named in a request.
	queries map[string]int
}

func newAdvisedFleet(t *testing.T, allowed ...string) *advisedFleet {
	f := &advisedFleet{fleet: newFleet(t, newPlanner(), "a", "b", "c"), allowed: map[string]bool{}, queries: map[string]int{}}
	for _, w := range allowed {
		f.allowed[w] = true
	}
	return f
}

func (f *advisedFleet) add(id string, steps ...cfjob.Step) {
	q := queue
	q.Advice = &cfjob.Advice{Decision: 20 * time.Millisecond, Interval: 5 * time.Millisecond, Validity: 4 * time.Second}
	f.AddJob(f.now, &cfjob.StoredJob{Job: &cfjob.Job{ID: id, Queue: q, Steps: steps, Accepted: f.now}}, q, false)
}

// answerAdvice answers the planner's next request to the service. It returns the step that
// the request is for, or nil if there is no request.
func (f *advisedFleet) answerAdvice() *cfcore.StepName {
	request := f.NextAdvice(f.now)
	if request == nil {
		return nil
	}
	f.Expect(request.MaxResponseTime).To(Equal(20*time.Millisecond + time.Duration(len(request.Workers))*5*time.Millisecond))
	tickets := map[string]string{}
	for _, w := range request.Workers {
		f.queries[w]++
		if f.allowed[w] {
			tickets[w] = "ticket-" + w
		}
	}
	f.RecordAdvice(f.now, request, tickets)
	return &request.Step
}

// elapse advances the clock and delivers reports of all agents.
func (f *advisedFleet) elapse(d time.Duration) {
	f.now = f.now.Add(d)
	f.report()
}

func TestStepsStartOnlyWithTickets(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", newStep(3, 1000))
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(f.answerAdvice()).To(Equal(&cfcore.StepName{Job: "j"}))
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b", "j.0@b", "j.0@b"))
	for _, s := range f.workers["b"].runs {
		f.Expect(s.Ticket).To(Equal("ticket-w-b"))
	}
	f.Expect(f.answerAdvice()).To(BeNil(), "nothing more to start")
}

func TestDeniedWorkersAreQueriedOnce(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", newStep(9, 1000))
	f.answerAdvice()
	f.Expect(f.runPlanner()).To(HaveLen(4), "as many as b has capacity for")
	f.Expect(f.answerAdvice()).To(BeNil())
	f.elapse(5 * time.Second)
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.answerAdvice()).NotTo(BeNil(), "the ticket has expired")
	f.Expect(f.runPlanner()).To(HaveLen(4))
	f.Expect(f.queries).To(Equal(map[string]int{"w-a": 1, "w-b": 2, "w-c": 1}))
}

func TestTicketsAreRequestedAhead(t *testing.T) {
	f := newAdvisedFleet(t, "w-a", "w-b", "w-c")
	second := newStep(2, 1000)
	second.After = []int{0}
	f.add("j", newStep(2, 1000), second)
	f.answerAdvice()
	f.Expect(f.runPlanner()).To(HaveLen(2))
	f.Expect(f.answerAdvice()).To(Equal(&cfcore.StepName{Job: "j", Step: 1}), "while the first step runs")
	f.Expect(f.answerAdvice()).To(BeNil())
	f.endRuns("j", cfcore.EndDone)
	f.Expect(f.runPlanner()).To(HaveLen(2))
}

func TestTicketsAreBoundToOneIncarnation(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", newStep(1, 1000))
	f.answerAdvice()
	f.workers["b"].state.Born = epochStart.Add(time.Second)
	f.elapse(100 * time.Millisecond)
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(f.answerAdvice()).NotTo(BeNil())
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
}

func TestRefusedTicketsAreRequestedAgain(t *testing.T) {
	f := newAdvisedFleet(t, "w-b")
	f.add("j", newStep(1, 1000))
	f.answerAdvice()
	f.Expect(f.runPlanner()).To(HaveLen(1))
	for k, s := range f.workers["b"].runs {
		delete(f.workers["b"].runs, k)
		f.ApplyReport(f.now, "b", &cfwire.JobReport{Results: []cfwire.JobOrderResult{{Task: s.Task, Run: s.Run, Refusal: cfcore.ExecutorNoTicket}}})
	}
	f.Expect(f.runPlanner()).To(BeEmpty())
	f.Expect(f.answerAdvice()).NotTo(BeNil())
	f.Expect(f.runPlanner()).To(ConsistOf("j.0@b"))
}

package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// Parameters of requests to the policy service. The service decides which workers may run
// a step, and some queues require its permission for every step. The service handles one
// request at a time. The more workers a request names, the longer the service takes.
const (
	// maxAdviceWorkers is the maximum number of workers named in one request. The
	// platform's objective for a job leaves time for one request of this size per step.
	maxAdviceWorkers = 30
	// ticketMargin is the minimum remaining validity of a ticket. The planner does not use a
	// ticket that expires sooner. Part of the ticket's validity passes while the service's
	// response and the start order are delivered.
	ticketMargin = 300 * time.Millisecond
)

// ticket permits one incarnation of a worker to run the tasks of a step. born identifies
// the incarnation.
type ticket struct {
	value     string
	born      time.Time
	expiresAt time.Time
}

// advice holds the decisions of the policy service for a step in one occurrence of a job.
type advice struct {
	// tickets are indexed by worker ID.
	tickets map[string]ticket
	// denied holds the IDs of workers that must not run the step. A denial is final.
	denied map[string]bool
}

// AdviceRequest is a request to the policy service for tickets. Workers are the IDs of the
// workers for which tickets are requested.
type AdviceRequest struct {
	Step    cfcore.StepName
	Workers []string
	// MaxResponseTime is the maximum time from the request to the service's response.
	MaxResponseTime time.Duration
	// born holds the start times of the workers' incarnations when the request was created,
	// by worker ID.
	born map[string]time.Time
}

// ticketOn returns the ticket for running the task on a worker. If the queue requires no
// ticket, value is empty and ok is true. If the queue requires tickets and the worker has
// no valid one, ok is false.
func (t *task) ticketOn(now time.Time, w *worker) (value string, ok bool) {
	if t.j.queue.Advice == nil {
		return "", true
	}
	return t.state().advice.validTicket(now, w)
}

// validTicket returns the value of a worker's ticket. The second result is false if the
// worker has no ticket, or if the ticket belongs to another incarnation of the worker or
// expires within ticketMargin.
func (a *advice) validTicket(now time.Time, w *worker) (string, bool) {
	stored, ok := a.tickets[w.state.ID]
	if !ok || !stored.born.Equal(w.state.Born) || now.Add(ticketMargin).After(stored.expiresAt) {
		return "", false
	}
	return stored.value, true
}

// NextAdvice returns the most urgent request to the policy service, or nil if no tickets
// are needed. Requests for steps that are ready come first (see stepReady). If no ready step
// needs tickets, NextAdvice requests tickets for a step that still waits for earlier steps.
func (p *Planner) NextAdvice(now time.Time) *AdviceRequest {
	var prefetch *AdviceRequest
	for _, j := range p.startableJobs(now, func(j *job) bool { return j.queue.Advice != nil }) {
		for _, o := range j.occurrences {
			if now.Before(j.Due(o.index)) {
				continue
			}
			for s := range o.steps {
				ready := j.stepReady(o, s)
				if !ready && prefetch != nil {
					continue
				}
				request := p.adviceFor(now, j, o, s, ready)
				switch {
				case request == nil:
				case ready:
					return request
				default:
					prefetch = request
				}
			}
		}
	}
	return prefetch
}

// adviceFor returns the request that step s of an occurrence needs now, or nil. ready is
// the result of stepReady. A step that is not ready gets no request once it has tickets.
func (p *Planner) adviceFor(now time.Time, j *job, o *occurrence, s int, ready bool) *AdviceRequest {
	st := &o.steps[s]
	t := j.firstIdleTask(o, s)
	if t == nil || !ready && len(st.advice.tickets) > 0 {
		return nil
	}
	if ready && p.chooseWorker(now, t) != nil {
		return nil
	}
	var candidates []*worker
	for _, w := range p.fleet {
		if _, ok := st.advice.validTicket(now, w); !ok && !st.advice.denied[w.state.ID] && p.isEligibleWithoutTicket(now, t, w) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(p.score(now, t, b), p.score(now, t, a)), cmp.Compare(a.agent, b.agent))
	})
	return newAdviceRequest(j.queue.Advice, cfcore.StepName{Job: j.ID, Occurrence: o.index, Step: s}, candidates[:min(len(candidates), maxAdviceWorkers)])
}

// firstIdleTask returns the first task of step s in an occurrence that is not done and has no
// run, or nil.
func (j *job) firstIdleTask(o *occurrence, s int) *task {
	st := &o.steps[s]
	for i := st.firstOpen; i < j.Steps[s].Count; i++ {
		if t := st.taskInMemory(i); !j.done.Has(st.firstPosition+i) && (t == nil || len(t.runs) == 0) {
			return j.task(o, s, i)
		}
	}
	return nil
}

// newAdviceRequest returns a request for tickets to run a step on the given workers.
func newAdviceRequest(a *cfjob.Advice, step cfcore.StepName, workers []*worker) *AdviceRequest {
	request := &AdviceRequest{Step: step, MaxResponseTime: a.Decision + time.Duration(len(workers))*a.Interval, born: map[string]time.Time{}}
	for _, w := range workers {
		request.Workers = append(request.Workers, w.state.ID)
		request.born[w.state.ID] = w.state.Born
	}
	return request
}

// RecordAdvice records the response to a request. tickets holds the issued tickets by
// worker ID. Their validity counts from now. A worker that is named in the request and got
// no ticket must not run the step.
func (p *Planner) RecordAdvice(now time.Time, request *AdviceRequest, tickets map[string]string) {
	j := p.jobs[request.Step.Job]
	if j == nil || j.queue.Advice == nil {
		return
	}
	o, _ := j.findOccurrence(request.Step.Occurrence)
	if o == nil {
		return
	}
	p.changed = true
	a := &o.steps[request.Step.Step].advice
	if a.tickets == nil {
		a.tickets, a.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range request.Workers {
		if value, ok := tickets[id]; ok {
			a.tickets[id] = ticket{value: value, born: request.born[id], expiresAt: now.Add(j.queue.Advice.Validity)}
		} else {
			a.denied[id] = true
		}
	}
}

// forgetTicket drops a ticket that a worker refused.
func (t *task) forgetTicket(w *worker) { delete(t.state().advice.tickets, w.state.ID) }

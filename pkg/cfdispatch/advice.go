package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// Questions to the policy service that decides which workers may run a step. Load: queues
// whose every step needs an answer, from a service that answers one question after the
// other and takes time for each worker named.
const (
	// adviceWorkers is the number of workers named in one question; the platform's objective
	// of a job leaves time for one question on so many for each step.
	adviceWorkers = 30
	// ticketMargin is the time before its end at which a ticket is used no more: the answer
	// that brought it, and the start that carries it, take part of its time.
	ticketMargin = 300 * time.Millisecond
)

// ticket lets one life of a worker run the tasks of a step.
type ticket struct {
	value string
	born  time.Time
	until time.Time
}

// advice is what the policy service has said of a step.
type advice struct {
	// tickets are kept by worker.
	tickets map[string]ticket
	// denied are the workers that may not run the step; that never changes.
	denied map[string]bool
}

// AdviceAsk is a question to the policy service.
type AdviceAsk struct {
	Step    cfcore.StepName
	Workers []string
	// Wait is how long the service takes for an answer.
	Wait time.Duration
	born map[string]time.Time
}

// ticketOn returns the ticket for a task on a worker. ok is false where it needs one and
// there is none that is valid.
func (t *task) ticketOn(now time.Time, w *worker) (value string, ok bool) {
	if t.j.queue.Advice == nil {
		return "", true
	}
	return t.state().advice.valid(now, w)
}

func (a *advice) valid(now time.Time, w *worker) (string, bool) {
	k, ok := a.tickets[w.state.ID]
	if !ok || !k.born.Equal(w.state.Born) || now.Add(ticketMargin).After(k.until) {
		return "", false
	}
	return k.value, true
}

// NextAdvice returns the question that is needed most, or nil. Steps that could start
// come before those that wait for earlier steps, whose answers are then there in time.
func (p *Planner) NextAdvice(now time.Time) *AdviceAsk {
	var ahead *AdviceAsk
	for _, j := range p.queue(now, func(j *job) bool { return j.queue.Advice != nil }) {
		for k := range j.steps {
			if now.Before(j.Due(k)) {
				continue
			}
			for s := range j.steps[k] {
				ready := p.stepReady(j, k, s)
				if !ready && ahead != nil {
					continue
				}
				ask := p.adviceFor(now, j, k, s, ready)
				switch {
				case ask == nil:
				case ready:
					return ask
				default:
					ahead = ask
				}
			}
		}
	}
	return ahead
}

// adviceFor returns the question that a step needs now, or nil.
func (p *Planner) adviceFor(now time.Time, j *job, k, s int, ready bool) *AdviceAsk {
	st := &j.steps[k][s]
	i := slices.IndexFunc(st.tasks, func(t *task) bool { return !t.done && len(t.runs) == 0 })
	if i < 0 || !ready && len(st.advice.tickets) > 0 {
		return nil
	}
	t := st.tasks[i]
	if ready && p.choose(now, t) != nil {
		return nil
	}
	var unasked []*worker
	for _, w := range p.fleet {
		if _, ok := st.advice.valid(now, w); !ok && !st.advice.denied[w.state.ID] && p.fitting(now, t, w) {
			unasked = append(unasked, w)
		}
	}
	if len(unasked) == 0 {
		return nil
	}
	slices.SortFunc(unasked, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(p.score(now, t, b), p.score(now, t, a)), cmp.Compare(a.agent, b.agent))
	})
	return newAdviceAsk(j.queue.Advice, cfcore.StepName{Job: j.ID, Occurrence: k, Step: s}, unasked[:min(len(unasked), adviceWorkers)])
}

func newAdviceAsk(a *cfjob.Advice, step cfcore.StepName, workers []*worker) *AdviceAsk {
	ask := &AdviceAsk{Step: step, Wait: a.Decision + time.Duration(len(workers))*a.Interval, born: map[string]time.Time{}}
	for _, w := range workers {
		ask.Workers = append(ask.Workers, w.state.ID)
		ask.born[w.state.ID] = w.state.Born
	}
	return ask
}

// Advised takes in the answer to a question. Workers that got no ticket may not run the
// step.
func (p *Planner) Advised(now time.Time, ask *AdviceAsk, tickets map[string]string) {
	t := p.lookup(cfcore.TaskName{Job: ask.Step.Job, Occurrence: ask.Step.Occurrence, Step: ask.Step.Step})
	if t == nil || t.j.queue.Advice == nil {
		return
	}
	p.changed = true
	a := &t.state().advice
	if a.tickets == nil {
		a.tickets, a.denied = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range ask.Workers {
		if value, ok := tickets[id]; ok {
			a.tickets[id] = ticket{value: value, born: ask.born[id], until: now.Add(t.j.queue.Advice.Validity)}
		} else {
			a.denied[id] = true
		}
	}
}

// ticketRefused forgets a ticket that a worker did not take.
func (t *task) ticketRefused(w *worker) { delete(t.state().advice.tickets, w.state.ID) }

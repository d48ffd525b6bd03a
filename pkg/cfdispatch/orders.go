package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// Orders are the orders for one agent.
type Orders struct {
	Starts []cfwire.JobStart
	Stops  []cfwire.JobStop
	Paces  []cfwire.JobPace
	// Noted is the number of the last end on record, and Born the life it belongs to;
	// 0 where it is the same as before.
	Noted uint64
	Born  time.Time
}

func (p *Planner) ordersFor(w *worker) *Orders {
	o := p.orders[w.agent]
	if o == nil {
		o = &Orders{}
		p.orders[w.agent] = o
	}
	return o
}

// start makes a run of a task on a worker and orders it.
func (p *Planner) start(now time.Time, t *task, w *worker, id uint64) {
	p.order(now, t.place(now, w, id))
}

// place makes a run of a task on a worker, which takes its room there.
func (t *task) place(now time.Time, w *worker, id uint64) *run {
	r := &run{task: t, id: id, w: w, phase: starting, begun: now, checkpoint: t.checkpoint, pace: fullPace, paceSent: now}
	r.ticket, _ = t.ticketOn(now, w)
	t.runs = append(t.runs, r)
	t.j.live++
	w.add(r)
	return r
}

// order orders the start of a run, and notes that its job has begun.
func (p *Planner) order(now time.Time, r *run) {
	p.sendStart(now, r)
	p.begin(now, r.task.j)
}

// begin notes that a job has begun. It is put on record with the next facts, or
// soon after.
func (p *Planner) begin(now time.Time, j *job) {
	if j.started {
		return
	}
	j.started, j.lazySince = true, now
	p.dirty[j.ID] = j
}

func (p *Planner) sendStart(now time.Time, r *run) {
	r.sent, r.ordered = now, now
	o := p.ordersFor(r.w)
	o.Starts = append(o.Starts, cfwire.JobStart{
		Worker: r.w.state.ID, Born: r.w.state.Born, Task: r.task.name, Run: r.id,
		Spec: r.task.j.Spec, Checkpoint: r.checkpoint, Ticket: r.ticket,
	})
}

// stop orders the end of a run. It counts as running until its end is known.
func (p *Planner) stop(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	r.sent = time.Time{}
	p.halts = append(p.halts, r)
}

func (p *Planner) sendStop(now time.Time, r *run) {
	r.sent = now
	o := p.ordersFor(r.w)
	o.Stops = append(o.Stops, cfwire.JobStop{Task: r.task.name, Run: r.id})
}

// sendHalts sends the stops that were decided since the last time.
func (p *Planner) sendHalts(now time.Time) {
	for _, r := range p.halts {
		if r.w.known && !r.w.unreached && r.w.runs[r] && r.sent.IsZero() {
			p.sendStop(now, r)
		}
	}
	p.halts = p.halts[:0]
}

// resend sends orders again that have had no result for some time.
func (p *Planner) resend(now time.Time) {
	if now.Sub(p.resentAt) < lookEvery {
		return
	}
	p.resentAt = now
	for _, w := range p.fleet {
		if !w.known || w.unreached {
			continue
		}
		for r := range w.runs {
			if r.phase == running || now.Sub(r.sent) < p.cfg.Resend {
				continue
			}
			if r.phase == starting {
				p.sendStart(now, r)
				continue
			}
			p.sendStop(now, r)
		}
	}
}

// Take returns the orders that are to be sent now, by agent.
func (p *Planner) Take(now time.Time) map[string]*Orders {
	p.sendHalts(now)
	p.resend(now)
	for w := range p.noted {
		if w.noted > w.told {
			o := p.ordersFor(w)
			o.Noted, o.Born, w.told = w.noted, w.state.Born, w.noted
		}
	}
	clear(p.noted)
	out := p.orders
	p.orders = map[string]*Orders{}
	return out
}

// Fact is a job's progress that has to be kept.
type Fact struct {
	ID       string
	Progress *cfjob.Progress
}

// Seen is the number of the last end of a worker's life that the facts cover.
type Seen struct {
	Agent  string
	Born   time.Time
	Number uint64
}

// Facts returns what has to be kept now. Once it is, Noted is called with the second
// result. force asks for everything that is not yet kept.
func (p *Planner) Facts(now time.Time, force bool) ([]Fact, []Seen) {
	var facts []Fact
	p.urgent = false
	for id, j := range p.dirty {
		if !j.dirty && !force && now.Sub(j.lazySince) < startedDelay {
			continue
		}
		delete(p.dirty, id)
		j.dirty = false
		facts = append(facts, Fact{ID: id, Progress: j.progress()})
	}
	var seen []Seen
	for _, w := range p.workers {
		if w.seen > w.noted {
			seen = append(seen, Seen{Agent: w.agent, Born: w.state.Born, Number: w.seen})
		}
	}
	return facts, seen
}

// Urgent reports whether a job has ended whose outcome is not on record: its caller
// waits for that.
func (p *Planner) Urgent() bool { return p.urgent }

// Noted says that facts are on record.
func (p *Planner) Noted(seen []Seen) {
	for _, s := range seen {
		if w := p.workers[s.Agent]; w != nil && w.state.Born.Equal(s.Born) {
			w.noted = max(w.noted, s.Number)
			p.noted[w] = true
		}
	}
}

// progress returns what has to last of a job.
func (j *job) progress() *cfjob.Progress {
	pr := &cfjob.Progress{Started: j.started, Outcome: j.outcome, Ended: j.ended}
	for _, steps := range j.steps {
		for s := range steps {
			for _, t := range steps[s].tasks {
				if t.done {
					pr.SetDone(t.pos)
				} else if len(t.failed) > 0 || t.checkpoint != "" {
					if pr.Tasks == nil {
						pr.Tasks = map[int]cfjob.TaskProgress{}
					}
					pr.Tasks[t.pos] = cfjob.TaskProgress{Failed: t.failed, Checkpoint: t.checkpoint, Run: t.lastRun}
				}
			}
		}
	}
	return pr
}

// Answered says that an agent was sent an answer that lets it extend leases.
func (p *Planner) Answered(agent string, now time.Time) {
	if w := p.workers[agent]; w != nil {
		w.answered = now
	}
}

// Forget drops a job that has ended and of which nothing runs.
func (p *Planner) Forget(id string) {
	delete(p.jobs, id)
	p.pressure.ForgetJob(id)
}

// Live reports whether a run of a job may exist.
func (p *Planner) Live(id string) bool {
	j := p.jobs[id]
	return j != nil && j.live > 0
}

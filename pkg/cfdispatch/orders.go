package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfwire"
)

// Orders holds the orders for one agent.
type Orders struct {
	Starts    []cfwire.JobStart
	Stops     []cfwire.JobStop
	Throttles []cfwire.JobThrottle
	// RecordedEnd is a cfcore.EndedTask.Number: the ends of runs up to this number are on
	// record. Born identifies the incarnation of the worker that assigned the number. Both
	// fields are zero if there is nothing newer than in the previous orders.
	RecordedEnd uint64
	Born        time.Time
	// RecordedFormer are the recorded ends of former incarnations of the worker.
	RecordedFormer []cfwire.JobRecordedEnds
}

// ordersFor returns the collected orders for a worker's agent. The next call of TakeOrders
// takes them.
func (p *Planner) ordersFor(w *worker) *Orders {
	o := p.orders[w.agent]
	if o == nil {
		o = &Orders{}
		p.orders[w.agent] = o
	}
	return o
}

// start creates a run of a task on a worker and orders the start. id is the run number.
func (p *Planner) start(now time.Time, t *task, w *worker, id uint64) {
	p.checkSecondStart(t, w, id)
	p.orderStart(now, t.place(now, w, id))
}

// place creates a run of a task on a worker and counts its resources as used there. id is
// the run number.
func (t *task) place(now time.Time, w *worker, id uint64) *run {
	r := &run{task: t, id: id, w: w, phase: starting, born: w.state.Born, startedAt: now, checkpoint: t.checkpoint, speedPercent: fullPercent, speedSentAt: now}
	r.ticket, _ = t.ticketOn(now, w)
	t.addRun(r)
	w.addRun(r)
	return r
}

// addRun adds a run to the task.
func (t *task) addRun(r *run) {
	t.runs = append(t.runs, r)
	t.o.liveRuns++
	t.j.liveRuns++
}

// orderStart orders the start of a run and marks its job as started.
func (p *Planner) orderStart(now time.Time, r *run) {
	p.sendStart(now, r)
	p.markStarted(now, r.task.j)
}

// markStarted marks a job as started. The start is recorded together with the job's next
// progress, or alone if there is no progress within startedDelay.
func (p *Planner) markStarted(now time.Time, j *job) {
	if j.started {
		return
	}
	j.started, j.startUnrecordedSince = true, now
	p.unrecordedJobs[j.ID] = j
}

// sendStart adds the start order of a run to the agent's orders.
func (p *Planner) sendStart(now time.Time, r *run) {
	if r.instance != r.w.instance {
		// An earlier instance of the agent possibly made an attempt that this one does not know of.
		p.bindLost(r)
	}
	if !r.awaitsResult {
		r.awaitsSince = now
	}
	r.sentAt, r.awaitsResult, r.instance = now, true, r.w.instance
	o := p.ordersFor(r.w)
	o.Starts = append(o.Starts, cfwire.JobStart{
		Worker: r.w.state.ID, Born: r.w.state.Born, Task: r.task.name, Run: r.id,
		Spec: r.task.j.Spec, Checkpoint: r.checkpoint, Ticket: r.ticket, LongRunning: r.task.step.LongRunning, IsCopy: r.isCopy,
	})
}

// stopRun marks a run to be stopped. The next call of TakeOrders orders the stop. The
// planner keeps the run until it knows that the run has ended.
func (p *Planner) stopRun(r *run) {
	if r.phase == stopping {
		return
	}
	r.phase = stopping
	r.sentAt = time.Time{}
	p.pendingStops = append(p.pendingStops, r)
}

// sendStop adds the stop order of a run to the agent's orders.
func (p *Planner) sendStop(now time.Time, r *run) {
	r.sentAt = now
	o := p.ordersFor(r.w)
	o.Stops = append(o.Stops, cfwire.JobStop{Task: r.task.name, Run: r.id})
}

// sendPendingStops orders the stops in pendingStops. If a worker cannot be reached,
// resendOrders later orders the stops of its runs.
func (p *Planner) sendPendingStops(now time.Time) {
	for _, r := range p.pendingStops {
		if r.w.hasListed && !r.w.isUnreachable && r.w.runs[r] && r.sentAt.IsZero() {
			p.sendStop(now, r)
		}
	}
	p.pendingStops = p.pendingStops[:0]
}

// resendOrders repeats starts that have had no result for cfg.ResendAfter, and stops of runs
// that have not ended in this time. It stops copies without a result: the first run has possibly ended since. Starts
// of earlier planners are not repeated, since one of them has possibly started the task elsewhere. It also sends the
// stops that could not be sent before.
func (p *Planner) resendOrders(now time.Time) {
	if now.Sub(p.lastResendScan) < scanInterval {
		return
	}
	p.lastResendScan = now
	for _, w := range p.fleet {
		if !w.hasListed || w.isUnreachable {
			continue
		}
		for r := range w.runs {
			if r.phase == running || now.Sub(r.sentAt) < p.cfg.ResendAfter || r.isRestored && r.phase == starting {
				continue
			}
			switch {
			case r.phase == stopping:
				p.sendStop(now, r)
			case r.isCopy:
				p.stopRun(r)
			default:
				p.sendStart(now, r)
			}
		}
	}
}

// TakeOrders returns the orders to send now, by agent.
func (p *Planner) TakeOrders(now time.Time) map[string]*Orders {
	p.sendPendingStops(now)
	p.resendOrders(now)
	for w := range p.ackPending {
		if last := p.acknowledgeable(w); last > w.ends.ackedEnd {
			o := p.ordersFor(w)
			o.RecordedEnd, o.Born, w.ends.ackedEnd = last, w.state.Born, last
		}
		if w.ends.ackedEnd >= w.ends.recordedEnd {
			delete(p.ackPending, w)
		}
	}
	p.acknowledgeFormerEnds()
	out := p.orders
	p.orders = map[string]*Orders{}
	return out
}

// RepeatAcknowledgement makes the next call of TakeOrders pass on again which ends of an agent's
// worker are recorded.
func (p *Planner) RepeatAcknowledgement(agent string) {
	if w := p.workers[agent]; w != nil {
		w.ends.ackedEnd = 0
		p.ackPending[w] = true
	}
}

// MarkAnswered records that the agent was sent a response that lets it extend leases.
func (p *Planner) MarkAnswered(agent string, now time.Time) {
	if w := p.workers[agent]; w != nil {
		w.answeredAt = now
	}
}

// Forget removes a job. The job must have ended and have no live runs, see HasLiveRuns.
func (p *Planner) Forget(id string) {
	delete(p.jobs, id)
	p.headroomModel.ForgetJob(id)
}

// HasLiveRuns reports whether a job has a run that is not known to have ended.
func (p *Planner) HasLiveRuns(id string) bool {
	j := p.jobs[id]
	return j != nil && j.liveRuns > 0
}

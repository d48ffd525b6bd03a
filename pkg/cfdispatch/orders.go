package cfdispatch

import (
	"time"

	"cranberryford/pkg/cfjob"
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
	p.orderStart(now, t.place(now, w, id))
}

// place creates a run of a task on a worker and counts its resources as used there. id is
// the run number.
func (t *task) place(now time.Time, w *worker, id uint64) *run {
	r := &run{task: t, id: id, w: w, phase: starting, born: w.state.Born, startedAt: now, checkpoint: t.checkpoint, speedPercent: fullPercent, speedSentAt: now}
	r.ticket, _ = t.ticketOn(now, w)
	t.runs = append(t.runs, r)
	t.j.liveRuns++
	w.addRun(r)
	return r
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
	r.sentAt = now
	o := p.ordersFor(r.w)
	o.Starts = append(o.Starts, cfwire.JobStart{
		Worker: r.w.state.ID, Born: r.w.state.Born, Task: r.task.name, Run: r.id,
		Spec: r.task.j.Spec, Checkpoint: r.checkpoint, Ticket: r.ticket,
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
// that have not ended in this time. It also sends the stops that could not be sent before.
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
			if r.phase == running || now.Sub(r.sentAt) < p.cfg.ResendAfter {
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

// TakeOrders returns the orders to send now, by agent.
func (p *Planner) TakeOrders(now time.Time) map[string]*Orders {
	p.sendPendingStops(now)
	p.resendOrders(now)
	for w := range p.ackPending {
		if w.recordedEnd > w.ackedEnd {
			o := p.ordersFor(w)
			o.RecordedEnd, o.Born, w.ackedEnd = w.recordedEnd, w.state.Born, w.recordedEnd
		}
	}
	clear(p.ackPending)
	out := p.orders
	p.orders = map[string]*Orders{}
	return out
}

// JobProgress is progress of a job that must be recorded.
type JobProgress struct {
	ID       string
	Progress *cfjob.Progress
}

// EndedRunsPosition says which ended runs of an agent's worker the planner has applied. These
// are the runs whose cfcore.EndedTask.Number is at most the field Number. The progress that
// TakeUnrecordedProgress returns together with an EndedRunsPosition accounts for these runs.
// Born identifies the incarnation of the worker, since each incarnation numbers its ended
// runs from 1.
type EndedRunsPosition struct {
	Agent  string
	Born   time.Time
	Number uint64
}

// TakeUnrecordedProgress returns the progress to record now. Once this progress is recorded,
// the second result must be passed to MarkEndsRecorded. If force is set, the progress
// includes starts that could be recorded later, see startedDelay.
func (p *Planner) TakeUnrecordedProgress(now time.Time, force bool) ([]JobProgress, []EndedRunsPosition) {
	var progress []JobProgress
	p.hasUnrecordedOutcome = false
	for id, j := range p.unrecordedJobs {
		if !j.dirty && !force && now.Sub(j.startUnrecordedSince) < startedDelay {
			continue
		}
		delete(p.unrecordedJobs, id)
		j.dirty = false
		progress = append(progress, JobProgress{ID: id, Progress: j.progress()})
	}
	var ends []EndedRunsPosition
	for _, w := range p.workers {
		if w.lastEnd > w.recordedEnd {
			ends = append(ends, EndedRunsPosition{Agent: w.agent, Born: w.state.Born, Number: w.lastEnd})
		}
	}
	return progress, ends
}

// HasUnrecordedOutcome reports whether a job has ended since the last call of
// TakeUnrecordedProgress. The job's caller waits until the outcome is recorded.
func (p *Planner) HasUnrecordedOutcome() bool { return p.hasUnrecordedOutcome }

// MarkEndsRecorded marks the ends of runs as recorded. The next call of TakeOrders passes
// this on to the agents, in Orders.RecordedEnd.
func (p *Planner) MarkEndsRecorded(ends []EndedRunsPosition) {
	for _, e := range ends {
		if w := p.workers[e.Agent]; w != nil && w.state.Born.Equal(e.Born) {
			w.recordedEnd = max(w.recordedEnd, e.Number)
			p.ackPending[w] = true
		}
	}
}

// RepeatAcknowledgement makes the next call of TakeOrders pass on again which ends of an agent's
// worker are recorded.
func (p *Planner) RepeatAcknowledgement(agent string) {
	if w := p.workers[agent]; w != nil {
		w.ackedEnd = 0
		p.ackPending[w] = true
	}
}

// progress returns the part of a job's state that must outlive the planner.
func (j *job) progress() *cfjob.Progress {
	pr := &cfjob.Progress{Started: j.started, Outcome: j.outcome, EndedAt: j.endedAt}
	for _, steps := range j.steps {
		for s := range steps {
			for _, t := range steps[s].tasks {
				if t.done {
					pr.SetDone(t.pos)
				} else if len(t.failedRuns) > 0 || t.checkpoint != "" {
					if pr.Tasks == nil {
						pr.Tasks = map[int]cfjob.TaskProgress{}
					}
					pr.Tasks[t.pos] = cfjob.TaskProgress{Failed: t.failedRuns, Checkpoint: t.checkpoint, Run: t.lastRun}
				}
			}
		}
	}
	return pr
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

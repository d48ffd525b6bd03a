package cfdispatch

import (
	"maps"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// runKey identifies a run on a worker.
type runKey struct {
	task cfcore.TaskName
	run  uint64
}

// unsettledRuns are listed runs whose meaning an earlier planner can still change.
//
// An earlier planner possibly received the record of a job from another entry before this
// planner read it in the store. Until this planner has read all records from before the
// listing, it neither stops runs of unknown jobs nor lets their ends be acknowledged.
//
// If the leases on a worker possibly expired between an end and its listing, an earlier planner
// possibly takes the run for lost and starts its task again. Such an end is postponed until
// all these starts are known.
type unsettledRuns struct {
	// running holds the rows of runs of unknown jobs in the worker's last lists.
	running map[runKey]unknownRun
	// ended holds the postponed ends by their Number.
	ended map[uint64]postponedEnd
	// applied holds the numbers of applied ends that are possibly above an end in ended.
	applied map[uint64]bool
}

// unknownRun is a listed run. listedAt is when it was first listed.
type unknownRun struct {
	row      cfcore.RunningTask
	listedAt time.Time
}

// postponedEnd is a listed end. listedAt is when it was first listed. isUncertain is set if the
// leases possibly expired before.
type postponedEnd struct {
	end         cfcore.EndedTask
	listedAt    time.Time
	isUncertain bool
}

// MarkStoreRead records that the planner has all jobs that were stored before t.
func (p *Planner) MarkStoreRead(t time.Time) {
	if t.After(p.storeReadAt) {
		p.storeReadAt = t
	}
}

// mayBecomeKnown reports whether the job of a run that was first listed at a time is unknown
// and possibly stored.
func (p *Planner) mayBecomeKnown(job string, listedAt time.Time) bool {
	return p.jobs[job] == nil && !p.storeReadAt.After(listedAt)
}

// applyUnknownRunning handles a listed run that belongs to no open job. running are the
// runs of unknown jobs in the lists before.
func (p *Planner) applyUnknownRunning(now time.Time, w *worker, row cfcore.RunningTask, running map[runKey]unknownRun) {
	key := runKey{task: row.Task, run: row.Run}
	u, ok := running[key]
	if !ok {
		u.listedAt = now
	}
	u.row = row
	w.unsettled.running[key] = u
	if !p.mayBecomeKnown(row.Task.Job, u.listedAt) {
		p.stopUnexpectedRun(now, w, row, "job unknown or over")
	}
}

// earlierPlannerMayStart reports whether an earlier planner can possibly still start tasks on
// an agent that this planner has not reached. Its authority ends before expectedUntil by
// LeaseExpiryTime; agents follow its orders for up to GrantTime longer.
func (p *Planner) earlierPlannerMayStart(now time.Time) bool {
	return len(p.expectedAgents) > 0 && now.Before(p.expectedUntil.Add(p.cfg.GrantTime-p.cfg.LeaseExpiryTime()))
}

// mustPostpone reports whether an end cannot be applied yet, see unsettledRuns.
func (p *Planner) mustPostpone(now time.Time, e postponedEnd) bool {
	return p.mayBecomeKnown(e.end.Task.Job, e.listedAt) || e.isUncertain && p.earlierPlannerMayStart(now)
}

// applyEnds applies the ends in a worker's run lists and postpones some of them. lastEnd stays
// below the postponed ones. Ends up to uncertainEnd are uncertain.
func (p *Planner) applyEnds(now time.Time, w *worker, ends []cfcore.EndedTask, uncertainEnd uint64) {
	u := &w.unsettled
	isPostponed := false
	if len(ends) >= maxHeldEnds {
		clear(w.heldEnds)
		p.ackPending[w] = true
	}
	for _, e := range ends {
		if e.Number <= w.lastEnd {
			continue
		}
		if !u.applied[e.Number] {
			held, ok := u.ended[e.Number]
			if !ok {
				held = postponedEnd{end: e, listedAt: now, isUncertain: e.Number <= uncertainEnd}
			}
			if p.mustPostpone(now, held) {
				u.ended[e.Number] = held
				isPostponed = true
				continue
			}
			delete(u.ended, e.Number)
			w.holdEnd(now, e)
			p.applyEnded(now, w, e)
		}
		if isPostponed {
			u.applied[e.Number] = true
			continue
		}
		delete(u.applied, e.Number)
		w.lastEnd = e.Number
	}
}

// applyPostponedEnds applies the ends that need not be postponed any more. It must precede
// each decision to start tasks.
func (p *Planner) applyPostponedEnds(now time.Time) {
	for _, w := range p.fleet {
		for n, e := range w.unsettled.ended {
			if !p.mustPostpone(now, e) {
				delete(w.unsettled.ended, n)
				w.unsettled.applied[n] = true
				w.holdEnd(now, e.end)
				p.applyEnded(now, w, e.end)
			}
		}
	}
	p.adoptUnanswered(now)
}

// adoptListedRuns applies the listed runs of a job that has just become known.
func (p *Planner) adoptListedRuns(now time.Time, id string) {
	for _, w := range p.fleet {
		for key, u := range w.unsettled.running {
			if key.task.Job == id && p.lookupTask(key.task) != nil {
				delete(w.unsettled.running, key)
				p.applyRunning(now, w, u.row)
			}
		}
	}
}

func newUnsettledRuns() unsettledRuns {
	return unsettledRuns{running: map[runKey]unknownRun{}, ended: map[uint64]postponedEnd{}, applied: map[uint64]bool{}}
}

// stopUnexpectedRun orders the stop of a listed run that this planner does not adopt: its
// job is unknown or over, or its task already has another run and must not have two. It
// repeats the order after cfg.ResendAfter.
func (p *Planner) stopUnexpectedRun(now time.Time, w *worker, row cfcore.RunningTask, reason string) {
	key := runKey{task: row.Task, run: row.Run}
	maps.DeleteFunc(w.unexpectedStops, func(_ runKey, at time.Time) bool { return now.Sub(at) >= p.cfg.ResendAfter })
	if _, ok := w.unexpectedStops[key]; ok {
		return
	}
	w.unexpectedStops[key] = now
	o := p.ordersFor(w)
	o.Stops = append(o.Stops, cfwire.JobStop{Task: row.Task, Run: row.Run})
	p.addEvent(Event{Kind: EventUnexpected, Agent: w.agent, Task: row.Task, Run: row.Run, Reason: reason, Born: w.state.Born})
}

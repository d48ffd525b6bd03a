package cfdispatch

import (
	"maps"
	"slices"
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
	// running holds the rows of runs of unknown jobs in the worker's last lists, and earlier ones
	// that these possibly lack.
	running map[runKey]unknownRun
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

// keepUnlistedRuns keeps the listed runs of unknown jobs that are missing from lists that possibly
// lack them, or their ends. running are those in the lists before.
func (p *Planner) keepUnlistedRuns(w *worker, l *cfcore.RunLists, running map[runKey]unknownRun) {
	if !l.MayLackRuns() {
		return
	}
	for _, e := range l.Ended {
		delete(running, runKey{task: e.Task, run: e.Run})
	}
	for key, u := range running {
		if _, ok := w.unsettled.running[key]; !ok && p.mayBecomeKnown(key.task.Job, u.listedAt) {
			w.unsettled.running[key] = u
		}
	}
}

// earlierPlannerMayStart reports whether an earlier planner can possibly still start tasks on
// an agent that this planner has not reached. Its authority ends before expectedUntil by
// LeaseExpiryTime; agents follow its orders for up to GrantTime longer.
func (p *Planner) earlierPlannerMayStart(now time.Time) bool {
	return len(p.expectedAgents) > 0 && now.Before(p.expectedUntil.Add(p.cfg.GrantTime-p.cfg.LeaseExpiryTime()))
}

// mustPostpone reports whether an end cannot be applied yet, see unsettledRuns. An earlier planner starts
// no tasks of a job that is not inherited, and this planner does not wait to start them.
func (p *Planner) mustPostpone(now time.Time, e postponedEnd) bool {
	j := p.jobs[e.end.Task.Job]
	return p.mayBecomeKnown(e.end.Task.Job, e.listedAt) || e.isUncertain && j != nil && j.inherited && p.earlierPlannerMayStart(now)
}

// applyEnds applies the ends in the run lists of the incarnation of a worker that started at born, and
// postpones some of them. lastEnd stays below the postponed ones, and as it is if the lists lack an end:
// its number is not known. Ends up to uncertainEnd are uncertain.
func (p *Planner) applyEnds(now time.Time, w *worker, born time.Time, u *endedRuns, l *cfcore.RunLists, uncertainEnd uint64) {
	isPostponed := l.LacksEnds
	for _, e := range l.Ended {
		if e.Number <= u.lastEnd {
			continue
		}
		if !u.applied[e.Number] {
			held, ok := u.postponed[e.Number]
			if !ok {
				held = postponedEnd{end: e, listedAt: now, isUncertain: true}
			}
			held.isUncertain = held.isUncertain && e.Number <= uncertainEnd
			if p.mustPostpone(now, held) {
				u.postponed[e.Number] = held
				isPostponed = true
				continue
			}
			delete(u.postponed, e.Number)
			p.applyEnded(now, w, born, e)
		}
		if isPostponed {
			u.applied[e.Number] = true
			continue
		}
		delete(u.applied, e.Number)
		u.lastEnd = e.Number
	}
}

// applyPostponedEnds applies the ends that need not be postponed any more. It must precede
// each decision to start tasks.
func (p *Planner) applyPostponedEnds(now time.Time) {
	for _, w := range p.fleet {
		p.applyPostponed(now, w, w.state.Born, &w.ends)
	}
	for _, f := range p.formerEnds {
		p.applyPostponed(now, f.w, f.born, &f.ends)
	}
}

func (p *Planner) applyPostponed(now time.Time, w *worker, born time.Time, u *endedRuns) {
	if len(u.postponed) == 0 {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(u.postponed)) {
		if e := u.postponed[n]; !p.mustPostpone(now, e) {
			delete(u.postponed, n)
			u.applied[n] = true
			p.applyEnded(now, w, born, e.end)
		}
	}
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
	return unsettledRuns{running: map[runKey]unknownRun{}}
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

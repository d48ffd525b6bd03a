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

// unknownRuns are the runs that a worker lists and that belong to no job of the planner. An
// earlier planner possibly received the record of such a job from another entry before this
// planner read it in the store. Until this planner has read all records from before the
// listing, it neither stops the runs nor lets their ends be acknowledged.
type unknownRuns struct {
	// running holds the rows of runs in the worker's last lists.
	running map[runKey]unknownRun
	// ended holds the ends that are not applied yet, by their Number.
	ended map[uint64]unknownEnd
	// applied holds the numbers of applied ends that are above an end in ended.
	applied map[uint64]bool
}

// unknownRun is a listed run. listedAt is when it was first listed.
type unknownRun struct {
	row      cfcore.RunningTask
	listedAt time.Time
}

// unknownEnd is a listed end. listedAt is when it was first listed.
type unknownEnd struct {
	end      cfcore.EndedTask
	listedAt time.Time
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
// unknown runs in the lists before.
func (p *Planner) applyUnknownRunning(now time.Time, w *worker, row cfcore.RunningTask, running map[runKey]unknownRun) {
	key := runKey{task: row.Task, run: row.Run}
	u, ok := running[key]
	if !ok {
		u.listedAt = now
	}
	u.row = row
	w.unknown.running[key] = u
	if !p.mayBecomeKnown(row.Task.Job, u.listedAt) {
		p.stopUnexpectedRun(now, w, row, "job unknown or over")
	}
}

// applyEnds applies the ends in a worker's run lists. It postpones ends of jobs that may
// become known; lastEnd stays below them.
func (p *Planner) applyEnds(now time.Time, w *worker, ends []cfcore.EndedTask) {
	u := &w.unknown
	isPostponed := false
	for _, e := range ends {
		if e.Number <= w.lastEnd {
			continue
		}
		if !u.applied[e.Number] {
			held, ok := u.ended[e.Number]
			if !ok {
				held = unknownEnd{end: e, listedAt: now}
			}
			if p.mayBecomeKnown(e.Task.Job, held.listedAt) {
				u.ended[e.Number] = held
				isPostponed = true
				continue
			}
			delete(u.ended, e.Number)
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

// applyUnknownRuns applies what workers have listed of a job that has just become known.
func (p *Planner) applyUnknownRuns(now time.Time, id string) {
	for _, w := range p.fleet {
		for key, u := range w.unknown.running {
			if key.task.Job == id {
				delete(w.unknown.running, key)
				p.applyRunning(now, w, u.row)
			}
		}
		for n, u := range w.unknown.ended {
			if u.end.Task.Job == id {
				delete(w.unknown.ended, n)
				w.unknown.applied[n] = true
				p.applyEnded(now, w, u.end)
			}
		}
	}
}

func newUnknownRuns() unknownRuns {
	return unknownRuns{running: map[runKey]unknownRun{}, ended: map[uint64]unknownEnd{}, applied: map[uint64]bool{}}
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

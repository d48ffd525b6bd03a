package cfdispatch_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
)

// modelRun is a run on a worker. ticks is the number of ticks since the run's start. isOrphaned
// is set if the start was ordered to an earlier incarnation of the worker.
type modelRun struct {
	id         uint64
	ticks      int
	isOrphaned bool
	// fails is set for a run that the worker fails. waited is how many ticks a member of a gang has
	// waited for the others.
	fails  bool
	waited int
	// stopAt is when a stop takes effect; zero if there is none.
	stopAt time.Time
	// checkpoint is the one that the start carried, resumed the ticks that it stands for.
	checkpoint string
	resumed    int
}

// modelWorker is a worker. A restart resets all fields but m and name.
type modelWorker struct {
	drain modelDrain

	m    *model
	name string
	born time.Time
	// formerBorn is when the former incarnation started; zero if there was none.
	formerBorn time.Time
	// startedAt is when the worker's clock started. downUntil is when the next incarnation starts;
	// zero while the worker is up. formerLives holds a late check-in of each former incarnation.
	startedAt, downUntil time.Time
	formerLives          []modelCheckIn
	// fencingToken is the highest token of an order so far.
	fencingToken cfcore.FencingToken
	// leaseUntil is when the leases of all runs expire, on the worker's clock. lapsed is set
	// while no lease is valid.
	leaseUntil time.Duration
	lapsed     bool
	runs       map[cfcore.TaskName]*modelRun
	// highestRun holds, for each task, the highest number of a run that has ended or was
	// ordered to stop.
	highestRun map[cfcore.TaskName]uint64
	// ended are the ended runs that were not acknowledged. endCount is the number of all ended
	// runs.
	ended    []cfcore.EndedTask
	endCount uint64
	// orphanedEnds holds the numbers of the ends of orphaned runs.
	orphanedEnds map[uint64]bool
	// stalledUntil is when the runs make progress again.
	stalledUntil time.Time
	// unhealthyUntil is when the worker stops refusing starts and failing runs.
	unhealthyUntil time.Time
	// maxRuns is how many runs have room until fullUntil.
	maxRuns   int
	fullUntil time.Time
	phase     modelFullPhase
}

// maxLease is the maximum duration of a lease. The worker shortens a longer one.
const maxLease = 10 * time.Second

// workerID is the ID of all incarnations of all workers, unless the scope has newIDs.
const workerID = "w"

// maxListedEnds is how many ends a worker lists at once if the scope has shortLists.
const maxListedEnds = 2

func (w *modelWorker) restart() {
	if !w.born.IsZero() {
		w.formerBorn, w.formerLives = w.born, append(w.formerLives, w.checkIn())
	}
	w.setBorn()
	w.fencingToken, w.leaseUntil, w.lapsed, w.downUntil = 0, 0, true, time.Time{}
	w.runs, w.highestRun = map[cfcore.TaskName]*modelRun{}, map[cfcore.TaskName]uint64{}
	w.ended, w.endCount, w.stalledUntil, w.unhealthyUntil = nil, 0, time.Time{}, time.Time{}
	w.orphanedEnds, w.fullUntil = map[uint64]bool{}, time.Time{}
	w.m.tracef("%s restarts", w.name)
}

func (w *modelWorker) clock() time.Duration {
	d := w.m.now.Sub(w.startedAt)
	if w.m.scope.slowClocks {
		d = time.Duration(float64(d) / slowClockFactor)
	}
	return d
}

// compareTasks orders tasks by name. The model sorts by it whatever comes from a map, so
// that the same seed gives the same history.
func compareTasks(a, b cfcore.TaskName) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// runningTasks returns the tasks that run on the worker, sorted.
func (w *modelWorker) runningTasks() []cfcore.TaskName {
	return slices.SortedFunc(maps.Keys(w.runs), compareTasks)
}

// advance advances the runs by one tick. It ends runs that are done, and all runs once their
// leases have expired.
func (w *modelWorker) advance() {
	if w.isDown() && !w.m.now.Before(w.downUntil) {
		w.restart()
	}
	if lapsed := w.clock() >= w.leaseUntil; lapsed != w.lapsed {
		w.lapsed = lapsed
		if lapsed {
			w.m.tracef("%s: leases lapse", w.name)
		}
	}
	for _, n := range w.runningTasks() {
		r := w.runs[n]
		if w.lapsed {
			w.endRun(n, cfcore.EndLeaseExpired)
			continue
		}
		if r.fails {
			w.endRun(n, cfcore.EndFailed)
			continue
		}
		if !r.stopAt.IsZero() && !w.m.now.Before(r.stopAt) {
			w.endRun(n, cfcore.EndStopped)
			continue
		}
		if w.m.now.Before(w.stalledUntil) || w.m.isGang(n) {
			continue
		}
		if r.ticks++; r.ticks >= w.m.taskTicks[n.Job] && !w.m.step(n).LongRunning {
			w.endRun(n, cfcore.EndDone)
		}
	}
}

// markLapsed marks the ends that the worker holds if its leases have expired.
func (w *modelWorker) markLapsed() {
	if w.lapsed {
		w.m.markLapsed(w)
	}
}

func (w *modelWorker) endRun(n cfcore.TaskName, how cfcore.RunEnd) {
	r := w.runs[n]
	saved := w.savedAtEnd(n, r, how)
	delete(w.runs, n)
	w.highestRun[n] = max(w.highestRun[n], r.id)
	w.endCount++
	w.ended = append(w.ended, cfcore.EndedTask{Number: w.endCount, Task: n, Run: r.id, How: how, Checkpoint: saved})
	if how != cfcore.EndDone && w.m.scope.largeProgress {
		w.ended[len(w.ended)-1].Checkpoint = largeCheckpoint
	}
	w.m.tracef("%s: run %x of %s ends as %s, end %d", w.name, r.id, taskString(n), how, w.endCount)
	if r.isOrphaned {
		w.orphanedEnds[w.endCount] = true
	}
	if how == cfcore.EndDone {
		w.m.addEnd(w, n, w.endCount, r.isOrphaned)
	}
}

// isOther reports whether a call is refused since it names another incarnation. It cannot name
// one that has the same ID.
func (w *modelWorker) isOther(born time.Time) bool {
	if !w.m.scope.newIDs || born.Equal(w.born) {
		return false
	}
	w.m.tracef("%s refuses a call to a former incarnation", w.name)
	return true
}

// accept applies the fencing token of an order and reports whether the worker may carry out
// the order.
func (w *modelWorker) accept(token cfcore.FencingToken) bool {
	if token < w.fencingToken && !w.m.faults.skipFencing {
		return false
	}
	w.fencingToken = max(w.fencingToken, token)
	return true
}

// extend extends the leases of all runs.
func (w *modelWorker) extend(until time.Duration) {
	if longest := w.clock() + maxLease; until > longest {
		w.m.tracef("%s shortens a lease to the maximum", w.name)
		until = longest
	}
	if until <= w.leaseUntil {
		return
	}
	if w.lapsed && until > w.clock() {
		w.lapsed = false
		w.m.tracef("%s: leases are valid again", w.name)
	}
	w.leaseUntil = until
}

// hold extends leases, forgets acknowledged ends and lists the runs.
func (w *modelWorker) hold(born time.Time, token cfcore.FencingToken, until time.Duration, lastSeen uint64) (cfcore.RunLists, cfcore.ExecutorKind) {
	if w.isDown() {
		return cfcore.RunLists{}, cfcore.ExecutorOutcomeUnknown
	}
	if w.isOther(born) {
		return cfcore.RunLists{}, cfcore.ExecutorOtherIncarnation
	}
	if w.refuses() {
		return cfcore.RunLists{}, cfcore.ExecutorUnhealthy
	}
	if !w.accept(token) {
		return cfcore.RunLists{}, cfcore.ExecutorFenced
	}
	w.m.checkStored(w, lastSeen)
	for len(w.ended) > 0 && w.ended[0].Number <= lastSeen {
		w.m.acknowledgeEnd(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	if w.m.faults.relativeLeases && until > 0 {
		until = w.clock() + settings.LeaseTime
	}
	w.extend(until)
	return w.lists(), ""
}

// lists returns the run lists.
func (w *modelWorker) lists() cfcore.RunLists {
	l := cfcore.RunLists{Clock: w.clock(), Born: w.born, Ended: slices.Clone(w.ended)}
	if w.m.scope.shortLists && len(l.Ended) > maxListedEnds {
		l.Ended, l.MoreEnds = l.Ended[:maxListedEnds], true
		w.m.tracef("%s: ends are left out of its lists", w.name)
	}
	for _, n := range w.runningTasks() {
		r := w.runs[n]
		l.Running = append(l.Running, cfcore.RunningTask{Task: n, Run: r.id, Percent: w.percent(n, r), Checkpoint: w.saved(n, r)})
	}
	return l
}

// start carries out a start order.
func (w *modelWorker) start(born time.Time, token cfcore.FencingToken, n cfcore.TaskName, run uint64, until time.Duration, checkpoint string) cfcore.ExecutorKind {
	if w.isDown() {
		return cfcore.ExecutorOutcomeUnknown
	}
	if w.isOther(born) {
		return cfcore.ExecutorOtherIncarnation
	}
	fails := false
	if w.m.now.Before(w.unhealthyUntil) {
		switch w.m.uniform(2, "health") {
		case 0, 1:
			return cfcore.ExecutorUnhealthy
		case 2:
			fails = true
		}
	}
	if !w.accept(token) {
		return cfcore.ExecutorFenced
	}
	if r := w.runs[n]; r != nil && r.id == run {
		w.extend(until)
		return ""
	}
	if run <= w.highestRun[n] || w.runs[n] != nil {
		w.extend(until)
		return cfcore.ExecutorStale
	}
	if len(w.runs) >= w.room() {
		w.m.tracef("%s: run %x of %s has no room", w.name, run, taskString(n))
		w.extend(until)
		return cfcore.ExecutorNoCapacity
	}
	if until <= w.clock() {
		return cfcore.ExecutorLeaseExpired
	}
	w.extend(until)
	w.m.tracef("%s: run %x of %s starts, leases until %s on a clock at %s", w.name, run, taskString(n), w.leaseUntil, w.clock())
	w.runs[n] = &modelRun{id: run, isOrphaned: w.m.isOrphaned, fails: fails, checkpoint: checkpoint}
	w.resume(n, w.runs[n])
	w.m.checkStart(w, n, run)
	return ""
}

// stop carries out a stop order.
func (w *modelWorker) stop(born time.Time, token cfcore.FencingToken, n cfcore.TaskName, run uint64) cfcore.ExecutorKind {
	if w.isDown() {
		return cfcore.ExecutorOutcomeUnknown
	}
	if w.isOther(born) {
		return cfcore.ExecutorOtherIncarnation
	}
	if w.refuses() {
		return cfcore.ExecutorUnhealthy
	}
	if !w.accept(token) {
		return cfcore.ExecutorFenced
	}
	w.highestRun[n] = max(w.highestRun[n], run)
	if r := w.runs[n]; r != nil && r.id == run {
		w.stopRun(n, r)
	}
	return ""
}

// stopRun stops a run, at once or after a time in which it can still end in another way.
func (w *modelWorker) stopRun(n cfcore.TaskName, r *modelRun) {
	if !w.m.scope.slowStops {
		w.endRun(n, cfcore.EndStopped)
		return
	}
	if r.stopAt.IsZero() {
		r.stopAt = w.m.now.Add(w.m.ticks(3, "stop takes"))
		w.m.tracef("%s: run %x of %s is stopped after %s", w.name, r.id, taskString(n), r.stopAt.Sub(w.m.now))
	}
}

func taskString(n cfcore.TaskName) string {
	if n.Occurrence > 0 || n.Step > 0 {
		return fmt.Sprintf("%s.%d.%d.%d", n.Job[12:], n.Occurrence, n.Step, n.Index)
	}
	return fmt.Sprintf("%s.%d", n.Job[12:], n.Index)
}

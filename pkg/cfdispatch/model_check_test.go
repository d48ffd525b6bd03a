package cfdispatch_test

import (
	"fmt"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
)

// modelEnd is what is known about a run that ended as done. The planners don't see it.
type modelEnd struct {
	worker string
	born   time.Time
	number uint64
	run    uint64
	// lapsed is set if the worker's leases expired before the end was acknowledged. The end
	// then doesn't count, even if it is acknowledged later.
	lapsed bool
	acked  bool
	// ackedAt is when the end was acknowledged.
	ackedAt time.Time
	// restarted is set once the task has started again. isOrphaned is set if the run, or the one
	// that started again, is orphaned.
	restarted, isOrphaned bool
	// listed is set if the end counts as acknowledged since it was listed, see markListed.
	listed bool
}

// The kinds of violations.
const (
	violationTwoRuns = "two runs at the same time"
	// violationAcked is a start after an end that counts, see modelEnd.
	violationAcked = "start after an acknowledged end"
	// violationRecorded is a start that was ordered after its task was recorded as done. The end
	// of the earlier run possibly doesn't count. A start that was ordered before that is stopped.
	violationRecorded = "start ordered although recorded as done"
	// violationCopy is a start of a duplicable task over a second after an end of it was acknowledged.
	violationCopy = "copy long after an acknowledged end"
	// violationUnstored is the acknowledgement of an end before the store has what follows from it.
	violationUnstored = "acknowledged end is not stored"
	// violationOtherLife is a start that was sent after a failed call and carried out by the next incarnation.
	violationOtherLife = "start sent after a failed call in another incarnation"
)

// violation is a breach of the rule that no task runs twice.
type violation struct {
	kind string
	text string
	task cfcore.TaskName
	// isOrphaned is set if an orphaned run is involved, see modelRun.
	isOrphaned bool
}

// tracef adds an event to the trace.
func (m *model) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%5.1f  ", m.now.Sub(epochStart).Seconds())+fmt.Sprintf(format, args...))
}

// violate records a violation.
func (m *model) violate(kind string, n cfcore.TaskName, isOrphaned bool, format string, args ...any) {
	text := fmt.Sprintf("after %s: task %s: %s: ", m.now.Sub(epochStart), taskString(n), kind) + fmt.Sprintf(format, args...)
	m.tracef("VIOLATION %s", text)
	m.violations = append(m.violations, violation{kind: kind, text: text, task: n, isOrphaned: isOrphaned})
}

// violation returns the text of the first violation, or "".
func (m *model) violation() string {
	if len(m.violations) == 0 {
		return ""
	}
	return m.violations[0].text
}

// addEnd remembers a run that ended as done.
func (m *model) addEnd(w *modelWorker, n cfcore.TaskName, number uint64, isOrphaned bool) {
	k := m.endKey(n)
	m.ends[k] = append(m.ends[k], &modelEnd{worker: w.name, born: w.born, number: number, run: w.highestRun[n], isOrphaned: isOrphaned})
}

// findEnd returns the end with the number that a worker gave it, or nil if the run did not
// end as done.
func (m *model) findEnd(w *modelWorker, e cfcore.EndedTask) *modelEnd {
	for _, x := range m.ends[m.endKey(e.Task)] {
		if x.worker == w.name && x.born.Equal(w.born) && x.number == e.Number {
			return x
		}
	}
	return nil
}

// markLapsed marks the ends that a worker holds while its leases have expired.
func (m *model) markLapsed(w *modelWorker) {
	for _, e := range w.ended {
		if x := m.findEnd(w, e); x != nil {
			x.lapsed = true
		}
	}
}

// acknowledgeEnd checks that the task of an end that counts has not started again.
func (m *model) acknowledgeEnd(w *modelWorker, e cfcore.EndedTask) {
	x := m.findEnd(w, e)
	if x == nil {
		return
	}
	if !x.acked {
		x.acked, x.ackedAt = true, m.now
	}
	m.tracef("%s: end %d (run %x of %s) is acknowledged, lapsed before: %v", w.name, e.Number, e.Run, taskString(e.Task), x.lapsed)
	if x.restarted && !x.lapsed && !m.step(e.Task).Duplicable {
		m.violate(violationAcked, e.Task, x.isOrphaned, "end of run %x on %s is acknowledged after the task started again", e.Run, w.name)
	}
}

// copyGrace is how long after an acknowledged end copies of the task may start.
const copyGrace = time.Second

// checkCopy checks that a copy does not start long after an end of its task, unless the worker carries out the
// start late. The rule also exempts agents that are not in touch; a cut from a planner leaves an agent in touch.
func (m *model) checkCopy(w *modelWorker, n cfcore.TaskName, run uint64) {
	if m.isLateStart {
		return
	}
	for _, x := range m.ends[m.endKey(n)] {
		if x.acked && !x.lapsed && m.now.Sub(x.ackedAt) > copyGrace {
			m.violate(violationCopy, n, m.isOrphaned, "run %x starts on %s, run %x has ended on %s", run, w.name, x.run, x.worker)
		}
	}
}

// checkStart checks that the task of a run that starts has not ended before. The rule allows copies
// then for a while, except those that a planner orders which is in touch with the store, see checkOrdered.
func (m *model) checkStart(w *modelWorker, n cfcore.TaskName, run uint64) {
	if m.step(n).Duplicable {
		m.checkCopy(w, n, run)
		return
	}
	for _, x := range m.ends[m.endKey(n)] {
		x.restarted, x.isOrphaned = true, x.isOrphaned || m.isOrphaned
		m.checkNotListed(x, n)
		if x.acked && !x.lapsed {
			m.addStartOfEnded(x, w.runningStart(n))
			m.violate(violationAcked, n, x.isOrphaned, "run %x starts on %s, run %x has ended on %s", run, w.name, x.run, x.worker)
		}
	}
	if at, ok := m.recordedAt[n]; ok && m.orderedAt[run].After(at) {
		m.violate(violationRecorded, n, m.isOrphaned, "run %x starts on %s", run, w.name)
	}
}

// markRecorded remembers which tasks the store has as done.
func (m *model) markRecorded(p cfdispatch.JobProgress) {
	j := m.jobs[p.ID].Job
	for k := range j.Occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				n := cfcore.TaskName{Job: p.ID, Occurrence: k, Step: s, Index: i}
				if _, ok := m.recordedAt[n]; !ok && p.Progress.IsDone(j.Position(n)) {
					m.recordedAt[n] = m.now
				}
			}
		}
	}
}

// checkStored checks that the store has what follows from a worker's ends up to a number.
func (m *model) checkStored(w *modelWorker, number uint64) {
	for _, e := range w.ended {
		if e.Number <= number && !m.isStored(e) {
			m.violate(violationUnstored, e.Task, w.orphanedEnds[e.Number], "end %d of %s, run %x, %s", e.Number, w.name, e.Run, e.How)
		}
	}
}

// isStored reports whether the store has what follows from an end. Nothing does from a failed end of a task that
// lasts: it has no limit of attempts.
func (m *model) isStored(e cfcore.EndedTask) bool {
	j := m.jobs[e.Task.Job]
	if e.How != cfcore.EndDone && (e.How != cfcore.EndFailed || m.step(e.Task).LongRunning) || j.Ended() {
		return true
	}
	position := j.Job.Position(e.Task)
	if j.Progress == nil || j.Progress.IsDone(position) {
		return j.Progress != nil
	}
	return e.How == cfcore.EndFailed && slices.Contains(j.Progress.Tasks[position].Failed, e.Run)
}

// checkOrdered checks that the newest planner orders no start of a task that is recorded as done.
func (m *model) checkOrdered(p *modelPlanner, n cfcore.TaskName, run uint64) {
	if _, ok := m.recordedAt[n]; ok && p == m.planners[len(m.planners)-1] {
		m.violate(violationRecorded, n, false, "run %x is ordered by planner %d", run, p.epoch)
	}
}

// checkUniqueRuns checks that no task has two runs at the same time. It reports each task
// once.
func (m *model) checkUniqueRuns() {
	seen := map[cfcore.TaskName]*modelWorker{}
	for _, w := range m.workers {
		for _, n := range w.runningTasks() {
			if other := seen[n]; other != nil && !m.twoRuns[n] {
				m.twoRuns[n] = true
				if m.step(n).Duplicable {
					m.tracef("copy of run %x of %s", other.runs[n].id, taskString(n))
					continue
				}
				m.checkStartPair(other.runningStart(n), w.runningStart(n))
				m.violate(violationTwoRuns, n, other.runs[n].isOrphaned || w.runs[n].isOrphaned, "run %x on %s and run %x on %s", other.runs[n].id, other.name, w.runs[n].id, w.name)
			}
			seen[n] = w
		}
	}
}

package cfdispatch

import (
	"maps"
	"slices"
	"time"

	"cranberryford/pkg/cfjob"
)

// JobProgress is progress of a job that must be recorded. Progress is part 0, or nil if it
// need not be recorded yet. Parts holds other parts by number (see cfjob.PartOf).
type JobProgress struct {
	ID       string
	Progress *cfjob.Progress
	Parts    map[int]*cfjob.Progress
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

const (
	// maxProgressBytes bounds the estimated size of the progress that one call of
	// TakeUnrecordedProgress returns, except for its last part. The platform limits the size
	// of a call to 2 MB.
	maxProgressBytes = 1 << 20
	// taskProgressBytes estimates the encoded size of a cfjob.TaskProgress without its strings,
	// and failedRunBytes the size of a run number in it.
	taskProgressBytes = 40
	failedRunBytes    = 9
)

// TakeUnrecordedProgress returns the progress to record now. Once this progress is recorded,
// the second result must be passed to MarkEndsRecorded. If force is set, the progress
// includes starts that could be recorded later, see startedDelay. If there is more progress
// than maxProgressBytes, later calls return the rest, and the second result is empty until
// then.
func (p *Planner) TakeUnrecordedProgress(now time.Time, force bool) ([]JobProgress, []EndedRunsPosition) {
	var progress []JobProgress
	p.hasUnrecordedOutcome = false
	size := 0
	for id, j := range p.unrecordedJobs {
		if !j.dirty && !force && now.Sub(j.startUnrecordedSince) < startedDelay {
			continue
		}
		u, n := j.takeProgress(maxProgressBytes - size)
		size += n
		progress = append(progress, u)
		if u.Progress == nil {
			p.hasUnrecordedOutcome = true
			return progress, nil
		}
		delete(p.unrecordedJobs, id)
		j.dirty = false
	}
	var ends []EndedRunsPosition
	for _, w := range p.workers {
		if w.ends.lastEnd > w.ends.recordedEnd {
			ends = append(ends, EndedRunsPosition{Agent: w.agent, Born: w.state.Born, Number: w.ends.lastEnd})
		}
	}
	for _, f := range p.formerEnds {
		if f.ends.lastEnd > f.ends.recordedEnd {
			ends = append(ends, EndedRunsPosition{Agent: f.w.agent, Born: f.born, Number: f.ends.lastEnd})
		}
	}
	return progress, ends
}

// takeProgress returns the unrecorded progress of a job and its estimated size. It ends with
// the part that reaches limit. Part 0 comes last, since it holds the outcome.
func (j *job) takeProgress(limit int) (JobProgress, int) {
	u, size := JobProgress{ID: j.ID}, 0
	for _, part := range slices.Sorted(maps.Keys(j.unrecordedParts)) {
		if size >= limit {
			j.dirty = true
			return u, size
		}
		if u.Parts == nil {
			u.Parts = map[int]*cfjob.Progress{}
		}
		tasks, n := j.savedTasks(part)
		u.Parts[part] = &cfjob.Progress{Tasks: tasks}
		size += n
		delete(j.unrecordedParts, part)
	}
	if size >= limit {
		j.dirty = true
		return u, size
	}
	tasks, n := j.savedTasks(0)
	u.Progress = &cfjob.Progress{Started: j.started, Outcome: j.outcome, EndedAt: j.endedAt, Tasks: tasks}
	u.Progress.SetDonePositions(&j.done)
	return u, size + n + len(u.Progress.Done)
}

// savedTasks returns the state of the tasks of a part of a job's progress, and its estimated
// encoded size.
func (j *job) savedTasks(part int) (map[int]cfjob.TaskProgress, int) {
	if len(j.saved[part]) == 0 {
		return nil, 0
	}
	size := 0
	tasks := make(map[int]cfjob.TaskProgress, len(j.saved[part]))
	for position, t := range j.saved[part] {
		tasks[position] = cfjob.TaskProgress{Failed: t.failedRuns, Checkpoint: t.checkpoint, Run: t.lastRun}
		size += taskProgressBytes + len(t.checkpoint) + failedRunBytes*len(t.failedRuns)
	}
	return tasks, size
}

// save notes that the state of a task must be part of the job's next progress.
func (j *job) save(t *task) {
	part := cfjob.PartOf(t.pos)
	if t.done || len(t.failedRuns) == 0 && t.checkpoint == "" {
		if j.saved[part][t.pos] == nil {
			return
		}
		delete(j.saved[part], t.pos)
	} else {
		if j.saved[part] == nil {
			j.saved[part] = map[int]*task{}
		}
		j.saved[part][t.pos] = t
	}
	if part != 0 {
		j.unrecordedParts[part] = true
	}
}

// HasUnrecordedOutcome reports whether a job has ended since the last call of
// TakeUnrecordedProgress. The job's caller waits until the outcome is recorded.
func (p *Planner) HasUnrecordedOutcome() bool { return p.hasUnrecordedOutcome }

// MarkEndsRecorded marks the ends of runs as recorded. The next call of TakeOrders passes
// this on to the agents, in Orders.RecordedEnd.
func (p *Planner) MarkEndsRecorded(ends []EndedRunsPosition) {
	for _, e := range ends {
		if w := p.workers[e.Agent]; w != nil && w.state.Born.Equal(e.Born) {
			w.ends.recordedEnd = max(w.ends.recordedEnd, e.Number)
			p.ackPending[w] = true
		}
		if f := p.findFormerEnds(e.Agent, e.Born); f != nil {
			f.ends.recordedEnd = max(f.ends.recordedEnd, e.Number)
		}
	}
}

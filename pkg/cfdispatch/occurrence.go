package cfdispatch

import (
	"cmp"
	"slices"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
)

// A job can have many more tasks than the planner's memory could hold. The planner creates an
// occurrence when it is due, and a task when it is first placed or has recorded state. It
// drops a task that is done and has no run, and an occurrence without such tasks.

// maxWaitingSteps bounds the due occurrences of a job in memory that wait for their first
// start, by their number of steps. One such occurrence is always in memory. The later ones
// have the same steps, so they would wait for the same workers.
const maxWaitingSteps = 200

// occurrence is one occurrence of a job's steps.
type occurrence struct {
	index int
	steps []stepState
	// remaining is the number of tasks that are not done. tasks is the number of tasks in memory.
	remaining int
	tasks     int
	// liveRuns is the number of runs of the occurrence that the planner keeps, see run.
	liveRuns int
}

// stepState is the state of a step in one occurrence of a job.
type stepState struct {
	// firstPosition is the position of the first task, see cfjob.Job.Position.
	firstPosition int
	// tasks holds the tasks in memory by index, and nil for other tasks. Tasks beyond its end
	// are not in memory.
	tasks []*task
	// firstOpen is an index: all tasks before it are done.
	firstOpen int
	// remaining is the number of tasks that are not done.
	remaining int
	advice    advice
}

// taskInMemory returns the task with the given index, or nil if it is not in memory.
func (st *stepState) taskInMemory(i int) *task {
	if i < len(st.tasks) {
		return st.tasks[i]
	}
	return nil
}

// restoreProgress restores the recorded progress of a job.
func (j *job) restoreProgress(e *cfjob.StoredJob) {
	j.tasksPerOccurrence = j.TasksPerOccurrence()
	for i := range j.Steps {
		j.duplicable = j.duplicable || j.Steps[i].Duplicable
	}
	if e.Progress != nil {
		j.done = e.Progress.DonePositions()
		j.nextOccurrence = j.done.Below() / j.tasksPerOccurrence
	}
	for position, tp := range e.TaskProgress() {
		if position < 0 || position/j.tasksPerOccurrence >= j.Occurrences() || j.done.Has(position) {
			continue
		}
		t := j.taskAt(position)
		t.failedRuns, t.checkpoint, t.lastRun = tp.Failed, tp.Checkpoint, tp.Run
		j.save(t)
		if part := cfjob.PartOf(position); e.Parts[part] != nil {
			delete(j.unrecordedParts, part)
		}
	}
}

// taskAt returns the task at a position of the job.
func (j *job) taskAt(position int) *task {
	o := j.occurrence(position / j.tasksPerOccurrence)
	s, _ := slices.BinarySearchFunc(o.steps, position+1, func(st stepState, p int) int { return cmp.Compare(st.firstPosition, p) })
	return j.task(o, s-1, position-o.steps[s-1].firstPosition)
}

// buildDueOccurrences creates the occurrences that are due, with the limit of maxWaitingSteps.
func (p *Planner) buildDueOccurrences(now time.Time, j *job) {
	for j.nextOccurrence < j.Occurrences() && !now.Before(j.Due(j.nextOccurrence)) && j.waitingSteps() < maxWaitingSteps {
		o := j.occurrence(j.nextOccurrence)
		j.nextOccurrence++
		j.dropOccurrence(o)
	}
	p.completeJob(now, j)
}

// waitingSteps returns the number of steps of the occurrences in memory that have not begun.
func (j *job) waitingSteps() int {
	n := 0
	for _, o := range j.occurrences {
		if o.liveRuns == 0 && o.remaining == j.tasksPerOccurrence {
			n += len(o.steps)
		}
	}
	return n
}

// findOccurrence returns the occurrence with index k if it is in memory, or nil. The second
// result is where it is in j.occurrences, or where it would be inserted.
func (j *job) findOccurrence(k int) (*occurrence, int) {
	i, ok := slices.BinarySearchFunc(j.occurrences, k, func(o *occurrence, k int) int { return cmp.Compare(o.index, k) })
	if !ok {
		return nil, i
	}
	return j.occurrences[i], i
}

// occurrence returns the occurrence with index k. It creates it if it is not in memory.
func (j *job) occurrence(k int) *occurrence {
	o, i := j.findOccurrence(k)
	if o != nil {
		return o
	}
	o = &occurrence{index: k, steps: make([]stepState, len(j.Steps))}
	position := k * j.tasksPerOccurrence
	for s := range o.steps {
		st := &o.steps[s]
		st.firstPosition = position
		for range j.Steps[s].Count {
			if !j.done.Has(position) {
				st.remaining++
			}
			position++
		}
		o.remaining += st.remaining
	}
	j.remaining += o.remaining
	j.occurrences = slices.Insert(j.occurrences, i, o)
	return o
}

// dropOccurrence drops an occurrence whose tasks are done and not in memory.
func (j *job) dropOccurrence(o *occurrence) {
	if o.remaining > 0 || o.tasks > 0 {
		return
	}
	if _, i := j.findOccurrence(o.index); i < len(j.occurrences) && j.occurrences[i] == o {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
	}
}

// task returns task i of step s in an occurrence. It creates the task if it is not in memory.
func (j *job) task(o *occurrence, s, i int) *task {
	st := &o.steps[s]
	if t := st.taskInMemory(i); t != nil {
		return t
	}
	t := &task{
		j: j, o: o, pos: st.firstPosition + i, step: &j.Steps[s],
		name: cfcore.TaskName{Job: j.ID, Occurrence: o.index, Step: s, Index: i},
	}
	t.done = j.done.Has(t.pos)
	if i >= len(st.tasks) {
		st.tasks = append(st.tasks, make([]*task, i+1-len(st.tasks))...)
	}
	st.tasks[i] = t
	o.tasks++
	return t
}

// state returns the state of the task's step in the task's occurrence.
func (t *task) state() *stepState { return &t.o.steps[t.name.Step] }

// dropIfDone drops a task that is done and has no run.
func (t *task) dropIfDone() {
	st := t.state()
	if !t.done || len(t.runs) > 0 || st.taskInMemory(t.name.Index) != t {
		return
	}
	st.tasks[t.name.Index] = nil
	if st.remaining == 0 && !slices.ContainsFunc(st.tasks, func(t *task) bool { return t != nil }) {
		st.tasks = nil
	}
	t.o.tasks--
	t.j.dropOccurrence(t.o)
}

// markDone marks task i of step s in an occurrence as done.
func (j *job) markDone(o *occurrence, s, i int) {
	st := &o.steps[s]
	j.done.Add(st.firstPosition + i)
	st.remaining--
	o.remaining--
	j.remaining--
	if t := st.taskInMemory(i); t != nil {
		t.done = true
		j.save(t)
	}
}

// findTask returns the task with the given name if it is in memory, or nil.
func (p *Planner) findTask(n cfcore.TaskName) *task {
	j := p.jobs[n.Job]
	if j == nil || !j.hasTask(n) {
		return nil
	}
	if o, _ := j.findOccurrence(n.Occurrence); o != nil {
		return o.steps[n.Step].taskInMemory(n.Index)
	}
	return nil
}

// lookupTask returns the task with the given name, or nil if there is no such task. It creates
// the task if it is not in memory.
func (p *Planner) lookupTask(n cfcore.TaskName) *task {
	j := p.jobs[n.Job]
	if j == nil || !j.hasTask(n) {
		return nil
	}
	return j.task(j.occurrence(n.Occurrence), n.Step, n.Index)
}

// hasTask reports whether the job has a task with the given name. A job that had ended when it
// was added has none.
func (j *job) hasTask(n cfcore.TaskName) bool { return j.tasksPerOccurrence > 0 && j.Position(n) >= 0 }

// allTasks calls f for each task of the job that is in memory.
func (j *job) allTasks(f func(*task)) {
	for _, o := range j.occurrences {
		for s := range o.steps {
			for _, t := range o.steps[s].tasks {
				if t != nil {
					f(t)
				}
			}
		}
	}
}

// dropTasksIfOver drops the tasks of a job that has ended and has no run.
func (j *job) dropTasksIfOver() {
	if j.isOver() && j.liveRuns == 0 {
		j.occurrences, j.remaining = nil, 0
		clear(j.saved)
		clear(j.unrecordedParts)
	}
}

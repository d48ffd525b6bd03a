package cfdispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// serviceLevel estimates how well a latency-critical job serves its users. The platform counts a
// job as served by the share of its tasks at work, less overTargetPenalty times the share of its
// tasks that are over their targets because of best-effort tasks. A quarter of a job's tasks over
// their targets is therefore as bad as all of them, and a job whose tasks are on many workers is
// served worse than the average of its tasks.
type serviceLevel struct {
	// overShare is the share of the job's tasks over their targets, averaged over overMemory.
	overShare float64
	// mean is the served share, averaged over levelMemory or since the planner has the job,
	// whichever is shorter. age is for how long it has been averaged.
	mean float64
	age  time.Duration
	// isUnderserved is set while the job is served much less than the other latency-critical jobs
	// of its queue, see markUnderserved. It was last set at underservedAt.
	isUnderserved bool
	underservedAt time.Time
}

const (
	overTargetPenalty = 4
	// levelInterval is the time between two updates of the service levels. Reports have the same
	// interval.
	levelInterval = 300 * time.Millisecond
	overMemory    = time.Second
	levelMemory   = 12 * time.Second
	// minLevelMemory keeps the first reports on a job from determining its level alone.
	minLevelMemory = 2 * time.Second
)

// update adds the state of the last period of time to the estimate. atWork and over are the
// shares of the job's tasks that are at work, and that are over their targets. The estimate begins
// once a task is at work.
func (l *serviceLevel) update(period time.Duration, atWork, over float64) {
	if l.age == 0 {
		if atWork == 0 {
			return
		}
		l.mean = 1
	}
	l.age += period
	l.overShare += (over - l.overShare) * min(1, float64(period)/float64(overMemory))
	served := max(0, atWork-overTargetPenalty*l.overShare)
	l.mean += (served - l.mean) * min(1, float64(period)/float64(min(levelMemory, minLevelMemory+l.age)))
}

// updateServiceLevels updates the service levels of all latency-critical jobs and decides which of
// them are underserved.
func (p *Planner) updateServiceLevels(now time.Time) {
	period := min(now.Sub(p.levelsUpdatedAt), overMemory)
	if period < levelInterval {
		return
	}
	p.levelsUpdatedAt = now
	queues := map[string][]*job{}
	for _, j := range p.open {
		if tasks := j.criticalTasks(); tasks > 0 {
			atWork, over := j.countServing()
			j.level.update(period, float64(atWork)/float64(tasks), float64(over)/float64(tasks))
			if j.level.age > 0 {
				queues[j.queue.Name] = append(queues[j.queue.Name], j)
			}
		}
	}
	p.hasUnderserved = false
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		p.markUnderserved(now, queues[name])
		p.hasUnderserved = p.hasUnderserved || slices.ContainsFunc(queues[name], func(j *job) bool { return j.level.isUnderserved })
	}
}

// criticalTasks returns the number of latency-critical tasks of a job.
func (j *job) criticalTasks() int {
	n := 0
	for i := range j.Steps {
		if j.Steps[i].TailTarget > 0 {
			n += j.Steps[i].Count
		}
	}
	return n
}

// countServing returns how many latency-critical tasks of a job are at work, and how many are over
// their targets beside best-effort tasks.
func (j *job) countServing() (atWork, over int) {
	j.allTasks(func(t *task) {
		if !t.isLatencyCritical() {
			return
		}
		if t.isAvailable() {
			atWork++
		}
		if slices.ContainsFunc(t.runs, func(r *run) bool { return !r.overSince.IsZero() }) {
			over++
		}
	})
	return atWork, over
}

const (
	// A job becomes underserved if its service level is below underservedShare times the mean of
	// its queue. This is above the half that the platform requires of large jobs, since it takes
	// seconds until such a job is served better. It stays underserved until it has reached the
	// mean, but at least minUnderserved.
	underservedShare = 0.8
	minUnderserved   = 3 * time.Second
	// maxUnderservedShare limits the tasks of underserved jobs to a share of the queue's tasks, so
	// that best-effort tasks have other places. A single job can have more.
	maxUnderservedShare = 0.5
	// minOverShare is the share of a job's tasks over their targets below which it is not
	// underserved: a job whose tasks are not at work gains nothing from free workers.
	minOverShare = 0.01
)

// markUnderserved decides which latency-critical jobs of a queue are underserved. The largest come
// first: the platform's requirement is about them.
func (p *Planner) markUnderserved(now time.Time, jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.criticalTasks(), a.criticalTasks()), cmp.Compare(a.ID, b.ID))
	})
	mean, tasks, underserved := 0.0, 0, 0
	for _, j := range jobs {
		mean += j.level.mean / float64(len(jobs))
		tasks += j.criticalTasks()
	}
	for _, j := range jobs {
		if j.level.isUnderserved && j.level.mean >= mean && now.Sub(j.level.underservedAt) >= minUnderserved {
			j.level.isUnderserved = false
			p.addLevelEvent(EventServedAgain, now, j)
		}
		if j.level.isUnderserved {
			underserved += j.criticalTasks()
		}
	}
	for _, j := range jobs {
		n := j.criticalTasks()
		if j.level.isUnderserved || j.level.overShare < minOverShare || j.level.mean >= underservedShare*mean || underserved > 0 && float64(underserved+n) > maxUnderservedShare*float64(tasks) {
			continue
		}
		underserved += n
		j.level.isUnderserved, j.level.underservedAt = true, now
		p.addLevelEvent(EventUnderserved, now, j)
	}
}

package cfdispatch

import "time"

// queueRatios holds the learned ratio of each queue, by queue name.
type queueRatios map[string]*ratio

// ratio is a moving average of the actual durations of tasks divided by their declared
// durations.
type ratio struct {
	mean    float64
	samples int
}

// learnRate is the minimum weight of a new sample in the moving average. The nth sample has
// the weight 1/n while this is more than learnRate.
const learnRate = 0.05

// addSample adds the duration of a task to the ratio of the task's queue. took is the
// actual duration, from the task's start to its end. addSample ignores the sample if the
// actual or the declared duration is not positive.
func (d queueRatios) addSample(t *task, took time.Duration) {
	if t.step.Estimate <= 0 || took <= 0 {
		return
	}
	r := d[t.j.Queue.Name]
	if r == nil {
		r = &ratio{}
		d[t.j.Queue.Name] = r
	}
	r.samples++
	rate := max(learnRate, 1/float64(r.samples))
	r.mean += rate * (float64(took)/float64(t.step.Estimate) - r.mean)
}

// expectedDuration returns the expected duration of a task in a queue, given the task's
// declared duration. The result is the declared duration until the queue has 5 samples.
func (d queueRatios) expectedDuration(queue string, declared time.Duration) time.Duration {
	if r := d[queue]; r != nil && r.samples >= 5 {
		return time.Duration(r.mean * float64(declared))
	}
	return declared
}

// criticalPath returns the expected duration of a job's longest chain of steps.
func (p *Planner) criticalPath(j *job) time.Duration {
	finish := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, a := range j.Steps[i].After {
			start = max(start, finish[a])
		}
		finish[i] = start + p.durationRatios.expectedDuration(j.Queue.Name, j.Steps[i].Estimate)
		longest = max(longest, finish[i])
	}
	return longest
}

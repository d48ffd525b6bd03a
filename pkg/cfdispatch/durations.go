package cfdispatch

import "time"

// durations holds the learned ratios of actual to declared durations by queue name.
type durations map[string]*ratio

// ratio is a moving average of actual durations divided by declared ones.
type ratio struct {
	mean    float64
	samples int
}

// learnRate is the weight of a new sample once there are many samples.
const learnRate = 0.05

// add records how long a task took from its start to its end.
func (d durations) add(t *task, took time.Duration) {
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

// expect returns the expected duration of a task with the given declared duration. It returns
// the declared duration until the queue has 5 samples.
func (d durations) expect(queue string, declared time.Duration) time.Duration {
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
		finish[i] = start + p.durationRatios.expect(j.Queue.Name, j.Steps[i].Estimate)
		longest = max(longest, finish[i])
	}
	return longest
}

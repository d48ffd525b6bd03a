package cfdispatch

import "time"

// durations are the learnt ratios of real to declared durations, by queue.
type durations map[string]*ratio

// ratio is a moving average.
type ratio struct {
	mean float64
	n    int
}

// learnRate is the weight of a new observation once there are many.
const learnRate = 0.05

// add notes how long a task took from its start to its end.
func (d durations) add(t *task, took time.Duration) {
	if t.step.Estimate <= 0 || took <= 0 {
		return
	}
	r := d[t.j.Queue.Name]
	if r == nil {
		r = &ratio{}
		d[t.j.Queue.Name] = r
	}
	r.n++
	rate := max(learnRate, 1/float64(r.n))
	r.mean += rate * (float64(took)/float64(t.step.Estimate) - r.mean)
}

// expect returns how long a task with a declared duration is expected to take.
func (d durations) expect(queue string, declared time.Duration) time.Duration {
	if r := d[queue]; r != nil && r.n >= 5 {
		return time.Duration(r.mean * float64(declared))
	}
	return declared
}

// chain returns the expected duration of a job's longest chain of steps.
func (p *Planner) chain(j *job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + p.learnt.expect(j.Queue.Name, j.Steps[i].Estimate)
		longest = max(longest, ends[i])
	}
	return longest
}

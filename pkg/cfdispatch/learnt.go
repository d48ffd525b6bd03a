package cfdispatch

import "cranberryford/pkg/cfharm"

// Learnt is what a planner has learnt of tasks, for the planner after it. Load: a planner
// that ends beside a fleet full of services and fillers; without it the next one places
// fillers beside the services that they disturb until it has seen each pair itself.
type Learnt struct {
	Pressure *cfharm.Learnt
	// Durations are by queue.
	Durations map[string]LearntDuration
}

// LearntDuration is the ratio of real to declared durations of a queue's tasks.
type LearntDuration struct {
	// Ratio is in thousandths.
	Ratio int
	// Seen is the number of tasks that it was learnt from, up to maxSeen.
	Seen int
}

const (
	// ratioUnit is the part of a ratio that is kept.
	ratioUnit = 1000
	// maxSeen bounds what is kept of the number of tasks: from 1/learnRate on it makes no
	// difference.
	maxSeen = 20
)

// Learnt returns what was learnt so far.
func (p *Planner) Learnt() *Learnt {
	l := &Learnt{Pressure: p.pressure.Learnt(), Durations: map[string]LearntDuration{}}
	for queue, r := range p.learnt {
		l.Durations[queue] = LearntDuration{Ratio: int(r.mean*ratioUnit + 0.5), Seen: min(r.n, maxSeen)}
	}
	return l
}

// Restore takes in what an earlier planner had learnt.
func (p *Planner) Restore(l *Learnt) {
	if l.Pressure != nil {
		p.pressure.Restore(l.Pressure)
	}
	for queue, d := range l.Durations {
		if d.Ratio > 0 && d.Seen > 0 {
			p.learnt[queue] = &ratio{mean: float64(d.Ratio) / ratioUnit, n: d.Seen}
		}
	}
}

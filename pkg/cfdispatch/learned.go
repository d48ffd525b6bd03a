package cfdispatch

import "cranberryford/pkg/cfinterference"

// Learned is what a planner has learned about tasks, for the next planner. Without this
// data, a new planner in a full fleet places best-effort tasks next to latency-critical
// tasks that they slow down, until it has observed each pair of images itself.
type Learned struct {
	// Effects holds the effects of best-effort tasks on latency-critical tasks, by pair of
	// images. RestoreLearned ignores Effects if it is nil.
	Effects *cfinterference.LearnedEffects `cbor:"Pressure"`
	// Durations are indexed by queue name.
	Durations map[string]LearnedDuration
}

// LearnedDuration is the ratio of actual to declared durations of a queue's tasks.
type LearnedDuration struct {
	// Ratio is in thousandths.
	Ratio int
	// Samples is the number of tasks that the ratio was learned from, up to maxSamples.
	Samples int `cbor:"Seen"`
}

const (
	// ratioUnit is the stored value of a ratio of 1.
	ratioUnit = 1000
	// maxSamples is the maximum stored number of samples. The nth sample of a queue has the
	// weight 1/n, but at least learnRate. maxSamples is 1/learnRate, so all further samples
	// have the weight learnRate, and a higher stored number would make no difference.
	maxSamples = 20
)

// Learned returns what the planner has learned so far, including what RestoreLearned
// took over.
func (p *Planner) Learned() *Learned {
	l := &Learned{Effects: p.headroomModel.Learned(), Durations: map[string]LearnedDuration{}}
	for queue, r := range p.durationRatios {
		l.Durations[queue] = LearnedDuration{Ratio: int(r.mean*ratioUnit + 0.5), Samples: min(r.samples, maxSamples)}
	}
	return l
}

// RestoreLearned takes over what an earlier planner learned.
func (p *Planner) RestoreLearned(l *Learned) {
	if l.Effects != nil {
		p.headroomModel.Restore(l.Effects)
	}
	for queue, d := range l.Durations {
		if d.Ratio > 0 && d.Samples > 0 {
			p.durationRatios[queue] = &ratio{mean: float64(d.Ratio) / ratioUnit, samples: d.Samples}
		}
	}
}

package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfharm"
	"cranberryford/pkg/cfroute"
)

// Periods of measuring targets.
const (
	// observePeriod is the time between two measurements of each target.
	observePeriod = time.Second
	// harmLag is how long a target's average still shows what ran before.
	harmLag = 2 * time.Second
	// minAnswers is the least number of answers that a measurement rests on.
	minAnswers = 5
)

// observe sets what this entry measured of each target against what runs beside it.
func (c *control) observe() {
	now := c.Clock.Now()
	s := c.state()
	if s == nil || !c.planning || now.Sub(c.observedAt) < observePeriod {
		return
	}
	c.observedAt = now
	seen := make(map[*cfroute.Backend]int64, len(c.backends))
	for _, b := range c.backends {
		seen[b] = b.Answers()
		if seen[b]-c.answers[b] < minAnswers {
			continue
		}
		p := cfharm.Placement{Batches: c.batchesOn(b.Worker), Changed: c.placedAt[b.Worker]}
		c.harm.Observe(b.Service, b.Latency(), p, now)
	}
	c.answers = seen
	c.harm.Forget(func(name string) bool { return s.Workloads[name] != nil })
}

// batchesOn counts the batch tasks on a worker by workload.
func (c *control) batchesOn(id cfcore.WorkerID) map[string]int {
	s := c.state()
	out := map[string]int{}
	w := s.Workers[id]
	if w == nil {
		return out
	}
	for task := range w.Tasks {
		name := s.Tasks[task].Workload
		if s.Workloads[name].Spec.Class == cfcore.ClassBatch {
			out[name]++
		}
	}
	return out
}

package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfinterference"
	"cranberryford/pkg/cfroute"
)

// Settings for measuring how much batch tasks slow down targets.
const (
	// observePeriod is the time between two measurements of each target.
	observePeriod = time.Second
	// interferenceLag limits the effect of earlier tasks: once the tasks on a worker have
	// been the same for this time, the average latency of the worker's targets reflects
	// only these tasks.
	interferenceLag = 2 * time.Second
	// minAnswers is how many answers a target must have given since the last measurement
	// for the next one.
	minAnswers = 5
)

// observeLatencies passes the latency of each target, and the batch tasks on its worker,
// to the interference model. It does so once per observePeriod while this entry is the
// planner.
func (c *control) observeLatencies() {
	now := c.Clock.Now()
	s := c.state()
	if s == nil || !c.planning || now.Sub(c.latenciesObservedAt) < observePeriod {
		return
	}
	c.latenciesObservedAt = now
	counts := make(map[*cfroute.Backend]int64, len(c.backends))
	for _, b := range c.backends {
		counts[b] = b.Answers()
		if counts[b]-c.answerCounts[b] < minAnswers {
			continue
		}
		p := cfinterference.Placement{Batches: c.batchesOn(b.Worker), ChangedAt: c.tasksChangedAt[b.Worker]}
		c.interference.Observe(b.Service, b.Latency(), p, now)
	}
	c.answerCounts = counts
	c.interference.Retain(func(name string) bool { return s.Workloads[name] != nil })
}

// batchesOn returns the number of batch tasks on a worker by workload.
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

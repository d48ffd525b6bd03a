package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfinterference"
	"cranberryford/pkg/cfroute"
)

// Constants for measuring how much batch tasks slow down targets.
const (
	// observePeriod is the minimum time between two rounds of observeLatencies.
	observePeriod = time.Second
	// For interferenceLag after the tasks on a worker have changed, the interference model
	// ignores the latencies of the worker's targets. The latencies are moving averages, which
	// still reflect the earlier tasks during this time.
	interferenceLag = 2 * time.Second
	// minAnswers is the minimum number of answers that a target must have given since the
	// previous round of observeLatencies. A round skips targets with fewer answers.
	minAnswers = 5
)

// observeLatencies passes the latencies of targets to the interference model, together with
// the batch tasks on each target's worker. It skips a target with fewer than minAnswers new
// answers. It does nothing if this entry is not the planner, or if the last round was less
// than observePeriod ago.
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

// batchesOn returns the number of batch tasks on a worker, by workload. The state must not
// be nil.
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

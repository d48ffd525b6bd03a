package cfentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfwire"
)

// maxUnheard bounds the workers in one question.
const maxUnheard = 100

// findUnheard publishes the workers that the planner has not heard of for a while.
// An agent that is cut from the planner alone is alive all the same: the planner
// asks the other entries before it bars the worker.
func (c *control) findUnheard() {
	if !c.planning || c.state() == nil {
		c.unheard.Store(nil)
		return
	}
	var out []cfcore.WorkerID
	now := c.Clock.Now()
	for id := range c.state().Workers {
		v := c.workers[id]
		if v == nil || now.Sub(v.DirectAt) > c.cfg.Planner.Silence/2 {
			out = append(out, id)
		}
		if len(out) == maxUnheard {
			break
		}
	}
	c.unheard.Store(&out)
}

// heardOf returns what this entry itself heard of workers, as far as it is fresh.
func (c *control) heardOf(ids []cfcore.WorkerID) []cfwire.Heard {
	var out []cfwire.Heard
	now := c.Clock.Now()
	for _, id := range ids {
		v := c.workers[id]
		if v == nil || v.DirectAt.IsZero() || now.Sub(v.DirectAt) > c.cfg.Planner.Silence {
			continue
		}
		out = append(out, cfwire.Heard{
			Worker: id, Instance: v.Instance, Runs: v.Runs, Leaving: v.Leaving, Age: now.Sub(v.DirectAt),
			About: cfwire.About{DataCentre: v.DataCentre, Rack: v.Rack, Capacity: v.Capacity},
		})
	}
	return out
}

// hearFrom takes over what another entry heard, where that is newer.
func (c *control) hearFrom(list []cfwire.Heard, askedAt time.Time) {
	for i := range list {
		h := &list[i]
		at := askedAt.Add(-h.Age)
		v := c.workers[h.Worker]
		if v != nil && !v.HeardAt.Before(at) {
			continue
		}
		next := &cfschedule.WorkerView{
			Worker: h.Worker, Instance: h.Instance, DataCentre: h.About.DataCentre, Rack: h.About.Rack,
			Capacity: h.About.Capacity, Runs: h.Runs, HeardAt: at, Leaving: h.Leaving,
		}
		if v != nil {
			next.DirectAt = v.DirectAt
		}
		c.workers[h.Worker] = next
	}
}

package cfjobentry

import (
	"context"
	"time"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// planning is what an entry has while it is the planner.
type planning struct {
	*cfdispatch.Planner
	epoch cfcore.Epoch
	// sequence numbers the next append of facts.
	sequence uint64
	// pending are the facts of the append that is under way, or is to be repeated.
	pending *factBatch
	// recorded are the agents that the store knows to have a worker, and recording
	// those that it will know with the next facts.
	recorded  map[string]bool
	recording []string
	// entrySeen is when each entry was last connected.
	entrySeen map[string]time.Time
	// batchAt is when facts were last gathered.
	batchAt  time.Time
	upkeepAt time.Time
	// learntAt is when what was learnt was last looked at, and learnt what was kept then.
	learntAt time.Time
	learnt   []byte
	// advising is set while a question to the policy service is under way; the next one is
	// due at adviseAt.
	advising bool
	adviseAt time.Time
	// extra are the records that go with the next facts.
	extra []cfcore.KeyedRecord
}

// restoreLearnt gives a new planner what the one before it had learnt.
func (c *control) restoreLearnt() {
	if len(c.book.Learnt) == 0 {
		return
	}
	l := &cfdispatch.Learnt{}
	if err := c.codec.Unmarshal(c.book.Learnt, l); err != nil {
		c.Log.Warn().Err(err).Msg("what the planner before had learnt cannot be decoded; learning anew")
		return
	}
	c.plan.Restore(l)
}

func (c *control) addInherited(e *cfjob.Entry) {
	if e.Job != nil {
		c.plan.AddJob(c.Clock.Now(), e, c.terms(e.Job), true)
	}
}

// addJob gives the planner a job that was accepted or cancelled.
func (c *control) addJob(e *cfjob.Entry) {
	if c.plan == nil || e.Job == nil {
		return
	}
	if e.Cancelled != nil {
		c.plan.Cancel(e.Job.ID)
		return
	}
	c.plan.AddJob(c.Clock.Now(), e, c.terms(e.Job), false)
}

// terms returns a job's queue as it is configured now, or as it was when the job
// was accepted.
func (c *control) terms(j *cfjob.Job) cfjob.Queue {
	if cfg := c.config.Load(); cfg != nil {
		if q, ok := cfg.Queue(j.Queue.Name); ok {
			return *q
		}
	}
	return j.Queue
}

// reported takes in a report of an agent and answers it.
func (c *control) reported(ev reported) {
	if c.plan == nil || ev.report.Epoch > c.plan.epoch || !c.authority() {
		return
	}
	c.plan.Report(c.Clock.Now(), ev.link.name, ev.report)
	if ev.report.Ask > 0 {
		c.send(ev.link, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: c.plan.epoch, Answer: ev.report.Ask}})
		c.plan.Answered(ev.link.name, c.Clock.Now())
	}
}

// decide lets the planner decide and sends what it ordered.
func (c *control) decide(ctx context.Context) {
	if c.plan == nil || !c.authority() {
		return
	}
	now := c.Clock.Now()
	for _, g := range c.plan.Lapse(now) {
		if g.Left {
			c.Log.Info().Str("Agent", g.Agent).Msg("worker has left: its record is dropped")
		} else {
			c.Log.Warn().Str("Agent", g.Agent).Dur("After", c.cfg.Lease.Grant+c.cfg.Lease.Lease).Msg("worker given up: every lease on it has ended")
		}
		c.dropWorker(g.Agent)
	}
	c.recordWorkers(now)
	c.upkeep(now)
	c.plan.Plan(now)
	c.advise(ctx)
	orders := c.plan.Take(now)
	for l := range c.links {
		if o := orders[l.name]; o != nil {
			c.order(l, o)
		}
	}
	c.logEvents()
	c.keep(ctx, now)
}

// logEvents writes down what the planner came to believe.
func (c *control) logEvents() {
	for _, e := range c.plan.Events() {
		l := cfcommon.WithRun(c.Log.Info(), e.Task, e.Run).Str("Agent", e.Agent).Dur("Took", e.Took)
		switch e.Kind {
		case cfdispatch.EventEnded:
			l.Str("How", string(e.How)).Int("FailedAttempts", e.Attempts)
			c.Scope.Tagged(map[string]string{"how": string(e.How)}).Counter("runs_ended").Inc(1)
		case cfdispatch.EventDropped:
			l.Str("Refusal", string(e.Refusal))
		case cfdispatch.EventOutcome:
			l.Str("Outcome", string(e.Outcome)).Dur("AfterObjective", e.Late)
			c.Scope.Timer("job_time").Record(e.Took)
			c.ending[e.Task.Job] = c.Clock.Now()
		case cfdispatch.EventLapsed, cfdispatch.EventStuck, cfdispatch.EventAdopted, cfdispatch.EventAside:
		}
		l.Uint64("Epoch", uint64(c.plan.epoch)).Msg(string(e.Kind))
	}
}

// visible measures how long it took from the last end of a job until its outcome
// could be seen.
func (c *control) visible(id string) {
	if at, ok := c.ending[id]; ok {
		delete(c.ending, id)
		c.Scope.Timer("outcome_visible").Record(c.Clock.Since(at))
		c.Log.Info().Str("Job", id).Dur("After", c.Clock.Since(at)).Msg("outcome can be seen")
	}
}

func (c *control) order(l *link, o *cfdispatch.Orders) {
	for _, s := range o.Starts {
		cfcommon.WithRun(c.Log.Info(), s.Task, s.Run).Str("Agent", l.name).Str("Checkpoint", s.Checkpoint).Msg("start ordered")
	}
	for _, s := range o.Stops {
		cfcommon.WithRun(c.Log.Info(), s.Task, s.Run).Str("Agent", l.name).Msg("stop ordered")
	}
	c.Scope.Counter("starts_ordered").Inc(int64(len(o.Starts)))
	c.send(l, &cfwire.Message{JobOrders: &cfwire.JobOrders{
		Epoch: c.plan.epoch, Starts: o.Starts, Stops: o.Stops, Paces: o.Paces, Noted: o.Noted, Born: o.Born,
	}})
}

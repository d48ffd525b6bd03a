package cfjobagent

import (
	"context"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// startTries is how often a start without an answer is repeated at once. A repeated
// start of the same run has no other effect.
const startTries = 2

// hold keeps one call for the worker's lists under way. The call also extends the
// leases, where the planner lets it.
func (c *control) hold(ctx context.Context) {
	now := c.boot.Now()
	if c.holding || !c.hasWorker || c.left || now < c.holdAt {
		return
	}
	h := cfcore.HoldOptions{Until: c.leaseUntil(), LastSeen: c.noted}
	if c.hasLists && c.listed <= c.noted {
		h.Wait = c.cfg.HoldWait
	}
	c.holding = true
	o := c.currentOrder()
	go func() {
		lists, err := c.Executor.Hold(ctx, o, h)
		c.tell(ctx, held{lists: lists, err: err, token: o.Token})
	}()
}

func (c *control) currentOrder() cfcore.Order {
	return cfcore.Order{Worker: c.worker.ID, Token: c.epoch}
}

func (c *control) held(ev held) {
	c.holding, c.holdAt = false, 0
	if ev.err != nil {
		c.holdAt = c.boot.Now() + holdPause
		if cferror.Is(ev.err, cfcore.ExecutorOther) {
			c.workerLeft(c.worker.ID)
		}
		c.Log.Debug().Err(ev.err).Msg("worker gave no lists")
		c.Scope.Counter("holds_failed").Inc(1)
		return
	}
	c.take(ev.lists, ev.token)
	if c.listed > c.noted {
		c.holdAt = c.boot.Now() + holdPause
	}
}

// take takes in lists, unless newer ones came before.
func (c *control) take(l cfcore.RunLists, token cfcore.Epoch) {
	if l.Born.Before(c.worker.Born) {
		return
	}
	if l.Born.After(c.worker.Born) {
		c.Log.Info().Str("Worker", c.worker.ID).Time("Born", l.Born).Msg("worker has started again under its name")
		c.newLife()
		c.worker.Born, c.worker.Sequence = l.Born, 0
	}
	c.answeredAt = c.boot.Now()
	if token < c.epoch || c.hasLists && l.Clock < c.lists.Clock {
		return
	}
	c.readClock(l.Clock)
	c.lists, c.hasLists = l, true
	for _, e := range l.Ended {
		c.listed = max(c.listed, e.Number)
	}
	c.resend = true
}

// start carries out the order to start a run.
func (c *control) start(ctx context.Context, s cfwire.JobStart) {
	key := orderKey{task: s.Task, run: s.Run, born: s.Born}
	if c.inFlight[key] {
		return
	}
	until := c.leaseUntil()
	if !c.hasWorker || !s.Born.Equal(c.worker.Born) || c.left || until == 0 || c.worker.Draining {
		// Whether an earlier attempt, maybe of an earlier run of this agent, has started the
		// run or will start it in another life of the worker is not known here; the planner asks
		// again, or stops the run.
		return
	}
	c.inFlight[key] = true
	o := c.currentOrder()
	run := cfcore.RunStart{Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket, Until: until}
	go func() {
		err := c.tryStart(ctx, o, run)
		c.tell(ctx, c.listAfter(ctx, ordered{key: key, token: o.Token, err: err}, o, cferror.Is(err, cfcore.ExecutorStale)))
	}()
}

// tryStart repeats a start that gets no answer. A refusal after that says nothing
// of the attempt before.
func (c *control) tryStart(ctx context.Context, o cfcore.Order, run cfcore.RunStart) error {
	err := c.Executor.Start(ctx, o, run)
	for range startTries - 1 {
		if !cferror.Is(err, cfcore.ExecutorUnknown) {
			return err
		}
		again := c.Executor.Start(ctx, o, run)
		if again == nil || cferror.Is(again, cfcore.ExecutorStale) {
			return again
		}
	}
	return err
}

// stop carries out the order to stop a run. Once it is answered, the run is in the
// lists, or will never be there.
func (c *control) stop(ctx context.Context, s cfwire.JobStop) {
	key := orderKey{task: s.Task, run: s.Run, stop: true, born: c.worker.Born}
	if c.inFlight[key] || !c.hasWorker || c.left {
		return
	}
	c.inFlight[key] = true
	o := c.currentOrder()
	go func() {
		err := c.Executor.Stop(ctx, o, s.Task, s.Run)
		c.tell(ctx, c.listAfter(ctx, ordered{key: key, token: o.Token, err: err}, o, err == nil))
	}()
}

// listAfter adds the worker's lists to the outcome of an order, where they tell
// what became of its run.
func (c *control) listAfter(ctx context.Context, ev ordered, o cfcore.Order, needed bool) ordered {
	if !needed {
		return ev
	}
	lists, err := c.Executor.Hold(ctx, o, cfcore.HoldOptions{})
	if err == nil {
		ev.lists, ev.listed = lists, true
	}
	return ev
}

func (c *control) pace(ctx context.Context, p cfwire.JobPace) {
	o := c.currentOrder()
	go func() {
		if err := c.Executor.Pace(ctx, o, p.Task, p.Run, p.Percent); err != nil {
			c.Log.Debug().Err(err).Msg("pace not set")
			c.Scope.Counter("paces_failed").Inc(1)
		}
	}()
}

// ordered takes in the outcome of an order.
func (c *control) ordered(ctx context.Context, ev ordered) {
	delete(c.inFlight, ev.key)
	if !ev.key.born.Equal(c.worker.Born) {
		return
	}
	if ev.listed {
		c.take(ev.lists, ev.token)
	}
	res := cfwire.JobOrderResult{Task: ev.key.task, Run: ev.key.run}
	switch {
	case ev.key.stop:
		if !ev.listed || inLists(&ev.lists, ev.key) {
			return
		}
		res.Refusal = cfcore.ExecutorStale
	case ev.err == nil:
	case cferror.Is(ev.err, cfcore.ExecutorUnknown):
		c.uncertain[ev.key] = true
		c.logOrder(ev)
		return
	case cferror.Is(ev.err, cfcore.ExecutorFenced):
		c.logOrder(ev)
		return
	case cferror.Is(ev.err, cfcore.ExecutorStale):
		if !ev.listed || inLists(&ev.lists, ev.key) {
			return
		}
		res.Refusal = cfcore.ExecutorStale
	case c.uncertain[ev.key] || c.boot.Now()-c.startedAt < cfcore.LateOrders:
		// An earlier attempt, maybe of an earlier run of this agent, may still be carried
		// out; a stop rules it out.
		c.logOrder(ev)
		c.stop(ctx, cfwire.JobStop{Task: ev.key.task, Run: ev.key.run})
		return
	default:
		res.Refusal = refusalOf(ev.err)
	}
	delete(c.uncertain, ev.key)
	c.logOrder(ev)
	c.results = append(c.results, res)
}

func (c *control) logOrder(ev ordered) {
	l := c.Log.Info()
	if ev.err != nil {
		l = c.Log.Warn().Err(ev.err)
	}
	cfcommon.WithRun(l, ev.key.task, ev.key.run).Bool("Stop", ev.key.stop).Uint64("Epoch", uint64(ev.token)).Msg("order carried out")
}

// refusalOf returns the kind of a worker's refusal.
func refusalOf(err error) cfcore.ExecutorKind {
	for _, k := range []cfcore.ExecutorKind{
		cfcore.ExecutorLate, cfcore.ExecutorFull, cfcore.ExecutorTicket, cfcore.ExecutorUnhealthy, cfcore.ExecutorOther,
	} {
		if cferror.Is(err, k) {
			return k
		}
	}
	return cfcore.ExecutorRefused
}

func inLists(l *cfcore.RunLists, key orderKey) bool {
	for _, r := range l.Running {
		if r.Task == key.task && r.Run == key.run {
			return true
		}
	}
	for _, e := range l.Ended {
		if e.Task == key.task && e.Run == key.run {
			return true
		}
	}
	return false
}

package cfjobentry

import "context"

// advise asks the policy service the question that is needed most. It answers one at a
// time for each VM that asks.
func (c *control) advise(ctx context.Context) {
	now := c.Clock.Now()
	if c.Advisor == nil || c.plan.advising || now.Before(c.plan.adviseAt) {
		return
	}
	ask := c.plan.NextAdvice(now)
	if ask == nil {
		return
	}
	c.plan.advising = true
	epoch := c.plan.epoch
	go func() {
		tickets, err := c.Advisor.Advise(ctx, ask.Step, ask.Workers, ask.Wait)
		c.tell(ctx, advised{epoch: epoch, ask: ask, tickets: tickets, err: err})
	}()
}

// advised takes in the answer of the policy service.
func (c *control) advised(ev advised) {
	if c.plan == nil || c.plan.epoch != ev.epoch {
		return
	}
	now := c.Clock.Now()
	c.plan.advising = false
	l := c.Log.Info()
	if ev.err != nil {
		l = c.Log.Warn().Err(ev.err)
		c.plan.adviseAt = now.Add(retryDelay)
		c.Scope.Counter("advice_failed").Inc(1)
	}
	l.Str("Job", ev.ask.Step.Job).Int("Occurrence", ev.ask.Step.Occurrence).Int("Step", ev.ask.Step.Step).
		Int("Asked", len(ev.ask.Workers)).Int("Allowed", len(ev.tickets)).Msg("asked which workers may run a step")
	if ev.err == nil {
		c.plan.Advised(now, ev.ask, ev.tickets)
	}
}

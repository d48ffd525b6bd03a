package cfjobentry

import "context"

// requestAdvice sends the most urgent advice request to the policy service. The request
// asks which workers are allowed to run a step. requestAdvice does nothing while a request
// is in flight, since the service handles one request at a time for each VM that sends
// requests. It also does nothing within retryDelay after a failed request.
func (c *control) requestAdvice(ctx context.Context) {
	now := c.Clock.Now()
	if c.Advisor == nil || c.plan.adviceInFlight || now.Before(c.plan.nextAdviceAt) {
		return
	}
	request := c.plan.NextAdvice(now)
	if request == nil {
		return
	}
	c.plan.adviceInFlight = true
	epoch := c.plan.epoch
	go func() {
		tickets, err := c.Advisor.Advise(ctx, request.Step, request.Workers, request.MaxResponseTime)
		c.post(ctx, adviceReceived{epoch: epoch, request: request, tickets: tickets, err: err})
	}()
}

// handleAdviceReceived passes the policy service's answer to the planner.
func (c *control) handleAdviceReceived(ev adviceReceived) {
	if c.plan == nil || c.plan.epoch != ev.epoch {
		return
	}
	now := c.Clock.Now()
	c.plan.adviceInFlight = false
	l := c.Log.Info()
	if ev.err != nil {
		l = c.Log.Warn().Err(ev.err)
		c.plan.nextAdviceAt = now.Add(retryDelay)
		c.Scope.Counter("advice_failed").Inc(1)
	}
	l.Str("Job", ev.request.Step.Job).Int("Occurrence", ev.request.Step.Occurrence).Int("Step", ev.request.Step.Step).
		Int("Asked", len(ev.request.Workers)).Int("Allowed", len(ev.tickets)).Msg("call to the policy service returned")
	if ev.err == nil {
		c.plan.RecordAdvice(now, ev.request, ev.tickets)
	}
}

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

// planning is the state of an entry while it is the planner.
type planning struct {
	*cfdispatch.Planner
	epoch cfcore.Epoch
	// sequence is the sequence number of the next append.
	sequence uint64
	// pendingBatch is the batch that is in flight or waits for a retry; nil if there is
	// none.
	pendingBatch *plannerBatch
	// recordedAgents are the agents with a record in the store. recordingAgents are those
	// whose records go into the next batch.
	recordedAgents  map[string]bool
	recordingAgents []string
	// returningAgents are those whose records of absences the next batch deletes. heldRequests holds, by agent, the
	// newest request of an absent agent to extend leases.
	returningAgents []string
	heldRequests    map[string]reportReceived
	// sessions holds, by agent, the highest reported session, and sessionFloors those above the sessions of its
	// former instances.
	sessions      map[string]uint64
	sessionFloors map[string]uint64
	// markedAt is when the mark of valid records was last renewed.
	markedAt time.Time
	// clockRecordedAt is when a reading of the planners' clock was last recorded.
	clockRecordedAt time.Time
	// othersUntil is the time on the boot clock until which an earlier planner possibly gives
	// orders.
	othersUntil time.Duration
	// orderedLinks holds, by agent, a connection of the newest instance that the planner gives
	// orders to.
	orderedLinks map[string]*link
	// entrySeenAt holds, by name, when each entry was last connected, or when the planner
	// first saw the entry's record.
	entrySeenAt map[string]time.Time
	// lastBatchAt is when records for a batch were last collected, even if there were none.
	lastBatchAt   time.Time
	lastCleanupAt time.Time
	// learnedCheckedAt is when the learned data was last checked for changes. learned is
	// the encoded data that was last added to extraRecords.
	learnedCheckedAt time.Time
	learned          []byte
	// adviceInFlight is set while a request to the policy service is in flight. The next
	// request is sent at nextAdviceAt at the earliest.
	adviceInFlight bool
	nextAdviceAt   time.Time
	// extraRecords are the records other than progress that go into the next batch.
	extraRecords []cfcore.KeyedRecord
}

// lastReport returns the sequence number of the newest applied report of an agent's instance, or 0.
func (p *planning) lastReport(l *link) uint64 {
	if newest := p.orderedLinks[l.name]; newest != nil && newest.instance == l.instance {
		return p.LastReport(l.name)
	}
	return 0
}

// restoreLearned restores the learned data of the previous planner.
func (c *control) restoreLearned() {
	if len(c.stored.Learned) == 0 {
		return
	}
	l := &cfdispatch.Learned{}
	if err := c.codec.Unmarshal(c.stored.Learned, l); err != nil {
		c.Log.Warn().Err(err).Msg("learned data of the previous planner cannot be decoded; starting without it")
		return
	}
	c.plan.RestoreLearned(l)
}

// addInheritedJob passes the planner a job that an earlier planner has possibly started.
func (c *control) addInheritedJob(e *cfjob.StoredJob) {
	if e.Job != nil {
		c.plan.AddJob(c.Clock.Now(), e, c.currentQueue(e.Job), true)
	}
}

// addJob passes an accepted job or its cancellation to the planner. It does nothing if
// this entry is not the planner. An earlier planner possibly received the job from another
// entry and started it, unless the job was stored after the earlier planner's authority
// ended. This is certain once a read that was sent after that time has been applied.
func (c *control) addJob(e *cfjob.StoredJob) {
	if c.plan == nil || e.Job == nil {
		return
	}
	inherited := c.confirmedAt <= c.plan.othersUntil
	c.plan.AddJob(c.Clock.Now(), e, c.currentQueue(e.Job), inherited)
	if e.Cancellation != nil {
		c.plan.Cancel(e.Job.ID)
	}
}

// currentQueue returns the current configuration of a job's queue. If the queue no longer
// exists, it returns the configuration from when the job was accepted.
func (c *control) currentQueue(j *cfjob.Job) cfjob.Queue {
	if cfg := c.config.Load(); cfg != nil {
		if q, ok := cfg.Queue(j.Queue.Name); ok {
			return *q
		}
	}
	return j.Queue
}

// mayOrder reports whether the planner may give orders on a connection to an agent. An agent
// that has restarted no longer knows which planner it followed, which can be a newer one than
// this. It gets orders only once the leadership is confirmed for a time after it connected.
func (c *control) mayOrder(l *link) bool {
	newest := c.plan.orderedLinks[l.name]
	if newest != nil && newest.instance == l.instance {
		return true
	}
	if c.leadershipConfirmedAt() < l.upAt || newest != nil && l.upAt < newest.upAt {
		return false
	}
	if newest != nil && c.plan.sessions[l.name] > 0 {
		c.plan.sessionFloors[l.name] = c.plan.sessions[l.name] + cfwire.SessionMargin
	}
	c.plan.orderedLinks[l.name] = l
	c.plan.BeginInstance(l.name)
	return true
}

// sendEmptyOrders sends orders without contents. The agent possibly has not received earlier
// orders.
func (c *control) sendEmptyOrders(l *link) {
	l.orderedEpoch = c.plan.epoch
	c.plan.RepeatAcknowledgement(l.name)
	c.sendJobOrders(l, &cfwire.JobOrders{})
}

// sendJobOrders sends orders of this planner to an agent.
func (c *control) sendJobOrders(l *link, o *cfwire.JobOrders) {
	o.Epoch, o.SessionFloor = c.plan.epoch, c.plan.sessionFloors[l.name]
	c.send(l, &cfwire.Message{JobOrders: o})
}

// openLinks sends empty orders on the connections on which the planner may give orders and has
// not given any.
func (c *control) openLinks() {
	for l := range c.links {
		if l.orderedEpoch != c.plan.epoch && c.mayOrder(l) {
			c.sendEmptyOrders(l)
		}
	}
}

// handleReportReceived passes an agent's report to the planner. If the report asks for
// permission to extend leases, handleReportReceived answers with that permission. It
// ignores the report if this entry is not the planner, if it may not give orders to the
// agent, if the agent knows a newer epoch, or if the report is outdated.
func (c *control) handleReportReceived(ev reportReceived) {
	if c.plan == nil || ev.report.Epoch > c.plan.epoch || !c.hasAuthority() || !c.mayOrder(ev.link) {
		return
	}
	c.plan.sessions[ev.link.name] = max(c.plan.sessions[ev.link.name], ev.report.Session)
	if o := c.applyReport(ev); o != cfdispatch.UpToDate {
		c.Log.Warn().Str("Agent", ev.link.name).Str("Reason", string(o)).Uint64("Seq", ev.report.Seq).Uint64("Newest", c.plan.lastReport(ev.link)).
			Uint64("ReportEpoch", uint64(ev.report.Epoch)).Uint64("Epoch", uint64(c.plan.epoch)).Bool("Lost", ev.report.Lost != nil).Msg("outdated report of an agent ignored")
		c.Scope.Tagged(map[string]string{"reason": string(o)}).Counter("reports_outdated").Inc(1)
		return
	}
	if ev.report.Ask > 0 {
		c.answerRequest(ev)
	}
}

// answerRequest lets an agent extend leases. An agent whose absence is on record has to wait until it no longer is.
func (c *control) answerRequest(ev reportReceived) {
	if !c.plan.MayAnswer(ev.link.name) {
		c.plan.heldRequests[ev.link.name] = ev
		c.Scope.Counter("answers_withheld").Inc(1)
		return
	}
	c.sendJobOrders(ev.link, &cfwire.JobOrders{Answer: ev.report.Ask})
	c.plan.MarkAnswered(ev.link.name, c.Clock.Now())
}

// applyReport applies a report unless it is outdated. This entry can have been the planner of the
// epoch in which a report was sent. Its run lists can lack runs that still start, see
// cfjobagent.
func (c *control) applyReport(ev reportReceived) cfdispatch.Outdated {
	if ev.report.Epoch < c.plan.epoch {
		return cfdispatch.OutdatedEpoch
	}
	return c.plan.ApplyReport(c.Clock.Now(), ev.link.name, ev.report)
}

// runPlanningRound runs a planning round and sends the resulting orders, if this entry is
// the planner and has authority.
func (c *control) runPlanningRound(ctx context.Context) {
	if c.plan == nil || !c.hasAuthority() {
		return
	}
	c.openLinks()
	now := c.Clock.Now()
	c.plan.MarkStoreRead(now.Add(c.confirmedAt - c.bootTime()))
	confirmedAge := c.bootTime() - c.leadershipConfirmedAt()
	for _, g := range c.plan.ExpireLeases(now, now.Add(-confirmedAge)) {
		switch {
		case g.IsEmpty:
			c.Log.Info().Str("Agent", g.Agent).Msg("worker is draining and has no runs left: its record is dropped")
		case g.HasLeft:
			c.Log.Info().Str("Agent", g.Agent).Msg("worker has left: its record is dropped")
		default:
			c.Log.Warn().Str("Agent", g.Agent).Dur("After", c.cfg.Lease.Grant+c.cfg.Lease.Lease).Uint64("Epoch", uint64(c.plan.epoch)).Dur("ConfirmedAge", confirmedAge).Msg("worker unreachable and all its leases expired; dropping its record")
		}
		c.dropAgent(g.Agent)
	}
	c.recordAgents(now)
	c.cleanUp(now)
	c.plan.Plan(now)
	c.requestAdvice(ctx)
	orders := c.plan.TakeOrders(now)
	for l := range c.links {
		if o := orders[l.name]; o != nil && c.mayOrder(l) {
			c.sendOrders(l, o)
		}
	}
	c.logEvents()
	c.appendBatch(ctx, now)
}

// logEvents logs the planner's events and records their metrics.
func (c *control) logEvents() {
	for _, e := range c.plan.TakeEvents() {
		l := cfcommon.WithRun(c.Log.Info(), e.Task, e.Run).Str("Agent", e.Agent).Dur("Took", e.Took)
		switch e.Kind {
		case cfdispatch.EventEnded:
			l.Str("How", string(e.How)).Int("FailedAttempts", e.Attempts)
			c.Scope.Tagged(map[string]string{"how": string(e.How)}).Counter("runs_ended").Inc(1)
		case cfdispatch.EventDropped:
			l.Str("Refusal", string(e.Refusal))
		case cfdispatch.EventOutcome:
			l.Str("Outcome", string(e.Outcome)).Dur("AfterObjective", e.AfterObjective)
			c.Scope.Timer("job_time").Record(e.Took)
			c.unseenSince[e.Task.Job] = c.Clock.Now()
		case cfdispatch.EventUnexpected:
			l.Str("Reason", e.Reason).Time("Born", e.Born)
			c.Scope.Counter("runs_unexpected").Inc(1)
		case cfdispatch.EventOverTarget:
			l.Str("Image", e.Image).Strs("Neighbours", e.Neighbours)
			c.Scope.Timer("over_target").Record(e.Took)
		case cfdispatch.EventPaused:
			l.Int("BestEffort", e.BestEffort)
			c.Scope.Counter("best_effort_pauses").Inc(1)
		case cfdispatch.EventResumed:
			l.Int("BestEffort", e.BestEffort)
		case cfdispatch.EventUnderserved, cfdispatch.EventServedAgain:
			l.Float64("Level", e.Level)
		case cfdispatch.EventOtherRun:
			l.Time("Born", e.Born)
			c.Scope.Counter("tasks_done_with_other_runs").Inc(1)
		case cfdispatch.EventWaitsForStart:
			c.Scope.Counter("tasks_waiting_for_starts").Inc(1)
		case cfdispatch.EventSecondStart:
			c.Scope.Counter("second_starts").Inc(1)
		case cfdispatch.EventLost, cfdispatch.EventStalled, cfdispatch.EventAdopted, cfdispatch.EventQuarantined:
		}
		l.Uint64("Epoch", uint64(c.plan.epoch)).Msg(string(e.Kind))
	}
}

// recordOutcomeDelay records how long after the end of a job its outcome became visible
// to callers. It does so only for jobs that ended while this entry was the planner.
func (c *control) recordOutcomeDelay(id string) {
	if at, ok := c.unseenSince[id]; ok {
		delete(c.unseenSince, id)
		c.Scope.Timer("outcome_visible").Record(c.Clock.Since(at))
		c.Log.Info().Str("Job", id).Dur("After", c.Clock.Since(at)).Msg("job outcome is visible")
	}
}

// sendOrders logs the planner's orders and sends them to an agent.
func (c *control) sendOrders(l *link, o *cfdispatch.Orders) {
	for _, s := range o.Starts {
		cfcommon.WithRun(c.Log.Info(), s.Task, s.Run).Str("Agent", l.name).Time("Born", s.Born).Uint64("Epoch", uint64(c.plan.epoch)).Str("Checkpoint", s.Checkpoint).Msg("start ordered")
	}
	for _, s := range o.Stops {
		cfcommon.WithRun(c.Log.Info(), s.Task, s.Run).Str("Agent", l.name).Uint64("Epoch", uint64(c.plan.epoch)).Msg("stop ordered")
	}
	c.Scope.Counter("starts_ordered").Inc(int64(len(o.Starts)))
	c.sendJobOrders(l, &cfwire.JobOrders{
		AfterReport: c.plan.lastReport(l), Starts: o.Starts, Stops: o.Stops, Throttles: o.Throttles, RecordedEnd: o.RecordedEnd, Born: o.Born, RecordedFormer: o.RecordedFormer,
	})
}

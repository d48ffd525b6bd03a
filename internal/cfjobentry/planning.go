package cfjobentry

import (
	"context"
	"slices"
	"sort"
	"time"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// producerName is the name of the sequence of appends that only the planner makes.
const producerName = "planner"

// rankDelay sets the claims of entries apart, by their place in the order of names.
const rankDelay = 100 * time.Millisecond

// factPause is the least time between two appends of facts that no caller waits for.
// The platform lets an end be acknowledged 100 ms after it was listed.
const factPause = 40 * time.Millisecond

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
	// extra are the records that go with the next facts.
	extra []cfcore.KeyedRecord
}

// factBatch is one append of facts. It is repeated as it is until its outcome is known.
type factBatch struct {
	records []cfcore.KeyedRecord
	// progress are those of the records that entries can be told of.
	progress []cfcore.KeyedRecord
	seen     []cfdispatch.Seen
	agents   []string
	sequence uint64
	inFlight bool
	retryAt  time.Time
}

// stampBits is the number of bits of a stamp below the epoch.
const stampBits = 32

// stamp returns a number that is greater than that of any facts before.
func (p *planning) stamp() uint64 { return uint64(p.epoch)<<stampBits | p.sequence }

func (b *factBatch) has(agent string) bool { return b != nil && slices.Contains(b.agents, agent) }

// lead claims the planner's epoch where no planner is heard.
func (c *control) lead(ctx context.Context) {
	if c.plan != nil || c.claiming || c.leaving || !c.synced.Load() || !c.storeWorks() || c.boot() < c.promised {
		return
	}
	now := c.Clock.Now()
	claim := c.book.Planner
	gone := claim.Epoch == 0 || claim.Epoch <= c.goneEpoch || claim.Address == c.cfg.Inner
	wait := time.Duration(c.rank()) * rankDelay
	if !gone {
		wait += c.cfg.Planning.Silence
	}
	if now.Sub(c.heard) < wait {
		return
	}
	c.claim(ctx, claim.Epoch+1)
}

// rank is this entry's place in the order of names, among those that are known.
func (c *control) rank() int {
	names := make([]string, 0, len(c.book.Entries))
	for n := range c.book.Entries {
		names = append(names, n)
	}
	sort.Strings(names)
	return sort.SearchStrings(names, c.cfg.Name)
}

// claim appends a claim under the condition that nothing was added to the store
// since it was read. Who is the planner is told by the log alone.
func (c *control) claim(ctx context.Context, epoch cfcore.Epoch) {
	r, err := c.codec.Claim(&cfjob.Claim{Epoch: epoch, Instance: c.instance, Address: c.cfg.Inner})
	if err != nil {
		c.Log.Error().Err(err).Msg("claim cannot be encoded")
		return
	}
	c.claiming = true
	c.heard = c.Clock.Now()
	at := c.book.Next
	c.Log.Info().Uint64("Epoch", uint64(epoch)).Int64("At", at).Msg("claiming to be the planner")
	go func() {
		_, err := c.Store.Append(ctx, c.topic, []cfcore.KeyedRecord{r}, cfcore.AppendOptions{
			At: &at, Producer: &cfcore.Producer{Name: producerName, Epoch: epoch, Sequence: 1},
		})
		c.tell(ctx, claimed{err: err})
	}()
}

// plannerChanged begins or ends this entry's time as the planner.
func (c *control) plannerChanged(ctx context.Context) {
	claim := c.book.Planner
	c.watching()
	c.watching = func() {}
	c.heard = c.Clock.Now()
	if claim.Instance != c.instance {
		if c.plan != nil {
			c.Log.Warn().Uint64("Epoch", uint64(claim.Epoch)).Str("Planner", claim.Address.String()).Msg("no longer the planner: a newer claim is in the store")
			c.plan = nil
		}
		if claim.Epoch > 0 && claim.Address != c.cfg.Inner {
			c.startWatching(ctx, claim)
		}
		c.greetAll()
		return
	}
	if c.plan != nil && c.plan.epoch == claim.Epoch {
		return
	}
	c.begin(claim)
}

// startWatching keeps a connection to the planner, until watching is called.
func (c *control) startWatching(ctx context.Context, claim cfjob.Claim) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); c.watch(ctx, claim) }()
	c.watching = func() { cancel(); <-done }
}

func (c *control) greetAll() {
	for l := range c.links {
		c.greet(l)
	}
}

// begin makes this entry the planner.
func (c *control) begin(claim cfjob.Claim) {
	s := cfdispatch.Settings{
		Epoch: claim.Epoch, GrantTime: c.cfg.Lease.Grant, LeaseTime: c.cfg.Lease.Lease,
		Resend: c.cfg.Planning.Resend, Suspect: c.cfg.Suspect,
	}
	agents := make([]string, 0, len(c.book.Workers))
	recorded := map[string]bool{}
	for a := range c.book.Workers {
		agents = append(agents, a)
		recorded[a] = true
	}
	until := c.Clock.Now().Add(c.cfg.Lease.Authority + s.LapseTime())
	c.plan = &planning{
		Planner: cfdispatch.New(s, agents, until), epoch: claim.Epoch, sequence: 2, recorded: recorded, entrySeen: map[string]time.Time{},
	}
	for _, e := range c.book.Jobs {
		c.addInherited(e)
	}
	c.Log.Info().Uint64("Epoch", uint64(claim.Epoch)).Int("Jobs", len(c.book.Jobs)).Int("Agents", len(agents)).Msg("this entry is the planner")
	c.Scope.Counter("planner_terms").Inc(1)
	c.greetAll()
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
	for _, agent := range c.plan.Lapse(now) {
		c.Log.Warn().Str("Agent", agent).Dur("After", c.cfg.Lease.Grant+c.cfg.Lease.Lease).Msg("worker given up: every lease on it has ended")
		c.plan.extra = append(c.plan.extra, c.codec.DropWorker(agent))
		delete(c.plan.recorded, agent)
	}
	c.recordWorkers(now)
	c.upkeep(now)
	c.plan.Plan(now)
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

// recordWorkers writes the agents down that tasks may be sent to, so that a later
// planner knows whom to ask.
func (c *control) recordWorkers(now time.Time) {
	for _, agent := range c.plan.Unrecorded() {
		if c.plan.recorded[agent] {
			c.plan.Recorded(agent)
			continue
		}
		r, err := c.codec.Worker(agent, now)
		if err != nil {
			c.Log.Error().Err(err).Str("Agent", agent).Msg("worker cannot be recorded")
			continue
		}
		if slices.Contains(c.plan.recording, agent) || c.plan.pending.has(agent) {
			continue
		}
		c.plan.recording = append(c.plan.recording, agent)
		c.plan.extra = append(c.plan.extra, r)
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

// keep appends what has to last. One append is under way at a time.
func (c *control) keep(ctx context.Context, now time.Time) {
	if c.plan.pending == nil {
		c.plan.pending = c.nextBatch(now)
	}
	b := c.plan.pending
	if b == nil || b.inFlight || now.Before(b.retryAt) {
		return
	}
	b.inFlight = true
	epoch := c.plan.epoch
	go func() {
		_, err := c.Store.Append(ctx, c.topic, b.records, cfcore.AppendOptions{
			Producer: &cfcore.Producer{Name: producerName, Epoch: epoch, Sequence: b.sequence},
		})
		c.tell(ctx, kept{epoch: epoch, err: err})
	}()
}

func (c *control) nextBatch(now time.Time) *factBatch {
	if !c.plan.Urgent() && now.Sub(c.plan.batchAt) < factPause {
		return nil
	}
	c.plan.batchAt = now
	facts, seen := c.plan.Facts(now, false)
	records := c.plan.extra
	c.plan.extra = nil
	var progress []cfcore.KeyedRecord
	for _, f := range facts {
		f.Progress.Stamp = c.plan.stamp()
		r, err := c.codec.Progress(f.ID, f.Progress)
		if err != nil {
			c.Log.Error().Err(err).Str("Job", f.ID).Msg("progress cannot be encoded")
			continue
		}
		progress = append(progress, r)
	}
	records = append(records, progress...)
	if len(records) == 0 {
		c.plan.Noted(seen)
		return nil
	}
	b := &factBatch{records: records, progress: progress, seen: seen, agents: c.plan.recording, sequence: c.plan.sequence}
	c.plan.recording = nil
	c.plan.sequence++
	return b
}

// kept takes in the outcome of an append of facts.
func (c *control) kept(ctx context.Context, ev kept) {
	if c.plan == nil || c.plan.epoch != ev.epoch || c.plan.pending == nil {
		return
	}
	b := c.plan.pending
	b.inFlight = false
	switch {
	case ev.err == nil:
		c.plan.Noted(b.seen)
		for _, agent := range b.agents {
			c.plan.recorded[agent] = true
			c.plan.Recorded(agent)
		}
		c.plan.pending = nil
		c.share(ctx, b.progress)
	case cferror.Is(ev.err, cfcore.StoreFenced):
		c.Log.Warn().Uint64("Epoch", uint64(ev.epoch)).Msg("no longer the planner: the store has fenced this epoch")
		c.plan = nil
	case cferror.Is(ev.err, cfcore.StoreSequence):
		c.Log.Error().Err(ev.err).Msg("planner ends: the store has another sequence of its appends")
		c.goneEpoch, c.plan = ev.epoch, nil
	default:
		c.Log.Warn().Err(ev.err).Int("Records", len(b.records)).Msg("facts not kept yet")
		b.retryAt = c.Clock.Now().Add(retryDelay)
	}
}

// share applies records that are in the store, and tells the other entries of them, so
// that callers see an outcome before the entry that they ask has read it.
func (c *control) share(ctx context.Context, records []cfcore.KeyedRecord) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		c.apply(ctx, r)
	}
	m := &cfwire.Message{JobRecords: &cfwire.JobRecords{Records: records}}
	for l := range c.links {
		if l.conn.Peer().Role == cfwire.RolePeer {
			c.send(l, m)
		}
	}
}

// resign ends this entry's time as the planner, so that another one can begin
// without waiting.
func (c *control) resign(reason string) {
	if c.plan == nil {
		return
	}
	c.Log.Warn().Uint64("Epoch", uint64(c.plan.epoch)).Str("Reason", reason).Msg("planner resigns")
	m := &cfwire.JobEntries{Epoch: c.plan.epoch, Resigned: true}
	c.goneEpoch, c.plan = c.plan.epoch, nil
	for l := range c.links {
		c.send(l, &cfwire.Message{JobEntries: m})
	}
}

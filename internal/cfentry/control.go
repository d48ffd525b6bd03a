package cfentry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfplace"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfinterference"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfschedule"
	"cranberryford/pkg/cfstate"
)

// control is the state of the control goroutine, which handles all events of an entry.
type control struct {
	*Entry
	reader *cfstate.LogReader
	// grantTable holds the newest poll answer of each other entry. Whether this entry can
	// grant leases to workers depends on these answers.
	grantTable *cfgrant.Table
	planner    *cfschedule.Scheduler
	rand       *rand.Rand

	// interference is the model of how much batch tasks slow down services.
	interference *cfinterference.SlowdownModel
	// tasksChangedAt is when the set of tasks on each worker last changed.
	// latenciesObservedAt is when the latencies of the targets were last measured, and
	// answerCounts is how many answers each target had given by then.
	tasksChangedAt      map[cfcore.WorkerID]time.Time
	latenciesObservedAt time.Time
	answerCounts        map[*cfroute.Backend]int64

	// logHealthy is set while the log can be read.
	logHealthy bool

	// sessions holds the agents' open control connections, and workers the newest report
	// about each worker.
	sessions map[*session]bool
	workers  map[cfcore.WorkerID]*cfschedule.WorkerView
	// reporters holds, by worker, the newest session that has sent a grant request. sessionCount
	// numbers the sessions.
	reporters    map[cfcore.WorkerID]*session
	sessionCount uint64
	// desiredChangeOffset holds, for each worker, the log offset at which the worker's desired
	// state last changed.
	desiredChangeOffset map[cfcore.WorkerID]cfcore.Offset
	// links holds the link to each incarnation of an agent.
	links map[cfcore.InstanceID]*cfroute.Link
	// backends and services are those of the last published routing table. services also
	// keeps services that have left the table.
	backends map[backendKey]*cfroute.Backend
	services map[string]*cfroute.Service
	// tableDirty is set while the published routing table is out of date.
	tableDirty bool

	// queue holds the submissions whose append has not started. inFlight is the current
	// append, or nil.
	queue    []*submission
	inFlight *pendingAppend
	// unread holds each batch from the start of its append until the append fails or the
	// batch is read back. appends passes batches to the append goroutine.
	unread  map[cfrecord.BatchID]*pendingAppend
	appends chan *pendingAppend
	// abandonedClaims holds claims of idempotency keys whose outcome was unknown when their
	// calls were refused. Once such a claim is applied, its key is released. abandonedClaims
	// holds at most maxAbandonedClaims claims, and none that was already applied when
	// handleAbandonedClaim handled it: the key of such a claim is released at once.
	abandonedClaims map[cfrecord.BatchID]bool
	// decisionPending is set when this entry submits the planner's records or a claim of an
	// epoch. It is cleared when the records are read back or their append fails. While it is
	// set, this entry makes no decision and claims no epoch. setPlanning clears it whenever
	// planning changes.
	decisionPending bool

	// planning is set while this entry is the planner.
	planning bool
	// plannerSeenAt is when the epoch last changed or the planner last answered a poll,
	// whichever is later. Before the first of these events, it is when this entry started.
	plannerSeenAt time.Time
	// lastEpoch is the epoch of the state when afterApply last ran.
	lastEpoch cfcore.Epoch
	// joinAttemptAt is when this entry last asked to become a member.
	joinAttemptAt time.Time
	// snapshotOffset is the log offset of the state in the newest snapshot that this entry
	// submitted, or 0 if it has submitted none. The append of that snapshot has possibly not
	// succeeded.
	snapshotOffset cfcore.Offset
	// firstLogOffset is the offset of the oldest entry that the log retains.
	firstLogOffset cfcore.Offset
	// snapshotWrittenAt is when this entry wrote its newest snapshot, or when the entry
	// started if it has written none.
	snapshotWrittenAt time.Time

	// peerCancels holds, by the address of each other entry, the function that ends the
	// peer loop for that entry. peerLoops counts the peer loops that have not yet reported
	// their end on peerDone.
	peerCancels map[netip.AddrPort]context.CancelFunc
	peerDone    chan struct{}
	peerLoops   int
}

func newControl(e *Entry) *control {
	timing := cfgrant.Timing{Grant: e.cfg.Lease.Grant, Margin: e.cfg.Lease.Margin}
	p := e.cfg.Planner
	var placer cfcore.Placer = cfplace.Spread{}
	if p.Placement == "FirstFit" {
		placer = cfplace.FirstFit{}
	}
	now := e.Clock.Now()
	return &control{
		Entry: e, reader: cfstate.NewLogReader(e.Codec), grantTable: cfgrant.NewTable(timing),
		planner: cfschedule.New(cfschedule.Settings{
			Timing: timing, WorkerTimeout: p.Silence, EntryTimeout: p.EntrySilence, MaxBatch: p.MaxBatch,
			HeadroomPercent: p.HeadroomPercent, QuarantineAfter: p.QuarantineAfter,
			QuarantineFor: p.QuarantineFor, RetryAfter: p.RetryAfter,
			SlowdownLimit: p.HarmLimit, SlowdownWait: p.HarmWait,
		}, placer),
		rand:           e.Rand(randStreamControl),
		interference:   cfinterference.NewSlowdownModel(interferenceLag),
		tasksChangedAt: map[cfcore.WorkerID]time.Time{}, answerCounts: map[*cfroute.Backend]int64{},
		sessions: map[*session]bool{}, reporters: map[cfcore.WorkerID]*session{}, workers: map[cfcore.WorkerID]*cfschedule.WorkerView{},
		desiredChangeOffset: map[cfcore.WorkerID]cfcore.Offset{}, links: map[cfcore.InstanceID]*cfroute.Link{},
		backends: map[backendKey]*cfroute.Backend{}, services: map[string]*cfroute.Service{},
		abandonedClaims: map[cfrecord.BatchID]bool{},
		unread:          map[cfrecord.BatchID]*pendingAppend{}, appends: make(chan *pendingAppend),
		plannerSeenAt: now, snapshotWrittenAt: now,
		peerCancels: map[netip.AddrPort]context.CancelFunc{}, peerDone: make(chan struct{}),
	}
}

// state returns the replicated state, or nil if this entry has none yet.
func (c *control) state() *cfstate.State { return c.reader.State }

// run handles events and appends until ctx is done. Only this goroutine accesses
// the control state.
func (c *control) run(ctx context.Context) error {
	tick := c.Clock.NewTicker(c.cfg.Planner.Tick)
	defer tick.Stop()
	c.dialPeers(ctx)
	for {
		// The append goroutine receives the next batch only when it is idle. Records
		// that arrive during an append are batched together.
		next, appends := c.nextAppend()
		select {
		case <-ctx.Done():
			c.stop()
			return ctx.Err()
		case appends <- next:
			c.startAppend(next)
		case <-c.peerDone:
			c.peerLoops--
		case <-tick.Chan():
			c.tick(ctx)
		case ev := <-c.events:
			c.handleEvent(ev)
		}
	}
}

// stop waits until the peer loops have ended, and ends the links to the agents.
func (c *control) stop() {
	for c.peerLoops > 0 {
		<-c.peerDone
		c.peerLoops--
	}
	for _, l := range c.links {
		l.End()
	}
}

func (c *control) handleEvent(ev event) {
	switch ev := ev.(type) {
	case pageRead:
		c.handlePage(ev)
	case readFailed:
		c.setLogHealthy(false, ev.err)
	case appendDone:
		c.handleAppendDone(ev)
	case submitted:
		c.submit(ev.sub)
	case claimAbandoned:
		c.handleAbandonedClaim(ev.claim)
	case query:
		ev.f(c)
		close(ev.done)
	case pollAnswered:
		c.handlePollAnswer(ev)
	case pollReceived:
		c.handlePoll(ev)
	case stateRequested:
		c.handleStateRequest(ev)
	case stateReceived:
		c.handleState(ev)
	default:
		c.handleAgentEvent(ev)
	}
}

// tick does the periodic work of the control goroutine.
func (c *control) tick(ctx context.Context) {
	c.dialPeers(ctx)
	c.requestMembership()
	c.findStaleWorkers()
	c.planOrClaim()
	c.writeSnapshot()
	c.publishTable()
	c.observeLatencies()
}

// setLogHealthy records whether the log can be read, and logs a change. err is the error
// of the read that failed, or nil if healthy is set.
func (c *control) setLogHealthy(healthy bool, err error) {
	if healthy == c.logHealthy {
		return
	}
	c.logHealthy = healthy
	if healthy {
		c.Log.Info().Msg("log is readable")
		return
	}
	c.Log.Warn().Err(err).Msg("log is not readable; serving from the last state")
}

// handlePage applies a page of the log to the state.
func (c *control) handlePage(ev pageRead) {
	c.setLogHealthy(true, nil)
	c.firstLogOffset = ev.page.First
	// If the log still has its first entry, all of it can be replayed, starting from an empty
	// state.
	if ev.from <= 1 && ev.page.First <= 1 {
		c.reader.StartEmpty()
	}
	for _, e := range ev.page.Entries {
		b, outcomes := c.reader.Apply(e)
		if b != nil {
			c.handleApplied(e.Offset, b, outcomes)
		}
	}
	c.afterApply()
}

// handleApplied delivers the outcomes of an applied batch if this entry has submitted the
// batch. It also releases the keys of abandoned claims.
func (c *control) handleApplied(off cfcore.Offset, b *cfrecord.Batch, outcomes []cfstate.Outcome) {
	for i := range outcomes {
		c.releaseAbandonedKey(b, &outcomes[i])
	}
	p := c.unread[b.ID]
	if p == nil {
		return
	}
	delete(c.unread, b.ID)
	if p == c.inFlight {
		// The batch is on the log, even if the append still returns an error.
		p.readBack = true
	}
	c.Scope.Timer("append_to_fold").Record(c.Clock.Since(p.createdAt))
	p.deliver(off, outcomes)
	if p.hasPlannerRecords() {
		c.decisionPending = false
	}
}

// releaseAbandonedKey releases an idempotency key whose claim has just been applied, if this
// entry made that key claim and has already refused the call that it was for. The entry
// refuses a call if the append of its key claim fails, or if the key claim is not applied in
// time.
func (c *control) releaseAbandonedKey(b *cfrecord.Batch, o *cfstate.Outcome) {
	k := o.Record.KeyClaim
	if k == nil || o.Rejection != "" || b.By != c.id {
		return
	}
	if c.unread[b.ID] != nil && !c.abandonedClaims[k.Claim] {
		return
	}
	delete(c.abandonedClaims, k.Claim)
	c.submit(&submission{records: []cfrecord.Record{{KeyRelease: &cfrecord.KeyRelease{
		Claim: k.Claim, Service: k.Service, Key: k.Key,
	}}}})
}

// handleAbandonedClaim handles a key claim whose outcome was unknown when its call was
// refused. If the key claim has been applied, handleAbandonedClaim releases the key at once.
// Otherwise it remembers the key claim, so that releaseAbandonedKey can release the key
// later. It remembers at most maxAbandonedClaims key claims.
func (c *control) handleAbandonedClaim(k *cfrecord.KeyClaim) {
	if s := c.state(); s != nil {
		if have := s.Key(k.Service, k.Key); have != nil && have.Claim == k.Claim {
			c.submit(&submission{records: []cfrecord.Record{{KeyRelease: &cfrecord.KeyRelease{
				Claim: k.Claim, Service: k.Service, Key: k.Key,
			}}}})
			return
		}
	}
	if len(c.abandonedClaims) < maxAbandonedClaims {
		c.abandonedClaims[k.Claim] = true
	}
}

// afterApply updates the control state after the replicated state has changed, and sends
// changed desired states to the agents.
func (c *control) afterApply() {
	s := c.state()
	if s == nil {
		return
	}
	for w := range s.Dirty {
		c.desiredChangeOffset[w] = s.Offset
		c.tasksChangedAt[w] = c.Clock.Now()
		delete(s.Dirty, w)
	}
	if s.Epoch != c.lastEpoch {
		c.lastEpoch = s.Epoch
		c.plannerSeenAt = c.Clock.Now()
		c.setPlanning(s.Planner == c.id)
	}
	c.sendDesired()
	c.tableDirty = true
}

// setPlanning records whether this entry is the planner. If this has changed, setPlanning
// also clears decisionPending and logs the change.
func (c *control) setPlanning(isPlanner bool) {
	if isPlanner == c.planning {
		return
	}
	c.planning = isPlanner
	c.decisionPending = false
	c.Log.Info().Uint64("Epoch", uint64(c.lastEpoch)).Bool("Planning", isPlanner).Msg("this entry took or lost the planner role")
}

// fencedWorkers returns the workers that are fenced in this entry's state.
func (c *control) fencedWorkers() []cfcore.WorkerID {
	var out []cfcore.WorkerID
	if c.state() == nil {
		return out
	}
	for id, w := range c.state().Workers {
		if w.Fenced {
			out = append(out, id)
		}
	}
	return out
}

// grantView returns the part of this entry's state that decides on grants. A worker that
// the state does not have counts as fenced. The state must not be nil.
func (c *control) grantView() cfgrant.View {
	s := c.state()
	return cfgrant.View{
		Self: c.id, Version: s.MemberVersion, Members: s.Members,
		IsFenced: func(w cfcore.WorkerID) bool {
			worker := s.Workers[w]
			return worker == nil || worker.Fenced
		},
	}
}

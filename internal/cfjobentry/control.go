package cfjobentry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"cranberryford/pkg/cfclock"
	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// maxEventsPerRound bounds the number of queued events that are handled before the
// next planning round.
const maxEventsPerRound = 256

// control is the state of the control goroutine. Only that goroutine uses it, with one
// exception: followStore runs in a goroutine of its own and uses failedSince.
type control struct {
	*Entry
	bootClock cfclock.BootClock
	startedAt time.Time
	// stored is the state in the records that this entry has applied.
	stored *cfjob.StoreState
	// links are the open connections of agents and other entries.
	links map[*link]bool
	// plan is the planner's state, or nil while this entry is not the planner.
	plan *planning
	// confirmedAt is when this entry sent the newest read that the store has answered, on
	// the boot clock. All records that were stored before have been applied.
	confirmedAt time.Duration
	// pendingRead is the oldest read whose records up to its end are not all applied.
	pendingRead storeRead
	// plannerSeenAt is when a message of the current planner last arrived, or when this
	// entry began to wait for one.
	plannerSeenAt time.Time
	// heardPlanner is set once a message of a planner has arrived.
	heardPlanner bool
	// goneEpoch is the newest epoch whose planner is known to have resigned or ended, goneAt when this entry
	// learned of it.
	goneEpoch cfcore.Epoch
	goneAt    time.Time
	// newestClaimRead and claimReadBefore are the last two claims that this entry has read.
	newestClaimRead, claimReadBefore claimRead
	// resignations are recorded no earlier than noResignationBefore on the boot clock.
	resignations        resignations
	noResignationBefore time.Duration
	// ledEpoch is the newest epoch of which this entry has been the planner. It is the planner of an epoch
	// only once: each time it would begin with the same sequence numbers, and the store confirms records
	// under a number that was used before without storing them.
	ledEpoch cfcore.Epoch
	// conflictOffset is the offset at which this entry's last rejected claim was to be added,
	// or -1 if no claim was rejected. The store rejects a claim (StoreConflict) if the store
	// already contains another record at that offset. This entry claims no epoch while
	// stored.Next equals conflictOffset, since it has not read that record yet.
	conflictOffset int64
	// claimInFlight is set while the append of a claim is in flight. claimsStopped is set
	// once a graceful shutdown has begun; this entry then claims no more epochs.
	claimInFlight bool
	sentClaim     sentClaim
	claimsStopped bool
	// stopWatching ends the goroutine that keeps a connection to the current planner. It
	// does nothing if there is none.
	stopWatching func()
	// selfRecorded is set while the store contains this entry's own record.
	selfRecorded bool
	// unread is this entry's record if the planner has possibly not read it.
	unread unreadRecord
	// mark is the newest mark of valid records, see recordsValid.
	mark readMark
	// clock follows the planners' clock.
	clock plannerClock
	// noClaimBefore is the time on the boot clock before which this entry claims no
	// epoch.
	noClaimBefore time.Duration
	polls         polls
	peerConfigs   peerConfigState
	// peerClaim is the newest claim received from another entry. It is possibly not among
	// the records that this entry has read.
	peerClaim cfjob.Claim

	reservations reservations

	// unseenSince holds, by job ID, the end time of each job whose outcome callers cannot
	// see yet because the record with the outcome is not applied.
	unseenSince map[string]time.Time
	// failedSince is when the calls of followStore to the store began to fail. It is the
	// zero time if none of them has failed since tail last read a page. Only the goroutine
	// of followStore uses it.
	failedSince time.Time
}

func newControl(e *Entry) *control {
	return &control{
		Entry: e, bootClock: cfclock.System{}, startedAt: e.Clock.Now(), stored: cfjob.NewStoreState(e.codec), links: map[*link]bool{}, stopWatching: func() {}, unseenSince: map[string]time.Time{}, conflictOffset: -1,
	}
}

func (c *control) bootTime() time.Duration { return c.bootClock.Now() }

// run handles events and drives planning until the context ends.
func (c *control) run(ctx context.Context) error {
	followDone := make(chan error, 1)
	go func() { followDone <- c.followStore(ctx) }()
	defer func() {
		if err := <-followDone; !cfcommon.IsCleanShutdown(err) {
			c.Log.Error().Err(err).Msg("goroutine that reads the store ended with an error")
		}
	}()
	defer func() { c.stopWatching() }()
	tick := c.Clock.NewTicker(c.cfg.Planning.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.Chan():
		case ev := <-c.events:
			c.handleEvent(ctx, ev)
			c.handleQueuedEvents(ctx)
		}
		c.isPlanner.Store(c.plan != nil)
		c.hasPlanner.Store(c.plan != nil || c.stored.Planner.Epoch > c.goneEpoch && c.Clock.Since(c.plannerSeenAt) < c.cfg.Planning.Silence/2)
		c.claimIfNoPlanner(ctx)
		c.recordResignation(ctx)
		c.requestConfig()
		if !c.storeWorks() {
			// While the store does not answer, only another entry can announce a newer
			// configuration.
			c.relay.requestConn()
		}
		c.pollPeers()
		c.runPlanningRound(ctx)
	}
}

// handleQueuedEvents handles queued events, up to maxEventsPerRound, so that one
// planning round covers all of them.
func (c *control) handleQueuedEvents(ctx context.Context) {
	for range maxEventsPerRound {
		select {
		case ev := <-c.events:
			c.handleEvent(ctx, ev)
		default:
			return
		}
	}
}

func (c *control) handleEvent(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case restored:
		c.handleRestored(ctx, ev)
	case pageRead:
		c.handlePageRead(ctx, ev)
	case recordsStored:
		for _, r := range ev.records {
			c.applyRecord(ctx, r)
		}
	case lookup, countRequested, submissionRefused:
		c.handleCallerEvent(ev)
	case configChanged:
		c.applyConfig(ev.config)
	case adviceReceived:
		c.handleAdviceReceived(ev)
	case batchAppended:
		c.handleBatchAppended(ctx, ev)
	case claimAppended:
		c.claimInFlight = false
		if cferror.Is(ev.err, cfcore.StoreConflict) {
			c.conflictOffset = ev.offset
		} else {
			// A stored claim is possibly not read yet.
			c.noClaimBefore = max(c.noClaimBefore, c.bootTime()+retryDelay)
		}
		if ev.err != nil {
			c.Log.Warn().Err(ev.err).Msg("claim to the planner role was rejected, or its outcome is unknown")
		}
	case leaveRequested:
		c.claimsStopped = true
		c.resign("shutdown")
		close(c.resigned)
	default:
		c.handlePeerEvent(ctx, ev)
	}
}

// handleCallerEvent handles events of callers' requests.
func (c *control) handleCallerEvent(ev event) {
	switch ev := ev.(type) {
	case lookup:
		c.handleLookup(ev)
	case countRequested:
		ev.reply <- c.stored.Waiting(ev.queue)
	case submissionRefused:
		c.reservations.release(ev.id, ev.memory)
	}
}

// handlePeerEvent handles events of agents and other entries, and the recording of a resignation.
func (c *control) handlePeerEvent(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case linkUp:
		ev.link.upAt = c.bootTime()
		c.links[ev.link] = true
		c.sendEntries(ev.link)
	case linkDown:
		delete(c.links, ev.link)
	case reportReceived:
		c.handleReportReceived(ev)
	case plannerMessage:
		if ev.epoch == c.stored.Planner.Epoch {
			c.plannerSeenAt, c.heardPlanner = c.Clock.Now(), true
		}
	case pollReceived:
		if ev.poll.Epoch >= c.newestClaim().Epoch {
			c.plannerSeenAt = c.Clock.Now()
		}
		c.markRecordRead(ev.poll)
		c.answerPoll(ev)
	case pollAnswered:
		c.polls.handlePollAnswered(ev, c.plan)
		c.recordPeerVersion(ev.link.conn, ev.answer.Config)
	case plannerGone:
		c.markPlannerGone(ev.epoch)
	case resignationRecorded:
		c.handleResignationRecorded(ev)
	case configPart:
		c.receiveConfigPart(ev)
	case entriesReceived:
		c.followNamedPlanner(ctx, ev)
	}
}

// handleLookup answers a request for the state of a job, and reserves memory for an unknown one.
func (c *control) handleLookup(ev lookup) {
	e, known := c.stored.Lookup(ev.id)
	result := lookupResult{known: known, next: c.stored.Next}
	switch {
	case known:
		result.state = e.State()
	case ev.memory > 0:
		result.reserved = c.reservations.reserve(ev.id, ev.memory, c.jobMemoryLimit()-c.stored.Memory, c.Clock.Now())
	}
	ev.reply <- result
}

// handleRestored replaces the stored state with the state read from the store.
func (c *control) handleRestored(ctx context.Context, ev restored) {
	old := c.stored.Planner
	c.stored = ev.stored
	c.observeMark()
	c.observeClock()
	c.confirmedAt = ev.sentAt
	c.markResigned()
	c.plannerSeenAt = c.Clock.Now()
	if old.Epoch != c.stored.Planner.Epoch || !c.synced.Load() {
		c.recordClaimRead()
		c.handlePlannerChange(ctx)
	}
	for id, e := range c.stored.Jobs {
		c.dropReservation(id, e)
		c.addJob(e)
	}
	c.Log.Info().Int64("Offset", c.stored.Next).Int("Jobs", len(c.stored.Jobs)).Uint64("Epoch", uint64(c.stored.Planner.Epoch)).Msg("state read from the store")
	c.synced.Store(true)
	_, c.selfRecorded = c.stored.Entries[c.cfg.Name]
	c.updateRelayAddresses()
	c.recordAddress(ctx)
}

// handlePageRead applies a page of records. It skips records that were applied before, and
// ignores a page that starts beyond the next record to apply.
func (c *control) handlePageRead(ctx context.Context, ev pageRead) {
	if ev.applied != nil {
		defer close(ev.applied)
	}
	if ev.from > c.stored.Next {
		return
	}
	for _, r := range ev.page.Records {
		if r.Offset < c.stored.Next {
			continue
		}
		c.applyRecord(ctx, r)
	}
	c.observeMark()
	c.observeClock()
	c.stored.Next = max(c.stored.Next, ev.page.Next)
	if ev.page.Skipped > 0 {
		c.Scope.Counter("records_skipped").Inc(int64(ev.page.Skipped))
	}
	if c.pendingRead.end == 0 {
		c.pendingRead = storeRead{end: ev.page.End, sentAt: ev.sentAt}
	}
	if c.stored.Next >= ev.page.End {
		c.confirmedAt = max(c.confirmedAt, ev.sentAt)
	}
	if c.stored.Next >= c.pendingRead.end {
		c.confirmedAt = max(c.confirmedAt, c.pendingRead.sentAt)
		c.pendingRead = storeRead{}
	}
}

// storeRead is a read of the store. end is the end of the records in the answer.
type storeRead struct {
	end    int64
	sentAt time.Duration
}

// applyRecord applies a record to the stored state, and acts on the change that the record
// makes.
func (c *control) applyRecord(ctx context.Context, r cfcore.KeyedRecord) {
	change, err := c.stored.Apply(r)
	if err != nil {
		c.Log.Warn().Err(err).Str("Key", r.Key).Int64("Offset", r.Offset).Msg("record cannot be applied; skipping it")
		c.Scope.Counter("records_skipped").Inc(1)
		return
	}
	switch {
	case change.JobID != "":
		if c.stored.Jobs[change.JobID] == nil && c.plan != nil {
			// Before its last record is dropped, a forgotten job would be added as a new one.
			c.plan.Forget(change.JobID)
		}
		if e := c.stored.Jobs[change.JobID]; e != nil {
			c.dropReservation(change.JobID, e)
			c.addJob(e)
			if e.Ended() {
				c.recordOutcomeDelay(change.JobID)
			}
		}
	case change.Planner:
		c.recordClaimRead()
		c.handlePlannerChange(ctx)
	case change.Resigned:
		c.markResigned()
		c.takeOver()
	case change.Entries:
		c.handleEntriesChange(r.Offset)
		if !c.selfRecorded {
			c.recordAddress(ctx)
		}
	}
}

// applyConfig passes a newer configuration to c.plan, the planner's state, if this entry
// is the planner. The configuration then also applies to existing jobs. applyConfig ignores a
// configuration that another one has replaced: their events can be queued in any order.
func (c *control) applyConfig(cfg *cfjob.Config) {
	if c.plan != nil && cfg.Version >= c.configVersion() {
		c.plan.SetQueues(cfg)
	}
}

// sendEntries sends an agent or an entry the addresses of all recorded entries, the
// newest claim and the version of the configuration in force. If this entry is the
// planner and may give orders, it also sends empty orders. From them, an agent learns that
// this is the connection to the planner.
func (c *control) sendEntries(l *link) {
	claim := c.newestClaim()
	m := &cfwire.JobEntries{Epoch: claim.Epoch, Planner: claim.Address, Config: c.configVersion(), ReadTo: c.stored.Next}
	for _, e := range c.stored.Entries {
		m.Addresses = append(m.Addresses, e.Address)
	}
	slices.SortFunc(m.Addresses, netip.AddrPort.Compare)
	c.send(l, &cfwire.Message{JobEntries: m})
	if c.plan != nil && c.hasAuthority() && c.mayOrder(l) {
		c.sendEmptyOrders(l)
	}
}

// updateRelayAddresses gives the relay the recorded addresses of the other entries.
func (c *control) updateRelayAddresses() {
	var addrs []netip.AddrPort
	for name, e := range c.stored.Entries {
		if name != c.cfg.Name {
			addrs = append(addrs, e.Address)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	c.relay.recordedAddrs.Store(&addrs)
}

// send sends a message on a link. It logs and counts a failure.
func (c *control) send(l *link, m *cfwire.Message) {
	if err := l.conn.Send(m); err != nil {
		c.Log.Debug().Err(err).Str("Peer", l.name).Msg("message not sent to an agent or another entry")
		c.Scope.Counter("messages_not_sent").Inc(1)
	}
}

// recordAddress writes this entry's address to the store, where other entries look it up.
func (c *control) recordAddress(ctx context.Context) {
	r, err := c.codec.Entry(c.cfg.Name, &cfjob.EntryInfo{Instance: c.instance, Address: c.cfg.Inner, RecordedAt: c.Clock.Now(), MemoryMB: c.cfg.MemoryMB, Cores: c.cfg.Cores})
	if err != nil {
		c.Log.Error().Err(err).Msg("address of this entry cannot be encoded; not recording it")
		return
	}
	go func() {
		if err := c.submissions.add(ctx, r); err != nil {
			c.Log.Warn().Err(err).Msg("append of this entry's address to the store was rejected, or its outcome is unknown")
		}
	}()
}

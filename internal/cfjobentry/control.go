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

// drainLimit bounds the events that are handled before the planner decides again.
const drainLimit = 256

// control is the state of the control goroutine. Only follow runs beside it; it has
// failedSince to itself.
type control struct {
	*Entry
	clock cfclock.Boot
	book  *cfjob.Book
	links map[*link]bool
	// plan is set while this entry is the planner.
	plan *planning
	// confirmed is when the store was asked, and answered, last.
	confirmed time.Duration
	// heard is when the present planner was heard last.
	heard time.Time
	// goneEpoch is the newest epoch whose planner is known to have resigned or ended.
	goneEpoch cfcore.Epoch
	// conflictAt is the offset of the last claim that came after other records: what was
	// added has to be read before the next claim.
	conflictAt int64
	// claiming is set while an append of a claim is under way, leaving by a shutdown.
	claiming bool
	leaving  bool
	// watching ends the connection to the present planner.
	watching func()
	// known is set while this entry's own record is in the store.
	known bool
	// promised is until when this entry has promised not to claim an epoch.
	promised time.Duration
	polls    polls
	configs  configWatch
	// named is the newest claim that another entry has told of, and that may not have been
	// read yet.
	named cfjob.Claim

	// ending is when jobs ended whose outcome cannot be seen yet.
	ending map[string]time.Time
	// failedSince is since when calls to the store have failed; it belongs to follow.
	failedSince time.Time
}

func newControl(e *Entry) *control {
	return &control{
		Entry: e, clock: cfclock.System{}, book: cfjob.NewBook(e.codec), links: map[*link]bool{}, watching: func() {}, ending: map[string]time.Time{}, conflictAt: -1,
	}
}

func (c *control) boot() time.Duration { return c.clock.Now() }

// run owns the control state until the context ends.
func (c *control) run(ctx context.Context) error {
	followed := make(chan error, 1)
	go func() { followed <- c.follow(ctx) }()
	defer func() {
		if err := <-followed; !cfcommon.EndedAsTold(err) {
			c.Log.Error().Err(err).Msg("following the store failed")
		}
	}()
	defer func() { c.watching() }()
	tick := c.Clock.NewTicker(c.cfg.Planning.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.Chan():
		case ev := <-c.events:
			c.handle(ctx, ev)
			c.drain(ctx)
		}
		c.leads.Store(c.plan != nil)
		c.settled.Store(c.plan != nil || c.book.Planner.Epoch > c.goneEpoch && c.Clock.Since(c.heard) < c.cfg.Planning.Silence/2)
		c.lead(ctx)
		c.askConfig()
		if !c.storeWorks() {
			// Only another entry can tell of a newer configuration.
			c.relay.want()
		}
		c.pollPeers()
		c.decide(ctx)
	}
}

// drain handles the events that wait, so that one decision answers all of them.
func (c *control) drain(ctx context.Context) {
	for range drainLimit {
		select {
		case ev := <-c.events:
			c.handle(ctx, ev)
		default:
			return
		}
	}
}

func (c *control) handle(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case restored:
		c.restored(ctx, ev)
	case followed:
		c.followed(ctx, ev)
	case accepted:
		for _, r := range ev.records {
			c.apply(ctx, r)
		}
	case lookup:
		c.lookup(ev)
	case count:
		ev.reply <- c.book.Waiting(ev.queue)
	case configured:
		c.configured(ev.config)
	case advised:
		c.advised(ev)
	case kept:
		c.kept(ctx, ev)
	case claimed:
		c.claiming = false
		if cferror.Is(ev.err, cfcore.StoreConflict) {
			c.conflictAt = ev.at
		}
		if ev.err != nil {
			c.Log.Warn().Err(ev.err).Msg("claim to be the planner got no confirmation")
		}
	case left:
		c.leaving = true
		c.resign("shutdown")
		close(c.resigned)
	default:
		c.handlePeer(ctx, ev)
	}
}

// handlePeer handles what agents and other entries do.
func (c *control) handlePeer(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case linkUp:
		c.links[ev.link] = true
		c.greet(ev.link)
	case linkDown:
		delete(c.links, ev.link)
	case reported:
		c.reported(ev)
	case peerHeard:
		if ev.epoch == c.book.Planner.Epoch {
			c.heard = c.Clock.Now()
		}
	case polled:
		c.heard = c.Clock.Now()
		c.answerPoll(ev)
	case answered:
		c.polls.answered(ev, c.plan)
		c.heardVersion(ev.link.conn, ev.answer.Config)
	case peerGone:
		c.goneEpoch = max(c.goneEpoch, ev.epoch)
	case configPart:
		c.takeConfig(ctx, ev)
	case peerNamed:
		c.plannerNamed(ctx, ev)
	}
}

func (c *control) lookup(ev lookup) {
	e, known := c.book.Lookup(ev.id)
	f := found{known: known, next: c.book.Next}
	if known {
		f.state = e.State()
	}
	ev.reply <- f
}

// restored replaces the book by what the store holds.
func (c *control) restored(ctx context.Context, ev restored) {
	old := c.book.Planner
	c.book = ev.book
	c.confirmed = ev.asked
	c.heard = c.Clock.Now()
	if old.Epoch != c.book.Planner.Epoch || !c.synced.Load() {
		c.plannerChanged(ctx)
	}
	for _, e := range c.book.Jobs {
		c.addJob(e)
	}
	c.Log.Info().Int64("Offset", c.book.Next).Int("Jobs", len(c.book.Jobs)).Uint64("Epoch", uint64(c.book.Planner.Epoch)).Msg("state read from the store")
	c.synced.Store(true)
	_, c.known = c.book.Entries[c.cfg.Name]
	c.shareAddresses()
	c.announce(ctx)
}

// followed applies a page of records. Those that have been applied are left out.
func (c *control) followed(ctx context.Context, ev followed) {
	if ev.applied != nil {
		defer close(ev.applied)
	}
	if ev.from > c.book.Next {
		return
	}
	for _, r := range ev.page.Records {
		if r.Offset < c.book.Next {
			continue
		}
		c.apply(ctx, r)
	}
	c.book.Next = max(c.book.Next, ev.page.Next)
	if ev.page.Skipped > 0 {
		c.Scope.Counter("records_skipped").Inc(int64(ev.page.Skipped))
	}
	if ev.asked > c.confirmed {
		c.confirmed = ev.asked
	}
}

func (c *control) apply(ctx context.Context, r cfcore.KeyedRecord) {
	change, err := c.book.Apply(r)
	if err != nil {
		c.Log.Warn().Err(err).Str("Key", r.Key).Int64("Offset", r.Offset).Msg("record skipped")
		c.Scope.Counter("records_skipped").Inc(1)
		return
	}
	switch {
	case change.JobID != "":
		if e := c.book.Jobs[change.JobID]; e != nil {
			c.addJob(e)
			if e.Ended() {
				c.visible(change.JobID)
			}
		}
	case change.Planner:
		c.plannerChanged(ctx)
	case change.Entries:
		c.entriesChanged()
		if !c.known {
			c.announce(ctx)
		}
	}
}

// configured puts a newer configuration in force for the jobs that there are.
func (c *control) configured(cfg *cfjob.Config) {
	if c.plan != nil {
		c.plan.SetQueues(cfg)
	}
}

// greet tells an agent or an entry which entries there are, and who is the planner.
func (c *control) greet(l *link) {
	claim := c.newestClaim()
	m := &cfwire.JobEntries{Epoch: claim.Epoch, Planner: claim.Address, Config: c.configVersion()}
	for _, e := range c.book.Entries {
		m.Addresses = append(m.Addresses, e.Address)
	}
	slices.SortFunc(m.Addresses, netip.AddrPort.Compare)
	c.send(l, &cfwire.Message{JobEntries: m})
	if c.plan != nil && c.authority() {
		c.send(l, &cfwire.Message{JobOrders: &cfwire.JobOrders{Epoch: c.plan.epoch}})
	}
}

// shareAddresses tells the relay where the other entries are.
func (c *control) shareAddresses() {
	var addrs []netip.AddrPort
	for name, e := range c.book.Entries {
		if name != c.cfg.Name {
			addrs = append(addrs, e.Address)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	c.relay.recorded.Store(&addrs)
}

func (c *control) send(l *link, m *cfwire.Message) {
	if err := l.conn.Send(m); err != nil {
		c.Log.Debug().Err(err).Str("Peer", l.name).Msg("message not sent")
		c.Scope.Counter("messages_not_sent").Inc(1)
	}
}

// announce writes this entry's address to the store, where others find it.
func (c *control) announce(ctx context.Context) {
	r, err := c.codec.Entry(c.cfg.Name, &cfjob.EntryInfo{Instance: c.instance, Address: c.cfg.Inner, Started: c.Clock.Now()})
	if err != nil {
		c.Log.Error().Err(err).Msg("address cannot be encoded")
		return
	}
	go func() {
		if err := c.submits.add(ctx, r); err != nil {
			c.Log.Warn().Err(err).Msg("address of this entry not written to the store")
		}
	}()
}

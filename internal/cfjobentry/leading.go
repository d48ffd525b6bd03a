package cfjobentry

import (
	"context"
	"sort"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// producerName is the name of the sequence of appends that only the planner makes.
const producerName = "planner"

// rankDelay sets the claims of entries apart, by their place in the order of names.
const rankDelay = 100 * time.Millisecond

// lead claims the planner's epoch where no planner is heard.
func (c *control) lead(ctx context.Context) {
	if c.plan != nil || c.claiming || c.book.Next == c.conflictAt || c.leaving || !c.synced.Load() || !c.storeWorks() || c.boot() < c.promised {
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
		c.tell(ctx, claimed{at: at, err: err})
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

// newestClaim returns the newest claim that is known, read or not.
func (c *control) newestClaim() cfjob.Claim {
	if c.named.Epoch > c.book.Planner.Epoch {
		return c.named
	}
	return c.book.Planner
}

// plannerNamed takes in which planner another entry knows. An entry that the store turns
// away connects to one of which it has not read: that planner tells it which
// configuration there is.
func (c *control) plannerNamed(ctx context.Context, ev peerNamed) {
	c.heardVersion(ev.conn, ev.entries.Config)
	m := ev.entries
	if m.Epoch <= c.newestClaim().Epoch || c.storeWorks() || c.plan != nil || !m.Planner.IsValid() || m.Planner == c.cfg.Inner {
		return
	}
	c.Log.Info().Uint64("Epoch", uint64(m.Epoch)).Str("Planner", m.Planner.String()).Str("Entry", ev.conn.Peer().Name).Msg("another entry names a newer planner")
	c.named = cfjob.Claim{Epoch: m.Epoch, Address: m.Planner}
	c.watching()
	c.startWatching(ctx, c.named)
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
	c.restoreLearnt()
	for _, e := range c.book.Jobs {
		c.addInherited(e)
	}
	c.Log.Info().Uint64("Epoch", uint64(claim.Epoch)).Int("Jobs", len(c.book.Jobs)).Int("Agents", len(agents)).Msg("this entry is the planner")
	c.Scope.Counter("planner_terms").Inc(1)
	c.greetAll()
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

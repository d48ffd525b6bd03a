package cfjobentry

import (
	"cmp"
	"context"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfdispatch"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfwire"
)

// producerName is the producer name of claims and of the planner's records in the store. A
// newer claim has a higher epoch. Once the newer claim is in the store, the store rejects
// the appends of earlier planners, since they have the same producer name and a lower epoch
// (fencing).
const producerName = "planner"

// Before a claim, an entry waits rankDelay times its rank. The entries therefore do not all claim at the same time.
const rankDelay = 100 * time.Millisecond

// firstClaimDelay is added if there has been no planner yet. Entries that start together then know each other's
// records.
const firstClaimDelay = 300 * time.Millisecond

// firstEpoch is the epoch of a planner that has none before it.
const firstEpoch = 1

// authorityMargin is added to the time for which an earlier planner possibly gives orders. It
// covers the time from a check of its authority to the sending of the orders.
const authorityMargin = 300 * time.Millisecond

// claimIfNoPlanner claims the next epoch if there has been no planner, if the planner of
// the newest claim is gone, or if that planner has sent no message for Planning.Silence.
// In all three cases, the claim is delayed by rankDelay times this entry's rank. If the
// newest claim has this entry's own address, the planner of that claim is gone, since
// this entry is not the planner. In the third case, the planner must know this entry, see
// handleEntriesChange.
func (c *control) claimIfNoPlanner(ctx context.Context) {
	if c.plan != nil || c.claimInFlight || c.stored.Next == c.conflictOffset || c.claimsStopped || !c.synced.Load() || !c.storeWorks() || c.bootTime() < c.noClaimBefore {
		return
	}
	now := c.Clock.Now()
	claim := c.stored.Planner
	gone := claim.Epoch == 0 || c.hasEnded(claim)
	wait := time.Duration(c.rank()) * rankDelay
	if claim.Epoch == 0 {
		wait += firstClaimDelay
	}
	if !gone {
		if c.bootTime() < c.unread.until {
			return
		}
		wait += c.cfg.Planning.Silence
	}
	if now.Sub(c.plannerSeenAt) < wait {
		return
	}
	c.appendClaim(ctx, claim.Epoch+1)
}

// hasEnded reports whether the planner of a claim is known to have resigned or ended. A planner at this entry's address
// was its former instance.
func (c *control) hasEnded(claim cfjob.Claim) bool {
	return claim.Epoch <= c.goneEpoch || claim.Address == c.cfg.Inner
}

// rank returns how many recorded entries precede this one: those with more CPU, and those of the same CPU by
// name. A planner whose entry is overloaded learns late of the ends of runs.
func (c *control) rank() int {
	n := 0
	for name, e := range c.stored.Entries {
		if cmp.Or(cmp.Compare(c.cfg.Cores, e.Cores), cmp.Compare(name, c.cfg.Name)) < 0 {
			n++
		}
	}
	return n
}

// appendClaim appends a claim to the given epoch, on condition that this entry has read
// all records in the store. Only the records in the store decide which entry is the
// planner.
func (c *control) appendClaim(ctx context.Context, epoch cfcore.Epoch) {
	r, err := c.codec.Claim(&cfjob.Claim{Epoch: epoch, Instance: c.instance, Address: c.cfg.Inner, Elapsed: c.elapsed(), AbsencesSince: c.absencesSince(epoch)})
	if err != nil {
		c.Log.Error().Err(err).Msg("claim to the planner role cannot be encoded; not claiming")
		return
	}
	c.claimInFlight = true
	c.plannerSeenAt = c.Clock.Now()
	offset := c.stored.Next
	c.sentClaim.send(sentClaim{epoch: epoch, offset: offset, sentAt: c.Clock.Now(), predecessorEnded: c.predecessorEnded(epoch), predecessorMarked: c.predecessorMarked()})
	c.Log.Info().Uint64("Epoch", uint64(epoch)).Int64("At", offset).Bool("PredecessorEnded", c.sentClaim.predecessorEnded).Msg("appending a claim to the planner role")
	go func() {
		_, err := c.Store.Append(ctx, c.topic, []cfcore.KeyedRecord{r}, cfcore.AppendOptions{
			At: &offset, Producer: &cfcore.Producer{Name: producerName, Epoch: epoch, Sequence: 1},
		})
		c.post(ctx, claimAppended{offset: offset, err: err})
	}()
}

// sentClaim is the last claim that this entry sent, and since when the store possibly has it. predecessorEnded is set
// if the planners before had ended by then, and predecessorMarked if the last of them had marked the records as complete.
type sentClaim struct {
	epoch             cfcore.Epoch
	offset            int64
	sentAt            time.Time
	predecessorEnded  bool
	predecessorMarked bool
}

// send remembers that a claim is sent. One at the same offset whose outcome is unknown is possibly in the store.
func (s *sentClaim) send(sent sentClaim) {
	if s.epoch != sent.epoch || s.offset != sent.offset {
		*s = sent
	}
}

// claimedAt returns since when the store possibly refuses the records of the planners before a claim.
func (c *control) claimedAt(claim cfjob.Claim) time.Time {
	if c.sentClaim.epoch == claim.Epoch {
		return c.sentClaim.sentAt
	}
	return time.Time{}
}

// predecessorEnded reports whether the planner before an epoch, which this entry claims, is known to have resigned or
// ended, and those before it have no authority left.
func (c *control) predecessorEnded(epoch cfcore.Epoch) bool {
	if !c.hasEnded(c.stored.Planner) {
		return false
	}
	return c.newestClaimRead.epoch == epoch-1 && (epoch-1 == firstEpoch || c.claimAge() >= c.othersFor())
}

// predecessorMarked reports whether the newest claim is followed by a mark. An older mark says nothing of the starts that
// a superseded planner has ordered since.
func (c *control) predecessorMarked() bool {
	return c.stored.Planner.Epoch == firstEpoch || c.recordsAge() < c.claimAge()
}

// claimAge returns how old the newest claim is at least. An entry that has just started, or heard of the claim from another
// one, goes by the planners' clock, which can be behind, but is never ahead.
func (c *control) claimAge() time.Duration {
	age := c.Clock.Now().Sub(c.newestClaimRead.at)
	if claim := c.stored.Planner; claim.Elapsed > 0 && c.clock.reading.Epoch == claim.Epoch {
		age = max(age, c.elapsed()-claim.Elapsed)
	}
	return age
}

// othersFor bounds how long an earlier planner gives orders after a newer claim is in the store.
func (c *control) othersFor() time.Duration {
	return time.Duration(float64(c.cfg.Lease.Authority)*(1+clockSlack)) + authorityMargin
}

// handlePlannerChange makes this entry the planner if the newest claim is its own.
// Otherwise this entry stops being the planner and connects to the new one.
func (c *control) handlePlannerChange(ctx context.Context) {
	claim := c.stored.Planner
	c.stopWatching()
	c.stopWatching = func() {}
	c.plannerSeenAt = c.Clock.Now()
	// The planner of a newer claim has read all earlier records.
	c.unread = unreadRecord{}
	if claim.Instance != c.instance {
		if c.plan != nil {
			c.Log.Warn().Uint64("Epoch", uint64(claim.Epoch)).Str("Planner", claim.Address.String()).Msg("no longer the planner: a newer claim is in the store")
			c.plan = nil
		}
		if claim.Epoch > 0 && claim.Address != c.cfg.Inner {
			c.startWatching(ctx, claim)
		}
		c.sendEntriesToAll()
		return
	}
	if c.plan != nil && c.plan.epoch == claim.Epoch {
		return
	}
	if claim.Epoch <= c.ledEpoch {
		// The state that was read from the store again was older than the claim.
		c.Log.Warn().Uint64("Epoch", uint64(claim.Epoch)).Msg("this entry was the planner of this epoch before; claiming another one")
		c.plan = nil
		c.announceResignation(cfjob.Resignation{Epoch: claim.Epoch})
		return
	}
	if c.claimsStopped {
		c.Log.Info().Uint64("Epoch", uint64(claim.Epoch)).Msg("this entry is shutting down: it does not become the planner")
		c.announceResignation(cfjob.Resignation{Epoch: claim.Epoch})
		return
	}
	c.becomePlanner(claim)
}

// newestClaim returns the newest claim that this entry has read from the store or
// received from another entry.
func (c *control) newestClaim() cfjob.Claim {
	if c.peerClaim.Epoch > c.stored.Planner.Epoch {
		return c.peerClaim
	}
	return c.stored.Planner
}

// followNamedPlanner handles another entry's list of entries. It records the configuration
// version in the list. If the list names a newer planner and the store does not answer
// this entry, it also connects to that planner, since this entry cannot read that
// planner's claim. This entry then learns from the planner which configuration version is
// in force.
func (c *control) followNamedPlanner(ctx context.Context, ev entriesReceived) {
	c.recordPeerVersion(ev.conn, ev.entries.Config)
	m := ev.entries
	if m.Epoch <= c.newestClaim().Epoch || c.storeWorks() || c.plan != nil || !m.Planner.IsValid() || m.Planner == c.cfg.Inner {
		return
	}
	c.Log.Info().Uint64("Epoch", uint64(m.Epoch)).Str("Planner", m.Planner.String()).Str("Entry", ev.conn.Peer().Name).Msg("another entry names a newer planner; connecting to that planner")
	c.peerClaim = cfjob.Claim{Epoch: m.Epoch, Address: m.Planner}
	c.stopWatching()
	c.startWatching(ctx, c.peerClaim)
}

// startWatching starts a goroutine that keeps a connection to the planner. stopWatching
// ends the goroutine.
func (c *control) startWatching(ctx context.Context, claim cfjob.Claim) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); c.watchPlanner(ctx, claim) }()
	c.stopWatching = func() { cancel(); <-done }
}

// sendEntriesToAll sends the list of entries to all connected agents and entries.
func (c *control) sendEntriesToAll() {
	for l := range c.links {
		c.sendEntries(l)
	}
}

// becomePlanner makes this entry the planner. The new planner waits for the first reports
// of the recorded agents. It waits at most until all leases that agents have extended with
// the permission of earlier planners have expired.
func (c *control) becomePlanner(claim cfjob.Claim) {
	s := cfdispatch.Settings{
		Epoch: claim.Epoch, ClaimedAt: c.claimedAt(claim), RecordedAt: c.Clock.Now().Add(-c.recordsAge()),
		PredecessorEnded: c.sentClaim.epoch == claim.Epoch && c.sentClaim.predecessorEnded && c.sentClaim.predecessorMarked, GrantTime: c.cfg.Lease.Grant, LeaseTime: c.cfg.Lease.Lease,
		ResendAfter: c.cfg.Planning.Resend, SuspectAfter: c.cfg.Suspect,
	}
	agents := make([]string, 0, len(c.stored.Agents))
	recordedAgents := map[string]bool{}
	for a := range c.stored.Agents {
		agents = append(agents, a)
		recordedAgents[a] = true
	}
	othersFor := c.othersFor()
	until := c.authorityEnd(claim.Epoch, othersFor).Add(s.LeaseExpiryTime())
	c.ledEpoch = claim.Epoch
	c.plan = &planning{
		Planner: cfdispatch.New(s, agents, until), epoch: claim.Epoch, sequence: 2, recordedAgents: recordedAgents,
		othersUntil: c.bootTime() + othersFor, orderedLinks: map[string]*link{}, entrySeenAt: map[string]time.Time{},
		heldRequests: map[string]reportReceived{}, sessions: map[string]uint64{}, sessionFloors: map[string]uint64{},
	}
	recordsValid := c.recordsValid()
	for a, at := range c.stored.Agents {
		switch {
		case at.IsZero():
			c.plan.IgnoreRecord(a)
		case c.stored.HasLateStarts(a):
		case recordsValid:
			c.plan.SetAnswered(a)
		default:
			c.plan.SetOutdated(a)
		}
	}
	c.restoreLearned()
	for _, e := range c.stored.Jobs {
		c.addInheritedJob(e)
	}
	c.restoreAbsences(claim)
	c.takeOver()
	c.Log.Info().Uint64("Epoch", uint64(claim.Epoch)).Int("Jobs", len(c.stored.Jobs)).Int("Agents", len(agents)).Bool("PredecessorEnded", s.PredecessorEnded).
		Dur("RecordsAge", c.recordsAge()).Msg("this entry is the planner")
	c.Scope.Counter("planner_terms").Inc(1)
	c.sendEntriesToAll()
}

// claimRead is the time at which this entry read a claim.
type claimRead struct {
	epoch cfcore.Epoch
	at    time.Time
}

// recordClaimRead records that this entry has read the newest claim.
func (c *control) recordClaimRead() {
	if epoch := c.stored.Planner.Epoch; epoch > c.newestClaimRead.epoch {
		c.claimReadBefore, c.newestClaimRead = c.newestClaimRead, claimRead{epoch: epoch, at: c.Clock.Now()}
	}
}

// markPlannerGone records that the planner of an epoch has resigned or ended.
func (c *control) markPlannerGone(epoch cfcore.Epoch) {
	if epoch > c.goneEpoch {
		c.goneEpoch, c.goneAt = epoch, c.Clock.Now()
	}
}

// authorityEnd returns until when planners of epochs before the given one, whose claim this entry has just read,
// possibly answer agents and order starts. It is othersFor from now. But if the planner before is known to have
// resigned or ended, only those before it count, which ended othersFor after its claim at the latest.
func (c *control) authorityEnd(epoch cfcore.Epoch, othersFor time.Duration) time.Time {
	end := c.Clock.Now().Add(othersFor)
	before := c.claimReadBefore
	if c.goneEpoch != epoch-1 || before.epoch != epoch-1 {
		return end
	}
	known := c.goneAt.Add(authorityMargin)
	if t := before.at.Add(othersFor); t.After(known) {
		known = t
	}
	if known.Before(end) {
		return known
	}
	return end
}

// resign ends this entry's leadership and notifies all peers, so that another entry can
// take over without waiting.
func (c *control) resign(reason string) {
	if c.plan == nil {
		return
	}
	c.Log.Warn().Uint64("Epoch", uint64(c.plan.epoch)).Str("Reason", reason).Msg("this entry resigns as planner")
	r := c.resignation(c.Clock.Now())
	c.plan = nil
	c.announceResignation(r)
}

// announceResignation notifies all peers that this entry is not the planner of an epoch any more. It also
// records this.
func (c *control) announceResignation(r cfjob.Resignation) {
	c.markPlannerGone(r.Epoch)
	if r.Epoch > c.resignations.unrecorded.Epoch {
		c.resignations.unrecorded = r
	}
	m := &cfwire.JobEntries{Epoch: r.Epoch, Resigned: true}
	for l := range c.links {
		c.send(l, &cfwire.Message{JobEntries: m})
	}
}

package cfjobentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

const (
	// pollInterval is the interval at which the planner polls the other entries.
	pollInterval = 200 * time.Millisecond
	// maxRecentPolls bounds the number of polls whose send times are kept. If there are
	// more, all send times are discarded.
	maxRecentPolls = 64
	// The store counts as available for storeFreshFor, counted from when the last answered
	// read was sent. The time allows for a read that waits for records for
	// StoreTimeout.Wait, and for a slow store.
	storeFreshFor = 1200 * time.Millisecond
	// minStoreLead is a difference between the send times of two reads: the last answered
	// read of another entry and the last answered read of the planner. If the other entry's
	// read was sent later by more than minStoreLead, the store is available. A planner that
	// the store does not answer then resigns. In an outage of the whole store, the
	// difference is normally at most the duration of one read. By default, a read takes
	// 400 ms if it waits for records (StoreTimeout.Wait), plus 250 ms when the store is
	// slow.
	minStoreLead = 700 * time.Millisecond
	// maxOutage bounds how long a planner gives orders while the store does not answer it.
	// The time is counted from when the planner sent its last answered read.
	maxOutage = time.Minute
	// clockSlack is the fraction by which the speeds of the clocks of two VMs can differ.
	clockSlack = 0.04
)

// polls holds the planner's polls of the other entries and their answers. Times are on
// this entry's boot clock.
type polls struct {
	epoch cfcore.Epoch
	seq   uint64
	// sentAt holds the send time of each recent poll, by the poll's number. A poll stays
	// in the map after an answer, since every entry answers it.
	sentAt     map[uint64]time.Duration
	lastSentAt time.Duration
	// promisedAt holds, for each entry, the send time of the newest poll that the entry
	// answered with a promise not to claim an epoch.
	promisedAt map[string]time.Duration
	// peerReachedAt is a time at or after which another entry has sent a read that the store
	// answered. It is the latest such time that the answers to the polls show.
	peerReachedAt time.Duration
}

// storeWorks reports whether the store has answered this entry recently.
func (c *control) storeWorks() bool { return c.bootTime()-c.confirmedAt < storeFreshFor }

// hasAuthority reports whether the planner is still allowed to give orders. There are two
// cases. Either the planner sent a read within the last Lease.Authority, and the store
// answered it without a newer epoch. Or, for up to maxOutage, all other entries have
// promised not to claim an epoch. They promise this only while they cannot reach the
// store.
func (c *control) hasAuthority() bool {
	now := c.bootTime()
	age := now - c.confirmedAt
	if age < c.cfg.Lease.Authority {
		return true
	}
	if age > maxOutage {
		return false
	}
	promiseValidity := time.Duration(float64(c.cfg.Lease.Promise) * (1 - clockSlack))
	at, ok := c.promisedByAllAt()
	return ok && now-at < promiseValidity
}

// promisedByAllAt returns the oldest of the other entries' newest promises. It reports false
// if an entry has given none.
func (c *control) promisedByAllAt() (time.Duration, bool) {
	oldest := c.bootTime()
	for name := range c.stored.Entries {
		if name == c.cfg.Name {
			continue
		}
		at, ok := c.polls.promisedAt[name]
		if !ok {
			return 0, false
		}
		oldest = min(oldest, at)
	}
	return oldest, true
}

// leadershipConfirmedAt returns the newest time, on the boot clock, for which the planner
// knows that no newer planner was in force. An entry that gives a promise is no newer
// planner at that time.
func (c *control) leadershipConfirmedAt() time.Duration {
	if at, ok := c.promisedByAllAt(); ok && len(c.stored.Entries) > 1 {
		return max(c.confirmedAt, at)
	}
	return c.confirmedAt
}

// pollPeers polls the other entries if this entry is the planner, at most once in
// pollInterval. This entry then resigns if the store answers another entry but not this
// one.
func (c *control) pollPeers() {
	now := c.bootTime()
	if c.plan == nil || now-c.polls.lastSentAt < pollInterval {
		return
	}
	p := &c.polls
	if p.epoch != c.plan.epoch {
		*p = polls{epoch: c.plan.epoch, promisedAt: map[string]time.Duration{}}
	}
	if len(p.sentAt) > maxRecentPolls || p.sentAt == nil {
		p.sentAt = map[uint64]time.Duration{}
	}
	p.seq++
	p.sentAt[p.seq], p.lastSentAt = now, now
	m := &cfwire.Message{JobPoll: &cfwire.JobPoll{Seq: p.seq, Epoch: c.plan.epoch, Config: c.configVersion(), ReadTo: c.stored.Next}}
	for l := range c.links {
		if l.conn.Peer().Role == cfwire.RolePeer {
			c.send(l, m)
		}
	}
	if p.peerReachedAt-c.confirmedAt > minStoreLead && !c.storeWorks() {
		c.resign("the store answers other entries, but not this one")
	}
}

// handlePollAnswered records another entry's answer to a poll. It ignores an answer if
// this entry is no longer the planner, if the poll was of another epoch, or if the poll's
// send time has been discarded.
func (p *polls) handlePollAnswered(ev pollAnswered, plan *planning) {
	at, ok := p.sentAt[ev.answer.Seq]
	if plan == nil || !ok || ev.answer.Epoch != plan.epoch {
		return
	}
	p.peerReachedAt = max(p.peerReachedAt, at-ev.answer.StoreAge)
	if !ev.answer.Promise {
		delete(p.promisedAt, ev.link.name)
		return
	}
	p.promisedAt[ev.link.name] = max(p.promisedAt[ev.link.name], at)
}

// answerPoll answers a poll of the planner, unless the planner's epoch is no longer the
// newest. If the store does not answer this entry, the entry cannot take over. It then
// promises to claim no epoch until Lease.Promise has passed, so that the planner can
// continue.
func (c *control) answerPoll(ev pollReceived) {
	c.recordPeerVersion(ev.conn, ev.poll.Config)
	if ev.poll.Epoch < c.newestClaim().Epoch {
		return
	}
	promise := !c.storeWorks()
	if promise {
		c.noClaimBefore = max(c.noClaimBefore, c.bootTime()+c.cfg.Lease.Promise)
	}
	err := ev.conn.Send(&cfwire.Message{JobPollAnswer: &cfwire.JobPollAnswer{
		Seq: ev.poll.Seq, Epoch: ev.poll.Epoch, StoreAge: c.bootTime() - c.confirmedAt, Promise: promise,
		Config: c.configVersion(),
	}})
	if err != nil {
		c.Log.Debug().Err(err).Msg("answer to the planner's poll not sent")
	}
}

package cfjobentry

import (
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

const (
	// pollEvery is how often the planner asks the other entries.
	pollEvery = 200 * time.Millisecond
	// pollsKept bounds the questions whose answers are still waited for.
	pollsKept = 64
	// storeFresh is the age of the store's last answer below which it works: a read
	// waits for up to StoreTimeout.Wait, and the store may be slow.
	storeFresh = 1200 * time.Millisecond
	// storeLead is how much later than this entry another one must have reached the store
	// to show that the store works. In an outage of the whole store their last answers
	// differ by no more than the wait of a read.
	storeLead = 700 * time.Millisecond
	// longestOutage bounds the time that a planner goes on without the store.
	longestOutage = time.Minute
	// promiseSlack is the part by which the clocks of two VMs may differ in speed.
	promiseSlack = 0.04
)

// polls is what the planner asked the other entries, and what they answered.
type polls struct {
	epoch cfcore.Epoch
	seq   uint64
	asked map[uint64]time.Duration
	last  time.Duration
	// promises is when the question was asked that each entry last answered with a
	// promise.
	promises map[string]time.Duration
	// reached is the latest time, on this entry's clock, at which another entry asked
	// the store and got an answer.
	reached time.Duration
}

// storeWorks reports whether the store has answered this entry lately.
func (c *control) storeWorks() bool { return c.boot()-c.confirmed < storeFresh }

// authority reports whether this entry may still give orders. Either the store has
// confirmed lately that there is no newer epoch, or all other entries are without
// the store too and have promised not to claim one.
func (c *control) authority() bool {
	now := c.boot()
	age := now - c.confirmed
	if age < c.cfg.Lease.Authority {
		return true
	}
	if age > longestOutage {
		return false
	}
	valid := time.Duration(float64(c.cfg.Lease.Promise) * (1 - promiseSlack))
	for name := range c.book.Entries {
		if name == c.cfg.Name {
			continue
		}
		if at, ok := c.polls.promises[name]; !ok || now-at >= valid {
			return false
		}
	}
	return true
}

// pollPeers asks the other entries, and resigns where the store answers one of them
// but not this entry.
func (c *control) pollPeers() {
	now := c.boot()
	if c.plan == nil || now-c.polls.last < pollEvery {
		return
	}
	p := &c.polls
	if p.epoch != c.plan.epoch {
		*p = polls{epoch: c.plan.epoch, promises: map[string]time.Duration{}}
	}
	if len(p.asked) > pollsKept || p.asked == nil {
		p.asked = map[uint64]time.Duration{}
	}
	p.seq++
	p.asked[p.seq], p.last = now, now
	m := &cfwire.Message{JobPoll: &cfwire.JobPoll{Seq: p.seq, Epoch: c.plan.epoch, Config: c.configVersion()}}
	for l := range c.links {
		if l.conn.Peer().Role == cfwire.RolePeer {
			c.send(l, m)
		}
	}
	if p.reached-c.confirmed > storeLead && !c.storeWorks() {
		c.resign("the store answers other entries, but not this one")
	}
}

// answered takes in an answer of another entry.
func (p *polls) answered(ev answered, plan *planning) {
	at, ok := p.asked[ev.answer.Seq]
	if plan == nil || !ok || ev.answer.Epoch != plan.epoch {
		return
	}
	p.reached = max(p.reached, at-ev.answer.StoreAge)
	if !ev.answer.Promise {
		delete(p.promises, ev.link.name)
		return
	}
	p.promises[ev.link.name] = max(p.promises[ev.link.name], at)
}

// answerPoll answers the planner. Without the store this entry could not take over,
// and it promises not to for a while, so that the planner can go on.
func (c *control) answerPoll(ev polled) {
	c.heardVersion(ev.conn, ev.poll.Config)
	if ev.poll.Epoch < c.book.Planner.Epoch {
		return
	}
	promise := !c.storeWorks()
	if promise {
		c.promised = max(c.promised, c.boot()+c.cfg.Lease.Promise)
	}
	err := ev.conn.Send(&cfwire.Message{JobPollAnswer: &cfwire.JobPollAnswer{
		Seq: ev.poll.Seq, Epoch: ev.poll.Epoch, StoreAge: c.boot() - c.confirmed, Promise: promise,
		Config: c.configVersion(),
	}})
	if err != nil {
		c.Log.Debug().Err(err).Msg("answer to the planner not sent")
	}
}

package cfjobagent

import (
	"context"
	"net/netip"
	"time"

	"cranberryford/pkg/cfclock"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

const (
	// tickTime is how often the control goroutine looks at its timers.
	tickTime = 50 * time.Millisecond
	// clockSlack is the part by which the worker's clock may be slow (2 %, by the
	// platform's word), and the same again for this machine's.
	clockSlack = 0.04
	// lapseMargin is added to the wait for a lease, for the time between a check of
	// the clock and the sending.
	lapseMargin = 200 * time.Millisecond
	// unreachedAfter is how long the worker may leave calls unanswered before the
	// planner is told.
	unreachedAfter = 900 * time.Millisecond
	// holdPause is the pause before the worker is asked again after a call that
	// failed, or that listed ends which are not on record yet.
	holdPause = 100 * time.Millisecond
	// asksKept bounds the questions whose answers are still waited for.
	asksKept = 64
)

// control is the state of the control goroutine.
type control struct {
	*Agent
	boot  cfclock.Boot
	dials map[netip.AddrPort]context.CancelFunc
	// seeds are the entries of the settings, and named those that an entry has named.
	seeds []netip.AddrPort
	named []netip.AddrPort
	// dialDone counts the ends of dial loops.
	dialDone chan struct{}
	dialing  int

	// epoch is the newest one that is known, and planner the connection to its
	// planner, where there is one.
	epoch   cfcore.Epoch
	planner *link
	ask     uint64
	asked   map[uint64]time.Duration
	askedAt time.Duration
	// granted is when the last question that was answered had been asked.
	granted  time.Duration
	hasGrant bool

	// worker is the present life of the worker, and left is set once it said that it ends.
	worker    cfcore.WorkerState
	hasWorker bool
	left      bool
	// clock is the newest reading of the worker's clock.
	clock time.Duration
	// lists are the newest ones that a call with the present epoch returned.
	lists    cfcore.RunLists
	hasLists bool
	// noted is the number of the last end on record, and listed that of the last one listed.
	noted  uint64
	listed uint64
	// holding is set while the regular call is under way; the next one is due at holdAt.
	holding bool
	holdAt  time.Duration
	// answeredAt is when the worker last answered a call.
	answeredAt time.Duration
	// clockAt is when the newest reading of the worker's clock came in. Every lease ends
	// by LeaseTime after that reading, also where a call that extends it comes late.
	clockAt  time.Duration
	inFlight map[orderKey]bool
	// uncertain are starts that an attempt without an answer may still carry out.
	uncertain map[orderKey]bool
	// startedAt is when this run of the agent began.
	startedAt time.Duration
	// resend is set when the planner has to be told all anew.
	resend  bool
	results []cfwire.JobOrderResult
}

func newControl(a *Agent) *control {
	c := &control{
		Agent: a, boot: cfclock.System{}, dials: map[netip.AddrPort]context.CancelFunc{},
		seeds: a.cfg.Entries, dialDone: make(chan struct{}), asked: map[uint64]time.Duration{}, inFlight: map[orderKey]bool{}, uncertain: map[orderKey]bool{},
	}
	// An earlier run of this agent may have extended leases until just now.
	c.clockAt = c.boot.Now()
	c.answeredAt, c.startedAt = c.clockAt, c.clockAt
	return c
}

// run owns the control state until the context ends.
func (c *control) run(ctx context.Context) error {
	c.dialAll(ctx)
	tick := c.Clock.NewTicker(tickTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for c.dialing > 0 {
				<-c.dialDone
				c.dialing--
			}
			return ctx.Err()
		case <-c.dialDone:
			c.dialing--
		case <-tick.Chan():
		case ev := <-c.events:
			c.handle(ctx, ev)
		}
		c.hold(ctx)
		c.report()
	}
}

func (c *control) handle(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case heartbeat:
		c.heartbeat(ev.state)
		close(ev.taken)
	case workerLeft:
		c.workerLeft(ev.id)
		close(ev.taken)
	case entriesSet:
		c.seeds = ev.addrs
		c.dialAll(ctx)
	case linkDown:
		if c.planner == ev.link {
			c.planner = nil
		}
	case received:
		c.received(ctx, ev.link, ev.message)
	case held:
		c.held(ev)
	case ordered:
		c.ordered(ctx, ev)
	}
}

// heartbeat takes in what the worker says of itself. A heartbeat that was
// overtaken, or is of an earlier life, changes nothing.
func (c *control) heartbeat(s cfcore.WorkerState) {
	if c.hasWorker && s.Born.Before(c.worker.Born) {
		return
	}
	sameLife := c.hasWorker && s.Born.Equal(c.worker.Born)
	if sameLife && s.Sequence <= c.worker.Sequence {
		return
	}
	if !sameLife {
		c.Log.Info().Str("Worker", s.ID).Time("Born", s.Born).Str("Service", s.Service).Msg("worker registered")
		c.newLife()
	}
	if sameLife && s.Draining != c.worker.Draining {
		c.Log.Info().Str("Worker", s.ID).Bool("Draining", s.Draining).Dur("Remaining", s.Remaining).Msg("worker changed its state")
	}
	changed := !sameLife || s.Draining != c.worker.Draining || s.Remaining != c.worker.Remaining
	c.worker, c.hasWorker = s, true
	c.readClock(s.Clock)
	if changed {
		c.resend = true
	}
}

// readClock takes in a reading of the worker's clock.
func (c *control) readClock(reading time.Duration) {
	if reading > c.clock {
		c.clock, c.clockAt = reading, c.boot.Now()
	}
}

// newLife forgets what an earlier life of the worker ran.
func (c *control) newLife() {
	c.clock, c.lists, c.hasLists, c.noted, c.listed = 0, cfcore.RunLists{}, false, 0, 0
	c.inFlight, c.uncertain = map[orderKey]bool{}, map[orderKey]bool{}
	c.left, c.answeredAt, c.holdAt = false, c.boot.Now(), 0
}

func (c *control) workerLeft(id string) {
	if c.hasWorker && c.worker.ID == id {
		c.Log.Info().Str("Worker", id).Msg("worker has left")
		c.left = true
		c.resend = true
	}
}

// received takes in a message of an entry.
func (c *control) received(ctx context.Context, l *link, m *cfwire.Message) {
	if m.JobEntries != nil {
		c.entries(ctx, m.JobEntries)
		return
	}
	o := m.JobOrders
	if o.Epoch < c.epoch {
		return
	}
	if o.Epoch > c.epoch || c.planner != l {
		c.adopt(l, o.Epoch)
	}
	if at, ok := c.asked[o.Answer]; ok && (!c.hasGrant || at > c.granted) {
		c.granted, c.hasGrant = at, true
		delete(c.asked, o.Answer)
	}
	if o.Noted > c.noted && o.Born.Equal(c.worker.Born) {
		c.noted = o.Noted
		c.holdAt = 0
	}
	for _, s := range o.Starts {
		c.start(ctx, s)
	}
	for _, s := range o.Stops {
		c.stop(ctx, s)
	}
	for _, p := range o.Paces {
		c.pace(ctx, p)
	}
}

// entries takes in which entries there are, and who is their planner.
func (c *control) entries(ctx context.Context, e *cfwire.JobEntries) {
	if e.Epoch > c.epoch {
		c.adopt(nil, e.Epoch)
	}
	if len(e.Addresses) > 0 {
		c.named = e.Addresses
		c.dialAll(ctx)
	}
	if e.Resigned && e.Epoch == c.epoch {
		c.planner = nil
	}
}

// adopt obeys a newer epoch, or another connection to its planner. Lists from before
// may lack a start of an older epoch that is still on its way; only a call with the
// new epoch as its token rules that out.
func (c *control) adopt(l *link, epoch cfcore.Epoch) {
	if epoch > c.epoch {
		c.Log.Info().Uint64("Epoch", uint64(epoch)).Msg("obeying a newer planner")
		c.hasLists, c.hasGrant = false, false
		c.holdAt = 0
	}
	c.epoch, c.planner = epoch, l
	clear(c.asked)
	c.askedAt = 0
	c.resend = true
}

// leaseUntil returns the time on the worker's clock up to which leases may be
// extended now; 0 where they may not be.
func (c *control) leaseUntil() time.Duration {
	if !c.hasGrant || c.clock == 0 || c.boot.Now()-c.granted > c.cfg.Lease.Grant {
		return 0
	}
	return c.clock + c.cfg.Lease.Lease
}

func (c *control) unreached() (time.Duration, bool) {
	d := c.boot.Now() - c.answeredAt
	return d, d > unreachedAfter
}

// lapsed reports whether every lease that was extended has surely ended.
func (c *control) lapsed() bool {
	return c.boot.Now()-c.clockAt > time.Duration(float64(c.cfg.Lease.Lease)*(1+clockSlack))+lapseMargin
}

// report tells the planner what has changed, and asks it for time.
func (c *control) report() {
	if c.planner == nil {
		return
	}
	now := c.boot.Now()
	due := now-c.askedAt >= c.cfg.Ask
	if !due && !c.resend && len(c.results) == 0 {
		return
	}
	r := c.changes()
	if due {
		c.ask++
		r.Ask, c.askedAt = c.ask, now
		if len(c.asked) > asksKept {
			clear(c.asked)
		}
		c.asked[c.ask] = now
	}
	if err := c.planner.conn.Send(&cfwire.Message{JobReport: r}); err != nil {
		c.Log.Debug().Err(err).Msg("report not sent")
		c.planner = nil
	}
}

// changes returns a report of what the planner was not told yet.
func (c *control) changes() *cfwire.JobReport {
	r := &cfwire.JobReport{Epoch: c.epoch, Results: c.results}
	c.results = nil
	if c.resend && c.hasWorker {
		w := c.worker
		r.Worker = &w
		if c.hasLists {
			l := c.lists
			r.Lists = &l
		}
	}
	// An agent that has just started does not know what its worker runs.
	if d, lost := c.unreached(); c.left || lost || !c.hasWorker {
		r.Lost = &cfwire.JobWorkerUnreached{For: d, Lapsed: c.lapsed(), Left: c.left}
	}
	c.resend = false
	return r
}

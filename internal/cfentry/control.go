package cfentry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfplace"
	"cranberryford/pkg/cffold"
	"cranberryford/pkg/cfgrant"
	"cranberryford/pkg/cfharm"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfschedule"
)

// control is the state of the control goroutine.
type control struct {
	*Entry
	reader  *cffold.Reader
	grants  *cfgrant.Table
	planner *cfschedule.Scheduler
	rand    *rand.Rand

	// harm is what is learnt of how much batch work slows services.
	harm *cfharm.Model
	// placedAt is when the tasks of a worker changed last, observedAt when the
	// targets were measured last, with the answers that each had given by then.
	placedAt   map[cfcore.WorkerID]time.Time
	observedAt time.Time
	answers    map[*cfroute.Backend]int64

	// logHealthy is set while the log can be read.
	logHealthy bool

	sessions map[*session]bool
	workers  map[cfcore.WorkerID]*cfschedule.WorkerView
	// changedAt is the offset at which a worker's desired state changed last.
	changedAt map[cfcore.WorkerID]cfcore.Offset
	links     map[cfcore.InstanceID]*cfroute.Link
	backends  map[backendKey]*cfroute.Backend
	services  map[string]*cfroute.Service
	// tableDirty is set when the routing table has to be built again.
	tableDirty bool

	// queue holds what waits for the append in flight; inFlight is nil between two.
	queue    []*submission
	inFlight *flight
	// unread are batches that were appended, or may have been, and not read yet.
	unread  map[cfrecord.BatchID]*flight
	appends chan *flight
	// abandoned are claims of keys that came too late for their call.
	abandoned map[cfrecord.BatchID]bool
	// plannerBusy is set while a decision is not read back.
	plannerBusy bool

	planning     bool
	plannerHeard time.Time
	epochSeen    cfcore.Epoch
	joinedAt     time.Time
	snapshotAt   cfcore.Offset
	// logFirst is the offset of the oldest entry that the log still keeps.
	logFirst     cfcore.Offset
	snapshotTime time.Time

	peers    map[netip.AddrPort]context.CancelFunc
	peerDone chan struct{}
	peerLoop int
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
		Entry: e, reader: cffold.NewReader(e.Codec), grants: cfgrant.NewTable(timing),
		planner: cfschedule.New(cfschedule.Settings{
			Timing: timing, Silence: p.Silence, EntrySilence: p.EntrySilence, MaxBatch: p.MaxBatch,
			HeadroomPercent: p.HeadroomPercent, QuarantineAfter: p.QuarantineAfter,
			QuarantineFor: p.QuarantineFor, RetryAfter: p.RetryAfter,
			HarmLimit: p.HarmLimit, HarmWait: p.HarmWait,
		}, placer),
		rand:     e.Rand(streamControl),
		harm:     cfharm.NewModel(harmLag),
		placedAt: map[cfcore.WorkerID]time.Time{}, answers: map[*cfroute.Backend]int64{},
		sessions: map[*session]bool{}, workers: map[cfcore.WorkerID]*cfschedule.WorkerView{},
		changedAt: map[cfcore.WorkerID]cfcore.Offset{}, links: map[cfcore.InstanceID]*cfroute.Link{},
		backends: map[backendKey]*cfroute.Backend{}, services: map[string]*cfroute.Service{},
		abandoned: map[cfrecord.BatchID]bool{},
		unread:    map[cfrecord.BatchID]*flight{}, appends: make(chan *flight),
		plannerHeard: now, snapshotTime: now,
		peers: map[netip.AddrPort]context.CancelFunc{}, peerDone: make(chan struct{}),
	}
}

// state returns the folded state, or nil before there is one.
func (c *control) state() *cffold.State { return c.reader.State }

// run owns the control state until the context ends.
func (c *control) run(ctx context.Context) error {
	tick := c.Clock.NewTicker(c.cfg.Planner.Tick)
	defer tick.Stop()
	c.dialPeers(ctx)
	for {
		// The append goroutine takes the next batch only when it is idle, so that
		// what comes in meanwhile goes out together.
		next, appends := c.nextFlight()
		select {
		case <-ctx.Done():
			c.stop()
			return ctx.Err()
		case appends <- next:
			c.launched(next)
		case <-c.peerDone:
			c.peerLoop--
		case <-tick.Chan():
			c.tick(ctx)
		case ev := <-c.events:
			c.handle(ev)
		}
	}
}

func (c *control) stop() {
	for c.peerLoop > 0 {
		<-c.peerDone
		c.peerLoop--
	}
	for _, l := range c.links {
		l.End()
	}
}

func (c *control) handle(ev event) {
	switch ev := ev.(type) {
	case pageRead:
		c.pageRead(ev)
	case readFailed:
		c.setLogHealthy(false, ev.err)
	case appendEnded:
		c.appendEnded(ev)
	case submitted:
		c.submit(ev.sub)
	case claimAbandoned:
		c.claimAbandoned(ev.claim)
	case query:
		ev.f(c)
		close(ev.done)
	case polled:
		c.polled(ev)
	case pollAsked:
		c.pollAsked(ev)
	case stateAsked:
		c.stateAsked(ev)
	case stateCame:
		c.stateCame(ev)
	default:
		c.handleAgents(ev)
	}
}

func (c *control) tick(ctx context.Context) {
	c.dialPeers(ctx)
	c.join()
	c.findUnheard()
	c.plan()
	c.snapshot()
	c.publish()
	c.observe()
}

// setLogHealthy notes whether the log can be read.
func (c *control) setLogHealthy(ok bool, err error) {
	if ok == c.logHealthy {
		return
	}
	c.logHealthy = ok
	if ok {
		c.Log.Info().Msg("log is readable")
		return
	}
	c.Log.Warn().Err(err).Msg("log is not readable: serving from the last state")
}

// pageRead folds a page of the log.
func (c *control) pageRead(ev pageRead) {
	c.setLogHealthy(true, nil)
	c.logFirst = ev.page.First
	if ev.from <= 1 && ev.page.First <= 1 {
		c.reader.Begin()
	}
	for _, e := range ev.page.Entries {
		b, outcomes := c.reader.Next(e)
		if b != nil {
			c.folded(e.Offset, b, outcomes)
		}
	}
	c.afterFold()
}

// folded tells those who wait for a batch what became of it.
func (c *control) folded(off cfcore.Offset, b *cfrecord.Batch, outcomes []cffold.Outcome) {
	for i := range outcomes {
		c.releaseStray(b, &outcomes[i])
	}
	f := c.unread[b.ID]
	if f == nil {
		return
	}
	delete(c.unread, b.ID)
	if f == c.inFlight {
		// It is on the log, whatever becomes of the answer.
		f.read = true
	}
	c.Scope.Timer("append_to_fold").Record(c.Clock.Since(f.began))
	f.deliver(off, outcomes)
	if f.hasPlanner() {
		c.plannerBusy = false
	}
}

// releaseStray gives back a key that this entry claimed for a call that it has
// refused meanwhile, because the claim took too long.
func (c *control) releaseStray(b *cfrecord.Batch, o *cffold.Outcome) {
	k := o.Record.KeyClaim
	if k == nil || o.Void != "" || b.By != c.id {
		return
	}
	if c.unread[b.ID] != nil && !c.abandoned[k.Claim] {
		return
	}
	delete(c.abandoned, k.Claim)
	c.submit(&submission{records: []cfrecord.Record{{KeyRelease: &cfrecord.KeyRelease{
		Claim: k.Claim, Service: k.Service, Key: k.Key,
	}}}})
}

// claimAbandoned gives a key back at once where its claim has been folded, else
// when it is.
func (c *control) claimAbandoned(k *cfrecord.KeyClaim) {
	if s := c.state(); s != nil {
		if have := s.Key(k.Service, k.Key); have != nil && have.Claim == k.Claim {
			c.submit(&submission{records: []cfrecord.Record{{KeyRelease: &cfrecord.KeyRelease{
				Claim: k.Claim, Service: k.Service, Key: k.Key,
			}}}})
			return
		}
	}
	if len(c.abandoned) < maxAbandoned {
		c.abandoned[k.Claim] = true
	}
}

// afterFold brings what rests on the state up to date.
func (c *control) afterFold() {
	s := c.state()
	if s == nil {
		return
	}
	for w := range s.Dirty {
		c.changedAt[w] = s.Offset
		c.placedAt[w] = c.Clock.Now()
		delete(s.Dirty, w)
	}
	if s.Epoch != c.epochSeen {
		c.epochSeen = s.Epoch
		c.plannerHeard = c.Clock.Now()
		c.setPlanning(s.Planner == c.id)
	}
	c.sendDesired()
	c.tableDirty = true
}

func (c *control) setPlanning(on bool) {
	if on == c.planning {
		return
	}
	c.planning = on
	c.plannerBusy = false
	c.Log.Info().Uint64("Epoch", uint64(c.epochSeen)).Bool("Planning", on).Msg("planner changed")
}

// barred returns the workers that this entry lists as barred.
func (c *control) barred() []cfcore.WorkerID {
	var out []cfcore.WorkerID
	if c.state() == nil {
		return out
	}
	for id, w := range c.state().Workers {
		if w.Barred {
			out = append(out, id)
		}
	}
	return out
}

func (c *control) view() cfgrant.View {
	s := c.state()
	return cfgrant.View{
		Self: c.id, Version: s.MemberVersion, Members: s.Members,
		Barred: func(w cfcore.WorkerID) bool {
			worker := s.Workers[w]
			return worker == nil || worker.Barred
		},
	}
}

package cfagent

import (
	"context"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// event is what the control goroutine is told.
type event interface{ isEvent() }

type (
	// vmReported is a report of the worker. The control answers with what to do.
	vmReported struct {
		report cfcore.VMReport
		reply  chan []action
	}
	// linkUp and linkDown are the beginning and the end of a control connection.
	linkUp   struct{ link *controlLink }
	linkDown struct{ link *controlLink }
	// granted is the answer to an Ask.
	granted struct {
		link  *controlLink
		grant *cfwire.Grant
	}
	// desired is what should run.
	desired struct{ desired *cfwire.Desired }
	// targetsChanged says that the set of targets is another one.
	targetsChanged struct{}
	// left begins a graceful shutdown.
	left struct{}
	// startFailed says that the worker refused to start a run.
	startFailed struct {
		assignment cfcore.Assignment
		task       cfcore.TaskID
		reason     string
	}
)

func (vmReported) isEvent()     {}
func (linkUp) isEvent()         {}
func (linkDown) isEvent()       {}
func (granted) isEvent()        {}
func (desired) isEvent()        {}
func (targetsChanged) isEvent() {}
func (left) isEvent()           {}
func (startFailed) isEvent()    {}

// controlLink is a control connection, with what was sent on it.
type controlLink struct {
	conn *cfwire.Conn
	// reported is the number of the report that was sent last on it.
	reported uint64
	about    cfwire.About
	seq      uint64
	// bases is the worker's uptime when each open question was sent.
	bases map[uint64]time.Duration
}

// control is the state of the control goroutine.
type control struct {
	*Agent
	links map[*controlLink]bool
	dials map[netip.AddrPort]context.CancelFunc
	// dialDone counts the ends of dial loops.
	dialDone chan struct{}
	dialing  int

	vmKnown bool
	report  cfcore.VMReport
	// until is the worker uptime up to which lease time is granted.
	until   time.Duration
	have    cfcore.Offset
	items   map[cfcore.Assignment]cfwire.Item
	refused map[cfcore.Assignment]cfcore.Run
	// stopSince is since when each run of a service should stop.
	stopSince map[cfcore.Assignment]time.Time
	barred    bool
	leaving   bool

	sent       cfwire.Report
	reportNo   uint64
	reportedAt time.Time
}

func newControl(a *Agent) *control {
	return &control{
		Agent: a, links: map[*controlLink]bool{}, dials: map[netip.AddrPort]context.CancelFunc{},
		dialDone: make(chan struct{}), items: map[cfcore.Assignment]cfwire.Item{},
		refused: map[cfcore.Assignment]cfcore.Run{}, stopSince: map[cfcore.Assignment]time.Time{},
	}
}

// run owns the control state until the context ends.
func (c *control) run(ctx context.Context) error {
	c.dialEntries(ctx, nil)
	tick := c.Clock.NewTicker(c.cfg.Lease.Ask)
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
			c.targets.expire()
			c.askAll()
		case e := <-c.events:
			c.handle(ctx, e)
		}
	}
}

func (c *control) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case vmReported:
		e.reply <- c.vmReported(e.report)
	case linkUp:
		c.links[e.link] = true
		c.ask(e.link)
	case linkDown:
		delete(c.links, e.link)
	case granted:
		c.granted(ctx, e)
	case desired:
		c.desired(e.desired)
	case targetsChanged:
		c.askAll()
	case left:
		c.leaving = true
		c.askAll()
	case startFailed:
		c.refused[e.assignment] = cfcore.Run{
			Assignment: e.assignment, Task: e.task, State: cfcore.RunFailed, Reason: e.reason,
		}
		c.askAll()
	}
}

// vmReported takes over the worker's state and returns what to do.
func (c *control) vmReported(r cfcore.VMReport) []action {
	if c.vmKnown && r.Instance != c.report.Instance {
		// Leases in the terms of another worker's clock mean nothing.
		c.until = 0
		for l := range c.links {
			clear(l.bases)
		}
	}
	first := !c.vmKnown
	c.vmKnown = true
	c.report = r
	if c.refreshReport() || first {
		c.askAll()
	}
	c.signalEmpty()
	return c.reconcile()
}

// signalEmpty tells a shutdown that nothing runs any more.
func (c *control) signalEmpty() {
	if !c.leaving {
		return
	}
	for _, r := range c.report.Runs {
		if !r.State.Ended() {
			return
		}
	}
	select {
	case <-c.empty:
	default:
		close(c.empty)
	}
}

func (c *control) granted(ctx context.Context, e granted) {
	base, ok := e.link.bases[e.grant.Seq]
	if !ok {
		return
	}
	for seq := range e.link.bases {
		if seq <= e.grant.Seq {
			delete(e.link.bases, seq)
		}
	}
	if e.grant.Entries != nil {
		c.dialEntries(ctx, e.grant.Entries)
	}
	if e.grant.Refusal == "" {
		c.barred = false
		c.until = max(c.until, base+c.cfg.Lease.Grant)
		return
	}
	c.Scope.Tagged(map[string]string{"reason": e.grant.Refusal}).Counter("grants_refused").Inc(1)
	if e.grant.Barred && !c.barred {
		c.Log.Warn().Str("Worker", c.cfg.Worker).Msg("worker is barred: stopping its runs")
		c.barred = true
		c.poke()
	}
}

func (c *control) desired(d *cfwire.Desired) {
	if d.Offset < c.have {
		return
	}
	c.have = d.Offset
	items := make(map[cfcore.Assignment]cfwire.Item, len(d.Items))
	stopping := map[string]bool{}
	for _, it := range d.Items {
		items[it.Assignment] = it
		if it.Stop && it.Workload.Class == cfcore.ClassService {
			stopping[it.Workload.Name] = true
		}
	}
	c.items = items
	for a := range c.stopSince {
		if _, ok := items[a]; !ok {
			delete(c.stopSince, a)
		}
	}
	if c.targets.drain(stopping) {
		c.askAll()
	}
	for a := range c.refused {
		if _, ok := items[a]; !ok {
			delete(c.refused, a)
		}
	}
	c.poke()
}

// poke lets the VM loop look at once.
func (c *control) poke() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

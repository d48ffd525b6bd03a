package cfagent

import (
	"context"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// event is a message to the control goroutine of an agent.
type event interface{ isEvent() }

type (
	// vmReported carries a report of the worker. The reply lists the actions that the VM
	// loop then performs on the worker.
	vmReported struct {
		report cfcore.VMReport
		reply  chan []action
	}
	// linkUp and linkDown report that a control connection has opened or closed.
	linkUp   struct{ link *controlLink }
	linkDown struct{ link *controlLink }
	// grantReceived is an entry's answer to a grant request.
	grantReceived struct {
		link  *controlLink
		grant *cfwire.Grant
	}
	// desiredReceived carries the runs that the worker should have.
	desiredReceived struct{ desired *cfwire.DesiredState }
	// targetsChanged reports that the set of targets has changed.
	targetsChanged struct{}
	// shutdownStarted reports the start of a graceful shutdown.
	shutdownStarted struct{}
	// startFailed reports that the worker refused to start a run.
	startFailed struct {
		assignment cfcore.Assignment
		task       cfcore.TaskID
		reason     string
	}
)

func (vmReported) isEvent()      {}
func (linkUp) isEvent()          {}
func (linkDown) isEvent()        {}
func (grantReceived) isEvent()   {}
func (desiredReceived) isEvent() {}
func (targetsChanged) isEvent()  {}
func (shutdownStarted) isEvent() {}
func (startFailed) isEvent()     {}

// controlLink is a control connection to an entry, with what was last sent on it.
type controlLink struct {
	conn *cfwire.Conn
	// sentReportVersion is the version of the report that was sent last.
	sentReportVersion uint64
	// sentWorkerInfo is the WorkerInfo that was sent last.
	sentWorkerInfo cfwire.WorkerInfo
	// seq is the sequence number of the last grant request.
	seq uint64
	// uptimes maps the sequence number of each grant request in flight to the worker's last
	// known uptime when the request was sent.
	uptimes map[uint64]time.Duration
}

// control is the state of the control goroutine, which handles all events of an agent.
type control struct {
	*Agent
	links map[*controlLink]bool
	// dials holds, by the address of an entry, the function that ends the dial loops to
	// that entry.
	dials map[netip.AddrPort]context.CancelFunc
	// dialLoops counts the dial loops that have not yet reported their end on
	// dialDone.
	dialDone  chan struct{}
	dialLoops int

	// vmKnown is set once the worker has sent a report. vmReport is the worker's newest
	// report.
	vmKnown  bool
	vmReport cfcore.VMReport
	// leaseUntil is the worker's uptime at which the worker's lease expires.
	leaseUntil time.Duration
	// desiredOffset is the log offset of the desired state in desiredRuns.
	desiredOffset cfcore.Offset
	desiredRuns   map[cfcore.Assignment]cfwire.DesiredRun
	// unstarted holds the results of runs that never started: the worker refused to start
	// them, or they should stop before they had started.
	unstarted map[cfcore.Assignment]cfcore.Run
	// callsAwaitedSince has an item for each service run that should stop, by assignment: the
	// time when the agent began to wait until the calls to the service's targets have ended.
	callsAwaitedSince map[cfcore.Assignment]time.Time
	// fenced is set when an entry refuses a grant because the worker is fenced. The next
	// grant clears it.
	fenced bool
	// leaving is set once a graceful shutdown has started.
	leaving bool

	// lastReport is the newest report to the entries. reportVersion counts the changes of
	// the report, and reportedAt is the time of the last change.
	lastReport    cfwire.Report
	reportVersion uint64
	reportedAt    time.Time
}

func newControl(a *Agent) *control {
	return &control{
		Agent: a, links: map[*controlLink]bool{}, dials: map[netip.AddrPort]context.CancelFunc{},
		dialDone: make(chan struct{}), desiredRuns: map[cfcore.Assignment]cfwire.DesiredRun{},
		unstarted: map[cfcore.Assignment]cfcore.Run{}, callsAwaitedSince: map[cfcore.Assignment]time.Time{},
	}
}

// run handles events until ctx is done. Only this goroutine accesses the control
// state.
func (c *control) run(ctx context.Context) error {
	c.dialEntries(ctx, nil)
	tick := c.Clock.NewTicker(c.cfg.Lease.Ask)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			for c.dialLoops > 0 {
				<-c.dialDone
				c.dialLoops--
			}
			return ctx.Err()
		case <-c.dialDone:
			c.dialLoops--
		case <-tick.Chan():
			c.targets.expire()
			c.requestGrants()
		case e := <-c.events:
			c.handleEvent(ctx, e)
		}
	}
}

func (c *control) handleEvent(ctx context.Context, e event) {
	switch e := e.(type) {
	case vmReported:
		e.reply <- c.handleVMReport(e.report)
	case linkUp:
		c.links[e.link] = true
		c.requestGrant(e.link)
	case linkDown:
		delete(c.links, e.link)
	case grantReceived:
		c.handleGrant(ctx, e)
	case desiredReceived:
		c.handleDesired(e.desired)
	case targetsChanged:
		c.requestGrants()
	case shutdownStarted:
		c.leaving = true
		c.requestGrants()
	case startFailed:
		c.unstarted[e.assignment] = cfcore.Run{
			Assignment: e.assignment, Task: e.task, State: cfcore.RunFailed, Reason: e.reason,
		}
		c.requestGrants()
	}
}

// handleVMReport records a report of the worker and returns the actions to perform on the
// worker.
func (c *control) handleVMReport(r cfcore.VMReport) []action {
	if c.vmKnown && r.Instance != c.vmReport.Instance {
		// leaseUntil and the uptimes of the requests in flight are uptimes of the previous
		// VM instance. They do not apply to the new instance.
		c.leaseUntil = 0
		for l := range c.links {
			clear(l.uptimes)
		}
	}
	firstReport := !c.vmKnown
	c.vmKnown = true
	c.vmReport = r
	if c.refreshReport() || firstReport {
		c.requestGrants()
	}
	c.signalRunsEnded()
	return c.reconcile()
}

// signalRunsEnded closes runsEnded if the agent is shutting down and no run is
// active.
func (c *control) signalRunsEnded() {
	if !c.leaving {
		return
	}
	for _, r := range c.vmReport.Runs {
		if !r.State.Ended() {
			return
		}
	}
	select {
	case <-c.runsEnded:
	default:
		close(c.runsEnded)
	}
}

// handleGrant handles an entry's answer to a grant request. A grant extends the worker's
// lease. A refusal because the worker is fenced is recorded. If the answer lists the
// members, handleGrant connects to them. It ignores an answer to a request that is not in
// flight.
func (c *control) handleGrant(ctx context.Context, e grantReceived) {
	uptimeAtRequest, ok := e.link.uptimes[e.grant.Seq]
	if !ok {
		return
	}
	for seq := range e.link.uptimes {
		if seq <= e.grant.Seq {
			delete(e.link.uptimes, seq)
		}
	}
	if e.grant.Entries != nil {
		c.dialEntries(ctx, e.grant.Entries)
	}
	if e.grant.Refusal == "" {
		c.fenced = false
		c.leaseUntil = max(c.leaseUntil, uptimeAtRequest+c.cfg.Lease.Grant)
		return
	}
	c.Scope.Tagged(map[string]string{"reason": e.grant.Refusal}).Counter("grants_refused").Inc(1)
	if e.grant.Fenced && !c.fenced {
		c.Log.Warn().Str("Worker", c.cfg.Worker).Msg("worker is fenced; stopping its runs")
		c.fenced = true
		c.pollVMNow()
	}
}

// handleDesired stores a desired state, unless it is older than the stored one. It drains
// the targets of the services whose runs should stop. It deletes the assignments that are
// not in the new state from callsAwaitedSince and unstarted.
func (c *control) handleDesired(d *cfwire.DesiredState) {
	if d.Offset < c.desiredOffset {
		return
	}
	c.desiredOffset = d.Offset
	runs := make(map[cfcore.Assignment]cfwire.DesiredRun, len(d.Items))
	stopping := map[string]bool{}
	for _, run := range d.Items {
		runs[run.Assignment] = run
		if run.Stop && run.Workload.Class == cfcore.ClassService {
			stopping[run.Workload.Name] = true
		}
	}
	c.desiredRuns = runs
	for a := range c.callsAwaitedSince {
		if _, ok := runs[a]; !ok {
			delete(c.callsAwaitedSince, a)
		}
	}
	if c.targets.drain(stopping) {
		c.requestGrants()
	}
	for a := range c.unstarted {
		if _, ok := runs[a]; !ok {
			delete(c.unstarted, a)
		}
	}
	c.pollVMNow()
}

// pollVMNow makes the VM loop poll the worker at once.
func (c *control) pollVMNow() {
	select {
	case c.pollVM <- struct{}{}:
	default:
	}
}

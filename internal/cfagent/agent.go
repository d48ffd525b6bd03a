// Package cfagent is the agent process, which runs on each worker's VM. The agent
// announces the VM's targets to the entries, admits or refuses calls, and starts and stops
// the tasks that the log assigns to its worker. While entries grant leases to this worker,
// the agent renews the leases of the tasks.
package cfagent

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfadmit"
	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindListen means that the agent cannot listen on an address.
	KindListen Kind = "address unusable"
	// KindAnnouncement means that the announcement of a target is not valid, or that the VM
	// already has the maximum number of targets.
	KindAnnouncement Kind = "bad target"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Agent is one incarnation of an agent process.
type Agent struct {
	*cfcommon.Common
	cfg      cfconfig.Agent
	vm       cfcore.VM
	instance cfcore.InstanceID
	// events carries the messages to the control goroutine.
	events chan event
	// calls holds the calls in flight and remembers recent answers.
	calls   *cfadmit.Calls
	targets *targetSet
	// transport sends calls to the targets.
	transport *http.Transport
	listener  net.Listener
	// metrics serves the metrics endpoint.
	metrics http.Handler
	// leave is closed to start a graceful shutdown.
	leave     chan struct{}
	leaveOnce sync.Once
	// runsEnded is closed in a graceful shutdown once the worker has no active run.
	runsEnded chan struct{}
	// A value on pollVM makes the VM loop poll the worker at once.
	pollVM chan struct{}
}

// New returns an agent that already listens on its Local address. Run serves it. The
// returned function closes the listener.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.Agent, vm cfcore.VM, metrics http.Handler) (*Agent, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.Local.String())
	if err != nil {
		return nil, nil, cferror.Wrap("open listener", KindListen, err)
	}
	a := &Agent{
		Common: common, cfg: cfg, vm: vm, instance: cfcore.InstanceID(uuid.NewString()),
		events:    make(chan event, 256),
		calls:     cfadmit.NewCalls(cfg.RememberedFor, cfg.RememberedBytes, common.Clock),
		transport: newTransport(), metrics: metrics,
		listener: l, leave: make(chan struct{}), runsEnded: make(chan struct{}), pollVM: make(chan struct{}, 1),
	}
	a.targets = newTargetSet(common, cfg)
	return a, func() { _ = l.Close(); a.transport.CloseIdleConnections() }, nil
}

// LocalAddr returns the address at which targets announce themselves.
func (a *Agent) LocalAddr() netip.AddrPort {
	return netip.MustParseAddrPort(a.listener.Addr().String())
}

// Leave starts a graceful shutdown. From then on, the agent refuses new calls and tells the
// entries that it is leaving, so that the planner assigns its worker no new tasks.
func (a *Agent) Leave() { a.leaveOnce.Do(func() { close(a.leave) }) }

// Run runs the agent until ctx is done or a graceful shutdown is complete. It always
// returns nil. Errors of the server and the loops are logged during the shutdown.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: a.localHandler(), ReadHeaderTimeout: a.cfg.VMTimeout}
	serverDone := make(chan error, 1)
	go func() { serverDone <- server.Serve(a.listener) }()
	controlDone := make(chan error, 1)
	c := newControl(a)
	go func() { controlDone <- c.run(ctx) }()
	vmDone := make(chan error, 1)
	go func() { vmDone <- a.vmLoop(ctx) }()
	a.Log.Info().Str("Worker", a.cfg.Worker).Str("Instance", string(a.instance)).Msg("agent started")
	a.waitForShutdown(ctx)
	cancel()
	_ = server.Close()
	for _, done := range []<-chan error{serverDone, controlDone, vmDone} {
		if err := <-done; !cfcommon.IsCleanShutdown(err) {
			a.Log.Error().Err(err).Msg("a server or goroutine of the agent ended with an error")
		}
	}
	a.Log.Info().Str("Worker", a.cfg.Worker).Msg("agent stopped")
	return nil
}

// waitForShutdown blocks until ctx is done or a graceful shutdown is complete. A graceful
// shutdown waits, up to ShutdownTimeout, for calls in flight and active runs to end.
func (a *Agent) waitForShutdown(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.leave:
	}
	a.Log.Info().Str("Worker", a.cfg.Worker).Msg("agent is shutting down")
	a.targets.drainAll()
	a.enqueue(ctx, shutdownStarted{})
	timeout := a.Clock.After(a.cfg.ShutdownTimeout)
	// The pause gives the entries time to learn that this agent takes no new calls.
	// Calls that arrive meanwhile are refused as not run.
	pause := a.Clock.After(a.cfg.Lease.Ask)
	tick := a.Clock.NewTicker(a.cfg.Beat)
	defer tick.Stop()
	runsEnded := a.runsEnded
	pauseOver, allRunsEnded := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-pause:
			pauseOver = true
		case <-runsEnded:
			allRunsEnded = true
			runsEnded = nil
		case <-tick.Chan():
		}
		if pauseOver && allRunsEnded && a.calls.InFlight() == 0 && a.targets.openCalls() == 0 {
			return
		}
	}
}

// enqueue passes an event to the control goroutine unless ctx is done first.
func (a *Agent) enqueue(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// options returns the options for a connection of this agent to an entry.
func (a *Agent) options(role cfwire.Role) cfwire.Options {
	return cfwire.Options{
		Codec: a.Codec, Clock: a.Clock, Key: a.Key,
		Self:   cfwire.Peer{Role: role, Name: a.cfg.Worker, Instance: a.instance},
		Source: a.cfg.Source,
	}
}

// sleep waits for d. It returns false if ctx is done first.
func (a *Agent) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-a.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

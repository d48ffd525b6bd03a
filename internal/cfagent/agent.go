// Package cfagent is the process beside each target: it announces the targets of
// its VM, has the last word on calls, starts and stops the tasks that the log
// assigns to its worker, and keeps their leases alive while entries grant time.
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

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindListen is an address that cannot be listened on.
	KindListen Kind = "cannot listen"
	// KindTarget is an announcement that is not valid.
	KindTarget Kind = "bad target"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Agent is one run of an agent.
type Agent struct {
	*cfcommon.Common
	cfg      cfconfig.Agent
	vm       cfcore.VM
	instance cfcore.InstanceID
	events   chan event
	calls    *cfadmit.Calls
	targets  *targetSet
	// transport reaches the targets.
	transport *http.Transport
	listener  net.Listener
	// metrics serves the counters.
	metrics  http.Handler
	leave    chan struct{}
	leaveOne sync.Once
	empty    chan struct{}
	kick     chan struct{}
}

// New returns an agent that listens on its Local address. The clean-up function
// closes the listener.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.Agent, vm cfcore.VM, metrics http.Handler) (*Agent, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cfg.Local.String())
	if err != nil {
		return nil, nil, cferror.Wrap("new agent", KindListen, err)
	}
	a := &Agent{
		Common: common, cfg: cfg, vm: vm, instance: cfcore.InstanceID(uuid.NewString()),
		events:    make(chan event, 256),
		calls:     cfadmit.NewCalls(cfg.RememberedFor, cfg.RememberedBytes, common.Clock),
		transport: newTransport(), metrics: metrics,
		listener: l, leave: make(chan struct{}), empty: make(chan struct{}), kick: make(chan struct{}, 1),
	}
	a.targets = newTargetSet(common, cfg)
	return a, func() { _ = l.Close(); a.transport.CloseIdleConnections() }, nil
}

// Local returns where targets announce themselves.
func (a *Agent) Local() netip.AddrPort {
	return netip.MustParseAddrPort(a.listener.Addr().String())
}

// Leave begins a graceful shutdown: no new calls and no new tasks.
func (a *Agent) Leave() { a.leaveOne.Do(func() { close(a.leave) }) }

// Run runs the agent until the context ends, or until a graceful shutdown has
// finished.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: a.localHandler(), ReadHeaderTimeout: a.cfg.VMTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(a.listener) }()
	controlDone := make(chan error, 1)
	c := newControl(a)
	go func() { controlDone <- c.run(ctx) }()
	vmDone := make(chan error, 1)
	go func() { vmDone <- a.vmLoop(ctx) }()
	a.Log.Info().Str("Worker", a.cfg.Worker).Str("Instance", string(a.instance)).Msg("agent started")
	a.wait(ctx)
	cancel()
	_ = server.Close()
	for _, done := range []<-chan error{served, controlDone, vmDone} {
		if err := <-done; !cfcommon.EndedAsTold(err) {
			a.Log.Error().Err(err).Msg("part of the agent failed")
		}
	}
	a.Log.Info().Str("Worker", a.cfg.Worker).Msg("agent ended")
	return nil
}

// wait returns when the agent may end.
func (a *Agent) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-a.leave:
	}
	a.Log.Info().Str("Worker", a.cfg.Worker).Msg("agent leaves")
	a.targets.leave()
	a.tell(ctx, left{})
	deadline := a.Clock.After(a.cfg.ShutdownTimeout)
	// The pause lets entries hear that no new calls are taken, while those that
	// are on their way are refused as not run.
	pause := a.Clock.After(a.cfg.Lease.Ask)
	tick := a.Clock.NewTicker(a.cfg.Beat)
	defer tick.Stop()
	stopped := a.empty
	paused, empty := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case <-pause:
			paused = true
		case <-stopped:
			empty = true
			stopped = nil
		case <-tick.Chan():
		}
		if paused && empty && a.calls.Open() == 0 && a.targets.open() == 0 {
			return
		}
	}
}

// tell hands an event to the control goroutine.
func (a *Agent) tell(ctx context.Context, e event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// options returns what a connection of this agent is opened with.
func (a *Agent) options(role cfwire.Role) cfwire.Options {
	return cfwire.Options{
		Codec: a.Codec, Clock: a.Clock, Key: a.Key,
		Self:   cfwire.Peer{Role: role, Name: a.cfg.Worker, Instance: a.instance},
		Source: a.cfg.Source,
	}
}

// sleep waits for d and reports false where the context ended first.
func (a *Agent) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-a.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

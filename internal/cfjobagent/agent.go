// Package cfjobagent is the process beside each worker that runs the tasks of jobs:
// it takes the worker's heartbeats, carries the planner's orders out, extends the
// leases of what runs while the planner lets it, and reports what runs and ends.
package cfjobagent

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfnet"
)

// eventQueue is the number of events that wait for the control goroutine.
const eventQueue = 256

// Deps are what the caller of this package decides.
type Deps struct {
	Executor cfcore.Executor
	// Heartbeats makes the handler of the worker's heartbeats.
	Heartbeats func(cfcore.WorkerRegistry) http.Handler
	Metrics    http.Handler
}

// Agent is one run of an agent.
type Agent struct {
	*cfcommon.Common
	Deps
	cfg      cfconfig.JobAgent
	instance string
	events   chan event
	servers  []cfnet.Server
	leave    chan struct{}
}

// New returns an agent that listens already. The clean-up function closes the
// listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.JobAgent, d Deps) (*Agent, func(), error) {
	a := &Agent{
		Common: common, Deps: d, cfg: cfg, instance: uuid.NewString(),
		events: make(chan event, eventQueue), leave: make(chan struct{}),
	}
	servers, cleanup, err := cfnet.Listen(ctx, []cfnet.Server{
		{Name: "heartbeats", Address: cfg.Heartbeats, Handler: d.Heartbeats(registry{a})},
		{Name: "metrics", Address: cfg.Metrics, Handler: d.Metrics},
	})
	a.servers = servers
	return a, cleanup, err
}

// Leave ends the agent. What runs on the worker goes on under its leases, and the
// next run of the agent takes it over.
func (a *Agent) Leave() { close(a.leave) }

// SetEntries gives the agent other entries to connect to, from its settings.
func (a *Agent) SetEntries(ctx context.Context, addrs []netip.AddrPort) {
	a.tell(ctx, entriesSet{addrs: addrs})
}

// Run runs the agent until the context ends or it is told to leave.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.Log.Info().Str("Name", a.cfg.Name).Str("Instance", a.instance).Msg("agent started")
	var servers []*http.Server
	served := make(chan error, len(a.servers))
	for _, s := range a.servers {
		srv := &http.Server{Handler: s.Handler, ReadHeaderTimeout: a.cfg.OrderTimeout * 5}
		servers = append(servers, srv)
		go func() { served <- srv.Serve(s.Listener) }()
	}
	controlled := make(chan error, 1)
	go func() { controlled <- newControl(a).run(ctx) }()
	select {
	case <-ctx.Done():
	case <-a.leave:
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	for range servers {
		a.logEnd(<-served)
	}
	a.logEnd(<-controlled)
	a.Log.Info().Str("Name", a.cfg.Name).Msg("agent ended")
	return nil
}

func (a *Agent) logEnd(err error) {
	if !cfcommon.EndedAsTold(err) {
		a.Log.Error().Err(err).Msg("part of the agent failed")
	}
}

// registry is the agent as its worker sees it.
type registry struct{ *Agent }

// Heartbeat implements cfcore.WorkerRegistry.
func (r registry) Heartbeat(ctx context.Context, w cfcore.WorkerState) bool {
	taken := make(chan struct{})
	r.tell(ctx, heartbeat{state: w, taken: taken})
	return wait(ctx, taken)
}

// Leave implements cfcore.WorkerRegistry.
func (r registry) Leave(ctx context.Context, id string) bool {
	taken := make(chan struct{})
	r.tell(ctx, workerLeft{id: id, taken: taken})
	return wait(ctx, taken)
}

func wait(ctx context.Context, taken <-chan struct{}) bool {
	select {
	case <-taken:
		return true
	case <-ctx.Done():
		return false
	}
}

// tell gives an event to the control goroutine.
func (a *Agent) tell(ctx context.Context, ev event) {
	select {
	case a.events <- ev:
	case <-ctx.Done():
	}
}

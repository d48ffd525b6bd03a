// Package cfjobagent implements the process that runs next to each worker. It receives the
// worker's heartbeats, sends the planner's orders to the worker, extends the leases of
// running tasks while the planner permits it, and reports running and ended tasks.
package cfjobagent

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfnet"
)

// Kind classifies the errors of this package.
type Kind string

// KindHeartbeat marks a heartbeat that names no usable worker.
const KindHeartbeat Kind = "bad heartbeat"

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// eventQueueCapacity is the capacity of the control goroutine's event queue.
const eventQueueCapacity = 256

// Deps are the dependencies that the caller of New provides.
type Deps struct {
	// Executor sends orders to the worker, which carries them out.
	Executor cfcore.Executor
	// HeartbeatHandler creates the handler for the worker's heartbeats.
	HeartbeatHandler func(cfcore.WorkerRegistry) http.Handler
	// Metrics is the handler for requests for metrics.
	Metrics http.Handler
}

// Agent is one incarnation of an agent.
type Agent struct {
	*cfcommon.Common
	Deps
	cfg cfconfig.JobAgent
	// instance is the ID of this incarnation.
	instance string
	events   chan event
	servers  []cfnet.Server
	// leave is closed to end the agent.
	leave chan struct{}
}

// New returns an agent whose listeners are open. The clean-up function closes the
// listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.JobAgent, d Deps) (*Agent, func(), error) {
	a := &Agent{
		Common: common, Deps: d, cfg: cfg, instance: uuid.NewString(),
		events: make(chan event, eventQueueCapacity), leave: make(chan struct{}),
	}
	servers, cleanup, err := cfnet.Listen(ctx, []cfnet.Server{
		{Name: "heartbeats", Address: cfg.Heartbeats, Handler: d.HeartbeatHandler(registry{a})},
		{Name: "metrics", Address: cfg.Metrics, Handler: d.Metrics},
	})
	a.servers = servers
	return a, cleanup, err
}

// Leave ends the agent. It must be called at most once. Tasks on the worker continue under
// their current leases. If the agent restarts before the leases expire, its next
// incarnation takes the tasks over.
func (a *Agent) Leave() { close(a.leave) }

// SetEntries replaces the list of entries from the settings. The agent connects to these
// entries and to those that an entry has listed. An empty list changes nothing.
func (a *Agent) SetEntries(ctx context.Context, addrs []netip.AddrPort) {
	a.post(ctx, seedsChanged{addrs: addrs})
}

// Run runs the agent until the context ends or Leave is called. It logs the errors of its
// servers and its control goroutine, and always returns nil.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.Log.Info().Str("Name", a.cfg.Name).Str("Instance", a.instance).Msg("agent started")
	var servers []*http.Server
	serveErrs := make(chan error, len(a.servers))
	for _, s := range a.servers {
		srv := &http.Server{Handler: s.Handler, ReadHeaderTimeout: a.cfg.OrderTimeout * 5}
		servers = append(servers, srv)
		go func() { serveErrs <- srv.Serve(s.Listener) }()
	}
	controlErr := make(chan error, 1)
	go func() { controlErr <- newControl(a).run(ctx) }()
	select {
	case <-ctx.Done():
	case <-a.leave:
	}
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	for range servers {
		a.logFailure(<-serveErrs)
	}
	a.logFailure(<-controlErr)
	a.Log.Info().Str("Name", a.cfg.Name).Msg("agent stopped")
	return nil
}

// logFailure logs the error with which a server or goroutine ended, unless it ended in a
// clean shutdown.
func (a *Agent) logFailure(err error) {
	if !cfcommon.IsCleanShutdown(err) {
		a.Log.Error().Err(err).Msg("a server or goroutine of the agent ended with an error")
	}
}

// registry implements cfcore.WorkerRegistry for the agent.
type registry struct{ *Agent }

// maxBornAhead is how far the start of a worker can be ahead of the agent's clock. The agent
// ignores all heartbeats of earlier incarnations, so a start in the far future would hide the
// real worker. The limit allows for clocks that were set wrongly.
const maxBornAhead = 24 * time.Hour

// Heartbeat implements cfcore.WorkerRegistry.
func (r registry) Heartbeat(ctx context.Context, w cfcore.WorkerState) bool {
	if ahead := w.Born.Sub(r.Clock.Now()); ahead > maxBornAhead {
		r.Reject(w.ID, cferror.New("check heartbeat", KindHeartbeat, "the worker starts %s from now", ahead))
		return false
	}
	handled := make(chan struct{})
	r.post(ctx, heartbeat{state: w, handled: handled})
	return waitHandled(ctx, handled)
}

// Leave implements cfcore.WorkerRegistry.
func (r registry) Leave(ctx context.Context, id string) bool {
	handled := make(chan struct{})
	r.post(ctx, workerLeft{id: id, handled: handled})
	return waitHandled(ctx, handled)
}

// Reject implements cfcore.WorkerRegistry.
func (r registry) Reject(id string, err error) {
	r.Log.Warn().Err(err).Str("Worker", id).Msg("heartbeat rejected")
	r.Scope.Counter("heartbeats_rejected").Inc(1)
}

// waitHandled waits until handled is closed. It reports false if the context ended before
// that.
func waitHandled(ctx context.Context, handled <-chan struct{}) bool {
	select {
	case <-handled:
		return true
	case <-ctx.Done():
		return false
	}
}

// post sends an event to the control goroutine. It drops the event if the context ends
// before the queue has room.
func (a *Agent) post(ctx context.Context, ev event) {
	select {
	case a.events <- ev:
	case <-ctx.Done():
	}
}

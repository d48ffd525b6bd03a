// Package cfjobentry implements the process that accepts jobs from callers. It records
// jobs in the platform's store and reads the records of other entries from there. It acts
// as the planner while the newest claim to that role in the store is its own.
package cfjobentry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfjob"
	"cranberryford/pkg/cfnet"
	"cranberryford/pkg/cfwire"
)

// queueCapacity is the capacity of the control goroutine's event queue and of the
// appender's queue.
const queueCapacity = 1024

// innerServer is the name of the server for agents and other entries.
const innerServer = "inner"

// headerTimeout bounds the time to read a request's header. The platform's configuration
// allows 3 s.
const headerTimeout = 3 * time.Second

// Deps are the dependencies that the caller of New provides.
type Deps struct {
	// Store is the platform's store.
	Store cfcore.Store
	// Advisor is the policy service, or nil if there is none.
	Advisor cfcore.Advisor
	// DecodeConfig decodes the operators' configuration. ConfigKey is the key of its
	// record.
	DecodeConfig func(data []byte) (*cfjob.Config, error)
	ConfigKey    string
	// JobsHandler creates the handler for callers. ReadinessHandler creates the handler
	// for readiness checks from a function that reports whether the entry is ready.
	JobsHandler      func(cfjob.Service) http.Handler
	ReadinessHandler func(func() bool) http.Handler
	// Metrics is the handler for requests for metrics.
	Metrics http.Handler
}

// Entry is one incarnation of an entry.
type Entry struct {
	*cfcommon.Common
	Deps
	cfg cfconfig.JobEntry
	// instance is the ID of this incarnation.
	instance string
	codec    cfjob.Codec
	// topic is the topic of the jobs' records.
	topic       cfcore.Topic
	events      chan event
	submissions *appender
	bodies      *bodyLimiter
	relay       *relay
	// config is the configuration in force, or nil if there is none yet.
	config atomic.Pointer[configRecord]
	// synced is set once the whole store has been read.
	synced atomic.Bool
	// leaving is set once a graceful shutdown has begun.
	leaving atomic.Bool
	// isPlanner is set while this entry is the planner.
	isPlanner atomic.Bool
	// hasPlanner is set while this entry is the planner. It is also set while another entry
	// is the planner and its last message arrived less than half of Planning.Silence ago.
	hasPlanner atomic.Bool
	// storeDown is set while the store does not answer this entry.
	storeDown atomic.Bool
	// storeAnsweredAt is when the store last answered a read, in nanoseconds since 1970.
	storeAnsweredAt atomic.Int64
	// leave is closed to request a graceful shutdown. resigned is closed once the control
	// goroutine has handled that request; this entry is then not the planner.
	leave     chan struct{}
	leaveOnce sync.Once
	resigned  chan struct{}
	servers   []cfnet.Server
}

// New returns an entry whose listeners are open. The clean-up function closes the
// listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.JobEntry, d Deps) (*Entry, func(), error) {
	e := &Entry{
		Common: common, Deps: d, cfg: cfg, instance: uuid.NewString(), codec: cfjob.Codec{Codec: common.Codec},
		topic: cfcore.Topic{Name: cfg.Topic}, events: make(chan event, queueCapacity),
		bodies: newBodyLimiter(cfg.MemoryMB), leave: make(chan struct{}), resigned: make(chan struct{}),
	}
	e.submissions, e.relay = newAppender(e), newRelay(e)
	servers, cleanup, err := cfnet.Listen(ctx, []cfnet.Server{
		{Name: "callers", Address: cfg.Callers, Handler: d.JobsHandler(e)},
		{Name: "readiness", Address: cfg.Readiness, Handler: d.ReadinessHandler(e.Ready)},
		{Name: innerServer, Address: cfg.Inner, Handler: e.innerHandler(ctx)},
		{Name: "metrics", Address: cfg.Metrics, Handler: d.Metrics},
	})
	e.servers = servers
	return e, cleanup, err
}

// Ready reports whether this entry should receive callers' requests.
func (e *Entry) Ready() bool {
	return e.config.Load() != nil && e.synced.Load() && !e.leaving.Load() && !e.storeDown.Load()
}

// Leave begins a graceful shutdown.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leave) }) }

// Run runs the entry until the context ends, or a graceful shutdown has finished. It logs
// the errors of its servers and goroutines, and always returns nil.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.Log.Info().Str("Name", e.cfg.Name).Str("Instance", e.instance).Msg("entry started")
	var done []<-chan error
	spawn := func(f func(context.Context) error) {
		c := make(chan error, 1)
		go func() { c <- f(ctx) }()
		done = append(done, c)
	}
	var servers []*http.Server
	var drainers []*cfnet.Drainer
	for _, s := range e.servers {
		srv := &http.Server{Handler: s.Handler, ReadHeaderTimeout: headerTimeout}
		servers = append(servers, srv)
		drainers = append(drainers, cfnet.NewDrainer(srv, s.Listener, e.Clock))
		spawn(func(context.Context) error { return srv.Serve(s.Listener) })
	}
	spawn(newControl(e).run)
	spawn(e.followConfig)
	spawn(e.submissions.run)
	spawn(e.relay.run)
	e.waitForShutdown(ctx)
	e.shutdown(ctx, drainers)
	for _, s := range servers {
		_ = s.Close()
	}
	cancel()
	e.relay.waitForRelayedAppends()
	for _, c := range done {
		if err := <-c; !cfcommon.IsCleanShutdown(err) {
			e.Log.Error().Err(err).Msg("a server or goroutine of the entry ended with an error")
		}
	}
	e.Log.Info().Str("Name", e.cfg.Name).Msg("entry stopped")
	return nil
}

// waitForShutdown blocks until the context ends, or until a graceful shutdown is requested
// and this entry has resigned as planner. It waits at most Drain for the resignation.
func (e *Entry) waitForShutdown(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.leave:
	}
	e.leaving.Store(true)
	e.Log.Info().Str("Name", e.cfg.Name).Msg("entry is shutting down")
	e.post(ctx, leaveRequested{})
	select {
	case <-e.resigned:
	case <-e.Clock.After(e.cfg.Drain):
	case <-ctx.Done():
	}
}

// shutdown lets callers' requests that are in flight finish. It takes at most Drain. It
// waits for half of Drain before it closes listeners and idle connections, so that the
// load balancer can redirect callers first. It does not drain the server for agents and
// other entries. It does nothing if no graceful shutdown was requested.
func (e *Entry) shutdown(ctx context.Context, drainers []*cfnet.Drainer) {
	if !e.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Drain)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-e.Clock.After(e.cfg.Drain / 2):
	}
	for i, d := range drainers {
		if e.servers[i].Name == innerServer {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			e.Log.Warn().Err(err).Str("Server", e.servers[i].Name).Msg("requests did not finish before the shutdown deadline")
		}
	}
}

// post sends an event to the control goroutine. It drops the event if the context ends
// before the queue has room.
func (e *Entry) post(ctx context.Context, ev event) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}

// wireOptions returns the options of this entry's connections to agents and other entries.
// The handshake announces this entry in the given role.
func (e *Entry) wireOptions(role cfwire.Role) cfwire.Options {
	return cfwire.Options{
		Codec: e.Codec, Clock: e.Clock, Key: e.Key, Source: e.cfg.Inner.Addr(),
		Self: cfwire.Peer{Role: role, Name: e.cfg.Name, Instance: cfcore.InstanceID(e.instance)},
	}
}

// Package cfjobentry is the process that callers submit jobs to. It keeps jobs in
// the platform's store, follows the store, and is the planner when its claim is the
// newest one.
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

// eventQueue is the number of events that wait for the control goroutine.
const eventQueue = 1024

// innerServer names the server of other entries and agents.
const innerServer = "inner"

// headerTimeout bounds the reading of a request's header; the platform's
// configuration allows 3 s.
const headerTimeout = 3 * time.Second

// Deps are what the caller of this package decides.
type Deps struct {
	Store cfcore.Store
	// Advisor is the policy service; nil where there is none.
	Advisor cfcore.Advisor
	// DecodeConfig decodes the operators' configuration, whose key is ConfigKey.
	DecodeConfig func(data []byte) (*cfjob.Config, error)
	ConfigKey    string
	// Front and Readiness make the handlers of the outer interfaces.
	Front     func(cfjob.Service) http.Handler
	Readiness func(func() bool) http.Handler
	Metrics   http.Handler
}

// Entry is one run of an entry.
type Entry struct {
	*cfcommon.Common
	Deps
	cfg      cfconfig.JobEntry
	instance string
	codec    cfjob.Codec
	topic    cfcore.Topic
	events   chan event
	submits  *appender
	relay    *relay
	config   atomic.Pointer[configuration]
	// synced is set once the whole store has been read, leaving by a shutdown, and
	// storeDown while the store does not answer this entry.
	synced  atomic.Bool
	leaving atomic.Bool
	// leads is set while this entry is the planner.
	leads atomic.Bool
	// settled is set while this entry is the planner or hears it.
	settled   atomic.Bool
	storeDown atomic.Bool
	// storeAnswer is when the store last answered a call, in nanoseconds since 1970.
	storeAnswer atomic.Int64
	leave       chan struct{}
	leaveOne    sync.Once
	resigned    chan struct{}
	servers     []cfnet.Server
}

// New returns an entry that listens already. The clean-up function closes the
// listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.JobEntry, d Deps) (*Entry, func(), error) {
	e := &Entry{
		Common: common, Deps: d, cfg: cfg, instance: uuid.NewString(), codec: cfjob.Codec{Codec: common.Codec},
		topic: cfcore.Topic{Name: cfg.Topic}, events: make(chan event, eventQueue),
		leave: make(chan struct{}), resigned: make(chan struct{}),
	}
	e.submits, e.relay = newAppender(e), newRelay(e)
	servers, cleanup, err := cfnet.Listen(ctx, []cfnet.Server{
		{Name: "callers", Address: cfg.Callers, Handler: d.Front(e)},
		{Name: "readiness", Address: cfg.Readiness, Handler: d.Readiness(e.Ready)},
		{Name: innerServer, Address: cfg.Inner, Handler: e.innerHandler(ctx)},
		{Name: "metrics", Address: cfg.Metrics, Handler: d.Metrics},
	})
	e.servers = servers
	return e, cleanup, err
}

// Ready reports whether this entry should get requests.
func (e *Entry) Ready() bool {
	return e.config.Load() != nil && e.synced.Load() && !e.leaving.Load() && !e.storeDown.Load()
}

// Leave begins a graceful shutdown.
func (e *Entry) Leave() { e.leaveOne.Do(func() { close(e.leave) }) }

// Run runs the entry until the context ends, or a graceful shutdown has finished.
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
	spawn(e.submits.run)
	spawn(e.relay.run)
	e.wait(ctx)
	e.shutdown(ctx, drainers)
	for _, s := range servers {
		_ = s.Close()
	}
	cancel()
	e.relay.wait()
	for _, c := range done {
		if err := <-c; !cfcommon.EndedAsTold(err) {
			e.Log.Error().Err(err).Msg("part of the entry failed")
		}
	}
	e.Log.Info().Str("Name", e.cfg.Name).Msg("entry ended")
	return nil
}

// wait returns when the entry may end: at once where the context has ended, else
// when it was told to leave, has resigned as planner and has no requests in flight.
func (e *Entry) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.leave:
	}
	e.leaving.Store(true)
	e.Log.Info().Str("Name", e.cfg.Name).Msg("entry leaves")
	e.tell(ctx, left{})
	select {
	case <-e.resigned:
	case <-e.Clock.After(e.cfg.Drain):
	case <-ctx.Done():
	}
}

// shutdown lets requests in flight end. Callers' idle connections are closed only
// after the balancer had time to turn away.
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
			e.Log.Warn().Err(err).Str("Server", e.servers[i].Name).Msg("requests were cut off by the shutdown")
		}
	}
}

// tell gives an event to the control goroutine.
func (e *Entry) tell(ctx context.Context, ev event) {
	select {
	case e.events <- ev:
	case <-ctx.Done():
	}
}

func (e *Entry) wireOptions(role cfwire.Role) cfwire.Options {
	return cfwire.Options{
		Codec: e.Codec, Clock: e.Clock, Key: e.Key, Source: e.cfg.Inner.Addr(),
		Self: cfwire.Peer{Role: role, Name: e.cfg.Name, Instance: cfcore.InstanceID(e.instance)},
	}
}

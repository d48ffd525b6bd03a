// Package cfentry is the entry process, which connects callers, operators and
// agents. An entry replays the log into a replicated state, routes calls from that
// state, and grants leases to workers. The entry that is the planner also decides
// which task runs on which worker.
package cfentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfpick"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfnet"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfwire"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindListen means that the entry cannot listen on an address.
	KindListen Kind = "cannot listen"
	// KindSettings means that a setting is not valid.
	KindSettings Kind = "bad setting"
	// KindNotReady means that the entry has not read the log yet or is shutting down.
	KindNotReady Kind = "not ready"
	// KindUnavailable means that a change was not made because the log is unavailable.
	KindUnavailable Kind = "log unavailable"
	// KindOutcomeUnknown means that a change may or may not have been made.
	KindOutcomeUnknown Kind = "outcome unknown"
	// KindRefused means that the state machine rejected a change.
	KindRefused Kind = "refused"
	// KindNotFound means that nothing has the given name.
	KindNotFound Kind = "not found"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Stream numbers for cfcommon.Common.Rand, one for each independent generator.
const (
	streamRouter  = 1
	streamControl = 2
)

// Entry is one incarnation of an entry process.
type Entry struct {
	*cfcommon.Common
	cfg    cfconfig.Entry
	id     cfcore.EntryID
	log    cfcore.Log
	router *cfroute.Router
	events chan event

	callers, operators, inner net.Listener

	// ready is set once the first routing table is published. The load balancer may then
	// send callers to this entry, until it is leaving.
	ready atomic.Bool
	// staleWorkers are the workers whose agents have not reported to this entry lately.
	// The planner asks the other entries about them. The pointer is nil while this entry
	// is not the planner.
	staleWorkers atomic.Pointer[[]cfcore.WorkerID]
	leaving      atomic.Bool
	leave        chan struct{}
	leaveOnce    sync.Once
	// conns counts the inner connections that Run waits for before it returns.
	conns        sync.WaitGroup
	addressLimit *addressLimiter
	// metrics serves the metrics endpoint.
	metrics http.Handler
}

// New returns an entry that already listens on its addresses. The returned function
// closes the listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.Entry, log cfcore.Log, metrics http.Handler) (*Entry, func(), error) {
	picker, err := cfpick.New(cfg.Routing.Picker)
	if err != nil {
		return nil, nil, cferror.Wrap("new entry", KindSettings, err)
	}
	e := &Entry{
		Common: common, cfg: cfg, log: log, metrics: metrics,
		id:     cfcore.EntryID(cfg.Name + "." + uuid.NewString()[:8]),
		events: make(chan event, 1024), leave: make(chan struct{}),
		addressLimit: newAddressLimiter(cfg.Limits.PerCallerAddress),
	}
	e.router = cfroute.New(cfroute.Settings{
		StaleAfter: cfg.Routing.Stale, SuspectAfter: cfg.Routing.Suspect, EjectPercent: cfg.Routing.EjectPercent,
		EjectAfter: cfg.Routing.EjectAfter, EjectFor: cfg.Routing.EjectFor, RetryPercent: cfg.Routing.RetryPercent,
	}, picker, common.Clock, common.Rand(streamRouter), common.Scope)
	cleanup, err := e.listen(ctx)
	if err != nil {
		return nil, nil, err
	}
	return e, cleanup, nil
}

func (e *Entry) listen(ctx context.Context) (func(), error) {
	var open []net.Listener
	cleanup := func() {
		for _, l := range open {
			_ = l.Close()
		}
	}
	for _, x := range []struct {
		addr netip.AddrPort
		into *net.Listener
	}{{e.cfg.Callers, &e.callers}, {e.cfg.Operators, &e.operators}, {e.cfg.Inner, &e.inner}} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", x.addr.String())
		if err != nil {
			cleanup()
			return nil, cferror.Wrap("new entry", KindListen, err)
		}
		open = append(open, l)
		*x.into = l
	}
	return cleanup, nil
}

// ID returns the ID of this incarnation.
func (e *Entry) ID() cfcore.EntryID { return e.id }

// Callers returns the address for callers' requests.
func (e *Entry) Callers() netip.AddrPort { return netip.MustParseAddrPort(e.callers.Addr().String()) }

// Operators returns the address for operators' requests.
func (e *Entry) Operators() netip.AddrPort {
	return netip.MustParseAddrPort(e.operators.Addr().String())
}

// Inner returns the address for connections of other entries and agents.
func (e *Entry) Inner() netip.AddrPort { return netip.MustParseAddrPort(e.inner.Addr().String()) }

// Advertised returns the address at which other processes reach this entry.
func (e *Entry) Advertised() netip.AddrPort {
	if e.cfg.Advertise.IsValid() {
		return e.cfg.Advertise
	}
	return e.Inner()
}

// Leave starts a graceful shutdown.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leave) }) }

// Run runs the entry until ctx is done or a graceful shutdown is complete. It returns an
// error only if the operators' API cannot be set up; errors of the servers and the loops
// are logged.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operators, err := e.operatorsHandler()
	if err != nil {
		return err
	}
	servers := []*http.Server{
		e.server(e.callersHandler()), e.server(operators), e.server(e.innerHandler(ctx)),
	}
	callers := cfnet.NewDrainer(servers[0], e.callers, e.Clock)
	served := make(chan error, len(servers))
	for i, l := range []net.Listener{e.callers, e.operators, e.inner} {
		go func() { served <- servers[i].Serve(l) }()
	}
	c := newControl(e)
	loops := []func(context.Context) error{c.run, e.readLoop, e.appendLoop(c.appends)}
	ended := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { ended <- loop(ctx) }()
	}
	e.Log.Info().Str("Entry", string(e.id)).Stringer("Callers", e.Callers()).Msg("entry started")
	e.waitForShutdown(ctx, callers)
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	for range servers {
		e.logFailure(<-served)
	}
	for range loops {
		e.logFailure(<-ended)
	}
	e.conns.Wait()
	e.Log.Info().Str("Entry", string(e.id)).Msg("entry stopped")
	return nil
}

// logFailure logs err unless it comes from a regular shutdown.
func (e *Entry) logFailure(err error) {
	if !cfcommon.IsCleanShutdown(err) {
		e.Log.Error().Err(err).Msg("a server or loop of the entry ended with an error")
	}
}

func (e *Entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: e.cfg.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: e.cfg.Limits.HeaderTimeout, ReadTimeout: e.cfg.Limits.BodyTimeout,
		IdleTimeout: e.cfg.Limits.IdleTimeout,
	}
}

// waitForShutdown blocks until the entry may stop. In a graceful shutdown, the entry
// first reports that it is not ready and asks callers to close their connections.
// After ShutdownPause it waits, up to ShutdownTimeout, for calls in flight.
func (e *Entry) waitForShutdown(ctx context.Context, callers *cfnet.Drainer) {
	select {
	case <-ctx.Done():
		return
	case <-e.leave:
	}
	e.Log.Info().Str("Entry", string(e.id)).Msg("entry is shutting down")
	e.leaving.Store(true)
	select {
	case <-e.Clock.After(e.cfg.Limits.ShutdownPause):
	case <-ctx.Done():
	}
	waitCtx, cancel := context.WithTimeout(ctx, e.cfg.Limits.ShutdownTimeout)
	defer cancel()
	if err := callers.Drain(waitCtx); err != nil {
		e.Log.Warn().Err(err).Msg("shutdown ended with calls still in flight")
	}
}

// enqueue passes an event to the control goroutine. It returns false if ctx is done
// first.
func (e *Entry) enqueue(ctx context.Context, ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Entry) options(role cfwire.Role) cfwire.Options {
	return cfwire.Options{
		Codec: e.Codec, Clock: e.Clock, Key: e.Key,
		Self: cfwire.Peer{Role: role, Name: string(e.id)}, Source: e.cfg.Source,
	}
}

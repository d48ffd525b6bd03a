// Package cfentry is the entry process, which connects callers, operators and
// agents. An entry replays the log into a replicated state. From this state, the entry
// routes calls and grants leases to workers. The entry that is the planner also decides
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

// Kind classifies the errors of this package. The operators' API derives the HTTP status of
// a response from it.
type Kind string

const (
	// KindListen means that the entry cannot listen on an address.
	KindListen Kind = "address unusable"
	// KindSettings means that a setting is not valid or that the operators' API cannot be
	// set up.
	KindSettings Kind = "bad setting"
	// KindNotReady means that the entry has not read the log yet or is shutting down.
	KindNotReady Kind = "not ready"
	// KindUnavailable means that a change was not made: the log cannot be read, the entry
	// has no state yet, or the context ended before the change was queued. For a query of
	// the control state, KindUnavailable means that the context ended first.
	KindUnavailable Kind = "log unavailable"
	// KindOutcomeUnknown means that the entry does not know whether a change was made.
	KindOutcomeUnknown Kind = "outcome unknown"
	// KindRefused means that the state machine rejected the confirmation of a plan.
	KindRefused Kind = "refused"
	// KindNotFound means that this entry's state has no task with the given ID.
	KindNotFound Kind = "not found"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Stream numbers for cfcommon.Common.Rand. The router and the control goroutine use
// separate generators with independent sequences.
const (
	randStreamRouter  = 1
	randStreamControl = 2
)

// Entry is one incarnation of an entry process.
type Entry struct {
	*cfcommon.Common
	cfg cfconfig.Entry
	id  cfcore.EntryID
	// platformLog is the log to which all entries append and which they replay.
	platformLog cfcore.Log
	router      *cfroute.Router
	// events carries the messages to the control goroutine.
	events chan event

	// The listeners for callers, for operators, and for other entries and agents.
	callersListener, operatorsListener, innerListener net.Listener

	// ready is set once the first routing table is published. From then on, the readiness
	// endpoint tells the load balancer to send callers to this entry, until a graceful
	// shutdown starts.
	ready atomic.Bool
	// staleWorkers lists workers whose agents have sent no report to this entry for half of
	// Planner.Silence. The planner asks the other entries about these workers. The pointer
	// is nil while this entry is not the planner.
	staleWorkers atomic.Pointer[[]cfcore.WorkerID]
	// leaving is set once a graceful shutdown has started. leave is closed to start it.
	leaving   atomic.Bool
	leave     chan struct{}
	leaveOnce sync.Once
	// conns counts the open connections that other entries and agents have made to this
	// entry. Run waits for these connections before it returns.
	conns        sync.WaitGroup
	addressLimit *addressLimiter
	// metrics serves the metrics endpoint.
	metrics http.Handler
}

// New returns an entry that already listens on its addresses. Run serves them. The
// returned function closes the listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.Entry, log cfcore.Log, metrics http.Handler) (*Entry, func(), error) {
	picker, err := cfpick.New(cfg.Routing.Picker)
	if err != nil {
		return nil, nil, cferror.Wrap("choose the picker", KindSettings, err)
	}
	e := &Entry{
		Common: common, cfg: cfg, platformLog: log, metrics: metrics,
		id:     cfcore.EntryID(cfg.Name + "." + uuid.NewString()[:8]),
		events: make(chan event, 1024), leave: make(chan struct{}),
		addressLimit: newAddressLimiter(cfg.Limits.PerCallerAddress),
	}
	e.router = cfroute.New(cfroute.Settings{
		StaleAfter: cfg.Routing.Stale, SuspectAfter: cfg.Routing.Suspect, EjectPercent: cfg.Routing.EjectPercent,
		EjectAfter: cfg.Routing.EjectAfter, EjectFor: cfg.Routing.EjectFor, RetryPercent: cfg.Routing.RetryPercent,
	}, picker, common.Clock, common.Rand(randStreamRouter), common.Scope)
	cleanup, err := e.listen(ctx)
	if err != nil {
		return nil, nil, err
	}
	return e, cleanup, nil
}

// listen opens the entry's listeners. The returned function closes them.
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
	}{{e.cfg.Callers, &e.callersListener}, {e.cfg.Operators, &e.operatorsListener}, {e.cfg.Inner, &e.innerListener}} {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", x.addr.String())
		if err != nil {
			cleanup()
			return nil, cferror.Wrap("open listener", KindListen, err)
		}
		open = append(open, l)
		*x.into = l
	}
	return cleanup, nil
}

// ID returns the ID of this incarnation.
func (e *Entry) ID() cfcore.EntryID { return e.id }

// CallersAddr returns the address for callers' requests.
func (e *Entry) CallersAddr() netip.AddrPort {
	return netip.MustParseAddrPort(e.callersListener.Addr().String())
}

// OperatorsAddr returns the address for operators' requests.
func (e *Entry) OperatorsAddr() netip.AddrPort {
	return netip.MustParseAddrPort(e.operatorsListener.Addr().String())
}

// InnerAddr returns the address for connections of other entries and agents.
func (e *Entry) InnerAddr() netip.AddrPort {
	return netip.MustParseAddrPort(e.innerListener.Addr().String())
}

// Advertised returns the address at which other entries and agents reach this entry.
func (e *Entry) Advertised() netip.AddrPort {
	if e.cfg.Advertise.IsValid() {
		return e.cfg.Advertise
	}
	return e.InnerAddr()
}

// Leave starts a graceful shutdown, see waitForShutdown.
func (e *Entry) Leave() { e.leaveOnce.Do(func() { close(e.leave) }) }

// Run runs the entry until ctx is done or a graceful shutdown is complete. It returns an
// error only if the operators' API cannot be set up. Errors of the servers and the loops
// are logged during the shutdown.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operatorHandler, err := e.operatorsHandler()
	if err != nil {
		return err
	}
	servers := []*http.Server{
		e.newServer(e.callersHandler()), e.newServer(operatorHandler), e.newServer(e.innerHandler(ctx)),
	}
	callersDrainer := cfnet.NewDrainer(servers[0], e.callersListener, e.Clock)
	serveErrs := make(chan error, len(servers))
	for i, l := range []net.Listener{e.callersListener, e.operatorsListener, e.innerListener} {
		go func() { serveErrs <- servers[i].Serve(l) }()
	}
	c := newControl(e)
	loops := []func(context.Context) error{c.run, e.readLoop, e.appendLoop(c.appends)}
	loopErrs := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { loopErrs <- loop(ctx) }()
	}
	e.Log.Info().Str("Entry", string(e.id)).Stringer("Callers", e.CallersAddr()).Msg("entry started")
	e.waitForShutdown(ctx, callersDrainer)
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	for range servers {
		e.logFailure(<-serveErrs)
	}
	for range loops {
		e.logFailure(<-loopErrs)
	}
	e.conns.Wait()
	e.Log.Info().Str("Entry", string(e.id)).Msg("entry stopped")
	return nil
}

// logFailure logs err unless it comes from a regular shutdown.
func (e *Entry) logFailure(err error) {
	if !cfcommon.IsCleanShutdown(err) {
		e.Log.Error().Err(err).Msg("a server or goroutine of the entry ended with an error")
	}
}

// newServer returns an HTTP server with the entry's limits.
func (e *Entry) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: e.cfg.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: e.cfg.Limits.HeaderTimeout, ReadTimeout: e.cfg.Limits.BodyTimeout,
		IdleTimeout: e.cfg.Limits.IdleTimeout,
	}
}

// waitForShutdown blocks until ctx is done or a graceful shutdown is complete. In a
// graceful shutdown, the entry first reports that it is not ready and asks callers to
// close their connections. After ShutdownPause it waits, up to ShutdownTimeout, for
// calls in flight.
func (e *Entry) waitForShutdown(ctx context.Context, drainer *cfnet.Drainer) {
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
	if err := drainer.Drain(waitCtx); err != nil {
		e.Log.Warn().Err(err).Msg("shutdown wait ended with calls still in flight; calls aborted")
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

// options returns the options for a connection on which this entry has the given role.
func (e *Entry) options(role cfwire.Role) cfwire.Options {
	return cfwire.Options{
		Codec: e.Codec, Clock: e.Clock, Key: e.Key,
		Self: cfwire.Peer{Role: role, Name: string(e.id)}, Source: e.cfg.Source,
	}
}

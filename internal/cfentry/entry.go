// Package cfentry is the process between callers, operators and agents. It folds
// the log, serves calls from the folded state, grants lease time to workers, and,
// where it is the planner, decides what runs where.
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
	// KindListen is an address that cannot be listened on.
	KindListen Kind = "cannot listen"
	// KindSettings is a setting that cannot be used.
	KindSettings Kind = "bad setting"
	// KindNotReady is an entry that has not read the log yet.
	KindNotReady Kind = "not ready"
	// KindUnavailable is a change that was not made, because the log is down.
	KindUnavailable Kind = "log unavailable"
	// KindUnknown is a change of which it is not known whether it was made.
	KindUnknown Kind = "outcome unknown"
	// KindRefused is a change that the rules of the fold refuse.
	KindRefused Kind = "refused"
	// KindNotFound is a name that nothing has.
	KindNotFound Kind = "not found"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Streams of random numbers.
const (
	streamRouter  = 1
	streamControl = 2
)

// Entry is one run of an entry.
type Entry struct {
	*cfcommon.Common
	cfg    cfconfig.Entry
	id     cfcore.EntryID
	log    cfcore.Log
	router *cfroute.Router
	events chan event

	callers, operators, inner net.Listener

	// ready is set while the balancer may send callers here.
	ready atomic.Bool
	// unheard are the workers that this entry, as the planner, asks others about.
	unheard atomic.Pointer[[]cfcore.WorkerID]
	leaving atomic.Bool
	leave   chan struct{}
	once    sync.Once
	// conns counts the connections and loops that the process waits for at its end.
	conns sync.WaitGroup
	gate  *addressGate
	// metrics serves the counters.
	metrics http.Handler
}

// New returns an entry that listens on its addresses. The clean-up function closes
// the listeners.
func New(ctx context.Context, common *cfcommon.Common, cfg cfconfig.Entry, log cfcore.Log, metrics http.Handler) (*Entry, func(), error) {
	picker, err := cfpick.New(cfg.Routing.Picker)
	if err != nil {
		return nil, nil, cferror.Wrap("new entry", KindSettings, err)
	}
	e := &Entry{
		Common: common, cfg: cfg, log: log, metrics: metrics,
		id:     cfcore.EntryID(cfg.Name + "." + uuid.NewString()[:8]),
		events: make(chan event, 1024), leave: make(chan struct{}),
		gate: newAddressGate(cfg.Limits.PerCallerAddress),
	}
	e.router = cfroute.New(cfroute.Settings{
		Stale: cfg.Routing.Stale, Suspect: cfg.Routing.Suspect, EjectPercent: cfg.Routing.EjectPercent,
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

// ID returns the ID of this run.
func (e *Entry) ID() cfcore.EntryID { return e.id }

// Callers returns where callers' requests come in.
func (e *Entry) Callers() netip.AddrPort { return netip.MustParseAddrPort(e.callers.Addr().String()) }

// Operators returns where operators' requests come in.
func (e *Entry) Operators() netip.AddrPort {
	return netip.MustParseAddrPort(e.operators.Addr().String())
}

// Inner returns where other entries and agents connect.
func (e *Entry) Inner() netip.AddrPort { return netip.MustParseAddrPort(e.inner.Addr().String()) }

// Advertised returns where others reach this entry.
func (e *Entry) Advertised() netip.AddrPort {
	if e.cfg.Advertise.IsValid() {
		return e.cfg.Advertise
	}
	return e.Inner()
}

// Leave begins a graceful shutdown.
func (e *Entry) Leave() { e.once.Do(func() { close(e.leave) }) }

// Run runs the entry until the context ends, or until a graceful shutdown has
// finished.
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
	e.wait(ctx, callers)
	cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	for range servers {
		e.report(<-served)
	}
	for range loops {
		e.report(<-ended)
	}
	e.conns.Wait()
	e.Log.Info().Str("Entry", string(e.id)).Msg("entry ended")
	return nil
}

// report logs the end of a part of the process that ended unasked.
func (e *Entry) report(err error) {
	if !cfcommon.EndedAsTold(err) {
		e.Log.Error().Err(err).Msg("part of the entry failed")
	}
}

func (e *Entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: e.cfg.Limits.MaxHeaderBytes,
		ReadHeaderTimeout: e.cfg.Limits.HeaderTimeout, ReadTimeout: e.cfg.Limits.BodyTimeout,
		IdleTimeout: e.cfg.Limits.IdleTimeout,
	}
}

// wait returns when the entry may end. In a graceful shutdown callers are told
// first to turn away, and calls in flight are waited for.
func (e *Entry) wait(ctx context.Context, callers *cfnet.Drainer) {
	select {
	case <-ctx.Done():
		return
	case <-e.leave:
	}
	e.Log.Info().Str("Entry", string(e.id)).Msg("entry leaves")
	e.leaving.Store(true)
	select {
	case <-e.Clock.After(e.cfg.Limits.ShutdownPause):
	case <-ctx.Done():
	}
	waitCtx, cancel := context.WithTimeout(ctx, e.cfg.Limits.ShutdownTimeout)
	defer cancel()
	if err := callers.Drain(waitCtx); err != nil {
		e.Log.Warn().Err(err).Msg("calls were still in flight at the end of the shutdown")
	}
}

// tell hands an event to the control goroutine and reports false where the
// context ended first.
func (e *Entry) tell(ctx context.Context, ev event) bool {
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

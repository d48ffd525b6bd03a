package cfagent

import (
	"context"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore/cfvm"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

func refusedByVM(err error) bool { return cferror.Is(err, cfvm.KindRefused) }

// dialLoop keeps one connection to an entry open until the context ends.
func (a *Agent) dialLoop(ctx context.Context, addr netip.AddrPort, serve func(context.Context, netip.AddrPort) error) {
	for ctx.Err() == nil {
		began := a.Clock.Now()
		if err := serve(ctx, addr); err != nil {
			a.Scope.Counter("connections_lost").Inc(1)
		}
		// A connection that worked for a while is opened again at once.
		pause := a.cfg.ReconnectInterval - a.Clock.Since(began)
		if pause > 0 && !a.sleep(ctx, pause) {
			return
		}
	}
}

// controlConn serves one control connection until it ends.
func (a *Agent) controlConn(ctx context.Context, addr netip.AddrPort) error {
	conn, cleanup, err := cfwire.Dial(ctx, addr, a.options(cfwire.RoleControl))
	if err != nil {
		return err
	}
	defer cleanup()
	l := &controlLink{conn: conn, bases: map[uint64]time.Duration{}}
	a.tell(ctx, linkUp{link: l})
	defer a.tell(ctx, linkDown{link: l})
	// Questions and answers show that a control connection is alive.
	return a.serve(ctx, conn, a.cfg.Lease.Ask+a.cfg.Beat, func(m *cfwire.Message) {
		switch {
		case m.Grant != nil:
			a.tell(ctx, granted{link: l, grant: m.Grant})
		case m.Desired != nil:
			a.tell(ctx, desired{desired: m.Desired})
		}
	})
}

// trafficConn serves one connection for calls until it ends.
func (a *Agent) trafficConn(ctx context.Context, addr netip.AddrPort) error {
	conn, cleanup, err := cfwire.Dial(ctx, addr, a.options(cfwire.RoleTraffic))
	if err != nil {
		return err
	}
	defer cleanup()
	return a.serve(ctx, conn, a.cfg.Beat, func(m *cfwire.Message) {
		switch {
		case m.Call != nil:
			a.call(ctx, conn, m.Call)
		case m.Cancel != nil:
			a.calls.Cancel(m.Cancel.ID)
		}
	})
}

// serve receives messages until the connection ends or goes silent. It shows the
// other end that the connection is alive.
func (a *Agent) serve(ctx context.Context, conn *cfwire.Conn, beat time.Duration, handle func(*cfwire.Message)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		cfwire.Keep(ctx, conn, a.Clock, beat, max(a.cfg.Suspect, 2*beat))
		cancel()
	}()
	defer func() { cancel(); <-kept }()
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return err
		}
		handle(m)
	}
}

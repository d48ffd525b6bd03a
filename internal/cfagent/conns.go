package cfagent

import (
	"context"
	"net/netip"
	"time"

	"cranberryford/pkg/cfcore/cfvm"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfwire"
)

// refusedByVM reports whether err means that the VM refused a request of the agent.
func refusedByVM(err error) bool { return cferror.Is(err, cfvm.KindRefused) }

// dialLoop connects to an entry, and reconnects, until ctx is done. serve opens one
// connection and returns when that connection has closed.
func (a *Agent) dialLoop(ctx context.Context, addr netip.AddrPort, serve func(context.Context, netip.AddrPort) error) {
	for ctx.Err() == nil {
		startedAt := a.Clock.Now()
		if err := serve(ctx, addr); err != nil {
			a.Scope.Counter("connections_lost").Inc(1)
		}
		// If the connection lasted for at least ReconnectInterval, it is reopened at once.
		pause := a.cfg.ReconnectInterval - a.Clock.Since(startedAt)
		if pause > 0 && !a.sleep(ctx, pause) {
			return
		}
	}
}

// serveControlConn opens a control connection and serves it until it closes.
func (a *Agent) serveControlConn(ctx context.Context, addr netip.AddrPort) error {
	conn, cleanup, err := cfwire.Dial(ctx, addr, a.options(cfwire.RoleControl))
	if err != nil {
		return err
	}
	defer cleanup()
	l := &controlLink{conn: conn, uptimes: map[uint64]time.Duration{}}
	a.enqueue(ctx, linkUp{link: l})
	defer a.enqueue(ctx, linkDown{link: l})
	// Grant requests, which are sent at least every Lease.Ask, also show that the connection
	// is alive. The period is longer than Lease.Ask, so heartbeats are sent only while no
	// grant requests are sent.
	return a.receiveMessages(ctx, conn, a.cfg.Lease.Ask+a.cfg.Beat, func(m *cfwire.Message) {
		switch {
		case m.Grant != nil:
			a.enqueue(ctx, grantReceived{link: l, grant: m.Grant})
		case m.Desired != nil:
			a.enqueue(ctx, desiredReceived{desired: m.Desired})
		}
	})
}

// serveTrafficConn opens a connection for calls and serves it until it closes.
func (a *Agent) serveTrafficConn(ctx context.Context, addr netip.AddrPort) error {
	conn, cleanup, err := cfwire.Dial(ctx, addr, a.options(cfwire.RoleTraffic))
	if err != nil {
		return err
	}
	defer cleanup()
	return a.receiveMessages(ctx, conn, a.cfg.Beat, func(m *cfwire.Message) {
		switch {
		case m.Call != nil:
			a.handleCall(ctx, conn, m.Call)
		case m.Cancel != nil:
			a.calls.Cancel(m.Cancel.ID)
		}
	})
}

// receiveMessages passes messages to handle until the connection closes, or until no
// message has arrived for Suspect or 2*period, whichever is longer. Meanwhile it sends a
// heartbeat whenever this agent has sent no message for period.
func (a *Agent) receiveMessages(ctx context.Context, conn *cfwire.Conn, period time.Duration, handle func(*cfwire.Message)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	keepAliveDone := make(chan struct{})
	go func() {
		defer close(keepAliveDone)
		cfwire.KeepAlive(ctx, conn, a.Clock, period, max(a.cfg.Suspect, 2*period))
		cancel()
	}()
	defer func() { cancel(); <-keepAliveDone }()
	for {
		m, err := conn.Receive(ctx)
		if err != nil {
			return err
		}
		handle(m)
	}
}

package cfjobagent

import (
	"context"
	"net/netip"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// link is a connection to an entry.
type link struct {
	conn *cfwire.Conn
}

// dialAll starts a dial loop for each entry from the settings, and for each entry that
// another one has listed, unless it has a loop already. It stops the loops of all other
// entries.
func (c *control) dialAll(ctx context.Context) {
	want := map[netip.AddrPort]bool{}
	for _, addr := range c.seeds {
		want[addr] = true
	}
	for _, addr := range c.discovered {
		want[addr] = true
	}
	for addr := range want {
		if c.dialCancels[addr] == nil {
			dialCtx, cancel := context.WithCancel(ctx)
			c.dialCancels[addr] = cancel
			c.runningDials++
			go func() { c.dialLoop(dialCtx, addr); c.dialDone <- struct{}{} }()
		}
	}
	for addr, cancel := range c.dialCancels {
		if !want[addr] {
			cancel()
			delete(c.dialCancels, addr)
		}
	}
}

// dialLoop keeps a connection to an entry until the context ends.
func (c *control) dialLoop(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		conn, closeConn, err := cfwire.Dial(ctx, addr, cfwire.Options{
			Codec: c.Codec, Clock: c.Clock, Key: c.Key, Source: c.cfg.Heartbeats.Addr(),
			Self: cfwire.Peer{Role: cfwire.RoleJobs, Name: c.cfg.Name, Instance: cfcore.InstanceID(c.instance)},
		})
		if err == nil {
			c.Log.Info().Str("Entry", addr.String()).Msg("dependency regained: connected to an entry")
			c.serveLink(ctx, &link{conn: conn})
			closeConn()
			c.Log.Warn().Str("Entry", addr.String()).Msg("dependency lost: connection to an entry ended")
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(c.cfg.Reconnect):
		}
	}
}

// serveLink passes an entry's messages to the control goroutine until the connection or
// the context ends.
func (c *control) serveLink(ctx context.Context, l *link) {
	defer func() { c.post(context.WithoutCancel(ctx), linkDown{link: l}) }()
	cfwire.Serve(ctx, l.conn, c.Clock, c.cfg.Beat, c.cfg.Suspect, func(ctx context.Context, m *cfwire.Message) {
		if m.JobOrders != nil || m.JobEntries != nil {
			c.post(ctx, messageReceived{link: l, message: m})
		}
	})
}

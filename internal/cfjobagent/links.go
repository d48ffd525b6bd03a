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

// dialAll starts a dial loop for each entry that has none, for the entries from the settings
// and those that an entry listed. It stops the loops of entries that are in neither list.
func (c *control) dialAll(ctx context.Context) {
	want := map[netip.AddrPort]bool{}
	for _, addr := range c.seeds {
		want[addr] = true
	}
	for _, addr := range c.discovered {
		want[addr] = true
	}
	for addr := range want {
		if c.dials[addr] == nil {
			dialCtx, cancel := context.WithCancel(ctx)
			c.dials[addr] = cancel
			c.dialing++
			go func() { c.dialLoop(dialCtx, addr); c.dialDone <- struct{}{} }()
		}
	}
	for addr, cancel := range c.dials {
		if !want[addr] {
			cancel()
			delete(c.dials, addr)
		}
	}
}

func (c *control) dialLoop(ctx context.Context, addr netip.AddrPort) {
	for ctx.Err() == nil {
		conn, closeConn, err := cfwire.Dial(ctx, addr, cfwire.Options{
			Codec: c.Codec, Clock: c.Clock, Key: c.Key, Source: c.cfg.Heartbeats.Addr(),
			Self: cfwire.Peer{Role: cfwire.RoleJobs, Name: c.cfg.Name, Instance: cfcore.InstanceID(c.instance)},
		})
		if err == nil {
			c.Log.Info().Str("Entry", addr.String()).Msg("dependency regained: connected to an entry")
			c.serve(ctx, &link{conn: conn})
			closeConn()
			c.Log.Warn().Str("Entry", addr.String()).Msg("dependency lost: connection to an entry ended")
		}
		select {
		case <-ctx.Done():
		case <-c.Clock.After(c.cfg.Reconnect):
		}
	}
}

func (c *control) serve(ctx context.Context, l *link) {
	defer func() { c.post(context.WithoutCancel(ctx), linkDown{link: l}) }()
	cfwire.Serve(ctx, l.conn, c.Clock, c.cfg.Beat, c.cfg.Suspect, func(ctx context.Context, m *cfwire.Message) {
		if m.JobOrders != nil || m.JobEntries != nil {
			c.post(ctx, messageReceived{link: l, message: m})
		}
	})
}

package cfagent

import (
	"context"
	"net/netip"

	"cranberryford/pkg/cfrecord"
)

// dialEntries starts dial loops to the entries in the settings and to the members. Unless
// members is nil, it ends the dial loops to all other entries.
func (c *control) dialEntries(ctx context.Context, members []cfrecord.Member) {
	want := map[netip.AddrPort]bool{}
	for _, addr := range c.cfg.Entries {
		want[addr] = true
	}
	for _, m := range members {
		want[m.Peer] = true
	}
	for addr := range want {
		if c.dials[addr] == nil {
			c.startDials(ctx, addr)
		}
	}
	if members == nil {
		return
	}
	for addr, cancel := range c.dials {
		if !want[addr] {
			cancel()
			delete(c.dials, addr)
		}
	}
}

// startDials starts the dial loops to one entry: one for a control connection, and
// TrafficConns for calls.
func (c *control) startDials(ctx context.Context, addr netip.AddrPort) {
	dialCtx, cancel := context.WithCancel(ctx)
	c.dials[addr] = cancel
	c.dialLoops += 1 + c.cfg.TrafficConns
	go func() { c.dialLoop(dialCtx, addr, c.serveControlConn); c.dialDone <- struct{}{} }()
	for range c.cfg.TrafficConns {
		go func() { c.dialLoop(dialCtx, addr, c.serveTrafficConn); c.dialDone <- struct{}{} }()
	}
}

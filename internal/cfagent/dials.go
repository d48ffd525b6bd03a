package cfagent

import (
	"context"
	"net/netip"

	"cranberryford/pkg/cfrecord"
)

// dialEntries keeps connections to the entries of the settings and to the
// members, and ends those to entries that are neither.
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

func (c *control) startDials(ctx context.Context, addr netip.AddrPort) {
	dialCtx, cancel := context.WithCancel(ctx)
	c.dials[addr] = cancel
	c.dialing += 1 + c.cfg.TrafficConns
	go func() { c.dialLoop(dialCtx, addr, c.controlConn); c.dialDone <- struct{}{} }()
	for range c.cfg.TrafficConns {
		go func() { c.dialLoop(dialCtx, addr, c.trafficConn); c.dialDone <- struct{}{} }()
	}
}

package cfdriver

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is how a proxy treats the connections from one source address.
type Fault string

const (
	// Pass forwards everything.
	Pass Fault = "pass"
	// Cut closes existing connections, and new ones as soon as they are accepted.
	Cut Fault = "cut"
	// Silent keeps connections open and forwards nothing.
	Silent Fault = "silent"
	// SilentExisting affects only connections that are open when Set is called. These
	// connections stay open, and nothing is forwarded on them any more. Connections that
	// are opened later work.
	SilentExisting Fault = "silentOld"
	// Slow forwards everything after a delay of slowDelay.
	Slow Fault = "slow"
)

// slowDelay is the delay under the fault Slow. The proxy reads data from one side, waits for
// slowDelay and then forwards this data.
const slowDelay = 300 * time.Millisecond

// Proxy forwards connections to one process and injects faults into them. Each source
// address can have a fault of its own.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu     sync.Mutex
	faults map[netip.Addr]Fault
	conns  map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy: in is the side of the source, out the side of
// the process.
type proxiedConn struct {
	source netip.Addr
	in     net.Conn
	out    net.Conn
	// blackholed means that nothing more is ever forwarded on the connection. It stays open.
	blackholed bool
}

// AnySource is the source whose fault applies to all sources without a fault of their own.
var AnySource = netip.Addr{}

// newProxy starts a proxy that listens at one address and forwards to another. The returned
// function stops the proxy.
func newProxy(listen, target netip.AddrPort) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{listener: l, target: target, faults: map[netip.Addr]Fault{}, conns: map[*proxiedConn]bool{}}
	done := make(chan struct{})
	go func() { defer close(done); p.acceptLoop() }()
	return p, func() { _ = l.Close(); p.closeConns(); <-done }, nil
}

func (p *Proxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Set sets the fault of the connections from a source, in place of the source's previous
// fault. A fault set for AnySource applies to all sources without a fault of their own.
// SilentExisting is an exception: it affects only the connections that are open at the time
// of the call and leaves the source's fault as it is. For AnySource it affects all open
// connections.
func (p *Proxy) Set(source netip.Addr, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == SilentExisting {
		for c := range p.conns {
			if source == AnySource || c.source == source {
				c.blackholed = true
			}
		}
		return
	}
	p.faults[source] = f
	if f != Cut {
		return
	}
	for c := range p.conns {
		if p.faultOf(c.source) == Cut {
			c.close()
		}
	}
}

// faultOf returns the fault that applies to a source, or Pass. The caller must hold p.mu.
func (p *Proxy) faultOf(source netip.Addr) Fault {
	for _, s := range []netip.Addr{source, AnySource} {
		if f, ok := p.faults[s]; ok && f != Pass {
			return f
		}
	}
	return Pass
}

func (p *Proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(in)
	}
}

func (p *Proxy) serveConn(in net.Conn) {
	source := netip.MustParseAddrPort(in.RemoteAddr().String()).Addr()
	p.mu.Lock()
	f := p.faultOf(source)
	p.mu.Unlock()
	if f == Cut {
		_ = in.Close()
		return
	}
	out, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		_ = in.Close()
		return
	}
	c := &proxiedConn{source: source, in: in, out: out}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copyOneWay(c, in, out) }()
	go func() { defer wg.Done(); p.copyOneWay(c, out, in) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyOneWay forwards one direction until either side closes. Data that arrives under the
// fault Silent is lost. The connection is blackholed from then on, as if a network device
// had dropped the connection's state.
func (p *Proxy) copyOneWay(c *proxiedConn, from io.Reader, to io.Writer) {
	defer c.close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if p.isForwarding(c) {
				return
			}
			// A connection that forwards no data must not forward the close either.
			p.waitUntilForwarding(c)
			return
		}
		if !p.isForwarding(c) {
			p.markBlackholed(c)
			continue
		}
		if p.isSlow(c) {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// isForwarding reports whether data on the connection is forwarded. No data is forwarded if
// the connection is blackholed or the fault of its source is Silent.
func (p *Proxy) isForwarding(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !c.blackholed && p.faultOf(c.source) != Silent
}

// markBlackholed blackholes a connection permanently. It is called after data was lost.
func (p *Proxy) markBlackholed(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.blackholed = true
}

// waitUntilForwarding waits until the connection forwards again. A connection that is
// blackholed, or no longer in p.conns, never forwards again. When waitUntilForwarding detects
// such a connection, it waits for another 5 s and returns.
func (p *Proxy) waitUntilForwarding(c *proxiedConn) {
	for !p.isForwarding(c) {
		p.mu.Lock()
		neverForwards := !p.conns[c] || c.blackholed
		p.mu.Unlock()
		if neverForwards {
			time.Sleep(5 * time.Second)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// isSlow reports whether the fault of the connection's source is Slow.
func (p *Proxy) isSlow(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(c.source) == Slow
}

func (p *Proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

func (c *proxiedConn) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

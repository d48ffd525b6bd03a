package cfdriver

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Fault is what a proxy does to the connections of one source.
type Fault string

const (
	// Pass forwards everything.
	Pass Fault = "pass"
	// Cut closes connections and refuses new ones.
	Cut Fault = "cut"
	// Silent keeps connections open and forwards nothing.
	Silent Fault = "silent"
	// SilentOld does so to the connections that are open now, for good; new ones
	// work.
	SilentOld Fault = "silentOld"
	// Slow delays what it forwards.
	Slow Fault = "slow"
)

// slowBy is the delay of the fault Slow.
const slowBy = 300 * time.Millisecond

// Proxy stands before one process and treats connections by their source.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu     sync.Mutex
	faults map[netip.Addr]Fault
	conns  map[*proxied]bool
}

// proxied is one connection through a proxy.
type proxied struct {
	source netip.Addr
	in     net.Conn
	out    net.Conn
	// stuck is set when the connection forwards nothing any more.
	stuck bool
}

// AnySource stands for all sources without a fault of their own.
var AnySource = netip.Addr{}

func newProxy(listen, target netip.AddrPort) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{listener: l, target: target, faults: map[netip.Addr]Fault{}, conns: map[*proxied]bool{}}
	done := make(chan struct{})
	go func() { defer close(done); p.acceptLoop() }()
	return p, func() { _ = l.Close(); p.closeAll(); <-done }, nil
}

func (p *Proxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Set changes what happens to the connections of a source; AnySource means all.
func (p *Proxy) Set(source netip.Addr, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == SilentOld {
		for c := range p.conns {
			if source == AnySource || c.source == source {
				c.stuck = true
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

// faultOf needs the lock.
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
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
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
	c := &proxied{source: source, in: in, out: out}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.pump(c, in, out) }()
	go func() { defer wg.Done(); p.pump(c, out, in) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pump forwards one direction until an end closes. What comes in while the
// connection is silent is lost, as in a network device that has lost track of it.
func (p *Proxy) pump(c *proxied, from io.Reader, to io.Writer) {
	defer c.close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			if p.forwards(c) {
				return
			}
			// The other end must not learn of the close.
			p.waitForwards(c)
			return
		}
		if !p.forwards(c) {
			p.markStuck(c)
			continue
		}
		if p.delayed(c) {
			time.Sleep(slowBy)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) forwards(c *proxied) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !c.stuck && p.faultOf(c.source) != Silent
}

// markStuck keeps a connection silent after bytes of it were lost.
func (p *Proxy) markStuck(c *proxied) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.stuck = true
}

func (p *Proxy) waitForwards(c *proxied) {
	for !p.forwards(c) {
		p.mu.Lock()
		closed := !p.conns[c] || c.stuck
		p.mu.Unlock()
		if closed {
			time.Sleep(5 * time.Second)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (p *Proxy) delayed(c *proxied) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(c.source) == Slow
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

func (c *proxied) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}

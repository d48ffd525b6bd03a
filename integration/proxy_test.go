package integration

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// fault is what a proxy does to the connections of one source.
type fault string

const (
	// pass forwards everything.
	pass fault = "pass"
	// cut closes connections and refuses new ones.
	cut fault = "cut"
	// silent keeps connections open and forwards nothing.
	silent fault = "silent"
	// silentOld does so to the connections that are open now, for good; new ones
	// work.
	silentOld fault = "silentOld"
	// slow delays what it forwards.
	slow fault = "slow"
)

// slowBy is the delay of the fault slow.
const slowBy = 300 * time.Millisecond

// proxy stands before one process and treats connections by their source.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu     sync.Mutex
	faults map[netip.Addr]fault
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

// anySource stands for all sources without a fault of their own.
var anySource = netip.Addr{}

func newProxy(listen, target netip.AddrPort) (*proxy, func(), error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, nil, err
	}
	p := &proxy{listener: l, target: target, faults: map[netip.Addr]fault{}, conns: map[*proxied]bool{}}
	done := make(chan struct{})
	go func() { defer close(done); p.acceptLoop() }()
	return p, func() { _ = l.Close(); p.closeAll(); <-done }, nil
}

func (p *proxy) addr() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set changes what happens to the connections of a source; anySource means all.
func (p *proxy) set(source netip.Addr, f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == silentOld {
		for c := range p.conns {
			if source == anySource || c.source == source {
				c.stuck = true
			}
		}
		return
	}
	p.faults[source] = f
	if f != cut {
		return
	}
	for c := range p.conns {
		if p.faultOf(c.source) == cut {
			c.close()
		}
	}
}

// faultOf needs the lock.
func (p *proxy) faultOf(source netip.Addr) fault {
	for _, s := range []netip.Addr{source, anySource} {
		if f, ok := p.faults[s]; ok && f != pass {
			return f
		}
	}
	return pass
}

func (p *proxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	source := netip.MustParseAddrPort(in.RemoteAddr().String()).Addr()
	p.mu.Lock()
	f := p.faultOf(source)
	p.mu.Unlock()
	if f == cut {
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
func (p *proxy) pump(c *proxied, from io.Reader, to io.Writer) {
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

func (p *proxy) forwards(c *proxied) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !c.stuck && p.faultOf(c.source) != silent
}

// markStuck keeps a connection silent after bytes of it were lost.
func (p *proxy) markStuck(c *proxied) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.stuck = true
}

func (p *proxy) waitForwards(c *proxied) {
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

func (p *proxy) delayed(c *proxied) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultOf(c.source) == slow
}

func (p *proxy) closeAll() {
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

package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to a worker.
type proxy struct {
	to    netip.AddrPort
	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is a connection through a proxy. Once it is silent, nothing gets through in either
// direction, and it is not closed.
type proxied struct {
	silent atomic.Bool
}

func newProxy(at, to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, conns: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

// silence makes all open connections silent, and returns their number. New ones work.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

func (p *proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = in.Close()
		return
	}
	c := &proxied{}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { c.pump(out, in) })
	wg.Go(func() { c.pump(in, out) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pump copies one direction until it ends.
func (c *proxied) pump(dst, src net.Conn) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && !c.silent.Load() {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF || !c.silent.Load() {
				return
			}
			return
		}
	}
}

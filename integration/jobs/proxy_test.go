package jobs

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

// proxies forward the connections that agents and entries open to entries, so that single
// links can be cut.
type proxies struct {
	mu  sync.Mutex
	cut map[proxiedLink]bool
	// silentBefore is when the connections that were open then became silent.
	silentBefore time.Time
	// rewrites holds pairs of an entry's own address and its proxy's address, as encoded in
	// records of the store.
	rewrites [][2][]byte
}

// proxiedLink is a link from the IP address of an agent or entry to an entry.
type proxiedLink struct {
	from  netip.Addr
	entry int
}

// setCut cuts or restores a link. A cut link loses all data without an error. A connection that
// has lost data is closed when the link is restored.
func (p *proxies) setCut(from netip.Addr, entry int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[proxiedLink{from, entry}] = cut
}

func (p *proxies) isCut(l proxiedLink) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[l]
}

// silence makes all open connections silent. They stay open, and new ones work.
func (p *proxies) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentBefore = time.Now()
}

func (p *proxies) isSilent(openedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return openedAt.Before(p.silentBefore)
}

// addProxy starts a proxy of an entry and returns its address. The encoded addresses of the
// entry and the proxy have the same length.
func (f *fleet) addProxy(entry int, inner netip.AddrPort) netip.AddrPort {
	ip := inner.Addr().As4()
	ip[1]++
	addr := netip.AddrPortFrom(netip.AddrFrom4(ip), inner.Port())
	own, err := inner.MarshalBinary()
	Expect(err).NotTo(HaveOccurred())
	proxied, err := addr.MarshalBinary()
	Expect(err).NotTo(HaveOccurred())
	f.proxies.rewrites = append(f.proxies.rewrites, [2][]byte{own, proxied})
	l, err := net.Listen("tcp", addr.String())
	Expect(err).NotTo(HaveOccurred())
	f.cleanups = append(f.cleanups, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			from := netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr()
			go f.proxies.forward(conn, inner, proxiedLink{from, entry})
		}
	}()
	return addr
}

// forward connects a connection with an entry until one side closes it.
func (p *proxies) forward(conn net.Conn, inner netip.AddrPort, l proxiedLink) {
	defer func() { _ = conn.Close() }()
	target, err := net.Dial("tcp", inner.String())
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	now := time.Now()
	go func() { p.transfer(target, conn, l, now); done <- struct{}{} }()
	go func() { p.transfer(conn, target, l, now); done <- struct{}{} }()
	<-done
}

// transfer forwards the data of one direction of a connection.
func (p *proxies) transfer(to, from net.Conn, l proxiedLink, openedAt time.Time) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if p.isSilent(openedAt) {
			continue
		}
		if p.isCut(l) {
			for p.isCut(l) {
				time.Sleep(10 * time.Millisecond)
			}
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// rewriteAddrs replaces the addresses of entries by those of their proxies in all records that
// are written to the store.
func (p *proxies) rewriteAddrs(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		for _, pair := range p.rewrites {
			data = bytes.ReplaceAll(data, pair[0], pair[1])
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		store.ServeHTTP(w, r)
	})
}

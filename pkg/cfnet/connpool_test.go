package cfnet_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfnet"
)

// silentListener can make the connections that it has accepted silent.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &silentConn{Conn: c}
	l.conns = append(l.conns, s)
	return s, nil
}

// silence makes all connections that are open silent, and returns how many were accepted so far.
func (l *silentListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// silentConn sends nothing and receives nothing once it is silent, and stays open.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

const (
	silentConns    = 20
	requestTimeout = 200 * time.Millisecond
)

// After all open connections had become silent, requests tried the idle ones one after the other,
// each up to its timeout, until leases had expired.
func TestSilentConnectionsAreDroppedTogether(t *testing.T) {
	for name, c := range map[string]struct {
		// cancel is set if the caller of the first request cancels it.
		cancel bool
		// midAnswer is set if the connections become silent in the middle of an answer.
		midAnswer bool
		dropped   bool
	}{
		"no answer":                     {dropped: true},
		"half an answer":                {midAnswer: true, dropped: true},
		"the caller cancels a request":  {cancel: true},
		"and cancels it in the middle ": {cancel: true, midAnswer: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := &silentListener{}
			var arrived sync.WaitGroup
			arrived.Add(silentConns)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/together":
					arrived.Done()
					arrived.Wait()
				case "/half":
					_, _ = io.WriteString(w, "half")
					w.(http.Flusher).Flush()
					l.silence()
				}
				_, _ = io.WriteString(w, "whole")
			}))
			l.Listener = s.Listener
			s.Listener = l
			s.Start()
			pool := cfnet.Transport(netip.Addr{})
			// The connections that are silent keep the server from closing.
			t.Cleanup(func() { pool.CloseIdleConnections(); s.CloseClientConnections(); s.Close() })
			get := func(path string, cancelled bool) error {
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				defer cancel()
				if cancelled {
					time.AfterFunc(requestTimeout/2, cancel)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := pool.RoundTrip(req)
				if err != nil {
					return err
				}
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
				return err
			}
			var wg sync.WaitGroup
			for range silentConns {
				wg.Go(func() { _ = get("/together", false) })
			}
			wg.Wait()
			g.Expect(len(l.conns)).To(Equal(silentConns))

			path := "/"
			if c.midAnswer {
				path = "/half"
			} else {
				l.silence()
			}
			g.Expect(get(path, c.cancel)).NotTo(Succeed())
			if c.dropped {
				g.Expect(get("/", false)).To(Succeed())
				return
			}
			g.Expect(get("/", false)).NotTo(Succeed(), "the connections are kept until a request times out")
			g.Expect(get("/", false)).To(Succeed())
		})
	}
}

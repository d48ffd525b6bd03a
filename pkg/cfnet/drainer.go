package cfnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// firstRequestTimeout limits how long Drain waits for the first request on a connection,
	// counted from when the connection was accepted. A caller that connects to send a request
	// sends it within one round trip.
	firstRequestTimeout = 500 * time.Millisecond
	// drainCheckInterval is how often Drain checks whether all requests are answered.
	drainCheckInterval = 5 * time.Millisecond
)

// Drainer shuts down an HTTP server without dropping requests. http.Server.Shutdown can drop a
// request if the server accepted the request's connection before the shutdown began, but reads
// the request only afterwards.
type Drainer struct {
	server   *http.Server
	listener net.Listener
	clock    clockwork.Clock

	mu sync.Mutex
	// pending contains the connections that Drain waits for. If a connection has a request
	// that is not answered yet, its value is the zero time. If the first request is still
	// expected, the value is the time from which the connection counts as idle.
	pending map[net.Conn]time.Time
}

// NewDrainer returns a drainer of server s and its listener l, and sets s.ConnState. s must not
// have started serving yet.
func NewDrainer(s *http.Server, l net.Listener, clock clockwork.Clock) *Drainer {
	d := &Drainer{server: s, listener: l, clock: clock, pending: map[net.Conn]time.Time{}}
	s.ConnState = d.trackState
	return d
}

// trackState updates pending. It is the server's ConnState callback.
func (d *Drainer) trackState(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.pending[c] = d.clock.Now().Add(firstRequestTimeout)
	case http.StateActive:
		d.pending[c] = time.Time{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(d.pending, c)
	}
}

// Drain stops accepting connections, waits until the requests on existing connections are
// answered, and closes the server. Each response has the header "Connection: close". If ctx
// is done first, Drain aborts the remaining requests and returns the context's error.
func (d *Drainer) Drain(ctx context.Context) error {
	defer func() { _ = d.server.Close() }()
	_ = d.listener.Close()
	d.server.SetKeepAlivesEnabled(false)

	check := d.clock.NewTicker(drainCheckInterval)
	defer check.Stop()
	for d.hasPending() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-check.Chan():
		}
	}
	return nil
}

// hasPending reports whether any connection is waiting for a response or is still expected to
// send its first request.
func (d *Drainer) hasPending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for _, idleAt := range d.pending {
		if idleAt.IsZero() || now.Before(idleAt) {
			return true
		}
	}
	return false
}

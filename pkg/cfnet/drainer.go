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
	// firstRequestTime is how long a connection may be open without a first request until
	// it counts as idle. A caller that connects for a request sends it within a round trip.
	firstRequestTime = 500 * time.Millisecond
	// drainCheck is how often a drain looks whether all requests are answered.
	drainCheck = 5 * time.Millisecond
)

// Drainer ends an HTTP server gracefully. http.Server.Shutdown does not: it drops the
// requests of connections that were accepted before it and are read after.
type Drainer struct {
	server   *http.Server
	listener net.Listener
	clock    clockwork.Clock

	mu sync.Mutex
	// pending are the connections that bring a request or wait for its answer. The value
	// is when a connection counts as idle that has not brought one; zero once it has.
	pending map[net.Conn]time.Time
}

// NewDrainer returns a drainer of a server that does not serve yet.
func NewDrainer(s *http.Server, l net.Listener, clock clockwork.Clock) *Drainer {
	d := &Drainer{server: s, listener: l, clock: clock, pending: map[net.Conn]time.Time{}}
	s.ConnState = d.note
	return d
}

func (d *Drainer) note(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.pending[c] = d.clock.Now().Add(firstRequestTime)
	case http.StateActive:
		d.pending[c] = time.Time{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(d.pending, c)
	}
}

// Drain accepts no more connections, and answers the requests on those that there are; each
// answer tells the caller to turn away. It returns the context's error where that ends
// first; requests are then cut off.
func (d *Drainer) Drain(ctx context.Context) error {
	defer func() { _ = d.server.Close() }()
	_ = d.listener.Close()
	d.server.SetKeepAlivesEnabled(false)

	check := d.clock.NewTicker(drainCheck)
	defer check.Stop()
	for d.owes() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-check.Chan():
		}
	}
	return nil
}

// owes reports whether a connection still brings a request or waits for an answer.
func (d *Drainer) owes() bool {
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

package cfroute

import (
	"sync"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// Conn is a connection to an agent. SinceReceived returns the time since the last message
// received on it. Done is closed when the connection ends.
type Conn interface {
	Send(m *cfwire.Message) error
	SinceReceived() time.Duration
	Done() <-chan struct{}
}

// Link holds all connections for calls to one incarnation of an agent. A call can be
// resent on another connection of the link, because the agent deduplicates calls by ID.
type Link struct {
	Worker       cfcore.WorkerID
	Instance     cfcore.InstanceID
	suspectAfter time.Duration

	mu    sync.Mutex
	conns []Conn
	// pending holds a channel for the answer of each call in flight.
	pending  map[cfwire.CallID]chan *cfwire.Answer
	endedCh  chan struct{}
	hasEnded bool
}

// NewLink returns a link without connections. A connection gets no calls while it has
// received no message for longer than suspectAfter.
func NewLink(w cfcore.WorkerID, i cfcore.InstanceID, suspectAfter time.Duration) *Link {
	return &Link{
		Worker: w, Instance: i, suspectAfter: suspectAfter,
		pending: map[cfwire.CallID]chan *cfwire.Answer{}, endedCh: make(chan struct{}),
	}
}

// Add adds a connection that can then be used for calls.
func (l *Link) Add(c Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

// Remove removes a connection, so that it gets no further calls. It does nothing if the link
// does not have the connection.
func (l *Link) Remove(c Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.conns {
		if x == c {
			l.conns = append(l.conns[:i:i], l.conns[i+1:]...)
			return
		}
	}
}

// End records that this incarnation of the agent has ended. The calls in flight on the link
// fail with VerdictUnknown.
func (l *Link) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasEnded {
		l.hasEnded = true
		close(l.endedCh)
	}
}

// EndedCh returns a channel that is closed when this incarnation of the agent has ended.
func (l *Link) EndedCh() <-chan struct{} { return l.endedCh }

// Ended reports whether this incarnation of the agent has ended.
func (l *Link) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasEnded
}

// Up reports whether the link has a usable connection. A connection is usable if it last
// received a message at most suspectAfter ago.
func (l *Link) Up() bool { return l.bestConn(nil) != nil }

// bestConn returns the usable connection that received a message most recently. It ignores
// exclude, and returns nil if no other connection is usable.
func (l *Link) bestConn(exclude Conn) Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best Conn
	var leastSinceReceived time.Duration
	for _, c := range l.conns {
		sinceReceived := c.SinceReceived()
		if c == exclude || sinceReceived > l.suspectAfter {
			continue
		}
		if best == nil || sinceReceived < leastSinceReceived {
			best, leastSinceReceived = c, sinceReceived
		}
	}
	return best
}

// registerCall registers a call in flight and returns the channel for the call's answer.
func (l *Link) registerCall(id cfwire.CallID) <-chan *cfwire.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan *cfwire.Answer, 1)
	l.pending[id] = ch
	return ch
}

func (l *Link) unregisterCall(id cfwire.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// Deliver passes an answer to the call that waits for it. It reports false if no call
// waits for the answer, because the answer is late or a duplicate.
func (l *Link) Deliver(a *cfwire.Answer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch, ok := l.pending[a.ID]
	if !ok {
		return false
	}
	delete(l.pending, a.ID)
	ch <- a
	return true
}

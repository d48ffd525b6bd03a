package cfroute

import (
	"sync"
	"time"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// Conn is what a link needs of a connection.
type Conn interface {
	Send(m *cfwire.Message) error
	Silence() time.Duration
	Done() <-chan struct{}
}

// Link is all connections for calls to one run of an agent. A call that was sent
// on one of them may be sent again on another: the agent executes it once.
type Link struct {
	Worker   cfcore.WorkerID
	Instance cfcore.InstanceID
	suspect  time.Duration

	mu      sync.Mutex
	conns   []Conn
	pending map[cfwire.CallID]chan *cfwire.Answer
	gone    chan struct{}
	isGone  bool
}

// NewLink returns a link without connections. A connection that has been silent
// for longer than suspect is not used for new calls.
func NewLink(w cfcore.WorkerID, i cfcore.InstanceID, suspect time.Duration) *Link {
	return &Link{
		Worker: w, Instance: i, suspect: suspect,
		pending: map[cfwire.CallID]chan *cfwire.Answer{}, gone: make(chan struct{}),
	}
}

// Add adds a connection.
func (l *Link) Add(c Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

// Remove takes a connection out.
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

// End says that this run of the agent is over: calls open to it stay unknown.
func (l *Link) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isGone {
		l.isGone = true
		close(l.gone)
	}
}

// Gone is closed when this run of the agent is over.
func (l *Link) Gone() <-chan struct{} { return l.gone }

// Ended reports whether this run of the agent is over.
func (l *Link) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isGone
}

// Up reports whether the link has a connection that is heard of.
func (l *Link) Up() bool { return l.best(nil) != nil }

// best returns the connection that was heard of last, other than not, or nil.
func (l *Link) best(not Conn) Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best Conn
	var least time.Duration
	for _, c := range l.conns {
		silence := c.Silence()
		if c == not || silence > l.suspect {
			continue
		}
		if best == nil || silence < least {
			best, least = c, silence
		}
	}
	return best
}

// open registers a call and returns the channel for its answer.
func (l *Link) open(id cfwire.CallID) <-chan *cfwire.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	ch := make(chan *cfwire.Answer, 1)
	l.pending[id] = ch
	return ch
}

func (l *Link) forget(id cfwire.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// Deliver hands an answer to the call that waits for it. It reports false for an
// answer that nobody waits for: a late one, or one that came twice.
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

package cfadmit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cfwire"
)

// Reply sends an answer to the entry that sent the call.
type Reply func(*cfwire.Answer)

// Calls deduplicates the calls to one incarnation of an agent: a resent call is not
// executed again. It is safe for concurrent use.
type Calls struct {
	clock    clockwork.Clock
	keepFor  time.Duration
	maxBytes int

	mu    sync.Mutex
	calls map[cfwire.CallID]*callState
	// finished lists the finished calls, oldest first.
	finished []finishedCall
	// bodyBytes is the total size of the bodies of the kept answers.
	bodyBytes int
	inFlight  int
}

type callState struct {
	cancel context.CancelFunc
	// replies holds a Reply for each connection that waits for the answer.
	replies []Reply
	// answer is nil while the call is in flight.
	answer *cfwire.Answer
}

type finishedCall struct {
	id cfwire.CallID
	at time.Time
}

// NewCalls returns an empty Calls. An answer is kept for at least keepFor after its call has
// finished. If the total size of the kept bodies exceeds maxBytes, the oldest answers from
// targets are replaced with VerdictUnknown answers, which have no body.
func NewCalls(keepFor time.Duration, maxBytes int, clock clockwork.Clock) *Calls {
	return &Calls{
		clock: clock, keepFor: keepFor, maxBytes: maxBytes,
		calls: map[cfwire.CallID]*callState{},
	}
}

// Begin registers a call and reports whether the call is new and must be executed. The
// answer goes to reply: at once for a call that is already answered, else when the call
// finishes. Begin keeps the cancel function of a new call, for use by Cancel.
func (c *Calls) Begin(id cfwire.CallID, cancel context.CancelFunc, reply Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.calls[id]
	if s == nil {
		c.calls[id] = &callState{cancel: cancel, replies: []Reply{reply}}
		c.inFlight++
		return true
	}
	if s.answer != nil {
		reply(s.answer)
		return false
	}
	s.replies = append(s.replies, reply)
	return false
}

// Finish records the answer to a call and sends it on every connection that the call
// arrived on.
func (c *Calls) Finish(a *cfwire.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.calls[a.ID]
	if s == nil || s.answer != nil {
		return
	}
	s.answer = a
	for _, reply := range s.replies {
		reply(a)
	}
	s.replies = nil
	c.inFlight--
	c.bodyBytes += len(a.Body)
	c.finished = append(c.finished, finishedCall{id: a.ID, at: c.clock.Now()})
	c.expireAnswers()
}

// Cancel cancels a call in flight whose caller no longer waits for the answer.
func (c *Calls) Cancel(id cfwire.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.calls[id]; s != nil && s.answer == nil {
		s.cancel()
	}
}

// InFlight returns the number of calls without an answer.
func (c *Calls) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// expireAnswers drops calls that finished more than keepFor ago. Then it replaces the oldest
// answers from targets with VerdictUnknown answers, which have no body, until the total size
// of the kept bodies is at most maxBytes.
func (c *Calls) expireAnswers() {
	now := c.clock.Now()
	for len(c.finished) > 0 && now.Sub(c.finished[0].at) > c.keepFor {
		id := c.finished[0].id
		c.bodyBytes -= len(c.calls[id].answer.Body)
		delete(c.calls, id)
		c.finished = c.finished[1:]
	}
	for i := 0; c.bodyBytes > c.maxBytes && i < len(c.finished); i++ {
		s := c.calls[c.finished[i].id]
		if s.answer.Verdict != cfwire.VerdictAnswered {
			continue
		}
		c.bodyBytes -= len(s.answer.Body)
		s.answer = &cfwire.Answer{
			ID: s.answer.ID, Verdict: cfwire.VerdictUnknown, Reason: "the call ran, its answer is no longer kept",
		}
	}
}

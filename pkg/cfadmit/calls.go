package cfadmit

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cfwire"
)

// Reply sends an answer to the entry that asked.
type Reply func(*cfwire.Answer)

// Calls remembers the calls of an agent's run, so that a call that is sent again
// is not executed again.
type Calls struct {
	clock    clockwork.Clock
	keepFor  time.Duration
	maxBytes int

	mu       sync.Mutex
	calls    map[cfwire.CallID]*callState
	finished []finishedCall
	bytes    int
	open     int
}

type callState struct {
	cancel  context.CancelFunc
	replies []Reply
	answer  *cfwire.Answer
}

type finishedCall struct {
	id cfwire.CallID
	at time.Time
}

// NewCalls returns an empty memory. Answers are kept for keepFor; the bodies of
// the oldest are dropped above maxBytes.
func NewCalls(keepFor time.Duration, maxBytes int, clock clockwork.Clock) *Calls {
	return &Calls{
		clock: clock, keepFor: keepFor, maxBytes: maxBytes,
		calls: map[cfwire.CallID]*callState{},
	}
}

// Begin registers a call and reports whether it is new and must be executed. The
// answer to a call that is known already goes to reply, now or when it ends.
func (c *Calls) Begin(id cfwire.CallID, cancel context.CancelFunc, reply Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.calls[id]
	if s == nil {
		c.calls[id] = &callState{cancel: cancel, replies: []Reply{reply}}
		c.open++
		return true
	}
	if s.answer != nil {
		reply(s.answer)
		return false
	}
	s.replies = append(s.replies, reply)
	return false
}

// Finish answers a call on every connection that it came in on.
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
	c.open--
	c.bytes += len(a.Body)
	c.finished = append(c.finished, finishedCall{id: a.ID, at: c.clock.Now()})
	c.expire()
}

// Cancel ends a call that nobody waits for any more.
func (c *Calls) Cancel(id cfwire.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.calls[id]; s != nil && s.answer == nil {
		s.cancel()
	}
}

// Open returns how many calls have no answer yet.
func (c *Calls) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// expire forgets old calls, and drops the bodies of the oldest answers where they
// take too much memory.
func (c *Calls) expire() {
	now := c.clock.Now()
	for len(c.finished) > 0 && now.Sub(c.finished[0].at) > c.keepFor {
		id := c.finished[0].id
		c.bytes -= len(c.calls[id].answer.Body)
		delete(c.calls, id)
		c.finished = c.finished[1:]
	}
	for i := 0; c.bytes > c.maxBytes && i < len(c.finished); i++ {
		s := c.calls[c.finished[i].id]
		if s.answer.Verdict != cfwire.VerdictAnswered {
			continue
		}
		c.bytes -= len(s.answer.Body)
		s.answer = &cfwire.Answer{
			ID: s.answer.ID, Verdict: cfwire.VerdictUnknown, Reason: "the call ran, its answer is no longer kept",
		}
	}
}

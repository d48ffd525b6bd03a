// Package cfroute routes callers' requests to targets. The router chooses a target and sends
// the call to the target's agent. If the connection ends or stalls, the router resends the
// call on another connection to the same agent. If the call did not run, or can safely run
// again, the router retries the call on another target.
package cfroute

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfwire"
)

// Settings configures a Router.
type Settings struct {
	// An agent's targets get no new calls if the agent's last report is older than StaleAfter.
	StaleAfter time.Duration
	// A connection gets no calls if its last received message is older than SuspectAfter.
	SuspectAfter time.Duration
	// EjectPercent limits the ejected targets of a service, as a percentage of the service's
	// targets.
	EjectPercent int
	// EjectAfter is the number of failures in a row that ejects a target.
	EjectAfter int
	// EjectFor is the minimum time from a target's ejection to its first probe call, and the
	// minimum time between two probe calls.
	EjectFor time.Duration
	// RetryPercent limits retries as a percentage of calls.
	RetryPercent int
}

// maxAttempts limits how many targets Do sends one call to. It also limits how many
// connections one call of sendCall tries.
const maxAttempts = 4

// Router sends calls to targets. It is safe for concurrent use.
type Router struct {
	settings  Settings
	clock     clockwork.Clock
	picker    cfcore.Picker
	budget    *Budget
	scope     tally.Scope
	createdAt time.Time
	table     atomic.Pointer[Table]

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns a router without targets.
func New(s Settings, p cfcore.Picker, clock clockwork.Clock, r *rand.Rand, scope tally.Scope) *Router {
	router := &Router{
		settings: s, clock: clock, picker: p, budget: NewBudget(s.RetryPercent),
		scope: scope, createdAt: clock.Now(), rand: r,
	}
	router.table.Store(&Table{})
	return router
}

// Publish replaces the routing table.
func (r *Router) Publish(t *Table) { r.table.Store(t) }

// Service returns the service with the given name, or nil.
func (r *Router) Service(name string) *Service { return r.table.Load().Services[name] }

// RecordReport records that a report from b's agent has just been received.
func (r *Router) RecordReport(b *Backend) { b.reportedAt.Store(int64(r.now())) }

func (r *Router) now() time.Duration { return r.clock.Since(r.createdAt) }

// Result is the outcome of a caller's request. Worker is the worker of the last attempt. It is
// empty if no target was available for an attempt.
type Result struct {
	Answer   *cfwire.Answer
	Worker   cfcore.WorkerID
	Attempts int
}

// Do sends a call to one of a service's targets and returns the outcome. It sets the call's
// ID and Target for each attempt. The context carries the caller's deadline.
func (r *Router) Do(ctx context.Context, svc *Service, call *cfwire.Call) Result {
	r.budget.Earn()
	res := Result{Answer: notRun(call.ID, "no target can take the call")}
	tried := map[*Backend]bool{}
	for res.Attempts < maxAttempts {
		if res.Attempts > 0 && !r.mayRetry(call, res.Answer) {
			return res
		}
		b := r.pickTarget(svc, tried)
		if b == nil && res.Attempts == 0 {
			b = r.awaitTarget(ctx, svc)
		}
		if b == nil {
			return res
		}
		tried[b] = true
		res.Attempts++
		res.Worker = b.Worker
		call.ID = cfwire.CallID(uuid.New())
		call.Target = b.Target.Address
		res.Answer = r.attempt(ctx, svc, b, call)
		if res.Answer.Verdict == cfwire.VerdictAnswered || ctx.Err() != nil {
			return res
		}
	}
	return res
}

// mayRetry reports whether the router is allowed to retry a call on another target. If so,
// it deducts one retry from the budget. A call with an unknown outcome is retried only if its
// method is idempotent.
func (r *Router) mayRetry(call *cfwire.Call, a *cfwire.Answer) bool {
	if a.Verdict == cfwire.VerdictUnknown && !Idempotent(call.Method) {
		return false
	}
	if !r.budget.Spend() {
		r.scope.Counter("retries_refused").Inc(1)
		return false
	}
	r.scope.Counter("retries").Inc(1)
	return true
}

// Idempotent reports whether a request with the method can safely run more than once.
// Source: RFC 9110, section 9.2.2.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func notRun(id cfwire.CallID, reason string) *cfwire.Answer {
	return &cfwire.Answer{ID: id, Verdict: cfwire.VerdictNotRun, Reason: reason}
}

func unknown(id cfwire.CallID, reason string) *cfwire.Answer {
	return &cfwire.Answer{ID: id, Verdict: cfwire.VerdictUnknown, Reason: reason}
}

// pickTarget chooses a usable target that is not in tried. It returns nil if there is none.
func (r *Router) pickTarget(svc *Service, tried map[*Backend]bool) *Backend {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	i := r.picker.Pick(r.rand, len(svc.Backends), func(i int) cfcore.TargetChoice {
		b := svc.Backends[i]
		return cfcore.TargetChoice{
			Usable: !tried[b] && r.usable(b), InFlight: b.InFlight(),
			Slots: b.Target.Slots, Latency: b.Latency(),
		}
	})
	if i < 0 {
		return nil
	}
	b := svc.Backends[i]
	if at := b.ejectedAt.Load(); at != 0 {
		// The target is ejected, and this call is its probe. The next probe call is allowed
		// after EjectFor.
		b.ejectedAt.Store(int64(r.now()))
	}
	return b
}

// usable reports whether a target is serving and its agent is reachable.
func (r *Router) usable(b *Backend) bool { return r.serving(b) && b.Link.Up() }

// serving reports whether the last report of the target's agent is recent, and the target is
// either not ejected or due for a probe call. It does not check the connections to the agent.
func (r *Router) serving(b *Backend) bool {
	now := r.now()
	if now-time.Duration(b.reportedAt.Load()) > r.settings.StaleAfter {
		return false
	}
	at := time.Duration(b.ejectedAt.Load())
	return at == 0 || now-at >= r.settings.EjectFor
}

// reconnectCheckInterval is how often a waiting call checks for a new connection.
const reconnectCheckInterval = 10 * time.Millisecond

// awaitTarget waits until a target is usable again, and returns the target. It returns nil if
// ctx is done first, or if no agent is expected to reconnect. Waiting helps if all connections
// of this entry stop receiving messages at the same time, because the agents detect this
// failure and reconnect.
func (r *Router) awaitTarget(ctx context.Context, svc *Service) *Backend {
	check := r.clock.NewTicker(reconnectCheckInterval)
	defer check.Stop()
	for slices.ContainsFunc(svc.Backends, r.reconnecting) {
		select {
		case <-ctx.Done():
			return nil
		case <-check.Chan():
		}
		if b := r.pickTarget(svc, nil); b != nil {
			return b
		}
	}
	return nil
}

// reconnecting reports whether a target only lacks a usable connection to its agent, and the
// agent can still reconnect. An agent that is known to have ended does not reconnect.
func (r *Router) reconnecting(b *Backend) bool {
	return r.serving(b) && !b.Link.Ended() && !b.Link.Up()
}

// attempt sends a call to one target and waits for the outcome.
func (r *Router) attempt(ctx context.Context, svc *Service, b *Backend, call *cfwire.Call) *cfwire.Answer {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	start := r.now()
	a := r.exchange(ctx, b.Link, call)
	switch {
	case a.Verdict == cfwire.VerdictAnswered:
		r.recordRecovery(svc, b)
		b.recordSuccess(r.now() - start)
	case a.Busy:
		// The target is full but healthy.
	default:
		r.recordFailure(svc, b)
	}
	return a
}

// recordFailure counts a failed call. It ejects the target after EjectAfter failures in a
// row, unless more than EjectPercent of the service's targets would then be ejected.
func (r *Router) recordFailure(svc *Service, b *Backend) {
	if b.failures.Add(1) < int64(r.settings.EjectAfter) || b.ejectedAt.Load() != 0 {
		return
	}
	limit := int64(len(svc.Backends) * r.settings.EjectPercent / 100)
	if svc.Ejected.Add(1) > limit {
		svc.Ejected.Add(-1)
		return
	}
	b.ejectedAt.Store(int64(r.now()))
	r.scope.Counter("ejected").Inc(1)
}

// recordRecovery ends the ejection of a target that has answered a call.
func (r *Router) recordRecovery(svc *Service, b *Backend) {
	if b.ejectedAt.Swap(0) != 0 {
		svc.Ejected.Add(-1)
	}
}

// exchange sends a call over a link and waits for the answer. If the connection ends or
// stalls, exchange resends the call on another connection of the link. The agent
// deduplicates calls by ID.
func (r *Router) exchange(ctx context.Context, l *Link, call *cfwire.Call) *cfwire.Answer {
	answers := l.registerCall(call.ID)
	defer l.unregisterCall(call.ID)
	conn := r.sendCall(ctx, l, call, nil)
	if conn == nil {
		return notRun(call.ID, "no connection to the target's agent")
	}
	check := r.clock.NewTicker(r.settings.SuspectAfter / 3)
	defer check.Stop()
	connDone := conn.Done()
	for {
		select {
		case a := <-answers:
			return a
		case <-ctx.Done():
			r.cancelCall(conn, call.ID)
			return unknown(call.ID, "no answer in time")
		case <-l.EndedCh():
			return unknown(call.ID, "the target's agent ended")
		case <-connDone:
			connDone = nil
		case <-check.Chan():
		}
		if connDone != nil && conn.SinceReceived() <= r.settings.SuspectAfter {
			continue
		}
		if next := r.sendCall(ctx, l, call, conn); next != nil {
			r.scope.Counter("resent").Inc(1)
			conn, connDone = next, next.Done()
		}
	}
}

// sendCall sends a call on the best connection other than exclude, and returns the
// connection. It returns nil if the call could not be sent.
func (r *Router) sendCall(ctx context.Context, l *Link, call *cfwire.Call, exclude Conn) Conn {
	out := *call
	if deadline, ok := ctx.Deadline(); ok {
		out.Timeout = deadline.Sub(r.clock.Now())
	}
	for range maxAttempts {
		c := l.bestConn(exclude)
		if c == nil {
			return nil
		}
		if c.Send(&cfwire.Message{Call: &out}) == nil {
			return c
		}
		// The connection has just ended, its queue is full, or the message cannot be encoded.
		// If the queue is full, Send closes the connection. The entry's control goroutine
		// removes an ended connection from the link.
		exclude = c
	}
	return nil
}

// cancelCall notifies the agent that the caller no longer waits. Errors are ignored, because
// the connection has possibly ended.
func (r *Router) cancelCall(c Conn, id cfwire.CallID) {
	_ = c.Send(&cfwire.Message{Cancel: &cfwire.Cancel{ID: id}})
}

// Package cfroute routes callers' requests to targets. It chooses a target and sends the
// call to the target's agent. It resends the call if the connection stalls, and retries
// on another target if the call did not run.
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
	// StaleAfter is the time without a report from an agent after which its targets get no
	// new calls.
	StaleAfter time.Duration
	// SuspectAfter is the time without a message on a connection after which it is not used.
	SuspectAfter time.Duration
	// EjectPercent limits the ejected targets of a service as a percentage of its targets.
	EjectPercent int
	// EjectAfter is the number of failures in a row that ejects a target.
	EjectAfter int
	// EjectFor is the time from a target's ejection to its first probe call, and between probes.
	EjectFor time.Duration
	// RetryPercent limits retries as a percentage of calls.
	RetryPercent int
}

// maxAttempts limits the targets that one call is sent to, and the connections that one
// send tries.
const maxAttempts = 4

// Router sends calls to targets. It is safe for concurrent use.
type Router struct {
	settings Settings
	clock    clockwork.Clock
	picker   cfcore.Picker
	budget   *Budget
	scope    tally.Scope
	started  time.Time
	table    atomic.Pointer[Table]

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns a router without targets.
func New(s Settings, p cfcore.Picker, clock clockwork.Clock, r *rand.Rand, scope tally.Scope) *Router {
	router := &Router{
		settings: s, clock: clock, picker: p, budget: NewBudget(s.RetryPercent),
		scope: scope, started: clock.Now(), rand: r,
	}
	router.table.Store(&Table{})
	return router
}

// Publish replaces the routing table.
func (r *Router) Publish(t *Table) { r.table.Store(t) }

// Service returns the service with the given name, or nil.
func (r *Router) Service(name string) *Service { return r.table.Load().Services[name] }

// RecordReport records a report from a backend's agent.
func (r *Router) RecordReport(b *Backend) { b.reportedAt.Store(int64(r.now())) }

func (r *Router) now() time.Duration { return r.clock.Since(r.started) }

// Result is the outcome of a caller's request. Worker is that of the last attempt, and empty
// if no target could take the call.
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
		b := r.pick(svc, tried)
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

// mayRetry reports whether a call may be retried on another target, and spends the retry
// budget. A call that may have run is retried only if its method is idempotent.
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

// Idempotent reports whether a request with the method may run more than once.
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

func (r *Router) pick(svc *Service, tried map[*Backend]bool) *Backend {
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
		// This call is the probe. The next probe follows after EjectFor.
		b.ejectedAt.Store(int64(r.now()))
	}
	return b
}

func (r *Router) usable(b *Backend) bool { return r.serving(b) && b.Link.Up() }

// serving reports whether a target may get calls: its agent's last report is recent, and
// the target is not ejected or is due for a probe.
func (r *Router) serving(b *Backend) bool {
	now := r.now()
	if now-time.Duration(b.reportedAt.Load()) > r.settings.StaleAfter {
		return false
	}
	at := time.Duration(b.ejectedAt.Load())
	return at == 0 || now-at >= r.settings.EjectFor
}

// reconnectCheck is the interval at which a waiting call checks for a new connection.
const reconnectCheck = 10 * time.Millisecond

// awaitTarget waits until a target is usable again. It covers the case that all connections of
// an entry stop receiving messages at the same time: the agents detect this as well and
// reconnect. The function returns nil when ctx is done or no target is expected to reconnect.
func (r *Router) awaitTarget(ctx context.Context, svc *Service) *Backend {
	check := r.clock.NewTicker(reconnectCheck)
	defer check.Stop()
	for slices.ContainsFunc(svc.Backends, r.reconnecting) {
		select {
		case <-ctx.Done():
			return nil
		case <-check.Chan():
		}
		if b := r.pick(svc, nil); b != nil {
			return b
		}
	}
	return nil
}

// reconnecting reports whether a target would be usable with a connection to its agent,
// and the agent is not known to have ended.
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

// recordFailure counts a failure. It ejects a target after EjectAfter failures in a row,
// unless this exceeds EjectPercent of the service's targets.
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

func (r *Router) recordRecovery(svc *Service, b *Backend) {
	if b.ejectedAt.Swap(0) != 0 {
		svc.Ejected.Add(-1)
	}
}

// exchange sends a call over a link and waits for the answer. If the connection ends or
// stalls, it resends the call on another connection to the same agent. The agent
// deduplicates calls by ID.
func (r *Router) exchange(ctx context.Context, l *Link, call *cfwire.Call) *cfwire.Answer {
	answers := l.register(call.ID)
	defer l.unregister(call.ID)
	conn := r.send(ctx, l, call, nil)
	if conn == nil {
		return notRun(call.ID, "no connection to the target's agent")
	}
	check := r.clock.NewTicker(r.settings.SuspectAfter / 3)
	defer check.Stop()
	ended := conn.Done()
	for {
		select {
		case a := <-answers:
			return a
		case <-ctx.Done():
			r.cancel(conn, call.ID)
			return unknown(call.ID, "no answer in time")
		case <-l.EndedCh():
			return unknown(call.ID, "the target's agent ended")
		case <-ended:
			ended = nil
		case <-check.Chan():
		}
		if ended != nil && conn.SinceReceived() <= r.settings.SuspectAfter {
			continue
		}
		if next := r.send(ctx, l, call, conn); next != nil {
			r.scope.Counter("resent").Inc(1)
			conn, ended = next, next.Done()
		}
	}
}

// send sends a call on the best connection other than exclude, and returns the connection.
// It returns nil if no connection took the call.
func (r *Router) send(ctx context.Context, l *Link, call *cfwire.Call, exclude Conn) Conn {
	out := *call
	if deadline, ok := ctx.Deadline(); ok {
		out.Timeout = deadline.Sub(r.clock.Now())
	}
	for range maxAttempts {
		c := l.best(exclude)
		if c == nil {
			return nil
		}
		if c.Send(&cfwire.Message{Call: &out}) == nil {
			return c
		}
		// The connection has just ended. Its owner removes it.
		exclude = c
	}
	return nil
}

// cancel notifies the agent that the caller no longer waits. It ignores errors, because
// the connection may have ended.
func (r *Router) cancel(c Conn, id cfwire.CallID) {
	_ = c.Send(&cfwire.Message{Cancel: &cfwire.Cancel{ID: id}})
}

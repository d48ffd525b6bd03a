// Package cfroute sends callers' requests to targets: it chooses a target, sends
// the call to the target's agent, sends it again where a connection has gone
// silent, and retries elsewhere what did not run.
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

// Settings are the limits of a router.
type Settings struct {
	// Stale is the silence of an agent after which its targets get no new calls.
	Stale time.Duration
	// Suspect is the silence of a connection after which it is not used.
	Suspect      time.Duration
	EjectPercent int
	EjectAfter   int
	EjectFor     time.Duration
	RetryPercent int
}

// maxAttempts bounds the targets that one call is sent to.
const maxAttempts = 4

// Router sends calls. Its methods may be called from any goroutine.
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

// Publish replaces the table.
func (r *Router) Publish(t *Table) { r.table.Store(t) }

// Service returns a service, or nil.
func (r *Router) Service(name string) *Service { return r.table.Load().Services[name] }

// Heard notes that a backend's agent has reported.
func (r *Router) Heard(b *Backend) { b.heardAt.Store(int64(r.now())) }

func (r *Router) now() time.Duration { return r.clock.Since(r.started) }

// Result is what became of a caller's request.
type Result struct {
	Answer   *cfwire.Answer
	Worker   cfcore.WorkerID
	Attempts int
}

// Do sends a call to one of a service's targets and returns what became of it.
// The context carries the caller's deadline.
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

// mayRetry reports whether a call may go to another target: always where it did
// not run, else only where running it twice does no harm; and within the budget.
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
	i := r.picker.Pick(r.rand, len(svc.Backends), func(i int) cfcore.Choice {
		b := svc.Backends[i]
		return cfcore.Choice{
			Usable: !tried[b] && r.usable(b), InFlight: b.InFlight(),
			Slots: b.Target.Slots, Latency: b.Latency(),
		}
	})
	if i < 0 {
		return nil
	}
	b := svc.Backends[i]
	if at := b.ejectedAt.Load(); at != 0 {
		// This call is the probe; the next one waits for another period.
		b.ejectedAt.Store(int64(r.now()))
	}
	return b
}

func (r *Router) usable(b *Backend) bool { return r.serving(b) && b.Link.Up() }

// serving reports whether a target can take calls as far as its agent has said of late.
func (r *Router) serving(b *Backend) bool {
	now := r.now()
	if now-time.Duration(b.heardAt.Load()) > r.settings.Stale {
		return false
	}
	at := time.Duration(b.ejectedAt.Load())
	return at == 0 || now-at >= r.settings.EjectFor
}

// reconnectCheck is how often a call that waits for a connection looks for one.
const reconnectCheck = 10 * time.Millisecond

// awaitTarget waits for a target whose agent was heard of lately, and whose connections
// have all ended or gone silent: the agent notices that too, and connects again. It returns
// nil where there is none any more. Load: all connections of an entry go silent at once.
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

// reconnecting reports whether a target lacks only a connection to its agent.
func (r *Router) reconnecting(b *Backend) bool {
	return r.serving(b) && !b.Link.Ended() && !b.Link.Up()
}

// attempt sends a call to one target and waits for what becomes of it.
func (r *Router) attempt(ctx context.Context, svc *Service, b *Backend, call *cfwire.Call) *cfwire.Answer {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	start := r.now()
	a := r.exchange(ctx, b.Link, call)
	switch {
	case a.Verdict == cfwire.VerdictAnswered:
		r.recovered(svc, b)
		b.succeeded(r.now() - start)
	case a.Busy:
		// A full target is healthy.
	default:
		r.failed(svc, b)
	}
	return a
}

// failed counts a failure and ejects a target that fails in a row, unless too
// many of the service's targets are ejected already.
func (r *Router) failed(svc *Service, b *Backend) {
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

func (r *Router) recovered(svc *Service, b *Backend) {
	if b.ejectedAt.Swap(0) != 0 {
		svc.Ejected.Add(-1)
	}
}

// exchange sends a call over a link. Where the connection that it was sent on
// ends or goes silent, it sends the call again on another one to the same agent,
// which tells the two apart by their ID.
func (r *Router) exchange(ctx context.Context, l *Link, call *cfwire.Call) *cfwire.Answer {
	answers := l.open(call.ID)
	defer l.forget(call.ID)
	conn := r.send(ctx, l, call, nil)
	if conn == nil {
		return notRun(call.ID, "no connection to the target's agent")
	}
	check := r.clock.NewTicker(r.settings.Suspect / 3)
	defer check.Stop()
	ended := conn.Done()
	for {
		select {
		case a := <-answers:
			return a
		case <-ctx.Done():
			r.cancel(conn, call.ID)
			return unknown(call.ID, "no answer in time")
		case <-l.Gone():
			return unknown(call.ID, "the target's agent ended")
		case <-ended:
			ended = nil
		case <-check.Chan():
		}
		if ended != nil && conn.Silence() <= r.settings.Suspect {
			continue
		}
		if next := r.send(ctx, l, call, conn); next != nil {
			r.scope.Counter("resent").Inc(1)
			conn, ended = next, next.Done()
		}
	}
}

// send sends a call on the best connection other than not, and returns that.
func (r *Router) send(ctx context.Context, l *Link, call *cfwire.Call, not Conn) Conn {
	out := *call
	if deadline, ok := ctx.Deadline(); ok {
		out.Timeout = deadline.Sub(r.clock.Now())
	}
	for range maxAttempts {
		c := l.best(not)
		if c == nil {
			return nil
		}
		if c.Send(&cfwire.Message{Call: &out}) == nil {
			return c
		}
		// The connection ended between the two steps; its owner removes it.
		not = c
	}
	return nil
}

// cancel tells the agent that nobody waits any more. That the connection may
// have ended meanwhile does not matter.
func (r *Router) cancel(c Conn, id cfwire.CallID) {
	_ = c.Send(&cfwire.Message{Cancel: &cfwire.Cancel{ID: id}})
}

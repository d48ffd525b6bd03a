package cfbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfadmit"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfpick"
	"cranberryford/pkg/cfroute"
	"cranberryford/pkg/cfwire"
)

// The parameters of the routing measurement.
const (
	routeTargets     = 11
	routeEntries     = 3
	routeSlots       = 8
	routeConnections = 64
	routeWork        = 20 * time.Millisecond
	routeTimeout     = 500 * time.Millisecond
	routeDuration    = 5 * time.Second
	routeWarmUp      = time.Second
	// routeCapacity is the rate at which all slots together can complete calls, in calls per
	// second, if each call takes routeWork.
	routeCapacity = float64(routeTargets*routeSlots) / 0.020
)

// RoutingResult is the result of one policy in one scenario. The quantiles are those of
// the latency of answered calls.
type RoutingResult struct {
	Scenario, Policy string
	P50, P99, P999   time.Duration
	// Goodput is the rate of calls that were answered in time, in calls per second.
	Goodput float64
	// Refused is the share of calls that did not run. Late is the share of calls that ran, or
	// possibly ran, but were not answered in time.
	Refused, Late float64
	// Extra is the mean number of additional attempts per call: all attempts divided by all
	// calls, minus 1. Calls of the warm-up count. Attempts whose message is lost do not count;
	// with many such attempts the result would be negative, and Extra is 0.
	Extra float64
}

// routingPolicy is one of the compared combinations of a picker, router settings and gate
// limits.
type routingPolicy struct {
	name     string
	picker   string
	settings cfroute.Settings
	// unbounded disables load shedding: the gate gets a connection limit of 1<<20 and an
	// assumed deadline of one hour for each call, so that it refuses no call as full or late.
	unbounded bool
}

// defaultRouteSettings returns the router settings of the default policy.
func defaultRouteSettings() cfroute.Settings {
	return cfroute.Settings{
		StaleAfter: time.Hour, SuspectAfter: 200 * time.Millisecond, EjectPercent: 30, EjectAfter: 5,
		EjectFor: 500 * time.Millisecond, RetryPercent: 10,
	}
}

func routingPolicies() []routingPolicy {
	defaults := defaultRouteSettings()
	noRetryBudget := defaults
	noRetryBudget.RetryPercent = 100 * 100
	noEjection := defaults
	noEjection.EjectPercent = 0
	return []routingPolicy{
		{name: "few choices (default)", picker: "FewChoices", settings: defaults},
		{name: "least in flight", picker: "LeastInFlight", settings: defaults},
		{name: "round robin", picker: "RoundRobin", settings: defaults},
		{name: "random", picker: "Random", settings: defaults},
		{name: "default, no retry budget", picker: "FewChoices", settings: noRetryBudget},
		{name: "default, no ejection", picker: "FewChoices", settings: noEjection},
		{name: "default, no shedding", picker: "FewChoices", settings: defaults, unbounded: true},
	}
}

// routingScenario describes the load and the behaviour of the targets.
type routingScenario struct {
	name string
	// load is the arrival rate of calls as a share of routeCapacity.
	load float64
	// slowdown returns the factor by which a target is slower than normal. The parameter at is
	// the time since the start of the measurement.
	slowdown func(target int, at time.Duration) float64
	// partitioned reports whether a target's connections lose all messages. The parameter at
	// is the time since the start of the measurement. If partitioned is nil, no messages are
	// lost.
	partitioned func(target int, at time.Duration) bool
}

func noSlowdown(int, time.Duration) float64 { return 1 }

func routingScenarios() []routingScenario {
	oneSlowTarget := func(target int, _ time.Duration) float64 {
		if target == 0 {
			return 10
		}
		return 1
	}
	waveOfSlowdowns := func(target int, at time.Duration) float64 {
		if target < routeTargets/3 && at/time.Second%2 == 1 {
			return 4
		}
		return 1
	}
	return []routingScenario{
		{name: "steady 50 %", load: 0.5, slowdown: noSlowdown},
		{name: "steady 80 %", load: 0.8, slowdown: noSlowdown},
		{name: "steady 95 %", load: 0.95, slowdown: noSlowdown},
		{name: "overload 200 %", load: 2, slowdown: noSlowdown},
		{name: "one target tenfold slow, 50 %", load: 0.5, slowdown: oneSlowTarget},
		{name: "waves of fourfold slowdown on 3 targets, 50 %", load: 0.5, slowdown: waveOfSlowdowns},
		{name: "a data centre of 4 targets silent from 2 s on, 50 %", load: 0.5, slowdown: noSlowdown,
			partitioned: func(target int, at time.Duration) bool { return target < 4 && at > 2*time.Second }},
	}
}

// MeasureRouting measures every policy in every scenario with the same seed.
func MeasureRouting(ctx context.Context, seed uint64) ([]RoutingResult, error) {
	var out []RoutingResult
	for _, sc := range routingScenarios() {
		for _, p := range routingPolicies() {
			f, err := newRouteFleet(sc, p, seed)
			if err != nil {
				return nil, err
			}
			out = append(out, f.run(ctx))
		}
	}
	return out, nil
}

// routeFleet holds the entries and targets of one measurement, all in one process.
type routeFleet struct {
	scenario  routingScenario
	policy    routingPolicy
	clock     clockwork.Clock
	startedAt time.Time
	targets   []*routeTarget
	routers   []*cfroute.Router
	services  []*cfroute.Service
	r         *rand.Rand

	// mu guards latencies, in microseconds.
	mu            sync.Mutex
	latencies     *hdrhistogram.Histogram
	measuredCalls atomic.Int64
	answered      atomic.Int64
	refused       atomic.Int64
	attempts      atomic.Int64
}

// routeTarget is a simulated target behind the admission gate of its agent.
type routeTarget struct {
	fleet *routeFleet
	index int
	gate  *cfadmit.Gate
	// mu guards workRand, the random source for the execution times of calls.
	mu       sync.Mutex
	workRand *rand.Rand
}

func newRouteFleet(sc routingScenario, p routingPolicy, seed uint64) (*routeFleet, error) {
	f := &routeFleet{
		scenario: sc, policy: p, clock: clockwork.NewRealClock(), r: rand.New(rand.NewPCG(seed, 0)),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	f.startedAt = f.clock.Now()
	connections := routeConnections
	if p.unbounded {
		connections = 1 << 20
	}
	for i := range routeTargets {
		f.targets = append(f.targets, &routeTarget{
			fleet: f, index: i, gate: cfadmit.NewGate(routeSlots, connections, f.clock),
			workRand: rand.New(rand.NewPCG(seed, uint64(100+i))),
		})
	}
	for e := range routeEntries {
		picker, err := cfpick.New(p.picker)
		if err != nil {
			return nil, err
		}
		router := cfroute.New(p.settings, picker, f.clock, rand.New(rand.NewPCG(seed, uint64(e+1))), tally.NoopScope)
		svc := &cfroute.Service{Name: "s", Timeout: routeTimeout, Ejected: &atomic.Int64{}}
		for _, t := range f.targets {
			link := cfroute.NewLink(cfcore.WorkerID(fmt.Sprint(t.index)), "i", p.settings.SuspectAfter)
			link.Add(&routeConn{target: t, link: link})
			b := &cfroute.Backend{Service: "s", Link: link, Target: cfcore.Target{Slots: routeSlots}}
			router.RecordReport(b)
			svc.Backends = append(svc.Backends, b)
		}
		f.routers = append(f.routers, router)
		f.services = append(f.services, svc)
	}
	return f, nil
}

// elapsed returns the time since the start of the measurement.
func (f *routeFleet) elapsed() time.Duration { return f.clock.Since(f.startedAt) }

// routeConn is a simulated connection between an entry and a target's agent.
type routeConn struct {
	target *routeTarget
	link   *cfroute.Link
}

var neverClosed = make(chan struct{})

// Done implements cfroute.Conn. The connection never closes.
func (c *routeConn) Done() <-chan struct{} { return neverClosed }

// partitioned reports whether the connection currently loses all messages.
func (c *routeConn) partitioned() bool {
	isPartitioned := c.target.fleet.scenario.partitioned
	return isPartitioned != nil && isPartitioned(c.target.index, c.target.fleet.elapsed())
}

// SinceReceived implements cfroute.Conn. During a partition, it returns the time since the
// partition began. The only scenario with a partition begins it 2 s after the start of the
// measurement. Without a partition, SinceReceived returns 0.
func (c *routeConn) SinceReceived() time.Duration {
	if !c.partitioned() {
		return 0
	}
	return c.target.fleet.elapsed() - 2*time.Second
}

// Send implements cfroute.Conn. Calls execute in the background. Messages other than calls,
// and all messages on a partitioned connection, are dropped.
func (c *routeConn) Send(m *cfwire.Message) error {
	if m.Call == nil || c.partitioned() {
		return nil
	}
	c.target.fleet.attempts.Add(1)
	go c.target.execute(m.Call, c)
	return nil
}

// execute runs a call on the target and answers it through the connection's link. If the gate
// refuses the call, the answer says so.
func (t *routeTarget) execute(call *cfwire.Call, c *routeConn) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if t.fleet.policy.unbounded {
		deadline = t.fleet.clock.Now().Add(time.Hour)
	}
	release, refusal := t.gate.Enter(ctx, deadline)
	if refusal != cfadmit.Admitted {
		busy := refusal == cfadmit.RefusedFull || refusal == cfadmit.RefusedLate
		c.link.Deliver(&cfwire.Answer{ID: call.ID, Verdict: cfwire.VerdictNotRun, Busy: busy})
		return
	}
	t.mu.Lock()
	workFactor := 0.75 + 0.25*t.workRand.ExpFloat64()
	t.mu.Unlock()
	t.fleet.clock.Sleep(time.Duration(float64(routeWork) * workFactor * t.fleet.scenario.slowdown(t.index, t.fleet.elapsed())))
	release()
	if !c.partitioned() {
		c.link.Deliver(&cfwire.Answer{ID: call.ID, Verdict: cfwire.VerdictAnswered})
	}
}

// run sends calls at the scenario's rate and measures those sent after the warm-up.
func (f *routeFleet) run(ctx context.Context) RoutingResult {
	var wg sync.WaitGroup
	callsPerMs := f.scenario.load * routeCapacity / 1000
	tick := f.clock.NewTicker(time.Millisecond)
	defer tick.Stop()
	sent := 0.0
	for f.elapsed() < routeDuration && ctx.Err() == nil {
		<-tick.Chan()
		for due := f.elapsed().Seconds() * 1000 * callsPerMs; sent < due; sent++ {
			e := f.r.IntN(routeEntries)
			measured := f.elapsed() > routeWarmUp
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.sendCall(ctx, e, measured)
			}()
		}
	}
	wg.Wait()
	calls := float64(max(1, f.measuredCalls.Load()))
	answered := float64(f.answered.Load())
	refused := float64(f.refused.Load())
	q := func(p float64) time.Duration {
		return time.Duration(f.latencies.ValueAtQuantile(p)) * time.Microsecond
	}
	return RoutingResult{
		Scenario: f.scenario.name, Policy: f.policy.name, P50: q(50), P99: q(99), P999: q(99.9),
		Goodput: answered / (routeDuration - routeWarmUp).Seconds(), Refused: refused / calls,
		Late: (calls - answered - refused) / calls, Extra: max(0, float64(f.attempts.Load())/sent-1),
	}
}

// sendCall sends one call through entry e. If measured is set, it also counts the result.
func (f *routeFleet) sendCall(ctx context.Context, e int, measured bool) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	start := f.clock.Now()
	res := f.routers[e].Do(ctx, f.services[e], &cfwire.Call{Method: "POST"})
	if !measured {
		return
	}
	f.measuredCalls.Add(1)
	switch res.Answer.Verdict {
	case cfwire.VerdictNotRun:
		f.refused.Add(1)
	case cfwire.VerdictAnswered:
		f.answered.Add(1)
		f.mu.Lock()
		defer f.mu.Unlock()
		// RecordValue fails only for values above one minute, the end of the histogram's range.
		// Calls time out after routeTimeout, long before that.
		_ = f.latencies.RecordValue(int64(f.clock.Since(start) / time.Microsecond))
	}
}

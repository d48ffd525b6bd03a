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

// The sizes of the routing measurement.
const (
	routeTargets     = 11
	routeEntries     = 3
	routeSlots       = 8
	routeConnections = 64
	routeWork        = 20 * time.Millisecond
	routeTimeout     = 500 * time.Millisecond
	routeTime        = 5 * time.Second
	routeWarmUp      = time.Second
	// capacity is the number of calls a second that all slots together can end.
	capacity = float64(routeTargets*routeSlots) / 0.020
)

// RoutingResult is what one policy reached in one scenario.
type RoutingResult struct {
	Scenario, Policy string
	P50, P99, P999   time.Duration
	// Goodput is the number of calls a second that were answered in time.
	Goodput float64
	// Refused and Late are the shares of calls that did not run, and that ran or
	// may have run without an answer in time.
	Refused, Late float64
	// Extra is the number of attempts beyond the first, as a share of calls.
	Extra float64
}

// routingPolicy is one way to send calls.
type routingPolicy struct {
	name     string
	picker   string
	settings cfroute.Settings
	// unbounded takes away the gate's limit on waiting calls, so that nothing is shed.
	unbounded bool
}

func routeSettings() cfroute.Settings {
	return cfroute.Settings{
		StaleAfter: time.Hour, SuspectAfter: 200 * time.Millisecond, EjectPercent: 30, EjectAfter: 5,
		EjectFor: 500 * time.Millisecond, RetryPercent: 10,
	}
}

func routingPolicies() []routingPolicy {
	ours := routeSettings()
	noBudget := ours
	noBudget.RetryPercent = 100 * 100
	noEject := ours
	noEject.EjectPercent = 0
	return []routingPolicy{
		{name: "few choices (default)", picker: "FewChoices", settings: ours},
		{name: "least in flight", picker: "LeastInFlight", settings: ours},
		{name: "round robin", picker: "RoundRobin", settings: ours},
		{name: "random", picker: "Random", settings: ours},
		{name: "default, no retry budget", picker: "FewChoices", settings: noBudget},
		{name: "default, no ejection", picker: "FewChoices", settings: noEject},
		{name: "default, no shedding", picker: "FewChoices", settings: ours, unbounded: true},
	}
}

// routingScenario says how many calls come and what the targets do.
type routingScenario struct {
	name string
	// load is the share of capacity that calls come at.
	load float64
	// factor returns how many times slower a target is at a time.
	factor func(target int, at time.Duration) float64
	// cut returns whether a target's connections are silent at a time.
	cut func(target int, at time.Duration) bool
}

func healthy(int, time.Duration) float64 { return 1 }

func routingScenarios() []routingScenario {
	slowOne := func(target int, _ time.Duration) float64 {
		if target == 0 {
			return 10
		}
		return 1
	}
	wave := func(target int, at time.Duration) float64 {
		if target < routeTargets/3 && at/time.Second%2 == 1 {
			return 4
		}
		return 1
	}
	return []routingScenario{
		{name: "steady 50 %", load: 0.5, factor: healthy},
		{name: "steady 80 %", load: 0.8, factor: healthy},
		{name: "steady 95 %", load: 0.95, factor: healthy},
		{name: "overload 200 %", load: 2, factor: healthy},
		{name: "one target tenfold slow, 50 %", load: 0.5, factor: slowOne},
		{name: "noisy wave on a third, 50 %", load: 0.5, factor: wave},
		{name: "a data centre of 4 targets silent from 2 s on, 50 %", load: 0.5, factor: healthy,
			cut: func(target int, at time.Duration) bool { return target < 4 && at > 2*time.Second }},
	}
}

// Routing measures every policy in every scenario.
func Routing(ctx context.Context, seed uint64) ([]RoutingResult, error) {
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

// routeFleet is entries and targets in one process.
type routeFleet struct {
	scenario routingScenario
	policy   routingPolicy
	clock    clockwork.Clock
	began    time.Time
	targets  []*routeTarget
	routers  []*cfroute.Router
	services []*cfroute.Service
	r        *rand.Rand

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	calls     atomic.Int64
	answered  atomic.Int64
	refused   atomic.Int64
	attempts  atomic.Int64
}

// routeTarget is a target behind its agent's gate.
type routeTarget struct {
	fleet *routeFleet
	index int
	gate  *cfadmit.Gate
	// silentSince is when the connections went silent, since the fleet's start.
	mu    sync.Mutex
	noise *rand.Rand
}

func newRouteFleet(sc routingScenario, p routingPolicy, seed uint64) (*routeFleet, error) {
	f := &routeFleet{
		scenario: sc, policy: p, clock: clockwork.NewRealClock(), r: rand.New(rand.NewPCG(seed, 0)),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	f.began = f.clock.Now()
	connections := routeConnections
	if p.unbounded {
		connections = 1 << 20
	}
	for i := range routeTargets {
		f.targets = append(f.targets, &routeTarget{
			fleet: f, index: i, gate: cfadmit.NewGate(routeSlots, connections, f.clock),
			noise: rand.New(rand.NewPCG(seed, uint64(100+i))),
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

func (f *routeFleet) at() time.Duration { return f.clock.Since(f.began) }

// routeConn is the connection between an entry and a target's agent.
type routeConn struct {
	target *routeTarget
	link   *cfroute.Link
}

var never = make(chan struct{})

func (c *routeConn) Done() <-chan struct{} { return never }

func (c *routeConn) silent() bool {
	cut := c.target.fleet.scenario.cut
	return cut != nil && cut(c.target.index, c.target.fleet.at())
}

// SinceReceived implements cfroute.Conn. A silence counts from when it began.
func (c *routeConn) SinceReceived() time.Duration {
	if !c.silent() {
		return 0
	}
	return c.target.fleet.at() - 2*time.Second
}

// Send implements cfroute.Conn.
func (c *routeConn) Send(m *cfwire.Message) error {
	if m.Call == nil || c.silent() {
		return nil
	}
	c.target.fleet.attempts.Add(1)
	go c.target.execute(m.Call, c)
	return nil
}

func (t *routeTarget) execute(call *cfwire.Call, c *routeConn) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if t.fleet.policy.unbounded {
		deadline = t.fleet.clock.Now().Add(time.Hour)
	}
	done, refusal := t.gate.Enter(ctx, deadline)
	if refusal != cfadmit.Admitted {
		busy := refusal == cfadmit.RefusedFull || refusal == cfadmit.RefusedLate
		c.link.Deliver(&cfwire.Answer{ID: call.ID, Verdict: cfwire.VerdictNotRun, Busy: busy})
		return
	}
	t.mu.Lock()
	spread := 0.75 + 0.25*t.noise.ExpFloat64()
	t.mu.Unlock()
	t.fleet.clock.Sleep(time.Duration(float64(routeWork) * spread * t.fleet.scenario.factor(t.index, t.fleet.at())))
	done()
	if !c.silent() {
		c.link.Deliver(&cfwire.Answer{ID: call.ID, Verdict: cfwire.VerdictAnswered})
	}
}

// run sends calls at the scenario's rate and measures them after a warm-up.
func (f *routeFleet) run(ctx context.Context) RoutingResult {
	var wg sync.WaitGroup
	perMs := f.scenario.load * capacity / 1000
	tick := f.clock.NewTicker(time.Millisecond)
	defer tick.Stop()
	sent := 0.0
	for f.at() < routeTime && ctx.Err() == nil {
		<-tick.Chan()
		for want := f.at().Seconds() * 1000 * perMs; sent < want; sent++ {
			e := f.r.IntN(routeEntries)
			measured := f.at() > routeWarmUp
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.call(ctx, e, measured)
			}()
		}
	}
	wg.Wait()
	calls := float64(max(1, f.calls.Load()))
	answered := float64(f.answered.Load())
	refused := float64(f.refused.Load())
	q := func(p float64) time.Duration {
		return time.Duration(f.latencies.ValueAtQuantile(p)) * time.Microsecond
	}
	return RoutingResult{
		Scenario: f.scenario.name, Policy: f.policy.name, P50: q(50), P99: q(99), P999: q(99.9),
		Goodput: answered / (routeTime - routeWarmUp).Seconds(), Refused: refused / calls,
		Late: (calls - answered - refused) / calls, Extra: max(0, float64(f.attempts.Load())/sent-1),
	}
}

func (f *routeFleet) call(ctx context.Context, e int, measured bool) {
	ctx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	began := f.clock.Now()
	res := f.routers[e].Do(ctx, f.services[e], &cfwire.Call{Method: "POST"})
	if !measured {
		return
	}
	f.calls.Add(1)
	switch res.Answer.Verdict {
	case cfwire.VerdictNotRun:
		f.refused.Add(1)
	case cfwire.VerdictAnswered:
		f.answered.Add(1)
		f.mu.Lock()
		defer f.mu.Unlock()
		// A time beyond the histogram's range cannot come up: calls have a timeout.
		_ = f.latencies.RecordValue(int64(f.clock.Since(began) / time.Microsecond))
	}
}

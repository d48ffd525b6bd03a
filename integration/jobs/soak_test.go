package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

const (
	// Environment variables for a soak by hand: the first seed, the time under faults in
	// seconds for each seed, and the number of seeds.
	soakSeedVar = "CRANBERRYFORD_SOAK_SEED"
	soakTimeVar = "CRANBERRYFORD_SOAK_TIME"
	soakRunsVar = "CRANBERRYFORD_SOAK_RUNS"
	// settleBound is how long the check of an accepted job waits. It waits until the job has
	// completed. If the job runs until it is cancelled, the check waits until all its tasks run.
	// The checks begin at least 1 s after the last fault has ended, and late orders are executed
	// until up to 11 s later. From then on, a job needs up to 11.6 s: up to 9.6 s until leases
	// have expired, and 2 s for the work itself.
	settleBound = 25 * time.Second
	// stateAgeBound is the platform's limit for outdated job states: a state that an entry
	// reports may be at most this old.
	stateAgeBound = 3 * time.Second
	// The delay of an order that a worker executes late is from minOrderDelay to maxOrderDelay.
	minOrderDelay = time.Second
	maxOrderDelay = 12 * time.Second
	// cancelBound is the longest time, without faults, from the cancellation of a job until
	// its tasks have ended.
	cancelBound = 3 * time.Second
)

// soak injects random faults under load. A fault can begin before earlier ones have ended. The
// seed determines the random choices of the faults, but not which requests to the store the
// faults Lost and Late hit. Timing also matters: it decides which faults can be injected.
type soak struct {
	*fleet
	rng *rand.Rand
	// wg counts the faults that have begun and have not ended.
	wg sync.WaitGroup
	// faulted is the set of processes and workers that have a fault. A key is the kind followed
	// by the index, such as "entry0". mu guards faulted and storeFaults.
	faulted map[string]bool
	mu      sync.Mutex

	// version is the version of the latest configuration.
	version int
	// accepted, refused and cancelled list the jobs with these outcomes, by job number.
	accepted, refused, cancelled []int
	// storeFaults are the current faults of the store. A key is the beginning of a client
	// address. The fault hits the requests from all addresses that begin with the key. With an
	// empty key, the fault hits all requests.
	storeFaults     map[string]standin.Fault
	departedWorkers int
	// ordersUntil is when the last late order is executed; mu guards it.
	ordersUntil time.Time
}

// soakFault is a kind of fault. begin injects the fault and returns the function that ends the
// fault. If the fault cannot be injected at the moment, begin returns nil. The time from the
// return of begin until the call of end is random, between 1 ms and maxDuration + 1 ms.
type soakFault struct {
	name        string
	begin       func(s *soak) (end func())
	maxDuration time.Duration
}

// reserve chooses one of n processes or workers of a kind at random. If the chosen one has no
// fault yet, reserve returns its index and the function that ends the reservation. Otherwise
// the last result is false.
func (s *soak) reserve(kind string, n int) (int, func(), bool) {
	return s.reserveAt(kind, s.rng.IntN(n))
}

// reserveAt is reserve for a process or worker that is already chosen.
func (s *soak) reserveAt(kind string, i int) (int, func(), bool) {
	key := fmt.Sprint(kind, i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulted[key] {
		return 0, nil, false
	}
	s.faulted[key] = true
	return i, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.faulted, key)
	}, true
}

// processFault returns a function for the field begin of a soakFault that hits one process. The
// process is chosen at random from those that pick returns. The parameter begin injects the
// fault into the process, and the parameter end ends it.
func processFault(kind string, pick func(s *soak) []*process, begin, end func(p *process)) func(*soak) func() {
	return func(s *soak) func() {
		ps := pick(s)
		i, release, ok := s.reserve(kind, len(ps))
		if !ok {
			return nil
		}
		begin(ps[i])
		return func() { end(ps[i]); release() }
	}
}

func entriesOf(s *soak) []*process { return s.entries }
func agentsOf(s *soak) []*process  { return s.agents }
func freeze(p *process)            { p.signal(syscall.SIGSTOP) }
func thaw(p *process)              { p.signal(syscall.SIGCONT) }
func restart(p *process)           { p.restart() }
func kill(p *process)              { p.kill() }

// terminate sends SIGTERM and waits until the process has exited. The process then stays down
// for the whole duration of the fault, which begins when terminate returns.
func terminate(p *process) {
	p.signal(syscall.SIGTERM)
	p.session.Wait(8 * time.Second)
}

// linkFault returns a function for the field begin of a soakFault that cuts a link from the address
// that pick returns to a random entry. Such a fault is possible in a fleet with proxies only.
func linkFault(pick func(s *soak) netip.Addr) func(*soak) func() {
	return func(s *soak) func() {
		if s.proxies == nil {
			return nil
		}
		from := pick(s)
		i, release, ok := s.reserve("link"+from.String()+"-", len(s.entries))
		if !ok {
			return nil
		}
		s.cutLinks(from, true, i)
		return func() { s.cutLinks(from, false, i); release() }
	}
}

// storeFault returns a function for the field begin of a soakFault that hits requests to the
// store: with equal probability, those of one random entry or those of all entries.
func storeFault(f standin.Fault) func(*soak) func() {
	return func(s *soak) func() {
		addrPrefix := ""
		if s.rng.IntN(2) == 0 {
			addrPrefix = s.entries[s.rng.IntN(len(s.entries))].callers.Addr().String() + ":"
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.storeFaults[addrPrefix] != standin.Healthy {
			return nil
		}
		s.storeFaults[addrPrefix] = f
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.storeFaults, addrPrefix)
		}
	}
}

// faultOfCall returns the fault of a request to the store. Two faults can apply: one that hits
// all entries, and one that hits only the entry that sent the request. faultOfCall then chooses
// one of the two at random. The faults Lost and Late hit a random half of the POST requests and
// no other requests.
func (s *soak) faultOfCall(r *http.Request) standin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addrPrefix, f := range s.storeFaults {
		if !strings.HasPrefix(r.RemoteAddr, addrPrefix) {
			continue
		}
		if (f == standin.Lost || f == standin.Late) && (r.Method != http.MethodPost || rand.IntN(2) == 0) {
			return standin.Healthy
		}
		return f
	}
	return standin.Healthy
}

// lateOrders returns a function for the field begin of a soakFault with which a worker executes
// a share of its orders late. Each of them has its own delay.
func lateOrders(share float64) func(*soak) func() {
	return func(s *soak) func() {
		i, release, ok := s.reserve("worker", len(s.workers))
		if !ok {
			return nil
		}
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		s.worker(i).SetFault(func(string) standin.OrderFault {
			if rng.Float64() >= share {
				return standin.OrderFault{}
			}
			fault := lateOrder(rng, minOrderDelay, maxOrderDelay)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ordersUntil = time.Now().Add(max(fault.Delay, time.Until(s.ordersUntil)))
			return fault
		})
		return func() { s.worker(i).SetFault(nil); release() }
	}
}

var soakFaults = []soakFault{
	{"an entry is killed", processFault("entry", entriesOf, kill, restart), 2 * time.Second},
	{"an entry gets SIGTERM", processFault("entry", entriesOf, terminate, restart), time.Second},
	{"an entry freezes", processFault("entry", entriesOf, freeze, thaw), 4 * time.Second},
	{"an agent is killed", processFault("agent", agentsOf, kill, restart), 2 * time.Second},
	{"an agent gets SIGTERM", processFault("agent", agentsOf, terminate, restart), time.Second},
	{"an agent freezes", processFault("agent", agentsOf, freeze, thaw), 9 * time.Second},
	{"an agent is cut from an entry", linkFault(func(s *soak) netip.Addr { return agentIP(s.rng.IntN(len(s.agents))) }), 9 * time.Second},
	{"an entry is cut from another one", linkFault(func(s *soak) netip.Addr { return s.entries[s.rng.IntN(len(s.entries))].callers.Addr() }), 4 * time.Second},
	{"the store answers 503", storeFault(standin.Down), 4 * time.Second},
	{"the store answers 429", storeFault(standin.Busy), 3 * time.Second},
	{"the store resets connections", storeFault(standin.Reset), 4 * time.Second},
	{"the store does not respond", storeFault(standin.Silent), 4 * time.Second},
	{"the store loses responses", storeFault(standin.Lost), 3 * time.Second},
	{"the store executes requests late", storeFault(standin.Late), 3 * time.Second},
	{"the store is slow", storeFault(standin.Slow), 4 * time.Second},
	{"the store's history expires", func(s *soak) func() { s.store.Expire(); return func() {} }, time.Millisecond},
	{"a worker executes orders without answering them", func(s *soak) func() {
		i, release, ok := s.reserve("worker", len(s.workers))
		if !ok {
			return nil
		}
		s.worker(i).SetFault(func(string) standin.OrderFault { return standin.OrderFault{Fault: standin.Lost} })
		return func() { s.worker(i).SetFault(nil); release() }
	}, 2 * time.Second},
	{"a worker executes all orders late, without answering them", lateOrders(1), 2 * time.Second},
	{"a worker executes some orders late, without answering them", lateOrders(0.3), 5 * time.Second},
	{"a worker is unhealthy by turns", func(s *soak) func() {
		i, release, ok := s.reserve("worker", len(s.workers))
		if !ok {
			return nil
		}
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		s.worker(i).SetFault(func(path string) standin.OrderFault {
			if path != "/run-start" {
				return standin.OrderFault{}
			}
			return []standin.OrderFault{{}, {Fault: standin.Down}, {FailsRun: true}}[rng.IntN(3)]
		})
		return func() { s.worker(i).SetFault(nil); release() }
	}, 4 * time.Second},
	{"a worker restarts with the same ID", func(s *soak) func() {
		s.worker(s.rng.IntN(len(s.workers))).Restart()
		return func() {}
	}, time.Millisecond},
	{"a worker restarts twice with the same ID", func(s *soak) func() {
		w := s.worker(s.rng.IntN(len(s.workers)))
		w.Restart()
		return func() { s.restartIfPresent(w) }
	}, 6 * time.Second},
	{"a worker leaves for good", func(s *soak) func() {
		if s.departedWorkers+2 >= len(s.workers) {
			return nil
		}
		s.departedWorkers++
		i := len(s.workers) - s.departedWorkers
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.worker(i).Leave(ctx); err != nil {
			AddReportEntry("a worker left without an acknowledgement: " + err.Error())
		}
		return func() {}
	}, time.Millisecond},
	{"the open connections to the store become silent", func(s *soak) func() { s.silenceStore(); return func() {} }, time.Millisecond},
	{"the open connections to the workers become silent", func(s *soak) func() { s.silenceWorkers(); return func() {} }, time.Millisecond},
	{"the open connections between the processes become silent", func(s *soak) func() {
		if s.proxies == nil {
			return nil
		}
		s.proxies.silence()
		return func() {}
	}, time.Millisecond},
	{"the configuration changes", func(s *soak) func() { s.version++; s.configure(s.version); return func() {} }, time.Millisecond},
	{"a connection of an agent is held back while the agent uses another one", func(s *soak) func() {
		if s.proxies == nil {
			return nil
		}
		i, release, ok := s.reserve("held", len(s.agents))
		if !ok {
			return nil
		}
		_, deliver := s.holdBack(i)
		return func() { deliver(); release() }
	}, 700 * time.Millisecond},
	{"a worker is unavailable until its leases have expired, and its agent's connection is then held back", func(s *soak) func() {
		if s.proxies == nil {
			return nil
		}
		i, release, ok := s.reserve("worker", len(s.workers))
		if !ok {
			return nil
		}
		_, releaseHeld, ok := s.reserveAt("held", i)
		if !ok {
			release()
			return nil
		}
		delay := time.Duration(200+s.rng.IntN(400)) * time.Millisecond
		expiry := time.Now().Add(6500 * time.Millisecond)
		s.worker(i).SetFault(func(string) standin.OrderFault { return standin.OrderFault{Fault: standin.Down} })
		return func() {
			time.Sleep(time.Until(expiry))
			isHeld, deliver := s.holdBack(i)
			for end := time.Now().Add(500 * time.Millisecond); !isHeld() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			s.worker(i).SetFault(nil)
			time.Sleep(delay)
			deliver()
			release()
			releaseHeld()
		}
	}, 9 * time.Second},
	{"a worker with a new ID replaces one that crashes", func(s *soak) func() {
		i := s.rng.IntN(len(s.workers) - s.departedWorkers)
		i, release, ok := s.reserveAt("worker", i)
		if !ok {
			return nil
		}
		s.replaceWorker(i)
		return release
	}, time.Millisecond},
}

// firstHeldSeed is the first seed whose soaks hold connections back. Soaks of a smaller seed lack the
// newer faults, so that the seed keeps its choices.
const firstHeldSeed = 800

// firstReplacedSeed is the first seed whose soaks replace workers by others with new IDs.
const firstReplacedSeed = 1100

// firstRepeatedSeed is the first seed whose soaks submit repeated jobs, too.
const firstRepeatedSeed = 1000

func faultsOf(seed uint64) []soakFault {
	switch {
	case seed < firstHeldSeed:
		return soakFaults[:len(soakFaults)-3]
	case seed < firstReplacedSeed:
		return soakFaults[:len(soakFaults)-1]
	}
	return soakFaults
}

// injectFaults injects random ones of the faults for the duration d, then waits until all faults have
// ended.
func (s *soak) injectFaults(faults []soakFault, d time.Duration) {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		f := faults[s.rng.IntN(len(faults))]
		duration := time.Duration(s.rng.Int64N(int64(f.maxDuration))) + time.Millisecond
		pause := time.Duration(100+s.rng.IntN(900)) * time.Millisecond
		if end := f.begin(s); end != nil {
			AddReportEntry(fmt.Sprintf("%s for %s", f.name, duration.Round(time.Millisecond)))
			s.wg.Go(func() {
				defer GinkgoRecover()
				time.Sleep(duration)
				end()
			})
		}
		time.Sleep(pause)
	}
	s.wg.Wait()
}

// submitAndCancel submits jobs, and cancels some of them, until done is closed. A job counts
// as refused if all attempts to submit the job were refused. With repeats set, some are repeated.
func (s *soak) submitAndCancel(rng *rand.Rand, repeats bool, done <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(30+rng.IntN(60)) * time.Millisecond):
		}
		body := `{"spec":"150ms","steps":[{"count":2,"cpu":100,"mem_mb":10,"estimated_ms":150},{"count":1,"cpu":100,"mem_mb":10,"after":[0]}]}`
		if n%10 == 0 {
			body = oneStep(3, untilCancelled)
		}
		if repeats && n%10 == 3 {
			body = fmt.Sprintf(`{"spec":"150ms","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":150}],"repeat_count":4,"first_run_ms":%d,"period_ms":400}`, time.Now().UnixMilli())
		}
		refused := true
		for range 3 {
			status, _ := s.call(rng.IntN(len(s.entries)), http.MethodPost, queuePrefix+jobID(n), body)
			if status == http.StatusOK {
				s.accepted, refused = append(s.accepted, n), false
				break
			}
			refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
		}
		if refused {
			s.refused = append(s.refused, n)
		}
		if n%10 == 5 && slices.Contains(s.accepted, n-5) {
			if status, _ := s.call(rng.IntN(len(s.entries)), http.MethodDelete, queuePrefix+jobID(n-5), ""); status == http.StatusOK {
				s.cancelled = append(s.cancelled, n-5)
			}
		}
	}
}

// hasFailedTask reports whether a task of job n has failed as often as its queue allows.
func (s *soak) hasFailedTask(n int) bool {
	failures := map[string]int{}
	for _, r := range s.runs() {
		if strings.HasPrefix(r.Task, jobID(n)) && r.EndState == "failed" {
			failures[r.Task]++
			if failures[r.Task] == maxAttempts {
				return true
			}
		}
	}
	return false
}

// checkOutcomes checks the states of all jobs and the workers' histories. Refused jobs must
// never have run, accepted jobs must complete, fail for a cause or be cancelled, and runs of a task must not
// overlap.
func (s *soak) checkOutcomes() {
	GinkgoHelper()
	s.expectNoOverlap()
	for _, n := range s.refused {
		Expect(slices.ContainsFunc(s.runs(), func(r standin.Run) bool { return strings.HasPrefix(r.Task, jobID(n)) })).To(BeFalse(), "job %d was refused but ran", n)
	}
	for _, n := range s.accepted {
		switch {
		case slices.Contains(s.cancelled, n):
			Eventually(func() int { return s.runningCount(n) }, cancelBound, 50*time.Millisecond).Should(BeZero(), "cancelled job %d", n)
			Eventually(func() string { return s.jobState(0, n) }, stateAgeBound, 50*time.Millisecond).Should(Equal("cancelled"), "job %d", n)
		case n%10 == 0:
			// The job can be cancelled although it is not in s.cancelled: a cancellation can
			// take effect although its response was lost.
			Eventually(func() bool { return s.runningCount(n) == 3 || s.jobState(0, n) == "cancelled" }, settleBound, 100*time.Millisecond).Should(BeTrue(), "long-running job %d", n)
		default:
			Eventually(func() string { return s.jobState(n%len(s.entries), n) }, settleBound, 50*time.Millisecond).Should(
				Or(Equal("completed"), And(Equal("failed"), WithTransform(func(string) bool { return s.hasFailedTask(n) }, BeTrue()))), "job %d", n)
		}
	}
	s.mu.Lock()
	lastOrder := time.Until(s.ordersUntil)
	s.mu.Unlock()
	time.Sleep(lastOrder + 100*time.Millisecond)
	s.expectNoOverlap()
}

// runSoak runs a soak with a seed. New faults begin for the duration d.
func runSoak(seed uint64, d time.Duration) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(seed, 0))
	entries, agents := 3+rng.IntN(2), 3+rng.IntN(3)
	// Behind proxies, entries that are down refuse no connections. Half of the soaks have none.
	var p *proxies
	if rng.IntN(2) == 0 {
		p = newProxies()
	}
	s := &soak{fleet: startFleet(entries, agents, p), rng: rng, faulted: map[string]bool{}, version: 1, storeFaults: map[string]standin.Fault{}}
	s.store.SetFault(s.faultOfCall)
	done, loadDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(loadDone)
		s.submitAndCancel(rand.New(rand.NewPCG(seed, 1)), seed >= firstRepeatedSeed, done)
	}()
	s.injectFaults(faultsOf(seed), d)
	time.Sleep(time.Second)
	close(done)
	<-loadDone
	Expect(len(s.accepted)).To(BeNumerically(">", 10))
	AddReportEntry(fmt.Sprintf("%d outdated reports of agents were ignored", s.countLogged("outdated report of an agent ignored")))
	s.checkOutcomes()
}

// envInt returns the integer in an environment variable, or the default value if the variable
// does not contain an integer.
func envInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

var _ = Describe("the soak", func() {
	firstSeed, seedCount := envInt(soakSeedVar, 1), envInt(soakRunsVar, 2)
	d := time.Duration(envInt(soakTimeVar, 8)) * time.Second
	var seeds []uint64
	for i := range seedCount {
		seeds = append(seeds, uint64(firstSeed+i))
	}
	if os.Getenv(soakSeedVar) == "" {
		seeds = append(seeds, firstHeldSeed)
	}
	for _, seed := range seeds {
		It(fmt.Sprintf("passes with seed %d", seed), func() { runSoak(seed, d) })
	}
})

package jobs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"cranberryford/platform/standin"
)

// soakFault is a kind of fault. begin injects the fault and returns the function that ends the
// fault. If the fault cannot be injected at the moment, begin returns nil. The time from the
// return of begin until the call of end is random, between 1 ms and maxDuration + 1 ms.
type soakFault struct {
	name        string
	begin       func(s *soak) (end func())
	maxDuration time.Duration
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
			return s.lateOrder(rng)
		})
		return func() { s.worker(i).SetFault(nil); release() }
	}
}

// lateOrder returns a fault of one order, which is executed after a random delay.
func (s *soak) lateOrder(rng *rand.Rand) standin.OrderFault {
	return s.recordLate(lateOrder(rng, minOrderDelay, maxOrderDelay))
}

// recordLate counts a fault of an order that is executed late.
func (s *soak) recordLate(fault standin.OrderFault) standin.OrderFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateOrders++
	s.ordersUntil = time.Now().Add(max(fault.Delay, time.Until(s.ordersUntil)))
	return fault
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

// The first seeds whose soaks have newer faults or jobs. Soaks of a smaller seed lack them, so that the
// seed keeps its choices.
const (
	// firstHeldSeed is the first one whose soaks hold connections back.
	firstHeldSeed = 800
	// firstRepeatedSeed is the first one whose soaks submit repeated jobs, too.
	firstRepeatedSeed = 1000
	// firstReplacedSeed is the first one whose soaks replace workers by others with new IDs.
	firstReplacedSeed = 1100
	// firstBurstSeed is the first one whose soaks restart workers in bursts.
	firstBurstSeed = 1200
	// firstOneWaySeed is the first one whose soaks cut links in one direction, make links lossy, slow
	// processes down, and fill the store.
	firstOneWaySeed = 1300
	// firstFullSeed is the first one whose soaks have full workers, late answers, checkpoints, drains and copies.
	firstFullSeed = 1400
)

func faultsOf(seed uint64) []soakFault {
	switch {
	case seed < firstHeldSeed:
		return soakFaults[:len(soakFaults)-3]
	case seed < firstReplacedSeed:
		return soakFaults[:len(soakFaults)-1]
	case seed < firstBurstSeed:
		return soakFaults
	}
	burst := soakFault{"workers restart in a burst with the same ID while they execute starts late", restartBurst(4), time.Millisecond}
	faults := append(slices.Clone(soakFaults), slices.Repeat([]soakFault{burst}, 12)...)
	switch {
	case seed < firstOneWaySeed:
		return faults
	case seed < firstFullSeed:
		return append(faults, slices.Repeat(newLinkFaults, 4)...)
	}
	return slices.Concat(soakFaults, slices.Repeat([]soakFault{burst}, 3), slices.Repeat(fullWorkerFaults, 6))
}

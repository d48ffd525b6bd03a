package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	// soakSeedVar and soakTimeVar set the first seed and the time under faults of a soak by hand,
	// and soakRunsVar the number of seeds.
	soakSeedVar = "CRANBERRYFORD_SOAK_SEED"
	soakTimeVar = "CRANBERRYFORD_SOAK_TIME"
	soakRunsVar = "CRANBERRYFORD_SOAK_RUNS"
	// settleTime is how long the system may take after the last fault until all that was
	// accepted is done: the longest wait for leases is 9.6 s, and the work itself 2 s.
	settleTime = 25 * time.Second
	// visibleTime is how old what an entry says of a job may be, by the platform's bound.
	visibleTime = 3 * time.Second
	// stopTime is how long a cancelled job's tasks may go on in calm times.
	stopTime = 3 * time.Second
)

// soak plays faults of a seed, in series and overlapping, under load.
type soak struct {
	*fleet
	rng *rand.Rand
	// wg waits for the ends of faults that go on.
	wg sync.WaitGroup
	// busy are the processes and workers that a fault holds.
	busy map[string]bool
	mu   sync.Mutex

	version                      int
	accepted, refused, cancelled []int
	storeFaults                  map[string]standin.Fault
	left                         int
}

// fault begins a fault, and returns what ends it; nil where it does not apply now.
type fault struct {
	name  string
	begin func(s *soak) (end func())
	most  time.Duration
}

// hold takes a process or worker for a fault, unless another one has it.
func (s *soak) hold(kind string, n int) (int, func(), bool) {
	i := s.rng.IntN(n)
	key := fmt.Sprint(kind, i)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[key] {
		return 0, nil, false
	}
	s.busy[key] = true
	return i, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, key)
	}, true
}

func onProcess(kind string, pick func(s *soak) []*process, begin, end func(p *process)) func(*soak) func() {
	return func(s *soak) func() {
		ps := pick(s)
		i, release, ok := s.hold(kind, len(ps))
		if !ok {
			return nil
		}
		begin(ps[i])
		return func() { end(ps[i]); release() }
	}
}

func entriesOf(s *soak) []*process { return s.entries }
func agentsOf(s *soak) []*process  { return s.agents }
func stop(p *process)              { p.signal(syscall.SIGSTOP) }
func goOn(p *process)              { p.signal(syscall.SIGCONT) }
func restart(p *process)           { p.restart() }
func kill(p *process)              { p.kill() }

// terminate tells a process to end. The time until it starts again passes after its end.
func terminate(p *process) {
	p.signal(syscall.SIGTERM)
	p.session.Wait(8 * time.Second)
}

// onStore lets the store fail for one entry, or for all.
func onStore(f standin.Fault) func(*soak) func() {
	return func(s *soak) func() {
		host := ""
		if s.rng.IntN(2) == 0 {
			host = s.entries[s.rng.IntN(len(s.entries))].front.Addr().String() + ":"
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.storeFaults[host] != standin.Healthy {
			return nil
		}
		s.storeFaults[host] = f
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.storeFaults, host)
		}
	}
}

// storeFault is the fault of a call now. Lost and late answers are those of some calls.
func (s *soak) storeFault(r *http.Request) standin.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, f := range s.storeFaults {
		if !strings.HasPrefix(r.RemoteAddr, host) {
			continue
		}
		if (f == standin.Lost || f == standin.Late) && (r.Method != http.MethodPost || rand.IntN(2) == 0) {
			return standin.Healthy
		}
		return f
	}
	return standin.Healthy
}

var soakFaults = []fault{
	{"an entry is killed", onProcess("entry", entriesOf, kill, restart), 2 * time.Second},
	{"an entry is told to end", onProcess("entry", entriesOf, terminate, restart), time.Second},
	{"an entry freezes", onProcess("entry", entriesOf, stop, goOn), 4 * time.Second},
	{"an agent is killed", onProcess("agent", agentsOf, kill, restart), 2 * time.Second},
	{"an agent is told to end", onProcess("agent", agentsOf, terminate, restart), time.Second},
	{"an agent freezes", onProcess("agent", agentsOf, stop, goOn), 9 * time.Second},
	{"the store answers 503", onStore(standin.Down), 4 * time.Second},
	{"the store answers 429", onStore(standin.Busy), 3 * time.Second},
	{"the store resets connections", onStore(standin.Reset), 4 * time.Second},
	{"the store is silent", onStore(standin.Silent), 4 * time.Second},
	{"the store loses answers", onStore(standin.Lost), 3 * time.Second},
	{"the store carries calls out late", onStore(standin.Late), 3 * time.Second},
	{"the store is slow", onStore(standin.Slow), 4 * time.Second},
	{"the store forgets its history", func(s *soak) func() { s.store.Expire(); return func() {} }, time.Millisecond},
	{"a worker leaves orders without an answer", func(s *soak) func() {
		i, release, ok := s.hold("worker", len(s.workers))
		if !ok {
			return nil
		}
		s.workers[i].SetDeaf(true)
		return func() { s.workers[i].SetDeaf(false); release() }
	}, 2 * time.Second},
	{"a worker carries orders out late, without an answer", func(s *soak) func() {
		i, release, ok := s.hold("worker", len(s.workers))
		if !ok {
			return nil
		}
		s.workers[i].SetLate(time.Duration(1+s.rng.IntN(5)) * time.Second)
		return func() { s.workers[i].SetLate(0); release() }
	}, 2 * time.Second},
	{"a worker starts again under its name", func(s *soak) func() {
		s.workers[s.rng.IntN(len(s.workers))].Restart()
		return func() {}
	}, time.Millisecond},
	{"a worker leaves for good", func(s *soak) func() {
		if s.left+2 >= len(s.workers) {
			return nil
		}
		s.left++
		i := len(s.workers) - s.left
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := s.workers[i].Leave(ctx); err != nil {
			AddReportEntry("a worker left without an acknowledgement: " + err.Error())
		}
		return func() {}
	}, time.Millisecond},
	{"the configuration changes", func(s *soak) func() { s.version++; s.configure(s.version); return func() {} }, time.Millisecond},
}

// play plays faults for a time.
func (s *soak) play(d time.Duration) {
	until := time.Now().Add(d)
	for time.Now().Before(until) {
		f := soakFaults[s.rng.IntN(len(soakFaults))]
		wait := time.Duration(s.rng.Int64N(int64(f.most))) + time.Millisecond
		pause := time.Duration(100+s.rng.IntN(900)) * time.Millisecond
		if end := f.begin(s); end != nil {
			AddReportEntry(fmt.Sprintf("%s for %s", f.name, wait.Round(time.Millisecond)))
			s.wg.Go(func() {
				defer GinkgoRecover()
				time.Sleep(wait)
				end()
			})
		}
		time.Sleep(pause)
	}
	s.wg.Wait()
}

// load submits jobs and cancels some, until told to stop. A job counts as refused where
// every attempt to hand it in was.
func (s *soak) load(rng *rand.Rand, done <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(30+rng.IntN(60)) * time.Millisecond):
		}
		body := `{"spec":"150ms","steps":[{"count":2,"cpu":100,"mem_mb":10,"estimated_ms":150},{"count":1,"cpu":100,"mem_mb":10,"after":[0]}]}`
		if n%10 == 0 {
			body = oneStep(3, lasts)
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

// running returns the number of runs of a job that go on.
func (s *soak) running(n int) int {
	live := 0
	for _, r := range s.runs() {
		if strings.HasPrefix(r.Task, jobID(n)) && r.Ended.IsZero() {
			live++
		}
	}
	return live
}

// promises checks what callers and workers saw.
func (s *soak) promises() {
	GinkgoHelper()
	s.ranOnce()
	for _, n := range s.refused {
		Expect(slices.ContainsFunc(s.runs(), func(r standin.Run) bool { return strings.HasPrefix(r.Task, jobID(n)) })).To(BeFalse(), "job %d was refused and ran", n)
	}
	for _, n := range s.accepted {
		switch {
		case slices.Contains(s.cancelled, n):
			Eventually(func() int { return s.running(n) }, stopTime, 50*time.Millisecond).Should(BeZero(), "cancelled job %d", n)
			Eventually(func() string { return s.state(0, n) }, visibleTime, 50*time.Millisecond).Should(Equal("cancelled"), "job %d", n)
		case n%10 == 0:
			// A cancellation without an answer may have been carried out.
			Eventually(func() bool { return s.running(n) == 3 || s.state(0, n) == "cancelled" }, settleTime, 100*time.Millisecond).Should(BeTrue(), "lasting job %d", n)
		default:
			s.completes(n, settleTime)
		}
	}
	s.ranOnce()
}

func runSoak(seed uint64, d time.Duration) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &soak{fleet: newFleet(3+rng.IntN(2), 3+rng.IntN(3)), rng: rng, busy: map[string]bool{}, version: 1, storeFaults: map[string]standin.Fault{}}
	s.store.SetFault(s.storeFault)
	done, loaded := make(chan struct{}), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(loaded)
		s.load(rand.New(rand.NewPCG(seed, 1)), done)
	}()
	s.play(d)
	time.Sleep(time.Second)
	close(done)
	<-loaded
	Expect(len(s.accepted)).To(BeNumerically(">", 10))
	s.promises()
}

func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

var _ = Describe("the soak keeps its promises", func() {
	first, runs := number(soakSeedVar, 1), number(soakRunsVar, 2)
	d := time.Duration(number(soakTimeVar, 8)) * time.Second
	for i := range runs {
		seed := uint64(first + i)
		It(fmt.Sprintf("with seed %d", seed), func() { runSoak(seed, d) })
	}
})

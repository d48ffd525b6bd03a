package jobs

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// Environment variables for a run by hand: the number of workers, the first seed, the time under
	// faults in seconds for each seed, and the number of seeds.
	siteWorkersVar = "CRANBERRYFORD_SITE_WORKERS"
	siteSeedVar    = "CRANBERRYFORD_SITE_SEED"
	siteTimeVar    = "CRANBERRYFORD_SITE_TIME"
	siteRunsVar    = "CRANBERRYFORD_SITE_RUNS"
	// siteEntries is the number of entries. The planner is one of them.
	siteEntries = 4
)

// plannerFault injects a fault into the entry that is the planner.
func plannerFault(begin, end func(p *process)) func(*soak) func() {
	return func(s *soak) func() {
		i := s.plannerFromLogs()
		if i < 0 {
			return nil
		}
		_, release, ok := s.reserveAt("entry", i)
		if !ok {
			return nil
		}
		begin(s.entries[i])
		return func() { end(s.entries[i]); release() }
	}
}

// agentCut cuts an agent from all entries.
func agentCut(s *soak) func() {
	i, release, ok := s.reserve("agent", len(s.agents))
	if !ok {
		return nil
	}
	if s.proxies == nil {
		release()
		return nil
	}
	restore := s.cutFromEntries(i)
	return func() { restore(); release() }
}

// siteFaults returns the faults of a site. A burst hits up to a fifth of its workers.
func siteFaults(workers int) []soakFault {
	burst := soakFault{"workers restart in a burst with the same ID while they execute starts late", restartBurst(max(3, workers/5)), time.Millisecond}
	return append(slices.Repeat([]soakFault{burst}, 16), []soakFault{
		{"an agent is killed", processFault("agent", agentsOf, kill, restart), 2 * time.Second},
		{"an agent freezes", processFault("agent", agentsOf, freeze, thaw), 9 * time.Second},
		{"an agent is cut from the entries", agentCut, 9 * time.Second},
		{"the planner is killed", plannerFault(kill, restart), 2 * time.Second},
		{"the planner freezes", plannerFault(freeze, thaw), 4 * time.Second},
	}...)
}

// siteKind describes the faults and the load of a site.
type siteKind struct {
	// faults returns the faults for a number of workers, job the body of job n.
	faults func(workers int) []soakFault
	job    func(rng *rand.Rand, n, workers int) string
	// isLasting reports whether the tasks of job n run until the job is cancelled.
	isLasting func(n int) bool
	prepare   func(f *fleet)
}

// siteJob returns the body of a job with a task for every second worker. A worker has room for twelve of
// the tasks.
func siteJob(rng *rand.Rand, _, workers int) string {
	d := randomDuration(rng, 100*time.Millisecond, 1000*time.Millisecond).Truncate(time.Millisecond)
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1250,"mem_mb":10,"estimated_ms":%d}]}`, d, workers/2+1, d.Milliseconds())
}

// submitSiteJobs submits jobs until done is closed. A job counts as accepted if an attempt was.
func (s *soak) submitSiteJobs(k siteKind, rng *rand.Rand, done <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(randomDuration(rng, 30*time.Millisecond, 90*time.Millisecond)):
		}
		body := k.job(rng, n, len(s.workers))
		for attempt := range 3 {
			if status, _ := s.call((n+attempt)%len(s.entries), http.MethodPost, queuePrefix+jobID(n), body); status == http.StatusOK {
				s.accepted = append(s.accepted, n)
				break
			}
		}
	}
}

// runSite runs a site with a seed. New faults begin for the duration d.
func runSite(k siteKind, seed uint64, workers int, d time.Duration) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(seed, 2))
	var p *proxies
	if rng.IntN(2) == 0 {
		p = newProxies()
	}
	s := &soak{fleet: startFleet(siteEntries, workers, p), rng: rng, faulted: map[string]bool{}}
	k.prepare(s.fleet)
	done, loadDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(loadDone)
		s.submitSiteJobs(k, rand.New(rand.NewPCG(seed, 3)), done)
	}()
	time.Sleep(2 * time.Second)
	s.injectFaults(k.faults(workers), d)
	time.Sleep(time.Second)
	close(done)
	<-loadDone
	s.mu.Lock()
	lastOrder := time.Until(s.ordersUntil)
	s.mu.Unlock()
	time.Sleep(lastOrder + 100*time.Millisecond)
	s.reportRuns()
	s.expectNoOverlap()
	Expect(len(s.accepted)).To(BeNumerically(">", 10))
	for _, n := range s.accepted {
		if k.isLasting(n) {
			Eventually(func() int { return s.runningCount(n) }, settleBound, 100*time.Millisecond).Should(Equal(lastingTasks), "long-running job %d", n)
			continue
		}
		s.expectCompleted(n, settleBound)
	}
	s.expectNoOverlap()
}

var _ = Describe("a site whose workers restart in bursts with the same IDs while they execute starts late", func() {
	site := siteKind{faults: siteFaults, job: siteJob, isLasting: func(int) bool { return false }, prepare: func(*fleet) {}}
	workers := envInt(siteWorkersVar, 12)
	d := time.Duration(envInt(siteTimeVar, 12)) * time.Second
	firstSeed := envInt(siteSeedVar, 1)
	for i := range envInt(siteRunsVar, 1) {
		seed := uint64(firstSeed + i)
		name := fmt.Sprintf("runs each task once with seed %d", seed)
		if os.Getenv(siteWorkersVar) != "" {
			name += fmt.Sprintf(" and %d workers", workers)
		}
		It(name, func() { runSite(site, seed, workers, d) })
	}
})

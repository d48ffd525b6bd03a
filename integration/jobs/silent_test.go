package jobs

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func (f *fleet) silenceStore() { f.silencers[f.storeAddr].Silence() }

func (f *fleet) silenceWorkers() {
	for _, a := range f.workerAddrs {
		f.silencers[a].Silence()
	}
}

func (f *fleet) silenceAll() {
	f.silenceStore()
	f.silenceWorkers()
	f.proxies.silence()
}

// contactTime is a limit of the platform: processes must work again this long after all open
// connections have become silent.
const contactTime = 3 * time.Second

// After a burst of calls to a worker or to the store, each idle connection was tried in turn. All
// leases of the fleet ran out, or a newer configuration was not in force for 18 s.
var _ = DescribeTable("runs go on, and entries follow the store, after open connections have become silent:", func(silence func(*fleet)) {
	const tasks = 72
	f := startFleet(3, 3, newProxies())
	Expect(f.submit(1, oneStep(tasks, untilCancelled))).To(BeTrue())
	Eventually(func() int { return f.runningCount(1) }, 10*time.Second).Should(Equal(tasks))
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Go(func() { _, _ = f.call(n%len(f.entries), http.MethodGet, queuePrefix+jobID(100+n), "") })
	}
	wg.Wait()
	time.Sleep(2 * time.Second)

	silence(f)
	time.Sleep(contactTime)
	f.moveQueue(2)
	for e := range f.entries {
		Eventually(f.queueStatus(e), configBound, 20*time.Millisecond).Should(Equal(http.StatusNotFound), "entry %d", e)
	}
	f.configure(3)
	for e := range f.entries {
		Eventually(f.queueStatus(e), configBound, 20*time.Millisecond).Should(Equal(http.StatusOK), "entry %d", e)
	}
	Expect(f.submit(2, oneStep(3, "10ms"))).To(BeTrue())
	f.expectCompleted(2, 3*time.Second)
	time.Sleep(contactTime)
	Expect(f.runningCount(1)).To(Equal(tasks))
	Expect(f.expiredRuns()).To(BeZero())
	f.expectNoOverlap()
},
	Entry("those to the workers", func(f *fleet) { f.silenceWorkers() }),
	Entry("those to the store", func(f *fleet) { f.silenceStore() }),
	Entry("those between entries and agents", func(f *fleet) { f.proxies.silence() }),
	Entry("all of them", func(f *fleet) { f.silenceAll() }),
	Entry("all of them, twice", func(f *fleet) {
		f.silenceAll()
		time.Sleep(1300 * time.Millisecond)
		f.silenceAll()
	}),
	Entry("all of them, and the planner is killed", func(f *fleet) {
		p := f.entries[f.awaitPlanner()]
		f.silenceAll()
		p.kill()
		p.restart()
	}),
	Entry("all of them, and an agent freezes", func(f *fleet) {
		f.agents[0].signal(syscall.SIGSTOP)
		f.silenceAll()
		time.Sleep(time.Second)
		f.agents[0].signal(syscall.SIGCONT)
	}),
)

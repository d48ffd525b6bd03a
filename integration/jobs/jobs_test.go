package jobs

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
	"cranberryford/platform"
	"cranberryford/platform/standin"
)

var (
	operatorTopic = platform.OperatorTopic
	noOptions     cfcore.AppendOptions
)

func operatorRecord(config string) []cfcore.KeyedRecord {
	return []cfcore.KeyedRecord{{Key: platform.ConfigKey, Value: []byte(config)}}
}

// load submits jobs one after another until told to stop, and returns those accepted.
func (f *fleet) load(first int, stop <-chan struct{}) <-chan []int {
	out := make(chan []int, 1)
	go func() {
		defer GinkgoRecover()
		var accepted []int
		for n := first; ; n++ {
			select {
			case <-stop:
				out <- accepted
				return
			case <-time.After(40 * time.Millisecond):
			}
			if f.submit(n, oneStep(3, "200ms")) {
				accepted = append(accepted, n)
			}
		}
	}()
	return out
}

// under plays a fault under load, and checks that all that was accepted is completed
// and nothing ran twice.
func (f *fleet) under(fault func()) {
	GinkgoHelper()
	stop := make(chan struct{})
	accepted := f.load(1, stop)
	var jobs []int
	func() {
		// The load ends also where the fault fails: the next case has the same addresses.
		defer func() { close(stop); jobs = <-accepted }()
		time.Sleep(time.Second)
		fault()
		time.Sleep(time.Second)
	}()
	Expect(len(jobs)).To(BeNumerically(">", 10))
	for _, n := range jobs {
		f.completes(n, 25*time.Second)
	}
	f.ranOnce()
}

var _ = Describe("the interface of callers", func() {
	It("accepts a job once, runs its steps in order, and shows its state at any entry", func() {
		f := newFleet(3, 2)
		body := `{"spec":"150ms","steps":[{"count":3,"cpu":100,"mem_mb":10,"estimated_ms":150},{"count":2,"cpu":100,"mem_mb":10,"estimated_ms":150,"after":[0]}]}`
		Expect(f.submit(1, body)).To(BeTrue())
		Expect(f.submit(1, body)).To(BeTrue(), "a repeated submission")
		for e := range f.entries {
			Eventually(func() string { return f.state(e, 1) }, 5*time.Second, 20*time.Millisecond).Should(Equal("completed"))
		}
		Expect(f.runs()).To(HaveLen(5))
		f.ranOnce()
	})

	It("has a planner at once when everything starts for the first time", func() {
		f := newFleet(3, 2)
		Expect(f.submit(1, oneStep(2, "100ms"))).To(BeTrue())
		f.completes(1, 1500*time.Millisecond)
	})

	It("has a planner after few claims where many start at once", func() {
		f := newFleet(5, 1)
		Expect(f.submit(1, oneStep(1, "1ms"))).To(BeTrue())
		f.completes(1, 3*time.Second)
		// Each entry may lose against each other one, and against their first records.
		Expect(f.logged("claiming to be the planner")).To(BeNumerically("<=", 2*len(f.entries)*len(f.entries)))
	})

	It("refuses what can never run, and says what it does not know", func() {
		f := newFleet(2, 1)
		for _, body := range []string{
			"{", `{"spec":"x","steps":[]}`, `{"spec":"x","steps":[{"count":0}]}`, `{"spec":"x","steps":[{"count":-2}]}`,
			`{"spec":"x","steps":[{"count":1,"after":[0]}]}`, `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`,
		} {
			status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(7), body)
			Expect(status).To(Equal(400), "%.60s", body)
		}
		Expect(f.state(1, 7)).To(Equal("410"))
		status, _ := f.call(0, http.MethodPost, "/elsewhere/"+jobID(7), oneStep(1, "1ms"))
		Expect(status).To(Equal(404))
		status, _ = f.call(1, http.MethodDelete, queuePrefix+jobID(7), "")
		Expect(status).To(Equal(410))
		status, body := f.call(1, http.MethodGet, queuePrefix, "")
		Expect(status).To(Equal(200))
		Expect(body).To(MatchJSON(`{"waiting":0}`))
	})

	It("stops what a cancelled job runs", func() {
		f := newFleet(2, 2)
		Expect(f.submit(1, oneStep(4, lasts))).To(BeTrue())
		Eventually(f.runs, 5*time.Second).Should(HaveLen(4))
		status, _ := f.call(0, http.MethodDelete, queuePrefix+jobID(1), "")
		Expect(status).To(Equal(200))
		Eventually(func() int {
			n := 0
			for _, r := range f.runs() {
				if r.How == "stopped" {
					n++
				}
			}
			return n
		}, 3*time.Second).Should(Equal(4))
		for e := range f.entries {
			Eventually(func() string { return f.state(e, 1) }, visibleTime, 10*time.Millisecond).Should(Equal("cancelled"))
			Consistently(func() string { return f.state(e, 1) }, 300*time.Millisecond).Should(Equal("cancelled"))
		}
		Expect(f.runs()).To(HaveLen(4))
	})
})

var _ = DescribeTable("accepted jobs are completed once when",
	func(fault func(f *fleet)) {
		f := newFleet(3, 3)
		f.under(func() { fault(f) })
	},
	Entry("the planner is killed", func(f *fleet) {
		p := f.entries[f.planner()]
		p.kill()
		time.Sleep(time.Second)
		p.restart()
	}),
	Entry("the planner freezes", func(f *fleet) {
		p := f.entries[f.planner()]
		p.signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		p.signal(syscall.SIGCONT)
	}),
	Entry("the planner is told to end", func(f *fleet) {
		p := f.entries[f.planner()]
		p.signal(syscall.SIGTERM)
		Eventually(p.session, 8*time.Second).Should(gexecExit())
		p.restart()
	}),
	Entry("all entries are told to end, one after the other", func(f *fleet) {
		for _, p := range f.entries {
			p.signal(syscall.SIGTERM)
			Eventually(p.session, 8*time.Second).Should(gexecExit())
			p.restart()
			Eventually(func() int { return f.get(p.ready, "/readiness") }, 5*time.Second, 20*time.Millisecond).Should(Equal(200))
		}
	}),
	Entry("all agents are told to end, one after the other, twice", func(f *fleet) {
		for range 2 {
			for _, p := range f.agents {
				p.signal(syscall.SIGTERM)
				Eventually(p.session, 5*time.Second).Should(gexecExit())
				p.restart()
				time.Sleep(400 * time.Millisecond)
			}
		}
	}),
	Entry("all processes are killed", func(f *fleet) {
		for _, p := range append(f.entries, f.agents...) {
			p.kill()
		}
		for _, p := range append(f.entries, f.agents...) {
			p.restart()
		}
	}),
	Entry("an agent is killed", func(f *fleet) {
		f.agents[0].kill()
		time.Sleep(500 * time.Millisecond)
		f.agents[0].restart()
	}),
	Entry("an agent freezes until its worker's leases have ended", func(f *fleet) {
		f.agents[0].signal(syscall.SIGSTOP)
		time.Sleep(9 * time.Second)
		f.agents[0].signal(syscall.SIGCONT)
	}),
	Entry("a worker leaves orders without an answer", func(f *fleet) {
		f.workers[0].SetDeaf(true)
		time.Sleep(2 * time.Second)
		f.workers[0].SetDeaf(false)
	}),
	Entry("a worker carries orders out late, and starts again under its name meanwhile", func(f *fleet) {
		for range 3 {
			f.workers[0].SetLate(1500 * time.Millisecond)
			time.Sleep(700 * time.Millisecond)
			f.workers[0].SetLate(0)
			f.workers[0].Restart()
			time.Sleep(2 * time.Second)
		}
	}),
	Entry("the store loses answers", func(f *fleet) {
		n := 0
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if n++; n%3 == 0 && r.Method == http.MethodPost {
				return standin.Lost
			}
			return standin.Healthy
		})
		time.Sleep(3 * time.Second)
		f.store.SetFault(healthy)
	}),
	Entry("the store carries calls out late", func(f *fleet) {
		n := 0
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if n++; n%4 == 0 && r.Method == http.MethodPost {
				return standin.Late
			}
			return standin.Healthy
		})
		time.Sleep(3 * time.Second)
		f.store.SetFault(healthy)
	}),
	Entry("the store forgets its history", func(f *fleet) {
		for range 10 {
			f.store.Expire()
			time.Sleep(50 * time.Millisecond)
		}
	}),
	Entry("the store turns the planner away", func(f *fleet) {
		f.turnAway(f.planner(), standin.Down)
		time.Sleep(5 * time.Second)
		f.store.SetFault(healthy)
	}),
)

var _ = DescribeTable("an entry that the store turns away accepts jobs through another one:",
	func(planner bool, fault standin.Fault) {
		f := newFleet(3, 2)
		e := f.planner()
		if !planner {
			e = (e + 1) % len(f.entries)
		}
		f.turnAway(e, fault)
		// Past the time in which the entry finds out, and the planner hands over.
		for n := 1; n <= 12; n++ {
			status, _ := f.call(e, http.MethodPost, queuePrefix+jobID(n), oneStep(2, "100ms"))
			Expect(status).To(Equal(200), "submission %d", n)
			time.Sleep(200 * time.Millisecond)
		}
		f.store.SetFault(healthy)
		for n := 1; n <= 12; n++ {
			f.completes(n, 10*time.Second)
		}
		f.ranOnce()
	},
	Entry("a planner, 503", true, standin.Down),
	Entry("a planner, resets", true, standin.Reset),
	Entry("another entry, 503", false, standin.Down),
	Entry("another entry, resets", false, standin.Reset),
	Entry("another entry, silence", false, standin.Silent),
)

var _ = It("answers each of many submissions before its caller's time is over while the store is silent", func() {
	f := newFleet(3, 2)
	f.store.SetFault(func(*http.Request) standin.Fault { return standin.Silent })
	const callers = 30
	answered := make(chan time.Duration, callers)
	for n := range callers {
		go func() {
			defer GinkgoRecover()
			// Callers come one after the other, as the outage goes on.
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			begun := time.Now()
			status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(n+1), oneStep(1, "1ms"))
			Expect(status).To(Or(Equal(503), Equal(504)))
			answered <- time.Since(begun)
		}()
	}
	// One try of a second, one through another entry, and some time of the process.
	for range callers {
		Expect(<-answered).To(BeNumerically("<", 2500*time.Millisecond))
	}
	f.store.SetFault(healthy)
})

var _ = It("makes no more reads of the store for more jobs", func() {
	f := newFleet(3, 2)
	Expect(f.submit(1000, oneStep(1, "1ms"))).To(BeTrue())
	f.completes(1000, 5*time.Second)
	const playTime = 4 * time.Second
	reads := f.reads()
	stop := make(chan struct{})
	accepted := f.load(1, stop)
	time.Sleep(playTime)
	close(stop)
	Expect(len(<-accepted)).To(BeNumerically(">", 40))
	// A read of the jobs each 100 ms at most, and one of the configuration each second.
	perEntry := int(playTime/(100*time.Millisecond)) + int(playTime/time.Second) + 1
	Expect(f.reads() - reads).To(BeNumerically("<=", len(f.entries)*perEntry))
})

var _ = It("starts what other entries accept while the store leaves the planner without answers", func() {
	f := newFleet(3, 2)
	Expect(f.submit(100, oneStep(4, "1ms"))).To(BeTrue())
	f.completes(100, 5*time.Second)
	before := len(f.runs())
	p := f.planner()
	f.turnAway(p, standin.Silent)
	// The planner has authority for 2 s after the store last answered it.
	for n := 1; n <= 8; n++ {
		Expect(f.submit(n*len(f.entries)+p+1, oneStep(1, "5s"))).To(BeTrue())
		Eventually(f.runs, 500*time.Millisecond, 10*time.Millisecond).Should(HaveLen(before+n), "job %d starts without delay", n)
	}
	f.store.SetFault(healthy)
})

func healthy(*http.Request) standin.Fault { return standin.Healthy }

var _ = DescribeTable("leases go on and nothing is evicted while the store is down:",
	func(fault standin.Fault) {
		f := newFleet(3, 2)
		Expect(f.submit(1, oneStep(4, lasts))).To(BeTrue())
		two := `{"spec":"1500ms","steps":[{"count":2,"cpu":100,"mem_mb":10},{"count":2,"cpu":100,"mem_mb":10,"after":[0]}]}`
		Expect(f.submit(2, two)).To(BeTrue())
		Eventually(f.runs, 5*time.Second).Should(HaveLen(6))
		f.store.SetFault(func(*http.Request) standin.Fault { return fault })
		time.Sleep(9 * time.Second)
		Expect(f.runs()).To(HaveLen(8), "the next step starts")
		Expect(f.lapsed()).To(BeZero())
		status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(3), oneStep(1, "1ms"))
		Expect(status).To(Equal(503), "what cannot be stored is refused")
		f.store.SetFault(healthy)
		f.completes(2, 5*time.Second)
		Expect(f.state(0, 3)).To(Equal("410"), "what was refused never runs")
		f.ranOnce()
	},
	Entry("it answers 503", standin.Down),
	Entry("it answers 429", standin.Busy),
	Entry("it resets connections", standin.Reset),
	Entry("it is silent", standin.Silent),
)

var _ = It("starts lasting tasks elsewhere when their worker is gone and its agent lives", func() {
	f := newFleet(2, 2)
	Expect(f.submit(1, oneStep(6, lasts))).To(BeTrue())
	Eventually(f.runs, 5*time.Second).Should(HaveLen(6))
	// A worker that registers late has got none of the tasks.
	lost, other := 0, 1
	if len(f.workers[lost].History()) == 0 {
		lost, other = other, lost
	}
	f.stopWorker[lost]()
	Eventually(func() int { return len(f.workers[other].History()) }, 8*time.Second, 50*time.Millisecond).Should(Equal(6))
	f.ranOnce()
})

var _ = It("goes on at once under another planner where a worker has left and its agent is gone", func() {
	f := newFleet(3, 3)
	Expect(f.submit(1, oneStep(6, lasts))).To(BeTrue())
	Eventually(f.runs, 5*time.Second).Should(HaveLen(6))
	Expect(f.workers[0].Leave(context.Background())).To(Succeed())
	Eventually(func() int { return f.logged("worker has left: its record is dropped") }, 2*time.Second, 20*time.Millisecond).Should(Equal(1))
	f.agents[0].kill()
	two := `{"spec":"1500ms","steps":[{"count":2,"cpu":100,"mem_mb":10},{"count":2,"cpu":100,"mem_mb":10,"after":[0]}]}`
	Expect(f.submit(2, two)).To(BeTrue())
	time.Sleep(500 * time.Millisecond)
	p := f.entries[f.planner()]
	p.kill()
	// Twice 1.5 s of work, and 2 s for another planner to take over.
	Eventually(func() bool {
		for e := range f.entries {
			if f.entries[e] != p && f.state(e, 2) == "completed" {
				return true
			}
		}
		return false
	}, 5*time.Second, 20*time.Millisecond).Should(BeTrue())
	p.restart()
	f.agents[0].restart()
	f.ranOnce()
})

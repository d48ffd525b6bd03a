package jobs

import (
	"bytes"
	"context"
	"io"
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

// operatorRecord returns the record that stores a configuration, as operators write it.
func operatorRecord(config string) []cfcore.KeyedRecord {
	return []cfcore.KeyedRecord{{Key: platform.ConfigKey, Value: []byte(config)}}
}

// submitLoad submits jobs, numbered from first on, one after another until stop is closed. It
// then sends the numbers of the accepted jobs on the returned channel.
func (f *fleet) submitLoad(first int, stop <-chan struct{}) <-chan []int {
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

// checkFaultUnderLoad calls inject under load. It then checks that all accepted
// jobs complete, that no two runs of a task overlap, and that no task runs again after it
// was acknowledged as done.
func (f *fleet) checkFaultUnderLoad(inject func()) {
	GinkgoHelper()
	stop := make(chan struct{})
	accepted := f.submitLoad(1, stop)
	var jobs []int
	func() {
		// Stop the load even if inject fails. Otherwise the load would continue into the next
		// spec, whose processes have the same addresses.
		defer func() { close(stop); jobs = <-accepted }()
		time.Sleep(time.Second)
		inject()
		time.Sleep(time.Second)
	}()
	Expect(len(jobs)).To(BeNumerically(">", 10))
	for _, n := range jobs {
		f.expectCompleted(n, 25*time.Second)
	}
	f.expectNoOverlap()
}

var _ = Describe("the callers' API", func() {
	It("accepts a job once, runs its steps in order, and reports its state at any entry", func() {
		f := newFleet(3, 2)
		body := `{"spec":"150ms","steps":[{"count":3,"cpu":100,"mem_mb":10,"estimated_ms":150},{"count":2,"cpu":100,"mem_mb":10,"estimated_ms":150,"after":[0]}]}`
		Expect(f.submit(1, body)).To(BeTrue())
		Expect(f.submit(1, body)).To(BeTrue(), "a repeated submission")
		for e := range f.entries {
			Eventually(func() string { return f.jobState(e, 1) }, 5*time.Second, 20*time.Millisecond).Should(Equal("completed"))
		}
		Expect(f.runs()).To(HaveLen(5))
		f.expectNoOverlap()
	})

	It("completes a job within 1.5 s of its submission when all processes have just started for the first time", func() {
		f := newFleet(3, 2)
		Expect(f.submit(1, oneStep(2, "100ms"))).To(BeTrue())
		f.expectCompleted(1, 1500*time.Millisecond)
	})

	It("has a planner after few claims when many entries start at once", func() {
		f := newFleet(5, 1)
		Expect(f.submit(1, oneStep(1, "1ms"))).To(BeTrue())
		f.expectCompleted(1, 3*time.Second)
		// The bound allows each of the n entries 2*n claims. A claim fails if another record is
		// appended before it. While the entries start, each entry appends at most two such
		// records: the record of its address, and a claim of its own that succeeds.
		Expect(f.countLogged("appending a claim to the planner role")).To(BeNumerically("<=", 2*len(f.entries)*len(f.entries)))
	})

	It("rejects invalid jobs, and reports unknown jobs and queues", func() {
		f := newFleet(2, 1)
		for _, body := range []string{
			"{", `{"spec":"x","steps":[]}`, `{"spec":"x","steps":[{"count":0}]}`, `{"spec":"x","steps":[{"count":-2}]}`,
			`{"spec":"x","steps":[{"count":1,"after":[0]}]}`, `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`,
		} {
			status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(7), body)
			Expect(status).To(Equal(400), "%.60s", body)
		}
		Expect(f.jobState(1, 7)).To(Equal("410"))
		status, _ := f.call(0, http.MethodPost, "/elsewhere/"+jobID(7), oneStep(1, "1ms"))
		Expect(status).To(Equal(404))
		status, _ = f.call(1, http.MethodDelete, queuePrefix+jobID(7), "")
		Expect(status).To(Equal(410))
		status, body := f.call(1, http.MethodGet, queuePrefix, "")
		Expect(status).To(Equal(200))
		Expect(body).To(MatchJSON(`{"waiting":0}`))
	})

	It("stops the runs of a cancelled job", func() {
		f := newFleet(2, 2)
		Expect(f.submit(1, oneStep(4, untilCancelled))).To(BeTrue())
		Eventually(f.runs, 5*time.Second).Should(HaveLen(4))
		status, _ := f.call(0, http.MethodDelete, queuePrefix+jobID(1), "")
		Expect(status).To(Equal(200))
		Eventually(func() int {
			n := 0
			for _, r := range f.runs() {
				if r.EndState == "stopped" {
					n++
				}
			}
			return n
		}, 3*time.Second).Should(Equal(4))
		for e := range f.entries {
			Eventually(func() string { return f.jobState(e, 1) }, stateAgeBound, 10*time.Millisecond).Should(Equal("cancelled"))
			Consistently(func() string { return f.jobState(e, 1) }, 300*time.Millisecond).Should(Equal("cancelled"))
		}
		Expect(f.runs()).To(HaveLen(4))
	})

	// A job ran although its cancellation was answered: the store added its record afterwards.
	DescribeTable("does not start a cancelled job whose record the store adds late", func(meanwhile func(*fleet)) {
		f := newFleet(3, 2)
		f.store.SetLateBy(3 * time.Second)
		f.store.SetFault(func(r *http.Request) standin.Fault {
			data, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(data))
			if r.URL.Path == "/log-append" && bytes.Contains(data, []byte("job/"+jobID(1))) {
				return standin.Late
			}
			return standin.Healthy
		})
		status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(1), oneStep(4, untilCancelled))
		Expect(status).To(Equal(http.StatusGatewayTimeout))
		status, _ = f.call(1, http.MethodDelete, queuePrefix+jobID(1), "")
		Expect(status).To(Equal(http.StatusGone))
		meanwhile(f)
		for e := range f.entries {
			Eventually(func() string { return f.jobState(e, 1) }, 5*time.Second, 50*time.Millisecond).Should(Equal("cancelled"))
		}
		Consistently(f.runs, time.Second).Should(BeEmpty())
	},
		Entry("and all processes go on", func(*fleet) {}),
		Entry("and the planner is killed meanwhile", func(f *fleet) {
			p := f.entries[f.awaitPlanner()]
			p.kill()
			p.restart()
		}),
	)

	It("does not start a job that was cancelled before its submission arrived", func() {
		f := newFleet(2, 1)
		status, _ := f.call(0, http.MethodDelete, queuePrefix+jobID(1), "")
		Expect(status).To(Equal(http.StatusGone))
		Expect(f.submit(1, oneStep(1, untilCancelled))).To(BeTrue())
		for e := range f.entries {
			Eventually(func() string { return f.jobState(e, 1) }, stateAgeBound, 10*time.Millisecond).Should(Equal("cancelled"))
		}
		Consistently(f.runs, time.Second).Should(BeEmpty())
	})
})

var _ = DescribeTable("accepted jobs are completed once when",
	func(fault func(f *fleet)) {
		f := newFleet(3, 3)
		f.checkFaultUnderLoad(func() { fault(f) })
	},
	Entry("the planner is killed", func(f *fleet) {
		p := f.entries[f.awaitPlanner()]
		p.kill()
		time.Sleep(time.Second)
		p.restart()
	}),
	Entry("the planner freezes", func(f *fleet) {
		p := f.entries[f.awaitPlanner()]
		p.signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		p.signal(syscall.SIGCONT)
	}),
	Entry("the planner gets SIGTERM", func(f *fleet) {
		p := f.entries[f.awaitPlanner()]
		p.signal(syscall.SIGTERM)
		Eventually(p.session, 8*time.Second).Should(exited())
		p.restart()
	}),
	Entry("all entries get SIGTERM, one after the other", func(f *fleet) {
		for _, p := range f.entries {
			p.signal(syscall.SIGTERM)
			Eventually(p.session, 8*time.Second).Should(exited())
			p.restart()
			Eventually(func() int { return f.getStatus(p.readiness, "/readiness") }, 5*time.Second, 20*time.Millisecond).Should(Equal(200))
		}
	}),
	Entry("all agents get SIGTERM, one after the other, twice", func(f *fleet) {
		for range 2 {
			for _, p := range f.agents {
				p.signal(syscall.SIGTERM)
				Eventually(p.session, 5*time.Second).Should(exited())
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
	Entry("an agent freezes until its worker's leases have expired", func(f *fleet) {
		f.agents[0].signal(syscall.SIGSTOP)
		time.Sleep(9 * time.Second)
		f.agents[0].signal(syscall.SIGCONT)
	}),
	Entry("a worker executes orders without answering them", func(f *fleet) {
		f.workers[0].SetFault(func(string) standin.OrderFault { return standin.OrderFault{Fault: standin.Lost} })
		time.Sleep(2 * time.Second)
		f.workers[0].SetFault(nil)
	}),
	Entry("a worker executes orders late, and restarts with the same ID meanwhile", func(f *fleet) {
		for range 3 {
			f.workers[0].SetFault(func(path string) standin.OrderFault {
				if path == "/hold" {
					return standin.OrderFault{Fault: standin.Lost}
				}
				return standin.OrderFault{Fault: standin.Late, Delay: 1500 * time.Millisecond}
			})
			time.Sleep(700 * time.Millisecond)
			f.workers[0].SetFault(nil)
			f.workers[0].Restart()
			time.Sleep(2 * time.Second)
		}
	}),
	Entry("the store loses responses", func(f *fleet) {
		n := 0
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if n++; n%3 == 0 && r.Method == http.MethodPost {
				return standin.Lost
			}
			return standin.Healthy
		})
		time.Sleep(3 * time.Second)
		f.store.SetFault(alwaysHealthy)
	}),
	Entry("the store executes requests late", func(f *fleet) {
		n := 0
		f.store.SetFault(func(r *http.Request) standin.Fault {
			if n++; n%4 == 0 && r.Method == http.MethodPost {
				return standin.Late
			}
			return standin.Healthy
		})
		time.Sleep(3 * time.Second)
		f.store.SetFault(alwaysHealthy)
	}),
	Entry("the store's history expires", func(f *fleet) {
		for range 10 {
			f.store.Expire()
			time.Sleep(50 * time.Millisecond)
		}
	}),
	Entry("the store is unavailable to the planner", func(f *fleet) {
		f.setStoreFaultFor(f.awaitPlanner(), standin.Down)
		time.Sleep(5 * time.Second)
		f.store.SetFault(alwaysHealthy)
	}),
)

var _ = DescribeTable("an entry that cannot use the store accepts jobs through another entry:",
	func(hitsPlanner bool, fault standin.Fault) {
		f := newFleet(3, 2)
		e := f.awaitPlanner()
		if !hitsPlanner {
			e = (e + 1) % len(f.entries)
		}
		f.setStoreFaultFor(e, fault)
		// During the submissions, the entry detects the fault. If the entry is the planner, it
		// also hands the leadership over.
		for n := 1; n <= 12; n++ {
			status, _ := f.call(e, http.MethodPost, queuePrefix+jobID(n), oneStep(2, "100ms"))
			Expect(status).To(Equal(200), "submission %d", n)
			time.Sleep(200 * time.Millisecond)
		}
		f.store.SetFault(alwaysHealthy)
		for n := 1; n <= 12; n++ {
			f.expectCompleted(n, 10*time.Second)
		}
		f.expectNoOverlap()
	},
	Entry("the planner, 503", true, standin.Down),
	Entry("the planner, resets", true, standin.Reset),
	Entry("another entry, 503", false, standin.Down),
	Entry("another entry, resets", false, standin.Reset),
	Entry("another entry, no response", false, standin.Silent),
)

var _ = It("an entry answers each of many submissions before its deadline while the store does not respond", func() {
	f := newFleet(3, 2)
	f.store.SetFault(func(*http.Request) standin.Fault { return standin.Silent })
	const callers = 30
	answered := make(chan time.Duration, callers)
	for n := range callers {
		go func() {
			defer GinkgoRecover()
			// Spread the submissions over the outage.
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			start := time.Now()
			status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(n+1), oneStep(1, "1ms"))
			Expect(status).To(Or(Equal(503), Equal(504)))
			answered <- time.Since(start)
		}()
	}
	// A submission can wait behind an earlier append of the entry: up to 1 s until this append
	// times out, and up to 500 ms while its records are sent through other entries. The
	// submission itself is then sent through other entries for up to 500 ms. The bound allows
	// these 2 s and 500 ms of processing time.
	for range callers {
		Expect(<-answered).To(BeNumerically("<", 2500*time.Millisecond))
	}
	f.store.SetFault(alwaysHealthy)
})

var _ = It("an entry reads the store no more often when there are more jobs", func() {
	f := newFleet(3, 2)
	Expect(f.submit(1000, oneStep(1, "1ms"))).To(BeTrue())
	f.expectCompleted(1000, 5*time.Second)
	const loadTime = 4 * time.Second
	readsBefore := f.storeReads()
	stop := make(chan struct{})
	accepted := f.submitLoad(1, stop)
	time.Sleep(loadTime)
	close(stop)
	Expect(len(<-accepted)).To(BeNumerically(">", 40))
	// Each entry reads the jobs at most once per 100 ms, and the configuration at most once per
	// second. The bound allows one more read.
	readsPerEntry := int(loadTime/(100*time.Millisecond)) + int(loadTime/time.Second) + 1
	Expect(f.storeReads() - readsBefore).To(BeNumerically("<=", len(f.entries)*readsPerEntry))
})

var _ = It("the planner starts jobs that other entries accept while the store does not answer it", func() {
	f := newFleet(3, 2)
	Expect(f.submit(100, oneStep(4, "1ms"))).To(BeTrue())
	f.expectCompleted(100, 5*time.Second)
	runsBefore := len(f.runs())
	p := f.awaitPlanner()
	f.setStoreFaultFor(p, standin.Silent)
	// The planner may start jobs until its leader lease ends: 2 s after the start of the last
	// read that the store answered. The jobs are therefore submitted without pauses.
	for n := 1; n <= 8; n++ {
		Expect(f.submit(n*len(f.entries)+p+1, oneStep(1, "5s"))).To(BeTrue())
		Eventually(f.runs, 500*time.Millisecond, 10*time.Millisecond).Should(HaveLen(runsBefore+n), "job %d starts without delay", n)
	}
	f.store.SetFault(alwaysHealthy)
})

// alwaysHealthy gives no request to the store a fault.
func alwaysHealthy(*http.Request) standin.Fault { return standin.Healthy }

var _ = DescribeTable("leases are renewed and nothing is evicted while the store is down:",
	func(fault standin.Fault) {
		f := newFleet(3, 2)
		Expect(f.submit(1, oneStep(4, untilCancelled))).To(BeTrue())
		twoSteps := `{"spec":"1500ms","steps":[{"count":2,"cpu":100,"mem_mb":10},{"count":2,"cpu":100,"mem_mb":10,"after":[0]}]}`
		Expect(f.submit(2, twoSteps)).To(BeTrue())
		Eventually(f.runs, 5*time.Second).Should(HaveLen(6))
		f.store.SetFault(func(*http.Request) standin.Fault { return fault })
		time.Sleep(9 * time.Second)
		Expect(f.runs()).To(HaveLen(8), "the next step starts")
		Expect(f.expiredRuns()).To(BeZero())
		status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(3), oneStep(1, "1ms"))
		Expect(status).To(Equal(503), "a job that cannot be stored is refused")
		f.store.SetFault(alwaysHealthy)
		f.expectCompleted(2, 5*time.Second)
		Expect(f.jobState(0, 3)).To(Equal("410"), "a refused job never runs")
		f.expectNoOverlap()
	},
	Entry("it answers 503", standin.Down),
	Entry("it answers 429", standin.Busy),
	Entry("it resets connections", standin.Reset),
	Entry("it does not respond", standin.Silent),
)

var _ = It("the planner restarts long-running tasks on another worker when their worker is gone but its agent runs", func() {
	f := newFleet(2, 2)
	Expect(f.submit(1, oneStep(6, untilCancelled))).To(BeTrue())
	Eventually(f.runs, 5*time.Second).Should(HaveLen(6))
	// Stop a worker that has tasks. A worker that registered late possibly has none.
	lost, other := 0, 1
	if len(f.workers[lost].History()) == 0 {
		lost, other = other, lost
	}
	f.stopWorker[lost]()
	Eventually(func() int { return len(f.workers[other].History()) }, 8*time.Second, 50*time.Millisecond).Should(Equal(6))
	f.expectNoOverlap()
})

var _ = It("a job continues without delay under another planner after a worker has left and its agent was killed", func() {
	f := newFleet(3, 3)
	Expect(f.submit(1, oneStep(6, untilCancelled))).To(BeTrue())
	Eventually(f.runs, 5*time.Second).Should(HaveLen(6))
	Expect(f.workers[0].Leave(context.Background())).To(Succeed())
	// A start that is ordered between the worker's last lists and its goodbye can be executed late. The record then
	// stays, and the one of the absence names the start.
	Eventually(func() int {
		return f.countLogged("worker has left: its record is dropped") + f.countLogged("its absence is recorded")
	}, 2*time.Second, 20*time.Millisecond).Should(Equal(1))
	f.agents[0].kill()
	twoSteps := `{"spec":"1500ms","steps":[{"count":2,"cpu":100,"mem_mb":10},{"count":2,"cpu":100,"mem_mb":10,"after":[0]}]}`
	Expect(f.submit(2, twoSteps)).To(BeTrue())
	time.Sleep(500 * time.Millisecond)
	p := f.entries[f.awaitPlanner()]
	p.kill()
	// The limit of 5 s allows 1.5 s for each of the two steps, and 2 s until another planner
	// takes over.
	Eventually(func() bool {
		for e := range f.entries {
			if f.entries[e] != p && f.jobState(e, 2) == "completed" {
				return true
			}
		}
		return false
	}, 5*time.Second, 20*time.Millisecond).Should(BeTrue())
	p.restart()
	f.agents[0].restart()
	f.expectNoOverlap()
})

// A worker lists 500 ends at a time. Runs with ends beyond them were stopped as stalled and taken
// for never started while the store was down, and their tasks started again.
var _ = DescribeTable("tasks run once although workers have more unrecorded ends than they list, while", func(fault standin.Fault, kill bool) {
	f := newFleet(3, 2)
	const tasks, jobs = 700, 8
	for n := range jobs {
		Expect(f.submit(n+1, oneStep(tasks, "200ms"))).To(BeTrue())
	}
	// An agent gets no starts before the store has its record.
	for _, w := range f.workers {
		Eventually(w.History, 5*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
	}
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if kill && r.URL.Path != "/log-append" {
			return standin.Healthy
		}
		return fault
	})
	time.Sleep(5 * time.Second)
	// A start without an answer, for example on a busy machine, can keep a worker without starts for 15 s
	// from 400 ends on.
	for _, w := range f.workers {
		Eventually(w.MostUnrecordedEnds, 20*time.Second, 50*time.Millisecond).Should(BeNumerically(">", 500))
	}
	if kill {
		p := f.entries[f.awaitPlanner()]
		p.kill()
		p.restart()
	}
	f.store.SetFault(alwaysHealthy)
	for n := range jobs {
		f.expectCompleted(n+1, 25*time.Second)
	}
	f.expectNoOverlap()
	for _, w := range f.workers {
		Expect(w.MostUnrecordedEnds()).To(BeNumerically(">", 500))
	}
},
	Entry("the store is down", standin.Down, false),
	Entry("the store does not answer", standin.Silent, false),
	Entry("the store takes no records, and then the planner is killed", standin.Down, true),
)

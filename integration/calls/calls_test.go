package calls

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
	"cranberryford/internal/cfstandin"
)

// noNewWorkBound limits how long a target still gets new calls, counted from when the target
// begins to leave or fails.
const noNewWorkBound = 3 * time.Second

// newServingCluster starts a cluster and a service with one target on each VM. It waits until
// every entry lists all targets and answers a call to the service.
func newServingCluster(entries, vms int) *cfdriver.Cluster {
	c := cfdriver.New(cfdriver.Options{Subnet: 30, Entries: entries, VMs: vms})
	c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", vms)))
	for i := range entries {
		c.Eventually(15*time.Second, "all targets serve", func() bool {
			st, err := c.Status(i)
			if err != nil {
				return false
			}
			n := 0
			for _, w := range st.Workers {
				n += len(w.Targets)
			}
			return n == vms && c.Call(i, "GET", "/dispatch/", "").Verdict == "Answered"
		})
	}
	return c
}

// postLoad returns a load of POST requests through the entries with the given indexes. Each
// call executes for 10 ms.
func postLoad(callers int, entries ...int) cfdriver.Load {
	return cfdriver.Load{
		Callers: callers, Entries: entries, Method: "POST", Path: "/dispatch/bookings?WorkMS=10", Pause: 2 * time.Millisecond,
	}
}

var _ = Describe("answers", func() {
	It("are complete and go to the right caller, for bodies from 0 bytes to 4 MB", func() {
		c := newServingCluster(2, 2)
		sizes := []int{0, 1, 100, 4 << 10, 64 << 10, 1 << 20, 4 << 20}
		load := postLoad(12, 0, 1)
		load.Path = "/dispatch/bookings?WorkMS=1"
		load.Body = func(i int) string { return strings.Repeat("x", sizes[i%len(sizes)]) }
		r := c.Start(load)
		time.Sleep(3 * time.Second)
		sent := r.Stop()
		Expect(cfdriver.Tally(sent)).To(HaveLen(1), "%v", cfdriver.Tally(sent))
		Expect(cfdriver.Tally(sent)["Answered"]).To(BeNumerically(">", 50))
		c.CheckCalls(sent)
	})

	DescribeTable("that a target aborts are not forwarded as complete",
		func(how string) {
			c := newServingCluster(1, 1)
			r := c.Call(0, "POST", "/dispatch/bookings?Misbehave="+how, "a body of some length", "Call-Key", "k")
			Expect(r.Verdict).To(Equal("Unknown"))
			Expect(r.Status).To(Equal(502))
			Expect(c.ExecutionCounts()["k"]).To(Equal(1))
		},
		Entry("in a body with a length", "Half"),
		Entry("in a body without a length", "Chunked"),
		Entry("before the first byte", "Reset"),
	)

	It("have the verdict NotRun when the request cannot be sent to a target", func() {
		c := newServingCluster(1, 1)
		for _, t := range []struct {
			name, method, path, body string
			headers                  []string
			status                   int
		}{
			{"no such service", "POST", "/nothing/", "", nil, 404},
			{"bad timeout", "POST", "/dispatch/", "", []string{"Cranberryford-Timeout", "soon"}, 400},
			{"timeout too long", "POST", "/dispatch/", "", []string{"Cranberryford-Timeout", "24h"}, 400},
			{"body too large", "POST", "/dispatch/", strings.Repeat("x", 9<<20), nil, 413},
			{"key too long", "POST", "/dispatch/", "", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400},
		} {
			r := c.Call(0, t.method, t.path, t.body, append(t.headers, "Call-Key", t.name)...)
			Expect(r.Status).To(Equal(t.status), t.name)
			Expect(r.Verdict).To(Equal("NotRun"), t.name)
			Expect(c.ExecutionCounts()[t.name]).To(BeZero())
		}
	})
})

var _ = Describe("overload", func() {
	It("never exceeds a target's slots, and only requests that did not run are refused as NotRun", func() {
		c := newServingCluster(3, 2)
		load := postLoad(200, 0, 1, 2)
		load.Path = "/dispatch/bookings?WorkMS=50"
		load.Headers = []string{"Cranberryford-Timeout", "400ms"}
		r := c.Start(load)
		time.Sleep(4 * time.Second)
		sent := r.Stop()
		tally := cfdriver.Tally(sent)
		AddReportEntry("verdicts", fmt.Sprint(tally))
		Expect(tally["NotRun"]).To(BeNumerically(">", 0))
		Expect(tally["Answered"]).To(BeNumerically(">", 100))
		c.CheckCalls(sent)
		for _, v := range c.VMs {
			Expect(c.MaxInFlight(v)).To(BeNumerically("<=", 8))
		}
	})
})

var _ = DescribeTable("a request that is not idempotent runs at most once when",
	func(inject func(c *cfdriver.Cluster)) {
		c := newServingCluster(2, 3)
		r := c.Start(postLoad(16, 0, 1))
		time.Sleep(time.Second)
		inject(c)
		time.Sleep(3 * time.Second)
		sent := r.Stop()
		AddReportEntry("verdicts", fmt.Sprint(cfdriver.Tally(sent)))
		c.CheckCalls(sent)
	},
	Entry("an entry is killed", func(c *cfdriver.Cluster) { c.Entries[0].Kill() }),
	Entry("an agent is killed and restarted", func(c *cfdriver.Cluster) {
		c.VMs[0].Agent.Kill()
		c.VMs[0].Agent.Restart()
	}),
	Entry("a VM crashes and is replaced", func(c *cfdriver.Cluster) { c.VMs[0].Crash(); c.VMs[0].Replace() }),
	Entry("an agent freezes and resumes", func(c *cfdriver.Cluster) {
		c.VMs[0].Agent.Freeze()
		time.Sleep(1500 * time.Millisecond)
		c.VMs[0].Agent.Thaw()
	}),
	Entry("an entry freezes and resumes", func(c *cfdriver.Cluster) {
		c.Entries[0].Freeze()
		time.Sleep(1500 * time.Millisecond)
		c.Entries[0].Thaw()
	}),
	Entry("an agent loses its connections to an entry repeatedly", func(c *cfdriver.Cluster) {
		for range 5 {
			c.Entries[0].Proxy.Set(c.VMs[0].Agent.IP, cfdriver.Cut)
			time.Sleep(150 * time.Millisecond)
			c.Entries[0].Proxy.Set(c.VMs[0].Agent.IP, cfdriver.Pass)
			time.Sleep(400 * time.Millisecond)
		}
	}),
)

var _ = Describe("a connection that goes silent for good", func() {
	It("costs its calls one bounded delay, and no call runs twice", func() {
		c := newServingCluster(1, 3)
		r := c.Start(postLoad(12, 0))
		time.Sleep(time.Second)
		c.Entries[0].Proxy.Set(cfdriver.AnySource, cfdriver.SilentExisting)
		time.Sleep(4 * time.Second)
		sent := r.Stop()
		slowest := time.Duration(0)
		for _, s := range sent {
			slowest = max(slowest, s.Took)
		}
		AddReportEntry("verdicts and slowest", fmt.Sprint(cfdriver.Tally(sent), slowest))
		Expect(cfdriver.Tally(sent)).To(Equal(map[string]int{"Answered": len(sent)}))
		c.CheckCalls(sent)
	})
})

var _ = Describe("idempotency keys", func() {
	It("return the stored answer through any entry and never cause a second run", func() {
		c := newServingCluster(2, 2)
		first := c.Call(0, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k1", "Call-Key", "k1")
		Expect(first.Verdict).To(Equal("Answered"))
		c.Eventually(3*time.Second, "the answer is stored", func() bool {
			r := c.Call(1, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k1", "Call-Key", "k1")
			return r.Verdict == "Answered" && r.Body == "flood" && r.Header.Get("Cranberryford-Repeated") == "true"
		})
		other := c.Call(1, "POST", "/dispatch/bookings", "another", "Idempotency-Key", "k1", "Call-Key", "k1")
		Expect(other.Status).To(Equal(422))
		Expect(other.Verdict).To(Equal("NotRun"))
		Expect(c.ExecutionCounts()["k1"]).To(Equal(1))
	})

	It("run once when many callers send the same key through all entries at once", func() {
		c := newServingCluster(3, 2)
		replies := make(chan cfdriver.Reply, 30)
		for i := range 30 {
			go func() {
				replies <- c.Call(i%3, "POST", "/dispatch/bookings?WorkMS=20", "flood", "Idempotency-Key", "k2", "Call-Key", "k2")
			}()
		}
		for range 30 {
			r := <-replies
			Expect(r.Verdict).NotTo(Equal("NotRun"))
		}
		Expect(c.ExecutionCounts()["k2"]).To(Equal(1))
	})

	DescribeTable("prevent duplicate runs while the log fails:",
		func(f cfstandin.LogControl, firstVerdict string) {
			c := newServingCluster(2, 2)
			c.SetLogFault(f)
			time.Sleep(300 * time.Millisecond)
			r := c.Call(0, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k3", "Call-Key", "k3")
			Expect(r.Verdict).To(Equal(firstVerdict))
			repeat := c.Call(1, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k3", "Call-Key", "k3")
			if repeat.Verdict == "NotRun" {
				Expect(firstVerdict).To(Equal("NotRun"))
			}
			c.SetLogFault(cfstandin.LogControl{})
			c.Eventually(10*time.Second, "the key is answered", func() bool {
				r := c.Call(1, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k3", "Call-Key", "k3")
				return r.Verdict == "Answered"
			})
			Expect(c.ExecutionCounts()["k3"]).To(Equal(1))
		},
		Entry("it is down", cfstandin.LogControl{Fault: cfstandin.LogDown}, "NotRun"),
		Entry("its appends take effect but their answers are lost", cfstandin.LogControl{Fault: cfstandin.LogDropsAnswers}, "Answered"),
		Entry("it is slow", cfstandin.LogControl{Fault: cfstandin.LogSlow, SlowBy: 200 * time.Millisecond}, "Answered"),
	)

	It("keep the verdict Unknown when the entry that claimed them is killed before it has the answer", func() {
		c := newServingCluster(2, 1)
		done := make(chan cfdriver.Reply, 1)
		go func() {
			done <- c.Call(0, "POST", "/dispatch/bookings?WorkMS=1500", "flood", "Idempotency-Key", "k4", "Call-Key", "k4")
		}()
		c.Eventually(3*time.Second, "the call executes", func() bool { return c.ExecutionCounts()["k4"] == 1 })
		c.Entries[0].Kill()
		<-done
		for range 3 {
			r := c.Call(1, "POST", "/dispatch/bookings?WorkMS=1500", "flood", "Idempotency-Key", "k4", "Call-Key", "k4")
			Expect(r.Verdict).To(Equal("Unknown"))
		}
		Expect(c.ExecutionCounts()["k4"]).To(Equal(1))
	})
})

var _ = DescribeTable("a target that is leaving or gone gets no new calls after a few seconds:",
	func(inject func(c *cfdriver.Cluster, v *cfdriver.VMProc), heal func(v *cfdriver.VMProc)) {
		c := newServingCluster(2, 3)
		r := c.Start(postLoad(12, 0, 1))
		time.Sleep(500 * time.Millisecond)
		v := c.VMs[1]
		inject(c, v)
		injectedAt := time.Now()
		time.Sleep(noNewWorkBound + 2*time.Second)
		sent := r.Stop()
		heal(v)
		time.Sleep(500 * time.Millisecond)
		for _, call := range c.CallsOn(v) {
			Expect(call.At).To(BeTemporally("<", injectedAt.Add(noNewWorkBound)), call.Key)
		}
		n := 0
		for _, s := range sent {
			if s.At.After(injectedAt.Add(noNewWorkBound)) {
				n++
				Expect(s.Verdict).To(Equal("Answered"), "request %s, error %v, body %s", s.Key, s.Err, s.Body)
			}
		}
		Expect(n).To(BeNumerically(">", 100))
		c.CheckCalls(sent)
	},
	Entry("its agent gets SIGTERM",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Terminate() }, func(*cfdriver.VMProc) {}),
	Entry("its agent is killed",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Kill() }, func(*cfdriver.VMProc) {}),
	Entry("its agent freezes",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Freeze() }, func(v *cfdriver.VMProc) { v.Agent.Thaw() }),
	Entry("its worker is drained",
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.PlanAndConfirm(0, cfdriver.Drain(v)) }, func(*cfdriver.VMProc) {}),
)

var _ = DescribeTable("a graceful shutdown completes the requests in flight:",
	func(newConnections bool, inject func(c *cfdriver.Cluster)) {
		c := newServingCluster(2, 3)
		load := postLoad(12, 0, 1)
		load.Path = "/dispatch/bookings?WorkMS=100"
		load.NewConnections = newConnections
		r := c.Start(load)
		time.Sleep(time.Second)
		inject(c)
		time.Sleep(1500 * time.Millisecond)
		sent := r.Stop()
		Expect(cfdriver.Tally(sent)).To(Equal(map[string]int{"Answered": len(sent)}))
		c.CheckCalls(sent)
	},
	Entry("of an agent, with reused connections", false, func(c *cfdriver.Cluster) { c.VMs[0].Agent.Terminate() }),
	Entry("of an agent, with new connections", true, func(c *cfdriver.Cluster) { c.VMs[0].Agent.Terminate() }),
	Entry("of a target, by draining its worker", false, func(c *cfdriver.Cluster) { c.PlanAndConfirm(0, cfdriver.Drain(c.VMs[0])) }),
)

var _ = Describe("a graceful shutdown of an entry", func() {
	It("answers every accepted request, and loses none when it closes reused connections", func() {
		c := newServingCluster(2, 3)
		load := postLoad(8, 0)
		load.Path = "/dispatch/bookings?WorkMS=100"
		r := c.Start(load)
		time.Sleep(time.Second)
		c.Entries[0].Terminate()
		c.Eventually(10*time.Second, "the entry has exited", func() bool {
			exited, _ := c.Entries[0].Exited()
			return exited
		})
		_, code := c.Entries[0].Exited()
		Expect(code).To(Equal(0))
		sent := r.Stop()
		c.CheckCalls(sent)
		for _, s := range sent {
			if s.Err != nil {
				// A request can remain without an answer only if its connection was refused.
				Expect(s.Err.Error()).To(ContainSubstring("refused"), s.Key)
				Expect(c.ExecutionCounts()[s.Key]).To(BeZero())
				continue
			}
			Expect(s.Verdict).To(Equal("Answered"))
		}
	})
})

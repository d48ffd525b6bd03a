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

// leavingBound is the time after which a target that is leaving, or gone, gets
// no new work.
const leavingBound = 3 * time.Second

// serving returns a cluster whose service has a target on each VM.
func serving(entries, vms int) *cfdriver.Cluster {
	c := cfdriver.New(cfdriver.Shape{Net: 30, Entries: entries, VMs: vms})
	c.Accept(0, cfdriver.Intent(cfdriver.Service("dispatch", vms)))
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

func posts(callers int, entries ...int) cfdriver.Load {
	return cfdriver.Load{
		Callers: callers, Entries: entries, Method: "POST", Path: "/dispatch/bookings?WorkMS=10", Pause: 2 * time.Millisecond,
	}
}

var _ = Describe("answers", func() {
	It("are whole and go to the caller who asked, for bodies from 0 bytes to several MB", func() {
		c := serving(2, 2)
		sizes := []int{0, 1, 100, 4 << 10, 64 << 10, 1 << 20, 4 << 20}
		load := posts(12, 0, 1)
		load.Path = "/dispatch/bookings?WorkMS=1"
		load.Body = func(i int) string { return strings.Repeat("x", sizes[i%len(sizes)]) }
		r := c.Start(load)
		time.Sleep(3 * time.Second)
		sent := r.Stop()
		Expect(cfdriver.Tally(sent)).To(HaveLen(1), "%v", cfdriver.Tally(sent))
		Expect(cfdriver.Tally(sent)["Answered"]).To(BeNumerically(">", 50))
		c.CheckCalls(sent)
	})

	DescribeTable("that a target breaks off are not passed on as whole",
		func(how string) {
			c := serving(1, 1)
			r := c.Call(0, "POST", "/dispatch/bookings?Misbehave="+how, "a body of some length", "Call-Key", "k")
			Expect(r.Verdict).To(Equal("Unknown"))
			Expect(r.Status).To(Equal(502))
			Expect(c.Executed()["k"]).To(Equal(1))
		},
		Entry("in a body with a length", "Half"),
		Entry("in a body without a length", "Chunked"),
		Entry("before the first byte", "Reset"),
	)

	It("say NotRun for what cannot be sent", func() {
		c := serving(1, 1)
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
			Expect(c.Executed()[t.name]).To(BeZero())
		}
	})
})

var _ = Describe("overload", func() {
	It("never exceeds a target's slots, and refuses as NotRun only what did not run", func() {
		c := serving(3, 2)
		load := posts(200, 0, 1, 2)
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
			Expect(c.MaxOpen(v)).To(BeNumerically("<=", 8))
		}
	})
})

var _ = DescribeTable("a request that is not idempotent runs at most once",
	func(inject func(c *cfdriver.Cluster)) {
		c := serving(2, 3)
		r := c.Start(posts(16, 0, 1))
		time.Sleep(time.Second)
		inject(c)
		time.Sleep(3 * time.Second)
		sent := r.Stop()
		AddReportEntry("verdicts", fmt.Sprint(cfdriver.Tally(sent)))
		c.CheckCalls(sent)
	},
	Entry("an entry is killed", func(c *cfdriver.Cluster) { c.Entries[0].Kill() }),
	Entry("an agent is killed and comes back", func(c *cfdriver.Cluster) {
		c.VMs[0].Agent.Kill()
		c.VMs[0].Agent.Restart()
	}),
	Entry("a VM dies and is replaced", func(c *cfdriver.Cluster) { c.VMs[0].Die(); c.VMs[0].Replace() }),
	Entry("an agent is frozen and wakes up", func(c *cfdriver.Cluster) {
		c.VMs[0].Agent.Freeze()
		time.Sleep(1500 * time.Millisecond)
		c.VMs[0].Agent.Thaw()
	}),
	Entry("an entry is frozen and wakes up", func(c *cfdriver.Cluster) {
		c.Entries[0].Freeze()
		time.Sleep(1500 * time.Millisecond)
		c.Entries[0].Thaw()
	}),
	Entry("an agent is cut from an entry again and again", func(c *cfdriver.Cluster) {
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
		c := serving(1, 3)
		r := c.Start(posts(12, 0))
		time.Sleep(time.Second)
		c.Entries[0].Proxy.Set(cfdriver.AnySource, cfdriver.SilentOld)
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
	It("give the kept answer through any entry, and never a second run", func() {
		c := serving(2, 2)
		first := c.Call(0, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k1", "Call-Key", "k1")
		Expect(first.Verdict).To(Equal("Answered"))
		c.Eventually(3*time.Second, "the answer is kept", func() bool {
			r := c.Call(1, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k1", "Call-Key", "k1")
			return r.Verdict == "Answered" && r.Body == "flood" && r.Header.Get("Cranberryford-Repeated") == "true"
		})
		other := c.Call(1, "POST", "/dispatch/bookings", "another", "Idempotency-Key", "k1", "Call-Key", "k1")
		Expect(other.Status).To(Equal(422))
		Expect(other.Verdict).To(Equal("NotRun"))
		Expect(c.Executed()["k1"]).To(Equal(1))
	})

	It("run once when many callers send the same key through all entries at once", func() {
		c := serving(3, 2)
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
		Expect(c.Executed()["k2"]).To(Equal(1))
	})

	DescribeTable("hold while the log fails",
		func(f cfstandin.LogControl, first string) {
			c := serving(2, 2)
			c.LogFault(f)
			time.Sleep(300 * time.Millisecond)
			r := c.Call(0, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k3", "Call-Key", "k3")
			Expect(r.Verdict).To(Equal(first))
			again := c.Call(1, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k3", "Call-Key", "k3")
			if again.Verdict == "NotRun" {
				Expect(first).To(Equal("NotRun"))
			}
			c.LogFault(cfstandin.LogControl{})
			c.Eventually(10*time.Second, "the key is answered", func() bool {
				r := c.Call(1, "POST", "/dispatch/bookings", "flood", "Idempotency-Key", "k3", "Call-Key", "k3")
				return r.Verdict == "Answered"
			})
			Expect(c.Executed()["k3"]).To(Equal(1))
		},
		Entry("it is down", cfstandin.LogControl{Fault: cfstandin.LogDown}, "NotRun"),
		Entry("its answers are lost after they took effect", cfstandin.LogControl{Fault: cfstandin.LogLosesAnswers}, "Answered"),
		Entry("it is slow", cfstandin.LogControl{Fault: cfstandin.LogSlow, SlowBy: 200 * time.Millisecond}, "Answered"),
	)

	It("stay unknown when the entry that claimed them dies before it knows the answer", func() {
		c := serving(2, 1)
		done := make(chan cfdriver.Reply, 1)
		go func() {
			done <- c.Call(0, "POST", "/dispatch/bookings?WorkMS=1500", "flood", "Idempotency-Key", "k4", "Call-Key", "k4")
		}()
		c.Eventually(3*time.Second, "the call executes", func() bool { return c.Executed()["k4"] == 1 })
		c.Entries[0].Kill()
		<-done
		for range 3 {
			r := c.Call(1, "POST", "/dispatch/bookings?WorkMS=1500", "flood", "Idempotency-Key", "k4", "Call-Key", "k4")
			Expect(r.Verdict).To(Equal("Unknown"))
		}
		Expect(c.Executed()["k4"]).To(Equal(1))
	})
})

var _ = DescribeTable("a target that leaves, or is gone, gets no new work after a few seconds",
	func(inject func(c *cfdriver.Cluster, v *cfdriver.VMProc), heal func(v *cfdriver.VMProc)) {
		c := serving(2, 3)
		r := c.Start(posts(12, 0, 1))
		time.Sleep(500 * time.Millisecond)
		v := c.VMs[1]
		inject(c, v)
		began := time.Now()
		time.Sleep(leavingBound + 2*time.Second)
		late := r.Stop()
		heal(v)
		time.Sleep(500 * time.Millisecond)
		for _, call := range c.CallsOn(v) {
			Expect(call.At).To(BeTemporally("<", began.Add(leavingBound)), call.Key)
		}
		n := 0
		for _, s := range late {
			if s.At.After(began.Add(leavingBound)) {
				n++
				Expect(s.Verdict).To(Equal("Answered"), "%s %v %s", s.Key, s.Err, s.Body)
			}
		}
		Expect(n).To(BeNumerically(">", 100))
		c.CheckCalls(late)
	},
	Entry("its agent is told to end",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Term() }, func(*cfdriver.VMProc) {}),
	Entry("its agent dies",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Kill() }, func(*cfdriver.VMProc) {}),
	Entry("its agent freezes",
		func(_ *cfdriver.Cluster, v *cfdriver.VMProc) { v.Agent.Freeze() }, func(v *cfdriver.VMProc) { v.Agent.Thaw() }),
	Entry("its worker is drained",
		func(c *cfdriver.Cluster, v *cfdriver.VMProc) { c.Accept(0, cfdriver.Drain(v)) }, func(*cfdriver.VMProc) {}),
)

var _ = DescribeTable("a graceful shutdown cuts off no request in flight",
	func(fresh bool, inject func(c *cfdriver.Cluster)) {
		c := serving(2, 3)
		load := posts(12, 0, 1)
		load.Path = "/dispatch/bookings?WorkMS=100"
		load.Fresh = fresh
		r := c.Start(load)
		time.Sleep(time.Second)
		inject(c)
		time.Sleep(1500 * time.Millisecond)
		sent := r.Stop()
		Expect(cfdriver.Tally(sent)).To(Equal(map[string]int{"Answered": len(sent)}))
		c.CheckCalls(sent)
	},
	Entry("of an agent, with kept connections", false, func(c *cfdriver.Cluster) { c.VMs[0].Agent.Term() }),
	Entry("of an agent, with new connections", true, func(c *cfdriver.Cluster) { c.VMs[0].Agent.Term() }),
	Entry("of a target, by draining its worker", false, func(c *cfdriver.Cluster) { c.Accept(0, cfdriver.Drain(c.VMs[0])) }),
)

var _ = Describe("a graceful shutdown of an entry", func() {
	It("answers all that it has taken, and callers with kept connections turn away", func() {
		c := serving(2, 3)
		load := posts(8, 0)
		load.Path = "/dispatch/bookings?WorkMS=100"
		r := c.Start(load)
		time.Sleep(time.Second)
		c.Entries[0].Term()
		c.Eventually(10*time.Second, "the entry has ended", func() bool {
			ended, _ := c.Entries[0].Exited()
			return ended
		})
		_, code := c.Entries[0].Exited()
		Expect(code).To(Equal(0))
		sent := r.Stop()
		c.CheckCalls(sent)
		for _, s := range sent {
			if s.Err != nil {
				// Only a request that found no one listening may have no answer.
				Expect(s.Err.Error()).To(ContainSubstring("refused"), s.Key)
				Expect(c.Executed()[s.Key]).To(BeZero())
				continue
			}
			Expect(s.Verdict).To(Equal("Answered"))
		}
	})
})

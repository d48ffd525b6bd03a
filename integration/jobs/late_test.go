package jobs

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// lateOrder returns a fault of orders: they get no answer, and each is executed after a
// random delay.
func lateOrder(rng *rand.Rand, minDelay, maxDelay time.Duration) standin.OrderFault {
	return standin.OrderFault{Fault: standin.Late, Delay: minDelay + time.Duration(rng.Int64N(int64(maxDelay-minDelay)))}
}

// delayOrders makes worker 0 execute a share of its orders of one path late until the duration
// d is over.
func (f *fleet) delayOrders(path string, share float64, minDelay, maxDelay, d time.Duration) {
	rng := rand.New(rand.NewPCG(1, 0))
	f.workers[0].SetFault(func(p string) standin.OrderFault {
		if p == path && rng.Float64() < share {
			return lateOrder(rng, minDelay, maxDelay)
		}
		return standin.OrderFault{}
	})
	time.Sleep(d)
	f.workers[0].SetFault(nil)
}

// wideJob is the number of a job whose tasks occupy all workers.
const wideJob = 100000

// submitWideJob submits a job whose tasks take the time spec, and waits until worker 0 runs
// one of them.
func (f *fleet) submitWideJob(spec string) {
	GinkgoHelper()
	// A worker has room for six of the tasks, so that worker 0 gets at least one.
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":13,"cpu":2500,"mem_mb":10,"estimated_ms":2000}]}`, spec)
	Expect(f.submit(wideJob, body)).To(BeTrue())
	Eventually(func() bool {
		for _, r := range f.workers[0].History() {
			if r.EndedAt.IsZero() && r.Task[:len(jobID(wideJob))] == jobID(wideJob) {
				return true
			}
		}
		return false
	}, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
}

// holdOfFormerIncarnation makes calls of /hold late, restarts the worker and starts tasks on
// its next incarnation. It then freezes the agent so that the calls are executed meanwhile.
func holdOfFormerIncarnation(spec string, freezeTime time.Duration) func(f *fleet) {
	return func(f *fleet) {
		f.delayOrders("/hold", 1, 4*time.Second, 5*time.Second, 1500*time.Millisecond)
		f.workers[0].Restart()
		time.Sleep(500 * time.Millisecond)
		f.submitWideJob(spec)
		f.agents[0].signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		f.agents[0].signal(syscall.SIGCONT)
		f.expectCompleted(wideJob, 30*time.Second)
	}
}

// startAfterAbsence makes starts late, and the worker restarts with the same ID while begin and
// end interrupt its agent for a time. The starts are executed after that time.
func startAfterAbsence(begin, end func(p *process), d time.Duration) func(f *fleet) {
	return func(f *fleet) {
		f.delayOrders("/run-start", 1, 9*time.Second, 12*time.Second, 300*time.Millisecond)
		begin(f.agents[0])
		f.workers[0].Restart()
		time.Sleep(d)
		end(f.agents[0])
		time.Sleep(13*time.Second - d)
	}
}

// startAfterTakeover makes starts late, kills the planner, and restarts the worker with the same
// ID once another planner works. The starts are executed after that. begin and end interrupt the
// worker's agent from before the restart until after the starts.
func startAfterTakeover(begin, end func(p *process)) func(f *fleet) {
	return func(f *fleet) {
		f.delayOrders("/run-start", 1, 6*time.Second, 8*time.Second, 300*time.Millisecond)
		p := f.entries[f.awaitPlanner()]
		p.kill()
		Eventually(func() int { return f.countLogged("this entry is the planner") }, 5*time.Second, 20*time.Millisecond).Should(Equal(2))
		time.Sleep(1500 * time.Millisecond)
		p.restart()
		begin(f.agents[0])
		f.workers[0].Restart()
		time.Sleep(6 * time.Second)
		end(f.agents[0])
		time.Sleep(3 * time.Second)
	}
}

// repeatAfterFreeze leaves starts unanswered and does not execute them. The agent freezes before its calls
// time out, and the worker restarts with the same ID. The tasks have ended elsewhere when the agent
// continues.
func repeatAfterFreeze(f *fleet) {
	f.workers[0].SetFault(func(path string) standin.OrderFault {
		if path == "/run-start" {
			return standin.OrderFault{Fault: standin.Silent}
		}
		return standin.OrderFault{}
	})
	time.Sleep(300 * time.Millisecond)
	freeze(f.agents[0])
	f.workers[0].SetFault(nil)
	f.workers[0].Restart()
	time.Sleep(10 * time.Second)
	thaw(f.agents[0])
	time.Sleep(2 * time.Second)
}

// startBeforeNotice restarts the worker, whose next incarnation executes starts that its agent sends before
// it notices the restart. The agent freezes then, and returns before the longest possible lease expires.
func startBeforeNotice(f *fleet) {
	f.workers[0].Restart()
	time.Sleep(30 * time.Millisecond)
	freeze(f.agents[0])
	time.Sleep(9600 * time.Millisecond)
	thaw(f.agents[0])
	time.Sleep(2 * time.Second)
}

func noFault(*process) {}

var _ = DescribeTable("accepted jobs are completed once although a worker executes orders late, when",
	func(fault func(f *fleet)) {
		f := newFleet(3, 3)
		f.checkFaultUnderLoad(func() { fault(f) })
	},
	Entry("the worker restarts twice with the same ID before it executes starts", func(f *fleet) {
		f.delayOrders("/run-start", 1, 4*time.Second, 8*time.Second, 500*time.Millisecond)
		f.workers[0].Restart()
		time.Sleep(1500 * time.Millisecond)
		f.workers[0].Restart()
		time.Sleep(8 * time.Second)
	}),
	Entry("the worker restarts with the same ID before it executes starts that were repeated in time", func(f *fleet) {
		f.delayOrders("/run-start", 0.5, 4*time.Second, 8*time.Second, 500*time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		f.workers[0].Restart()
		time.Sleep(8 * time.Second)
	}),
	Entry("its next incarnation executes holds that extend its leases, and its agent freezes", holdOfFormerIncarnation("12s", 10*time.Second)),
	Entry("its next incarnation executes holds that acknowledge its ends, and its agent freezes", holdOfFormerIncarnation("2s", 10*time.Second)),
	Entry("its next incarnation executes holds that acknowledge its ends, and its agent freezes briefly", holdOfFormerIncarnation("2s", 5*time.Second)),
	Entry("the worker restarts with the same ID and its agent restarts", startAfterAbsence(kill, restart, 500*time.Millisecond)),
	Entry("the worker restarts with the same ID and its agent is down for 8 s", startAfterAbsence(kill, restart, 8*time.Second)),
	Entry("the worker restarts with the same ID and its agent freezes for 8 s", startAfterAbsence(freeze, thaw, 8*time.Second)),
	Entry("the worker restarts with the same ID and its agent freezes before it repeats starts", repeatAfterFreeze),
	Entry("the worker restarts with the same ID and its agent freezes before it notices the restart", startBeforeNotice),
	Entry("the worker is down for 7 s and returns with the same ID", func(f *fleet) {
		f.delayOrders("/run-start", 1, 9*time.Second, 12*time.Second, 300*time.Millisecond)
		f.workers[0].Crash()
		time.Sleep(7 * time.Second)
		f.workers[0].Restart()
		time.Sleep(6 * time.Second)
	}),
	Entry("the planner is killed, and the worker restarts with the same ID", startAfterTakeover(noFault, noFault)),
	Entry("the planner is killed, and the worker restarts with the same ID while its agent freezes", startAfterTakeover(freeze, thaw)),
	Entry("the planner is killed, and the worker restarts with the same ID while its agent is down", startAfterTakeover(kill, restart)),
)

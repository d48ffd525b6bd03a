package jobs

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// newAdvisedFleet starts a fleet with a policy service for its queue. The policy service allows
// the queue's steps on all workers except the first.
func newAdvisedFleet() *fleet {
	f := newFleet(3, 3)
	for i, w := range f.workers {
		w.SetTicketed(true)
		if i > 0 {
			f.advisor.Allowed = append(f.advisor.Allowed, fmt.Sprintf("w-%d", i))
		}
	}
	advice := `"advice":{"decision_ms":20,"interval_ms":1,"validity_ms":1500},"priority":0`
	cfg := strings.Replace(fmt.Sprintf(configFormat, 2), `"priority":0`, advice, 1)
	_, err := f.store.Append(context.Background(), operatorTopic, operatorRecord(cfg), noOptions)
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	return f
}

var _ = DescribeTable("jobs of a queue with a policy service complete on the allowed workers when",
	func(fault func(f *fleet)) {
		f := newAdvisedFleet()
		fault(f)
		body := `{"spec":"300ms","steps":[{"count":4,"cpu":100,"mem_mb":10},{"count":4,"cpu":100,"mem_mb":10,"after":[0]}]}`
		for n := 1; n <= 6; n++ {
			Expect(f.submit(n, body)).To(BeTrue())
			time.Sleep(200 * time.Millisecond)
		}
		for n := 1; n <= 6; n++ {
			f.expectCompleted(n, 15*time.Second)
		}
		Expect(f.workers[0].History()).To(BeEmpty())
		f.expectNoOverlap()
	},
	Entry("it answers", func(*fleet) {}),
	Entry("it is sometimes busy", func(f *fleet) {
		f.advisor.SetFault(func(n int) standin.Fault { return everyNth(n, 3, standin.Busy) })
	}),
	Entry("its responses are slow and some are lost", func(f *fleet) {
		f.advisor.SetFault(func(n int) standin.Fault {
			if n%4 == 0 {
				return standin.Lost
			}
			return standin.Slow
		})
	}),
	Entry("the planner is killed", func(f *fleet) {
		Expect(f.submit(7, oneStep(4, "1s"))).To(BeTrue())
		p := f.entries[f.awaitPlanner()]
		p.signal(syscall.SIGKILL)
		p.session.Wait(5 * time.Second)
		p.restart()
	}),
)

// everyNth returns the fault of request n: the given fault if nth divides n, and otherwise none.
func everyNth(n, nth int, fault standin.Fault) standin.Fault {
	if n%nth == 0 {
		return fault
	}
	return standin.Healthy
}

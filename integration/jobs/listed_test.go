package jobs

import (
	"context"
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// freezePlanner freezes the planner for a time that lets another entry take over, or less.
func freezePlanner(d time.Duration) func(f *fleet) func() {
	return func(f *fleet) func() {
		p := f.entries[f.awaitPlanner()]
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		return func() { p.signal(syscall.SIGCONT) }
	}
}

// cutPlannerFromStore makes the store reject the planner's calls, and only these.
func cutPlannerFromStore(d time.Duration) func(f *fleet) func() {
	return func(f *fleet) func() {
		f.setStoreFaultFor(f.awaitPlanner(), standin.Down)
		time.Sleep(d)
		return func() { f.store.SetFault(alwaysHealthy) }
	}
}

// A worker lists the ends of its runs while the planner cannot record them, and is lost before
// another planner works. The ends count as taken note of 100 ms after their listing.
var _ = DescribeTable("tasks whose ends were listed do not run again, although their worker is lost while",
	func(disrupt func(f *fleet) func(), lose func(f *fleet)) {
		f := newFleet(3, 3)
		const jobs = 4
		for n := range jobs {
			Expect(f.submit(n, `{"spec":"500ms","steps":[{"count":150,"cpu":200,"mem_mb":10,"estimated_ms":500}]}`)).To(BeTrue())
		}
		Eventually(f.workers[0].History, 3*time.Second, 10*time.Millisecond).ShouldNot(BeEmpty())
		end := disrupt(f)
		lose(f)
		time.Sleep(3 * time.Second)
		end()
		for n := range jobs {
			f.expectCompleted(n, 20*time.Second)
		}
		again := standin.RunsAfterListedEnds(f.runs())
		Expect(len(again)).To(BeZero(), fmt.Sprintf("%d tasks, the first ones: %q", len(again), again[:min(2, len(again))]))
	},
	Entry("nothing else happens, by a crash", func(*fleet) func() { time.Sleep(time.Second); return func() {} }, func(f *fleet) { f.replaceWorker(0) }),
	Entry("the planner is frozen, by a crash", freezePlanner(700*time.Millisecond), func(f *fleet) { f.replaceWorker(0) }),
	Entry("the planner is frozen, by a restart with its ID", freezePlanner(700*time.Millisecond), func(f *fleet) { f.workers[0].Restart() }),
	Entry("the planner is frozen, by leaving", freezePlanner(700*time.Millisecond), func(f *fleet) { Expect(f.workers[0].Leave(context.Background())).To(Succeed()) }),
	Entry("the store rejects the planner, by a crash", cutPlannerFromStore(time.Second), func(f *fleet) { f.replaceWorker(0) }),
)

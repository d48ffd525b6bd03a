package cfdispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfcore"
)

// Long-running tasks may fail at any time and never end as done. A worker was quarantined for their
// failures for up to 30 s, and tasks that only fit there stood still.
func TestFailuresOfLongRunningTasksAtWorkDoNotQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		// percent is the progress above 50 that runs report before they fail.
		percent int
		starts  bool
	}{
		"at work":        {percent: 50, starts: true},
		"before at work": {percent: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newPlanner(), "a")
			step := newStep(1, 100)
			step.LongRunning = true
			const jobs = 3
			for i := range jobs {
				f.add(fmt.Sprintf("j%d", i), step)
			}
			f.Expect(f.runPlanner()).To(HaveLen(jobs))
			f.workers["a"].extraPercent = c.percent
			f.report()
			for i := range jobs {
				f.endRuns(fmt.Sprintf("j%d", i), cfcore.EndFailed)
			}
			f.now = f.now.Add(100 * time.Millisecond)
			f.report()
			f.Expect(len(f.runPlanner()) == jobs).To(Equal(c.starts))
		})
	}
}

// A worker that fails new runs must be quarantined although an older long-running task goes on.
func TestLongRunningTaskDoesNotHideFailuresOfOthers(t *testing.T) {
	f := newFleet(t, newPlanner(), "a")
	step := newStep(1, 100)
	step.LongRunning = true
	f.add("watch", step)
	f.runPlanner()
	f.workers["a"].extraPercent = 50
	f.report()
	for i := range 2 {
		f.add(fmt.Sprintf("j%d", i), newStep(1, 100))
	}
	f.Expect(f.runPlanner()).To(HaveLen(2))
	f.endRuns("j0", cfcore.EndFailed)
	f.endRuns("j1", cfcore.EndFailed)
	f.report()
	f.now = f.now.Add(100 * time.Millisecond)
	f.report()
	f.Expect(f.runPlanner()).To(BeEmpty())
}

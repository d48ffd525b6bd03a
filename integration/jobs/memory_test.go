package jobs

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// memoryLimitKB is the memory of the smallest VM that an entry runs on.
const memoryLimitKB = 160 << 10

// peakMemoryKB returns the peak of the resident memory of a process in KB.
func (p *process) peakMemoryKB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.session.Command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			Expect(err).NotTo(HaveOccurred())
			return kb
		}
	}
	Fail("the process has no VmHWM")
	return 0
}

// Each planner in turn created all tasks of all jobs in memory and was killed for it. The jobs
// are on record, so that nothing ran any more.
var _ = DescribeTable("entries stay within their memory and keep tasks running with", func(body string, jobs int) {
	f := newFleet(3, 3)
	Expect(f.submit(1, oneStep(6, untilCancelled))).To(BeTrue())
	Eventually(func() int { return f.runningCount(1) }, 10*time.Second).Should(Equal(6))
	for n := range jobs {
		Expect(f.submit(10+n, body)).To(BeTrue())
	}
	for range 2 {
		Consistently(func() int { return f.runningCount(1) }, 5*time.Second, 100*time.Millisecond).Should(Equal(6))
		for _, e := range f.entries {
			Expect(e.peakMemoryKB()).To(BeNumerically("<", memoryLimitKB))
		}
		// Another entry takes over.
		p := f.entries[f.awaitPlanner()]
		p.kill()
		p.restart()
	}
	for n := range jobs {
		Eventually(func() int {
			status, _ := f.call(n%len(f.entries), http.MethodDelete, queuePrefix+jobID(10+n), "")
			return status
		}, 5*time.Second).Should(Equal(http.StatusOK))
	}
	Expect(f.submit(2, oneStep(3, "10ms"))).To(BeTrue())
	f.expectCompleted(2, 5*time.Second)
	f.expectNoOverlap()
},
	Entry("scheduled jobs with many occurrences", schedule(time.Now().Add(time.Hour), 1_000_000, time.Minute), 12),
	Entry("scheduled jobs that are all due", schedule(time.Now(), 100_000, 0), 12),
	Entry("wide jobs", oneStep(100_000, "50ms"), 12),
	Entry("wide jobs that have to wait", strings.Replace(oneStep(100_000, "50ms"), `"cpu":100`, `"cpu":100,"requirements":"none"`, 1), 12),
)

// chainedJob returns the body of a job with n steps, each of which waits for all earlier ones.
func chainedJob(n int) string {
	var steps, earlier []string
	for i := range n {
		steps = append(steps, fmt.Sprintf(`{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":10,"after":[%s]}`, strings.Join(earlier, ",")))
		earlier = append(earlier, strconv.Itoa(i))
	}
	return `{"spec":"10ms","steps":[` + strings.Join(steps, ",") + `]}`
}

// submitTogether submits n jobs with the same body at the same time, and returns the statuses of the
// answers.
func (f *fleet) submitTogether(n int, body string) []int {
	replies := make(chan int)
	for i := range n {
		go func() {
			defer GinkgoRecover()
			status, _ := f.call(0, http.MethodPost, queuePrefix+jobID(i+1), body)
			replies <- status
		}()
	}
	var statuses []int
	for range n {
		statuses = append(statuses, <-replies)
	}
	return statuses
}

var _ = Describe("large jobs at the same time", func() {
	// All jobs that share an append were refused if they exceeded the limit of a call together.
	It("are accepted", func() {
		f := newFleet(2, 1)
		Expect(f.submitTogether(60, chainedJob(300))).To(HaveEach(http.StatusOK))
	})

	// All requests were read and decoded at the same time, and the memory for a job was compared with a
	// sum from before other jobs were added.
	It("keep entries within their memory", func() {
		f := newFleet(2, 1)
		f.submitTogether(300, chainedJob(340))
		for _, e := range f.entries {
			Expect(e.peakMemoryKB()).To(BeNumerically("<", memoryLimitKB))
		}
	})
})

// schedule returns the body of a job that is due count times from first on.
func schedule(first time.Time, count int, period time.Duration) string {
	return fmt.Sprintf(`{"spec":"50ms","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimated_ms":50}],"repeat_count":%d,"first_run_ms":%d,"period_ms":%d}`,
		count, first.UnixMilli(), period.Milliseconds())
}

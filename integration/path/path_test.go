package path

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
	"cranberryford/pkg/cfstate"
)

var _ = Describe("the whole system", func() {
	It("serves a call, completes each task of a job once and keeps a watch running", func() {
		c := cfdriver.New(cfdriver.Options{Subnet: 10, Entries: 2, VMs: 3})
		c.PlanAndConfirm(0, cfdriver.Intent(cfdriver.Service("dispatch", 2),
			cfdriver.Batch("route-plan", 2, 2*time.Second), cfdriver.Watch("fountains", 1)))

		for entry := range c.Entries {
			c.Eventually(10*time.Second, "a call is answered", func() bool {
				return c.Call(entry, "POST", "/dispatch/bookings", "filter check").Verdict == "Answered"
			})
		}
		r := c.Call(0, "POST", "/dispatch/bookings?Day=2", "filter check")
		Expect(r.Status).To(Equal(200))
		Expect(r.Body).To(Equal("filter check"))

		c.Eventually(15*time.Second, "the job is done", func() bool {
			return c.CountTasks(1, "route-plan", cfstate.TaskDone) == 2
		})
		Expect(c.WorkersRunning("fountains")).To(HaveLen(1))
		Expect(c.CountRuns("route-plan/0", "Done")).To(Equal(1))
		Expect(c.CountRuns("route-plan/1", "Done")).To(Equal(1))
		c.CheckHistory()
	})
})

package integration

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cffold"
)

var _ = Describe("the whole path", func() {
	It("serves a call, completes a job once and keeps a watch running", func() {
		c := newCluster(shape{entries: 2, vms: 3})
		c.accept(0, intent(service("dispatch", 2), batch("route-plan", 2, 2*time.Second), watch("fountains", 1)))

		c.eventually(10*time.Second, "a call is answered", func() bool {
			return c.call(1, "POST", "/dispatch/bookings", "filter check").verdict == "Answered"
		})
		r := c.call(0, "POST", "/dispatch/bookings?Day=2", "filter check")
		Expect(r.status).To(Equal(200))
		Expect(r.body).To(Equal("filter check"))

		c.eventually(15*time.Second, "the job is done", func() bool {
			return c.count(1, "route-plan", cffold.TaskDone) == 2
		})
		Expect(c.running("fountains")).To(HaveLen(1))
		Expect(c.runs("route-plan/0", "Done")).To(Equal(1))
		Expect(c.runs("route-plan/1", "Done")).To(Equal(1))
		c.checkHistory()
	})
})

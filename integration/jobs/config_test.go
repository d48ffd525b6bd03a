package jobs

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// configTime is how long the platform allows until a configuration is in force.
const configTime = 2 * time.Second

// configureWithout writes a configuration whose queue has another prefix: requests for
// the former one are then to be answered with 404.
func (f *fleet) configureWithout(version int) {
	moved := strings.Replace(fmt.Sprintf(config, version), queuePrefix, "/moved/", 1)
	_, err := f.store.Append(context.Background(), operatorTopic, operatorRecord(moved), noOptions)
	Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) knows(entry int) func() int {
	return func() int {
		status, _ := f.call(entry, http.MethodGet, queuePrefix, "")
		return status
	}
}

var _ = DescribeTable("an entry that the store turns away gets a newer configuration from another one:",
	func(planner bool, fault standin.Fault) {
		f := newFleet(3, 1)
		e := f.planner()
		if !planner {
			e = (e + 1) % len(f.entries)
		}
		f.turnAway(e, fault)
		time.Sleep(time.Second)
		f.configureWithout(2)
		begun := time.Now()
		Eventually(f.knows(e), configTime, 20*time.Millisecond).Should(Equal(http.StatusNotFound))
		GinkgoWriter.Printf("in force after %s\n", time.Since(begun))
		f.store.SetFault(healthy)
		Consistently(f.knows(e), time.Second, 50*time.Millisecond).Should(Equal(http.StatusNotFound), "never an older one")
	},
	Entry("a planner, 503", true, standin.Down),
	Entry("a planner, silence", true, standin.Silent),
	Entry("another entry, 503", false, standin.Down),
	Entry("another entry, resets", false, standin.Reset),
	Entry("another entry, silence", false, standin.Silent),
)

var _ = It("gets a large configuration in parts without the store", func() {
	f := newFleet(3, 1)
	e := (f.planner() + 1) % len(f.entries)
	f.turnAway(e, standin.Reset)
	moved := strings.Replace(fmt.Sprintf(config, 2), queuePrefix, "/moved/", 1)
	moved = strings.Replace(moved, "{", `{"Unknown":"`+strings.Repeat("x", 200<<10)+`",`, 1)
	_, err := f.store.Append(context.Background(), operatorTopic, operatorRecord(moved), noOptions)
	Expect(err).NotTo(HaveOccurred())
	Eventually(f.knows(e), configTime, 20*time.Millisecond).Should(Equal(http.StatusNotFound))
})

var _ = It("gets a newer configuration without the store also after the planner that it knew was lost", func() {
	f := newFleet(4, 1)
	p := f.planner()
	e := (p + 1) % len(f.entries)
	f.turnAway(e, standin.Down)
	time.Sleep(time.Second)
	f.entries[p].kill()
	Eventually(func() int { return f.logged("this entry is the planner") }, 8*time.Second, 50*time.Millisecond).Should(Equal(2))
	f.configureWithout(2)
	Eventually(f.knows(e), configTime, 20*time.Millisecond).Should(Equal(http.StatusNotFound))
	f.entries[p].restart()
})

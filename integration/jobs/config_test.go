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

// configBound is a limit that the platform sets. After a configuration has been stored, it must
// be in force at every entry within configBound.
const configBound = 2 * time.Second

// moveQueue stores a configuration in which the queue has another prefix. Once an entry uses
// this configuration, it answers requests to the former prefix with 404.
func (f *fleet) moveQueue(version int) {
	movedConfig := strings.Replace(fmt.Sprintf(configFormat, version), queuePrefix, "/moved/", 1)
	_, err := f.store.Append(context.Background(), operatorTopic, operatorRecord(movedConfig), noOptions)
	Expect(err).NotTo(HaveOccurred())
}

// queueStatus returns a function that requests the queue's state through an entry and returns
// the HTTP status.
func (f *fleet) queueStatus(entry int) func() int {
	return func() int {
		status, _ := f.call(entry, http.MethodGet, queuePrefix, "")
		return status
	}
}

var _ = DescribeTable("an entry that cannot use the store gets a newer configuration from another entry:",
	func(hitsPlanner bool, fault standin.Fault) {
		f := newFleet(3, 1)
		e := f.awaitPlanner()
		if !hitsPlanner {
			e = (e + 1) % len(f.entries)
		}
		f.setStoreFaultFor(e, fault)
		time.Sleep(time.Second)
		f.moveQueue(2)
		start := time.Now()
		Eventually(f.queueStatus(e), configBound, 20*time.Millisecond).Should(Equal(http.StatusNotFound))
		GinkgoWriter.Printf("in force after %s\n", time.Since(start))
		f.store.SetFault(alwaysHealthy)
		Consistently(f.queueStatus(e), time.Second, 50*time.Millisecond).Should(Equal(http.StatusNotFound), "the entry does not return to an older configuration")
	},
	Entry("the planner, 503", true, standin.Down),
	Entry("the planner, no response", true, standin.Silent),
	Entry("another entry, 503", false, standin.Down),
	Entry("another entry, resets", false, standin.Reset),
	Entry("another entry, no response", false, standin.Silent),
)

var _ = It("an entry gets a large configuration in parts without the store", func() {
	f := newFleet(3, 1)
	e := (f.awaitPlanner() + 1) % len(f.entries)
	f.setStoreFaultFor(e, standin.Reset)
	movedConfig := strings.Replace(fmt.Sprintf(configFormat, 2), queuePrefix, "/moved/", 1)
	movedConfig = strings.Replace(movedConfig, "{", `{"Unknown":"`+strings.Repeat("x", 200<<10)+`",`, 1)
	_, err := f.store.Append(context.Background(), operatorTopic, operatorRecord(movedConfig), noOptions)
	Expect(err).NotTo(HaveOccurred())
	Eventually(f.queueStatus(e), configBound, 20*time.Millisecond).Should(Equal(http.StatusNotFound))
})

var _ = It("an entry without the store still gets a newer configuration after the planner that it was connected to is killed", func() {
	f := newFleet(4, 1)
	p := f.awaitPlanner()
	e := (p + 1) % len(f.entries)
	f.setStoreFaultFor(e, standin.Down)
	time.Sleep(time.Second)
	f.entries[p].kill()
	Eventually(func() int { return f.countLogged("this entry is the planner") }, 8*time.Second, 50*time.Millisecond).Should(Equal(2))
	f.moveQueue(2)
	Eventually(f.queueStatus(e), configBound, 20*time.Millisecond).Should(Equal(http.StatusNotFound))
	f.entries[p].restart()
})

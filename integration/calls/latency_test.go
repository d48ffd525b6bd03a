package calls

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/internal/cfdriver"
)

// hopBound is what the way through entry and agent may add to a call, at p50.
const hopBound = time.Millisecond

// median returns the median time of calls that are sent one after the other.
func median(url string) time.Duration {
	const calls, warmUp = 600, 100
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var took []time.Duration
	for i := range calls + warmUp {
		r := cfdriver.Send(client, "POST", url, "a booking")
		Expect(r.Status).To(Equal(200))
		if i >= warmUp {
			took = append(took, r.Took)
		}
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[len(took)/2]
}

var _ = Describe("the way through entry and agent", func() {
	It("adds at most 1 ms to a call, at p50", func() {
		c := serving(1, 1)
		direct := median(fmt.Sprintf("http://%s/", c.TargetsOf(c.VMs[0])[0]))
		through := median(fmt.Sprintf("http://%s/dispatch/", c.Entries[0].Callers))
		AddReportEntry("p50 direct and through", fmt.Sprint(direct, through))
		Expect(through - direct).To(BeNumerically("<=", hopBound))
	})
})

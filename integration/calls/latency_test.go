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

// addedLatencyBound limits the latency that entry and agent add to a call. The added latency is
// the p50 of calls through entry and agent minus the p50 of direct calls to the target.
const addedLatencyBound = time.Millisecond

// medianLatency sends calls to a URL one after another and returns their median latency. The
// first calls are a warm-up and do not count.
func medianLatency(url string) time.Duration {
	const calls, warmUp = 600, 100
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var latencies []time.Duration
	for i := range calls + warmUp {
		r := cfdriver.Send(client, "POST", url, "a booking")
		Expect(r.Status).To(Equal(200))
		if i >= warmUp {
			latencies = append(latencies, r.Took)
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[len(latencies)/2]
}

var _ = Describe("the latency through entry and agent", func() {
	It("is at most 1 ms above that of a direct call, at p50", func() {
		c := newServingCluster(1, 1)
		direct := medianLatency(fmt.Sprintf("http://%s/", c.TargetsOf(c.VMs[0])[0]))
		through := medianLatency(fmt.Sprintf("http://%s/dispatch/", c.Entries[0].Callers))
		AddReportEntry("p50 direct and through entry and agent", fmt.Sprint(direct, through))
		Expect(through - direct).To(BeNumerically("<=", addedLatencyBound))
	})
})

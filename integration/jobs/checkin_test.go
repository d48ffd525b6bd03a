package jobs

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cranberryford/platform/standin"
)

// checkInGap is below the interval of the platform's check-ins, which is 1.5 s.
const checkInGap = 1200 * time.Millisecond

// gateCheckIns makes later workers of an agent check in through a gate. While the gate is closed, the
// agent gets none.
func (f *fleet) gateCheckIns(agent int) (closed *atomic.Bool) {
	closed = &atomic.Bool{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.heartbeatAddrs[agent].String()})
	gate := f.freeAddr(agent + 100)
	f.listen(gate, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if closed.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(rw, r)
	}))
	f.heartbeatAddrs[agent] = gate
	return closed
}

// sendLateCheckIn sends an agent a check-in of a former worker, as soon as the agent accepts it.
func sendLateCheckIn(agent netip.AddrPort, id string, born time.Time) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:1","zone":"z","version":"v1","slots":8,"state":"ready",`+
		`"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"clock_ms":%d,"sequence":1000,"born":%d}`,
		service, time.Since(born).Milliseconds(), born.UnixMilli())
	Eventually(func() int {
		req, err := http.NewRequest(http.MethodPut, "http://"+agent.String()+"/instances/"+id, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}, 5*time.Second, time.Millisecond).Should(Equal(http.StatusOK))
}

// The platform can deliver a check-in of a worker that has crashed after the next one has
// registered. An agent that has restarted took it for that of its worker, and then for gone.
var _ = Describe("a late check-in of a former worker", func() {
	It("does not end the runs of the present one when the agent restarts", func() {
		f := newFleet(3, 3)
		agent := f.heartbeatAddrs[0]
		closed := f.gateCheckIns(0)
		f.replaceWorker(0)
		time.Sleep(time.Second)
		f.submitWideJob("4s")
		closed.Store(true)
		f.agents[0].kill()
		f.agents[0].restart()
		sendLateCheckIn(agent, "w-0", time.Now().Add(-time.Minute))
		time.Sleep(checkInGap)
		closed.Store(false)
		f.expectCompleted(wideJob, 30*time.Second)
		f.expectNoOverlap()
	})
	// One failed call to the present worker then made the agent report the former one.
	DescribeTable("does not end the runs of the present one when calls to it fail",
		func(goodbye bool, age time.Duration) {
			f := newFleet(3, 3)
			f.submitWideJob("5s")
			agent := f.heartbeatAddrs[0]
			if goodbye {
				req, err := http.NewRequest(http.MethodDelete, "http://"+agent.String()+"/instances/w-0", nil)
				Expect(err).NotTo(HaveOccurred())
				resp, err := http.DefaultClient.Do(req)
				Expect(err).NotTo(HaveOccurred())
				_ = resp.Body.Close()
			}
			f.workers[0].SetFault(func(p string) standin.OrderFault {
				if p == "/hold" {
					return standin.OrderFault{Fault: standin.Down}
				}
				return standin.OrderFault{}
			})
			time.Sleep(350 * time.Millisecond)
			sendLateCheckIn(agent, "w-former", time.Now().Add(-age))
			time.Sleep(150 * time.Millisecond)
			f.workers[0].SetFault(nil)
			f.expectCompleted(wideJob, 30*time.Second)
			f.expectNoOverlap()
		},
		Entry("after a goodbye that was not acknowledged or of a former life", true, time.Minute),
		Entry("and the time of day was set back", false, 10*time.Second),
	)
})

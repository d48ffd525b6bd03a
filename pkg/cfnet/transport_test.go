package cfnet_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfnet"
)

// maxWorkerConns is the maximum number of connections that a worker of the platform accepts.
const maxWorkerConns = 64

// A burst of orders to one worker must not exceed the worker's connection limit. Bursts
// occur when the best-effort tasks next to a service are stopped, or a job with many tasks
// starts.
func TestTransportStaysBelowWorkerConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	var open, maxOpen atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(5 * time.Millisecond)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}
	s.Start()
	defer s.Close()
	tr := cfnet.Transport(netip.Addr{})
	defer tr.CloseIdleConnections()
	c := http.Client{Transport: tr}
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range 4 * maxWorkerConns {
		wg.Go(func() {
			resp, err := c.Get(s.URL)
			if err != nil {
				failed.Add(1)
				return
			}
			_ = resp.Body.Close()
		})
	}
	wg.Wait()
	g.Expect(failed.Load()).To(BeZero())
	g.Expect(maxOpen.Load()).To(BeNumerically("<=", maxWorkerConns/2), "half of the worker's connections are left for other clients")
}

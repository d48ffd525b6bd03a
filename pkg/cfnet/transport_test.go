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

// platformCap is the number of connections that a worker of the platform takes.
const platformCap = 64

// The load: orders to one worker in a wave, as when the fillers beside a service are
// halted, or a wide job starts.
func TestTransportStaysBelowTheConnectionsThatAWorkerTakes(t *testing.T) {
	g := NewWithT(t)
	var open, most atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(5 * time.Millisecond)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			most.Store(max(most.Load(), open.Add(1)))
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
	for range 4 * platformCap {
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
	g.Expect(most.Load()).To(BeNumerically("<=", platformCap/2), "room for the worker's other callers")
}

package cfnet_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfnet"
)

// testServer is an HTTP server with a drainer. Its handler takes 100 ms. The tests drain
// the server while its connections are at different stages of a request.
type testServer struct {
	*WithT
	t       *testing.T
	addr    string
	drainer *cfnet.Drainer
}

func newTestServer(t *testing.T) *testServer {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	})}
	drainer := cfnet.NewDrainer(s, l, clockwork.NewRealClock())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() { _ = s.Close(); <-served })
	return &testServer{WithT: g, t: t, addr: l.Addr().String(), drainer: drainer}
}

func (ts *testServer) dial() net.Conn {
	c, err := net.Dial("tcp", ts.addr)
	ts.Expect(err).NotTo(HaveOccurred())
	ts.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (ts *testServer) send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	ts.Expect(err).NotTo(HaveOccurred())
}

// expectAnswer expects a complete response with the header "Connection: close".
func (ts *testServer) expectAnswer(c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	ts.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	ts.Expect(err).NotTo(HaveOccurred())
	ts.Expect(string(body)).To(Equal("answer"))
	ts.Expect(resp.Close).To(BeTrue())
}

const (
	requestStart = "POST / HTTP/1.1\r\nHost: x\r\n"
	requestEnd   = "Content-Length: 0\r\n\r\n"
	// arrivalDelay is the time allowed for sent data to reach the server.
	arrivalDelay = 30 * time.Millisecond
)

func TestDrainAnswersRequestsOnAcceptedConnections(t *testing.T) {
	for name, c := range map[string]struct{ before, after string }{
		"a request with a running handler":              {before: requestStart + requestEnd},
		"a partly received request":                     {before: requestStart, after: requestEnd},
		"a request sent just after the drain has begun": {after: requestStart + requestEnd},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t)
			conn := ts.dial()
			ts.send(conn, c.before)
			time.Sleep(arrivalDelay)
			drained := make(chan error, 1)
			go func() { drained <- ts.drainer.Drain(context.Background()) }()
			time.Sleep(arrivalDelay)
			ts.send(conn, c.after)
			ts.expectAnswer(conn)
			ts.Expect(<-drained).To(Succeed())
			_, err := net.Dial("tcp", ts.addr)
			ts.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
		})
	}
}

func TestDrainDoesNotWaitForIdleConnections(t *testing.T) {
	ts := newTestServer(t)
	ts.dial()
	keptAlive := ts.dial()
	ts.send(keptAlive, requestStart+requestEnd)
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	ts.Expect(ts.drainer.Drain(context.Background())).To(Succeed())
	ts.Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
}

func TestDrainEndsWhenContextIsDone(t *testing.T) {
	ts := newTestServer(t)
	ts.send(ts.dial(), requestStart+requestEnd)
	time.Sleep(arrivalDelay)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	ts.Expect(ts.drainer.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
}

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

// drained is a server that is drained, or shut down, while its connections are at some
// point of a request.
type drained struct {
	*WithT
	t    *testing.T
	addr string
	d    *cfnet.Drainer
}

func newDrained(t *testing.T) *drained {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	})}
	d := cfnet.NewDrainer(s, l, clockwork.NewRealClock())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() { _ = s.Close(); <-served })
	return &drained{WithT: g, t: t, addr: l.Addr().String(), d: d}
}

func (d *drained) dial() net.Conn {
	c, err := net.Dial("tcp", d.addr)
	d.Expect(err).NotTo(HaveOccurred())
	d.t.Cleanup(func() { _ = c.Close() })
	return c
}

func (d *drained) send(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	d.Expect(err).NotTo(HaveOccurred())
}

// answered expects a whole answer that tells the caller to turn away.
func (d *drained) answered(c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	d.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(string(body)).To(Equal("answer"))
	d.Expect(resp.Close).To(BeTrue())
}

const (
	requestBegin = "POST / HTTP/1.1\r\nHost: x\r\n"
	requestEnd   = "Content-Length: 0\r\n\r\n"
	// arrival is the time until what was sent has been read.
	arrival = 30 * time.Millisecond
)

func TestDrainAnswersWhatItHasTaken(t *testing.T) {
	for name, c := range map[string]struct{ before, after string }{
		"a request whose handler runs":            {before: requestBegin + requestEnd},
		"a request that has come in part":         {before: requestBegin, after: requestEnd},
		"a connection that brings one just after": {after: requestBegin + requestEnd},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDrained(t)
			conn := d.dial()
			d.send(conn, c.before)
			time.Sleep(arrival)
			ended := make(chan error, 1)
			go func() { ended <- d.d.Drain(context.Background()) }()
			time.Sleep(arrival)
			d.send(conn, c.after)
			d.answered(conn)
			d.Expect(<-ended).To(Succeed())
			_, err := net.Dial("tcp", d.addr)
			d.Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeTrue(), "%v", err)
		})
	}
}

func TestDrainDoesNotWaitForConnectionsWithoutARequest(t *testing.T) {
	d := newDrained(t)
	d.dial()
	kept := d.dial()
	d.send(kept, requestBegin+requestEnd)
	time.Sleep(200 * time.Millisecond)
	begun := time.Now()
	d.Expect(d.d.Drain(context.Background())).To(Succeed())
	d.Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
}

func TestDrainEndsInTime(t *testing.T) {
	d := newDrained(t)
	d.send(d.dial(), requestBegin+requestEnd)
	time.Sleep(arrival)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	d.Expect(d.d.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
}

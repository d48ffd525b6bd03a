package cfwire_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// acceptor accepts connections and reports the outcomes of their handshakes.
func acceptor(t *testing.T) (netip.AddrPort, cfwire.Options, <-chan error) {
	t.Helper()
	codec, err := cfrecord.NewCodec()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	o := cfwire.Options{Codec: codec, Clock: clockwork.NewRealClock(), Key: cfwire.NewKey([]byte("key")), Self: cfwire.Peer{Role: cfwire.RoleEntry, Name: "e"}}
	outcome := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(context.Background(), w, r, o)
		outcome <- err
		if err != nil {
			return
		}
		defer closeConn()
		_, _ = conn.Receive(r.Context())
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String()), o, outcome
}

// A peer that has not proved that it has the key must not make a process use a lot of
// memory, or keep it from accepting others.
func TestMalformedChallenges(t *testing.T) {
	starts := append([]byte{0xa1, 0x69}, "JobOrders"...)
	starts = append(starts, 0xa1, 0x66)
	starts = append(append(starts, "Starts"...), 0x9a, 0, 0x1e, 0x84, 0x80)
	for name, message := range map[string][]byte{
		"deeply nested":          append(bytes.Repeat([]byte{0x81}, 100_000), 0),
		"endless lists":          bytes.Repeat([]byte{0x9f}, 100_000),
		"list of 2^60":           {0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0},
		"not CBOR":               {0xff},
		"empty":                  {},
		"2,000,000 empty starts": append(starts, bytes.Repeat([]byte{0xa0}, 2_000_000)...),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			addr, o, outcome := acceptor(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			ws, resp, err := websocket.Dial(ctx, "ws://"+addr.String()+cfwire.Path, nil)
			g.Expect(err).NotTo(HaveOccurred())
			if resp.Body != nil {
				_ = resp.Body.Close()
			}
			defer func() { _ = ws.CloseNow() }()
			_ = ws.Write(ctx, websocket.MessageBinary, message)
			g.Eventually(outcome, "5s").Should(Receive(HaveOccurred()))
			runtime.ReadMemStats(&after)
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 16<<20))
			conn, closeConn, err := cfwire.Dial(ctx, addr, o)
			g.Expect(err).NotTo(HaveOccurred())
			defer closeConn()
			g.Expect(conn.Send(&cfwire.Message{Heartbeat: &cfwire.Heartbeat{}})).To(Succeed())
			g.Eventually(outcome, "5s").Should(Receive(BeNil()))
		})
	}
}

// Messages after the handshake can be larger than a challenge.
func TestLargeMessagesAfterHandshake(t *testing.T) {
	g := NewWithT(t)
	codec, err := cfrecord.NewCodec()
	g.Expect(err).NotTo(HaveOccurred())
	o := cfwire.Options{Codec: codec, Clock: clockwork.NewRealClock(), Self: cfwire.Peer{Role: cfwire.RoleEntry, Name: "e"}}
	size := make(chan int, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(context.Background(), w, r, o)
		if err != nil {
			return
		}
		defer closeConn()
		if m, err := conn.Receive(r.Context()); err == nil && m.JobConfig != nil {
			size <- len(m.JobConfig.Part)
		}
	}))
	defer s.Close()
	conn, closeConn, err := cfwire.Dial(t.Context(), netip.MustParseAddrPort(s.Listener.Addr().String()), o)
	g.Expect(err).NotTo(HaveOccurred())
	defer closeConn()
	g.Expect(conn.Send(&cfwire.Message{JobConfig: &cfwire.JobConfig{Part: make([]byte, 8<<20)}})).To(Succeed())
	g.Eventually(size, "10s").Should(Receive(Equal(8 << 20)))
}

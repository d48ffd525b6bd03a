package cfjobentry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cranberryford/pkg/cfcommon"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfrecord"
	"cranberryford/pkg/cfwire"
)

// otherEntry is a stand-in for an entry that appends records for another one.
type otherEntry struct {
	g    *WithT
	opts cfwire.Options
}

// connect returns a connection to the other entry. The other entry calls answer for each
// append request. If answer is nil, it closes the connection at the first request.
func (o *otherEntry) connect(t *testing.T, answer func(*cfwire.JobAppend)) *cfwire.Conn {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, closeConn, err := cfwire.Accept(context.Background(), w, r, o.opts)
		if err != nil {
			return
		}
		defer closeConn()
		for {
			m, err := conn.Receive(context.Background())
			if err != nil {
				return
			}
			if m.JobAppend == nil {
				continue
			}
			if answer == nil {
				return
			}
			answer(m.JobAppend)
		}
	}))
	t.Cleanup(s.Close)
	conn, closeConn, err := cfwire.Dial(context.Background(), netip.MustParseAddrPort(s.Listener.Addr().String()), o.opts)
	o.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(closeConn)
	return conn
}

// All connections of an entry end when the planner changes. An append in flight must
// continue over the connections that follow.
func TestAppendContinuesAfterConnectionLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		// failure is the second entry's answer; if empty, it has added the records. kind is
		// the kind of the error expected from the append; if empty, the append succeeds.
		failure cfcore.StoreKind
		kind    cfcore.StoreKind
	}{
		{name: "the second entry adds the records"},
		{name: "the second entry rejects the records", failure: cfcore.StoreRejected, kind: cfcore.StoreOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			codec, err := cfrecord.NewCodec()
			g.Expect(err).NotTo(HaveOccurred())
			clock := clockwork.NewRealClock()
			o := &otherEntry{g: g, opts: cfwire.Options{Codec: codec, Clock: clock, Self: cfwire.Peer{Role: cfwire.RolePeer, Name: "x"}}}
			r := newRelay(&Entry{Common: &cfcommon.Common{Log: zerolog.Nop(), Clock: clock, Scope: tally.NoopScope, Codec: codec}})

			first := o.connect(t, nil)
			removeFirst := r.addConn(first)
			second := o.connect(t, func(m *cfwire.JobAppend) {
				r.handleAppendAnswer(&cfwire.JobAppendAnswer{Seq: m.Seq, Failure: c.failure})
			})
			go func() {
				_, _ = first.Receive(context.Background())
				removeFirst()
				r.addConn(second)
			}()
			err = r.append(context.Background(), []cfcore.KeyedRecord{{Key: "k", Value: []byte("v")}})
			if c.kind == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(cferror.Is(err, c.kind)).To(BeTrue(), "%v", err)
		})
	}
}

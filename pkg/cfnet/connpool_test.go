package cfnet_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfnet"
)

const (
	silentConns    = 20
	requestTimeout = 200 * time.Millisecond
)

// After all open connections had become silent, requests tried the idle ones one after the other,
// each up to its timeout, until leases had expired.
func TestSilentConnectionsAreDroppedTogether(t *testing.T) {
	for name, c := range map[string]struct {
		// cancel is set if the caller of the first request cancels it.
		cancel bool
		// midAnswer is set if the connections become silent in the middle of an answer.
		midAnswer bool
		dropped   bool
	}{
		"no answer":                     {dropped: true},
		"half an answer":                {midAnswer: true, dropped: true},
		"the caller cancels a request":  {cancel: true},
		"and cancels it in the middle ": {cancel: true, midAnswer: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := &cfstandin.Silencer{}
			var arrived sync.WaitGroup
			arrived.Add(silentConns)
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/together":
					arrived.Done()
					arrived.Wait()
				case "/half":
					_, _ = io.WriteString(w, "half")
					w.(http.Flusher).Flush()
					l.Silence()
				}
				_, _ = io.WriteString(w, "whole")
			}))
			l.Listener = s.Listener
			s.Listener = l
			s.Start()
			pool := cfnet.Transport(netip.Addr{})
			// The connections that are silent keep the server from closing.
			t.Cleanup(func() { pool.CloseIdleConnections(); s.CloseClientConnections(); s.Close() })
			get := func(path string, cancelled bool) error {
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				defer cancel()
				if cancelled {
					time.AfterFunc(requestTimeout/2, cancel)
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+path, nil)
				g.Expect(err).NotTo(HaveOccurred())
				resp, err := pool.RoundTrip(req)
				if err != nil {
					return err
				}
				defer func() { _ = resp.Body.Close() }()
				_, err = io.ReadAll(resp.Body)
				return err
			}
			var wg sync.WaitGroup
			for range silentConns {
				wg.Go(func() { _ = get("/together", false) })
			}
			wg.Wait()
			g.Expect(l.Accepted()).To(Equal(silentConns))

			path := "/"
			if c.midAnswer {
				path = "/half"
			} else {
				l.Silence()
			}
			g.Expect(get(path, c.cancel)).NotTo(Succeed())
			if c.dropped {
				g.Expect(get("/", false)).To(Succeed())
				return
			}
			g.Expect(get("/", false)).NotTo(Succeed(), "the connections are kept until a request times out")
			g.Expect(get("/", false)).To(Succeed())
		})
	}
}

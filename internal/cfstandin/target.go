package cfstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cfcore"
)

// TargetSettings describes a target and how it answers calls.
type TargetSettings struct {
	Service     string
	Slots       int
	Connections int
	// Work is how long a call executes if its query parameter WorkMS does not say otherwise.
	Work time.Duration
	// Agent is the address at which the target announces itself.
	Agent netip.AddrPort
	// Every is the interval between announcements.
	Every time.Duration
	// Name is sent in the header Target of each response.
	Name string
	// Record, if not nil, is called with each call when the call starts to execute.
	Record func(Call)
}

// Call is one call that a target executed. At is when the execution started, and Key is the
// value of the header Call-Key.
type Call struct {
	At   time.Time
	Key  string
	Path string
}

// Target is a fake of a service process. It echoes the request body, sends the name from its
// settings in the header Target, and records the calls that it executes.
type Target struct {
	settings TargetSettings
	clock    clockwork.Clock
	addr     netip.AddrPort
	server   *http.Server

	inFlight    atomic.Int64
	maxInFlight atomic.Int64
	mu          sync.Mutex
	calls       []Call
}

// StartTarget starts a target on a free loopback port. The target announces itself to the
// agent. The returned function stops the target.
func StartTarget(ctx context.Context, s TargetSettings, clock clockwork.Clock) (*Target, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	t := &Target{settings: s, clock: clock, addr: netip.MustParseAddrPort(l.Addr().String())}
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serveCall)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go t.announceLoop(ctx, done)
	return t, func() { cancel(); <-done; _ = t.server.Close() }, nil
}

// Addr returns the address of the target.
func (t *Target) Addr() netip.AddrPort { return t.addr }

// Calls returns the calls that the target executed.
func (t *Target) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Call{}, t.calls...)
}

// MaxInFlight returns the largest number of calls that the target executed concurrently.
func (t *Target) MaxInFlight() int { return int(t.maxInFlight.Load()) }

// announceLoop announces the target at intervals until ctx is cancelled. It then announces
// that the target is leaving, and closes done.
func (t *Target) announceLoop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	tick := t.clock.NewTicker(t.settings.Every)
	defer tick.Stop()
	for {
		t.announce(ctx, false)
		select {
		case <-ctx.Done():
			leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			t.announce(leaveCtx, true)
			cancel()
			return
		case <-tick.Chan():
		}
	}
}

func (t *Target) announce(ctx context.Context, leaving bool) {
	body, err := json.Marshal(cfcore.Target{
		Service: t.settings.Service, Address: t.addr,
		Slots: t.settings.Slots, Connections: t.settings.Connections, Leaving: leaving,
	})
	if err != nil {
		return
	}
	url := fmt.Sprintf("http://%s/targets", t.settings.Agent)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return // The agent is possibly not up yet. The next tick retries.
	}
	_ = resp.Body.Close()
}

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	n := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	for old := t.maxInFlight.Load(); n > old && !t.maxInFlight.CompareAndSwap(old, n); old = t.maxInFlight.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.recordCall(Call{At: t.clock.Now(), Key: r.Header.Get("Call-Key"), Path: r.URL.Path})
	if work := workDuration(r, t.settings.Work); work > 0 {
		t.clock.Sleep(work)
	}
	if t.writeBrokenResponse(w, r, body) {
		return
	}
	w.Header().Set("Target", t.settings.Name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// recordCall stores a call and passes it to the function settings.Record.
func (t *Target) recordCall(c Call) {
	if t.settings.Record != nil {
		t.settings.Record(c)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

// writeBrokenResponse closes the connection too early if the request has the query parameter
// Misbehave, and reports whether it did. With the value "Half", it first sends half of a body
// with a Content-Length. With "Chunked", it first sends half of a chunked body. With "Reset" or
// any other value, it sends nothing.
func (t *Target) writeBrokenResponse(w http.ResponseWriter, r *http.Request, body []byte) bool {
	kind := r.URL.Query().Get("Misbehave")
	if kind == "" {
		return false
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	half := body[:len(body)/2]
	switch kind {
	case "Half":
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half)
	case "Chunked":
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
	}
	_ = buf.Flush()
	return true
}

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

// TargetSettings say how a target answers.
type TargetSettings struct {
	Service     string
	Slots       int
	Connections int
	// Work is how long one call executes.
	Work time.Duration
	// Agent is where the target announces itself.
	Agent netip.AddrPort
	// Every is how often it does.
	Every time.Duration
	// Name is put into each answer.
	Name string
	// Record is given each call when it begins to execute; it may be nil.
	Record func(Call)
}

// Call is one line of a target's record of what it executed.
type Call struct {
	At   time.Time
	Key  string
	Path string
}

// Target is a process that answers callers: it gives back the request's body
// behind its own name, and records what it executed.
type Target struct {
	settings TargetSettings
	clock    clockwork.Clock
	addr     netip.AddrPort
	server   *http.Server

	open    atomic.Int64
	maxOpen atomic.Int64
	mu      sync.Mutex
	calls   []Call
}

// StartTarget starts a target on a free port of loopback and announces it. The
// clean-up function ends it.
func StartTarget(ctx context.Context, s TargetSettings, clock clockwork.Clock) (*Target, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	t := &Target{settings: s, clock: clock, addr: netip.MustParseAddrPort(l.Addr().String())}
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serve)
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go t.announceLoop(ctx, done)
	return t, func() { cancel(); <-done; _ = t.server.Close() }, nil
}

// Addr returns where the target answers.
func (t *Target) Addr() netip.AddrPort { return t.addr }

// Calls returns what the target executed.
func (t *Target) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Call{}, t.calls...)
}

// MaxOpen returns the largest number of calls that executed at the same time.
func (t *Target) MaxOpen() int { return int(t.maxOpen.Load()) }

func (t *Target) announceLoop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	tick := t.clock.NewTicker(t.settings.Every)
	defer tick.Stop()
	for {
		t.announce(ctx, false)
		select {
		case <-ctx.Done():
			leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			t.announce(leave, true)
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
		return // The agent may not be up yet; the next tick tries again.
	}
	_ = resp.Body.Close()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	n := t.open.Add(1)
	defer t.open.Add(-1)
	for old := t.maxOpen.Load(); n > old && !t.maxOpen.CompareAndSwap(old, n); old = t.maxOpen.Load() {
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.note(Call{At: t.clock.Now(), Key: r.Header.Get("Call-Key"), Path: r.URL.Path})
	if work := workOf(r, t.settings.Work); work > 0 {
		t.clock.Sleep(work)
	}
	if t.misbehave(w, r, body) {
		return
	}
	w.Header().Set("Target", t.settings.Name)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (t *Target) note(c Call) {
	if t.settings.Record != nil {
		t.settings.Record(c)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

// misbehave answers as the query asks for, and reports whether it did:
// Misbehave=Half breaks off in the body, Reset before the answer, Chunked in a
// body without a length.
func (t *Target) misbehave(w http.ResponseWriter, r *http.Request, body []byte) bool {
	how := r.URL.Query().Get("Misbehave")
	if how == "" {
		return false
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	half := body[:len(body)/2]
	switch how {
	case "Half":
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half)
	case "Chunked":
		_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
	}
	_ = buf.Flush()
	return true
}

// Package cfstandin provides in-memory fakes of the scheduler's environment for the demo
// and the tests: the platform's log and store, workers, and targets. Tests can inject
// faults into the log, the workers and the targets.
package cfstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cflog"
)

// LogFault is a fault injected into the log.
type LogFault string

const (
	// LogHealthy injects no fault.
	LogHealthy LogFault = ""
	// LogDown rejects every request.
	LogDown LogFault = "Down"
	// LogDropsAnswers stores appends but answers them with an error.
	LogDropsAnswers LogFault = "LosesAnswers"
	// LogSlow delays every request by SlowBy.
	LogSlow LogFault = "Slow"
)

// LogControl is a request that sets the log's fault and retention.
type LogControl struct {
	Fault LogFault
	// SlowBy is the delay of each request under the fault LogSlow.
	SlowBy time.Duration
	// Keep is the number of entries retained per stream; zero retains all.
	Keep int
}

// maxPageEntries is the largest number of entries in the response to one read.
const maxPageEntries = 2000

// LogServer is an in-memory fake of the platform's log.
type LogServer struct {
	clock clockwork.Clock

	mu      sync.Mutex
	streams map[string]*stream
	control LogControl
	// appends counts the entries appended to all streams.
	appends int
}

// stream is one named log stream.
type stream struct {
	// firstOffset is the offset of the oldest entry retained. In an empty stream, it is the
	// offset that the first entry gets.
	firstOffset cfcore.Offset
	entries     []cfcore.LogEntry
	// appended is closed and replaced on each append, which wakes waiting readers.
	appended chan struct{}
}

// NewLogServer returns an empty log.
func NewLogServer(clock clockwork.Clock) *LogServer {
	return &LogServer{clock: clock, streams: map[string]*stream{}}
}

// Handler returns the log's HTTP API with further requests for tests. These set the fault and
// the retention, or return the number of appends.
func (p *LogServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/entries", p.serveAppend)
	mux.HandleFunc("GET /streams/{name}/entries", p.serveRead)
	mux.HandleFunc("POST /control", p.serveControl)
	mux.HandleFunc("GET /appends", p.serveAppends)
	return mux
}

// SetControl sets the fault and the retention, and drops the entries beyond the retention.
func (p *LogServer) SetControl(c LogControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
	for _, s := range p.streams {
		s.trim(c.Keep)
	}
}

// Appends returns the number of entries appended to all streams so far.
func (p *LogServer) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *LogServer) serveAppends(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Appends())
}

func (p *LogServer) serveControl(w http.ResponseWriter, r *http.Request) {
	var c LogControl
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetControl(c)
	writeJSON(w, struct{}{})
}

// stream returns the named stream and creates it if needed. The caller holds p.mu.
func (p *LogServer) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{firstOffset: 1, appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// nextOffset returns the offset of the next entry appended.
func (s *stream) nextOffset() cfcore.Offset { return s.firstOffset + cfcore.Offset(len(s.entries)) }

// trim drops the oldest entries until at most keep remain. With a keep of zero it drops none.
func (s *stream) trim(keep int) {
	if keep <= 0 || len(s.entries) <= keep {
		return
	}
	n := len(s.entries) - keep
	s.firstOffset += cfcore.Offset(n)
	s.entries = append([]cfcore.LogEntry{}, s.entries[n:]...)
}

// applyFault applies LogDown and LogSlow to a request. It returns the current control
// settings, from which serveAppend applies LogDropsAnswers. The second result is true if
// applyFault has written the response.
func (p *LogServer) applyFault(w http.ResponseWriter) (LogControl, bool) {
	p.mu.Lock()
	c := p.control
	p.mu.Unlock()
	switch c.Fault {
	case LogDown:
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return c, true
	case LogSlow:
		p.clock.Sleep(c.SlowBy)
	}
	return c, false
}

func (p *LogServer) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, handled := p.applyFault(w)
	if handled {
		return
	}
	off := p.append(r.PathValue("name"), data)
	if c.Fault == LogDropsAnswers {
		http.Error(w, "the answer is lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, cflog.Appended{Offset: off})
}

func (p *LogServer) append(name string, data []byte) cfcore.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	off := s.nextOffset()
	s.entries = append(s.entries, cfcore.LogEntry{Offset: off, Data: data})
	s.trim(p.control.Keep)
	p.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	return off
}

func (p *LogServer) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("Wait"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, handled := p.applyFault(w); handled {
		return
	}
	page, appended := p.page(r.PathValue("name"), cfcore.Offset(from))
	if len(page.Entries) == 0 && wait > 0 {
		select {
		case <-appended:
		case <-p.clock.After(wait):
		case <-r.Context().Done():
		}
		if _, handled := p.applyFault(w); handled {
			return
		}
		page, _ = p.page(r.PathValue("name"), cfcore.Offset(from))
	}
	writeJSON(w, page)
}

// page returns up to maxPageEntries entries from an offset on, and a channel that is closed
// on the stream's next append.
func (p *LogServer) page(name string, from cfcore.Offset) (cfcore.LogPage, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := cfcore.LogPage{First: s.firstOffset, Next: s.nextOffset()}
	from = max(from, s.firstOffset)
	if from < s.nextOffset() {
		tail := s.entries[from-s.firstOffset:]
		page.Entries = tail[:min(len(tail), maxPageEntries)]
	}
	return page, s.appended
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the connection broke, which the client detects itself.
	_ = json.NewEncoder(w).Encode(v)
}

// Package cfstandin holds small stand-ins for what the scheduler meets outside:
// the platform's log, its workers and the targets on them. They serve the demo
// and the tests, and can be told to fail.
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

// LogFault is a way in which the log fails.
type LogFault string

// The faults of the log.
const (
	// LogHealthy is no fault.
	LogHealthy LogFault = ""
	// LogDown refuses every request.
	LogDown LogFault = "Down"
	// LogLosesAnswers takes appends and answers them with an error.
	LogLosesAnswers LogFault = "LosesAnswers"
	// LogSlow delays every request by SlowBy.
	LogSlow LogFault = "Slow"
)

// LogControl is the request that sets a fault, or the retention.
type LogControl struct {
	Fault  LogFault
	SlowBy time.Duration
	// Keep is the number of entries kept per stream; zero keeps all.
	Keep int
}

// maxPageEntries bounds the entries of one answer.
const maxPageEntries = 2000

// Platform is the platform's log in memory.
type Platform struct {
	clock clockwork.Clock

	mu      sync.Mutex
	streams map[string]*stream
	control LogControl
	// Appends counts the entries added.
	appends int
}

type stream struct {
	first   cfcore.Offset
	entries []cfcore.LogEntry
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// NewPlatform returns an empty log.
func NewPlatform(clock clockwork.Clock) *Platform {
	return &Platform{clock: clock, streams: map[string]*stream{}}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/entries", p.serveAppend)
	mux.HandleFunc("GET /streams/{name}/entries", p.serveRead)
	mux.HandleFunc("POST /control", p.serveControl)
	mux.HandleFunc("GET /appends", p.serveAppends)
	return mux
}

// Control sets a fault.
func (p *Platform) Control(c LogControl) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control = c
	for _, s := range p.streams {
		s.trim(c.Keep)
	}
}

// Appends returns how many entries were added.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) serveAppends(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Appends())
}

func (p *Platform) serveControl(w http.ResponseWriter, r *http.Request) {
	var c LogControl
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Control(c)
	writeJSON(w, struct{}{})
}

func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = &stream{first: 1, grown: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (s *stream) next() cfcore.Offset { return s.first + cfcore.Offset(len(s.entries)) }

func (s *stream) trim(keep int) {
	if keep <= 0 || len(s.entries) <= keep {
		return
	}
	n := len(s.entries) - keep
	s.first += cfcore.Offset(n)
	s.entries = append([]cfcore.LogEntry{}, s.entries[n:]...)
}

// fail carries out the fault that is set, and reports whether the request ends.
func (p *Platform) fail(w http.ResponseWriter) (LogControl, bool) {
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

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, ended := p.fail(w)
	if ended {
		return
	}
	off := p.append(r.PathValue("name"), data)
	if c.Fault == LogLosesAnswers {
		http.Error(w, "the answer is lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, cflog.Appended{Offset: off})
}

func (p *Platform) append(name string, data []byte) cfcore.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	off := s.next()
	s.entries = append(s.entries, cfcore.LogEntry{Offset: off, Data: data})
	s.trim(p.control.Keep)
	p.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return off
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
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
	if _, ended := p.fail(w); ended {
		return
	}
	page, grown := p.page(r.PathValue("name"), cfcore.Offset(from))
	if len(page.Entries) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-p.clock.After(wait):
		case <-r.Context().Done():
		}
		if _, ended := p.fail(w); ended {
			return
		}
		page, _ = p.page(r.PathValue("name"), cfcore.Offset(from))
	}
	writeJSON(w, page)
}

func (p *Platform) page(name string, from cfcore.Offset) (cfcore.LogPage, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := cfcore.LogPage{First: s.first, Next: s.next()}
	from = max(from, s.first)
	if from < s.next() {
		list := s.entries[from-s.first:]
		page.Entries = list[:min(len(list), maxPageEntries)]
	}
	return page, s.grown
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client finds out about a connection that broke by itself.
	_ = json.NewEncoder(w).Encode(v)
}

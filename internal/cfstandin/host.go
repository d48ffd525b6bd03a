package cfstandin

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cfcore"
)

// HostSettings say what a VM with its worker and targets is.
type HostSettings struct {
	Name  string
	Agent netip.AddrPort
	VM    VMSettings
	// Target is what the targets of services on this VM are like.
	Target TargetSettings
	// Record is given each line of the worker's history; it may be nil.
	Record func(HistoryLine)
}

// Host is a VM: a worker that starts a target for each service task that runs.
type Host struct {
	settings HostSettings
	clock    clockwork.Clock
	vm       *VM

	mu      sync.Mutex
	targets map[string]*Target
	calls   []Call
	maxOpen int
}

// NewHost returns a VM with nothing on it.
func NewHost(s HostSettings, clock clockwork.Clock) *Host {
	h := &Host{settings: s, clock: clock, targets: map[string]*Target{}}
	h.vm = NewVM(s.VM, clock, RunHooks{Begin: h.begin, Record: s.Record})
	return h
}

// VM returns the worker.
func (h *Host) VM() *VM { return h.vm }

// Run lets the worker's runs progress until the context ends.
func (h *Host) Run(ctx context.Context) { h.vm.Run(ctx.Done()) }

// Handler returns the worker's interface, and what the targets executed.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h.vm.Handler())
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Calls()) })
	mux.HandleFunc("GET /targets", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Targets()) })
	mux.HandleFunc("GET /max-open", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.MaxOpen()) })
	handle(mux, "POST /settings", func(s VMSettings) error { h.vm.SetFailures(s.FailAll, s.FailTasks); return nil })
	return mux
}

// begin starts the target of a service task.
func (h *Host) begin(spec cfcore.RunSpec) func() {
	if spec.Workload.Class != cfcore.ClassService {
		return nil
	}
	s := h.settings.Target
	s.Service = spec.Workload.Name
	s.Agent = h.settings.Agent
	s.Name = h.settings.Name
	t, stop, err := StartTarget(context.Background(), s, h.clock)
	if err != nil {
		return nil
	}
	h.mu.Lock()
	h.targets[string(spec.Task)] = t
	h.mu.Unlock()
	// The worker waits for no target: it ends its runs one after the other.
	return func() { go h.end(string(spec.Task), t, stop) }
}

func (h *Host) end(task string, t *Target, stop func()) {
	stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, t.Calls()...)
	h.maxOpen = max(h.maxOpen, t.MaxOpen())
	if h.targets[task] == t {
		delete(h.targets, task)
	}
}

// Calls returns what all targets of the VM executed.
func (h *Host) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := append([]Call{}, h.calls...)
	for _, t := range h.targets {
		out = append(out, t.Calls()...)
	}
	return out
}

// Targets returns where the targets of the VM answer.
func (h *Host) Targets() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for _, t := range h.targets {
		out = append(out, t.Addr())
	}
	return out
}

// MaxOpen returns the most calls that executed in one target at the same time.
func (h *Host) MaxOpen() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.maxOpen
	for _, t := range h.targets {
		out = max(out, t.MaxOpen())
	}
	return out
}

// workOf returns how long a call executes: the query may say, in milliseconds.
func workOf(r *http.Request, usual time.Duration) time.Duration {
	text := strings.TrimSpace(r.URL.Query().Get("WorkMS"))
	n, err := strconv.Atoi(text)
	if err != nil {
		return usual
	}
	return time.Duration(n) * time.Millisecond
}

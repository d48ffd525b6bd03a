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

// HostSettings describes a VM: its worker and the targets that run on it.
type HostSettings struct {
	Name string
	// Agent is the address at which the targets announce themselves.
	Agent netip.AddrPort
	VM    VMSettings
	// Target is the template for the targets on this VM. Its fields Service, Agent and
	// Name are ignored: the host sets them when it starts a target.
	Target TargetSettings
	// Record, if not nil, is called with each line of the worker's history.
	Record func(HistoryLine)
}

// Host is an in-memory VM: a worker that starts a target for each running service task.
type Host struct {
	settings HostSettings
	clock    clockwork.Clock
	vm       *VM

	mu sync.Mutex
	// targets are the running targets, by task ID.
	targets map[string]*Target
	// pastCalls are the calls of the targets that have stopped, and pastMaxInFlight is the
	// largest MaxInFlight of these targets.
	pastCalls       []Call
	pastMaxInFlight int
}

// NewHost returns a VM without runs. Its runs advance only while Run is executing.
func NewHost(s HostSettings, clock clockwork.Clock) *Host {
	h := &Host{settings: s, clock: clock, targets: map[string]*Target{}}
	h.vm = NewVM(s.VM, clock, RunHooks{Begin: h.startTarget, Record: s.Record})
	return h
}

// VM returns the host's worker.
func (h *Host) VM() *VM { return h.vm }

// Run advances the worker's runs until ctx is cancelled, then stops them.
func (h *Host) Run(ctx context.Context) { h.vm.Run(ctx.Done()) }

// Handler returns the worker's HTTP API with further requests for tests. These return the
// targets' addresses, their calls and the largest number of concurrent calls, or set which
// runs fail.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h.vm.Handler())
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Calls()) })
	mux.HandleFunc("GET /targets", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Targets()) })
	mux.HandleFunc("GET /max-open", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.MaxInFlight()) })
	handleJSON(mux, "POST /settings", func(s VMSettings) error { h.vm.SetFailures(s.FailAll, s.FailTasks); return nil })
	return mux
}

// startTarget starts the target of a service task and returns the function that stops the
// target. For tasks of other classes, and if the target cannot start, it returns nil.
func (h *Host) startTarget(spec cfcore.RunSpec) func() {
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
	// Stop the target in the background: the worker ends its runs one after another and
	// must not wait for a target.
	return func() { go h.stopTarget(string(spec.Task), t, stop) }
}

// stopTarget stops a target and adds its calls to those of past targets.
func (h *Host) stopTarget(task string, t *Target, stop func()) {
	stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pastCalls = append(h.pastCalls, t.Calls()...)
	h.pastMaxInFlight = max(h.pastMaxInFlight, t.MaxInFlight())
	if h.targets[task] == t {
		delete(h.targets, task)
	}
}

// Calls returns the calls that the VM's targets executed, including stopped targets.
func (h *Host) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := append([]Call{}, h.pastCalls...)
	for _, t := range h.targets {
		out = append(out, t.Calls()...)
	}
	return out
}

// Targets returns the addresses of the VM's running targets.
func (h *Host) Targets() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for _, t := range h.targets {
		out = append(out, t.Addr())
	}
	return out
}

// MaxInFlight returns the largest number of calls that one target executed concurrently.
func (h *Host) MaxInFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.pastMaxInFlight
	for _, t := range h.targets {
		out = max(out, t.MaxInFlight())
	}
	return out
}

// workDuration returns how long a call executes: the value of the query parameter WorkMS in
// milliseconds, or defaultWork if the parameter is missing or not a number.
func workDuration(r *http.Request, defaultWork time.Duration) time.Duration {
	param := strings.TrimSpace(r.URL.Query().Get("WorkMS"))
	ms, err := strconv.Atoi(param)
	if err != nil {
		return defaultWork
	}
	return time.Duration(ms) * time.Millisecond
}

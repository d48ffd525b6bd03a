package cfstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cfcore/cfvm"
)

// VMSettings say what a worker is.
type VMSettings struct {
	Capacity cfcore.Resources
	// Tick is how often runs progress, leases are checked and checkpoints made.
	Tick time.Duration
	// UsageLag is how old the reported usage is.
	UsageLag time.Duration
	// FailAll makes every run fail at once.
	FailAll bool
	// FailTasks makes the runs of these workloads fail.
	FailTasks []string
}

// RunHooks are told of what executes, for example to start a target.
type RunHooks struct {
	// Begin is called when a run starts to execute; the function that it returns
	// is called when the run executes no longer.
	Begin func(cfcore.RunSpec) func()
	// Record is given each line of the history when it happens.
	Record func(HistoryLine)
}

// HistoryLine is one line of a worker's record of what it executed.
type HistoryLine struct {
	At         time.Time
	Assignment cfcore.Assignment
	Task       cfcore.TaskID
	// What is "begin" or the state in which the run ended.
	What string
	// Progress is how much of the task's work was done by then.
	Progress time.Duration
}

// VM is a worker in memory.
type VM struct {
	settings VMSettings
	clock    clockwork.Clock
	hooks    RunHooks
	started  time.Time
	instance cfcore.InstanceID

	mu      sync.Mutex
	runs    map[cfcore.Assignment]*vmRun
	history []HistoryLine
}

type vmRun struct {
	spec     cfcore.RunSpec
	state    cfcore.RunState
	until    time.Duration
	progress time.Duration
	// checkpoint is the progress that a later run would resume from.
	checkpoint time.Duration
	reason     string
	lastTick   time.Duration
	end        func()
}

// NewVM returns a worker with nothing on it. Run must be called for its runs to
// progress.
func NewVM(s VMSettings, clock clockwork.Clock, hooks RunHooks) *VM {
	return &VM{
		settings: s, clock: clock, hooks: hooks, started: clock.Now(),
		instance: cfcore.InstanceID(uuid.NewString()), runs: map[cfcore.Assignment]*vmRun{},
	}
}

// Handler returns the worker's HTTP interface.
func (v *VM) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.report()) })
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.History()) })
	handle(mux, "POST /start", v.start)
	handle(mux, "POST /renew", v.renew)
	handle(mux, "POST /stop", v.stop)
	handle(mux, "POST /forget", v.forget)
	return mux
}

func handle[T any](mux *http.ServeMux, pattern string, f func(T) error) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var in T
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := f(in); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeJSON(w, struct{}{})
	})
}

// Run lets the runs progress until done is closed.
func (v *VM) Run(done <-chan struct{}) {
	t := v.clock.NewTicker(v.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-done:
			v.endAll()
			return
		case <-t.Chan():
			v.tick()
		}
	}
}

// SetFailures changes what fails on the worker.
func (v *VM) SetFailures(all bool, workloads []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings.FailAll, v.settings.FailTasks = all, workloads
}

// History returns what the worker executed.
func (v *VM) History() []HistoryLine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]HistoryLine{}, v.history...)
}

func (v *VM) uptime() time.Duration { return v.clock.Since(v.started) }

func (v *VM) report() cfcore.VMReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.uptime()
	v.lapse(now)
	out := cfcore.VMReport{Instance: v.instance, Uptime: now, Capacity: v.settings.Capacity}
	for a, r := range v.runs {
		out.Runs = append(out.Runs, cfcore.Run{
			Assignment: a, Task: r.spec.Task, State: r.state, Checkpoint: r.checkpointName(),
			Reason: r.reason, Usage: r.spec.Workload.Resources, UsageAt: now - v.settings.UsageLag,
		})
	}
	sort.Slice(out.Runs, func(i, j int) bool { return out.Runs[i].Assignment < out.Runs[j].Assignment })
	return out
}

func (r *vmRun) checkpointName() string {
	if r.checkpoint == 0 {
		return ""
	}
	return r.checkpoint.String()
}

func (v *VM) start(spec cfcore.RunSpec) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.runs[spec.Assignment] != nil {
		return nil
	}
	now := v.uptime()
	if spec.Until <= now {
		return fmt.Errorf("the lease of assignment %d has lapsed already", spec.Assignment)
	}
	r := &vmRun{spec: spec, state: cfcore.RunRunning, until: spec.Until, lastTick: now}
	if spec.Checkpoint != "" {
		from, err := time.ParseDuration(spec.Checkpoint)
		if err != nil {
			return fmt.Errorf("checkpoint %q: %w", spec.Checkpoint, err)
		}
		r.progress, r.checkpoint = from, from
	}
	v.runs[spec.Assignment] = r
	if v.hooks.Begin != nil {
		r.end = v.hooks.Begin(spec)
	}
	v.note(r, "begin")
	return nil
}

func (v *VM) note(r *vmRun, what string) {
	at := v.clock.Now()
	if what == string(cfcore.RunLeaseExpired) {
		// A worker that was frozen executed nothing since its last tick.
		at = v.started.Add(r.lastTick)
	}
	l := HistoryLine{
		At: at, Assignment: r.spec.Assignment, Task: r.spec.Task, What: what, Progress: r.progress,
	}
	v.history = append(v.history, l)
	if v.hooks.Record != nil {
		v.hooks.Record(l)
	}
}

func (v *VM) renew(req cfvm.RenewRequest) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lapse(v.uptime())
	for _, a := range req.Runs {
		if r := v.runs[a]; r != nil {
			r.until = max(r.until, req.Until)
		}
	}
	return nil
}

func (v *VM) stop(req cfvm.RunsRequest) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range req.Runs {
		r := v.runs[a]
		if r == nil || r.state.Ended() {
			continue
		}
		r.checkpoint = r.progress
		v.finish(r, cfcore.RunStopped, "")
	}
	return nil
}

func (v *VM) forget(req cfvm.RunsRequest) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range req.Runs {
		if r := v.runs[a]; r != nil && r.state.Ended() {
			delete(v.runs, a)
		}
	}
	return nil
}

func (v *VM) finish(r *vmRun, state cfcore.RunState, reason string) {
	r.state = state
	r.reason = reason
	if r.end != nil {
		r.end()
	}
	v.note(r, string(state))
}

// lapse ends the runs whose lease is over.
func (v *VM) lapse(now time.Duration) {
	for _, r := range v.runs {
		if !r.state.Ended() && now >= r.until {
			v.finish(r, cfcore.RunLeaseExpired, "lease lapsed")
		}
	}
}

func (v *VM) tick() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.uptime()
	v.lapse(now)
	for _, r := range v.runs {
		if !r.state.Ended() {
			v.progress(r, now)
		}
	}
}

func (v *VM) progress(r *vmRun, now time.Duration) {
	w := &r.spec.Workload
	if v.fails(w.Name) {
		v.finish(r, cfcore.RunFailed, "the worker fails what it starts")
		return
	}
	r.progress += now - r.lastTick
	r.lastTick = now
	if w.Class == cfcore.ClassBatch && r.progress >= w.Duration {
		v.finish(r, cfcore.RunDone, "")
		return
	}
	// Checkpoints are a whole number of seconds, so that reports change seldom.
	if w.Class != cfcore.ClassService {
		r.checkpoint = max(r.checkpoint, r.progress.Truncate(time.Second))
	}
}

func (v *VM) fails(workload string) bool {
	if v.settings.FailAll {
		return true
	}
	for _, n := range v.settings.FailTasks {
		if n == workload {
			return true
		}
	}
	return false
}

func (v *VM) endAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.runs {
		if !r.state.Ended() {
			v.finish(r, cfcore.RunStopped, "the worker shuts down")
		}
	}
}

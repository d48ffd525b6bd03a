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

// VMSettings describes a worker and the failures injected into it.
type VMSettings struct {
	Capacity cfcore.Resources
	// Tick is the interval at which runs advance, leases are checked and
	// checkpoints are taken.
	Tick time.Duration
	// UsageLag is the age of the resource usage in a report.
	UsageLag time.Duration
	// FailAll makes every run fail at its next tick.
	FailAll bool
	// FailTasks lists the workloads whose runs fail at the next tick.
	FailTasks []string
}

// RunHooks holds functions that are called when runs start and end. A Host uses them to start and
// stop targets.
type RunHooks struct {
	// Begin, if not nil, is called when a run starts. If Begin returns a function, that
	// function is called when the run ends.
	Begin func(cfcore.RunSpec) func()
	// Record, if not nil, is called with each line that is added to the history.
	Record func(HistoryLine)
}

// HistoryLine is the start or the end of a run on a worker.
type HistoryLine struct {
	At         time.Time
	Assignment cfcore.Assignment
	Task       cfcore.TaskID
	// What is "begin" or the state in which the run ended.
	What string
	// Progress is how long the task has executed until At, over several runs. It is the time
	// that this run has executed, plus the checkpoint from which this run resumed, if any.
	Progress time.Duration
}

// VM is an in-memory fake of a worker.
type VM struct {
	settings  VMSettings
	clock     clockwork.Clock
	hooks     RunHooks
	startedAt time.Time
	instance  cfcore.InstanceID

	mu      sync.Mutex
	runs    map[cfcore.Assignment]*vmRun
	history []HistoryLine
}

// vmRun is a run on the worker. progress and checkpoint are execution times of the task.
type vmRun struct {
	spec           cfcore.RunSpec
	state          cfcore.RunState
	leaseEndUptime time.Duration
	progress       time.Duration
	// checkpoint is the progress from which a later run of the task resumes.
	checkpoint     time.Duration
	reason         string
	lastTickUptime time.Duration
	// onEnd, if not nil, is called when the run ends.
	onEnd func()
}

// NewVM returns a worker without runs. Its runs advance only while Run is executing.
func NewVM(s VMSettings, clock clockwork.Clock, hooks RunHooks) *VM {
	return &VM{
		settings: s, clock: clock, hooks: hooks, startedAt: clock.Now(),
		instance: cfcore.InstanceID(uuid.NewString()), runs: map[cfcore.Assignment]*vmRun{},
	}
}

// Handler returns the worker's HTTP API.
func (v *VM) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.report()) })
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.History()) })
	handleJSON(mux, "POST /start", v.startRun)
	handleJSON(mux, "POST /renew", v.renewLeases)
	handleJSON(mux, "POST /stop", v.stopRuns)
	handleJSON(mux, "POST /forget", v.forgetRuns)
	return mux
}

// handleJSON registers a handler that decodes the request body and passes it to f. If f
// returns an error, the response has status 409.
func handleJSON[T any](mux *http.ServeMux, pattern string, f func(T) error) {
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

// Run advances the runs until done is closed, then stops them.
func (v *VM) Run(done <-chan struct{}) {
	t := v.clock.NewTicker(v.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-done:
			v.stopAllRuns()
			return
		case <-t.Chan():
			v.tick()
		}
	}
}

// SetFailures changes which runs fail: all, or those of the given workloads.
func (v *VM) SetFailures(all bool, workloads []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings.FailAll, v.settings.FailTasks = all, workloads
}

// History returns the starts and ends of all runs so far.
func (v *VM) History() []HistoryLine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]HistoryLine{}, v.history...)
}

// uptime returns the time since the worker started.
func (v *VM) uptime() time.Duration { return v.clock.Since(v.startedAt) }

// report ends the expired runs and returns the worker's state.
func (v *VM) report() cfcore.VMReport {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.uptime()
	v.endExpiredRuns(uptime)
	out := cfcore.VMReport{Instance: v.instance, Uptime: uptime, Capacity: v.settings.Capacity}
	for a, r := range v.runs {
		out.Runs = append(out.Runs, cfcore.Run{
			Assignment: a, Task: r.spec.Task, State: r.state, Checkpoint: r.reportedCheckpoint(),
			Reason: r.reason, Usage: r.spec.Workload.Resources, UsageAt: uptime - v.settings.UsageLag,
		})
	}
	sort.Slice(out.Runs, func(i, j int) bool { return out.Runs[i].Assignment < out.Runs[j].Assignment })
	return out
}

// reportedCheckpoint returns the run's checkpoint in the form of a report, or "" for none.
func (r *vmRun) reportedCheckpoint() string {
	if r.checkpoint == 0 {
		return ""
	}
	return r.checkpoint.String()
}

// startRun starts a run. A repeated request for the same assignment has no effect.
func (v *VM) startRun(spec cfcore.RunSpec) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.runs[spec.Assignment] != nil {
		return nil
	}
	uptime := v.uptime()
	if spec.Until <= uptime {
		return fmt.Errorf("the lease of assignment %d has lapsed already", spec.Assignment)
	}
	r := &vmRun{spec: spec, state: cfcore.RunRunning, leaseEndUptime: spec.Until, lastTickUptime: uptime}
	if spec.Checkpoint != "" {
		from, err := time.ParseDuration(spec.Checkpoint)
		if err != nil {
			return fmt.Errorf("checkpoint %q: %w", spec.Checkpoint, err)
		}
		r.progress, r.checkpoint = from, from
	}
	v.runs[spec.Assignment] = r
	if v.hooks.Begin != nil {
		r.onEnd = v.hooks.Begin(spec)
	}
	v.recordLine(r, "begin")
	return nil
}

// recordLine adds a line about a run to the history. The parameter what is "begin" or the state
// in which the run ended.
func (v *VM) recordLine(r *vmRun, what string) {
	at := v.clock.Now()
	if what == string(cfcore.RunLeaseExpired) {
		// Record the time of the run's last tick, because the run executed nothing after it.
		// The worker can notice the expiry much later, if it was frozen.
		at = v.startedAt.Add(r.lastTickUptime)
	}
	l := HistoryLine{
		At: at, Assignment: r.spec.Assignment, Task: r.spec.Task, What: what, Progress: r.progress,
	}
	v.history = append(v.history, l)
	if v.hooks.Record != nil {
		v.hooks.Record(l)
	}
}

func (v *VM) renewLeases(req cfvm.RenewRequest) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endExpiredRuns(v.uptime())
	for _, a := range req.Runs {
		if r := v.runs[a]; r != nil {
			r.leaseEndUptime = max(r.leaseEndUptime, req.Until)
		}
	}
	return nil
}

func (v *VM) stopRuns(req cfvm.RunsRequest) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range req.Runs {
		r := v.runs[a]
		if r == nil || r.state.Ended() {
			continue
		}
		r.checkpoint = r.progress
		v.finishRun(r, cfcore.RunStopped, "")
	}
	return nil
}

func (v *VM) forgetRuns(req cfvm.RunsRequest) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range req.Runs {
		if r := v.runs[a]; r != nil && r.state.Ended() {
			delete(v.runs, a)
		}
	}
	return nil
}

// finishRun ends a run in the given state. The reason appears in the worker's reports.
func (v *VM) finishRun(r *vmRun, state cfcore.RunState, reason string) {
	r.state = state
	r.reason = reason
	if r.onEnd != nil {
		r.onEnd()
	}
	v.recordLine(r, string(state))
}

// endExpiredRuns ends the runs whose lease has expired at the given uptime of the worker. The
// caller holds v.mu.
func (v *VM) endExpiredRuns(uptime time.Duration) {
	for _, r := range v.runs {
		if !r.state.Ended() && uptime >= r.leaseEndUptime {
			v.finishRun(r, cfcore.RunLeaseExpired, "lease lapsed")
		}
	}
}

// tick ends the runs whose lease has expired, and advances the others.
func (v *VM) tick() {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.uptime()
	v.endExpiredRuns(uptime)
	for _, r := range v.runs {
		if !r.state.Ended() {
			v.advanceRun(r, uptime)
		}
	}
}

// advanceRun adds the time since the last tick to a run's progress, and completes, fails or
// checkpoints the run. The parameter uptime is the worker's current uptime.
func (v *VM) advanceRun(r *vmRun, uptime time.Duration) {
	w := &r.spec.Workload
	if v.shouldFail(w.Name) {
		v.finishRun(r, cfcore.RunFailed, "the worker fails what it starts")
		return
	}
	r.progress += uptime - r.lastTickUptime
	r.lastTickUptime = uptime
	if w.Class == cfcore.ClassBatch && r.progress >= w.Duration {
		v.finishRun(r, cfcore.RunDone, "")
		return
	}
	// Truncate checkpoints to whole seconds to keep reports from changing on every tick.
	if w.Class != cfcore.ClassService {
		r.checkpoint = max(r.checkpoint, r.progress.Truncate(time.Second))
	}
}

// shouldFail reports whether the runs of a workload fail on this worker.
func (v *VM) shouldFail(workload string) bool {
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

// stopAllRuns stops all runs because the worker shuts down.
func (v *VM) stopAllRuns() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range v.runs {
		if !r.state.Ended() {
			v.finishRun(r, cfcore.RunStopped, "the worker shuts down")
		}
	}
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the platform, from the site gsfc-dispatch and PROTOCOL.md.
const (
	heartbeatEvery = 1500 * time.Millisecond
	maxHold        = 10 * time.Second
	stopTakes      = 100 * time.Millisecond
	checkpointEach = 500 * time.Millisecond
	restoreTakes   = 600 * time.Millisecond
	endsPerAnswer  = 500
)

// taskSpec is what a task of one step does. A job's spec is the JSON list of the taskSpecs
// of its steps.
type taskSpec struct {
	MS    int  `json:"ms"`
	CPU   int  `json:"cpu"`
	Mem   int  `json:"mem"`
	Saves bool `json:"saves,omitempty"`
	Lasts bool `json:"lasts,omitempty"`
}

// run is one run of a task on a worker.
type run struct {
	worker, task string
	id           uint64
	spec         taskSpec
	began, ended time.Time
	how          string
	// done is the work that the checkpoint, with which the run was started, had saved.
	done     time.Duration
	saved    string
	number   uint64
	ackedAt  time.Time
	lapsedAt time.Time
	life     int
	// failsAt is when the run fails by itself; zero if it doesn't.
	failsAt time.Time
}

// work returns how much of the task's work is done.
func (r *run) work(now time.Time) time.Duration {
	d := now.Sub(r.began)
	if r.done > 0 {
		d -= restoreTakes
	}
	return r.done + max(d, 0)
}

func (r *run) checkpoint(now time.Time) string {
	if !r.spec.Saves {
		return ""
	}
	if w := r.work(now) / checkpointEach * checkpointEach; w > 0 {
		return fmt.Sprintf("%016x", w.Milliseconds())
	}
	return ""
}

// worker is a stand-in for a worker.
type worker struct {
	id       string
	service  string
	zone     string
	control  netip.AddrPort
	cpu, mem int
	rec      func(string, ...any)

	mu         sync.Mutex
	labels     []string
	startedAt  time.Time
	born       int64
	life       int
	down       bool
	sequence   uint64
	state      string
	token      uint64
	expires    time.Duration
	running    map[string]*run
	highest    map[string]uint64
	listed     []*run
	ends       uint64
	change     chan struct{}
	history    []*run
	noteCapped int
	// fails is set if each run of a task that lasts fails by itself after some time.
	fails bool
	// mute, if set, decides whether an order gets no answer, and when it is executed.
	mute func(path string) (delay time.Duration, muted bool)
}

func newWorker(id, service, zone string, control netip.AddrPort, labels []string, cpu, mem int, rec func(string, ...any)) *worker {
	w := &worker{id: id, service: service, zone: zone, control: control, labels: labels, cpu: cpu, mem: mem, rec: rec}
	w.begin(time.Now())
	return w
}

// begin begins a lifetime. w.mu must be held, or w not be shared yet.
func (w *worker) begin(now time.Time) {
	w.startedAt, w.born, w.life = now, now.UnixMilli(), w.life+1
	w.down, w.sequence, w.state, w.token, w.expires, w.ends = false, 0, "ready", 0, 0, 0
	w.running, w.highest, w.listed = map[string]*run{}, map[string]uint64{}, nil
	w.change = make(chan struct{})
}

// crash ends everything that runs, without a word.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range w.running {
		r.ended, r.how = now, "crashed"
	}
	w.running = map[string]*run{}
	w.down = true
	close(w.change)
	w.change = make(chan struct{})
}

func (w *worker) clock() time.Duration { return time.Since(w.startedAt) }

func (w *worker) loop(ctx context.Context) {
	beat, tick := time.NewTicker(heartbeatEvery), time.NewTicker(10*time.Millisecond)
	defer beat.Stop()
	defer tick.Stop()
	w.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			go w.beat(ctx)
		case <-tick.C:
			w.mu.Lock()
			w.advance(time.Now())
			w.mu.Unlock()
		}
	}
}

// drain announces that the worker leaves. The check-in is sent at once.
func (w *worker) drain(ctx context.Context) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.beat(ctx)
}

// beat sends a check-in.
func (w *worker) beat(ctx context.Context) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": "127.0.0.1:1", "zone": w.zone, "version": "v1", "slots": 8, "state": w.state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": w.labels,
		"clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born, "remaining_ms": 2000,
	})
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control.String()+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// advance ends the runs that are finished, and all runs once the lease has expired. w.mu must be
// held.
func (w *worker) advance(now time.Time) {
	if w.down {
		return
	}
	if w.clock() > w.expires {
		for _, r := range w.running {
			r.lapsedAt = now
			w.end(r, now, "lapsed", r.checkpoint(now))
		}
		return
	}
	for _, r := range w.running {
		if !r.failsAt.IsZero() && now.After(r.failsAt) {
			w.end(r, now, "failed", "")
			continue
		}
		if !r.spec.Lasts && r.work(now) >= time.Duration(r.spec.MS)*time.Millisecond {
			w.end(r, now, "done", "")
		}
	}
}

func (w *worker) end(r *run, now time.Time, how, saved string) {
	delete(w.running, key(r.task, r.id))
	w.ends++
	r.ended, r.how, r.number, r.saved = now, how, w.ends, saved
	w.listed = append(w.listed, r)
	close(w.change)
	w.change = make(chan struct{})
}

func key(task string, id uint64) string { return task + "#" + strconv.FormatUint(id, 10) }

type order struct {
	Task       string `json:"task"`
	RunID      uint64 `json:"run_id"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	ExpiresMS  int64  `json:"expires_ms"`
	Token      uint64 `json:"fencing_token"`
	LastSeen   uint64 `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	life := w.life
	if w.mute != nil {
		if delay, muted := w.mute(r.URL.Path); muted {
			time.AfterFunc(delay, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if !w.down {
					w.execute(context.Background(), r.URL.Path, o)
				}
			})
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := w.execute(r.Context(), r.URL.Path, o)
	if w.life != life || w.down {
		panic(http.ErrAbortHandler)
	}
	body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.born
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) execute(ctx context.Context, path string, o order) (int, map[string]any) {
	now := time.Now()
	w.advance(now)
	if o.Token < w.token {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	w.token = o.Token
	switch path {
	case "/run-start":
		return w.start(now, o)
	case "/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.RunID)
		if r := w.running[key(o.Task, o.RunID)]; r != nil {
			life := w.life
			time.AfterFunc(stopTakes, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if w.life == life && w.running[key(r.task, r.id)] == r {
					now := time.Now()
					w.end(r, now, "stopped", r.checkpoint(now))
				}
			})
		}
		return http.StatusOK, map[string]any{}
	case "/hold":
		w.extend(o)
		return http.StatusOK, w.hold(ctx, o)
	case "/pace":
		return http.StatusOK, map[string]any{}
	}
	return http.StatusBadRequest, map[string]any{}
}

func (w *worker) extend(o order) {
	w.expires = max(w.expires, min(time.Duration(o.ExpiresMS)*time.Millisecond, w.clock()+maxHold))
}

func (w *worker) start(now time.Time, o order) (int, map[string]any) {
	if w.running[key(o.Task, o.RunID)] != nil {
		w.extend(o)
		return http.StatusOK, map[string]any{}
	}
	if o.RunID <= w.highest[o.Task] {
		w.extend(o)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if time.Duration(o.ExpiresMS)*time.Millisecond <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	var specs []taskSpec
	parts := strings.Split(o.Task, ".")
	if json.Unmarshal([]byte(o.Spec), &specs) != nil || len(parts) != 4 {
		return http.StatusBadRequest, map[string]any{}
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(specs) {
		return http.StatusBadRequest, map[string]any{}
	}
	s := specs[step]
	cpu, mem := s.CPU, s.Mem
	for _, r := range w.running {
		cpu, mem = cpu+r.spec.CPU, mem+r.spec.Mem
	}
	w.extend(o)
	if cpu > w.cpu || mem > w.mem {
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	r := &run{worker: w.id, task: o.Task, id: o.RunID, spec: s, began: now, life: w.life}
	if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil && o.Checkpoint != "" {
		r.done = time.Duration(ms) * time.Millisecond
	}
	if s.Lasts && w.fails {
		r.failsAt = now.Add(minFailure + rand.N(maxFailure-minFailure))
	}
	w.running[key(o.Task, o.RunID)] = r
	w.highest[o.Task] = o.RunID
	w.history = append(w.history, r)
	return http.StatusOK, map[string]any{}
}

// hold forgets the ends up to last_seen and returns both lists, at most endsPerAnswer ends.
func (w *worker) hold(ctx context.Context, o order) map[string]any {
	n := 0
	for n < len(w.listed) && w.listed[n].number <= o.LastSeen {
		w.listed[n].ackedAt = time.Now()
		n++
	}
	w.listed = w.listed[n:]
	if len(w.listed) == 0 && o.WaitMS > 0 {
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-ctx.Done():
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		w.mu.Lock()
	}
	now := time.Now()
	running, ended := make([][]any, 0, len(w.running)), [][]any{}
	for _, r := range w.running {
		percent := 100
		if !r.spec.Lasts {
			percent = int(min(99, 100*r.work(now)/(time.Duration(max(r.spec.MS, 1))*time.Millisecond)))
		}
		running = append(running, []any{r.task, r.id, r.checkpoint(now), percent, r.spec.CPU})
	}
	for _, r := range w.listed {
		if len(ended) == endsPerAnswer {
			if w.noteCapped++; w.noteCapped == 1 {
				w.rec("worker %s: %d ends are not acknowledged; the answers hold the first %d", w.id, len(w.listed), endsPerAnswer)
			}
			break
		}
		ended = append(ended, []any{r.number, r.task, r.id, r.how, r.saved})
	}
	return map[string]any{"running": running, "ended": ended}
}

// runs returns a copy of all runs so far.
func (w *worker) runs() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]run, len(w.history))
	for i, r := range w.history {
		out[i] = *r
	}
	return out
}

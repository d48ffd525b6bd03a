package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	cpuCapacity   = 16000
	maxRuns       = 32
	taskTime      = 150 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	firstCheckIn  = 20 * time.Millisecond
	longestLease  = 10_000
	requiredLabel = "b"
	// lastingSpec is the spec of tasks that have no end. All others take taskTime.
	lastingSpec = "lasts"
	farFuture   = 24 * time.Hour
)

type runRow struct {
	task string
	run  uint64
	end  time.Time
}

type endRow struct {
	number uint64
	runRow
	how string
}

// worker is a stand-in for one lifetime of a worker. Each lifetime is a process.
type worker struct {
	id, addr, agent, service, record string
	labels                           []string
	born                             time.Time
	mu                               sync.Mutex
	token                            uint64
	lease                            int64
	runs                             map[string]runRow
	newest                           map[string]uint64
	ended                            []endRow
	count                            uint64
	changed                          chan struct{}
	sequence                         int
}

// runWorker is the process of a worker: ID, address, address for check-ins, service, labels, file.
func runWorker(a []string) {
	w := &worker{
		id: a[0], addr: a[1], agent: a[2], service: a[3], labels: strings.Split(a[4], ","), record: a[5], born: time.Now().Truncate(time.Millisecond),
		runs: map[string]runRow{}, newest: map[string]uint64{}, changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		log.Fatal(err)
	}
	w.note("worker %s of kind %s begins", w.id, a[4])
	go func() {
		time.Sleep(firstCheckIn)
		for {
			w.checkIn()
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			time.Sleep(5 * time.Millisecond)
			w.finish()
		}
	}()
	log.Fatal(http.Serve(l, w))
}

func (w *worker) note(format string, args ...any) { note(w.record, format, args...) }

// note adds a line to the record. All processes of the case write to it.
func note(record, format string, args ...any) {
	f, err := os.OpenFile(record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *worker) checkIn() {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": cpuCapacity, "mem_mb": 64000, "gpu": 0}, "labels": w.labels, "clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	req, _ := http.NewRequest(http.MethodPut, "http://"+w.agent+"/instances/"+w.id, bytes.NewReader(body))
	c := http.Client{Timeout: time.Second}
	if resp, err := c.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// finish ends the runs that are done, and all runs if the lease has expired.
func (w *worker) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock() > w.lease
	for k, r := range w.runs {
		switch {
		case lapsed:
			w.end(k, r, "lapsed")
		case time.Now().After(r.end):
			w.end(k, r, "done")
		}
	}
}

func (w *worker) end(k string, r runRow, how string) {
	delete(w.runs, k)
	w.count++
	w.ended = append(w.ended, endRow{number: w.count, runRow: r, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task    string `json:"task"`
	Spec    string `json:"spec"`
	Run     uint64 `json:"run_id"`
	Expires int64  `json:"expires_ms"`
	Token   uint64 `json:"fencing_token"`
	Seen    uint64 `json:"last_seen"`
	Wait    int64  `json:"wait_ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	refuse := func(reason string) {
		answer(rw, http.StatusConflict, fmt.Sprintf(`{"clock_ms":%d,"born":%d,"reason":%q}`, w.clock(), w.born.UnixMilli(), reason))
	}
	if o.Token < w.token {
		refuse("fence")
		return
	}
	w.token = o.Token
	w.lease = max(w.lease, min(o.Expires, w.clock()+longestLease))
	switch r.URL.Path {
	case "/run-start":
		if reason := w.start(o); reason != "" {
			refuse(reason)
			return
		}
	case "/run-stop":
		w.newest[o.Task] = max(w.newest[o.Task], o.Run)
		if run, ok := w.runs[o.Task]; ok && run.run == o.Run {
			w.end(o.Task, run, "stopped")
		}
	case "/hold":
		w.hold(rw, o)
		return
	}
	answer(rw, http.StatusOK, fmt.Sprintf(`{"clock_ms":%d,"born":%d}`, w.clock(), w.born.UnixMilli()))
}

// start starts a run, or returns why it is refused.
func (w *worker) start(o order) string {
	run, ok := w.runs[o.Task]
	switch {
	case ok && run.run == o.Run:
		return ""
	case o.Run <= w.newest[o.Task]:
		return "old"
	case o.Expires <= w.clock():
		return "late"
	case len(w.runs) >= maxRuns:
		return "room"
	}
	w.newest[o.Task] = o.Run
	end := time.Now().Add(taskTime)
	if o.Spec == lastingSpec {
		end = time.Now().Add(farFuture)
	}
	w.runs[o.Task] = runRow{task: o.Task, run: o.Run, end: end}
	verdict := "has its label"
	if w.labels[0] != requiredLabel {
		verdict = "LACKS its label"
	}
	w.note("start of %s run %d on worker %s of kind %s, which %s", o.Task, o.Run, w.id, w.labels[0], verdict)
	return ""
}

// gauge is the processor time in use, in thousandths of a core, that the lists show for each run.
const gauge = 500

// percent is 100 for a task that lasts.
func percent(r runRow) int {
	if time.Until(r.end) > taskTime {
		return 100
	}
	return 50
}

// hold answers with the lists of runs. The caller holds mu; hold gives it up while it waits.
func (w *worker) hold(rw http.ResponseWriter, o order) {
	for len(w.ended) > 0 && w.ended[0].number <= o.Seen {
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.run, "", percent(r), gauge})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	data, _ := json.Marshal(map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
	answer(rw, http.StatusOK, string(data))
}

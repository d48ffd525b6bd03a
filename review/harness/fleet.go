package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	queueHost   = "plans.example"
	queuePrefix = "/plans/"
	sharedKey   = "cranberryford-inner-protocol"
	// timeLimit is below the 120 seconds that a script may take.
	timeLimit = 114 * time.Second
)

// process is a process of the system under test.
type process struct {
	name, role, file   string
	ip                 string
	front, ready, main netip.AddrPort
	cmd                *exec.Cmd
	log                *os.File
	done               chan struct{}
	// set are the settings of an agent.
	set map[string]any
}

// fleet is a small deployment: entries and agents as processes, and the stand-ins.
type fleet struct {
	dir, program string
	start        time.Time
	recMu        sync.Mutex
	recFile      *os.File
	store        *store
	storeAddr    netip.AddrPort
	storeProxy   *proxy
	entries      []*process
	agents       []*process
	workers      []*worker
	ctx          context.Context
	cancel       context.CancelFunc
	jobsMu       sync.Mutex
	jobs         int
	// staleSeeds are the agents whose settings name no entry that exists at their start.
	staleSeeds map[int]bool
	// proxies are in front of the workers, by the index of the worker.
	proxies []*proxy
}

func (f *fleet) rec(format string, args ...any) {
	f.recMu.Lock()
	defer f.recMu.Unlock()
	fmt.Fprintf(f.recFile, "%8.3f  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(f.start).Seconds())
}

// unable ends the harness with status 2: the case could not be run.
func (f *fleet) unable(format string, args ...any) {
	msg := fmt.Sprintf(format, args...)
	f.rec("CANNOT RUN: %s", msg)
	fmt.Println("cannot run:", msg)
	f.close()
	os.Exit(2)
}

// freeAddr returns an address with a free port below the range from which the system picks the
// ports of outgoing connections. It returns each port at most once.
func freeAddr(ip string) netip.AddrPort {
	for {
		a := netip.AddrPortFrom(netip.MustParseAddr(ip), uint16(20000+rand.IntN(10000)))
		if usedPorts[a] {
			continue
		}
		usedPorts[a] = true
		if l, err := net.Listen("tcp", a.String()); err == nil {
			_ = l.Close()
			return a
		}
	}
}

var usedPorts = map[netip.AddrPort]bool{}

func serve(a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

// newFleet starts the stand-ins and the processes, and waits until the entries are ready.
// Worker i has the labels that labels returns.
func newFleet(program, recordPath string, entries, agents int, labels func(i int) []string, staleSeeds ...int) *fleet {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	f := &fleet{dir: dir, start: time.Now()}
	if f.program, err = filepath.Abs(program); err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if f.recFile, err = os.Create(recordPath); err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	f.staleSeeds = map[int]bool{}
	for _, i := range staleSeeds {
		f.staleSeeds[i] = true
	}
	time.AfterFunc(timeLimit, func() { f.unable("the case took longer than %s", timeLimit) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { <-stop; f.unable("interrupted") }()
	f.store = newStore(f.rec)
	behind := freeAddr("127.61.0.250")
	if err := serve(behind, f.store); err != nil {
		f.unable("%v", err)
	}
	f.storeAddr = freeAddr("127.61.0.250")
	if f.storeProxy, err = newProxy(f.storeAddr, behind); err != nil {
		f.unable("%v", err)
	}
	f.configure(1, queuePrefix)
	var inner []string
	for i := range entries {
		ip := fmt.Sprintf("127.61.1.%d", i+1)
		p := &process{name: fmt.Sprintf("edge-%d", i), role: "job-entry", ip: ip, front: freeAddr(ip), ready: freeAddr(ip), main: freeAddr(ip)}
		f.settings(p, map[string]any{
			"Name": p.name, "DataCentre": "north", "Metrics": freeAddr(ip), "Callers": p.front, "Readiness": p.ready, "Inner": p.main, "Store": f.storeAddr,
		})
		f.entries = append(f.entries, p)
		inner = append(inner, p.main.String())
	}
	for i := range agents {
		ip := fmt.Sprintf("127.61.2.%d", i+1)
		app, behind := freeAddr(ip), freeAddr(ip)
		p := &process{name: fmt.Sprintf("side-%d", i), role: "job-agent", ip: ip, main: freeAddr(ip)}
		p.set = map[string]any{
			"Name": p.name, "DataCentre": "north", "Metrics": freeAddr(ip), "Worker": app, "Heartbeats": p.main, "Entries": inner,
		}
		f.settings(p, p.set)
		if f.staleSeeds[i] {
			f.settings(p, withEntries(p.set, staleAddrs(len(inner))))
		}
		f.agents = append(f.agents, p)
		w := newWorker(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "dispatch", "north", p.main, labels(i), 16000, 64000, f.rec)
		f.workers = append(f.workers, w)
		if err := serve(behind, w); err != nil {
			f.unable("%v", err)
		}
		x, err := newProxy(app, behind)
		if err != nil {
			f.unable("%v", err)
		}
		f.proxies = append(f.proxies, x)
	}
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		f.launch(p)
	}
	time.Sleep(300 * time.Millisecond)
	for _, w := range f.workers {
		go w.loop(f.ctx)
	}
	for _, p := range f.entries {
		f.await(20*time.Second, "readiness of "+p.name, func() bool { return f.status(p.ready, "/readiness") == 200 })
	}
	return f
}

// configure writes a manifest with a route for each prefix.
func (f *fleet) configure(version int, prefixes ...string) {
	var routes []string
	for _, p := range prefixes {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"service":"dispatch","priority":0,"max_attempts":3,"stretch":2,"target_latency_ms":1000}`, strings.Trim(p, "/"), queueHost, p))
	}
	f.store.put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"dispatch","admission_check":true}],"limits":{}}`, version, strings.Join(routes, ","))))
	f.rec("the operator's manifest %d is acknowledged; prefixes %s", version, strings.Join(prefixes, " "))
}

// staleAddrs returns addresses at which nobody listens.
func staleAddrs(n int) []string {
	var out []string
	for i := range n {
		out = append(out, freeAddr(fmt.Sprintf("127.61.3.%d", i+1)).String())
	}
	return out
}

func withEntries(s map[string]any, entries []string) map[string]any {
	out := maps.Clone(s)
	out["Entries"] = entries
	return out
}

func (f *fleet) settings(p *process, s map[string]any) {
	data, _ := json.Marshal(s)
	p.file = filepath.Join(f.dir, p.name+".jsonc")
	if err := os.WriteFile(p.file, data, 0o600); err != nil {
		f.unable("%v", err)
	}
}

// launch starts a process with the command of the deploy file.
func (f *fleet) launch(p *process) {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.unable("%v", err)
	}
	p.log = log
	p.cmd = exec.Command(f.program, p.role)
	// The build puts the program into a folder in the root of the repository.
	p.cmd.Dir = filepath.Dir(filepath.Dir(f.program))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "CRANBERRYFORD_BOOT=" + p.file, "CRANBERRYFORD_KEY=" + sharedKey}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		f.unable("%v", err)
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done); _ = log.Close() }(p.cmd, p.done)
	f.rec("started %s as process %d", p.name, p.cmd.Process.Pid)
}

func (f *fleet) kill(p *process) {
	f.rec("SIGKILL to %s", p.name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec("%s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (f *fleet) close() {
	f.cancel()
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(f.dir, keep)
	}
	_ = os.RemoveAll(f.dir)
	_ = f.recFile.Close()
}

func (f *fleet) await(d time.Duration, what string, ok func() bool) {
	if !f.within(d, ok) {
		f.unable("%s did not come within %s", what, d)
	}
}

func (f *fleet) within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

var client = &http.Client{Timeout: 3500 * time.Millisecond}

func (f *fleet) status(a netip.AddrPort, path string) int {
	resp, err := client.Get("http://" + a.String() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// call sends a requester's request. The status is 0 if there was no answer.
func (f *fleet) call(entry int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+f.entries[entry%len(f.entries)].front.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(data))
}

type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem_mb"`
	EstimatedMS int    `json:"estimated_ms"`
	After       []int  `json:"after,omitempty"`
	Saves       bool   `json:"checkpointing,omitempty"`
	Lasts       bool   `json:"long_running,omitempty"`
	Needs       string `json:"requirements,omitempty"`
}

// schedule is the schedule of a job whose steps run more than once.
type schedule struct {
	Count      int   `json:"repeat_count,omitempty"`
	FirstRunMS int64 `json:"first_run_ms,omitempty"`
	PeriodMS   int64 `json:"period_ms,omitempty"`
}

func (f *fleet) newJob(steps []step, s schedule) (id, body string) {
	f.jobsMu.Lock()
	defer f.jobsMu.Unlock()
	f.jobs++
	id = fmt.Sprintf("%08x%08x", 0xabcd0000+os.Getpid(), f.jobs)
	var specs []taskSpec
	for _, st := range steps {
		specs = append(specs, taskSpec{MS: st.EstimatedMS, CPU: st.CPU, Mem: st.MemMB, Saves: st.Saves, Lasts: st.Lasts})
	}
	spec, _ := json.Marshal(specs)
	data, _ := json.Marshal(struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
		schedule
	}{Spec: string(spec), Steps: steps, schedule: s})
	return id, string(data)
}

// submit hands a job in, with up to five attempts, and returns its ID. The harness cannot go on
// if the job isn't accepted.
func (f *fleet) submit(steps ...step) string {
	id, body := f.newJob(steps, schedule{})
	for attempt := range 5 {
		status, answer := f.call(f.jobs+attempt, http.MethodPost, queuePrefix+id, body)
		f.rec("POST %s to %s -> %d %s", id, f.entries[(f.jobs+attempt)%len(f.entries)].name, status, answer)
		if status/100 == 2 {
			return id
		}
		time.Sleep(300 * time.Millisecond)
	}
	f.unable("job %s was not accepted", id)
	return ""
}

// submitMany hands in n equal jobs at the same time, with up to five attempts each.
func (f *fleet) submitMany(n int, steps ...step) []string {
	ids := make([]string, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			id, body := f.newJob(steps, schedule{})
			for attempt := range 5 {
				status, answer := f.call(i+attempt, http.MethodPost, queuePrefix+id, body)
				f.rec("POST %s to %s -> %d %s", id, f.entries[(i+attempt)%len(f.entries)].name, status, answer)
				if status/100 == 2 {
					ids[i] = id
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for _, id := range ids {
		if id == "" {
			f.unable("a job was not accepted")
		}
	}
	return ids
}

// state returns the state of a job, or the status of the answer.
func (f *fleet) state(entry int, id string) string {
	status, answer := f.call(entry, http.MethodGet, queuePrefix+id, "")
	var s struct{ State string }
	if status != 200 || json.Unmarshal([]byte(answer), &s) != nil {
		return fmt.Sprint(status)
	}
	return s.State
}

// anyState returns the first state that an entry gives.
func (f *fleet) anyState(id string) string {
	last := ""
	for i := range f.entries {
		if last = f.state(i, id); len(last) > 3 {
			return last
		}
	}
	return last
}

// planner returns the entry that logged the newest epoch as planner, or nil.
func (f *fleet) planner() *process {
	var best *process
	bestEpoch := 0
	for _, p := range f.entries {
		data, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
		for _, line := range strings.Split(string(data), "\n") {
			var l struct {
				Message string `json:"message"`
				Epoch   int
			}
			if strings.Contains(line, "this entry is the planner") && json.Unmarshal([]byte(line), &l) == nil && l.Epoch > bestEpoch {
				best, bestEpoch = p, l.Epoch
			}
		}
	}
	return best
}

func (f *fleet) runs() []run {
	var out []run
	for _, w := range f.workers {
		out = append(out, w.runs()...)
	}
	return out
}

// count returns how many runs match.
func (f *fleet) count(match func(r *run) bool) int {
	n := 0
	for _, r := range f.runs() {
		if match(&r) {
			n++
		}
	}
	return n
}

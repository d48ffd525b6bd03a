package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cranberryford/platform/standin"
)

const (
	queueHost   = "plans.example"
	queuePrefix = "/plans/"
	service     = "dispatch"
	// firstPort lies below the ports that the system gives to outgoing connections.
	firstPort = 21000
	config    = `{"version":%d,"routes":[{"name":"r-plans","host":"plans.example","path_prefix":"/plans/","service":"dispatch",` +
		`"priority":0,"max_attempts":2,"stretch":2,"target_latency_ms":1000}]}`
)

var program string

// key is the key that the processes share. Each run of the tests has its own:
// processes that an interrupted run left behind have the same addresses, and would join.
var key = uuid.NewString()

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("cranberryford/cmd/cranberryford")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// process is one process under test.
type process struct {
	start   func() *gexec.Session
	session *gexec.Session
	front   netip.AddrPort
	ready   netip.AddrPort
}

func (p *process) kill()              { p.session.Kill().Wait(5 * time.Second) }
func (p *process) restart()           { p.session = p.start() }
func (p *process) signal(s os.Signal) { Expect(p.session.Command.Process.Signal(s)).To(Succeed()) }

// fleet is a store, entries, agents and the workers beside them.
type fleet struct {
	dir     string
	ports   int
	store   *standin.Store
	advisor *standin.Advisor
	entries []*process
	agents  []*process
	workers []*standin.Worker
	// stopWorker ends the life of each worker; its address then gives no answers.
	stopWorker []func()
	end        []func()
	serve      []*http.Server
}

func (f *fleet) addr(host int) netip.AddrPort {
	for {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 60, 0, byte(host)}), uint16(firstPort+f.ports))
		f.ports++
		l, err := net.Listen("tcp", a.String())
		if err == nil {
			Expect(l.Close()).To(Succeed())
			return a
		}
	}
}

func (f *fleet) listen(a netip.AddrPort, h http.Handler) {
	l, err := net.Listen("tcp", a.String())
	Expect(err).NotTo(HaveOccurred())
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.serve = append(f.serve, s)
}

// newFleet starts everything and waits until it serves.
func newFleet(entries, agents int) *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), store: standin.NewStore(), advisor: &standin.Advisor{Decision: 20 * time.Millisecond}}
	storeAddr := f.addr(250)
	f.listen(storeAddr, f.store)
	adviceAddr := f.addr(250)
	f.listen(adviceAddr, f.advisor)
	f.configure(1)
	var inner []string
	for i := range entries {
		p := &process{front: f.addr(i + 1), ready: f.addr(i + 1)}
		in := f.addr(i + 1)
		inner = append(inner, fmt.Sprintf("%q", in))
		f.launch(p, "job-entry", fmt.Sprintf("entry-%d", i), fmt.Sprintf(
			`"Callers": %q, "Readiness": %q, "Inner": %q, "Store": %q, "Advice": %q`, p.front, p.ready, in, storeAddr, adviceAddr))
		f.entries = append(f.entries, p)
	}
	for i := range agents {
		p := &process{}
		worker, beats := f.addr(i+100), f.addr(i+100)
		f.launch(p, "job-agent", fmt.Sprintf("agent-%d", i), fmt.Sprintf(
			`"Worker": %q, "Heartbeats": %q, "Entries": [%s]`, worker, beats, strings.Join(inner, ",")))
		f.agents = append(f.agents, p)
		ctx, cancel := context.WithCancel(context.Background())
		f.end = append(f.end, cancel)
		f.stopWorker = append(f.stopWorker, cancel)
		w := standin.NewWorker(ctx, fmt.Sprintf("w-%d", i), service, beats)
		f.workers = append(f.workers, w)
		f.listen(worker, w)
	}
	DeferCleanup(f.close)
	for i := range f.entries {
		Eventually(func() int { return f.get(f.entries[i].ready, "/readiness") }, 10*time.Second, 50*time.Millisecond).Should(Equal(200))
	}
	return f
}

// reads returns the number of reads of the store so far.
func (f *fleet) reads() int { return f.store.Calls("/log-read") }

// turnAway lets the store fail for one entry only.
func (f *fleet) turnAway(entry int, fault standin.Fault) {
	host := f.entries[entry].front.Addr().String()
	f.store.SetFault(func(r *http.Request) standin.Fault {
		if strings.HasPrefix(r.RemoteAddr, host+":") {
			return fault
		}
		return standin.Healthy
	})
}

func (f *fleet) configure(version int) {
	_, err := f.store.Append(context.Background(), operatorTopic, operatorRecord(fmt.Sprintf(config, version)), noOptions)
	Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) launch(p *process, role, name, settings string) {
	file := filepath.Join(f.dir, name+".jsonc")
	text := fmt.Sprintf(`{"Name": %q, "DataCentre": "north", %s}`, name, settings)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	p.start = func() *gexec.Session {
		out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		Expect(err).NotTo(HaveOccurred())
		f.end = append(f.end, func() { _ = out.Close() })
		cmd := exec.Command(program, role, "-settings", file)
		cmd.Env = append(os.Environ(), "CRANBERRYFORD_KEY="+key)
		s, err := gexec.Start(cmd, out, out)
		Expect(err).NotTo(HaveOccurred())
		return s
	}
	p.restart()
}

func (f *fleet) close() {
	if CurrentSpecReport().Failed() {
		files, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
		for _, name := range files {
			data, _ := os.ReadFile(name)
			AddReportEntry(filepath.Base(name), string(data))
		}
	}
	for _, p := range append(f.entries, f.agents...) {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	for _, end := range f.end {
		end()
	}
	for _, s := range f.serve {
		_ = s.Close()
	}
}

var client = &http.Client{Timeout: 4 * time.Second}

// call makes a caller's request and returns the status; 0 where there was no answer.
func (f *fleet) call(entry int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+f.entries[entry].front.String()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = queueHost
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (f *fleet) get(addr netip.AddrPort, path string) int {
	resp, err := client.Get("http://" + addr.String() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// lasts is the spec of tasks that last until their job is cancelled.
const lasts = "lasts"

// oneStep is a job of some tasks that take a time each.
func oneStep(tasks int, takes string) string {
	return fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":100,"mem_mb":10,"estimated_ms":300,"long_running":%t}]}`, takes, tasks, takes == lasts)
}

// submit hands a job in, as often as a caller would, and returns whether it was accepted.
func (f *fleet) submit(n int, body string) bool {
	for try := range 6 {
		if status, _ := f.call((n+try)%len(f.entries), http.MethodPost, queuePrefix+jobID(n), body); status == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state returns a job's state at an entry; empty where there is none.
func (f *fleet) state(entry, n int) string {
	status, body := f.call(entry, http.MethodGet, queuePrefix+jobID(n), "")
	var s struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal([]byte(body), &s) != nil {
		return fmt.Sprint(status)
	}
	return s.State
}

func (f *fleet) completes(n int, within time.Duration) {
	GinkgoHelper()
	Eventually(func() string { return f.state(n%len(f.entries), n) }, within, 50*time.Millisecond).Should(Equal("completed"), "job %d", n)
}

// runs returns what all workers ran.
func (f *fleet) runs() []standin.Run {
	var out []standin.Run
	for _, w := range f.workers {
		out = append(out, w.History()...)
	}
	return out
}

func (f *fleet) ranOnce() {
	GinkgoHelper()
	Expect(standin.Overlaps(f.runs())).To(BeEmpty())
}

// lapsed returns the number of runs whose lease ended.
func (f *fleet) lapsed() int {
	n := 0
	for _, r := range f.runs() {
		if r.How == "lapsed" {
			n++
		}
	}
	return n
}

// planner returns the entry that is the planner, by its log.
func (f *fleet) planner() int {
	GinkgoHelper()
	best := -1
	Eventually(func() int { best = f.loggedPlanner(); return best }, 5*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", 0))
	return best
}

// logged returns how often the entries have logged a message.
func (f *fleet) logged(message string) int {
	n := 0
	for i := range f.entries {
		data, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("entry-%d.log", i)))
		Expect(err).NotTo(HaveOccurred())
		n += strings.Count(string(data), message)
	}
	return n
}

func (f *fleet) loggedPlanner() int {
	best, at := -1, ""
	for i := range f.entries {
		data, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("entry-%d.log", i)))
		Expect(err).NotTo(HaveOccurred())
		for _, line := range strings.Split(string(data), "\n") {
			var l struct {
				Message string `json:"message"`
				Epoch   int
			}
			if json.Unmarshal([]byte(line), &l) == nil && l.Message == "this entry is the planner" {
				if e := fmt.Sprintf("%06d", l.Epoch); e > at {
					best, at = i, e
				}
			}
		}
	}
	return best
}

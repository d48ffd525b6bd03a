package integration

import (
	"bytes"
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

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfcmd"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
)

// The programs under test, built once.
var (
	programPath string
	standinPath string
)

const (
	sharedKey = "a-shared-key-for-tests-only"
	token     = "a-token-for-tests-only"
	operator  = "alice"
)

// proc is one process under test.
type proc struct {
	name    string
	ip      netip.Addr
	session *gexec.Session
	start   func() *gexec.Session
	killed  time.Time
}

func (p *proc) kill() {
	p.killed = time.Now()
	p.session.Kill().Wait(5 * time.Second)
}

func (p *proc) term()   { p.session.Terminate() }
func (p *proc) freeze() { Expect(p.session.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed()) }
func (p *proc) thaw()   { Expect(p.session.Command.Process.Signal(syscall.SIGCONT)).To(Succeed()) }

// restart starts the process again, with nothing left of its former run.
func (p *proc) restart() { p.session = p.start() }

// entryProc is an entry, with the proxy before it.
type entryProc struct {
	proc
	callers, operators netip.AddrPort
	proxy              *proxy
	api                *cfapi.Client
}

// vmProc is a VM: the platform's worker with its targets, and the agent.
type vmProc struct {
	name   string
	worker proc
	agent  proc
	addr   netip.AddrPort
	// former are the sessions of VMs that this one replaced.
	former []*formerVM
}

type formerVM struct {
	session *gexec.Session
	killed  time.Time
}

// cluster is everything that one test starts.
type cluster struct {
	dir      string
	platform proc
	log      *proxy
	logAddr  netip.AddrPort
	entries  []*entryProc
	vms      []*vmProc
	settings string
}

// shape is how large a cluster is.
type shape struct {
	entries int
	vms     int
	// settings is more keys for the entries' settings.
	settings string
}

// freePort returns a port that is free at an address.
func freePort(ip netip.Addr) netip.AddrPort {
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func ip(kind, i int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(kind), byte(i + 1)}) }

const (
	ipPlatform = 1
	ipEntry    = 2
	ipVM       = 3
)

// newCluster starts the platform, the entries and the VMs, and waits until a
// planner has seen them all.
func newCluster(s shape) *cluster {
	c := &cluster{dir: GinkgoT().TempDir(), settings: s.settings}
	Expect(os.WriteFile(c.path("key"), []byte(sharedKey), 0o600)).To(Succeed())
	c.startPlatform()
	for i := range s.entries {
		c.prepareEntry(i)
	}
	for i := range c.entries {
		c.writeEntry(i)
		c.entries[i].session = c.entries[i].start()
	}
	for i := range s.vms {
		c.addVM(i)
	}
	c.eventually(20*time.Second, "all workers are up", func() bool {
		st, err := c.status(0)
		return err == nil && len(st.Workers) == s.vms && len(st.Entries) == s.entries
	})
	return c
}

func (c *cluster) path(name string) string { return filepath.Join(c.dir, name) }

// run starts a process; what it prints goes to a file beside the settings.
func (c *cluster) run(name, path string, args ...string) *gexec.Session {
	file, err := os.OpenFile(c.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	s, err := gexec.Start(exec.Command(path, args...), io.Discard, file)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if s.ExitCode() < 0 {
			_ = s.Command.Process.Signal(syscall.SIGCONT)
			s.Kill().Wait(5 * time.Second)
		}
		_ = file.Close()
	})
	return s
}

func (c *cluster) startPlatform() {
	c.logAddr = freePort(ip(ipPlatform, 0))
	c.platform = proc{name: "platform", start: func() *gexec.Session {
		return c.run("platform", standinPath, "platform", c.logAddr.String())
	}}
	c.platform.restart()
	var stop func()
	var err error
	c.log, stop, err = newProxy(netip.AddrPortFrom(ip(ipPlatform, 1), 0), c.logAddr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
}

func (c *cluster) prepareEntry(i int) {
	e := &entryProc{}
	e.name, e.ip = fmt.Sprintf("entry-%d", i), ip(ipEntry, i)
	inner := freePort(e.ip)
	p, stop, err := newProxy(netip.AddrPortFrom(e.ip, 0), inner)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	e.proxy, e.callers, e.operators = p, freePort(e.ip), freePort(e.ip)
	api, err := cfapi.NewClient("http://"+e.operators.String(), staticToken{})
	Expect(err).NotTo(HaveOccurred())
	e.api = api
	file := c.path(e.name + ".jsonc")
	e.start = func() *gexec.Session { return c.run(e.name, programPath, "entry", "-settings", file) }
	c.entries = append(c.entries, e)
}

func (c *cluster) writeEntry(i int) {
	e := c.entries[i]
	var others []string
	for j, o := range c.entries {
		if j != i {
			others = append(others, fmt.Sprintf("%q", o.proxy.addr()))
		}
	}
	text := fmt.Sprintf(`{
	// written by the test driver
	"Name": %q, "DataCentre": "north-shore", "Callers": %q, "Operators": %q, "Inner": %q,
	"Advertise": %q, "Source": %q, "Log": %q, "Entries": [%s], "KeyFile": %q,
	"Tokens": [{"Name": %q, "Hash": %q}], %s
	"LogLevel": "info",
}`, e.name, e.callers, e.operators, e.proxy.target, e.proxy.addr(), e.ip, c.log.addr(),
		strings.Join(others, ", "), c.path("key"), operator, cfcmd.HashToken(token), c.settings)
	Expect(os.WriteFile(c.path(e.name+".jsonc"), []byte(text), 0o600)).To(Succeed())
}

func (c *cluster) addVM(i int) {
	name := fmt.Sprintf("vm-%d", i)
	v := &vmProc{name: name, addr: freePort(ip(ipVM, i))}
	local := freePort(ip(ipVM, i))
	v.worker = proc{name: name, start: func() *gexec.Session {
		return c.run(name, standinPath, "vm", v.addr.String(), local.String(), name)
	}}
	var entries []string
	for _, e := range c.entries {
		entries = append(entries, fmt.Sprintf("%q", e.proxy.addr()))
	}
	file := c.path(name + "-agent.jsonc")
	text := fmt.Sprintf(`{
	"Worker": %q, "DataCentre": "north-shore", "Rack": "rack-%d", "VM": %q, "Local": %q,
	"Source": %q, "Entries": [%s], "KeyFile": %q,
}`, name, i/3, v.addr, local, ip(ipVM, i), strings.Join(entries, ", "), c.path("key"))
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	v.agent = proc{name: name + "-agent", ip: ip(ipVM, i), start: func() *gexec.Session {
		return c.run(name+"-agent", programPath, "agent", "-settings", file)
	}}
	v.worker.restart()
	v.agent.restart()
	c.vms = append(c.vms, v)
}

// die kills a VM: its worker and its agent.
func (v *vmProc) die() {
	v.agent.kill()
	v.worker.kill()
}

// replace starts a new VM with the name of one that died.
func (v *vmProc) replace() {
	v.former = append(v.former, &formerVM{session: v.worker.session, killed: v.worker.killed})
	v.worker.killed = time.Time{}
	v.worker.restart()
	v.agent.restart()
}

// staticToken is the operator's token.
type staticToken struct{}

func (staticToken) Token(context.Context, cfapi.OperationName) (cfapi.Token, error) {
	return cfapi.Token{Token: token}, nil
}

func (c *cluster) status(entry int) (*cfapi.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.entries[entry].api.GetStatus(ctx)
}

// accept makes the plan for an intent through an entry and confirms it.
func (c *cluster) accept(entry int, in *cfapi.Intent) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	p, err := c.entries[entry].api.MakePlan(ctx, in)
	Expect(err).NotTo(HaveOccurred())
	_, err = c.entries[entry].api.ConfirmPlan(ctx, cfapi.ConfirmPlanParams{Plan: p.ID})
	Expect(err).NotTo(HaveOccurred())
}

// eventually waits until a condition holds.
func (c *cluster) eventually(limit time.Duration, what string, f func() bool) {
	GinkgoHelper()
	Eventually(f).WithTimeout(limit).WithPolling(50*time.Millisecond).Should(BeTrue(), "waiting until "+what)
}

// tasks returns the tasks of a workload, as an entry knows them.
func (c *cluster) tasks(entry int, workload string) []cfapi.Task {
	st, err := c.status(entry)
	if err != nil {
		return nil
	}
	for _, w := range st.Workloads {
		if w.Name == workload {
			return w.Tasks
		}
	}
	return nil
}

// count returns how many tasks of a workload have a status.
func (c *cluster) count(entry int, workload string, s cffold.TaskStatus) int {
	n := 0
	for _, t := range c.tasks(entry, workload) {
		if t.Status == string(s) {
			n++
		}
	}
	return n
}

// running returns the workers on which a workload executes now, as the workers
// themselves say.
func (c *cluster) running(workload string) []string {
	var out []string
	for _, v := range c.vms {
		for _, r := range c.report(v).Runs {
			if strings.HasPrefix(string(r.Task), workload+"/") && !r.State.Ended() {
				out = append(out, v.name)
			}
		}
	}
	return out
}

// report returns what a worker says of itself; nothing where it does not answer.
func (c *cluster) report(v *vmProc) cfcore.VMReport {
	var out cfcore.VMReport
	c.get(fmt.Sprintf("http://%s/report", v.addr), &out)
	return out
}

func (c *cluster) get(url string, out any) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(out)
}

// logFault makes the platform's log fail.
func (c *cluster) logFault(f cfstandin.LogControl) {
	GinkgoHelper()
	body, err := json.Marshal(f)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(fmt.Sprintf("http://%s/control", c.logAddr), "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// reply is what a caller got.
type reply struct {
	status  int
	verdict string
	body    string
	header  http.Header
	err     error
	took    time.Duration
}

// call sends one request through an entry.
func (c *cluster) call(entry int, method, path, body string, headers ...string) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	return send(client, method, fmt.Sprintf("http://%s%s", c.entries[entry].callers, path), body, headers...)
}

func send(client *http.Client, method, url, body string, headers ...string) reply {
	began := time.Now()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode, verdict: resp.Header.Get("Cranberryford-Verdict"), body: string(data),
		header: resp.Header, err: err, took: time.Since(began),
	}
}

// Intents of the tests.

func res(milliCores, memoryMB int64) cfapi.Resources {
	return cfapi.Resources{MilliCores: cfapi.NewOptInt64(milliCores), MemoryMB: cfapi.NewOptInt64(memoryMB)}
}

func team() cfapi.Team {
	return cfapi.Team{Name: "granite-spring", Quota: res(1_000_000, 10_000_000)}
}

var allPermissions = []string{"Restart", "Move", "Evict"}

func service(name string, replicas int) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Service", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: res(2000, 4000), Permissions: allPermissions,
	}
}

func batch(name string, replicas int, d time.Duration) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Batch", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: res(1000, 1000), Duration: cfapi.NewOptDuration(d), Permissions: allPermissions,
	}
}

func watch(name string, replicas int) cfapi.Workload {
	return cfapi.Workload{
		Name: name, Class: "Watch", Team: "granite-spring", Replicas: cfapi.NewOptInt(replicas),
		Resources: res(500, 500), Permissions: allPermissions,
	}
}

func intent(ws ...cfapi.Workload) *cfapi.Intent {
	return &cfapi.Intent{Teams: []cfapi.Team{team()}, Workloads: ws}
}

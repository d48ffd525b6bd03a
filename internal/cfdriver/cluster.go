// Package cfdriver starts the scheduler and the stand-ins as processes, injects
// faults, and checks the history of what really ran. It serves the tests.
package cfdriver

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

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfcmd"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cffold"
)

// The programs under test, built once by Build.
var (
	programPath string
	standinPath string
)

// SharedKey is the key that the processes of a test share. Each run of the tests has its
// own: processes that an interrupted run left behind have the same addresses, and would
// join.
var SharedKey = uuid.NewString()

const (
	token    = "a-token-for-tests-only"
	operator = "alice"
)

// Proc is one process under test.
type Proc struct {
	name    string
	IP      netip.Addr
	session *gexec.Session
	start   func() *gexec.Session
	killed  time.Time
}

// Kill ends the process without a word.
func (p *Proc) Kill() {
	p.killed = time.Now()
	p.session.Kill().Wait(5 * time.Second)
}

// Term asks the process to end.
func (p *Proc) Term() { p.session.Terminate() }

// Exited reports whether the process has ended, and with which code.
func (p *Proc) Exited() (bool, int) { return p.session.ExitCode() >= 0, p.session.ExitCode() }

// Freeze stops the process where it is.
func (p *Proc) Freeze() { Expect(p.session.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed()) }

// Thaw lets a frozen process go on.
func (p *Proc) Thaw() { Expect(p.session.Command.Process.Signal(syscall.SIGCONT)).To(Succeed()) }

// Restart starts the process again, with nothing left of its former run.
func (p *Proc) Restart() { p.session = p.start() }

// EntryProc is an entry, with the proxy before it.
type EntryProc struct {
	Proc
	Callers, Operators netip.AddrPort
	Proxy              *Proxy
	API                *cfapi.Client
}

// VMProc is a VM: the platform's worker with its targets, and the agent.
type VMProc struct {
	Name   string
	Worker Proc
	Agent  Proc
	addr   netip.AddrPort
	// former are the sessions of VMs that this one replaced.
	former []*formerVM
}

type formerVM struct {
	session *gexec.Session
	killed  time.Time
}

// Cluster is everything that one test starts.
type Cluster struct {
	dir      string
	net      byte
	Platform Proc
	Log      *Proxy
	logAddr  netip.AddrPort
	Entries  []*EntryProc
	VMs      []*VMProc
	settings string
	lease    string
	// ports counts the ports that were given out.
	ports uint16
}

// Shape is how large a Cluster is.
type Shape struct {
	// Net keeps the addresses of packages apart whose tests run at the same time.
	Net     byte
	Entries int
	VMs     int
	// Settings is more keys for the entries' settings.
	Settings string
	// Lease is the Lease settings of all processes; empty for the defaults.
	Lease string
}

// firstPort is the first port that a test's processes listen on. It lies below the
// ports that the system gives to outgoing connections.
const firstPort = 20000

// freePort returns a port that is free at an address, and that no other process of
// this cluster was given.
func (c *Cluster) freePort(ip netip.Addr) netip.AddrPort {
	for {
		addr := netip.AddrPortFrom(ip, firstPort+c.ports)
		c.ports++
		l, err := net.Listen("tcp", addr.String())
		if err == nil {
			Expect(l.Close()).To(Succeed())
			return addr
		}
	}
}

// ip returns the address of a process: the tests' own part of the loopback net.
func (c *Cluster) ip(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, c.net, byte(kind), byte(i + 1)})
}

const (
	ipPlatform = 1
	ipEntry    = 2
	ipVM       = 3
)

// New starts the platform, the entries and the VMs, and waits until a
// New has seen them all.
func New(s Shape) *Cluster {
	c := &Cluster{dir: GinkgoT().TempDir(), net: s.Net, settings: s.Settings}
	if s.Lease != "" {
		c.lease = `"Lease": ` + s.Lease + ","
	}
	Expect(os.WriteFile(c.path("key"), []byte(SharedKey), 0o600)).To(Succeed())
	DeferCleanup(c.reportLogs)
	c.startPlatform()
	for i := range s.Entries {
		c.prepareEntry(i)
	}
	for i := range c.Entries {
		c.writeEntry(i)
		c.Entries[i].session = c.Entries[i].start()
	}
	for i := range s.VMs {
		c.addVM(i)
	}
	c.Eventually(20*time.Second, "all workers are up", func() bool {
		st, err := c.Status(0)
		return err == nil && len(st.Workers) == s.VMs && len(st.Entries) == s.Entries
	})
	return c
}

// reportLogs adds what the processes logged to the report of a failed spec.
func (c *Cluster) reportLogs() {
	if !CurrentSpecReport().Failed() {
		return
	}
	files, err := filepath.Glob(c.path("*.log"))
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("log of "+filepath.Base(file), string(data[max(0, len(data)-maxLogBytes):]))
	}
}

// maxLogBytes bounds what is reported of each log.
const maxLogBytes = 3000

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

// run starts a process; what it prints goes to a file beside the settings.
func (c *Cluster) run(name, path string, args ...string) *gexec.Session {
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

func (c *Cluster) startPlatform() {
	c.logAddr = c.freePort(c.ip(ipPlatform, 0))
	c.Platform = Proc{name: "platform", start: func() *gexec.Session {
		return c.run("platform", standinPath, "platform", c.logAddr.String())
	}}
	c.Platform.Restart()
	var stop func()
	var err error
	c.Log, stop, err = newProxy(c.freePort(c.ip(ipPlatform, 1)), c.logAddr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
}

func (c *Cluster) prepareEntry(i int) {
	e := &EntryProc{}
	e.name, e.IP = fmt.Sprintf("entry-%d", i), c.ip(ipEntry, i)
	inner := c.freePort(e.IP)
	p, stop, err := newProxy(c.freePort(e.IP), inner)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	e.Proxy, e.Callers, e.Operators = p, c.freePort(e.IP), c.freePort(e.IP)
	api, err := cfapi.NewClient("http://"+e.Operators.String(), staticToken{})
	Expect(err).NotTo(HaveOccurred())
	e.API = api
	file := c.path(e.name + ".jsonc")
	e.start = func() *gexec.Session { return c.run(e.name, programPath, "entry", "-settings", file) }
	c.Entries = append(c.Entries, e)
}

func (c *Cluster) writeEntry(i int) {
	e := c.Entries[i]
	var others []string
	for j, o := range c.Entries {
		if j != i {
			others = append(others, fmt.Sprintf("%q", o.Proxy.addr()))
		}
	}
	text := fmt.Sprintf(`{
	// written by the test driver
	"Name": %q, "DataCentre": "north-shore", "Callers": %q, "Operators": %q, "Inner": %q,
	"Advertise": %q, "Source": %q, "Log": %q, "Entries": [%s], "KeyFile": %q,
	"Tokens": [{"Name": %q, "Hash": %q}], %s %s
	"LogLevel": "info",
}`, e.name, e.Callers, e.Operators, e.Proxy.target, e.Proxy.addr(), e.IP, c.Log.addr(),
		strings.Join(others, ", "), c.path("key"), operator, cfcmd.HashToken(token), c.settings, c.lease)
	Expect(os.WriteFile(c.path(e.name+".jsonc"), []byte(text), 0o600)).To(Succeed())
}

func (c *Cluster) addVM(i int) {
	name := fmt.Sprintf("vm-%d", i)
	v := &VMProc{Name: name, addr: c.freePort(c.ip(ipVM, i))}
	local := c.freePort(c.ip(ipVM, i))
	v.Worker = Proc{name: name, start: func() *gexec.Session {
		return c.run(name, standinPath, "vm", v.addr.String(), local.String(), name)
	}}
	var entries []string
	for _, e := range c.Entries {
		entries = append(entries, fmt.Sprintf("%q", e.Proxy.addr()))
	}
	file := c.path(name + "-agent.jsonc")
	text := fmt.Sprintf(`{
	"Worker": %q, "DataCentre": "north-shore", "Rack": "rack-%d", "VM": %q, "Local": %q,
	"Source": %q, "Entries": [%s], "KeyFile": %q, "CheckpointEvery": "1s", %s
}`, name, i/3, v.addr, local, c.ip(ipVM, i), strings.Join(entries, ", "), c.path("key"), c.lease)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	v.Agent = Proc{name: name + "-agent", IP: c.ip(ipVM, i), start: func() *gexec.Session {
		return c.run(name+"-agent", programPath, "agent", "-settings", file)
	}}
	v.Worker.Restart()
	v.Agent.Restart()
	c.VMs = append(c.VMs, v)
}

// Die kills a VM: its worker and its agent.
func (v *VMProc) Die() {
	v.Agent.Kill()
	v.Worker.Kill()
}

// Replace starts a new VM with the name of one that died.
func (v *VMProc) Replace() {
	v.former = append(v.former, &formerVM{session: v.Worker.session, killed: v.Worker.killed})
	v.Worker.killed = time.Time{}
	v.Worker.Restart()
	v.Agent.Restart()
}

// staticToken is the operator's token.
type staticToken struct{}

func (staticToken) Token(context.Context, cfapi.OperationName) (cfapi.Token, error) {
	return cfapi.Token{Token: token}, nil
}

// Status returns the state as an entry knows it.
func (c *Cluster) Status(entry int) (*cfapi.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.Entries[entry].API.GetStatus(ctx)
}

// planTries bounds the plans that an operator makes for an intent while others overtake them.
const planTries = 5

// Accept makes the plan for an intent through an entry and confirms it. As an operator
// would, it makes the plan again where another change has overtaken it: an entry may not
// have read yet what another one has accepted.
func (c *Cluster) Accept(entry int, in *cfapi.Intent) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := c.accept(ctx, entry, in)
	for range planTries - 1 {
		if !overtaken(err) {
			break
		}
		AddReportEntry("plan made again: " + err.Error())
		err = c.accept(ctx, entry, in)
	}
	Expect(err).NotTo(HaveOccurred())
}

func (c *Cluster) accept(ctx context.Context, entry int, in *cfapi.Intent) error {
	p, err := c.Entries[entry].API.MakePlan(ctx, in)
	if err != nil {
		return err
	}
	_, err = c.Entries[entry].API.ConfirmPlan(ctx, cfapi.ConfirmPlanParams{Plan: p.ID})
	return err
}

// overtaken reports whether a plan was refused because another change came before it.
func overtaken(err error) bool {
	var problem *cfapi.ProblemStatusCode
	return errors.As(err, &problem) && problem.StatusCode == http.StatusConflict
}

// Eventually waits until a condition holds.
func (c *Cluster) Eventually(limit time.Duration, what string, f func() bool) {
	GinkgoHelper()
	Eventually(f).WithTimeout(limit).WithPolling(50*time.Millisecond).Should(BeTrue(), "waiting until "+what)
}

// Tasks returns the tasks of a workload, as an entry knows them.
func (c *Cluster) Tasks(entry int, workload string) []cfapi.Task {
	st, err := c.Status(entry)
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

// Count returns how many tasks of a workload have a status.
func (c *Cluster) Count(entry int, workload string, s cffold.TaskStatus) int {
	n := 0
	for _, t := range c.Tasks(entry, workload) {
		if t.Status == string(s) {
			n++
		}
	}
	return n
}

// Running returns the workers on which a workload executes now, as the workers
// themselves say.
func (c *Cluster) Running(workload string) []string {
	var out []string
	for _, v := range c.VMs {
		for _, r := range c.Report(v).Runs {
			if strings.HasPrefix(string(r.Task), workload+"/") && !r.State.Ended() {
				out = append(out, v.Name)
			}
		}
	}
	return out
}

// Report returns what a worker says of itself; nothing where it does not answer.
func (c *Cluster) Report(v *VMProc) cfcore.VMReport {
	var out cfcore.VMReport
	c.get(fmt.Sprintf("http://%s/report", v.addr), &out)
	return out
}

func (c *Cluster) get(url string, out any) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(out)
}

// LogFault makes the platform's log fail.
func (c *Cluster) LogFault(f cfstandin.LogControl) {
	GinkgoHelper()
	c.post(fmt.Sprintf("http://%s/control", c.logAddr), f)
}

func (c *Cluster) post(url string, v any) {
	GinkgoHelper()
	body, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// Build builds the programs under test, before the first spec of a suite.
func Build() {
	var err error
	programPath, err = gexec.Build("cranberryford/cmd/cranberryford")
	Expect(err).NotTo(HaveOccurred())
	standinPath, err = gexec.Build("cranberryford/cmd/cfstandin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
}

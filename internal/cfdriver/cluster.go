// Package cfdriver is the driver of the integration tests. It starts the scheduler and
// the stand-ins of the platform (cfstandin) as processes, injects faults, and checks the
// history of the runs and calls that the VMs executed.
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
	"cranberryford/pkg/cfstate"
)

// Paths of the programs under test, set by Build.
var (
	programPath string
	standinPath string
)

// SharedKey is the key that the processes of a test share. Each run of the tests has a
// new key. Processes that an interrupted run left behind, at the same addresses, therefore
// cannot join the new cluster.
var SharedKey = uuid.NewString()

const (
	validToken   = "a-token-for-tests-only"
	operatorName = "alice"
)

// Proc is one process of a cluster.
type Proc struct {
	name string
	// IP is the source address of the process's connections. A Proxy selects connections by
	// this address. IP is set only for entries and agents.
	IP       netip.Addr
	session  *gexec.Session
	start    func() *gexec.Session
	killedAt time.Time
}

// Kill ends the process with SIGKILL and waits for its exit.
func (p *Proc) Kill() {
	p.killedAt = time.Now()
	p.session.Kill().Wait(5 * time.Second)
}

// Terminate sends SIGTERM and does not wait for the process to exit.
func (p *Proc) Terminate() { p.session.Terminate() }

// Exited reports whether the process has exited. The second result is the exit code, or -1
// while the process still runs.
func (p *Proc) Exited() (bool, int) { return p.session.ExitCode() >= 0, p.session.ExitCode() }

// Freeze suspends the process with SIGSTOP.
func (p *Proc) Freeze() { Expect(p.session.Command.Process.Signal(syscall.SIGSTOP)).To(Succeed()) }

// Thaw resumes a frozen process.
func (p *Proc) Thaw() { Expect(p.session.Command.Process.Signal(syscall.SIGCONT)).To(Succeed()) }

// Restart starts the process, for the first time or again. The new incarnation has no state
// of an earlier one. A process that still runs must be killed first.
func (p *Proc) Restart() { p.session = p.start() }

// EntryProc is an entry and the proxy in front of its inner address, to which agents and
// other entries connect.
type EntryProc struct {
	Proc
	Callers, Operators netip.AddrPort
	Proxy              *Proxy
	API                *cfapi.Client
}

// VMProc is a VM: the platform's worker with its targets, and the agent on that VM.
type VMProc struct {
	Name   string
	Worker Proc
	Agent  Proc
	// addr is the address of the worker.
	addr netip.AddrPort
	// replaced holds the worker sessions of earlier VMs with this name. The output of these
	// sessions is part of the history.
	replaced []*replacedVM
}

// replacedVM is the worker session of a killed VM.
type replacedVM struct {
	session  *gexec.Session
	killedAt time.Time
}

// Cluster is all processes and proxies that one test starts.
type Cluster struct {
	dir      string
	subnet   byte
	Platform Proc
	LogProxy *Proxy
	// logAddr is the address of the log itself, behind LogProxy.
	logAddr netip.AddrPort
	Entries []*EntryProc
	VMs     []*VMProc
	// settings is JSON text for the settings file of each entry. lease is JSON text for the
	// settings file of each entry and each agent, such as `"Lease": {...},`. With an empty
	// lease, the processes use the default lease settings.
	settings string
	lease    string
	// portOffset is added to firstPort to get the next port to try.
	portOffset uint16
}

// Options are the size and the settings of a Cluster.
type Options struct {
	// Subnet is the second byte of the cluster's loopback addresses. Packages whose tests
	// run at the same time need different subnets.
	Subnet  byte
	Entries int
	VMs     int
	// Settings is JSON text that is added to the settings of each entry: further keys with
	// their values, and a comma at the end.
	Settings string
	// Lease is the value of the key Lease in the settings of all entries and agents; empty
	// for the defaults.
	Lease string
}

// firstPort is the first port that a test's processes listen on. It is below the
// system's ephemeral port range, from which outgoing connections take their ports.
const firstPort = 20000

// freeAddr returns an address with a free port. Within a cluster, it returns each port at
// most once.
func (c *Cluster) freeAddr(ip netip.Addr) netip.AddrPort {
	for {
		addr := netip.AddrPortFrom(ip, firstPort+c.portOffset)
		c.portOffset++
		l, err := net.Listen("tcp", addr.String())
		if err == nil {
			Expect(l.Close()).To(Succeed())
			return addr
		}
	}
}

// ip returns the loopback address of the i-th process of a kind, in the cluster's subnet.
func (c *Cluster) ip(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, c.subnet, byte(kind), byte(i + 1)})
}

// Kinds of processes, the third byte of their addresses.
const (
	ipPlatform = 1
	ipEntry    = 2
	ipVM       = 3
)

// New starts the platform, the entries and the VMs, and waits until the status of the
// first entry lists all entries and workers.
func New(o Options) *Cluster {
	c := &Cluster{dir: GinkgoT().TempDir(), subnet: o.Subnet, settings: o.Settings}
	if o.Lease != "" {
		c.lease = `"Lease": ` + o.Lease + ","
	}
	Expect(os.WriteFile(c.path("key"), []byte(SharedKey), 0o600)).To(Succeed())
	DeferCleanup(c.reportLogs)
	c.startPlatform()
	for i := range o.Entries {
		c.prepareEntry(i)
	}
	for i := range c.Entries {
		c.writeEntrySettings(i)
		c.Entries[i].session = c.Entries[i].start()
	}
	for i := range o.VMs {
		c.addVM(i)
	}
	c.Eventually(20*time.Second, "all workers are up", func() bool {
		st, err := c.Status(0)
		return err == nil && len(st.Workers) == o.VMs && len(st.Entries) == o.Entries
	})
	return c
}

// reportLogs adds the end of each process's log to the report if the spec has failed.
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

// maxLogBytes is the number of bytes reported from the end of each log.
const maxLogBytes = 3000

func (c *Cluster) path(name string) string { return filepath.Join(c.dir, name) }

// startProcess starts a process. Its standard error goes to a log file in the test's directory.
func (c *Cluster) startProcess(name, path string, args ...string) *gexec.Session {
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

// startPlatform starts the platform's log and the proxy in front of it.
func (c *Cluster) startPlatform() {
	c.logAddr = c.freeAddr(c.ip(ipPlatform, 0))
	c.Platform = Proc{name: "platform", start: func() *gexec.Session {
		return c.startProcess("platform", standinPath, "platform", c.logAddr.String())
	}}
	c.Platform.Restart()
	var stop func()
	var err error
	c.LogProxy, stop, err = newProxy(c.freeAddr(c.ip(ipPlatform, 1)), c.logAddr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
}

// prepareEntry assigns the addresses of entry i and starts its proxy. It does not start the
// entry's process: the settings of an entry contain the addresses of all other entries, and
// some of these are assigned later.
func (c *Cluster) prepareEntry(i int) {
	e := &EntryProc{}
	e.name, e.IP = fmt.Sprintf("entry-%d", i), c.ip(ipEntry, i)
	inner := c.freeAddr(e.IP)
	p, stop, err := newProxy(c.freeAddr(e.IP), inner)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	e.Proxy, e.Callers, e.Operators = p, c.freeAddr(e.IP), c.freeAddr(e.IP)
	api, err := cfapi.NewClient("http://"+e.Operators.String(), staticToken{})
	Expect(err).NotTo(HaveOccurred())
	e.API = api
	file := c.path(e.name + ".jsonc")
	e.start = func() *gexec.Session { return c.startProcess(e.name, programPath, "entry", "-settings", file) }
	c.Entries = append(c.Entries, e)
}

// writeEntrySettings writes the settings file of entry i.
func (c *Cluster) writeEntrySettings(i int) {
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
}`, e.name, e.Callers, e.Operators, e.Proxy.target, e.Proxy.addr(), e.IP, c.LogProxy.addr(),
		strings.Join(others, ", "), c.path("key"), operatorName, cfcmd.HashToken(validToken), c.settings, c.lease)
	Expect(os.WriteFile(c.path(e.name+".jsonc"), []byte(text), 0o600)).To(Succeed())
}

// addVM starts the worker and the agent of VM i.
func (c *Cluster) addVM(i int) {
	name := fmt.Sprintf("vm-%d", i)
	v := &VMProc{Name: name, addr: c.freeAddr(c.ip(ipVM, i))}
	local := c.freeAddr(c.ip(ipVM, i))
	v.Worker = Proc{name: name, start: func() *gexec.Session {
		return c.startProcess(name, standinPath, "vm", v.addr.String(), local.String(), name)
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
		return c.startProcess(name+"-agent", programPath, "agent", "-settings", file)
	}}
	v.Worker.Restart()
	v.Agent.Restart()
	c.VMs = append(c.VMs, v)
}

// Crash kills the VM: its agent and its worker.
func (v *VMProc) Crash() {
	v.Agent.Kill()
	v.Worker.Kill()
}

// Replace starts a new VM with the same name. Crash must have killed the VM before.
func (v *VMProc) Replace() {
	v.replaced = append(v.replaced, &replacedVM{session: v.Worker.session, killedAt: v.Worker.killedAt})
	v.Worker.killedAt = time.Time{}
	v.Worker.Restart()
	v.Agent.Restart()
}

// staticToken authenticates API requests with the operator's valid token.
type staticToken struct{}

func (staticToken) Token(context.Context, cfapi.OperationName) (cfapi.Token, error) {
	return cfapi.Token{Token: validToken}, nil
}

// Status returns the installation's status as an entry reports it.
func (c *Cluster) Status(entry int) (*cfapi.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return c.Entries[entry].API.GetStatus(ctx)
}

// maxPlanAttempts is the largest number of plans that PlanAndConfirm makes for one intent.
const maxPlanAttempts = 5

// PlanAndConfirm makes the plan for an intent through an entry and confirms the plan. The
// plan can conflict with a change that another entry accepted, if this entry has not read the
// change yet. PlanAndConfirm then makes a new plan, as an operator would. It makes at most
// maxPlanAttempts plans.
func (c *Cluster) PlanAndConfirm(entry int, in *cfapi.Intent) {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := c.tryPlanAndConfirm(ctx, entry, in)
	for range maxPlanAttempts - 1 {
		if !isConflict(err) {
			break
		}
		AddReportEntry("plan made again: " + err.Error())
		err = c.tryPlanAndConfirm(ctx, entry, in)
	}
	Expect(err).NotTo(HaveOccurred())
}

func (c *Cluster) tryPlanAndConfirm(ctx context.Context, entry int, in *cfapi.Intent) error {
	p, err := c.Entries[entry].API.MakePlan(ctx, in)
	if err != nil {
		return err
	}
	_, err = c.Entries[entry].API.ConfirmPlan(ctx, cfapi.ConfirmPlanParams{Plan: p.ID})
	return err
}

// isConflict reports whether a plan was refused because of an earlier conflicting change.
func isConflict(err error) bool {
	var problem *cfapi.ProblemStatusCode
	return errors.As(err, &problem) && problem.StatusCode == http.StatusConflict
}

// Eventually waits until a condition holds, and fails the spec if that takes longer than
// limit. The failure message is "waiting until" followed by what.
func (c *Cluster) Eventually(limit time.Duration, what string, condition func() bool) {
	GinkgoHelper()
	Eventually(condition).WithTimeout(limit).WithPolling(50*time.Millisecond).Should(BeTrue(), "waiting until "+what)
}

// Tasks returns the tasks that an entry reports for a workload; nil if the entry does not
// answer or does not list the workload.
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

// CountTasks returns the number of a workload's tasks in a status, as an entry reports it.
func (c *Cluster) CountTasks(entry int, workload string, s cfstate.TaskStatus) int {
	n := 0
	for _, t := range c.Tasks(entry, workload) {
		if t.Status == string(s) {
			n++
		}
	}
	return n
}

// WorkersRunning returns the name of the worker of each current run of a workload, as the
// workers report. A worker with several runs is listed several times.
func (c *Cluster) WorkersRunning(workload string) []string {
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

// Report returns a worker's report; the zero value if the worker does not answer.
func (c *Cluster) Report(v *VMProc) cfcore.VMReport {
	var out cfcore.VMReport
	c.getJSON(fmt.Sprintf("http://%s/report", v.addr), &out)
	return out
}

// getJSON decodes the JSON response of a URL into out. If there is no response, out keeps its
// value.
func (c *Cluster) getJSON(url string, out any) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(out)
}

// SetLogFault sets the fault and the retention of the platform's log. With the zero value,
// the log works normally and retains all further entries.
func (c *Cluster) SetLogFault(f cfstandin.LogControl) {
	GinkgoHelper()
	c.postJSON(fmt.Sprintf("http://%s/control", c.logAddr), f)
}

// postJSON sends a value to a URL as JSON and ignores the response.
func (c *Cluster) postJSON(url string, v any) {
	GinkgoHelper()
	body, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(url, "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
}

// Build builds the programs under test. Suites call it before their first spec.
func Build() {
	var err error
	programPath, err = gexec.Build("cranberryford/cmd/cranberryford")
	Expect(err).NotTo(HaveOccurred())
	standinPath, err = gexec.Build("cranberryford/cmd/cfstandin")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
}

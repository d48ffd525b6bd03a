package cfbench

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cranberryford/pkg/cferror"
)

// agentCounts are the numbers of agents in the measurements of an entry.
var agentCounts = [...]int{10, 40}

// settleTime is the warm-up before a measurement of processes, and measureTime the duration
// of the measurement.
const (
	settleTime  = 5 * time.Second
	measureTime = 10 * time.Second
)

// usage is the resource usage of one process.
type usage struct {
	// cpu is the processor time used during the measurement, as a share of one core.
	cpu float64
	// rss is the resident memory in bytes.
	rss int64
}

// processFigures measures the CPU and memory usage of an entry and its agents, as real
// processes, once for each number of agents in agentCounts.
func processFigures(ctx context.Context) ([]figure, error) {
	dir, err := os.MkdirTemp("", "cfmeasure")
	if err != nil {
		return nil, cferror.Wrap("create a temporary directory", KindSetup, err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, name := range []string{"cranberryford", "cfstandin"} {
		build := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(dir, name), "cranberryford/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			return nil, cferror.New("build the commands", KindSetup, "output of go build: %s", out)
		}
	}
	var out []figure
	var entryUsages []usage
	for _, n := range agentCounts {
		entry, agent, err := measureProcesses(ctx, dir, n)
		if err != nil {
			return nil, err
		}
		entryUsages = append(entryUsages, entry)
		out = append(out,
			figure{fmt.Sprintf("entry process with %d idle agents", n), fmt.Sprintf("%s %% of a core, %.1f MB", pct(entry.cpu), float64(entry.rss)/1e6)},
			figure{fmt.Sprintf("idle agent process, mean of %d", n), fmt.Sprintf("%s %% of a core, %.1f MB", pct(agent.cpu), float64(agent.rss)/1e6)})
	}
	first, last := entryUsages[0], entryUsages[len(entryUsages)-1]
	addedAgents := float64(agentCounts[len(agentCounts)-1] - agentCounts[0])
	out = append(out, figure{
		"entry process, for each additional agent",
		fmt.Sprintf("%.3f %% of a core, %.0f KB", 100*(last.cpu-first.cpu)/addedAgents, float64(last.rss-first.rss)/addedAgents/1000),
	})
	return out, nil
}

// fleetProcesses holds the processes of one measurement and the folder of their files.
type fleetProcesses struct {
	dir  string
	cmds []*exec.Cmd
}

// startCommand starts one of the built commands with the given arguments.
func (f *fleetProcesses) startCommand(ctx context.Context, name string, args ...string) (*exec.Cmd, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(f.dir, name), args...)
	if err := cmd.Start(); err != nil {
		return nil, cferror.Wrap("start "+name, KindSetup, err)
	}
	f.cmds = append(f.cmds, cmd)
	return cmd, nil
}

// killAll kills all processes and waits for them.
func (f *fleetProcesses) killAll() {
	for _, cmd := range f.cmds {
		_ = cmd.Process.Kill()
		// The error of Wait only says that the process was killed.
		_ = cmd.Wait()
	}
}

// writeFile writes a file for the processes and returns the path of the file.
func (f *fleetProcesses) writeFile(name, text string) (string, error) {
	file := filepath.Join(f.dir, name)
	return file, cferror.Wrap("write a key or settings file", KindSetup, os.WriteFile(file, []byte(text), 0o600))
}

// freeAddr returns a loopback address with a port that is free at the moment.
func freeAddr(ctx context.Context) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, cferror.Wrap("find a free port", KindSetup, err)
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}

// measureProcesses starts an entry with n agents and measures these processes after
// settleTime. It returns the usage of the entry and the mean usage of the agents.
func measureProcesses(ctx context.Context, dir string, n int) (entry, agent usage, err error) {
	f := &fleetProcesses{dir: dir}
	defer f.killAll()
	entryCmd, agents, err := f.startAll(ctx, n)
	if err != nil {
		return entry, agent, err
	}
	time.Sleep(settleTime)
	cmds := append([]*exec.Cmd{entryCmd}, agents...)
	cpuBefore := make([]float64, len(cmds))
	for i, cmd := range cmds {
		cpuBefore[i] = cpuSeconds(cmd)
	}
	time.Sleep(measureTime)
	for i, cmd := range cmds {
		u := usage{cpu: (cpuSeconds(cmd) - cpuBefore[i]) / measureTime.Seconds(), rss: residentBytes(cmd)}
		if i == 0 {
			entry = u
			continue
		}
		agent.cpu += u.cpu / float64(n)
		agent.rss += u.rss / int64(n)
	}
	return entry, agent, nil
}

// startAll starts the log, an entry and n VMs with their agents. It returns the started
// commands of the entry and of the agents.
func (f *fleetProcesses) startAll(ctx context.Context, n int) (*exec.Cmd, []*exec.Cmd, error) {
	addrs := make([]netip.AddrPort, 4+2*n)
	for i := range addrs {
		a, err := freeAddr(ctx)
		if err != nil {
			return nil, nil, err
		}
		addrs[i] = a
	}
	if _, err := f.startCommand(ctx, "cfstandin", "platform", addrs[0].String()); err != nil {
		return nil, nil, err
	}
	key, err := f.writeFile("key", "a shared key for measuring")
	if err != nil {
		return nil, nil, err
	}
	sum := sha256.Sum256([]byte("token"))
	file, err := f.writeFile("entry.jsonc", fmt.Sprintf(`{"Name": "entry", "DataCentre": "dc", "Callers": %q, "Operators": %q,
		"Inner": %q, "Log": %q, "KeyFile": %q, "Tokens": [{"Name": "t", "Hash": %q}], "LogLevel": "error"}`,
		addrs[1], addrs[2], addrs[3], addrs[0], key, hex.EncodeToString(sum[:])))
	if err != nil {
		return nil, nil, err
	}
	entry, err := f.startCommand(ctx, "cranberryford", "entry", "-settings", file)
	if err != nil {
		return nil, nil, err
	}
	agents := make([]*exec.Cmd, n)
	for i := range agents {
		if agents[i], err = f.startVM(ctx, i, addrs[3], addrs[4+2*i], addrs[5+2*i], key); err != nil {
			return nil, nil, err
		}
	}
	return entry, agents, nil
}

// startVM starts VM number i and its agent, and returns the agent's command. The parameters
// are the entry's inner address, the worker's address, the agent's local address and the path
// of the key file.
func (f *fleetProcesses) startVM(ctx context.Context, i int, inner, vm, local netip.AddrPort, key string) (*exec.Cmd, error) {
	name := "vm-" + strconv.Itoa(i)
	if _, err := f.startCommand(ctx, "cfstandin", "vm", vm.String(), local.String(), name); err != nil {
		return nil, err
	}
	file, err := f.writeFile(name+".jsonc", fmt.Sprintf(`{"Worker": %q, "DataCentre": "dc", "Rack": "r", "VM": %q, "Local": %q,
		"Entries": [%q], "KeyFile": %q, "LogLevel": "error"}`, name, vm, local, inner, key))
	if err != nil {
		return nil, err
	}
	return f.startCommand(ctx, "cranberryford", "agent", "-settings", file)
}

// ticksPerSecond is the number of clock ticks per second. /proc/PID/stat gives processor times
// in clock ticks. 100 is the usual value of sysconf(_SC_CLK_TCK) on Linux, see proc_pid_stat(5).
const ticksPerSecond = 100

// cpuSeconds returns the processor time that a process has used so far, or 0 if unknown.
func cpuSeconds(cmd *exec.Cmd) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// Skip the process name in parentheses: the name can contain spaces, later fields cannot.
	// The remaining fields begin with field 3 of proc_pid_stat(5). The times utime and stime,
	// fields 14 and 15, therefore have the indexes 11 and 12.
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])
	const utime, stime = 11, 12
	sum := 0.0
	for _, i := range []int{utime, stime} {
		if n, err := strconv.ParseFloat(string(fields[i]), 64); err == nil {
			sum += n
		}
	}
	return sum / ticksPerSecond
}

// residentBytes returns the resident memory of a process, or 0 if unknown.
func residentBytes(cmd *exec.Cmd) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return n * 1024
		}
	}
	return 0
}

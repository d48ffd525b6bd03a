// Command cfstandin runs a stand-in for the platform's log, or for a VM, as a process of
// its own, for tests and measurements:
//
//	cfstandin platform ADDRESS
//	cfstandin vm ADDRESS AGENT-ADDRESS NAME
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfcore"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) >= 2 && args[0] == "platform" {
		return serve(ctx, args[1], cfstandin.NewLogServer(clockwork.NewRealClock()).Handler())
	}
	if len(args) >= 4 && args[0] == "vm" {
		return runVM(ctx, args[1], args[2], args[3])
	}
	return fmt.Errorf("usage: cfstandin platform ADDRESS | cfstandin vm ADDRESS AGENT-ADDRESS NAME")
}

// serve serves h on an address until ctx is cancelled.
func serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	<-ctx.Done()
	_ = s.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// runVM runs a stand-in for a VM until ctx is cancelled. It serves the VM's interface on
// addr. The VM's targets announce themselves to the agent at the given address. runVM
// prints the worker's history and the targets' calls.
func runVM(ctx context.Context, addr, agent, name string) error {
	agentAddr, err := netip.ParseAddrPort(agent)
	if err != nil {
		return err
	}
	host := cfstandin.NewHost(cfstandin.HostSettings{
		Name: name, Agent: agentAddr,
		VM: cfstandin.VMSettings{
			Capacity: cfcore.Resources{MilliCores: 16000, MemoryMB: 60000, Accelerators: 1},
			Tick:     20 * time.Millisecond, UsageLag: time.Second,
		},
		// Print each line at once: the output survives a kill of this process.
		Record: func(l cfstandin.HistoryLine) { printLine(l) },
		Target: cfstandin.TargetSettings{
			Slots: 8, Connections: 64, Every: 500 * time.Millisecond,
			Record: func(c cfstandin.Call) { printLine(c) },
		},
	}, clockwork.NewRealClock())
	done := make(chan struct{})
	go func() { defer close(done); host.Run(ctx) }()
	err = serve(ctx, addr, host.Handler())
	<-done
	return err
}

// printLine prints a value as one line of JSON in a single write.
func printLine(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = os.Stdout.Write(append(data, '\n'))
}

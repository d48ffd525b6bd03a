package cfdemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfapp"
	"cranberryford/internal/cfconvert"
	"cranberryford/internal/cfstandin"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cfcore"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfjson"
	"cranberryford/pkg/cfwire"
	"cranberryford/samples"
)

// The size of each deployment and of its workers and targets.
const (
	workerCount          = 11
	workersPerRack       = 3
	slotsPerTarget       = 8
	connectionsPerTarget = 64
	workerMilliCores     = 16000
	workerMemoryMB       = 60000
)

// The lease periods of the demo. They are shorter than the defaults to make failover quick.
const (
	leaseDuration      = time.Second
	leaseRenewInterval = 250 * time.Millisecond
)

const operatorToken = "the-demo's-token"

// loopback is the address on which all parts of the demo listen, each on a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fleet is a running deployment.
type fleet struct {
	// callerAddrs are the addresses at which the entries serve callers. innerAddrs are those
	// at which they serve agents and other entries.
	callerAddrs []netip.AddrPort
	innerAddrs  []netip.AddrPort
	vms         []*vm
	api         *cfapi.Client
	// wg waits for all goroutines of the deployment.
	wg sync.WaitGroup
	// mu guards err, the first error of any part of the deployment.
	mu  sync.Mutex
	err error
}

// setError records an error of a part of the fleet. Only the first error is kept.
func (f *fleet) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// firstError returns the first error recorded by setError, or nil.
func (f *fleet) firstError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// vm is a running VM with its agent.
type vm struct {
	name string
	stop context.CancelFunc
}

// newDeps returns the dependencies of an entry or agent. The log output of that process is
// discarded.
func newDeps(seed uint64) cfapp.Deps {
	return cfapp.Deps{
		Clock: clockwork.NewRealClock(), Logs: io.Discard, Seed: seed,
		Key: cfwire.NewKey([]byte("the demo's shared key")),
	}
}

// startFleet starts a deployment. The returned function stops the deployment and waits until
// all its goroutines have ended.
func startFleet(ctx context.Context, d deployment) (*fleet, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{}
	cleanup := func() { cancel(); f.wg.Wait() }
	if err := f.start(ctx, d); err != nil {
		cleanup()
		return nil, nil, err
	}
	return f, cleanup, nil
}

// start starts the log, the entries and the VMs, and waits until the status lists all entries
// and workers.
func (f *fleet) start(ctx context.Context, d deployment) error {
	logAddr, err := f.serve(ctx, cfstandin.NewLogServer(clockwork.NewRealClock()).Handler())
	if err != nil {
		return err
	}
	for i, dc := range d.dataCentres {
		if err := f.startEntry(ctx, dc, logAddr, uint64(i)); err != nil {
			return err
		}
	}
	for i := range workerCount {
		dc := d.dataCentres[i%len(d.dataCentres)]
		indexInDC := i / len(d.dataCentres)
		name := fmt.Sprintf("%s-%d", dc, indexInDC+1)
		if err := f.startVM(ctx, name, dc, fmt.Sprintf("%s-r%d", dc, indexInDC/workersPerRack+1)); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// serve serves a handler on a free port, in the background, until ctx is cancelled. It returns
// the address.
func (f *fleet) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, cferror.Wrap("listen for the log", KindStart, err)
	}
	f.serveOn(ctx, l, h)
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// serveOn serves a handler on a listener, in the background, until ctx is cancelled.
func (f *fleet) serveOn(ctx context.Context, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		done := make(chan error, 1)
		go func() { done <- s.Serve(l) }()
		<-ctx.Done()
		_ = s.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			f.setError(err)
		}
	}()
}

// demoLease returns the lease settings of entries and agents.
func demoLease() cfconfig.Lease {
	return cfconfig.Lease{Grant: leaseDuration, Ask: leaseRenewInterval, Margin: leaseRenewInterval, Poll: leaseRenewInterval}
}

// startEntry starts an entry. The demo's operator uses the first entry.
func (f *fleet) startEntry(ctx context.Context, dc string, logAddr netip.AddrPort, seed uint64) error {
	cfg := cfconfig.DefaultEntry()
	cfg.Name, cfg.DataCentre, cfg.Log = dc, dc, logAddr
	cfg.Callers, cfg.Operators, cfg.Inner = loopback, loopback, loopback
	cfg.Entries = append([]netip.AddrPort{}, f.innerAddrs...)
	cfg.Lease = demoLease()
	cfg.Planner.Silence = leaseDuration
	sum := sha256.Sum256([]byte(operatorToken))
	cfg.Tokens = []cfconfig.Token{{Name: "on-call", Hash: hex.EncodeToString(sum[:])}}
	role, err := cfapp.NewEntry(ctx, newDeps(seed), cfg)
	if err != nil {
		return err
	}
	f.callerAddrs = append(f.callerAddrs, role.Entry.CallersAddr())
	f.innerAddrs = append(f.innerAddrs, role.Entry.InnerAddr())
	f.runRole(ctx, role)
	if f.api != nil {
		return nil
	}
	f.api, err = cfapi.NewClient("http://"+role.Entry.OperatorsAddr().String(), bearerToken(operatorToken))
	return cferror.Wrap("create operator's client", KindStart, err)
}

// bearerToken is the operator's token. It authenticates requests of the API client.
type bearerToken string

// Token implements cfapi.SecuritySource.
func (t bearerToken) Token(context.Context, cfapi.OperationName) (cfapi.Token, error) {
	return cfapi.Token{Token: string(t)}, nil
}

// runRole runs an entry or agent in the background and records its error.
func (f *fleet) runRole(ctx context.Context, role *cfapp.Role) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		if err := role.Run(ctx, nil); err != nil {
			f.setError(err)
		}
	}()
}

// startVM starts a VM with its worker and agent.
func (f *fleet) startVM(ctx context.Context, name, dc, rack string) error {
	ctx, cancel := context.WithCancel(ctx)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback.String())
	if err != nil {
		cancel()
		return cferror.Wrap("listen for a worker", KindStart, err)
	}
	cfg := cfconfig.DefaultAgent()
	cfg.Worker, cfg.DataCentre, cfg.Rack = name, dc, rack
	cfg.VM, cfg.Local = netip.MustParseAddrPort(l.Addr().String()), loopback
	cfg.Entries, cfg.Lease = f.innerAddrs, demoLease()
	role, err := cfapp.NewAgent(ctx, newDeps(0), cfg)
	if err != nil {
		cancel()
		return err
	}
	h := cfstandin.NewHost(cfstandin.HostSettings{
		Name: name, Agent: role.Agent.LocalAddr(),
		VM: cfstandin.VMSettings{
			Capacity: cfcore.Resources{MilliCores: workerMilliCores, MemoryMB: workerMemoryMB},
			Tick:     20 * time.Millisecond, UsageLag: time.Second,
		},
		Target: cfstandin.TargetSettings{Slots: slotsPerTarget, Connections: connectionsPerTarget, Every: time.Second},
	}, clockwork.NewRealClock())
	f.serveOn(ctx, l, h.Handler())
	f.runRole(ctx, role)
	f.wg.Add(1)
	go func() { defer f.wg.Done(); h.Run(ctx) }()
	f.vms = append(f.vms, &vm{name: name, stop: cancel})
	return nil
}

// stopVM stops a VM and its agent abruptly, without draining.
func (f *fleet) stopVM(name string) {
	for _, v := range f.vms {
		if v.name == name {
			v.stop()
		}
	}
}

// waitReady waits until all entries and workers are listed in the status.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		st, err := f.api.GetStatus(ctx)
		if err == nil && len(st.Workers) == len(f.vms) && len(st.Entries) == len(f.callerAddrs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return cferror.New("wait for entries and workers", KindStart, "timed out before the status listed all of them")
		case <-time.After(pollInterval):
		}
	}
}

// reply is the response to a call. If there is no complete response, body is the text of the
// error and the other fields are zero.
type reply struct {
	status                int
	verdict, body, target string
	took                  time.Duration
}

// call sends a caller's POST request through the entry with the given index.
func (f *fleet) call(ctx context.Context, entry int, path, body string) reply {
	start := time.Now()
	url := fmt.Sprintf("http://%s%s", f.callerAddrs[entry], path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return reply{body: err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{body: err.Error()}
	}
	return reply{
		status: resp.StatusCode, verdict: resp.Header.Get("Cranberryford-Verdict"),
		body: strings.TrimSpace(string(data)), target: resp.Header.Get("Target"), took: time.Since(start),
	}
}

// sampleIntent returns the sample intent of a deployment and the text of its file.
func sampleIntent(name string) (*cfapi.Intent, string, error) {
	file := name + "/intent.jsonc"
	text, err := samples.Files.ReadFile(file)
	if err != nil {
		return nil, "", cferror.Wrap("read sample intent", KindStart, err)
	}
	var in cfintent.Intent
	if err := cfjson.Decode(file, text, &in).Err(); err != nil {
		return nil, "", err
	}
	return cfconvert.IntentToAPI(&in), string(text), nil
}

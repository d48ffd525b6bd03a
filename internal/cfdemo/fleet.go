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

// The sizes of each deployment.
const (
	workers     = 11
	rackSize    = 3
	slots       = 8
	connections = 64
	milliCores  = 16000
	memoryMB    = 60000
)

// The demo's lease is shorter than the default, so that a failure is over soon.
const (
	demoGrant = time.Second
	demoAsk   = 250 * time.Millisecond
)

const demoToken = "the-demo's-token"

// loopback is where all of the demo listens, on free ports.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fleet is a running deployment.
type fleet struct {
	entries []netip.AddrPort
	inner   []netip.AddrPort
	hosts   []*host
	api     *cfapi.Client
	wg      sync.WaitGroup
	mu      sync.Mutex
	err     error
}

// failed keeps the first error of a part of the fleet.
func (f *fleet) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// failure returns the first error of a part of the fleet, or nil.
func (f *fleet) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// host is a VM with its agent.
type host struct {
	name string
	stop context.CancelFunc
}

func deps(seed uint64) cfapp.Deps {
	return cfapp.Deps{
		Clock: clockwork.NewRealClock(), Logs: io.Discard, Seed: seed,
		Key: cfwire.NewKey([]byte("the demo's shared key")),
	}
}

// startFleet starts a deployment. The clean-up function ends it and waits for it.
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

func (f *fleet) start(ctx context.Context, d deployment) error {
	log, err := f.serve(ctx, cfstandin.NewPlatform(clockwork.NewRealClock()).Handler())
	if err != nil {
		return err
	}
	for i, dc := range d.dataCentres {
		if err := f.startEntry(ctx, dc, log, uint64(i)); err != nil {
			return err
		}
	}
	for i := range workers {
		dc := d.dataCentres[i%len(d.dataCentres)]
		n := i / len(d.dataCentres)
		name := fmt.Sprintf("%s-%d", dc, n+1)
		if err := f.startHost(ctx, name, dc, fmt.Sprintf("%s-r%d", dc, n/rackSize+1)); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

// serve serves a handler on a free port until the context ends.
func (f *fleet) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, cferror.Wrap("serve", KindStart, err)
	}
	f.serveOn(ctx, l, h)
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

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
			f.failed(err)
		}
	}()
}

func demoLease() cfconfig.Lease {
	return cfconfig.Lease{Grant: demoGrant, Ask: demoAsk, Margin: demoAsk, Poll: demoAsk}
}

func (f *fleet) startEntry(ctx context.Context, dc string, log netip.AddrPort, seed uint64) error {
	cfg := cfconfig.DefaultEntry()
	cfg.Name, cfg.DataCentre, cfg.Log = dc, dc, log
	cfg.Callers, cfg.Operators, cfg.Inner = loopback, loopback, loopback
	cfg.Entries = append([]netip.AddrPort{}, f.inner...)
	cfg.Lease = demoLease()
	cfg.Planner.Silence = demoGrant
	sum := sha256.Sum256([]byte(demoToken))
	cfg.Tokens = []cfconfig.Token{{Name: "on-call", Hash: hex.EncodeToString(sum[:])}}
	role, err := cfapp.NewEntry(ctx, deps(seed), cfg)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, role.Entry.Callers())
	f.inner = append(f.inner, role.Entry.Inner())
	f.run(ctx, role)
	if f.api != nil {
		return nil
	}
	f.api, err = cfapi.NewClient("http://"+role.Entry.Operators().String(), token(demoToken))
	return cferror.Wrap("start entry", KindStart, err)
}

// token is the demo's operator.
type token string

// Token implements cfapi.SecuritySource.
func (t token) Token(context.Context, cfapi.OperationName) (cfapi.Token, error) {
	return cfapi.Token{Token: string(t)}, nil
}

func (f *fleet) run(ctx context.Context, role *cfapp.Role) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		if err := role.Run(ctx, nil); err != nil {
			f.failed(err)
		}
	}()
}

func (f *fleet) startHost(ctx context.Context, name, dc, rack string) error {
	ctx, cancel := context.WithCancel(ctx)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback.String())
	if err != nil {
		cancel()
		return cferror.Wrap("start host", KindStart, err)
	}
	cfg := cfconfig.DefaultAgent()
	cfg.Worker, cfg.DataCentre, cfg.Rack = name, dc, rack
	cfg.VM, cfg.Local = netip.MustParseAddrPort(l.Addr().String()), loopback
	cfg.Entries, cfg.Lease = f.inner, demoLease()
	role, err := cfapp.NewAgent(ctx, deps(0), cfg)
	if err != nil {
		cancel()
		return err
	}
	h := cfstandin.NewHost(cfstandin.HostSettings{
		Name: name, Agent: role.Agent.Local(),
		VM: cfstandin.VMSettings{
			Capacity: cfcore.Resources{MilliCores: milliCores, MemoryMB: memoryMB},
			Tick:     20 * time.Millisecond, UsageLag: time.Second,
		},
		Target: cfstandin.TargetSettings{Slots: slots, Connections: connections, Every: time.Second},
	}, clockwork.NewRealClock())
	f.serveOn(ctx, l, h.Handler())
	f.run(ctx, role)
	f.wg.Add(1)
	go func() { defer f.wg.Done(); h.Run(ctx) }()
	f.hosts = append(f.hosts, &host{name: name, stop: cancel})
	return nil
}

// fail ends a VM without a word.
func (f *fleet) fail(name string) {
	for _, h := range f.hosts {
		if h.name == name {
			h.stop()
		}
	}
}

func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	for {
		st, err := f.api.GetStatus(ctx)
		if err == nil && len(st.Workers) == len(f.hosts) && len(st.Entries) == len(f.entries) {
			return nil
		}
		select {
		case <-ctx.Done():
			return cferror.New("start fleet", KindStart, "not all entries and workers came up")
		case <-time.After(pollPause):
		}
	}
}

// reply is what a caller got.
type reply struct {
	status                int
	verdict, body, target string
	took                  time.Duration
}

// call sends a caller's request through an entry.
func (f *fleet) call(ctx context.Context, entry int, path, body string) reply {
	began := time.Now()
	url := fmt.Sprintf("http://%s%s", f.entries[entry], path)
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
		body: strings.TrimSpace(string(data)), target: resp.Header.Get("Target"), took: time.Since(began),
	}
}

// sampleIntent returns a deployment's sample intent, and its text.
func sampleIntent(name string) (*cfapi.Intent, string, error) {
	file := name + "/intent.jsonc"
	text, err := samples.Files.ReadFile(file)
	if err != nil {
		return nil, "", cferror.Wrap("sample", KindStart, err)
	}
	var in cfintent.Intent
	if err := cfjson.Decode(file, text, &in).Err(); err != nil {
		return nil, "", err
	}
	return cfconvert.IntentToAPI(&in), string(text), nil
}

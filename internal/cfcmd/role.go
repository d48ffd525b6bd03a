package cfcmd

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"cranberryford/internal/cfapp"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cferror"
)

// The long-running roles.
const (
	roleEntry    = "entry"
	roleAgent    = "agent"
	roleJobEntry = "job-entry"
	roleJobAgent = "job-agent"
)

// roles lists the roles that have settings.
var roles = []string{roleEntry, roleAgent, roleJobEntry, roleJobAgent}

// envSettings is the environment variable with the default of the flag -settings.
const envSettings = "CRANBERRYFORD_BOOT"

// roleCmd is the command entry, agent, job-entry or job-agent. It runs the role of the same
// name until a signal stops it.
type roleCmd struct {
	*output
	role     string
	settings string
}

// Name implements subcommands.Command.
func (c *roleCmd) Name() string { return c.role }

// Synopsis implements subcommands.Command.
func (c *roleCmd) Synopsis() string { return "run the role " + c.role }

// Usage implements subcommands.Command.
func (c *roleCmd) Usage() string {
	return c.role + ` -settings FILE
Run an ` + c.role + ` until SIGTERM, which starts a graceful shutdown. A second signal
ends it at once.
Example: cranberryford ` + c.role + ` -settings samples/granite-spring/` + c.role + `.jsonc
`
}

// SetFlags implements subcommands.Command.
func (c *roleCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(envSettings), "settings file, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *roleCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return c.fail(cferror.New(c.role, KindUsage, "-settings FILE is needed, and nothing else"))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loaded := versionOf(c.settings)
	role, err := c.newRole(ctx)
	if err != nil {
		return c.fail(err)
	}
	stopReloads := c.reloadOnChange(ctx, role, loaded)
	defer stopReloads()
	if err := role.Run(ctx, leaveOnSignal(ctx, cancel)); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// newRole reads the settings file and returns the role with these settings.
func (c *roleCmd) newRole(ctx context.Context) (*cfapp.Role, error) {
	cfg, err := loadSettings(c.role, c.settings)
	if err != nil {
		return nil, err
	}
	switch cfg := cfg.(type) {
	case cfconfig.Entry:
		return makeRole(ctx, cfg, cfg.KeyFile, os.Stderr, cfapp.NewEntry)
	case cfconfig.Agent:
		return makeRole(ctx, cfg, cfg.KeyFile, os.Stderr, cfapp.NewAgent)
	case cfconfig.JobEntry:
		return makeRole(ctx, cfg, "", os.Stdout, cfapp.NewJobEntry)
	case cfconfig.JobAgent:
		return makeRole(ctx, cfg, "", os.Stdout, cfapp.NewJobAgent)
	}
	return nil, cferror.New(c.role, KindUsage, "unknown role")
}

// makeRole creates the dependencies of a role, passes them and cfg to create, and returns
// create's result. The settings in cfg must be valid.
func makeRole[C any](ctx context.Context, cfg C, keyFile string, logs io.Writer, create func(context.Context, cfapp.Deps, C) (*cfapp.Role, error)) (*cfapp.Role, error) {
	d, err := newDeps(keyFile, logs)
	if err != nil {
		return nil, err
	}
	return create(ctx, d, cfg)
}

// newDeps returns the dependencies of a role, with the shared key from keyFile and a
// random seed. If keyFile is empty, the key comes from the environment.
func newDeps(keyFile string, logs io.Writer) (cfapp.Deps, error) {
	key, err := cfapp.ReadKey(keyFile)
	if err != nil {
		return cfapp.Deps{}, err
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return cfapp.Deps{}, cferror.Wrap("generate seed", KindFailed, err)
	}
	return cfapp.Deps{
		Clock: clockwork.NewRealClock(), Logs: logs, Key: key, Seed: binary.LittleEndian.Uint64(seed[:]),
	}, nil
}

// leaveOnSignal returns a channel that is closed at the first SIGINT or SIGTERM. The
// second signal calls cancel.
func leaveOnSignal(ctx context.Context, cancel func()) <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	leave := make(chan struct{})
	go func() {
		defer signal.Stop(signals)
		select {
		case <-signals:
			close(leave)
		case <-ctx.Done():
			return
		}
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return leave
}

// settingsCheckInterval is how often a process checks whether its settings file has changed.
const settingsCheckInterval = time.Second

// fileVersion identifies the contents of a settings file.
type fileVersion struct {
	modifiedAt time.Time
	size       int64
}

// versionOf returns the version of a file, or the zero value if it cannot be read.
func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modifiedAt: info.ModTime(), size: info.Size()}
}

// reloadOnChange reloads the settings file at each SIGHUP, and when it has changed without a
// signal. loaded is the version that the role was created from. A file with faults changes
// nothing. The returned function stops the reloads and waits until a reload in progress has
// ended.
func (c *roleCmd) reloadOnChange(ctx context.Context, role *cfapp.Role, loaded fileVersion) func() {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer signal.Stop(signals)
		check := time.NewTicker(settingsCheckInterval)
		defer check.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			case <-check.C:
				if versionOf(c.settings) == loaded {
					continue
				}
			}
			loaded = versionOf(c.settings)
			cfg, err := loadSettings(c.role, c.settings)
			role.Reload(cfg, err)
		}
	}()
	return func() { cancel(); <-done }
}

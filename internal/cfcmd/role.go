package cfcmd

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"

	"cranberryford/internal/cfapp"
	"cranberryford/pkg/cfconfig"
	"cranberryford/pkg/cferror"
)

// The long-running roles.
const (
	roleEntry = "entry"
	roleAgent = "agent"
)

// roleCmd runs a long-running role.
type roleCmd struct {
	*output
	role     string
	settings string
}

// Name implements subcommands.Command.
func (c *roleCmd) Name() string { return c.role }

// Synopsis implements subcommands.Command.
func (c *roleCmd) Synopsis() string { return "run an " + c.role }

// Usage implements subcommands.Command.
func (c *roleCmd) Usage() string {
	return c.role + ` -settings FILE
Run an ` + c.role + ` until SIGTERM, which begins a graceful shutdown. A second signal
ends it at once.
Example: cranberryford ` + c.role + ` -settings samples/granite-spring/` + c.role + `.jsonc
`
}

// SetFlags implements subcommands.Command.
func (c *roleCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *roleCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		return c.fail(cferror.New(c.role, KindUsage, "-settings FILE is needed, and nothing else"))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	role, err := c.newRole(ctx)
	if err != nil {
		return c.fail(err)
	}
	if err := role.Run(ctx, leaveOnSignal(ctx, cancel)); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// newRole makes the role that the settings file describes.
func (c *roleCmd) newRole(ctx context.Context) (*cfapp.Role, error) {
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return nil, cferror.Wrap(c.role, KindUsage, err)
	}
	if c.role == roleEntry {
		cfg, err := cfconfig.LoadEntry(c.settings, data)
		if err != nil {
			return nil, err
		}
		d, err := deps(cfg.KeyFile)
		if err != nil {
			return nil, err
		}
		return cfapp.NewEntry(ctx, d, cfg)
	}
	cfg, err := cfconfig.LoadAgent(c.settings, data)
	if err != nil {
		return nil, err
	}
	d, err := deps(cfg.KeyFile)
	if err != nil {
		return nil, err
	}
	return cfapp.NewAgent(ctx, d, cfg)
}

func deps(keyFile string) (cfapp.Deps, error) {
	key, err := cfapp.ReadKey(keyFile)
	if err != nil {
		return cfapp.Deps{}, err
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return cfapp.Deps{}, cferror.Wrap("seed", KindFailed, err)
	}
	return cfapp.Deps{
		Clock: clockwork.NewRealClock(), Logs: os.Stderr, Key: key, Seed: binary.LittleEndian.Uint64(seed[:]),
	}, nil
}

// leaveOnSignal returns a channel that is closed at the first signal. The second
// one ends the context.
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

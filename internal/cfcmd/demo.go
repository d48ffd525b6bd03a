package cfcmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"cranberryford/internal/cfdemo"
)

// demoCmd runs both sample deployments in one process.
type demoCmd struct{ *output }

// Name implements subcommands.Command.
func (*demoCmd) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCmd) Synopsis() string { return "run both deployments on loopback, with stand-ins" }

// Usage implements subcommands.Command.
func (*demoCmd) Usage() string {
	return `demo
Run both deployments in one process on loopback, with stand-ins for the platform.
The demo shows an intent, its plan and confirmation, calls, a target that leaves, a
worker that fails, and the audit trail.
Example: go run ./cmd/cranberryford demo
`
}

// SetFlags implements subcommands.Command.
func (*demoCmd) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := cfdemo.Run(ctx, c.Out); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

package cfcmd

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"cranberryford/internal/cfapi"
	"cranberryford/pkg/cferror"
)

// confirmCmd confirms a plan.
type confirmCmd struct{ client }

// Name implements subcommands.Command.
func (*confirmCmd) Name() string { return "confirm" }

// Synopsis implements subcommands.Command.
func (*confirmCmd) Synopsis() string { return "confirm a plan" }

// Usage implements subcommands.Command.
func (*confirmCmd) Usage() string {
	return `confirm [flags] PLAN
Confirm a plan that "plan" has shown. The plan is refused if anything that it
touches has changed since.
Example: cranberryford confirm 1f0c2a7e-51b3
` + clientHelp
}

// Execute implements subcommands.Command.
func (c *confirmCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.fail(cferror.New("confirm plan", KindUsage, "name one plan"))
	}
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		return c.confirmPlan(ctx, api, f.Arg(0))
	})
}

// cancelCmd makes a plan that cancels workloads.
type cancelCmd struct {
	client
	confirm bool
}

// Name implements subcommands.Command.
func (*cancelCmd) Name() string { return "cancel" }

// Synopsis implements subcommands.Command.
func (*cancelCmd) Synopsis() string { return "plan to cancel workloads" }

// Usage implements subcommands.Command.
func (*cancelCmd) Usage() string {
	return `cancel [flags] WORKLOAD...
Make the plan that cancels workloads. With -yes it is confirmed at once.
Example: cranberryford cancel -yes route-plan-49
` + clientHelp
}

// SetFlags implements subcommands.Command.
func (c *cancelCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.BoolVar(&c.confirm, "yes", false, "confirm the plan at once")
}

// Execute implements subcommands.Command.
func (c *cancelCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.fail(cferror.New("cancel workloads", KindUsage, "name at least one workload"))
	}
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		return c.makePlan(ctx, api, &cfapi.Intent{Remove: f.Args()}, c.confirm)
	})
}

// drainCmd makes a plan that drains workers, or that lets them take tasks again.
type drainCmd struct {
	client
	confirm bool
	undo    bool
}

// Name implements subcommands.Command.
func (*drainCmd) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCmd) Synopsis() string { return "plan to drain workers" }

// Usage implements subcommands.Command.
func (*drainCmd) Usage() string {
	return `drain [flags] WORKER...
Make the plan that moves all tasks off workers and gives them no new ones. With
-undo they take tasks again; with -yes the plan is confirmed at once.
Example: cranberryford drain -yes north-shore-1
` + clientHelp
}

// SetFlags implements subcommands.Command.
func (c *drainCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.BoolVar(&c.confirm, "yes", false, "confirm the plan at once")
	f.BoolVar(&c.undo, "undo", false, "let the workers take tasks again")
}

// Execute implements subcommands.Command.
func (c *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.fail(cferror.New("drain workers", KindUsage, "name at least one worker"))
	}
	in := &cfapi.Intent{Drain: f.Args()}
	if c.undo {
		in = &cfapi.Intent{Undrain: f.Args()}
	}
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		return c.makePlan(ctx, api, in, c.confirm)
	})
}

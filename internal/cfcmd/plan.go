package cfcmd

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cfconvert"
	"cranberryford/pkg/cferror"
	"cranberryford/pkg/cfintent"
	"cranberryford/pkg/cfjson"
)

// planCmd makes a plan for an intent.
type planCmd struct {
	client
	confirm bool
}

// Name implements subcommands.Command.
func (*planCmd) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (*planCmd) Synopsis() string { return "show what an intent would change" }

// Usage implements subcommands.Command.
func (*planCmd) Usage() string {
	return `plan [flags] FILE
Read an intent, JSON with comments, and show its plan. Nothing changes before
the plan is confirmed.
Example: cranberryford plan -entry 10.0.0.1:7001 samples/granite-spring/intent.jsonc
` + clientHelp
}

// SetFlags implements subcommands.Command.
func (c *planCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.BoolVar(&c.confirm, "yes", false, "confirm the plan at once")
}

// Execute implements subcommands.Command.
func (c *planCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.fail(cferror.New("make plan", KindUsage, "name one intent file"))
	}
	in, err := readIntent(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		return c.makePlan(ctx, api, in, c.confirm)
	})
}

// readIntent reads an intent from a file and runs the checks that need no entry.
func readIntent(file string) (*cfapi.Intent, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, cferror.Wrap("read intent file", KindUsage, err)
	}
	var in cfintent.Intent
	doc := cfjson.Decode(file, data, &in)
	if doc.Err() == nil {
		for _, fault := range in.WithDefaults().Check() {
			doc.Add(fault.Key, "%s", fault.Message)
		}
	}
	if err := doc.Err(); err != nil {
		return nil, cferror.Wrap("check intent", KindRefused, err)
	}
	return cfconvert.IntentToAPI(&in), nil
}

// makePlan makes the plan for an intent and prints it. If confirm is set, it also confirms
// the plan.
func (c *client) makePlan(ctx context.Context, api *cfapi.Client, in *cfapi.Intent, confirm bool) error {
	p, err := api.MakePlan(ctx, in)
	if err != nil {
		return err
	}
	if !confirm {
		return c.printPlan(p)
	}
	if err := c.printPlan(p); err != nil {
		return err
	}
	return c.confirmPlan(ctx, api, p.ID)
}

// printPlan prints a plan as a table, or as JSON if the flag -json is set.
func (c *client) printPlan(p *cfapi.Plan) error {
	if c.json {
		return c.printJSON(p)
	}
	c.Plan(p)
	return nil
}

// confirmPlan confirms the plan with the given ID and prints the confirmation.
func (c *client) confirmPlan(ctx context.Context, api *cfapi.Client, id string) error {
	res, err := api.ConfirmPlan(ctx, cfapi.ConfirmPlanParams{Plan: id})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(res)
	}
	c.Confirmation(res)
	return nil
}

package cfcmd

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/google/subcommands"

	"cranberryford/internal/cfapi"
	"cranberryford/pkg/cferror"
)

// statusCmd shows the state.
type statusCmd struct{ client }

// Name implements subcommands.Command.
func (*statusCmd) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCmd) Synopsis() string { return "show workloads, workers and entries" }

// Usage implements subcommands.Command.
func (*statusCmd) Usage() string {
	return `status [flags]
Show what runs where.
Example: cranberryford status -entry 10.0.0.1:7001 -json
` + clientHelp
}

// Execute implements subcommands.Command.
func (c *statusCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		s, err := api.GetStatus(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(s)
		}
		c.printStatus(s)
		return nil
	})
}

func (o *output) printStatus(s *cfapi.Status) {
	log := "readable"
	if !s.LogHealthy {
		log = "NOT readable"
	}
	o.printf("Entry %s: offset %d, epoch %d, log %s\n", s.Entry, s.Offset, s.Epoch, log)
	t := o.newTable("Entry", "Peer", "Data centre", "Planner")
	for _, e := range s.Entries {
		t.AppendRow([]any{e.ID, e.Peer, e.DataCentre, e.Planner})
	}
	t.Render()
	t = o.newTable("Worker", "Data centre", "Rack", "State", "Cores", "Memory MB", "Tasks", "Targets")
	for _, w := range s.Workers {
		t.AppendRow([]any{
			w.ID, w.DataCentre, w.Rack, w.State, ofCapacity(w.Used.MilliCores, w.Capacity.MilliCores),
			ofCapacity(w.Used.MemoryMB, w.Capacity.MemoryMB), w.Tasks, strings.Join(w.Targets, " "),
		})
	}
	t.Render()
	t = o.newTable("Task", "Class", "Team", "Status", "Worker", "Evictions", "Failures", "Reason")
	for _, w := range s.Workloads {
		for i := range w.Tasks {
			k := &w.Tasks[i]
			t.AppendRow([]any{k.ID, w.Class, w.Team, k.Status, k.Worker.Or(""), k.Evictions, k.Failures, k.Reason.Or("")})
		}
	}
	t.Render()
}

// ofCapacity prints a used amount and its whole.
func ofCapacity(used, capacity cfapi.OptInt64) string {
	return itoa(used.Or(0)) + "/" + itoa(capacity.Or(0))
}

// explainCmd tells a task's story.
type explainCmd struct{ client }

// Name implements subcommands.Command.
func (*explainCmd) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCmd) Synopsis() string { return "tell why a task is where it is" }

// Usage implements subcommands.Command.
func (*explainCmd) Usage() string {
	return `explain [flags] TASK
Tell all that happened to a task, from the log. A task is named WORKLOAD/INDEX.
Example: cranberryford explain flagged-fountains/0
` + clientHelp
}

// Execute implements subcommands.Command.
func (c *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.fail(cferror.New("explain", KindUsage, "name one task, as WORKLOAD/INDEX"))
	}
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		e, err := api.ExplainTask(ctx, cfapi.ExplainTaskParams{Task: f.Arg(0)})
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(e)
		}
		c.printExplanation(e)
		return nil
	})
}

func (o *output) printExplanation(e *cfapi.Explanation) {
	t := &e.Task
	where := "on no worker"
	if w, ok := t.Worker.Get(); ok {
		where = "on " + w
	}
	o.printf("%s is %s, %s, since %s. %s\n", t.ID, t.Status, where, t.Since.Format(time.RFC3339), t.Reason.Or(""))
	o.printf("It is a %s of plan %s, which permits: %s.\n", e.Class, e.Plan, orNothing(e.Permissions))
	o.printEvents(e.Events)
}

func orNothing(list []string) string {
	if len(list) == 0 {
		return "nothing"
	}
	return strings.Join(list, ", ")
}

func (o *output) printEvents(events []cfapi.Event) {
	t := o.newTable("Offset", "Time", "Who", "Plan", "What", "Subject", "Cause")
	for _, e := range events {
		t.AppendRow([]any{
			e.Offset, e.At.Format(time.RFC3339), e.Who, e.Plan.Or(""), e.What, e.Subject, e.Cause.Or(""),
		})
	}
	t.Render()
}

// auditCmd shows the audit trail.
type auditCmd struct {
	client
	limit int
}

// Name implements subcommands.Command.
func (*auditCmd) Name() string { return "audit" }

// Synopsis implements subcommands.Command.
func (*auditCmd) Synopsis() string { return "show who changed what" }

// Usage implements subcommands.Command.
func (*auditCmd) Usage() string {
	return `audit [flags]
Show the audit trail: who, when, by which plan, at which log offset, and why.
Example: cranberryford audit -n 50
` + clientHelp
}

// SetFlags implements subcommands.Command.
func (c *auditCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.IntVar(&c.limit, "n", 100, "number of lines, 1 to 4096")
}

// Execute implements subcommands.Command.
func (c *auditCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		events, err := api.GetAudit(ctx, cfapi.GetAuditParams{Limit: cfapi.NewOptInt(c.limit)})
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(events)
		}
		c.printEvents(events)
		return nil
	})
}

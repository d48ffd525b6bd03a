package cfcmd

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"cranberryford/internal/cfapi"
	"cranberryford/internal/cftrace"
	"cranberryford/pkg/cferror"
)

// statusCmd shows the workloads, workers and entries.
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
		c.Status(s)
		return nil
	})
}

// explainCmd shows the history of a task, or of a job from saved logs.
type explainCmd struct {
	client
	logPattern  string
	withContext bool
}

// Name implements subcommands.Command.
func (*explainCmd) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCmd) Synopsis() string { return "show why a task is in its state" }

// Usage implements subcommands.Command.
func (*explainCmd) Usage() string {
	return `explain [flags] TASK
Show the history of a task, from the log. A task is named WORKLOAD/INDEX.
With -logs, show the history of a job with a given ID, from the saved standard
output of the processes, without contacting an entry.
Example: cranberryford explain flagged-fountains/0
Example: cranberryford explain -logs 'saved/*.log' -context 5c0e7a21d94b36f8
` + clientHelp
}

// SetFlags implements subcommands.Command.
func (c *explainCmd) SetFlags(f *flag.FlagSet) {
	c.client.SetFlags(f)
	f.StringVar(&c.logPattern, "logs", "", "pattern of the files with saved logs")
	f.BoolVar(&c.withContext, "context", false, "add what the processes that the job met say of themselves")
}

// Execute implements subcommands.Command.
func (c *explainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.fail(cferror.New("explain task or job", KindUsage, "name one task, as WORKLOAD/INDEX, or one job with -logs"))
	}
	if c.logPattern != "" {
		return c.explainLogs(f.Arg(0))
	}
	return c.run(ctx, func(ctx context.Context, api *cfapi.Client) error {
		e, err := api.ExplainTask(ctx, cfapi.ExplainTaskParams{Task: f.Arg(0)})
		if err != nil {
			return err
		}
		if c.json {
			return c.printJSON(e)
		}
		c.Explanation(e)
		return nil
	})
}

// explainLogs shows the history of a job from saved logs.
func (c *explainCmd) explainLogs(id string) subcommands.ExitStatus {
	names, err := filepath.Glob(c.logPattern)
	if err != nil || len(names) == 0 {
		return c.fail(cferror.New("find saved logs", KindUsage, "the pattern %s matches no file or is not valid", c.logPattern))
	}
	var logs []io.Reader
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return c.fail(cferror.Wrap("read saved log", KindUsage, err))
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	s, err := cftrace.Read(id, c.withContext, logs...)
	if err != nil {
		return c.fail(cferror.Wrap("explain job", KindFailed, err))
	}
	if c.json {
		if err := c.printJSON(s); err != nil {
			return c.fail(err)
		}
		return subcommands.ExitSuccess
	}
	c.Trace(id, s)
	return subcommands.ExitSuccess
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
		c.Events(events)
		return nil
	})
}

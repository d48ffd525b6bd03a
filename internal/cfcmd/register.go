// Package cfcmd is the command line: each command binds its arguments to a helper
// of another package and prints what that returns.
package cfcmd

import (
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"cranberryford/internal/cfprint"
	"cranberryford/pkg/cferror"
)

// Kind is the kind of an Error of this package.
type Kind string

// The kinds of errors.
const (
	// KindUsage is a command line that is not valid.
	KindUsage Kind = "usage"
	// KindUnreachable is an entry that gives no answer.
	KindUnreachable Kind = "entry cannot be reached"
	// KindRefused is a change that an entry refuses.
	KindRefused Kind = "refused"
	// KindUnknown is a change of which it is not known whether it was made.
	KindUnknown Kind = "outcome unknown"
	// KindFailed is any other failure.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Exit codes, beyond the 0 of success and the 2 of a wrong command line.
const (
	exitFailed      subcommands.ExitStatus = 1
	exitRefused     subcommands.ExitStatus = 3
	exitUnreachable subcommands.ExitStatus = 4
	exitUnknown     subcommands.ExitStatus = 5
)

const exitHelp = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused,
4 entry cannot be reached, 5 outcome unknown (the audit trail tells).
`

// output is where a command prints.
type output struct {
	cfprint.Printer
	err io.Writer
}

// fail prints an error and returns the exit code of its kind.
func (o *output) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(o.err, "cranberryford: %v\n", err)
	switch {
	case cferror.Is(err, KindUsage):
		return subcommands.ExitUsageError
	case cferror.Is(err, KindUnreachable):
		return exitUnreachable
	case cferror.Is(err, KindRefused):
		return exitRefused
	case cferror.Is(err, KindUnknown):
		return exitUnknown
	}
	return exitFailed
}

// Register adds all commands to a flag set.
func Register(flags *flag.FlagSet, out, errs io.Writer) *subcommands.Commander {
	c := subcommands.NewCommander(flags, "cranberryford")
	c.Output, c.Error = out, errs
	o := &output{Printer: cfprint.Printer{Out: out}, err: errs}
	for _, cmd := range []subcommands.Command{
		c.HelpCommand(), c.FlagsCommand(), c.CommandsCommand(),
	} {
		c.Register(cmd, "help")
	}
	for _, cmd := range []subcommands.Command{
		&roleCmd{output: o, role: roleEntry}, &roleCmd{output: o, role: roleAgent},
		&roleCmd{output: o, role: roleJobEntry}, &roleCmd{output: o, role: roleJobAgent}, &demoCmd{output: o},
	} {
		c.Register(cmd, "processes")
	}
	for _, cmd := range []subcommands.Command{
		&planCmd{client: client{output: o}}, &confirmCmd{client: client{output: o}},
		&statusCmd{client: client{output: o}}, &explainCmd{client: client{output: o}},
		&auditCmd{client: client{output: o}}, &cancelCmd{client: client{output: o}},
		&drainCmd{client: client{output: o}},
	} {
		c.Register(cmd, "operators")
	}
	c.Register(&settingsCmd{output: o}, "settings")
	c.Register(&tokenCmd{output: o}, "settings")
	return c
}

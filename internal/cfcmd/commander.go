// Package cfcmd is the command line of cranberryford. Each command passes its arguments
// to another package and prints the result.
package cfcmd

import (
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"cranberryford/internal/cfprint"
	"cranberryford/pkg/cferror"
)

// Kind classifies the errors of this package. It determines the exit code of a command.
type Kind string

const (
	// KindUsage means that the command line is not valid, that a file named on it cannot be
	// read, or that the operator's token is missing.
	KindUsage Kind = "usage"
	// KindUnreachable means that the entry does not answer, or that its answer cannot be
	// read.
	KindUnreachable Kind = "entry cannot be reached"
	// KindRefused means that the entry refused a request, or that a file is not valid.
	KindRefused Kind = "refused"
	// KindOutcomeUnknown means that the entry does not know whether a change was made.
	KindOutcomeUnknown Kind = "outcome unknown"
	// KindFailed is any other failure.
	KindFailed Kind = "failed"
)

// Error is the error type of this package.
type Error = cferror.Error[Kind]

// Exit codes other than 0 for success and 2 for a wrong command line.
const (
	exitFailed      subcommands.ExitStatus = 1
	exitRefused     subcommands.ExitStatus = 3
	exitUnreachable subcommands.ExitStatus = 4
	exitUnknown     subcommands.ExitStatus = 5
)

// exitHelp is the part of a usage text that lists the exit codes.
const exitHelp = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused,
4 entry cannot be reached, 5 outcome unknown (the audit trail tells).
`

// output holds the destinations of a command's results and errors.
type output struct {
	cfprint.Printer
	errOut io.Writer
}

// fail prints an error and returns the exit code for its kind.
func (o *output) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(o.errOut, "cranberryford: %v\n", err)
	switch {
	case cferror.Is(err, KindUsage):
		return subcommands.ExitUsageError
	case cferror.Is(err, KindUnreachable):
		return exitUnreachable
	case cferror.Is(err, KindRefused):
		return exitRefused
	case cferror.Is(err, KindOutcomeUnknown):
		return exitUnknown
	}
	return exitFailed
}

// NewCommander returns a commander that has all commands and reads its arguments from flags.
func NewCommander(flags *flag.FlagSet, out, stderr io.Writer) *subcommands.Commander {
	c := subcommands.NewCommander(flags, "cranberryford")
	c.Output, c.Error = out, stderr
	o := &output{Printer: cfprint.Printer{Out: out}, errOut: stderr}
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

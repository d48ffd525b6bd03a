// Command cranberryford runs the scheduler's long-running roles and the operators'
// commands.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/rs/zerolog"

	"cranberryford/internal/cfcmd"
)

// logTimeFormat is the format of the time in log lines. Its milliseconds allow
// ordering the lines of several processes.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	c := cfcmd.NewCommander(flag.CommandLine, os.Stdout, os.Stderr)
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}

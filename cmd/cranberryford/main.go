// Command cranberryford is the scheduler: its long-running roles, and the
// operators' command line.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/rs/zerolog"

	"cranberryford/internal/cfcmd"
)

// logTime is the time of log lines, fine enough to order the lines of several
// processes.
const logTime = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTime
	c := cfcmd.Register(flag.CommandLine, os.Stdout, os.Stderr)
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}

// Command cranberryford is the scheduler: its long-running roles, and the
// operators' command line.
package main

import (
	"context"
	"flag"
	"os"

	"cranberryford/internal/cfcmd"
)

func main() {
	c := cfcmd.Register(flag.CommandLine, os.Stdout, os.Stderr)
	flag.Parse()
	os.Exit(int(c.Execute(context.Background())))
}

// Command cfmeasure runs the measurements and writes their result pages into DIR:
//
//	cfmeasure calls DIR       writes MEASUREMENTS.md, takes 5 minutes
//	cfmeasure placement DIR   writes PLACEMENT.md and its plot, takes 1 minute
//	cfmeasure capacity DIR    writes SLOPES.md, takes 1 minute
//	cfmeasure all DIR         runs all of them
package main

import (
	"context"
	"fmt"
	"os"

	"cranberryford/internal/cfbench"
)

// seed is the random seed of all measurements. The placement measurement runs three times,
// with this seed and the next two.
const seed = 1

// measurement is a measurement with its name on the command line. write takes the
// measurement and writes the result pages into dir.
type measurement struct {
	name  string
	write func(ctx context.Context, dir string, seed uint64) error
}

var measurements = [...]measurement{
	{"calls", cfbench.WriteCalls},
	{"placement", cfbench.WritePlacement},
	{"capacity", cfbench.WriteCapacity},
}

func main() {
	if err := run(context.Background(), os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: cfmeasure calls|placement|capacity|all DIR")
	}
	found := false
	for _, m := range measurements {
		if args[0] != m.name && args[0] != "all" {
			continue
		}
		found = true
		if err := m.write(ctx, args[1], seed); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("unknown measurement %q; known are calls, placement, capacity and all", args[0])
	}
	return nil
}

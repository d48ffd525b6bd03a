// Command cfmeasure reruns the measurements and writes their pages:
//
//	cfmeasure policies DIR   docs/MEASUREMENTS.md and its plots
//	cfmeasure capacity DIR   the slopes that docs/CAPACITY.md rests on
package main

import (
	"context"
	"fmt"
	"os"

	"cranberryford/internal/cfbench"
)

// seed is the seed of all measurements.
const seed = 1

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("usage: cfmeasure policies|capacity DIR")
	}
	ctx := context.Background()
	switch args[0] {
	case "policies":
		return cfbench.WritePolicies(ctx, args[1], seed)
	case "capacity":
		return cfbench.WriteCapacity(ctx, args[1], seed)
	}
	return fmt.Errorf("unknown measurement %q", args[0])
}

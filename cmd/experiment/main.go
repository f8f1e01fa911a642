// Command experiment prints measured figures, one a line.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/acaciatally/acaciatally/experiment"
)

func main() {
	only := flag.String("only", "", "run just the experiment of this name")
	seed := flag.Uint64("seed", 1, "seed of all random choices")
	flag.Parse()
	if err := run(context.Background(), *only, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, only string, seed uint64) error {
	for _, candidate := range experiment.All() {
		if only != "" && candidate.String() != only {
			continue
		}
		figures, err := candidate.Run(ctx, seed)
		if err != nil {
			return fmt.Errorf("%s: %w", candidate, err)
		}
		for _, figure := range figures {
			fmt.Println(figure)
		}
	}
	return nil
}

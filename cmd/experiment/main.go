// Command experiment prints measured figures, one a line.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/acaciatally/acaciatally/experiment"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `Usage: experiment [-only NAME] [-seed N] [-list] [-version]

Measures the decisions of the system against baselines and prints one figure a line:
Measure=... Deployment=... Policy=... Value=... Unit=... Seed=...

Examples:
  experiment                    run all experiments with seed 1
  experiment -only Flood        run one experiment
  experiment -seed 7            use other random choices
  experiment -list              print the names of the experiments

Exit codes: 0 done, 1 failed, 2 wrong usage.

Flags:`

type options struct {
	only    string
	seed    uint64
	list    bool
	version bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, arguments []string, out, failures io.Writer) (code int) {
	flags, chosen := define(failures)
	err := parse(flags, chosen, arguments)
	if errors.Is(err, flag.ErrHelp) {
		return help(flags, out)
	}
	if err != nil {
		return exitUsage
	}
	switch {
	case chosen.version:
		return write(out, "experiment "+version())
	case chosen.list:
		return list(out)
	}
	return measure(ctx, chosen, out, failures)
}

func define(failures io.Writer) (flags *flag.FlagSet, chosen *options) {
	flags, chosen = flag.NewFlagSet("experiment", flag.ContinueOnError), &options{}
	flags.SetOutput(failures)
	flags.Usage = func() {}
	flags.StringVar(&chosen.only, "only", "", "run just the experiment of this `name`")
	flags.Uint64Var(&chosen.seed, "seed", 1, "`seed` of all random choices")
	flags.BoolVar(&chosen.list, "list", false, "print the names of the experiments")
	flags.BoolVar(&chosen.version, "version", false, "print the version")
	return flags, chosen
}

func help(flags *flag.FlagSet, out io.Writer) (code int) {
	code = write(out, usage)
	flags.SetOutput(out)
	flags.PrintDefaults()
	return code
}

func parse(flags *flag.FlagSet, chosen *options, arguments []string) (err error) {
	if err = flags.Parse(arguments); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	} else if chosen.only != "" && !known(chosen.only) {
		err = fmt.Errorf("no experiment %q; -list prints their names", chosen.only)
	}
	if err != nil {
		_, _ = fmt.Fprintln(flags.Output(), err)
	}
	return err
}

func known(name string) bool {
	for _, candidate := range experiment.All() {
		if candidate.String() == name {
			return true
		}
	}
	return false
}

func list(out io.Writer) (code int) {
	for _, candidate := range experiment.All() {
		if code = write(out, candidate.String()); code != exitDone {
			return code
		}
	}
	return exitDone
}

func measure(ctx context.Context, chosen *options, out, failures io.Writer) (code int) {
	for _, candidate := range experiment.All() {
		if chosen.only != "" && candidate.String() != chosen.only {
			continue
		}
		figures, err := candidate.Run(ctx, chosen.seed)
		if err != nil {
			_, _ = fmt.Fprintf(failures, "%s: %v\n", candidate, err)
			return exitFailed
		}
		for _, figure := range figures {
			if code = write(out, figure.String()); code != exitDone {
				return code
			}
		}
	}
	return exitDone
}

func write(out io.Writer, line string) (code int) {
	if _, err := fmt.Fprintln(out, line); err != nil {
		return exitFailed
	}
	return exitDone
}

func version() string {
	if info, found := debug.ReadBuildInfo(); found {
		return info.Main.Version
	}
	return "unknown"
}

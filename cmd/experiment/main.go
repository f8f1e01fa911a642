// Command experiment measures the system in simulations and prints one figure per line.
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

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `Usage: experiment [-only NAME] [-seed N] [-list] [-version]

Compares the system with baseline policies and prints one figure per line:
Measure=... Deployment=... Policy=... Value=... Unit=... Seed=...

Examples:
  experiment                    run all experiments with seed 1
  experiment -only Flood        run one experiment
  experiment -seed 7            run all experiments with seed 7
  experiment -list              print the names of the experiments

Exit codes: 0 success, 1 failure, 2 usage error.

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

func run(ctx context.Context, arguments []string, out, errOutput io.Writer) (code int) {
	flags, selected := newFlags(errOutput)
	err := parse(flags, selected, arguments)
	if errors.Is(err, flag.ErrHelp) {
		return printHelp(flags, out)
	}
	if err != nil {
		return exitUsage
	}
	switch {
	case selected.version:
		return printLine(out, "experiment "+version())
	case selected.list:
		return list(out)
	}
	return runExperiments(ctx, selected, out, errOutput)
}

func newFlags(errOutput io.Writer) (flags *flag.FlagSet, selected *options) {
	flags, selected = flag.NewFlagSet("experiment", flag.ContinueOnError), &options{}
	flags.SetOutput(errOutput)
	flags.Usage = func() {}
	flags.StringVar(&selected.only, "only", "", "run only the experiment with this `name`")
	flags.Uint64Var(&selected.seed, "seed", 1, "`seed` of the random number generators")
	flags.BoolVar(&selected.list, "list", false, "print the names of the experiments")
	flags.BoolVar(&selected.version, "version", false, "print the version")
	return flags, selected
}

func printHelp(flags *flag.FlagSet, out io.Writer) (code int) {
	code = printLine(out, usage)
	flags.SetOutput(out)
	flags.PrintDefaults()
	return code
}

func parse(flags *flag.FlagSet, selected *options, arguments []string) (err error) {
	if err = flags.Parse(arguments); err != nil {
		return err
	}
	if flags.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", flags.Arg(0))
	} else if selected.only != "" && !experimentExists(selected.only) {
		err = fmt.Errorf("unknown experiment %q; use -list to print the names", selected.only)
	}
	if err != nil {
		_, _ = fmt.Fprintln(flags.Output(), err)
	}
	return err
}

func experimentExists(name string) bool {
	for _, candidate := range experiment.All() {
		if candidate.String() == name {
			return true
		}
	}
	return false
}

func list(out io.Writer) (code int) {
	for _, candidate := range experiment.All() {
		if code = printLine(out, candidate.String()); code != exitOK {
			return code
		}
	}
	return exitOK
}

func runExperiments(ctx context.Context, selected *options, out, errOutput io.Writer) (code int) {
	for _, candidate := range experiment.All() {
		if selected.only != "" && candidate.String() != selected.only {
			continue
		}
		figures, err := candidate.Run(ctx, selected.seed)
		if err != nil {
			_, _ = fmt.Fprintf(errOutput, "%s: %v\n", candidate, err)
			return exitFailed
		}
		for _, figure := range figures {
			if code = printLine(out, figure.String()); code != exitOK {
				return code
			}
		}
	}
	return exitOK
}

func printLine(out io.Writer, line string) (code int) {
	if _, err := fmt.Fprintln(out, line); err != nil {
		return exitFailed
	}
	return exitOK
}

func version() string {
	if info, found := debug.ReadBuildInfo(); found {
		return info.Main.Version
	}
	return "unknown"
}

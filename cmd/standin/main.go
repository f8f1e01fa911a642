// Command standin runs a simulated platform, a simulated worker or a caller.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

const usage = `usage: standin platform|worker|call [flags]

  platform  simulates the platform: the table, the objects, the instances and the task leases
  worker    serves requests as one instance of a pool
  call      sends requests to an entry and prints their outcomes

Run a command with -help for its flags.
Exit codes: 0 success, 1 failure, 2 usage error.
`

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)

var errUsage = errors.New("invalid usage")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
	case errors.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, arguments []string, output, errOutput io.Writer) error {
	if len(arguments) == 0 {
		return fmt.Errorf("%w\n%s", errUsage, usage)
	}
	switch arguments[0] {
	case "platform":
		return runPlatform(ctx, arguments[1:], errOutput)
	case "worker":
		return runWorker(ctx, arguments[1:], errOutput)
	case "call":
		return runCall(ctx, arguments[1:], output, errOutput)
	case "-help", "--help", "-h":
		_, _ = io.WriteString(output, usage)
		return nil
	}
	return fmt.Errorf("%w: unknown command %q\n%s", errUsage, arguments[0], usage)
}

// newFlags returns a flag set whose -help prints the flags and then the examples.
func newFlags(name, examples string, errOutput io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(errOutput)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(errOutput, "usage: standin %s [flags]\n\n", name)
		flags.PrintDefaults()
		_, _ = fmt.Fprintf(errOutput, "\nExamples:\n%s", examples)
	}
	return flags
}

func parse(flags *flag.FlagSet, arguments []string) error {
	err := flags.Parse(arguments)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err == nil && flags.NArg() > 0 {
		return fmt.Errorf("%w: unexpected argument %q", errUsage, flags.Arg(0))
	}
	return err
}

// Command standin runs the simulated platform, a simulated worker or a caller.
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

  platform  serves the table, the objects, the instances and the task leases
  worker    serves requests as one instance of a pool
  call      sends requests to an entry and prints what became of them

Each command explains its flags with -help.
Exit codes: 0 done, 1 refused or failed, 2 wrong usage.
`

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)

var errUsage = errors.New("wrong usage")

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

func run(ctx context.Context, arguments []string, output, messages io.Writer) error {
	if len(arguments) == 0 {
		return fmt.Errorf("%w\n%s", errUsage, usage)
	}
	switch arguments[0] {
	case "platform":
		return runPlatform(ctx, arguments[1:], messages)
	case "worker":
		return runWorker(ctx, arguments[1:], messages)
	case "call":
		return runCall(ctx, arguments[1:], output, messages)
	case "-help", "--help", "-h":
		_, _ = io.WriteString(output, usage)
		return nil
	}
	return fmt.Errorf("%w: unknown command %q\n%s", errUsage, arguments[0], usage)
}

// newFlags returns a flag set whose -help shows the examples after the flags.
func newFlags(name, examples string, messages io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(messages)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(messages, "usage: standin %s [flags]\n\n", name)
		flags.PrintDefaults()
		_, _ = fmt.Fprintf(messages, "\nExamples:\n%s", examples)
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

package console

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
)

// Exit codes of the program.
const (
	ExitSuccess = 0 // success, or help was printed
	ExitFailure = 1 // refused or failed
	ExitUsage   = 2 // wrong command line or statement
)

// Config holds the arguments, the streams and the environment of one run of the program.
type Config struct {
	Arguments []string
	Input     io.Reader
	Output    io.Writer
	Errors    io.Writer
	Getenv    func(name string) string
}

// usageError reports a wrong command line or statement; the program then exits with ExitUsage.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// subcommand is one subcommand of the program with its summary for the usage text.
type subcommand struct {
	name    string
	summary string
	run     func(config Config, arguments []string) error
}

func subcommands() []subcommand {
	return []subcommand{
		{"serve", "run an entry", serve},
		{"attend", "run an entry on the users' platform", attend},
		{"history", "print the log lines about one job, worker or instance", history},
		{"check", "check settings files", check},
		{"do", "run operator statements", do},
		{"complete", "list completions of a partial statement", complete},
		{"version", "print the version", version},
	}
}

const usage = `usage: acaciatally SUBCOMMAND [flags]

%s
examples:
  acaciatally check examples/authority.yaml
  acaciatally serve -settings examples/authority.yaml -entry entry-1
  acaciatally do -address 127.0.0.1:17201 -token run-token 'show pools'
  acaciatally do -address 127.0.0.1:17201 -token run-token -dry-run 'drain coating-1'

exit codes: 0 success, 1 refused or failed, 2 wrong usage
`

// Run runs the subcommand that the arguments name and returns the exit code.
func Run(config Config) (code int) {
	if len(config.Arguments) == 0 {
		printUsage(config.Errors)
		return ExitUsage
	}
	name := config.Arguments[0]
	if name == "-help" || name == "--help" || name == "-h" || name == "help" {
		printUsage(config.Output)
		return ExitSuccess
	}
	if name == "-version" || name == "--version" {
		name = "version"
	}
	for _, known := range subcommands() {
		if known.name == name {
			return exitCode(config, known.run(config, config.Arguments[1:]))
		}
	}
	_, _ = fmt.Fprintf(config.Errors, "unknown subcommand %q\n", name)
	printUsage(config.Errors)
	return ExitUsage
}

func printUsage(w io.Writer) {
	summary := ""
	for _, known := range subcommands() {
		summary += fmt.Sprintf("  %-9s %s\n", known.name, known.summary)
	}
	_, _ = fmt.Fprintf(w, usage, summary)
}

func exitCode(config Config, err error) int {
	var usageErr *usageError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitSuccess
	case errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(config.Errors, err)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(config.Errors, err)
	return ExitFailure
}

// newFlagSet returns a flag set whose help text ends with examples.
func newFlagSet(config Config, name, examples string) *flag.FlagSet {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(config.Output)
	set.Usage = func() {
		_, _ = fmt.Fprintf(config.Output, "usage: acaciatally %s\n\n", name)
		set.PrintDefaults()
		_, _ = fmt.Fprintf(config.Output, "\nexamples:\n%s", examples)
	}
	return set
}

func parseFlags(set *flag.FlagSet, arguments []string) error {
	err := set.Parse(arguments)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &usageError{message: err.Error()}
}

func version(config Config, _ []string) error {
	_, err := fmt.Fprintf(config.Output, "acaciatally %s\n", versionText())
	return err
}

// versionText returns the version of the module that the program was built from.
func versionText() string {
	if build, found := debug.ReadBuildInfo(); found {
		return build.Main.Version
	}
	return "unknown"
}

package console

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally/command"
)

const doExamples = `  acaciatally do -address 127.0.0.1:17201 -token run-token 'show instances where Pool = coating'
  acaciatally do -address 127.0.0.1:17201 -token run-token -json 'show budgets'
  acaciatally do -address 127.0.0.1:17201 -token run-token -id change-17 'set quota observatories 5'
  ACACIATALLY_TOKEN=run-token acaciatally do -address 127.0.0.1:17201   (reads one statement per line from standard input)
`

// doOptions holds the flags of the do subcommand; they apply to every statement of a run.
type doOptions struct {
	address     string
	token       string
	id          string
	json        bool
	dryRun      bool
	seenVersion uint64
	timeout     time.Duration
}

func do(config Config, arguments []string) (err error) {
	var options doOptions
	set := newFlagSet(config, "do [flags] [STATEMENT]", doExamples)
	set.StringVar(&options.address, "address", "127.0.0.1:17201", "operator address of an entry")
	set.StringVar(&options.token, "token", config.Getenv("ACACIATALLY_TOKEN"), "operator's token; ACACIATALLY_TOKEN by default")
	set.StringVar(&options.id, "id", "", "command id; repeating a command with the same id changes nothing")
	set.BoolVar(&options.json, "json", false, "print JSON")
	set.BoolVar(&options.dryRun, "dry-run", false, "print what would change without changing it")
	set.Uint64Var(&options.seenVersion, "seen", 0, "refuse the command if its subject changed after this version")
	set.DurationVar(&options.timeout, "timeout", 15*time.Second, "timeout of a statement")
	if err = parseFlags(set, arguments); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(options.address)
	if err != nil {
		return &usageError{message: "-address must be an IP address and port such as 127.0.0.1:17201"}
	}
	client := command.NewClient(command.ClientConfig{Address: address, Token: options.token, Timeout: options.timeout})
	if set.NArg() > 0 {
		return runStatement(config, client, options, strings.Join(set.Args(), " "))
	}
	return runStatements(config, client, options)
}

// runStatements runs the statements of the input, one per line, and continues after an error. It skips empty lines and comments.
func runStatements(config Config, client *command.Client, options doOptions) error {
	failures := 0
	lines := bufio.NewScanner(config.Input)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := runStatement(config, client, options, line); err != nil {
			failures++
			_, _ = fmt.Fprintln(config.Errors, err)
		}
	}
	if failures > 0 {
		return fmt.Errorf("%d statements failed", failures)
	}
	return lines.Err()
}

func runStatement(config Config, client *command.Client, options doOptions, statement string) error {
	request := command.Request{ID: options.id, Text: statement, DryRun: options.dryRun, SeenVersion: options.seenVersion}
	if request.ID == "" {
		request.ID = rand.Text()
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout)
	defer cancel()
	result, err := client.Run(ctx, request)
	var failure *command.Failure
	if errors.As(err, &failure) && failure.Pointer != "" {
		return &usageError{message: failure.Pointer + "\n" + failure.Message}
	}
	if err != nil {
		return err
	}
	return printResult(config, result, options.json)
}

func printResult(config Config, result command.Result, json bool) (err error) {
	switch {
	case result.Table != nil && json:
		return result.Table.WriteJSON(config.Output)
	case result.Table != nil:
		return result.Table.WriteText(config.Output)
	}
	_, err = fmt.Fprintln(config.Output, strings.TrimRight(result.Text, "\n"))
	return err
}

func complete(config Config, arguments []string) (err error) {
	set := newFlagSet(config, "complete [flags] PARTIAL", "  acaciatally complete -address 127.0.0.1:17201 -token run-token 'show inst'\n")
	address := set.String("address", "127.0.0.1:17201", "operator address of an entry")
	token := set.String("token", config.Getenv("ACACIATALLY_TOKEN"), "operator's token; ACACIATALLY_TOKEN by default")
	if err = parseFlags(set, arguments); err != nil {
		return err
	}
	parsed, err := netip.ParseAddrPort(*address)
	if err != nil {
		return &usageError{message: "-address must be an IP address and port such as 127.0.0.1:17201"}
	}
	client := command.NewClient(command.ClientConfig{Address: parsed, Token: *token, Timeout: 2 * time.Second})
	words, err := client.Complete(context.Background(), strings.Join(set.Args(), " "))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(config.Output, strings.Join(words, "\n"))
	return err
}

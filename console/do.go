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
  ACACIATALLY_TOKEN=run-token acaciatally do -address 127.0.0.1:17201   (one statement a line from standard input)
`

// doFlags are the flags that the statements of one run share.
type doFlags struct {
	address string
	token   string
	id      string
	json    bool
	dryRun  bool
	seen    uint64
	timeout time.Duration
}

func do(config Config, arguments []string) (err error) {
	var options doFlags
	set := flags(config, "do [flags] [STATEMENT]", doExamples)
	set.StringVar(&options.address, "address", "127.0.0.1:17201", "operators' address of an entry")
	set.StringVar(&options.token, "token", config.Getenv("ACACIATALLY_TOKEN"), "operator's token; ACACIATALLY_TOKEN by default")
	set.StringVar(&options.id, "id", "", "id of the command; repeating it changes nothing")
	set.BoolVar(&options.json, "json", false, "print JSON")
	set.BoolVar(&options.dryRun, "dry-run", false, "say what would change and change nothing")
	set.Uint64Var(&options.seen, "seen", 0, "refuse when the subject changed after this version")
	set.DurationVar(&options.timeout, "timeout", 15*time.Second, "time to wait for an answer")
	if err = parse(set, arguments); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(options.address)
	if err != nil {
		return &usageError{message: "-address wants an address such as 127.0.0.1:17201"}
	}
	client := command.NewClient(command.ClientConfig{Address: address, Token: options.token, Timeout: options.timeout})
	if set.NArg() > 0 {
		return doOne(config, client, options, strings.Join(set.Args(), " "))
	}
	return doLines(config, client, options)
}

// doLines carries out one statement a line and goes on after an error.
func doLines(config Config, client *command.Client, options doFlags) error {
	failures := 0
	lines := bufio.NewScanner(config.Input)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := doOne(config, client, options, line); err != nil {
			failures++
			_, _ = fmt.Fprintln(config.Errors, err)
		}
	}
	if failures > 0 {
		return fmt.Errorf("%d statements failed", failures)
	}
	return lines.Err()
}

func doOne(config Config, client *command.Client, options doFlags, statement string) error {
	order := command.Order{ID: options.id, Text: statement, DryRun: options.dryRun, SeenVersion: options.seen}
	if order.ID == "" {
		order.ID = rand.Text()
	}
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout)
	defer cancel()
	result, err := client.Run(ctx, order)
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
	set := flags(config, "complete [flags] PARTIAL", "  acaciatally complete -address 127.0.0.1:17201 -token run-token 'show inst'\n")
	address := set.String("address", "127.0.0.1:17201", "operators' address of an entry")
	token := set.String("token", config.Getenv("ACACIATALLY_TOKEN"), "operator's token; ACACIATALLY_TOKEN by default")
	if err = parse(set, arguments); err != nil {
		return err
	}
	parsed, err := netip.ParseAddrPort(*address)
	if err != nil {
		return &usageError{message: "-address wants an address such as 127.0.0.1:17201"}
	}
	client := command.NewClient(command.ClientConfig{Address: parsed, Token: *token, Timeout: 2 * time.Second})
	words, err := client.Complete(context.Background(), strings.Join(set.Args(), " "))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(config.Output, strings.Join(words, "\n"))
	return err
}

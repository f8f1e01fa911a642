package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"
)

const callExamples = `  standin call -url http://127.0.0.1:7101/coating/strip -team observatories -body 'mirror 7'
  standin call -url http://127.0.0.1:7101/coating/strip -count 1000 -at-once 16 -idempotent
`

const maxResponseBytes = 64 << 20

// caller sends requests to an entry and counts their outcomes.
type caller struct {
	url, team, urgency, body string
	deadline                 time.Duration
	idempotent               bool
	mu                       sync.Mutex
	outcomes                 map[string]int
	lastBody                 string
}

func runCall(ctx context.Context, arguments []string, output, errOutput io.Writer) error {
	flags := newFlags("call", callExamples, errOutput)
	var c caller
	c.outcomes = map[string]int{}
	flags.StringVar(&c.url, "url", "", "URL of a service at an entry")
	flags.StringVar(&c.team, "team", "", "team to which the requests belong")
	flags.StringVar(&c.urgency, "urgency", "Normal", "urgency of the requests: Urgent, Normal or Background")
	flags.StringVar(&c.body, "body", "", "body of each request")
	flags.DurationVar(&c.deadline, "deadline", 30*time.Second, "deadline of each request")
	flags.BoolVar(&c.idempotent, "idempotent", false, "mark the requests as idempotent, so that they may run more than once")
	count := flags.Int("count", 1, "number of requests")
	atOnce := flags.Int("at-once", 1, "maximum number of concurrent requests")
	if err := parse(flags, arguments); err != nil {
		return err
	}
	if c.url == "" || *count < 1 || *atOnce < 1 {
		return fmt.Errorf("%w: -url is required, -count and -at-once must be positive", errUsage)
	}
	var group errgroup.Group
	group.SetLimit(*atOnce)
	for range *count {
		group.Go(func() error {
			c.sendAndCount(ctx)
			return nil
		})
	}
	_ = group.Wait()
	return c.report(output, *count)
}

func (c *caller) sendAndCount(ctx context.Context) {
	outcome, responseBody := c.send(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	c.lastBody = responseBody
}

// send sends one request. The outcome is "Done", the outcome header of the response, the status of another response, or "Broken" if there
// was no complete response.
func (c *caller) send(ctx context.Context) (outcome, responseBody string) {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, strings.NewReader(c.body))
	if err != nil {
		return "Broken", err.Error()
	}
	request.Header.Set("Acaciatally-Request-Id", ulid.Make().String())
	request.Header.Set("Acaciatally-Team", c.team)
	request.Header.Set("Acaciatally-Urgency", c.urgency)
	request.Header.Set("Acaciatally-Deadline", c.deadline.String())
	request.Header.Set("Acaciatally-Idempotent", fmt.Sprint(c.idempotent))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "Broken", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "Broken", err.Error()
	}
	if header := response.Header.Get("Acaciatally-Outcome"); header != "" {
		return header, string(content)
	}
	if response.StatusCode != http.StatusOK {
		return response.Status, string(content)
	}
	return "Done", string(content)
}

func (c *caller) report(output io.Writer, count int) error {
	for outcome, number := range c.outcomes {
		_, _ = fmt.Fprintf(output, "Outcome=%s Requests=%d\n", strings.ReplaceAll(outcome, " ", ""), number)
	}
	if count == 1 {
		_, _ = fmt.Fprintln(output, strings.TrimSpace(c.lastBody))
	}
	if c.outcomes["Done"] < count {
		return errors.New("not all requests succeeded")
	}
	return nil
}

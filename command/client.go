package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// The HTTP paths of the operators' server.
const (
	CommandPath  = "/command"
	CompletePath = "/complete"
)

const maxResponseBytes = 16 << 20 // far above the size of a table of 2,500 instances

// Failure is the JSON body of a response to a command that failed.
type Failure struct {
	Message string
	Pointer string              `json:",omitempty"` // the statement with a caret below the invalid word
	Outcome acaciatally.Outcome // NotRun, or Unknown if it could not be determined whether the change log holds the command
}

// Error returns the outcome and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.Outcome, f.Message)
}

// Completion is the JSON body of a response to a completion request: the possible words at the end of the statement.
type Completion struct{ Words []string }

// ClientConfig is what a Client needs.
type ClientConfig struct {
	Address netip.AddrPort
	Token   string
	Timeout time.Duration
	// Dial replaces the network dialer in tests; nil uses the default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends commands and queries to an entry.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client for the entry at the configured address.
func NewClient(config ClientConfig) *Client {
	transport := &http.Transport{DialContext: config.Dial, IdleConnTimeout: time.Minute}
	return &Client{config: config, http: &http.Client{Transport: transport, Timeout: config.Timeout}}
}

// Run sends one command or query. It fails with *Failure if the entry responded with a failure; after any other error the outcome is not
// known.
func (c *Client) Run(ctx context.Context, request Request) (result Result, err error) {
	defer func() { err = oops.In("client").With("id", request.ID).Wrapf(err, "send command") }()
	body, err := json.Marshal(request)
	if err != nil {
		return result, err
	}
	err = c.call(ctx, http.MethodPost, CommandPath, bytes.NewReader(body), &result)
	return result, err
}

// Complete returns the possible words at the end of an incomplete statement.
func (c *Client) Complete(ctx context.Context, partial string) (words []string, err error) {
	defer func() { err = oops.In("client").Wrapf(err, "complete statement") }()
	var completion Completion
	err = c.call(ctx, http.MethodGet, CompletePath+"?partial="+url.QueryEscape(partial), http.NoBody, &completion)
	return completion.Words, err
}

func (c *Client) call(ctx context.Context, method, path string, body io.Reader, target any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address.String()+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(content, target)
	}
	failure := &Failure{Outcome: acaciatally.NotRun}
	if json.Unmarshal(content, failure) != nil || failure.Message == "" {
		failure.Message = fmt.Sprintf("entry responded with status %s", response.Status)
	}
	return failure
}

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

// The paths of the operators' server.
const (
	OrderPath    = "/command"
	CompletePath = "/complete"
)

const maxResponse = 16 << 20 // bytes; a table of 2,500 instances stays far below it

// Failure is an order that was not carried out, as it goes over HTTP.
type Failure struct {
	Message string
	Pointer string              `json:",omitempty"` // the statement with a caret below the wrong word
	Outcome acaciatally.Outcome // NotRun, or Unknown when the log could not be read back
}

// Error returns the outcome and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.Outcome, f.Message)
}

// Completion lists the words that may follow.
type Completion struct{ Words []string }

// ClientConfig is what a Client needs.
type ClientConfig struct {
	Address netip.AddrPort
	Token   string
	Timeout time.Duration
	// Dial replaces the network in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends orders to an entry.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client of the entry at the configured address.
func NewClient(config ClientConfig) *Client {
	transport := &http.Transport{DialContext: config.Dial, IdleConnTimeout: time.Minute}
	return &Client{config: config, http: &http.Client{Transport: transport, Timeout: config.Timeout}}
}

// Run sends one order; it fails with *Failure when the entry refused it, else the outcome is not known.
func (c *Client) Run(ctx context.Context, order Order) (result Result, err error) {
	defer func() { err = oops.In("client").With("id", order.ID).Wrapf(err, "send order") }()
	body, err := json.Marshal(order)
	if err != nil {
		return result, err
	}
	err = c.call(ctx, http.MethodPost, OrderPath, bytes.NewReader(body), &result)
	return result, err
}

// Complete returns the words that may stand at the end of an unfinished statement.
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(content, target)
	}
	failure := &Failure{Outcome: acaciatally.NotRun}
	if json.Unmarshal(content, failure) != nil || failure.Message == "" {
		failure.Message = fmt.Sprintf("entry answered %s", response.Status)
	}
	return failure
}

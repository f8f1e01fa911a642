package hosting

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/semaphore"

	"github.com/acaciatally/acaciatally"
)

const (
	// defaultConcurrency keeps one entry from taking more than a fraction of the platform's connections.
	defaultConcurrency = 32
	idleTimeout        = time.Minute
)

// Config is what a Client needs.
type Config struct {
	Address     netip.AddrPort
	Timeout     time.Duration // of a whole call, the wait for its turn included
	Concurrency int           // calls in flight at once; 0 is 32
	Metrics     *metrics.Set  // nil keeps the counters out of every exposition
	// Dial replaces the network in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform's services; it is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
	turns  *semaphore.Weighted
	budget *Budget
}

// New returns a client of the platform at the configured address.
func New(config Config) *Client {
	if config.Concurrency == 0 {
		config.Concurrency = defaultConcurrency
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	transport := &http.Transport{
		DialContext: config.Dial, MaxIdleConnsPerHost: config.Concurrency, IdleConnTimeout: idleTimeout,
	}
	return &Client{
		config: config,
		http:   &http.Client{Transport: transport},
		turns:  semaphore.NewWeighted(int64(config.Concurrency)),
		budget: newBudget(config.Metrics),
	}
}

// Budget returns the counters of what this client has asked of the platform.
func (c *Client) Budget() *Budget {
	return c.budget
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call sends the request and decodes the answer; its error wraps ErrUnavailable only when the call had no effect.
func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	if err := c.turns.Acquire(ctx, 1); err != nil {
		return notSent(err)
	}
	defer c.turns.Release(1)
	body, err := json.Marshal(request)
	if err != nil {
		return notSent(err)
	}
	c.budget.sent(path, len(body))
	content, err := c.exchange(ctx, path, body)
	if err != nil {
		c.budget.failed()
		return err
	}
	c.budget.received(len(content))
	return Decode(content, response)
}

func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.config.Timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.config.Timeout)
}

func (c *Client) exchange(ctx context.Context, path string, body []byte) (content []byte, err error) {
	url := "http://" + c.config.Address.String() + path
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, notSent(err)
	}
	post.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(post)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = answer.Body.Close() }()
	content, err = readBounded(answer.Body)
	if err != nil {
		return nil, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, answerError(answer.StatusCode, content)
	}
	return content, nil
}

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
	// defaultConcurrency is low enough that one entry uses only a fraction of the platform's connections.
	defaultConcurrency = 32
	idleTimeout        = time.Minute
)

// Config configures a Client.
type Config struct {
	Address     netip.AddrPort
	Timeout     time.Duration // of a whole call, including the wait for the concurrency limit; 0 means no timeout
	Concurrency int           // maximum number of concurrent calls; 0 means 32
	Metrics     *metrics.Set  // nil means that the counters are not exported
	// Dial replaces the default dialer in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the platform's services. It is safe for concurrent use.
type Client struct {
	config   Config
	http     *http.Client
	inFlight *semaphore.Weighted
	metrics  *ClientMetrics
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
		config:   config,
		http:     &http.Client{Transport: transport},
		inFlight: semaphore.NewWeighted(int64(config.Concurrency)),
		metrics:  newClientMetrics(config.Metrics),
	}
}

// Metrics returns the counters of this client's calls.
func (c *Client) Metrics() *ClientMetrics {
	return c.metrics
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// call sends the request and decodes the response. Its error wraps ErrUnavailable only if the call certainly had no effect.
func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.inFlight.Acquire(ctx, 1); err != nil {
		return notSent(err)
	}
	defer c.inFlight.Release(1)
	body, err := json.Marshal(request)
	if err != nil {
		return notSent(err)
	}
	c.metrics.countRequest(path, len(body))
	content, err := c.roundTrip(ctx, path, body)
	if err != nil {
		c.metrics.countFailure()
		return err
	}
	c.metrics.countResponse(len(content))
	return Decode(content, response)
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.config.Timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.config.Timeout)
}

func (c *Client) roundTrip(ctx context.Context, path string, body []byte) (content []byte, err error) {
	url := "http://" + c.config.Address.String() + path
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, notSent(err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err = readLimited(httpResponse.Body)
	if err != nil {
		return nil, errors.Join(acaciatally.ErrUnknownCommit, err)
	}
	if httpResponse.StatusCode != http.StatusOK {
		return nil, responseError(httpResponse.StatusCode, content)
	}
	return content, nil
}

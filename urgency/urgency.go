package urgency

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/identity"
)

// MaxClockSkew is the tolerated difference between the clocks of callers and entries. Request ids further in the future are refused, since
// their claims would be kept for longer than the retention.
const MaxClockSkew = time.Minute

// Config configures a Filter.
type Config struct {
	DefaultDeadline time.Duration // for requests without a deadline
	MaxDeadline     time.Duration // longest accepted deadline
	ClaimRetention  time.Duration // maximum age of the id of a request that is not idempotent
	Clock           acaciatally.Clock
}

// Filter classifies requests; it is safe for concurrent use.
type Filter struct{ config Config }

// New returns a filter. A nil Clock is replaced by the system clock.
func New(config Config) *Filter {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Filter{config: config}
}

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "classify" }

// Run sets the request's urgency, deadline and idempotence from its header. A request that is not idempotent also gets its id in canonical
// form. Run fails with *acaciatally.Refusal on invalid input and then leaves the request unchanged.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	request := &exchange.Request
	class, err := f.config.Parse(request.Method, request.Header)
	if err != nil {
		return err
	}
	if !class.Idempotent {
		id, err := f.config.parseRequestID(request.Header)
		if err != nil {
			return err
		}
		request.ID = id
	}
	request.Urgency, request.Idempotent = class.Urgency, class.Idempotent
	request.Deadline = exchange.Received.Add(class.Timeout)
	return nil
}

// Class is the handling that a request's method and header ask for.
type Class struct {
	Urgency    acaciatally.Urgency
	Timeout    time.Duration // from the receipt of the request to its deadline
	Idempotent bool
}

// Parse returns the class of a request; it fails with *acaciatally.Refusal on an invalid header.
func (c Config) Parse(method string, header http.Header) (class Class, err error) {
	if class.Urgency, err = parseUrgency(header); err != nil {
		return class, err
	}
	if class.Timeout, err = c.parseDeadline(header); err != nil {
		return class, err
	}
	class.Idempotent, err = parseIdempotent(method, header)
	return class, err
}

func parseUrgency(header http.Header) (urgency acaciatally.Urgency, err error) {
	name, err := identity.SingleHeader(header, acaciatally.UrgencyHeader)
	if err != nil || name == "" {
		return acaciatally.Normal, err
	}
	if urgency, err = acaciatally.ParseUrgency(name); err != nil {
		return urgency, refuse("%s: %v", acaciatally.UrgencyHeader, err)
	}
	return urgency, nil
}

func (c Config) parseDeadline(header http.Header) (timeout time.Duration, err error) {
	text, err := identity.SingleHeader(header, acaciatally.DeadlineHeader)
	if err != nil || text == "" {
		return c.DefaultDeadline, err
	}
	timeout, err = time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > c.MaxDeadline {
		return 0, refuse("%s: %q is not a duration such as 1.5s, above 0 and at most %s", acaciatally.DeadlineHeader, text, c.MaxDeadline)
	}
	return timeout, nil
}

func parseIdempotent(method string, header http.Header) (idempotent bool, err error) {
	text, err := identity.SingleHeader(header, acaciatally.IdempotentHeader)
	if err != nil {
		return false, err
	}
	switch text {
	case "":
		return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions, nil
	case "true", "false":
		return text == "true", nil
	default:
		return false, refuse("%s: %q is neither true nor false", acaciatally.IdempotentHeader, text)
	}
}

// parseRequestID returns the caller's ULID in canonical form, since two spellings of one id would be two claims. It fails if the caller sent
// no id: the caller could not repeat the request under an id that the entry generates.
func (c Config) parseRequestID(header http.Header) (id string, err error) {
	text := header.Get(acaciatally.RequestIDHeader)
	parsed, err := ulid.ParseStrict(text)
	if err != nil {
		return "", refuse("%s: %q is not a ULID, which a request that is not idempotent needs from its caller", acaciatally.RequestIDHeader, text)
	}
	age := c.Clock.Now().Sub(ulid.Time(parsed.Time()))
	if age > c.ClaimRetention {
		return "", refuse("%s: the id is older than %s", acaciatally.RequestIDHeader, c.ClaimRetention)
	}
	if age < -MaxClockSkew {
		return "", refuse("%s: the id's time is %s in the future", acaciatally.RequestIDHeader, -age.Round(time.Second))
	}
	return parsed.String(), nil
}

func refuse(format string, args ...any) error {
	return &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: http.StatusBadRequest, Reason: fmt.Sprintf(format, args...),
	}
}

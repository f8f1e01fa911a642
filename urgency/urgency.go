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

// MaxClockSkew is how far the clocks of callers and entries may differ; ids further in the future are refused, since their
// claims would stay longer than the retention.
const MaxClockSkew = time.Minute

// Config is what a Filter needs.
type Config struct {
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
	ClaimRetention  time.Duration
	Clock           acaciatally.Clock
}

// Filter classifies requests; it is safe for concurrent use.
type Filter struct{ config Config }

// New returns a filter; the zero Clock is the process's own.
func New(config Config) *Filter {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Filter{config: config}
}

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "classify" }

// Run fills in the class, the deadline and the idempotence; it fails with *acaciatally.Refusal on input that it cannot accept.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	request := &exchange.Request
	class, err := f.config.Parse(request.Method, request.Header)
	if err != nil {
		return err
	}
	if !class.Idempotent {
		id, err := f.config.claimableID(request.Header)
		if err != nil {
			return err
		}
		request.ID = id
	}
	request.Urgency, request.Idempotent = class.Urgency, class.Idempotent
	request.Deadline = exchange.Received.Add(class.Limit)
	return nil
}

// Class is what the header of a request says about its handling.
type Class struct {
	Urgency    acaciatally.Urgency
	Limit      time.Duration // from the receipt of the request to its deadline
	Idempotent bool
}

// Parse reads the class of a request; it fails with *acaciatally.Refusal.
func (c Config) Parse(method string, header http.Header) (class Class, err error) {
	if class.Urgency, err = parseUrgency(header); err != nil {
		return class, err
	}
	if class.Limit, err = c.parseDeadline(header); err != nil {
		return class, err
	}
	class.Idempotent, err = parseIdempotent(method, header)
	return class, err
}

func parseUrgency(header http.Header) (urgency acaciatally.Urgency, err error) {
	name, err := identity.Single(header, acaciatally.UrgencyHeader)
	if err != nil || name == "" {
		return acaciatally.Normal, err
	}
	if urgency, err = acaciatally.ParseUrgency(name); err != nil {
		return urgency, refuse("%s: %v", acaciatally.UrgencyHeader, err)
	}
	return urgency, nil
}

func (c Config) parseDeadline(header http.Header) (limit time.Duration, err error) {
	text, err := identity.Single(header, acaciatally.DeadlineHeader)
	if err != nil || text == "" {
		return c.DefaultDeadline, err
	}
	limit, err = time.ParseDuration(text)
	if err != nil || limit <= 0 || limit > c.MaxDeadline {
		return 0, refuse("%s: %q is not a duration such as 1.5s, above 0 and at most %s", acaciatally.DeadlineHeader, text, c.MaxDeadline)
	}
	return limit, nil
}

func parseIdempotent(method string, header http.Header) (idempotent bool, err error) {
	text, err := identity.Single(header, acaciatally.IdempotentHeader)
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

// claimableID returns the one spelling of the caller's ULID, since two spellings of one id would give two claims. An id that
// an entry made would not let the caller ask again.
func (c Config) claimableID(header http.Header) (id string, err error) {
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

func refuse(format string, arguments ...any) error {
	return &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: http.StatusBadRequest, Reason: fmt.Sprintf(format, arguments...),
	}
}

package identity

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/semaphore"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ingress"
)

// DefaultTeam is the team of requests without a team header.
const DefaultTeam acaciatally.TeamName = "default"

// bodyMemoryRetryAfter gives requests in progress time to finish and release body memory before the caller retries.
const bodyMemoryRetryAfter = time.Second

// headerOverhead is the size of a header line beyond its name and value: a colon, a space and the line end.
const headerOverhead = 4

var (
	validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)
	validID   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)
)

// Config configures a Filter.
type Config struct {
	MaxHeader   int64 // maximum size of the method, the URI and all header lines in bytes
	MaxBody     int64 // maximum size of one body in bytes
	MaxBuffered int64 // maximum total size of all bodies in memory in bytes
	// PoolExists reports whether a pool exists.
	PoolExists func(pool acaciatally.PoolName) bool
}

// Filter parses and validates requests. It is safe for concurrent use.
type Filter struct {
	config   Config
	buffered *semaphore.Weighted
}

// New returns a filter.
func New(config Config) *Filter {
	return &Filter{config: config, buffered: semaphore.NewWeighted(config.MaxBuffered)}
}

// String returns the name of the filter in logs and metrics.
func (f *Filter) String() string { return "identify" }

// Run sets exchange.Request from the HTTP request. It fails with *acaciatally.Refusal if the request is invalid or exceeds a limit.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	incoming := exchange.HTTP
	if size := headerSize(incoming); size > f.config.MaxHeader {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "header of %d bytes exceeds %d", size, f.config.MaxHeader)
	}
	names, err := ParseNames(incoming.URL.EscapedPath(), incoming.Header)
	if err != nil {
		return err
	}
	if !f.config.PoolExists(names.Pool) {
		return refuse(http.StatusNotFound, "no pool %q", names.Pool)
	}
	body, err := f.readBody(exchange)
	if err != nil {
		return err
	}
	exchange.Request = acaciatally.Request{
		ID: names.ID, Team: names.Team, Pool: names.Pool,
		Method: incoming.Method, Path: incoming.URL.RequestURI(), Header: incoming.Header, Body: body,
	}
	return nil
}

// Names are the identifiers in the path and the header of a request.
type Names struct {
	ID   string
	Team acaciatally.TeamName
	Pool acaciatally.PoolName
}

// ParseNames parses the identifiers of a request. It generates an ID if the header has none. It fails with *acaciatally.Refusal.
func ParseNames(path string, header http.Header) (names Names, err error) {
	pool, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !validName.MatchString(pool) {
		return names, refuse(http.StatusBadRequest, "first path segment %q is not the name of a pool", pool)
	}
	team, err := SingleHeader(header, acaciatally.TeamHeader)
	if err != nil {
		return names, err
	}
	if team == "" {
		team = string(DefaultTeam)
	}
	if !validName.MatchString(team) {
		return names, refuse(http.StatusBadRequest, "%s: %q is not a team name", acaciatally.TeamHeader, team)
	}
	id, err := SingleHeader(header, acaciatally.RequestIDHeader)
	if err != nil {
		return names, err
	}
	if id == "" {
		id = ulid.Make().String()
	}
	if !validID.MatchString(id) {
		return names, refuse(http.StatusBadRequest, "%s: %q is not a request id", acaciatally.RequestIDHeader, id)
	}
	return Names{ID: id, Team: acaciatally.TeamName(team), Pool: acaciatally.PoolName(pool)}, nil
}

// SingleHeader returns the value of a header, or the empty string. It fails with *acaciatally.Refusal if the header is repeated.
func SingleHeader(header http.Header, name string) (value string, err error) {
	values := header.Values(name)
	if len(values) > 1 {
		return "", refuse(http.StatusBadRequest, "%s is given %d times", name, len(values))
	}
	return header.Get(name), nil
}

func (f *Filter) readBody(exchange *acaciatally.Exchange) (body []byte, err error) {
	length := exchange.HTTP.ContentLength
	if length == 0 {
		return nil, nil
	}
	if length > f.config.MaxBody {
		return nil, refuseLargeBody(f.config.MaxBody)
	}
	reserved := length
	if length < 0 {
		reserved = f.config.MaxBody
	}
	if !f.buffered.TryAcquire(reserved) {
		return nil, &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable,
			Reason: "too many bytes of requests in memory", RetryAfter: bodyMemoryRetryAfter,
		}
	}
	exchange.OnFinish(func(*acaciatally.Exchange) { f.buffered.Release(reserved) })
	if body, err = ingress.ReadBody(exchange.Writer, exchange.HTTP, f.config.MaxBody); err != nil {
		return nil, refuseBodyError(err)
	}
	return body, nil
}

func refuseBodyError(err error) error {
	var limit *http.MaxBytesError
	var notAccepted *acaciatally.NotAcceptedError
	switch {
	case errors.As(err, &limit):
		return refuseLargeBody(limit.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "the body came too slowly")
	case errors.As(err, &notAccepted):
		return &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: notAccepted.Reason, RetryAfter: notAccepted.RetryAfter,
		}
	default:
		return refuse(http.StatusBadRequest, "the body broke off")
	}
}

func refuseLargeBody(limit int64) error {
	return refuse(http.StatusRequestEntityTooLarge, "body exceeds %d bytes", limit)
}

func headerSize(request *http.Request) int64 {
	size := int64(len(request.Method) + len(request.RequestURI))
	for name, values := range request.Header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerOverhead)
		}
	}
	return size
}

func refuse(status int, format string, arguments ...any) error {
	return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: status, Reason: fmt.Sprintf(format, arguments...)}
}

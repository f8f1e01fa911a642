package identity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/semaphore"

	"github.com/acaciatally/acaciatally"
)

// DefaultTeam is the team of requests that name none.
const DefaultTeam acaciatally.TeamName = "default"

// fullRetryAfter lets some of the bodies in memory leave before the caller sends its body again.
const fullRetryAfter = time.Second

// headerOverhead is what each header line takes beyond its name and value: a colon, a blank and the line end.
const headerOverhead = 4

var (
	validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)
	validID   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,63}$`)
)

// Config is what a Filter needs.
type Config struct {
	MaxHeader   int64 // bytes of all header lines
	MaxBody     int64 // bytes of one body
	MaxBuffered int64 // bytes of all bodies in memory
	// Known reports whether a pool exists.
	Known func(pool acaciatally.PoolName) bool
}

// Filter identifies requests; it is safe for concurrent use.
type Filter struct {
	config   Config
	buffered *semaphore.Weighted
}

// New returns a filter without any body in memory.
func New(config Config) *Filter {
	return &Filter{config: config, buffered: semaphore.NewWeighted(config.MaxBuffered)}
}

// String returns the filter's name in logs and metrics.
func (f *Filter) String() string { return "identify" }

// Run fills in the request's id, team, pool, header and body; it fails with *acaciatally.Refusal on input that it cannot accept.
func (f *Filter) Run(_ context.Context, exchange *acaciatally.Exchange) (err error) {
	incoming := exchange.HTTP
	if size := headerSize(incoming); size > f.config.MaxHeader {
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "header of %d bytes exceeds %d", size, f.config.MaxHeader)
	}
	names, err := ParseNames(incoming.URL.EscapedPath(), incoming.Header)
	if err != nil {
		return err
	}
	if !f.config.Known(names.Pool) {
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

// Names are what the path and the header of a request name.
type Names struct {
	ID   string
	Team acaciatally.TeamName
	Pool acaciatally.PoolName
}

// ParseNames reads the names of a request, with a new id if it has none; it fails with *acaciatally.Refusal.
func ParseNames(path string, header http.Header) (names Names, err error) {
	pool, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !validName.MatchString(pool) {
		return names, refuse(http.StatusBadRequest, "first path segment %q is not the name of a pool", pool)
	}
	team, err := Single(header, acaciatally.TeamHeader)
	if err != nil {
		return names, err
	}
	if team == "" {
		team = string(DefaultTeam)
	}
	if !validName.MatchString(team) {
		return names, refuse(http.StatusBadRequest, "%s: %q is not a team name", acaciatally.TeamHeader, team)
	}
	id, err := Single(header, acaciatally.RequestIDHeader)
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

// Single returns the value of a header that may be given once; it fails with *acaciatally.Refusal when it is repeated.
func Single(header http.Header, name string) (value string, err error) {
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
		return nil, tooLarge(f.config.MaxBody)
	}
	reserved := length
	if length < 0 {
		reserved = f.config.MaxBody
	}
	if !f.buffered.TryAcquire(reserved) {
		return nil, &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable,
			Reason: "too many bytes of requests in memory", RetryAfter: fullRetryAfter,
		}
	}
	exchange.OnFinish(func(*acaciatally.Exchange) { f.buffered.Release(reserved) })
	if length > 0 {
		body = make([]byte, length)
		_, err = io.ReadFull(exchange.HTTP.Body, body)
	} else {
		body, err = io.ReadAll(http.MaxBytesReader(exchange.Writer, exchange.HTTP.Body, f.config.MaxBody))
	}
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return body, nil
}

func bodyRefusal(err error) error {
	var limit *http.MaxBytesError
	switch {
	case errors.As(err, &limit):
		return tooLarge(limit.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "the body came too slowly")
	default:
		return refuse(http.StatusBadRequest, "the body broke off")
	}
}

func tooLarge(limit int64) error {
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

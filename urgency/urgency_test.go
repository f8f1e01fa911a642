package urgency

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

var now = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return now }

var config = Config{DefaultDeadline: 30 * time.Second, MaxDeadline: 10 * time.Minute, ClaimRetention: time.Hour, Clock: fixedClock{}}

func newID(at time.Time) string { return ulid.MustNewDefault(at).String() }

// TestRun guards against request ids whose claim may already be deleted, which would let a request run twice, and against invalid headers
// that are accepted.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		method, id, urgency, deadline, idempotent string
		want                                      acaciatally.Request
		refused                                   string
	}{
		"get":                        {method: "GET", id: "a", want: acaciatally.Request{Idempotent: true}},
		"head":                       {method: "HEAD", id: "a", want: acaciatally.Request{Idempotent: true}},
		"options":                    {method: "OPTIONS", id: "a", want: acaciatally.Request{Idempotent: true}},
		"idempotent post":            {method: "POST", id: "a", idempotent: "true", want: acaciatally.Request{Idempotent: true}},
		"post":                       {method: "POST", id: newID(now)},
		"put":                        {method: "PUT", id: "a", refused: "ULID"},
		"no id":                      {method: "POST", refused: "ULID"},
		"get that is not idempotent": {method: "GET", id: "a", idempotent: "false", refused: "ULID"},
		"id at the retention":        {method: "POST", id: newID(now.Add(-time.Hour))},
		"id past retention":          {method: "POST", id: newID(now.Add(-time.Hour - time.Second)), refused: "older"},
		"id too far in the future":   {method: "POST", id: newID(now.Add(2 * time.Minute)), refused: "future"},
		"urgent":                     {method: "GET", id: "a", urgency: "Urgent", want: acaciatally.Request{Urgency: acaciatally.Urgent, Idempotent: true}},
		"unknown class":              {method: "GET", id: "a", urgency: "urgent", refused: "unknown urgency"},
		"deadline":                   {method: "GET", id: "a", deadline: "1.7s", want: acaciatally.Request{Idempotent: true, Deadline: now.Add(1700 * time.Millisecond)}},
		"deadline not a duration":    {method: "GET", id: "a", deadline: "soon", refused: "duration"},
		"negative deadline":          {method: "GET", id: "a", deadline: "-1s", refused: "duration"},
		"deadline too far":           {method: "GET", id: "a", deadline: "11m", refused: "duration"},
		"idempotent not a boolean":   {method: "GET", id: "a", idempotent: "yes", refused: "neither"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			for key, value := range map[string]string{
				acaciatally.RequestIDHeader: test.id, acaciatally.UrgencyHeader: test.urgency, acaciatally.DeadlineHeader: test.deadline, acaciatally.IdempotentHeader: test.idempotent,
			} {
				if value != "" {
					header.Set(key, value)
				}
			}
			before := acaciatally.Request{ID: test.id, Method: test.method, Header: header}
			exchange := &acaciatally.Exchange{Received: now, Request: before}
			err := New(config).Run(t.Context(), exchange)
			if test.refused != "" {
				var refusal *acaciatally.Refusal
				require.True(t, errors.As(err, &refusal), "%v", err)
				require.Equal(t, acaciatally.NotRun, refusal.Outcome)
				require.Contains(t, refusal.Reason, test.refused)
				require.Equal(t, before, exchange.Request, "invalid input leaves the request unchanged")
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want.Idempotent, exchange.Request.Idempotent)
			if test.urgency != "" {
				require.Equal(t, test.want.Urgency, exchange.Request.Urgency)
			}
			if test.deadline != "" {
				require.Equal(t, test.want.Deadline, exchange.Request.Deadline)
			}
		})
	}
}

// TestCanonicalID guards against two spellings of one id, which would be two claims and let a request run twice.
func TestCanonicalID(t *testing.T) {
	id := newID(now)
	header := http.Header{acaciatally.RequestIDHeader: {strings.ToLower(id)}}
	exchange := &acaciatally.Exchange{Received: now, Request: acaciatally.Request{Header: header, Method: "POST"}}
	require.NoError(t, New(config).Run(t.Context(), exchange))
	require.Equal(t, id, exchange.Request.ID)
}

// FuzzParse guards against panics of the parsers and against deadlines outside their bounds.
func FuzzParse(f *testing.F) {
	f.Add("POST", "Urgent", "1.7s", "true")
	f.Add("GET", "", "", "")
	f.Add("PUT", "x", "9999999h", "1")
	f.Fuzz(func(t *testing.T, method, class, deadline, idempotent string) {
		parsed, err := config.Parse(method, http.Header{
			acaciatally.UrgencyHeader: {class}, acaciatally.DeadlineHeader: {deadline}, acaciatally.IdempotentHeader: {idempotent},
		})
		if err != nil {
			return
		}
		require.Greater(t, parsed.Timeout, time.Duration(0))
		require.LessOrEqual(t, parsed.Timeout, config.MaxDeadline)
		require.Less(t, int(parsed.Urgency), acaciatally.UrgencyClasses)
	})
}

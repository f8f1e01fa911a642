package answer

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestEndToEnd checks that hop-by-hop fields are not forwarded, including those listed in Connection.
func TestEndToEnd(t *testing.T) {
	header := http.Header{
		"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"Keep-Alive": {"5"}, "Upgrade": {"x"}, "Trailer": {"A"}, "Expect": {"100-continue"}, "X-End": {"1", "2"},
	}
	require.Equal(t, http.Header{"X-End": {"1", "2"}}, EndToEnd(header))
	require.Equal(t, []string{"1"}, header["X-Hop"], "original header must not change")
	require.Empty(t, EndToEnd(nil))
}

// TestRun checks that a complete response is written unchanged, and that one that ends early is reported, so that the caller's
// connection can be closed.
func TestRun(t *testing.T) {
	broken := io.NopCloser(io.MultiReader(strings.NewReader("b"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	tests := map[string]struct {
		method    string
		http10    bool // HTTP/1.0 caller
		response  acaciatally.Answer
		body      string
		length    string
		truncated bool
	}{
		"complete":   {method: "GET", response: acaciatally.Answer{Status: 200, Body: []byte("done")}, body: "done", length: "4"},
		"head":       {method: "HEAD", response: acaciatally.Answer{Status: 200, Header: http.Header{"Content-Length": {"9"}}}, length: "9"},
		"no content": {method: "GET", response: acaciatally.Answer{Status: 204}},
		"streamed":   {method: "GET", response: acaciatally.Answer{Status: 200, Body: []byte("a"), Remainder: io.NopCloser(strings.NewReader("b"))}, body: "ab"},
		"HTTP/1.0":   {method: "GET", http10: true, response: acaciatally.Answer{Status: 200, Remainder: http.NoBody}},
		"truncated":  {method: "GET", response: acaciatally.Answer{Status: 200, Body: []byte("a"), Remainder: broken}, body: "ab", truncated: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			exchange := &acaciatally.Exchange{
				Writer: recorder, HTTP: &http.Request{ProtoMajor: 1, ProtoMinor: 1}, Answer: &test.response, Request: acaciatally.Request{ID: "r", Method: test.method},
			}
			if test.http10 {
				exchange.HTTP.ProtoMinor = 0
			}
			err := New().Run(t.Context(), exchange)
			if test.http10 {
				require.ErrorContains(t, err, "Unknown")
				require.Empty(t, recorder.Body.String())
				return
			}
			require.Equal(t, test.truncated, errors.Is(err, ErrTruncated))
			require.Equal(t, test.response.Status, recorder.Code)
			require.Equal(t, test.body, recorder.Body.String())
			require.Equal(t, test.length, recorder.Header().Get("Content-Length"))
			require.Equal(t, "r", recorder.Header().Get(acaciatally.RequestIDHeader))
		})
	}
}

// TestRefuse checks that a refusal has the outcome in header and body, and Retry-After rounded up to whole seconds.
func TestRefuse(t *testing.T) {
	recorder := httptest.NewRecorder()
	Refuse(recorder, "r", &acaciatally.Refusal{
		Outcome: acaciatally.NotRun, Status: 503, Reason: "full", RetryAfter: 1500 * time.Millisecond,
	})
	require.Equal(t, "NotRun", recorder.Header().Get(acaciatally.OutcomeHeader))
	require.Equal(t, "2", recorder.Header().Get("Retry-After"))
	var body RefusalBody
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
	require.Equal(t, RefusalBody{Outcome: acaciatally.NotRun, Reason: "full", RequestID: "r", RetryAfter: "1.5s"}, body)
}

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

// Guards against fields of one connection that reach the other side, among them those that Connection names.
func TestEndToEnd(t *testing.T) {
	header := http.Header{
		"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Transfer-Encoding": {"chunked"},
		"Keep-Alive": {"5"}, "Upgrade": {"x"}, "Trailer": {"A"}, "Expect": {"100-continue"}, "X-End": {"1", "2"},
	}
	require.Equal(t, http.Header{"X-End": {"1", "2"}}, EndToEnd(header))
	require.Equal(t, []string{"1"}, header["X-Hop"], "the original is unchanged")
	require.Empty(t, EndToEnd(nil))
}

// Guards P3: a whole answer passes unchanged, and one that breaks off after its beginning is reported so that the caller is cut.
func TestRun(t *testing.T) {
	broken := io.NopCloser(io.MultiReader(strings.NewReader("b"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	tests := map[string]struct {
		method string
		old    bool // an HTTP/1.0 caller
		answer acaciatally.Answer
		body   string
		length string
		broken bool
	}{
		"whole":           {method: "GET", answer: acaciatally.Answer{Status: 200, Body: []byte("done")}, body: "done", length: "4"},
		"head":            {method: "HEAD", answer: acaciatally.Answer{Status: 200, Header: http.Header{"Content-Length": {"9"}}}, length: "9"},
		"no content":      {method: "GET", answer: acaciatally.Answer{Status: 204}},
		"streamed":        {method: "GET", answer: acaciatally.Answer{Status: 200, Body: []byte("a"), Rest: io.NopCloser(strings.NewReader("b"))}, body: "ab"},
		"end not visible": {method: "GET", old: true, answer: acaciatally.Answer{Status: 200, Rest: http.NoBody}},
		"broken off":      {method: "GET", answer: acaciatally.Answer{Status: 200, Body: []byte("a"), Rest: broken}, body: "ab", broken: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := httptest.NewRecorder()
			exchange := &acaciatally.Exchange{
				Writer: recorder, HTTP: &http.Request{ProtoMajor: 1, ProtoMinor: 1}, Answer: &test.answer, Request: acaciatally.Request{ID: "r", Method: test.method},
			}
			if test.old {
				exchange.HTTP.ProtoMinor = 0
			}
			err := New().Run(t.Context(), exchange)
			if test.old {
				require.ErrorContains(t, err, "Unknown")
				require.Empty(t, recorder.Body.String())
				return
			}
			require.Equal(t, test.broken, errors.Is(err, ErrBrokenOff))
			require.Equal(t, test.answer.Status, recorder.Code)
			require.Equal(t, test.body, recorder.Body.String())
			require.Equal(t, test.length, recorder.Header().Get("Content-Length"))
			require.Equal(t, "r", recorder.Header().Get(acaciatally.RequestIDHeader))
		})
	}
}

// Guards the caller's view of a refusal: the outcome in header and body, and whole seconds in Retry-After.
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

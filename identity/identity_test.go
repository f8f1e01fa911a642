package identity

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

func newFilter() *Filter {
	return New(Config{
		MaxHeader: 512, MaxBody: 16, MaxBuffered: 32,
		PoolExists: func(pool acaciatally.PoolName) bool { return pool == "coating" },
	})
}

// chunkedBody returns a reader without a known length, as the body of a chunked request.
func chunkedBody(body string) io.Reader { return iotest.OneByteReader(strings.NewReader(body)) }

// TestRun checks that ambiguous or invalid input is refused with the outcome NotRun and the right status, and that a refusal leaves
// exchange.Request empty.
func TestRun(t *testing.T) {
	tests := map[string]struct {
		path   string
		header http.Header
		body   io.Reader
		status int // 0 if accepted
	}{
		"plain":             {path: "/coating/strip?x=1", body: strings.NewReader("mirror")},
		"pool only":         {path: "/coating"},
		"chunked":           {path: "/coating/", body: chunkedBody("mirror")},
		"caller's ID":       {path: "/coating/", header: http.Header{acaciatally.RequestIDHeader: {"job:7"}}},
		"unknown pool":      {path: "/nothing/", status: 404},
		"no pool":           {path: "/", status: 400},
		"encoded pool":      {path: "/co%61ting/", status: 400},
		"empty segment":     {path: "//coating/", status: 400},
		"invalid ID":        {path: "/coating/", header: http.Header{acaciatally.RequestIDHeader: {"a b"}}, status: 400},
		"repeated ID":       {path: "/coating/", header: http.Header{acaciatally.RequestIDHeader: {"a", "b"}}, status: 400},
		"invalid team":      {path: "/coating/", header: http.Header{acaciatally.TeamHeader: {"a/b"}}, status: 400},
		"long header":       {path: "/coating/", header: http.Header{"X": {strings.Repeat("a", 600)}}, status: 431},
		"long body":         {path: "/coating/", body: strings.NewReader(strings.Repeat("a", 17)), status: 413},
		"long chunked body": {path: "/coating/", body: chunkedBody(strings.Repeat("a", 17)), status: 413},
		"body read error":   {path: "/coating/", body: io.MultiReader(chunkedBody("a"), iotest.ErrReader(io.ErrUnexpectedEOF)), status: 400},
		"body read timeout": {path: "/coating/", body: iotest.ErrReader(os.ErrDeadlineExceeded), status: 408},
		"truncated body":    {path: "/coating/", body: &truncatedBody{}, status: 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			incoming := httptest.NewRequestWithContext(t.Context(), http.MethodPost, test.path, test.body)
			if _, truncated := test.body.(*truncatedBody); truncated {
				incoming.ContentLength = 9
			}
			for key, values := range test.header {
				incoming.Header[key] = values
			}
			exchange := &acaciatally.Exchange{HTTP: incoming, Writer: httptest.NewRecorder()}
			err := newFilter().Run(t.Context(), exchange)
			exchange.Finish()
			if test.status == 0 {
				require.NoError(t, err)
				require.Equal(t, acaciatally.PoolName("coating"), exchange.Request.Pool)
				require.Equal(t, test.path, exchange.Request.Path)
				require.NotEmpty(t, exchange.Request.ID)
				return
			}
			var refusal *acaciatally.Refusal
			require.True(t, errors.As(err, &refusal), "%v", err)
			require.Equal(t, test.status, refusal.Status)
			require.Equal(t, acaciatally.NotRun, refusal.Outcome)
			require.Empty(t, exchange.Request)
		})
	}
}

type truncatedBody struct{}

func (*truncatedBody) Read([]byte) (int, error) { return 0, io.EOF }

// TestBufferedBodies checks that the total size of the bodies in memory is limited, so that memory use does not grow with the number of
// callers, and that a finished request frees its share.
func TestBufferedBodies(t *testing.T) {
	filter := newFilter()
	run := func() (*acaciatally.Exchange, error) {
		exchange := &acaciatally.Exchange{
			HTTP:   httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/coating/", strings.NewReader(strings.Repeat("a", 16))),
			Writer: httptest.NewRecorder(),
		}
		return exchange, filter.Run(t.Context(), exchange)
	}
	first, err := run()
	require.NoError(t, err)
	_, err = run()
	require.NoError(t, err)
	_, err = run()
	require.ErrorContains(t, err, "memory")
	first.Finish()
	_, err = run()
	require.NoError(t, err)
}

// FuzzParseNames checks that accepted identifiers contain no characters that could break a header line or the key of a row.
func FuzzParseNames(f *testing.F) {
	f.Add("/coating/strip", "01M908XNKEGHBKW9E02YFV0XTX", "observatories")
	f.Add("/", "", "")
	f.Add("/co%61ting", "a\r\nb", "a/b")
	f.Fuzz(func(t *testing.T, path, id, team string) {
		names, err := ParseNames(path, http.Header{acaciatally.RequestIDHeader: {id}, acaciatally.TeamHeader: {team}})
		if err != nil {
			return
		}
		require.NotEmpty(t, names.ID)
		require.NotContains(t, names.ID+string(names.Team)+string(names.Pool), "/")
		require.False(t, strings.ContainsAny(names.ID+string(names.Team)+string(names.Pool), "\r\n %"))
	})
}

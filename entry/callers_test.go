package entry

import (
	"bufio"
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// raw sends bytes to the first entry and returns what comes back until the connection closes.
func (d *deployment) raw(send string) string {
	h := &host{network: d.network}
	connection, err := h.Dial(context.Background(), "tcp", address(callerPorts, 0).String())
	require.NoError(d.t, err)
	defer func() { _ = connection.Close() }()
	go func() { _, _ = io.WriteString(connection, send) }()
	content, _ := io.ReadAll(connection)
	return string(content)
}

// Guards the server against slow callers and long headers, and callers against refusals without an outcome.
func TestCallersBounds(t *testing.T) {
	done := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "done") })
	tests := map[string]struct {
		send   string
		want   string
		within time.Duration
	}{
		"served":          {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", want: "\r\n\r\ndone"},
		"no pool":         {send: "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", want: "Acaciatally-Outcome: NotRun"},
		"asterisk":        {send: "OPTIONS * HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", want: "HTTP/1.1 "},
		"long header":     {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", want: "431"},
		"endless header":  {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 1<<20), want: "431", within: readHeaderTimeout},
		"slow header":     {send: "GET /coating/ HTTP/1.1\r\nHo", want: "", within: readHeaderTimeout},
		"slow body":       {send: "POST /coating/ HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nmir", want: "408", within: readTimeout + time.Second},
		"not idempotent":  {send: "POST /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", want: "needs"},
		"idle connection": {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\n\r\n", want: "done", within: keepAliveTimeout + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				d := newDeployment(t, 1, 1, done)
				start := time.Now()
				require.Contains(t, d.raw(test.send), test.want)
				require.LessOrEqual(t, time.Since(start), test.within)
			})
		})
	}
}

// Guards P3: a long answer that breaks off cuts the caller's connection instead of ending like a whole one.
func TestBrokenLongAnswer(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 3000000\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n200000\r\n"} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				d := newDeployment(t, 1, 1, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					connection, buffer, err := http.NewResponseController(writer).Hijack()
					require.NoError(t, err)
					_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + framing + strings.Repeat("a", 2<<20))
					_ = buffer.Flush()
					_ = connection.Close()
				}))
				answer := d.raw("GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				require.Greater(t, len(answer), 1<<20, "the beginning is passed on")
				response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				_ = response.Body.Close()
			})
		})
	}
}

// Guards the bound on requests in progress.
func TestTooManyInFlight(t *testing.T) {
	bubble(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, http.NotFoundHandler())
		d.processes[0].inFlight = make(chan struct{})
		require.Contains(t, d.raw("GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), "too many requests in progress")
	})
}

// statuses returns the statuses that the non-test files of a package name.
func statuses(t *testing.T, directory string, found map[string]int) {
	files, err := filepath.Glob(filepath.Join("..", directory, "*.go"))
	require.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		ast.Inspect(parsed, func(node ast.Node) bool {
			selector, is := node.(*ast.SelectorExpr)
			if is && strings.HasPrefix(selector.Sel.Name, "Status") && isHTTP(selector.X) {
				found[selector.Sel.Name]++
			}
			return true
		})
	}
}

func isHTTP(node ast.Expr) bool {
	name, is := node.(*ast.Ident)
	return is && name.Name == "http"
}

// notSent are statuses that the code only compares.
var notSent = map[string]bool{"StatusNoContent": true, "StatusNotModified": true, "StatusSwitchingProtocols": true, "StatusOK": true}

// Guards docs/CALLERS.md against a status that callers get and the page does not explain.
func TestCallersPageNamesEachStatus(t *testing.T) {
	found := map[string]int{}
	for _, directory := range []string{"identity", "urgency", "claim", "attempt", "answer", "entry", "admission", "slot"} {
		statuses(t, directory, found)
	}
	require.Greater(t, len(found), 10)
	page, err := os.ReadFile("../docs/CALLERS.md")
	require.NoError(t, err)
	for name := range found {
		if notSent[name] {
			continue
		}
		code := 0
		for candidate := 100; candidate < 600; candidate++ {
			if "Status"+strings.NewReplacer(" ", "", "-", "", "'", "").Replace(http.StatusText(candidate)) == name {
				code = candidate
			}
		}
		require.NotZero(t, code, "no code for %s", name)
		require.Contains(t, string(page), "| "+strconv.Itoa(code)+" |", "%s is not in the table", name)
	}
}

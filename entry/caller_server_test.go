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

// readHeaderTimeout is the default of Ingress.HeaderTimeout.
const readHeaderTimeout = 5 * time.Second

// sendRaw sends raw bytes to the first entry and returns everything it receives until the connection closes.
func (d *deployment) sendRaw(send string) string {
	h := &host{network: d.network}
	connection, err := h.Dial(context.Background(), "tcp", address(callerPorts, 0).String())
	require.NoError(d.t, err)
	defer func() { _ = connection.Close() }()
	go func() { _, _ = io.WriteString(connection, send) }()
	content, _ := io.ReadAll(connection)
	return string(content)
}

// TestCallerServerLimits guards against connections that slow callers or long headers hold open, and against refusals without an
// outcome.
func TestCallerServerLimits(t *testing.T) {
	done := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "done") })
	tests := map[string]struct {
		send   string
		want   string
		within time.Duration
	}{
		"served":          {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", want: "\r\n\r\ndone"},
		"no pool":         {send: "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", want: "Acaciatally-Outcome: NotRun"},
		"asterisk form":   {send: "OPTIONS * HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", want: "HTTP/1.1 "},
		"long header":     {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", want: "431"},
		"endless header":  {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 1<<20), want: "431", within: readHeaderTimeout},
		"slow header":     {send: "GET /coating/ HTTP/1.1\r\nHo", want: "", within: readHeaderTimeout},
		"slow body":       {send: "POST /coating/ HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nmir", want: "408", within: readTimeout + time.Second},
		"not idempotent":  {send: "POST /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", want: "needs"},
		"idle connection": {send: "GET /coating/ HTTP/1.1\r\nHost: x\r\n\r\n", want: "done", within: keepAliveTimeout + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				d := newDeployment(t, 1, 1, done)
				start := time.Now()
				require.Contains(t, d.sendRaw(test.send), test.want)
				require.LessOrEqual(t, time.Since(start), test.within)
			})
		})
	}
}

// TestTruncatedAnswerCutsConnection guards guarantee P3 (docs/PROOFS.md): if the endpoint breaks off a long answer, the caller's
// connection must be cut, so that the truncated answer does not look complete.
func TestTruncatedAnswerCutsConnection(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 3000000\r\n\r\n", "chunked": "Transfer-Encoding: chunked\r\n\r\n200000\r\n"} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				d := newDeployment(t, 1, 1, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					connection, buffer, err := http.NewResponseController(writer).Hijack()
					require.NoError(t, err)
					_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + framing + strings.Repeat("a", 2<<20))
					_ = buffer.Flush()
					_ = connection.Close()
				}))
				answer := d.sendRaw("GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				require.Greater(t, len(answer), 1<<20, "the beginning of the answer reaches the caller")
				response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)
				_ = response.Body.Close()
			})
		})
	}
}

// TestInFlightLimit guards against an entry that accepts more requests than its limit.
func TestInFlightLimit(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		d := newDeployment(t, 1, 1, http.NotFoundHandler())
		d.processes[0].inFlight = make(chan struct{})
		require.Contains(t, d.sendRaw("GET /coating/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), "too many requests in progress")
	})
}

// countStatuses adds to found how often the non-test files of a package refer to each http.Status constant.
func countStatuses(t *testing.T, directory string, found map[string]int) {
	files, err := filepath.Glob(filepath.Join("..", directory, "*.go"))
	require.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		require.NoError(t, err)
		ast.Inspect(parsed, func(node ast.Node) bool {
			selector, isSelector := node.(*ast.SelectorExpr)
			if isSelector && strings.HasPrefix(selector.Sel.Name, "Status") && isHTTPPackage(selector.X) {
				found[selector.Sel.Name]++
			}
			return true
		})
	}
}

func isHTTPPackage(node ast.Expr) bool {
	name, isIdent := node.(*ast.Ident)
	return isIdent && name.Name == "http"
}

// comparedOnly lists statuses that the code compares but never sends itself.
var comparedOnly = map[string]bool{"StatusNoContent": true, "StatusNotModified": true, "StatusSwitchingProtocols": true, "StatusOK": true}

// TestCallersPageNamesEachStatus guards against a status that callers can receive and docs/CALLERS.md does not explain.
func TestCallersPageNamesEachStatus(t *testing.T) {
	found := map[string]int{}
	for _, directory := range []string{"identity", "urgency", "claim", "attempt", "answer", "entry", "admission", "slot"} {
		countStatuses(t, directory, found)
	}
	require.Greater(t, len(found), 10)
	page, err := os.ReadFile("../docs/CALLERS.md")
	require.NoError(t, err)
	for name := range found {
		if comparedOnly[name] {
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

package flood

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/console"
)

var program string

// linkProgram makes the program under test a part of the test binary, by a harmless call, so that each change to it invalidates cached test results.
func linkProgram() {
	console.Run(console.Config{Arguments: []string{"version"}, Output: io.Discard, Errors: io.Discard, Getenv: os.Getenv})
}

// TestMain builds the program whose processes are tested.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "flood")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "acaciatally")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", program, "../cmd/acaciatally")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.Exit(1)
	}
	linkProgram()
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// crowds returns the hostile crowds against a request line.
func crowds(line string) []crowd {
	head := line + " HTTP/1.1\r\nHost: a.example\r\nAcaciatally-Idempotent: true\r\n"
	return []crowd{
		wholeBody("whole", head, 0),
		wholeBody("piece by piece", head, 16<<10),
		chunkedBody("large chunks", head, 64<<10),
		chunkedBody("one-byte chunks", head, 1),
		unfinishedHeader("unfinished header", head),
	}
}

// holdTime is how long the crowd's connections stay open before the ordinary request is sent.
const holdTime = time.Second

// requireWithstands sends a crowd to an address and requires that the process stays within the limits of its settings, and that it answers
// one ordinary request while the crowd's connections are open.
func requireWithstands(t *testing.T, p *process, c crowd, address string, ordinary func() (status int, content string)) {
	t.Helper()
	stop := p.watch()
	c.send(t, address)
	time.Sleep(holdTime)
	status, content := ordinary()
	used := stop()
	t.Logf("resident %d KiB, unread %d KiB, both at once %d KiB, descriptors %d", used.resident>>10, used.unread>>10, used.total>>10, used.descriptors)
	p.requireAlive()
	assert.LessOrEqual(t, used.resident, int64(memoryMB<<20), "resident memory exceeds the memory limit")
	assert.LessOrEqual(t, used.total, int64(memoryMB<<20), "resident memory and unread bytes exceed the memory limit")
	assert.LessOrEqual(t, used.descriptors, descriptors, "descriptors")
	require.Equal(t, http.StatusOK, status, content)
}

const ordinaryJob = `{"spec":"work","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}`

// TestAttend guards against clients that end an entry, or keep it from answering others, with requests that they do not finish.
func TestAttend(t *testing.T) {
	submit := func(p *process) func() (int, string) {
		return func() (int, string) {
			return p.request(http.MethodPost, p.callers, "/quotes/00000000ffffffff", ordinaryJob)
		}
	}
	for _, c := range crowds("POST /quotes/%d") {
		t.Run("callers/"+c.name, func(t *testing.T) {
			p := startAttend(t)
			requireWithstands(t, p, c, p.callers, submit(p))
		})
	}
	for _, c := range crowds("GET /-/ready") {
		t.Run("readiness/"+c.name, func(t *testing.T) {
			p := startAttend(t)
			requireWithstands(t, p, c, p.ready, submit(p))
			status, _ := p.request(http.MethodGet, p.ready, "/-/ready", "")
			require.Equal(t, http.StatusOK, status)
		})
	}
	for _, c := range crowds("GET /metrics") {
		t.Run("metrics/"+c.name, func(t *testing.T) {
			p := startAttend(t)
			requireWithstands(t, p, c, p.metrics, submit(p))
			status, _ := p.request(http.MethodGet, p.metrics, "/metrics", "")
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// TestServe guards against the same clients on the traffic path and the operators' address.
func TestServe(t *testing.T) {
	send := func(p *process) func() (int, string) {
		return func() (int, string) { return p.request(http.MethodPost, p.callers, "/coating/strip", "mirror 7") }
	}
	for _, c := range crowds("POST /coating/strip") {
		t.Run("callers/"+c.name, func(t *testing.T) {
			p := startServe(t)
			requireWithstands(t, p, c, p.callers, send(p))
		})
	}
	for _, c := range crowds("POST /tasks") {
		t.Run("tasks/"+c.name, func(t *testing.T) {
			p := startServe(t)
			requireWithstands(t, p, c, p.callers, send(p))
		})
	}
	for _, c := range crowds("GET /metrics") {
		t.Run("operators/"+c.name, func(t *testing.T) {
			p := startServe(t)
			requireWithstands(t, p, c, p.metrics, send(p))
			status, _ := p.request(http.MethodGet, p.metrics, "/metrics", "")
			require.Equal(t, http.StatusOK, status)
		})
	}
}

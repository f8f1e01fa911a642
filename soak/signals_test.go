package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSignalsDuringStop guards against an entry that is ended by a SIGHUP, or by the SIGTERM of another planned stop, while it finishes its requests after a
// SIGTERM: the requests got no response.
func TestSignalsDuringStop(t *testing.T) {
	const (
		requestTime  = time.Second // of a request whose answer the store delays
		signalPeriod = 50 * time.Millisecond
	)
	tests := map[string][]syscall.Signal{
		"no hangup":            {syscall.SIGTERM},
		"one hangup":           {syscall.SIGTERM, syscall.SIGHUP},
		"several hangups":      {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP},
		"hangup before":        {syscall.SIGHUP, syscall.SIGTERM},
		"hangup before, after": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
		"terminated twice":     {syscall.SIGTERM, syscall.SIGTERM},
		"series":               {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP},
	}
	for name, signals := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, program, 1, 2)
			e := d.entries[0]
			require.Eventually(t, func() bool { return d.ask(e) == `{"pending":0}` }, 20*time.Second, 50*time.Millisecond)
			e.faults.SetDelay(requestTime)
			answer := make(chan string, 1)
			go func() { answer <- d.ask(e) }()
			for _, signal := range signals {
				time.Sleep(signalPeriod)
				e.signal(signal)
			}
			require.Equal(t, `{"pending":0}`, <-answer)
			e.wait()
			require.Zero(t, e.process.ProcessState.ExitCode(), "the process ends by itself")
		})
	}
}

// ask asks an entry for the number of waiting jobs of a queue, and returns the body of the response; it is empty if there is none.
func (d *deployment) ask(e *entry) (body string) {
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodGet, "http://"+e.ip+":8624/quotes/", http.NoBody)
	if err != nil {
		return ""
	}
	request.Host = "a.example"
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !json.Valid(content) {
		return ""
	}
	return strings.TrimSpace(string(content))
}

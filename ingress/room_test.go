package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestSlowBodiesMakeRoom guards against stalled bodies that keep others from being served: the one that has held the most for longest is
// refused, with a true outcome, before the time limit without memory pressure is over.
func TestSlowBodiesMakeRoom(t *testing.T) {
	runServer(t, Config{Limits: Limits{Bytes: 6 * largeBody}}, func(t *testing.T, s *testServer) {
		first, second, third := s.dial(), s.dial(), s.dial()
		first.send(post("/", largeBody, "a"))
		time.Sleep(500 * time.Millisecond)
		second.send(chunked("a"))
		third.send(post("/", largeBody+1, "a"))
		time.Sleep(900 * time.Millisecond)
		ordinary := s.dial()
		ordinary.send(post("/", 190_000, strings.Repeat("a", 190_000)))
		status, _, _ := ordinary.response(t)
		require.Equal(t, 200, status)
		status, _, closes := first.response(t)
		require.Equal(t, 503, status)
		require.True(t, closes)
		require.Equal(t, 1, s.gate.State().ClosedUnfinished)
		third.send(strings.Repeat("a", largeBody))
		status, _, _ = third.response(t)
		require.Equal(t, 200, status, "a body that is not slow enough is not touched")
	})
}

// TestIdleMakesRoom guards against idle connections that keep new ones from being served, and against the loss of a request in progress.
func TestIdleMakesRoom(t *testing.T) {
	runServer(t, Config{Limits: Limits{Connections: 2}}, func(t *testing.T, s *testServer) {
		idleClient, unfinished := s.dial(), s.dial()
		idleClient.send(post("/", 2, "ab"))
		_, _, _ = idleClient.response(t)
		unfinished.send(post("/", largeBody, strings.Repeat("a", largeBody-1)))
		time.Sleep(time.Second)
		ordinary := s.dial()
		ordinary.send(post("/", 2, "ab"))
		status, _, _ := ordinary.response(t)
		require.Equal(t, 200, status)
		status, _, _ = idleClient.response(t)
		require.Zero(t, status, "the idle connection is closed")
		unfinished.send("a")
		status, _, _ = unfinished.response(t)
		require.Equal(t, 200, status)
		require.Equal(t, 1, s.gate.State().ClosedIdle)
	})
}

// TestConnectionsRefused guards against more connections than the limit, and against a refusal without a truthful outcome.
func TestConnectionsRefused(t *testing.T) {
	reports := 0
	runServer(t, Config{Limits: Limits{Connections: 1}, Report: func(Report) { reports++ }}, func(t *testing.T, s *testServer) {
		first := s.dial()
		first.send(post("/slow", 2, "ab"))
		synctest.Wait()
		second := s.dial()
		response, err := http.ReadResponse(second.reader, nil)
		require.NoError(t, err)
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, 503, response.StatusCode)
		require.Equal(t, "NotRun", response.Header.Get(acaciatally.OutcomeHeader))
		require.Equal(t, "1", response.Header.Get("Retry-After"))
		require.Contains(t, string(content), "not accepted")
		status, _, _ := first.response(t)
		require.Equal(t, 200, status, "a request that is being answered is not touched")
		require.Equal(t, 1, s.gate.State().RefusedConnections)
		require.Equal(t, 1, reports)
	})
}

// TestBurstOfConnections guards against new connections that are refused, or closed before their request is read, since many arrive at the
// same moment: a hostile crowd of three times the limit connects, and an ordinary request right after it.
func TestBurstOfConnections(t *testing.T) {
	runServer(t, Config{Limits: Limits{Connections: 20}}, func(t *testing.T, s *testServer) {
		for range 60 {
			s.dial().send(post("/", largeBody, "a"))
		}
		ordinary := s.dial()
		ordinary.send(post("/", 2, "ab"))
		status, _, _ := ordinary.response(t)
		require.Equal(t, 200, status)
		require.Zero(t, s.gate.State().RefusedConnections)
	})
}

// TestEvictedDoNotLinger guards against refused connections that keep others out until they are closed.
func TestEvictedDoNotLinger(t *testing.T) {
	runServer(t, Config{Limits: Limits{Connections: 2}}, func(t *testing.T, s *testServer) {
		for range 2 {
			s.dial().send(post("/", largeBody, "a"))
		}
		time.Sleep(time.Second)
		began := time.Now()
		for range 10 {
			c := s.dial()
			c.send(post("/", 2, "ab"))
			status, _, _ := c.response(t)
			require.Equal(t, 200, status)
			c.send(post("/", largeBody, "a"))
		}
		require.Less(t, time.Since(began), 10*lingerTime)
	})
}

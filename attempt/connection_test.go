package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
)

// TestConnectionRecord guards against taking bytes that arrived before the request was sent for its answer.
func TestConnectionRecord(t *testing.T) {
	client, server := net.Pipe()
	c := &connection{Conn: client}
	defer func() { _ = c.Close() }()
	transfer := func(from io.Writer, to io.Reader) {
		go func() { _, _ = from.Write([]byte("a")) }()
		_, err := to.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	c.reset()
	transfer(server, c)
	transfer(c, server)
	transfer(server, c)
	require.False(t, c.readOnlyAnswer(), "a byte arrived before the request was sent")
	c.reset()
	transfer(c, server)
	require.False(t, c.readOnlyAnswer(), "no byte arrived after the request was sent")
	transfer(server, c)
	require.True(t, c.readOnlyAnswer())
}

// TestEarlyAnswer guards against forwarding an answer that arrived before its request was sent. net/http detects such bytes only on
// idle connections.
func TestEarlyAnswer(t *testing.T) {
	for name, early := range map[string]bool{"early": true, "in time": false} {
		t.Run(name, func(t *testing.T) {
			a := &workerAttempt{connection: &connection{}, request: acaciatally.Request{Method: http.MethodGet}}
			a.connection.wrote.Store(!early)
			a.connection.recordRead()
			a.connection.wrote.Store(true)
			err := a.checkAnswer(&http.Response{StatusCode: http.StatusOK})
			require.Equal(t, early, errors.Is(err, errMismatchedAnswer))
		})
	}
}

// TestConnectionBreakAtFirstByte guards against a wrong outcome when the connection breaks: NotRun if no byte of the request was
// sent, and Unknown after the first byte.
func TestConnectionBreakAtFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(nil)
		defer f.filter.Close()
		f.filter.config.MaxRetries = 0
		f.filter.transport.DialContext = recordingDial(dialClosed, time.Second)
		_, refusal := f.run(t, http.MethodPost, false, nil)
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		f = newFixture(func(_ int, connection net.Conn) { _, _ = connection.Read(make([]byte, 1)) })
		defer f.filter.Close()
		_, refusal = f.run(t, http.MethodPost, false, nil)
		require.Equal(t, acaciatally.Unknown, refusal.Outcome)
	})
}

func dialClosed(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	return client, server.Close()
}

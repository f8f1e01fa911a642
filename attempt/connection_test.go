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

// Guards against bytes that came before the request left being taken for its answer.
func TestConnectionRecord(t *testing.T) {
	near, far := net.Pipe()
	c := &connection{Conn: near}
	defer func() { _ = c.Close() }()
	pass := func(from io.Writer, to io.Reader) {
		go func() { _, _ = from.Write([]byte("a")) }()
		_, err := to.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	c.begin()
	pass(far, c)
	pass(c, far)
	pass(far, c)
	require.False(t, c.answersThis(), "a byte came before the request")
	c.begin()
	pass(c, far)
	require.False(t, c.answersThis(), "no byte came after the request")
	pass(far, c)
	require.True(t, c.answersThis())
}

// Guards P3 against an answer that came before its request left; net/http notices it only while no request waits.
func TestEarlyAnswer(t *testing.T) {
	for name, early := range map[string]bool{"early": true, "in time": false} {
		t.Run(name, func(t *testing.T) {
			attempt := &sending{connection: &connection{}, request: acaciatally.Request{Method: http.MethodGet}}
			attempt.connection.wrote.Store(!early)
			attempt.connection.record()
			attempt.connection.wrote.Store(true)
			err := attempt.check(&http.Response{StatusCode: http.StatusOK})
			require.Equal(t, early, errors.Is(err, errForeign))
		})
	}
}

// Guards P4 and P5 at the first byte: a connection that breaks before any byte is taken proves NotRun, one after it does not.
func TestFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(nil)
		defer f.filter.Close()
		f.filter.config.MaxRetries = 0
		f.filter.transport.DialContext = recordingDial(closedAtOnce, time.Second)
		_, refusal := f.run(t, http.MethodPost, false, nil)
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		f = newFixture(func(_ int, connection net.Conn) { _, _ = connection.Read(make([]byte, 1)) })
		defer f.filter.Close()
		_, refusal = f.run(t, http.MethodPost, false, nil)
		require.Equal(t, acaciatally.Unknown, refusal.Outcome)
	})
}

func closedAtOnce(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	return near, far.Close()
}

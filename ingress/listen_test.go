package ingress

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestListen guards against sockets that hold more than a small amount of unread bytes, and against a body with its memory that has no more.
func TestListen(t *testing.T) {
	listener, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	unread := func() (count int) {
		raw, err := accepted.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, control(raw, func(descriptor uintptr) error {
			count, err = unix.IoctlGetInt(int(descriptor), unix.TIOCINQ)
			return err
		}))
		return count
	}
	go func() { _, _ = conn.Write(make([]byte, 16<<20)) }() // ends with the connection
	time.Sleep(200 * time.Millisecond)
	small := unread()
	require.Positive(t, small)
	require.LessOrEqual(t, small, 2*receiveBufferBytes)
	widenBuffer(accepted)
	_, err = io.ReadFull(accepted, make([]byte, 4*bodyBufferBytes))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unread() > small }, time.Minute, 10*time.Millisecond)
	require.LessOrEqual(t, unread(), 2*bodyBufferBytes)
}

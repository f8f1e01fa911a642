package flood

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdClients is the number of hostile clients. Their bodies together, 150 MiB, exceed the memory limit, and their connections the
	// limit of descriptors.
	crowdClients = 600
	// maxBody is the size of the largest legal body.
	maxBody = 256 << 10
	// finishedShare is the inverse of the share of clients that finish their request.
	finishedShare = 8
	// crowdAttempts is how often a client connects, if the server closes its connection.
	crowdAttempts = 3
	// sendTimeout ends an attempt whose bytes the server does not take.
	sendTimeout = 10 * time.Second
)

// crowd is a group of hostile clients that all send the same request, most of them without its last byte.
type crowd struct {
	name       string
	head       string // request line and header fields; %d is the number of the client
	body       []byte // all that follows the head, as it is sent
	pieceBytes int    // size of the pieces in which a client sends; 0 sends everything at once
	pause      time.Duration
}

// wholeBody returns a crowd that sends bodies of the largest legal size with their length, in pieces or at once.
func wholeBody(name, head string, pieceBytes int) crowd {
	return crowd{name: name, head: head + "Content-Length: " + strconv.Itoa(maxBody) + "\r\n\r\n", body: legalBody(), pieceBytes: pieceBytes, pause: 20 * time.Millisecond}
}

// chunkedBody returns a crowd that sends bodies of the largest legal size in chunks.
func chunkedBody(name, head string, chunkBytes int) crowd {
	var encoded bytes.Buffer
	for rest := legalBody(); len(rest) > 0; {
		n := min(chunkBytes, len(rest))
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	encoded.WriteString("0\r\n\r\n")
	return crowd{name: name, head: head + "Transfer-Encoding: chunked\r\n\r\n", body: encoded.Bytes()}
}

// unfinishedHeader returns a crowd that sends headers of nearly the largest legal size and no end of them.
func unfinishedHeader(name, head string) crowd {
	return crowd{name: name, head: head, body: []byte("X-Fill: " + strings.Repeat("a", 15<<10) + "\r\n\r")}
}

// legalBody returns a job of many steps. It is of legal size and JSON, but has too many steps, so that no job is accepted.
func legalBody() []byte {
	var job bytes.Buffer
	job.WriteString(`{"spec":"work","steps":[{}`)
	for job.Len() < maxBody-2-3 {
		job.WriteString(",{}")
	}
	job.WriteString("]}")
	return append(job.Bytes(), bytes.Repeat([]byte(" "), maxBody-job.Len())...)
}

// send starts all clients against an address and returns when all have sent what they can. Their connections stay open until the test ends.
func (c crowd) send(t *testing.T, address string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var sent, ended sync.WaitGroup
	for client := range crowdClients {
		sent.Add(1)
		ended.Go(func() { c.run(ctx, address, client, sync.OnceFunc(sent.Done)) })
	}
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
	sent.Wait()
}

// run is one client. It calls sent when everything is sent or it has given up, and holds its connection open until ctx ends.
func (c crowd) run(ctx context.Context, address string, client int, sent func()) {
	defer sent()
	for range crowdAttempts {
		conn, err := (&net.Dialer{Timeout: sendTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		if err = c.sendTo(conn, client); err == nil {
			sent()
			_, _ = io.Copy(io.Discard, conn) // returns when either side closes the connection
		}
		stop()
		_ = conn.Close()
		if ctx.Err() != nil {
			return
		}
	}
}

func (c crowd) sendTo(conn net.Conn, client int) error {
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	body := c.body
	if client%finishedShare != 0 {
		body = body[:len(body)-1]
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(c.head, "%d", fmt.Sprintf("%016x", client))); err != nil {
		return err
	}
	pieceBytes := c.pieceBytes
	if pieceBytes == 0 {
		pieceBytes = len(body)
	}
	for len(body) > 0 {
		n := min(pieceBytes, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(c.pause)
	}
	return nil
}

package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequest measures a request with a body of 300 bytes on an open connection, with and without the gate, client included.
func BenchmarkRequest(b *testing.B) {
	for name, gate := range map[string]*Gate{"without": nil, "with": New(Config{Limits: Limits{}.WithDefaults(184<<20, 4100)})} {
		b.Run(name, func(b *testing.B) {
			listener, err := Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(handleBody), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}
			if gate != nil {
				listener = gate.Serve(server, listener)
			}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			conn, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request, reader := post("/", 300, strings.Repeat("a", 300)), bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err = io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}

// BenchmarkAdmitFull measures the decision on a new connection while all of the largest default number are open.
func BenchmarkAdmitFull(b *testing.B) {
	l := &ledger{limits: Limits{}.WithDefaults(536<<20, 8192)}
	for len(l.accounts) < l.limits.Connections {
		a, _ := l.admit(start)
		l.enter(a, body, start)
	}
	now := start.Add(minConnectionAge)
	for b.Loop() {
		a, victim := l.admit(now)
		l.remove(victim)
		l.enter(a, body, start)
	}
	b.ReportMetric(float64(l.limits.Connections), "connections")
}

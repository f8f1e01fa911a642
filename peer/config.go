package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally"
)

const minKeySize = 16 // bytes; a shorter key can be found by brute force from one recorded handshake

// StreamKind is the purpose of a stream. It is sent as the first byte of the stream.
type StreamKind byte

// The kinds of streams. A stream of a kind without a handler is closed.
const (
	StreamHello     StreamKind = 1
	StreamViewFetch StreamKind = 2
	StreamSlot      StreamKind = 3
	StreamHeldSlot  StreamKind = 4

	// StreamObservation streams carry the traffic statistics of an entry. They are numbered separately from the streams for membership and
	// slots.
	StreamObservation StreamKind = 16
)

var kindNames = map[StreamKind]string{StreamHello: "Hello", StreamViewFetch: "ViewFetch", StreamSlot: "Slot", StreamHeldSlot: "Held", StreamObservation: "Observation"}

// String returns the name of the kind, as used in metrics.
func (k StreamKind) String() string {
	if name, found := kindNames[k]; found {
		return name
	}
	return fmt.Sprintf("Kind(%d)", byte(k))
}

// Maximum sizes of one message in bytes.
const (
	maxGreeting = 1 << 10
	maxMessage  = 1 << 20
	maxView     = 64 << 20
	maxSlot     = 16 << 10 // slot messages have only short fields, and thousands of slot streams may be open at once
)

func (k StreamKind) maxMessage() int64 {
	switch k {
	case StreamViewFetch:
		return maxView
	case StreamSlot, StreamHeldSlot:
		return maxSlot
	default:
		return maxMessage
	}
}

// ErrNotConnected is returned when no session to the entry could be used before the context ended.
var ErrNotConnected = errors.New("no session to the entry")

// Handler serves one stream that another entry has opened. The node closes the stream when the handler returns.
type Handler func(ctx context.Context, from acaciatally.EntryID, stream *Stream)

// Config configures a Node. Zero durations and counts are replaced by their defaults.
type Config struct {
	Deployment  string
	Entry       acaciatally.EntryID
	Incarnation string
	Key         []byte // shared by all entries of the deployment, at least 16 bytes
	Listener    net.Listener
	// Dial connects to another entry. The default dials TCP.
	Dial     func(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error)
	Handlers map[StreamKind]Handler
	// Random returns a number in [0, 1) for the jitter of reconnect delays.
	Random  func() float64
	Metrics *metrics.Set
	Logger  *log.Logger

	HandshakeTimeout time.Duration // default 2 s
	WriteTimeout     time.Duration // maximum duration of a write or keepalive before the session is closed, default 2 s
	KeepAlive        time.Duration // interval of keepalives, default 2 s
	ReconnectBase    time.Duration // upper bound of the first reconnect delay, default 25 ms, which is shorter than the setting AnswerLimit
	ReconnectMax     time.Duration // upper bound of every reconnect delay, default 2 s
	MaxHandshakes    int           // maximum concurrent unauthenticated connections, default 64
	MaxStreams       int           // maximum concurrent streams served per session, default 8192
}

// SetDefaults replaces zero values by their defaults.
func (c *Config) SetDefaults() {
	durations := map[*time.Duration]time.Duration{
		&c.HandshakeTimeout: 2 * time.Second,
		&c.WriteTimeout:     2 * time.Second,
		&c.KeepAlive:        2 * time.Second,
		&c.ReconnectBase:    25 * time.Millisecond,
		&c.ReconnectMax:     2 * time.Second,
	}
	for value, fallback := range durations {
		if *value == 0 {
			*value = fallback
		}
	}
	if c.MaxHandshakes == 0 {
		c.MaxHandshakes = 64
	}
	if c.MaxStreams == 0 {
		c.MaxStreams = 8192
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: discardWriter{}}}
	}
}

func (c *Config) validate() error {
	if c.Entry == "" || c.Incarnation == "" {
		return errors.New("entry or incarnation is empty")
	}
	if len(c.Key) < minKeySize {
		return fmt.Errorf("key has %d bytes, want at least %d", len(c.Key), minKeySize)
	}
	if c.Listener == nil {
		return errors.New("listener is missing")
	}
	return nil
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (n int, err error) { return len(p), nil }

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

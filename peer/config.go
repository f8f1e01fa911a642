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

const minKey = 16 // bytes; shorter keys can be guessed from one recorded handshake

// Kind says what a stream is for; it is the first byte on the stream.
type Kind byte

// The kinds of streams; streams of other kinds are closed.
const (
	Hello     Kind = 1
	ViewFetch Kind = 2
	Slot      Kind = 3
	Held      Kind = 4

	// Observation streams carry what an entry's traffic shows; they are numbered apart from the streams that keep the group.
	Observation Kind = 16
)

var kindNames = map[Kind]string{Hello: "Hello", ViewFetch: "ViewFetch", Slot: "Slot", Held: "Held", Observation: "Observation"}

// String returns the kind's name.
func (k Kind) String() string {
	if name, found := kindNames[k]; found {
		return name
	}
	return fmt.Sprintf("Kind(%d)", byte(k))
}

// Limits on the size of one message in bytes.
const (
	maxGreeting = 1 << 10
	maxMessage  = 1 << 20
	maxView     = 64 << 20
	maxSlot     = 16 << 10 // a slot message has only short fields; thousands of its streams are open at once
)

func (k Kind) maxMessage() int64 {
	switch k {
	case ViewFetch:
		return maxView
	case Slot, Held:
		return maxSlot
	default:
		return maxMessage
	}
}

// ErrNotConnected reports that no session to the entry came about in time.
var ErrNotConnected = errors.New("no session to the entry")

// Handler serves one stream opened by another entry and returns when it is done; the stream is closed then.
type Handler func(ctx context.Context, from acaciatally.EntryID, stream *Stream)

// Config is what a Node needs; zero durations and counts take the defaults.
type Config struct {
	Deployment  string
	Entry       acaciatally.EntryID
	Incarnation string
	Key         []byte // shared by all entries of the deployment, at least 16 bytes
	Listener    net.Listener
	// Dial connects to another entry; the default is TCP.
	Dial     func(ctx context.Context, address netip.AddrPort) (conn net.Conn, err error)
	Handlers map[Kind]Handler
	// Random returns a number in [0, 1) for the jitter of reconnects.
	Random  func() float64
	Metrics *metrics.Set
	Logger  *log.Logger

	HandshakeTimeout time.Duration // default 2 s
	WriteTimeout     time.Duration // time a write or keepalive may take before the session is closed, default 2 s
	KeepAlive        time.Duration // interval of keepalives, default 2 s
	ReconnectBase    time.Duration // bound of the first wait before a reconnect, default 25 ms: shorter than a slot home's AnswerLimit
	ReconnectMax     time.Duration // bound of any wait before a reconnect, default 2 s
	MaxHandshakes    int           // connections without proof at once, default 64
	MaxStreams       int           // streams served at once per session, default 8192
}

// Default fills in the values that are left out.
func (c *Config) Default() {
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
		c.Logger = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: nowhere{}}}
	}
}

func (c *Config) check() error {
	if c.Entry == "" || c.Incarnation == "" {
		return errors.New("entry or incarnation is empty")
	}
	if len(c.Key) < minKey {
		return fmt.Errorf("key has %d bytes, want at least %d", len(c.Key), minKey)
	}
	if c.Listener == nil {
		return errors.New("listener is missing")
	}
	return nil
}

type nowhere struct{}

func (nowhere) Write(p []byte) (n int, err error) { return len(p), nil }

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

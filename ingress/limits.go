package ingress

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"syscall"
	"time"
)

const (
	// unlimitedBytes is for requests on their way in if the memory of the process is not limited by its settings.
	unlimitedBytes = 256 << 20
	// bytesShare is the share of the memory for requests on their way in. Beside it there is room for the process itself, for garbage up to
	// the collector's soft limit of 0.6 of the memory, and for received bytes that are not read yet.
	bytesShare = 0.2
	// minBytes is enough for several requests of the largest size at once, however small the memory is.
	minBytes = 4 << 20
	// reservedShare is the share of the bytes that only small requests may use.
	reservedShare = 0.25
	// connectionShare is the share of the memory for connections, at connectionBytes for each. The smallest machines, of 184 MB, take 700.
	connectionShare = 0.15
	// connectionBytes is what a connection takes at most beside its request: a goroutine's stack, two buffers of 4 KiB, and what the system
	// holds for a receive buffer of receiveBufferBytes.
	connectionBytes = 40 << 10
	// fileDescriptors is the number of descriptors that stay free for files.
	fileDescriptors = 200
	// maxOwnConnections is the number of descriptors that stay free for the process's own connections: to the store, to the platform, and up to
	// four to each of 350 workers while it leads. A process with few descriptors keeps half of them.
	maxOwnConnections = 1500
	// minConnections lets a process with hardly any descriptors serve callers at all.
	minConnections = 16
	// receiveBufferBytes bounds the bytes that the system holds for a connection that is not read. A header of the largest size fits.
	receiveBufferBytes = 16 << 10
	// sendBufferBytes bounds the bytes that the system holds of a response that is not read.
	sendBufferBytes = 32 << 10
	// bodyBufferBytes replaces it for a body that is larger and has its memory, so that it does not take longer on a link with a long round
	// trip. It is the largest window that a connection with a small initial buffer can get, and counts as a part of the body.
	bodyBufferBytes = 64 << 10
	// acceptBacklog bounds the connections that wait to be accepted, since the system receives bytes for them too.
	acceptBacklog = 512
)

// Limits are the bounds on requests on their way in. Zero values are replaced by defaults, which no client within the documented limits
// reaches.
type Limits struct {
	Bytes       int64 // memory for requests on their way in, until they are answered; default a fifth of the process's memory
	Connections int   // connections of clients; default from the process's memory and descriptors
	// SmallRequest is the size in bytes up to which a request may use the quarter of Bytes that is reserved for small ones; default 16 KiB.
	SmallRequest int64
	HeaderBytes  int // size of the largest header; default 64 KiB
	// HeaderTimeout bounds the time from the first byte of a header to its end; default 3 s.
	HeaderTimeout time.Duration
	BodyStall     time.Duration // longest time without a byte within a body; default 10 s
	// BodyRate is the slowest rate of a body in bytes per second; it applies from BodyStall after the body's beginning. Default 8 KiB/s.
	BodyRate    int64
	BodyTimeout time.Duration // longest time for a body; default 1 min
	// PressureStall and PressureRate replace BodyStall and BodyRate while the bytes do not suffice for another request; defaults 1 s and 64
	// KiB/s. Requests that are slower are closed, those that hold the most bytes for longest first.
	PressureStall time.Duration
	PressureRate  int64
}

// WithDefaults returns the limits with defaults for a process with the given memory in bytes and number of descriptors; 0 is not limited.
func (l Limits) WithDefaults(memory int64, descriptors int) Limits {
	bytes, byMemory := int64(unlimitedBytes), math.MaxInt
	if memory > 0 {
		bytes = max(minBytes, int64(bytesShare*float64(memory)))
		byMemory = int(connectionShare * float64(memory) / connectionBytes)
	}
	if systemLimit := systemDescriptors(); descriptors <= 0 || descriptors > systemLimit {
		descriptors = systemLimit
	}
	own := min((descriptors-fileDescriptors)/2, maxOwnConnections)
	l.Bytes = cmp.Or(l.Bytes, bytes)
	byDescriptors := (descriptors - fileDescriptors - own) * 8 / 9 // leaves room for maxOpen
	l.Connections = cmp.Or(l.Connections, max(minConnections, min(byDescriptors, byMemory)))
	l.SmallRequest = cmp.Or(l.SmallRequest, 16<<10)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, 64<<10)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, 3*time.Second)
	l.BodyStall = cmp.Or(l.BodyStall, 10*time.Second)
	l.BodyRate = cmp.Or(l.BodyRate, 8<<10)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, time.Minute)
	l.PressureStall = cmp.Or(l.PressureStall, time.Second)
	l.PressureRate = cmp.Or(l.PressureRate, 64<<10)
	return l
}

// Validate fails if a limit is negative.
func (l Limits) Validate() error {
	values := map[string]int64{
		"memory": l.Bytes, "connections": int64(l.Connections), "size of a small request": l.SmallRequest, "header size": int64(l.HeaderBytes),
		"header timeout": int64(l.HeaderTimeout), "body stall": int64(l.BodyStall), "body rate": l.BodyRate, "body timeout": int64(l.BodyTimeout),
		"stall under pressure": int64(l.PressureStall), "rate under pressure": l.PressureRate,
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] < 0 {
			return fmt.Errorf("the %s must not be negative", name)
		}
	}
	return nil
}

// systemDescriptors returns the number of descriptors that the system allows the process.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// reserved returns the bytes that only small requests may use.
func (l Limits) reserved() int64 { return int64(reservedShare * float64(l.Bytes)) }

// maxOpen returns the number of connections that may be open while some of them are being closed to make room.
func (l Limits) maxOpen() int { return l.Connections + l.Connections/8 + 1 }

// bodyDeadline returns when a body has to have its next byte, or its end, at the latest.
func (l Limits) bodyDeadline(startedAt, lastByteAt time.Time, received int64) time.Time {
	stalled := lastByteAt.Add(l.BodyStall)
	tooSlow := startedAt.Add(l.BodyStall + time.Duration(float64(received)/float64(l.BodyRate)*float64(time.Second)))
	return earliest(earliest(stalled, tooSlow), startedAt.Add(l.BodyTimeout))
}

// earliest returns the earlier of two times; a zero time is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

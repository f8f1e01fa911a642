package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// streamBufferSize is small because a slot home keeps one stream open for each waiting request.
const streamBufferSize = 256 // bytes

// Stream exchanges messages with one entry. Send and Receive may be called concurrently.
type Stream struct {
	conn     *yamux.Stream
	reader   *bufio.Reader
	kind     StreamKind
	counters *kindCounters
	sendMu   sync.Mutex
	prefix   []byte // kind byte, sent with the first message; nil afterwards
}

func newStream(conn *yamux.Stream, kind StreamKind, counters *kindCounters, prefix []byte) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, streamBufferSize), kind: kind, counters: counters, prefix: prefix}
}

// Send writes one length-delimited message. It fails if the message exceeds the maximum size of the kind.
func (s *Stream) Send(message proto.Message) (err error) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	frame, err := encodeFrame(s.prefix, message)
	if err != nil {
		return err
	}
	if int64(len(frame)) > s.kind.maxMessage() {
		return fmt.Errorf("message of %d bytes is too large for a stream of kind %s", len(frame), s.kind)
	}
	if _, err = s.conn.Write(frame); err != nil {
		return err
	}
	s.prefix = nil
	s.counters.sent.Inc()
	s.counters.sentBytes.Add(len(frame))
	return nil
}

// Receive reads the next message. It returns io.EOF if the peer has closed the stream between messages.
func (s *Stream) Receive(message proto.Message) (err error) {
	if err = readDelimited(s.reader, message, s.kind.maxMessage()); err != nil {
		return err
	}
	s.counters.received.Inc()
	s.counters.receivedBytes.Add(proto.Size(message))
	return nil
}

// SetReceiveDeadline sets the deadline of the current and all later calls of Receive. The zero time removes it.
func (s *Stream) SetReceiveDeadline(deadline time.Time) (err error) {
	return s.conn.SetReadDeadline(deadline)
}

// Close closes the stream in both directions and unblocks a pending Receive.
func (s *Stream) Close() {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	_ = s.conn.Close()
}

func encodeFrame(prefix []byte, message proto.Message) ([]byte, error) {
	buffer := bytes.NewBuffer(append(make([]byte, 0, len(prefix)+proto.Size(message)+4), prefix...))
	if _, err := protodelim.MarshalTo(buffer, message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

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

// streamBuffer is small because a slot home keeps one stream per waiting request.
const streamBuffer = 256 // bytes

// Stream carries messages to and from one entry; sending and receiving may run at the same time.
type Stream struct {
	conn    *yamux.Stream
	reader  *bufio.Reader
	kind    Kind
	counts  *kindCounts
	sending sync.Mutex
	prefix  []byte // kind byte that goes out with the first message
}

func newStream(conn *yamux.Stream, kind Kind, counts *kindCounts, prefix []byte) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, streamBuffer), kind: kind, counts: counts, prefix: prefix}
}

// Send writes one message in one frame; it fails when the message is larger than its kind allows.
func (s *Stream) Send(message proto.Message) (err error) {
	s.sending.Lock()
	defer s.sending.Unlock()
	frame, err := encode(s.prefix, message)
	if err != nil {
		return err
	}
	if int64(len(frame)) > s.kind.maxMessage() {
		return fmt.Errorf("message of %d bytes on a stream of kind %s", len(frame), s.kind)
	}
	if _, err = s.conn.Write(frame); err != nil {
		return err
	}
	s.prefix = nil
	s.counts.sent.Inc()
	s.counts.sentBytes.Add(len(frame))
	return nil
}

// Receive reads the next message; it fails with io.EOF when the other side has closed the stream between messages.
func (s *Stream) Receive(message proto.Message) (err error) {
	if err = readDelimited(s.reader, message, s.kind.maxMessage()); err != nil {
		return err
	}
	s.counts.received.Inc()
	s.counts.receivedBytes.Add(proto.Size(message))
	return nil
}

// SetReceiveDeadline bounds the present and later calls of Receive; the zero time removes the bound.
func (s *Stream) SetReceiveDeadline(deadline time.Time) (err error) {
	return s.conn.SetReadDeadline(deadline)
}

// Close ends the stream in both directions and wakes a blocked Receive.
func (s *Stream) Close() {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	_ = s.conn.Close()
}

func encode(prefix []byte, message proto.Message) ([]byte, error) {
	buffer := bytes.NewBuffer(append(make([]byte, 0, len(prefix)+proto.Size(message)+4), prefix...))
	if _, err := protodelim.MarshalTo(buffer, message); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

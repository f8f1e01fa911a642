package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/peer/peerpb"
)

const nonceSize = 32 // bytes

// The labels differ by role so that a proof cannot be sent back to its maker.
const (
	diallerLabel  = "acaciatally dialler"
	listenerLabel = "acaciatally listener"
)

var (
	errProof      = errors.New("peer does not hold the key")
	errGreeting   = errors.New("invalid greeting")
	errDeployment = errors.New("peer belongs to another deployment")
)

// identity is what a proven greeting says about the other side.
type identity struct {
	entry       acaciatally.EntryID
	incarnation string
}

// byteReader reads single bytes without a buffer, so that nothing of the session that follows is consumed.
type byteReader struct{ io.Reader }

// ReadByte returns the next byte.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

func (n *Node) handshake(conn net.Conn, dialled bool) (who identity, err error) {
	if err = conn.SetDeadline(time.Now().Add(n.config.HandshakeTimeout)); err != nil {
		return who, err
	}
	own := &peerpb.Greeting{
		Deployment: n.config.Deployment, Entry: string(n.config.Entry), Incarnation: n.config.Incarnation, Nonce: make([]byte, nonceSize),
	}
	_, _ = rand.Read(own.Nonce)
	if dialled {
		who, err = n.greetAsDialler(conn, own)
	} else {
		who, err = n.greetAsListener(conn, own)
	}
	if err != nil {
		return who, err
	}
	return who, conn.SetDeadline(time.Time{})
}

func (n *Node) greetAsDialler(conn net.Conn, own *peerpb.Greeting) (who identity, err error) {
	if err = writeDelimited(conn, own); err != nil {
		return who, err
	}
	other, err := n.readGreeting(conn)
	if err != nil {
		return who, err
	}
	if err = writeDelimited(conn, &peerpb.Proof{Mac: n.proof(diallerLabel, own, other)}); err != nil {
		return who, err
	}
	return identify(other), n.readProof(conn, n.proof(listenerLabel, own, other))
}

func (n *Node) greetAsListener(conn net.Conn, own *peerpb.Greeting) (who identity, err error) {
	other, err := n.readGreeting(conn)
	if err != nil {
		return who, err
	}
	if err = writeDelimited(conn, own); err != nil {
		return who, err
	}
	if err = n.readProof(conn, n.proof(diallerLabel, other, own)); err != nil {
		return who, err
	}
	return identify(other), writeDelimited(conn, &peerpb.Proof{Mac: n.proof(listenerLabel, other, own)})
}

func identify(greeting *peerpb.Greeting) identity {
	return identity{entry: acaciatally.EntryID(greeting.Entry), incarnation: greeting.Incarnation}
}

func (n *Node) readGreeting(conn net.Conn) (greeting *peerpb.Greeting, err error) {
	greeting = &peerpb.Greeting{}
	if err = readDelimited(byteReader{conn}, greeting, maxGreeting); err != nil {
		return nil, err
	}
	if len(greeting.Nonce) != nonceSize || greeting.Entry == "" || greeting.Incarnation == "" {
		return nil, errGreeting
	}
	if greeting.Entry == string(n.config.Entry) {
		return nil, fmt.Errorf("%w: peer has the id of this entry", errGreeting)
	}
	if greeting.Deployment != n.config.Deployment {
		return nil, errDeployment
	}
	return greeting, nil
}

func (n *Node) readProof(conn net.Conn, want []byte) error {
	var proof peerpb.Proof
	if err := readDelimited(byteReader{conn}, &proof, maxGreeting); err != nil {
		return err
	}
	if !hmac.Equal(proof.Mac, want) {
		return errProof
	}
	return nil
}

// proof covers both greetings, each field with its length, so that neither side can move bytes between fields.
func (n *Node) proof(label string, dialler, listener *peerpb.Greeting) []byte {
	mac := hmac.New(sha256.New, n.config.Key)
	fields := []string{label, dialler.Deployment}
	for _, greeting := range []*peerpb.Greeting{dialler, listener} {
		fields = append(fields, greeting.Entry, greeting.Incarnation, string(greeting.Nonce))
	}
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = mac.Write(length[:])
		_, _ = mac.Write([]byte(field))
	}
	return mac.Sum(nil)
}

func writeDelimited(writer io.Writer, message proto.Message) error {
	frame, err := encode(nil, message)
	if err != nil {
		return err
	}
	_, err = writer.Write(frame)
	return err
}

func readDelimited(reader protodelim.Reader, message proto.Message, limit int64) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(reader, message)
}

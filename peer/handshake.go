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

// The labels differ by role to prevent reflection: a proof cannot be sent back to the side that computed it.
const (
	diallerLabel  = "acaciatally dialler"
	listenerLabel = "acaciatally listener"
)

var (
	errWrongKey        = errors.New("peer does not have the shared key")
	errInvalidGreeting = errors.New("invalid greeting")
	errWrongDeployment = errors.New("peer belongs to another deployment")
)

// remoteIdentity identifies the authenticated process at the other end of a connection.
type remoteIdentity struct {
	entry       acaciatally.EntryID
	incarnation string
}

// byteReader reads single bytes without buffering, so that no bytes after the current message are consumed.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

func (n *Node) handshake(conn net.Conn, dialled bool) (remote remoteIdentity, err error) {
	if err = conn.SetDeadline(time.Now().Add(n.config.HandshakeTimeout)); err != nil {
		return remote, err
	}
	local := &peerpb.Greeting{
		Deployment: n.config.Deployment, Entry: string(n.config.Entry), Incarnation: n.config.Incarnation, Nonce: make([]byte, nonceSize),
	}
	_, _ = rand.Read(local.Nonce)
	if dialled {
		remote, err = n.handshakeAsDialler(conn, local)
	} else {
		remote, err = n.handshakeAsListener(conn, local)
	}
	if err != nil {
		return remote, err
	}
	return remote, conn.SetDeadline(time.Time{})
}

func (n *Node) handshakeAsDialler(conn net.Conn, local *peerpb.Greeting) (remote remoteIdentity, err error) {
	if err = writeDelimited(conn, local); err != nil {
		return remote, err
	}
	other, err := n.readGreeting(conn)
	if err != nil {
		return remote, err
	}
	if err = writeDelimited(conn, &peerpb.Proof{Mac: n.proofMAC(diallerLabel, local, other)}); err != nil {
		return remote, err
	}
	return identityOf(other), n.verifyProof(conn, n.proofMAC(listenerLabel, local, other))
}

func (n *Node) handshakeAsListener(conn net.Conn, local *peerpb.Greeting) (remote remoteIdentity, err error) {
	other, err := n.readGreeting(conn)
	if err != nil {
		return remote, err
	}
	if err = writeDelimited(conn, local); err != nil {
		return remote, err
	}
	if err = n.verifyProof(conn, n.proofMAC(diallerLabel, other, local)); err != nil {
		return remote, err
	}
	return identityOf(other), writeDelimited(conn, &peerpb.Proof{Mac: n.proofMAC(listenerLabel, other, local)})
}

func identityOf(greeting *peerpb.Greeting) remoteIdentity {
	return remoteIdentity{entry: acaciatally.EntryID(greeting.Entry), incarnation: greeting.Incarnation}
}

func (n *Node) readGreeting(conn net.Conn) (greeting *peerpb.Greeting, err error) {
	greeting = &peerpb.Greeting{}
	if err = readDelimited(byteReader{conn}, greeting, maxGreeting); err != nil {
		return nil, err
	}
	if len(greeting.Nonce) != nonceSize || greeting.Entry == "" || greeting.Incarnation == "" {
		return nil, errInvalidGreeting
	}
	if greeting.Entry == string(n.config.Entry) {
		return nil, fmt.Errorf("%w: peer has the same ID as this entry", errInvalidGreeting)
	}
	if greeting.Deployment != n.config.Deployment {
		return nil, errWrongDeployment
	}
	return greeting, nil
}

func (n *Node) verifyProof(conn net.Conn, want []byte) error {
	var proof peerpb.Proof
	if err := readDelimited(byteReader{conn}, &proof, maxGreeting); err != nil {
		return err
	}
	if !hmac.Equal(proof.Mac, want) {
		return errWrongKey
	}
	return nil
}

// proofMAC returns the HMAC over both greetings. Each field is prefixed with its length, so that bytes cannot be shifted between fields.
func (n *Node) proofMAC(label string, dialler, listener *peerpb.Greeting) []byte {
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
	frame, err := encodeFrame(nil, message)
	if err != nil {
		return err
	}
	_, err = writer.Write(frame)
	return err
}

func readDelimited(reader protodelim.Reader, message proto.Message, limit int64) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(reader, message)
}

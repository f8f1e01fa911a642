package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	keyPrefix    = "Claim/"
	objectPrefix = "Answer/"
)

// State is the state of a claimed request.
type State string

// The states of a claim.
const (
	Claimed State = "Claimed" // the holder may have sent the request
	Done    State = "Done"    // the request ran and was answered
	NotRun  State = "NotRun"  // the request was not sent, or provably did not run; it may be claimed again
)

// Row is the value stored in the table row with key Claim/<request id>.
type Row struct {
	Holder   acaciatally.EntryID
	Nonce    string // identifies the holder's own commit if its response was lost
	BodyHash string // hash of the method, path and body
	State    State
	Deadline time.Time
	Answer   *RecordedAnswer `json:",omitempty"`
}

// RecordedAnswer is the part of an answer that is stored for the caller's retries.
type RecordedAnswer struct {
	Status  int
	Outcome acaciatally.Outcome `json:",omitempty"` // set if the status reports a failure
	Header  http.Header         `json:",omitempty"`
	Body    []byte              `json:",omitempty"`
	Object  bool                `json:",omitempty"` // the body is stored as the object Answer/<request id>
	Kept    bool                // false if only the status is stored
}

// Key returns the key of the claim row of a request.
func Key(id string) string { return keyPrefix + id }

// Hash returns the hex SHA-256 hash of the request's method, path and body.
func Hash(request acaciatally.Request) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %s\n", request.Method, request.Path)
	_, _ = hash.Write(request.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Decode parses and validates the value of a claim row.
func Decode(value []byte) (row Row, err error) {
	if err = json.Unmarshal(value, &row); err != nil {
		return Row{}, fmt.Errorf("decode claim row: %w", err)
	}
	switch row.State {
	case Claimed, NotRun:
	case Done:
		if row.Answer == nil || row.Answer.Status < 100 || row.Answer.Status > 999 {
			return Row{}, fmt.Errorf("decode claim row: state %s without a valid answer status", row.State)
		}
	default:
		return Row{}, fmt.Errorf("decode claim row: unknown state %q", row.State)
	}
	if row.Nonce == "" || row.BodyHash == "" {
		return Row{}, fmt.Errorf("decode claim row: missing nonce or body hash")
	}
	return row, nil
}

// Encode returns the JSON encoding of the row.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot fail: all fields of Row can be encoded as JSON
	}
	return value
}

func requestID(key string) string { return strings.TrimPrefix(key, keyPrefix) }

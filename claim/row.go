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

// State is how far a claimed request has come.
type State string

// The states of a claim.
const (
	Claimed State = "Claimed" // its holder may have sent the request
	Done    State = "Done"    // the request ran and its answer came
	NotRun  State = "NotRun"  // the request was never sent or provably not run; it may be claimed again
)

// Row is the value of the row Claim/<request id>.
type Row struct {
	Holder   acaciatally.EntryID
	Nonce    string // tells a holder's own commit from another's when the response was lost
	BodyHash string
	State    State
	Deadline time.Time
	Answer   *Recorded `json:",omitempty"`
}

// Recorded is what is kept of an answer for the caller's retries.
type Recorded struct {
	Status  int
	Outcome acaciatally.Outcome `json:",omitempty"` // set when the status tells of a failure
	Header  http.Header         `json:",omitempty"`
	Body    []byte              `json:",omitempty"`
	Object  bool                `json:",omitempty"` // the body is the object Answer/<request id>
	Kept    bool                // false when only the status is kept
}

// Key returns the key of a request's claim.
func Key(id string) string { return keyPrefix + id }

// Hash identifies what a request asks for: its method, path and body.
func Hash(request acaciatally.Request) string {
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%s %s\n", request.Method, request.Path)
	_, _ = hash.Write(request.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

// Decode reads the value of a claim's row.
func Decode(value []byte) (row Row, err error) {
	if err = json.Unmarshal(value, &row); err != nil {
		return Row{}, fmt.Errorf("claim row: %w", err)
	}
	switch row.State {
	case Claimed, NotRun:
	case Done:
		if row.Answer == nil || row.Answer.Status < 100 || row.Answer.Status > 999 {
			return Row{}, fmt.Errorf("claim row: state %s without a valid answer", row.State)
		}
	default:
		return Row{}, fmt.Errorf("claim row: unknown state %q", row.State)
	}
	if row.Nonce == "" || row.BodyHash == "" {
		return Row{}, fmt.Errorf("claim row: no nonce or body hash")
	}
	return row, nil
}

// Encode returns the value of the row.
func (r Row) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // a Row holds only types that JSON can express
	}
	return value
}

func idOf(key string) string { return strings.TrimPrefix(key, keyPrefix) }

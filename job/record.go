package job

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// The tables of the record store that hold jobs; each queue is a partition.
const (
	// AcceptedTable holds the accepted jobs that have not ended, and the requests to cancel them.
	AcceptedTable = "Job"
	// ProgressTable holds the progress of all jobs. The final state of an ended job is kept there until it expires.
	ProgressTable = "Progress"
	// WaitingTable holds one record for each accepted job of which no task has started.
	WaitingTable = "Waiting"
)

// MarkerValue is the value of records that carry no data; the store does not accept an empty value.
var MarkerValue = []byte("{}")

const cancelSuffix = "~Cancel"

// Accepted is a job as it was accepted, with the configuration of its queue at that time.
type Accepted struct {
	Spec     acaciatally.JobSpec
	Queue    acaciatally.Queue
	Account  acaciatally.AccountName `json:",omitempty"` // owner; empty for a job of a public queue, and without configured accounts
	Received time.Time
}

// AcceptedKey returns the key of the accepted job in AcceptedTable.
func AcceptedKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: AcceptedTable, Partition: string(queue), Key: string(id)}
}

// CancelKey returns the key in AcceptedTable of the request to cancel the job.
func CancelKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: AcceptedTable, Partition: string(queue), Key: string(id) + cancelSuffix}
}

// ProgressKey returns the key of the job's progress in ProgressTable.
func ProgressKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: ProgressTable, Partition: string(queue), Key: string(id)}
}

// WaitingKey returns the key in WaitingTable of the record that counts the job as waiting.
func WaitingKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: WaitingTable, Partition: string(queue), Key: string(id)}
}

// ParseCancelKey returns the ID of the job to which a record of AcceptedTable belongs. cancels is true if the record is a request to cancel
// the job, and false if it is the accepted job itself.
func ParseCancelKey(record acaciatally.Record) (id acaciatally.JobID, cancels bool) {
	name, cancels := strings.CutSuffix(record.Key, cancelSuffix)
	return acaciatally.JobID(name), cancels
}

// Digest returns a checksum of the specification, which tells a repeated submission from a different job with the same ID.
func Digest(spec acaciatally.JobSpec) uint64 {
	content, _ := json.Marshal(spec) // a JobSpec always encodes
	return xxhash.Sum64(content)
}

// Accessible reports whether calls of an account may access a job of the owner. A job without an owner is accessible to all accounts. So is a
// job with one to calls without an account, which are made only where the operators require no key.
func Accessible(owner, account acaciatally.AccountName) bool {
	return owner == "" || account == "" || owner == account
}

// EncodeAccepted returns the stored form of an accepted job.
func EncodeAccepted(accepted Accepted) (content []byte, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "encode accepted job") }()
	return json.Marshal(accepted)
}

// DecodeAccepted decodes the stored form of an accepted job.
func DecodeAccepted(content []byte) (accepted Accepted, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "decode accepted job") }()
	err = json.Unmarshal(content, &accepted)
	return accepted, err
}

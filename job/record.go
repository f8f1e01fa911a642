package job

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
)

// The tables of jobs; each queue is a partition.
const (
	// Table holds the accepted jobs that have not ended, and the requests to cancel them.
	Table = "Job"
	// ProgressTable holds the progress of all jobs, and for a while the final state of ended ones.
	ProgressTable = "Progress"
	// WaitingTable holds one record for each accepted job of which nothing has started.
	WaitingTable = "Waiting"
)

// Mark is the value of records that only have to exist; the store takes no empty ones.
var Mark = []byte("{}")

const cancelSuffix = "~Cancel"

// Accepted is a job as it was accepted, with the configuration that applied then.
type Accepted struct {
	Spec     acaciatally.JobSpec
	Queue    acaciatally.Queue
	Received time.Time
}

// Key returns the key of the accepted job.
func Key(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: Table, Partition: string(queue), Key: string(id)}
}

// CancelKey returns the key of the request to cancel the job.
func CancelKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: Table, Partition: string(queue), Key: string(id) + cancelSuffix}
}

// ProgressKey returns the key of the job's progress.
func ProgressKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: ProgressTable, Partition: string(queue), Key: string(id)}
}

// WaitingKey returns the key of the record that counts the job as waiting.
func WaitingKey(queue acaciatally.QueueName, id acaciatally.JobID) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: WaitingTable, Partition: string(queue), Key: string(id)}
}

// Cancels reports whether the record in Table requests a cancellation, and of which job.
func Cancels(record acaciatally.Record) (id acaciatally.JobID, cancels bool) {
	name, cancels := strings.CutSuffix(record.Key, cancelSuffix)
	return acaciatally.JobID(name), cancels
}

// Digest returns a checksum that tells a repeated submission from another one.
func Digest(spec acaciatally.JobSpec) uint64 {
	content, _ := json.Marshal(spec) // plain data always encodes
	return xxhash.Sum64(content)
}

// Encode returns the stored form of a value of this package.
func Encode(value any) (content []byte, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "encode record") }()
	return json.Marshal(value)
}

// DecodeAccepted decodes an accepted job.
func DecodeAccepted(content []byte) (accepted Accepted, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "decode accepted job") }()
	err = json.Unmarshal(content, &accepted)
	return accepted, err
}

// DecodeProgress decodes a job's progress.
func DecodeProgress(content []byte) (progress Progress, err error) {
	defer func() { err = oops.In("job").Wrapf(err, "decode progress") }()
	err = json.Unmarshal(content, &progress)
	return progress, err
}

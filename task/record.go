package task

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Phase is the state of a task.
type Phase string

// The phases of a task; the last five are final.
const (
	Waiting    Phase = "Waiting"
	Placed     Phase = "Placed"     // an attempt was ordered on Worker
	Vacating   Phase = "Vacating"   // the attempt has to leave Worker, with a checkpoint if it can write one
	Done       Phase = "Done"       // ran to completion
	Failed     Phase = "Failed"     // ran and failed, and may not run again
	Impossible Phase = "Impossible" // can never run; Reason says why
	Cancelled  Phase = "Cancelled"  // cancelled by its team
	Unknown    Phase = "Unknown"    // may have run; is never run again automatically
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool {
	return p != Waiting && !p.Live()
}

// Live reports whether an attempt may be running.
func (p Phase) Live() bool {
	return p == Placed || p == Vacating
}

// Spec is a task as its caller submits it.
type Spec struct {
	ID          string
	Team        acaciatally.TeamName
	Pool        acaciatally.PoolName
	Kind        string // tasks of one team and kind use similar fractions of their declared resources
	Urgency     acaciatally.Urgency
	Idempotent  bool                  // may run more than once
	Checkpoints bool                  // can write a checkpoint and resume from it
	Declared    acaciatally.Resources // the caller's estimate; may be far off
	Command     []byte
}

// Failure is an attempt that ran and failed.
type Failure struct {
	Worker acaciatally.InstanceID
	At     time.Time
}

// Decision is a scheduling decision about a task, with its reason.
type Decision struct {
	At     time.Time
	Phase  Phase
	Worker acaciatally.InstanceID `json:",omitempty"`
	Reason string
}

// maxDecisions limits the decisions kept in a row.
const maxDecisions = 8

// maxRecordBytes limits the size of a row's value; a command of MaxCommand bytes grows by a third in JSON.
const maxRecordBytes = 128 << 10

// Record is the durable state of a task, the value of its row.
type Record struct {
	Spec       Spec
	Phase      Phase
	Accepted   time.Time
	Worker     acaciatally.InstanceID `json:",omitempty"`
	Attempt    int                    // number of the last attempt that was ordered
	StartBy    time.Time              // end of the lease with which the attempt is started
	Granted    acaciatally.Resources  // resources that the attempt was placed with
	NeedMemory int64                  `json:",omitempty"` // bytes; raised when an attempt ran out of memory
	Checkpoint string                 `json:",omitempty"` // object from which the next attempt resumes
	Failures   []Failure              `json:",omitempty"`
	Peak       acaciatally.Resources  // highest usage reported
	Epoch      uint64                 // lease epoch of the last controller that wrote the row
	Ended      time.Time
	Reason     string
	Decisions  []Decision
}

// Encode returns the record as the value of a row.
func (r Record) Encode() []byte {
	content, _ := json.Marshal(r)
	return content
}

// Decode reads a record from the value of a row.
func Decode(value []byte) (record Record, err error) {
	if len(value) > maxRecordBytes {
		return record, fmt.Errorf("task row has %d bytes, limit is %d", len(value), maxRecordBytes)
	}
	if err = json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("decode task row: %w", err)
	}
	return record, nil
}

// withDecision returns the record in the given phase with the decision added; the receiver's slices are not changed.
func (r Record) withDecision(now time.Time, phase Phase, reason string) Record {
	r.Phase, r.Reason = phase, reason
	if phase.Ended() {
		r.Ended = now
	}
	r.Decisions = slices.Clone(r.Decisions[max(0, len(r.Decisions)-maxDecisions+1):])
	r.Decisions = append(r.Decisions, Decision{At: now, Phase: phase, Worker: r.Worker, Reason: reason})
	return r
}

// requeued returns the record of a task that waits for another attempt.
func (r Record) requeued(now time.Time, reason string) Record {
	next := r.withDecision(now, Waiting, reason)
	next.Worker = ""
	return next
}

const (
	inboxPrefix = "TaskNew/"  // rows without a value, by which a pool's controller finds new tasks
	indexPrefix = "TaskPool/" // rows that hold the pool of each task ID
)

// RowPrefix is the prefix of the keys of all task rows.
const RowPrefix = "Task/"

// RowKey returns the key of a task's row.
func RowKey(pool acaciatally.PoolName, id string) string {
	return RowPrefix + string(pool) + "/" + id
}

func inboxKey(pool acaciatally.PoolName, id string) string {
	return inboxPrefix + string(pool) + "/" + id
}

func indexKey(id string) string {
	return indexPrefix + id
}

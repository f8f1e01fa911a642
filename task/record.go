package task

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Phase is where a task stands.
type Phase string

// The phases of a task; the last five are final.
const (
	Waiting    Phase = "Waiting"
	Placed     Phase = "Placed"     // an attempt was ordered on Worker
	Vacating   Phase = "Vacating"   // the attempt is to leave Worker, with a checkpoint where it can
	Done       Phase = "Done"       // ran to its end
	Failed     Phase = "Failed"     // ran and failed, and may not run again
	Impossible Phase = "Impossible" // can never run; Reason says why
	Cancelled  Phase = "Cancelled"  // ended by its team
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

// Spec is what a caller asks for.
type Spec struct {
	ID          string
	Team        acaciatally.TeamName
	Pool        acaciatally.PoolName
	Kind        string // tasks of one team and kind use similar shares of what they declare
	Urgency     acaciatally.Urgency
	Idempotent  bool                  // may run more than once
	Checkpoints bool                  // can write a checkpoint and resume from it
	Declared    acaciatally.Resources // may be far off
	Command     []byte
}

// Failure is an attempt that ran and failed.
type Failure struct {
	Worker acaciatally.InstanceID
	At     time.Time
}

// Decision is one step of the control of a task and its reason.
type Decision struct {
	At     time.Time
	Phase  Phase
	Worker acaciatally.InstanceID `json:",omitempty"`
	Reason string
}

// maxDecisions bounds the decisions kept in a row.
const maxDecisions = 8

// maxRecord bounds the bytes of a row; a command of MaxCommand grows by a third in JSON.
const maxRecord = 128 << 10

// Record is the durable state of a task, the value of its row.
type Record struct {
	Spec       Spec
	Phase      Phase
	Accepted   time.Time
	Worker     acaciatally.InstanceID `json:",omitempty"`
	Attempt    int                    // number of the last attempt that was ordered
	StartBy    time.Time              // end of the lease with which the attempt is started
	Granted    acaciatally.Resources  // what the attempt was placed with
	NeedMemory int64                  `json:",omitempty"` // bytes; raised when an attempt ran out of memory
	Checkpoint string                 `json:",omitempty"` // object from which the next attempt resumes
	Failures   []Failure              `json:",omitempty"`
	Peak       acaciatally.Resources  // largest use reported
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
	if len(value) > maxRecord {
		return record, fmt.Errorf("task row of %d bytes, at most %d are accepted", len(value), maxRecord)
	}
	if err = json.Unmarshal(value, &record); err != nil {
		return record, fmt.Errorf("task row: %w", err)
	}
	return record, nil
}

// decided returns the record in the phase, with the decision kept; the receiver's slices are not changed.
func (r Record) decided(now time.Time, phase Phase, reason string) Record {
	r.Phase, r.Reason = phase, reason
	if phase.Ended() {
		r.Ended = now
	}
	r.Decisions = slices.Clone(r.Decisions[max(0, len(r.Decisions)-maxDecisions+1):])
	r.Decisions = append(r.Decisions, Decision{At: now, Phase: phase, Worker: r.Worker, Reason: reason})
	return r
}

// freed returns the record waiting for another attempt.
func (r Record) freed(now time.Time, reason string) Record {
	next := r.decided(now, Waiting, reason)
	next.Worker = ""
	return next
}

const (
	inboxPrefix = "TaskNew/"
	indexPrefix = "TaskPool/"
)

// RowPrefix starts the key of every task's row.
const RowPrefix = "Task/"

// RowKey is the key of a task's row.
func RowKey(pool acaciatally.PoolName, id string) string {
	return RowPrefix + string(pool) + "/" + id
}

func inboxKey(pool acaciatally.PoolName, id string) string {
	return inboxPrefix + string(pool) + "/" + id
}

func indexKey(id string) string {
	return indexPrefix + id
}

package intake

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Journal takes a line for each decision on a caller's request.
type Journal interface {
	// Submitted notes what became of a submission and how long it took.
	Submitted(queue acaciatally.Queue, id acaciatally.JobID, took time.Duration, err error)
	// Read notes a state that was told.
	Read(queue acaciatally.Queue, id acaciatally.JobID, state acaciatally.JobState, err error)
	// Cancelled notes what became of a cancellation.
	Cancelled(queue acaciatally.Queue, id acaciatally.JobID, err error)
}

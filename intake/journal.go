package intake

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Journal logs the results of callers' requests.
type Journal interface {
	// Submitted logs the result of a submission and how long it took.
	Submitted(queue acaciatally.Queue, id acaciatally.JobID, took time.Duration, err error)
	// Read logs a state that was returned to a caller, or the error.
	Read(queue acaciatally.Queue, id acaciatally.JobID, state acaciatally.JobState, err error)
	// Cancelled logs the result of a cancellation.
	Cancelled(queue acaciatally.Queue, id acaciatally.JobID, err error)
}

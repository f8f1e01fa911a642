package intake

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// EventLog logs the results of callers' requests.
type EventLog interface {
	// JobSubmitted logs the result of a submission and how long it took.
	JobSubmitted(queue acaciatally.Queue, id acaciatally.JobID, took time.Duration, err error)
	// JobRefused counts a refusal because of load and its reason; the account is empty for jobs without one.
	JobRefused(account acaciatally.AccountName, reason string)
	// SubmissionResolved logs the outcome of a submission whose caller no longer waits for it.
	SubmissionResolved(queue acaciatally.QueueName, id acaciatally.JobID, err error)
	// StateRead logs a state that was returned to a caller, or the error.
	StateRead(queue acaciatally.Queue, id acaciatally.JobID, state acaciatally.JobState, err error)
	// JobCancelled logs the result of a cancellation.
	JobCancelled(queue acaciatally.Queue, id acaciatally.JobID, err error)
	// KeyRefused logs that a call of the queue was refused because of its key.
	KeyRefused(queue acaciatally.QueueName, reason KeyRefusal)
	// OwnerMismatch logs that a call was refused because the job belongs to another account than the call.
	OwnerMismatch(queue acaciatally.QueueName, id acaciatally.JobID, account acaciatally.AccountName)
}

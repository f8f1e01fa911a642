package acaciatally

import (
	"context"
	"errors"
	"time"
)

// ErrQueueNotFound reports that no queue is configured for a host and path.
var ErrQueueNotFound = errors.New("no such queue")

// ErrUnknownKey reports that a call carries no key of a client account, though its queue requires one.
var ErrUnknownKey = errors.New("no such key")

// ErrJobNotFound reports that the job does not exist.
var ErrJobNotFound = errors.New("no such job")

// ErrJobIDInUse reports that a different job was accepted under the same id.
var ErrJobIDInUse = errors.New("another job has this id")

// ErrJobWithdrawn reports that the job was cancelled before it was accepted, so that it never runs.
var ErrJobWithdrawn = errors.New("the job was cancelled before it was accepted")

// ErrJobTooLarge reports that a job was refused because it can't be recorded.
var ErrJobTooLarge = errors.New("the job is too large")

// NotAcceptedError reports that a call was refused: it changed nothing and will have no later effect.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration // time after which a retry may succeed; 0 if unknown
	Overload   bool          // refused because of load, not because of a fault
}

// Error returns the message with the reason.
func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Reason }

// JobService accepts, reports on and cancels jobs for callers. Besides the errors named, its calls fail with *NotAcceptedError or
// ErrUnknownOutcome.
type JobService interface {
	// Queue returns the queue configured for a host and path, and the rest of the path after the queue's prefix; it fails with
	// ErrQueueNotFound.
	Queue(host, path string) (queue Queue, rest string, err error)
	// Authenticate returns the account of the key with which a call of the queue is made; it is empty for public queues and without configured
	// accounts. It fails with ErrUnknownKey, or with ErrQueueNotFound if the queue has been removed since it was returned.
	Authenticate(queue Queue, key string) (account AccountName, err error)
	// Submit records a job; submitting the same job again changes nothing. It fails with ErrJobIDInUse, also if the ID is one of another account,
	// ErrJobTooLarge or ErrJobWithdrawn.
	Submit(ctx context.Context, queue Queue, account AccountName, id JobID, spec JobSpec) (err error)
	// State returns a job's state; it fails with ErrJobNotFound, also for a job of another account.
	State(ctx context.Context, queue Queue, account AccountName, id JobID) (state JobState, err error)
	// Cancel records a request to end a job. It fails with ErrJobNotFound, also for a job of another account, and then a submission of the job by
	// the same account that is still in progress fails.
	Cancel(ctx context.Context, queue Queue, account AccountName, id JobID) (err error)
	// Waiting returns the number of accepted jobs of which no task has started.
	Waiting(ctx context.Context, queue Queue) (count int, err error)
	// Limits returns the configured limits on callers' requests.
	Limits() RequestLimits
}

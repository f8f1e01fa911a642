package acaciatally

import (
	"context"
	"errors"
	"time"
)

// ErrNoQueue reports that no queue is configured at a path.
var ErrNoQueue = errors.New("no such queue")

// ErrNoJob reports that no such job exists.
var ErrNoJob = errors.New("no such job")

// ErrOtherJob reports that another job was accepted under the same id.
var ErrOtherJob = errors.New("another job has this id")

// NotAcceptedError reports that a call changed nothing and never will.
type NotAcceptedError struct {
	Reason     string
	RetryAfter time.Duration // when the caller may find room; 0 says nothing
	Overload   bool          // the system is in order, but has too much to do
}

// Error returns the message with the reason.
func (e *NotAcceptedError) Error() string { return "not accepted: " + e.Reason }

// JobDesk serves callers; besides the errors named, its calls fail with *NotAcceptedError or ErrNoAnswer.
type JobDesk interface {
	// Queue returns the queue of a host and path and the rest of the path; it fails with ErrNoQueue.
	Queue(host, path string) (queue Queue, rest string, err error)
	// Submit records a job; it fails with ErrOtherJob.
	Submit(ctx context.Context, queue Queue, id JobID, spec JobSpec) (err error)
	// State returns a job's state; it fails with ErrNoJob.
	State(ctx context.Context, queue Queue, id JobID) (state JobState, err error)
	// Cancel records that a job is to end; it fails with ErrNoJob.
	Cancel(ctx context.Context, queue Queue, id JobID) (err error)
	// Waiting returns the number of accepted jobs of which nothing has started.
	Waiting(ctx context.Context, queue Queue) (count int, err error)
	// Limits returns the configured bounds of callers' requests.
	Limits() FrontLimits
}

package acaciatally

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// ErrRejected reports that a worker refused an attempt.
var ErrRejected = errors.New("rejected by worker")

// ErrLeaseExpired reports that a lease has expired or has another holder.
var ErrLeaseExpired = errors.New("lease expired")

// Urgency is the scheduling class of a request or task; a lower value is more urgent.
type Urgency int

// The urgency classes, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Background
)

// UrgencyClasses is the number of urgency classes.
const UrgencyClasses = 3

var urgencyNames = [UrgencyClasses]string{"Urgent", "Normal", "Background"}

// String returns the name of the class.
func (u Urgency) String() string {
	if u < 0 || int(u) >= UrgencyClasses {
		return fmt.Sprintf("Urgency(%d)", int(u))
	}
	return urgencyNames[u]
}

// ParseUrgency returns the class with the name.
func ParseUrgency(name string) (urgency Urgency, err error) {
	for i, known := range urgencyNames {
		if known == name {
			return Urgency(i), nil
		}
	}
	return Normal, fmt.Errorf("unknown urgency %q, want Urgent, Normal or Background", name)
}

// Outcome tells a caller whether a request without a complete answer was run.
type Outcome string

// The outcomes of a request without a complete answer.
const (
	NotRun  Outcome = "NotRun"  // no endpoint ran the request
	Failed  Outcome = "Failed"  // an endpoint ran the request and reported a failure
	Unknown Outcome = "Unknown" // the request may have run
)

// Refusal is the error that ends the traffic pipeline early; the caller gets it as the response.
type Refusal struct {
	Outcome    Outcome
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// Error returns the outcome and the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

// Request is a caller's request after identification and classification.
type Request struct {
	ID               string
	Team             TeamName
	Pool             PoolName
	Urgency          Urgency
	Deadline         time.Time
	Idempotent       bool
	Method           string
	Path             string
	Header           http.Header
	Body             []byte
	Retry            bool         // repeated attempt after a failed one; counts against the retry budget of the pool
	AttemptedWorkers []InstanceID // workers that earlier attempts were sent to, to be avoided by the next
}

// Grant is the right to use one slot of a worker until Release is called.
type Grant struct {
	Worker  InstanceID
	Address netip.AddrPort
	// Release returns the slot and reports the result of the attempt; later calls do nothing.
	Release func(result AttemptResult)
}

// AttemptResult is the result of an attempt on a worker, reported to the slot home (the entry that grants the pool's slots).
type AttemptResult struct {
	Outcome       Outcome // empty if the answer is complete
	Status        int     // HTTP status, 0 if none was received
	Refused       bool    // the endpoint refused the request in a way that proves it did not run
	EndedByCaller bool    // the caller's deadline or disconnect ended the attempt, not the worker
	ServiceTime   time.Duration
}

// Answer is an endpoint's answer: either complete in Body or, above the buffer limit, with its remainder to be read from Remainder.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	Remainder io.ReadCloser // nil if Body is complete; a read error means that the answer was truncated
	Outcome   Outcome       // Failed or Unknown if the endpoint's status indicates it, else empty
}

// Exchange holds the state of one request in the traffic pipeline.
type Exchange struct {
	Request  Request
	HTTP     *http.Request
	Writer   http.ResponseWriter
	Received time.Time
	Grant    *Grant
	Attempts int
	Answer   *Answer
	Refusal  *Refusal
	finish   []func(*Exchange)
}

// OnFinish registers a function to run after the pipeline has ended; the functions run in reverse order of registration.
func (e *Exchange) OnFinish(f func(*Exchange)) {
	e.finish = append(e.finish, f)
}

// Finish runs the registered functions; later calls do nothing.
func (e *Exchange) Finish() {
	for i := len(e.finish) - 1; i >= 0; i-- {
		e.finish[i](e)
	}
	e.finish = nil
}

// Filter is one step of the traffic pipeline.
type Filter interface {
	// String returns a short verb phrase for logs and metrics.
	String() string
	// Run processes the exchange; a *Refusal as error ends the pipeline and becomes the response, with an outcome that must be true.
	Run(ctx context.Context, exchange *Exchange) (err error)
}

// SlotSource grants slots on the workers of a pool.
type SlotSource interface {
	// Acquire waits for a slot until ctx is done; it fails with *Refusal if the request is refused.
	Acquire(ctx context.Context, request Request) (grant *Grant, err error)
}

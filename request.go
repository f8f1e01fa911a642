package acaciatally

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// ErrRejected reports that a worker refused an attempt.
var ErrRejected = errors.New("rejected by worker")

// ErrLeaseExpired reports that a lease has lapsed or is held by another holder.
var ErrLeaseExpired = errors.New("lease expired")

// Urgency is the class of a request or task; a lower value is more urgent.
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

// String returns the class's name.
func (u Urgency) String() string {
	if u < 0 || int(u) >= UrgencyClasses {
		return fmt.Sprintf("Urgency(%d)", int(u))
	}
	return urgencyNames[u]
}

// ParseUrgency returns the class of that name.
func ParseUrgency(name string) (urgency Urgency, err error) {
	for i, known := range urgencyNames {
		if known == name {
			return Urgency(i), nil
		}
	}
	return Normal, fmt.Errorf("unknown urgency %q, want Urgent, Normal or Background", name)
}

// Outcome tells a caller what became of a request that has no whole answer.
type Outcome string

// The three outcomes of a request without an answer.
const (
	NotRun  Outcome = "NotRun"
	Failed  Outcome = "Failed"
	Unknown Outcome = "Unknown"
)

// Refusal is the typed error that ends the traffic pipeline early.
type Refusal struct {
	Outcome    Outcome
	Status     int
	Reason     string
	RetryAfter time.Duration
}

// Error returns the refusal's outcome and reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
}

// Request is a caller's request after it has been identified and classified.
type Request struct {
	ID         string
	Team       TeamName
	Pool       PoolName
	Urgency    Urgency
	Deadline   time.Time
	Idempotent bool
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Retry      bool         // another attempt after one that failed; counts against the retry budget of the pool
	Tried      []InstanceID // workers that earlier attempts were sent to
}

// Grant is the right to use one slot of a worker until Release is called.
type Grant struct {
	Worker  InstanceID
	Address netip.AddrPort
	// Release returns the slot with the attempt's result; later calls do nothing.
	Release func(result AttemptResult)
}

// AttemptResult tells the slot home how an attempt on a worker went.
type AttemptResult struct {
	Outcome     Outcome // empty when a whole answer came
	Status      int     // HTTP status, 0 when none came
	Refused     bool    // the endpoint proved that it did not run the request
	CutOff      bool    // the caller's deadline or its disconnect ended the attempt, not the worker
	ServiceTime time.Duration
}

// Answer is an endpoint's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Exchange is one request on its way through the traffic pipeline.
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

// OnFinish registers a function to run after the pipeline has ended, last registered first.
func (e *Exchange) OnFinish(f func(*Exchange)) {
	e.finish = append(e.finish, f)
}

// Finish runs the registered functions once.
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
	// Run works on the exchange; a *Refusal as error ends the pipeline with a truthful answer.
	Run(ctx context.Context, exchange *Exchange) (err error)
}

// SlotSource grants slots of a pool's workers.
type SlotSource interface {
	// Acquire waits for a slot until ctx ends; it fails with *Refusal when the request is turned away.
	Acquire(ctx context.Context, request Request) (grant *Grant, err error)
}

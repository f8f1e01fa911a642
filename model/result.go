package model

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Result is what a run measured.
type Result struct {
	Whole           Window
	Windows         []Window
	Teams           []TeamTally
	Workers         []WorkerTally
	Attempts        int // requests sent to endpoints
	RefusedAttempts int // of those, refused by the endpoint because its slots were in use
	Hops            int // messages between entries and to endpoints
	Lost            int // requests that ended in no counted way; always 0 unless the model is wrong
}

// Window counts the requests that arrived in a time.
type Window struct {
	From  time.Duration
	To    time.Duration
	Other [acaciatally.UrgencyClasses]Tally // requests of ordinary sources
	Flood [acaciatally.UrgencyClasses]Tally // requests of sources marked as flood
}

// Tally counts what became of requests.
type Tally struct {
	Offered  int
	Answered int // whole answers before the deadline
	Late     int // started, but cut off at the deadline
	Refused  int // refused as not run before they were queued
	Expired  int // refused as not run at their deadline
	Failed   int // answered with an error
	Waits    []time.Duration
	// Retries sums RetryAfter of the refusals.
	Retries time.Duration
}

// TeamTally counts what one team received.
type TeamTally struct {
	Team     acaciatally.TeamName
	Offered  int
	Answered int
	SlotTime time.Duration
}

// WorkerTally counts what one worker received.
type WorkerTally struct {
	Pool     acaciatally.PoolName
	Worker   acaciatally.InstanceID
	Attempts int
	Failed   int
}

// Goodput is the number of whole answers before the deadline, over all classes.
func Goodput(classes [acaciatally.UrgencyClasses]Tally) int {
	sum := 0
	for _, tally := range classes {
		sum += tally.Answered
	}
	return sum
}

// Offered is the number of requests that callers sent, over all classes.
func Offered(classes [acaciatally.UrgencyClasses]Tally) int {
	sum := 0
	for _, tally := range classes {
		sum += tally.Offered
	}
	return sum
}

// Wait returns the quantile of the waits from the arrival at an entry to the start at a worker; 0 without requests.
func (t Tally) Wait(quantile float64) time.Duration {
	if len(t.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Waits))
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// AllWaits joins the tallies of the classes into one that has just the waits.
func AllWaits(classes [acaciatally.UrgencyClasses]Tally) (joined Tally) {
	for _, tally := range classes {
		joined.Waits = append(joined.Waits, tally.Waits...)
	}
	return joined
}

// Jain returns the fairness index of the values: 1 when all are equal, 1/n when one has everything.
func Jain(values []float64) float64 {
	var sum, squares float64
	for _, value := range values {
		sum += value
		squares += value * value
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

package model

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Result holds the measurements of a run.
type Result struct {
	Whole           Window   // all requests
	Windows         []Window // the windows of the configuration, with their tallies
	Teams           []TeamTally
	Workers         []WorkerTally
	Attempts        int // requests sent to endpoints
	RefusedAttempts int // attempts refused by the endpoint because all its slots were in use
	Hops            int // messages between entries, and between entries and endpoints
	Unfinished      int // requests without a counted outcome; anything but 0 is a fault of the model
}

// Window counts the requests that arrived from From until before To, by urgency.
type Window struct {
	From     time.Duration
	To       time.Duration
	Ordinary [acaciatally.UrgencyClasses]Tally // requests of ordinary sources
	Flood    [acaciatally.UrgencyClasses]Tally // requests of sources marked as flood
}

// Tally counts the outcomes of requests.
type Tally struct {
	Offered  int             // all requests
	Answered int             // complete responses before the deadline
	Late     int             // started, but not complete at the deadline
	Refused  int             // not run, refused by the queue
	Expired  int             // not run before their deadline
	Failed   int             // responses with an error
	Waits    []time.Duration // from arrival at an entry to the first start at a worker; only requests that started
}

// TeamTally counts the requests of one team.
type TeamTally struct {
	Team     acaciatally.TeamName
	Offered  int
	Answered int
	SlotTime time.Duration // total time for which its requests occupied slots
}

// WorkerTally counts the attempts that one worker ran.
type WorkerTally struct {
	Pool     acaciatally.PoolName
	Worker   acaciatally.InstanceID
	Attempts int
	Failed   int // attempts that ended with an error or were cut off at the deadline
}

// Goodput returns the number of complete responses before the deadline, over all classes.
func Goodput(classes [acaciatally.UrgencyClasses]Tally) int {
	sum := 0
	for _, tally := range classes {
		sum += tally.Answered
	}
	return sum
}

// Offered returns the number of requests that callers sent, over all classes.
func Offered(classes [acaciatally.UrgencyClasses]Tally) int {
	sum := 0
	for _, tally := range classes {
		sum += tally.Offered
	}
	return sum
}

// Wait returns a quantile, between 0 and 1, of the waits; it is 0 if there are none.
func (t Tally) Wait(quantile float64) time.Duration {
	if len(t.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Waits))
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}

// AllWaits returns a tally that holds only the waits of all classes.
func AllWaits(classes [acaciatally.UrgencyClasses]Tally) (joined Tally) {
	for _, tally := range classes {
		joined.Waits = append(joined.Waits, tally.Waits...)
	}
	return joined
}

// Jain returns Jain's fairness index of the values: 1 if all are equal, 1/n if all but one are 0.
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

package queue

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Queue schedules one pool; it is not safe for concurrent use.
type Queue struct {
	config Config
}

// New returns an empty queue.
func New(config Config) *Queue { return &Queue{config: config} }

// Push queues an item; it fails with *acaciatally.Refusal when a bound or the expected wait forbids it.
func (q *Queue) Push(now time.Time, item Item) (err error) { return nil }

// Next grants a slot to the next item, unless the items in service hold all of the pool's usable slots already.
func (q *Queue) Next(now time.Time, slots int) (item Item, found bool) { return Item{}, false }

// Done returns the slot of a granted item; a service time of zero is not learned from.
func (q *Queue) Done(now time.Time, item Item, serviceTime time.Duration) {}

// Hold records a slot that the item holds already, as reported after a change of slot home.
func (q *Queue) Hold(now time.Time, item Item) {}

// Cancel removes a queued item and reports whether it was queued.
func (q *Queue) Cancel(id string) (found bool) { return false }

// Expire removes and returns the queued items that can no longer be answered before their deadline.
func (q *Queue) Expire(now time.Time) (expired []Item) { return nil }

// ExpectedWait returns the time that the item would wait if it were queued now.
func (q *Queue) ExpectedWait(now time.Time, item Item) time.Duration { return 0 }

// SetQuota sets the number of slots that a team may hold before it waits behind others; 0 removes the quota.
func (q *Queue) SetQuota(team acaciatally.TeamName, slots int) {}

// Stats returns the present counts.
func (q *Queue) Stats() Stats { return Stats{} }

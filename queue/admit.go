package queue

import (
	"fmt"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
)

// checkAdmission returns the refusal of an item that must not be queued, or nil.
func (q *Queue) checkAdmission(now time.Time, ticket *ticket) *acaciatally.Refusal {
	item := ticket.item
	if q.contains(item.ID) {
		return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusConflict, Reason: "a request with this id is in progress"}
	}
	wait := q.ExpectedWait(now, item)
	if full := q.exceededBound(item, ticket.flow); full != "" {
		return admission.RefuseOverload(fmt.Sprintf("the queue of the %s is full", full), wait)
	}
	if wait > 0 {
		wait += ticket.minRemainingTime()
	}
	return admission.RefuseLate(now, item.Deadline, wait)
}

func (q *Queue) contains(id string) bool {
	_, queued := q.tickets[id]
	_, granted := q.grants[id]
	return queued || granted
}

// exceededBound names the level whose bound the item would exceed (pool, class or team), or returns the empty string.
func (q *Queue) exceededBound(item Item, flow *flow) string {
	pool := Bounds{Length: q.config.MaxLength, Bytes: q.config.MaxBytes}
	if !pool.fits(len(q.tickets), q.bytes, item) {
		return "pool"
	}
	class := q.config.Class.withDefaults(q.classBounds(flow.class))
	if !class.fits(flow.class.length, flow.class.bytes, item) {
		return "class"
	}
	team := q.config.Team.withDefaults(class.remaining(flow.class.length, flow.class.bytes))
	if !team.fits(flow.tickets.Len(), flow.bytes, item) {
		return "team"
	}
	return ""
}

// classBounds returns the bounds of a class: its own quarter of the pool's bounds, plus the part of the shared quarter that the
// other classes do not use.
func (q *Queue) classBounds(class *class) (bounds Bounds) {
	const parts = acaciatally.UrgencyClasses + 1
	own := Bounds{Length: q.config.MaxLength / parts, Bytes: q.config.MaxBytes / parts}
	bounds = Bounds{
		Length: q.config.MaxLength - (parts-2)*own.Length,
		Bytes:  q.config.MaxBytes - (parts-2)*own.Bytes,
	}
	for urgency := range q.classes {
		other := &q.classes[urgency]
		if other != class {
			bounds.Length -= max(0, other.length-own.Length)
			bounds.Bytes -= max(0, other.bytes-own.Bytes)
		}
	}
	return bounds
}

// remaining returns the bounds reduced by the given amounts. Used as the bound of a team, it leaves room for other teams when one team
// overloads the class, and lets a team that is alone in its class use half of the class's bounds.
func (b Bounds) remaining(length int, bytes int64) Bounds {
	return Bounds{Length: b.Length - length, Bytes: b.Bytes - bytes}
}

// withDefaults returns the bounds with zero values replaced by the defaults.
func (b Bounds) withDefaults(defaults Bounds) Bounds {
	if b.Length == 0 {
		b.Length = defaults.Length
	}
	if b.Bytes == 0 {
		b.Bytes = defaults.Bytes
	}
	return b
}

// fits reports whether one more item, added to the given amounts, stays within the bounds.
func (b Bounds) fits(length int, bytes int64, item Item) bool {
	return length < b.Length && bytes+item.Bytes <= b.Bytes
}

// ExpectedWait estimates how long the item would wait if it were queued now. It is 0 for an invalid item and while the pool has no
// usable slots or their number is not known yet.
func (q *Queue) ExpectedWait(_ time.Time, item Item) time.Duration {
	if q.slots == 0 || !item.valid() {
		return 0
	}
	flow := q.flow(item)
	slots := q.availableSlots(flow.class)
	ahead := q.itemsAhead(flow) + 1 - max(0, slots-float64(flow.class.held))
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / slots * float64(q.classServiceTime(flow.class)))
}

// itemsAhead estimates the number of queued items that are granted before a new item of the flow: its own, the share of other teams
// with queued items in the same period, and, if the team is at its quota, those of teams below theirs. Of the latter, only the items
// that bring each team to its quota count: an overloading team drops just below its quota whenever one of its requests ends.
func (q *Queue) itemsAhead(flow *flow) float64 {
	flows, underQuota := &flow.class.underQuota, 0
	if flow.team.atQuota() {
		flows, underQuota = &flow.class.atQuota, flow.class.underQuota.withinQuota
	}
	ownQueued := float64(flow.tickets.Len())
	weight := flows.weight
	if ownQueued == 0 {
		weight += flow.team.weight()
	}
	fairPosition := (ownQueued + 1) * weight / flow.team.weight()
	return float64(underQuota) + min(float64(flows.length), fairPosition-1)
}

// availableSlots returns the number of slots that a class can count on now: its floor, or the slots that other classes neither hold
// nor have queued items for, whichever is larger.
func (q *Queue) availableSlots(class *class) float64 {
	remaining := float64(q.slots)
	moreUrgent := true
	for urgency := range q.classes {
		other := &q.classes[urgency]
		if other == class {
			moreUrgent = false
			continue
		}
		remaining -= q.reservedSlots(other, moreUrgent)
	}
	return max(1, remaining, class.floor*float64(q.slots))
}

// reservedSlots returns the number of slots that another class takes before the class in question.
func (q *Queue) reservedSlots(other *class, moreUrgent bool) float64 {
	floor := other.floor * float64(q.slots)
	switch {
	case moreUrgent && other.length > 0:
		return max(floor, float64(other.held))
	case moreUrgent:
		return float64(other.held)
	case other.length > 0:
		return floor
	}
	return min(floor, float64(other.held))
}

func (q *Queue) classServiceTime(class *class) time.Duration {
	if class.service.samples > 0 {
		return class.service.mean
	}
	if q.service.samples > 0 {
		return q.service.mean
	}
	return defaultServiceTime
}

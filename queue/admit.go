package queue

import (
	"fmt"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
)

// forbids returns why the item may not be queued, or nil.
func (q *Queue) forbids(now time.Time, ticket *ticket) *acaciatally.Refusal {
	item := ticket.item
	if q.knows(item.ID) {
		return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusConflict, Reason: "a request with this id is in progress"}
	}
	wait := q.ExpectedWait(now, item)
	if bound := q.exceeded(item, ticket.flow); bound != "" {
		return admission.Full(fmt.Sprintf("the queue of the %s is full", bound), wait)
	}
	if wait > 0 {
		wait += ticket.leastTime()
	}
	return admission.Late(now, item.Deadline, wait)
}

func (q *Queue) knows(id string) bool {
	_, queued := q.tickets[id]
	_, granted := q.grants[id]
	return queued || granted
}

// exceeded names the bound that the item would exceed, or returns the empty string.
func (q *Queue) exceeded(item Item, flow *flow) string {
	pool := Bounds{Length: q.config.MaxLength, Bytes: q.config.MaxBytes}
	if !pool.fits(len(q.tickets), q.bytes, item) {
		return "pool"
	}
	class := q.config.Class.or(q.classBounds(flow.class))
	if !class.fits(flow.class.length, flow.class.bytes, item) {
		return "class"
	}
	team := q.config.Team.or(class.room(flow.class.length, flow.class.bytes))
	if !team.fits(flow.tickets.Len(), flow.bytes, item) {
		return "team"
	}
	return ""
}

// classBounds is a class's own part of the pool's bounds and what the other classes leave of the shared part.
func (q *Queue) classBounds(of *class) (bounds Bounds) {
	const parts = acaciatally.UrgencyClasses + 1
	own := Bounds{Length: q.config.MaxLength / parts, Bytes: q.config.MaxBytes / parts}
	bounds = Bounds{
		Length: q.config.MaxLength - (parts-2)*own.Length,
		Bytes:  q.config.MaxBytes - (parts-2)*own.Bytes,
	}
	for urgency := range q.classes {
		other := &q.classes[urgency]
		if other != of {
			bounds.Length -= max(0, other.length-own.Length)
			bounds.Bytes -= max(0, other.bytes-own.Bytes)
		}
	}
	return bounds
}

// room is what the bounds leave beside the given amounts. As the bound of a team it keeps room for other teams in a flood and
// lets a team that is alone use half of what its class has.
func (b Bounds) room(length int, bytes int64) Bounds {
	return Bounds{Length: b.Length - length, Bytes: b.Bytes - bytes}
}

// or returns the bounds with what they leave open taken from others.
func (b Bounds) or(others Bounds) Bounds {
	if b.Length == 0 {
		b.Length = others.Length
	}
	if b.Bytes == 0 {
		b.Bytes = others.Bytes
	}
	return b
}

// fits reports whether one more item keeps the given amounts within the bounds.
func (b Bounds) fits(length int, bytes int64, item Item) bool {
	return length < b.Length && bytes+item.Bytes <= b.Bytes
}

// ExpectedWait returns the time that the item would wait if it were queued now.
func (q *Queue) ExpectedWait(_ time.Time, item Item) time.Duration {
	if q.slots == 0 || !item.valid() {
		return 0
	}
	flow := q.flow(item)
	available := q.available(flow.class)
	ahead := q.ahead(flow) + 1 - max(0, available-float64(flow.class.held))
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / available * float64(q.classServiceTime(flow.class)))
}

// ahead is the number of queued items that are granted before a new item of the flow: its own, and those that other teams
// with work queued are entitled to in the same time.
func (q *Queue) ahead(flow *flow) float64 {
	line, passed := &flow.class.under, 0
	if flow.team.over() {
		line, passed = &flow.class.over, flow.class.under.length
	}
	own := float64(flow.tickets.Len())
	weight := line.weight
	if own == 0 {
		weight += flow.team.weight()
	}
	fair := (own + 1) * weight / flow.team.weight()
	return float64(passed) + min(float64(line.length), fair-1)
}

// available is the number of slots that a class can count on now: its floor, or what other classes neither use nor have
// work queued for.
func (q *Queue) available(class *class) float64 {
	left := float64(q.slots)
	moreUrgent := true
	for urgency := range q.classes {
		other := &q.classes[urgency]
		if other == class {
			moreUrgent = false
			continue
		}
		left -= q.reserved(other, moreUrgent)
	}
	return max(1, left, class.floor*float64(q.slots))
}

// reserved is the number of slots that another class takes from those behind it.
func (q *Queue) reserved(other *class, moreUrgent bool) float64 {
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
	return unknownServiceTime
}

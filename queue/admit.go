package queue

import (
	"fmt"
	"net/http"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/admission"
)

// forbids returns why the item may not be queued, or nil.
func (q *Queue) forbids(now time.Time, item Item, flow *flow) *acaciatally.Refusal {
	if q.knows(item.ID) {
		return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusConflict, Reason: "a request with this id is in progress"}
	}
	wait := q.ExpectedWait(now, item)
	if bound := q.exceeded(item, flow); bound != "" {
		return admission.Full(fmt.Sprintf("the queue of the %s is full", bound), wait)
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
	class := flow.class
	switch {
	case len(q.tickets) >= q.config.MaxLength || q.bytes+item.Bytes > q.config.MaxBytes:
		return "pool"
	case class.length >= q.config.Class.Length || class.bytes+item.Bytes > q.config.Class.Bytes:
		return "class"
	case q.teamExceeds(item, flow):
		return "team"
	}
	return ""
}

// teamExceeds bounds a team by the configuration or else by the room that its class has left. The latter keeps room for
// other teams in a flood and still lets a team that is alone use half of the class's bound.
func (q *Queue) teamExceeds(item Item, flow *flow) bool {
	class, bounds := flow.class, q.config.Team
	if bounds.Length == 0 {
		bounds.Length = q.config.Class.Length - class.length
	}
	if bounds.Bytes == 0 {
		bounds.Bytes = q.config.Class.Bytes - class.bytes
	}
	return flow.tickets.Len() >= bounds.Length || flow.bytes+item.Bytes > bounds.Bytes
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
		return class.service.value
	}
	if q.service.samples > 0 {
		return q.service.value
	}
	return unknownServiceTime
}

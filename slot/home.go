package slot

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/route"
)

const (
	refreshInterval = 50 * time.Millisecond // between checks of deadlines, hints, live entries and control state while there are tickets
	eventBuffer     = 256
	maxEventBatch   = 64 // events handled before slots are granted
)

// eventKind is the kind of an event of a ticket.
type eventKind int

const (
	eventRequest eventKind = iota
	eventHeld
	eventRelease
	eventHolderLost
)

type event struct {
	kind   eventKind
	ticket *ticket
	worker acaciatally.InstanceID
	result acaciatally.AttemptResult
}

// home is the slot home of one pool in this process; its goroutine owns the allocator.
type home struct {
	service     *Service
	pool        acaciatally.PoolName
	allocator   *allocator
	events      chan event
	closed      chan struct{}
	ticketCount atomic.Int64 // tickets in the allocator, for readers in other goroutines

	newTickets  []*ticket // enqueued since the last call of grantAndReply
	state       *fleet.State
	leaving     []acaciatally.InstanceID
	refreshedAt time.Time
	generation  uint64
	isHome      bool      // this entry is the pool's slot home in its own view
	grantsStart time.Time // end of HandoverDelay after a change of slot home
}

func newHome(service *Service, pool acaciatally.PoolName) *home {
	return &home{
		service: service, pool: pool, allocator: newAllocator(service.config.Queue, service.config.Route, service.config.RetryShare),
		events: make(chan event, eventBuffer), closed: make(chan struct{}),
	}
}

// send queues an event and reports whether the slot home still runs.
func (h *home) send(e event) (accepted bool) {
	select {
	case h.events <- e:
		return true
	case <-h.closed:
		return false
	}
}

func (h *home) run(ctx context.Context) {
	defer h.close()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	h.refresh(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-h.events:
			h.handleEvent(time.Now(), e)
			h.handleBuffered()
		case <-ticker.C:
			if len(h.allocator.tickets) == 0 {
				ticker.Stop()
			}
		}
		if len(h.allocator.tickets) > 0 {
			ticker.Reset(refreshInterval)
		}
		h.grantAndReply(time.Now())
		h.ticketCount.Store(int64(len(h.allocator.tickets)))
	}
}

// handleBuffered handles up to maxEventBatch buffered events.
func (h *home) handleBuffered() {
	for range maxEventBatch {
		select {
		case e := <-h.events:
			h.handleEvent(time.Now(), e)
		default:
			return
		}
	}
}

func (h *home) handleEvent(now time.Time, e event) {
	if !h.isHome && len(h.allocator.tickets) == 0 {
		h.grantsStart = now.Add(h.service.config.HandoverDelay) // other entries may hold slots that are not reported here yet
	}
	switch e.kind {
	case eventRequest:
		h.enqueue(now, e.ticket)
	case eventHeld:
		if e.ticket.phase == phaseNew {
			h.allocator.addHeld(now, e.ticket, e.worker)
		}
	case eventRelease:
		if e.ticket.phase == phaseNew {
			e.ticket.phase = phaseFinished // withdrawn before it was enqueued
			return
		}
		h.allocator.release(now, e.ticket, e.result)
	case eventHolderLost:
		h.allocator.holderLost(now, e.ticket)
	}
}

func (h *home) enqueue(now time.Time, t *ticket) {
	if t.phase != phaseNew {
		return
	}
	if h.service.selector.stopping.Load() {
		t.phase = phaseFinished
		h.allocator.sendReply(t, reply{moved: true})
		return
	}
	if refusal := h.allocator.enqueue(now, t); refusal != nil {
		t.phase = phaseFinished
		h.service.metrics.refused.Inc()
		h.allocator.sendReply(t, reply{refusal: refusal})
		return
	}
	h.newTickets = append(h.newTickets, t)
}

// grantAndReply refuses expired tickets, grants free slots, and sends a queued notice to the new tickets that are still waiting.
func (h *home) grantAndReply(now time.Time) {
	h.refresh(now)
	for _, t := range h.allocator.expire(now) {
		h.allocator.sendReply(t, reply{refusal: &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusGatewayTimeout, Reason: "no slot came free before the deadline",
		}})
	}
	if !now.Before(h.grantsStart) {
		for _, t := range h.allocator.grant(now) {
			h.service.metrics.recordHomeGrant(h.isHome)
			h.allocator.sendReply(t, reply{worker: t.worker})
		}
	}
	for _, t := range h.newTickets {
		if t.phase == phaseWaiting {
			h.allocator.sendReply(t, reply{queued: true})
		}
	}
	h.newTickets = h.newTickets[:0]
}

// refresh applies a change of the control state at once, and changes of the hints and live entries once per refreshInterval.
func (h *home) refresh(now time.Time) {
	state := h.service.config.State()
	if state == h.state && now.Sub(h.refreshedAt) < refreshInterval {
		return
	}
	h.refreshedAt = now
	h.updateIsHome(now)
	leaving := h.service.config.Membership.LeavingInstances()
	if state == h.state && slices.Equal(leaving, h.leaving) {
		return
	}
	h.state, h.leaving = state, leaving
	var workers []route.Worker
	for _, member := range state.Members(h.pool) {
		if acceptsNewWork(member, h.pool, leaving) {
			workers = append(workers, route.Worker{ID: member.ID, DataCentre: member.DataCentre, Slots: member.Slots})
		}
	}
	h.allocator.setWorkers(workers)
	for _, team := range state.Teams {
		h.allocator.queue.SetQuota(team.Name, team.Quota)
	}
}

// updateIsHome checks whether this entry is the slot home. When it becomes the slot home, grants start after HandoverDelay, in which other
// entries report the slots that they hold. When the service stops, it sends the waiting tickets to the next slot home.
func (h *home) updateIsHome(now time.Time) {
	current := h.service.selector.current()
	if current.generation == h.generation && !h.refreshedAt.IsZero() && h.isHome {
		return
	}
	h.generation = current.generation
	isHome := current.home(h.pool) == h.service.config.Self
	if isHome && !h.isHome && len(current.entries) > 1 {
		h.grantsStart = now.Add(h.service.config.HandoverDelay)
	}
	h.isHome = isHome
	if h.service.selector.stopping.Load() {
		for _, t := range h.allocator.waitingTickets() {
			h.allocator.removeWaiting(t)
			h.allocator.sendReply(t, reply{moved: true})
		}
	}
}

// close sends the waiting tickets and the buffered requests to the next slot home.
func (h *home) close() {
	close(h.closed)
	for _, t := range h.allocator.waitingTickets() {
		h.allocator.removeWaiting(t)
		h.allocator.sendReply(t, reply{moved: true})
	}
	for {
		select {
		case e := <-h.events:
			if e.kind == eventRequest {
				h.allocator.sendReply(e.ticket, reply{moved: true})
			}
		default:
			return
		}
	}
}

// acceptsNewWork reports whether new work of the pool may be sent to the instance.
func acceptsNewWork(member fleet.Instance, pool acaciatally.PoolName, leaving []acaciatally.InstanceID) bool {
	return member.Phase == fleet.Serving && member.Pool == pool && !slices.Contains(leaving, member.ID)
}

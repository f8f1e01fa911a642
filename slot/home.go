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
	homeInterval = 50 * time.Millisecond // between checks of deadlines, hints and the control state while there are tickets
	inboxLength  = 256
	burst        = 64 // events handled before slots are granted
)

type eventKind int

const (
	asked eventKind = iota
	reportedHeld
	released
	unheard
)

type event struct {
	kind   eventKind
	ticket *ticket
	worker acaciatally.InstanceID
	result acaciatally.AttemptResult
}

// home is the slot home of one pool in this process; its goroutine owns the board.
type home struct {
	service *Service
	pool    acaciatally.PoolName
	board   *board
	inbox   chan event
	closed  chan struct{}
	tickets atomic.Int64 // on the board, for readers outside the goroutine

	fresh      []*ticket // asked for since the last deal
	state      *fleet.State
	leaving    []acaciatally.InstanceID
	refreshed  time.Time
	generation uint64
	mine       bool      // this entry is the slot home in its own view
	grantsFrom time.Time // end of the time in which held slots are reported after a change of slot home
}

func newHome(service *Service, pool acaciatally.PoolName) *home {
	return &home{
		service: service, pool: pool, board: newBoard(service.config.Queue, service.config.Route, service.config.RetryShare),
		inbox: make(chan event, inboxLength), closed: make(chan struct{}),
	}
}

// send hands an event to the home and reports whether the home still runs.
func (h *home) send(e event) (accepted bool) {
	select {
	case h.inbox <- e:
		return true
	case <-h.closed:
		return false
	}
}

func (h *home) run(ctx context.Context) {
	defer h.close()
	ticker := time.NewTicker(homeInterval)
	defer ticker.Stop()
	h.refresh(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-h.inbox:
			h.handle(time.Now(), e)
			h.drain()
		case <-ticker.C:
			if len(h.board.tickets) == 0 {
				ticker.Stop()
			}
		}
		if len(h.board.tickets) > 0 {
			ticker.Reset(homeInterval)
		}
		h.deal(time.Now())
		h.tickets.Store(int64(len(h.board.tickets)))
	}
}

func (h *home) drain() {
	for range burst {
		select {
		case e := <-h.inbox:
			h.handle(time.Now(), e)
		default:
			return
		}
	}
}

func (h *home) handle(now time.Time, e event) {
	if !h.mine && len(h.board.tickets) == 0 {
		h.grantsFrom = now.Add(h.service.config.Handover) // others may hold slots that this entry has not heard of
	}
	switch e.kind {
	case asked:
		h.ask(now, e.ticket)
	case reportedHeld:
		if e.ticket.phase == idle {
			h.board.hold(now, e.ticket, e.worker)
		}
	case released:
		if e.ticket.phase == idle {
			e.ticket.phase = finished // withdrawn before it was asked for
			return
		}
		h.board.release(now, e.ticket, e.result)
	case unheard:
		h.board.unheard(now, e.ticket)
	}
}

func (h *home) ask(now time.Time, t *ticket) {
	if t.phase != idle {
		return
	}
	if h.service.circle.stopping.Load() {
		t.phase = finished
		h.board.answer(t, reply{moved: true})
		return
	}
	if refusal := h.board.ask(now, t); refusal != nil {
		t.phase = finished
		h.service.counts.refused.Inc()
		h.board.answer(t, reply{refusal: refusal})
		return
	}
	h.fresh = append(h.fresh, t)
}

// deal grants slots, ends what has expired, and tells new tickets that they wait.
func (h *home) deal(now time.Time) {
	h.refresh(now)
	for _, t := range h.board.expire(now) {
		h.board.answer(t, reply{refusal: &acaciatally.Refusal{
			Outcome: acaciatally.NotRun, Status: http.StatusGatewayTimeout, Reason: "no slot came free before the deadline",
		}})
	}
	if !now.Before(h.grantsFrom) {
		for _, t := range h.board.grant(now) {
			h.service.counts.granted(h.mine)
			h.board.answer(t, reply{worker: t.worker})
		}
	}
	for _, t := range h.fresh {
		if t.phase == waiting {
			h.board.answer(t, reply{queued: true})
		}
	}
	h.fresh = h.fresh[:0]
}

// refresh follows the control state at once, and hints and the live entries at every interval.
func (h *home) refresh(now time.Time) {
	state := h.service.config.State()
	if state == h.state && now.Sub(h.refreshed) < homeInterval {
		return
	}
	h.refreshed = now
	h.follow(now)
	leaving := h.service.config.Membership.Leaving()
	if state == h.state && slices.Equal(leaving, h.leaving) {
		return
	}
	h.state, h.leaving = state, leaving
	var workers []route.Worker
	for _, member := range state.Members(h.pool) {
		if serves(member, h.pool, leaving) {
			workers = append(workers, route.Worker{ID: member.ID, DataCentre: member.DataCentre, Slots: member.Slots})
		}
	}
	h.board.setWorkers(workers)
	for _, team := range state.Teams {
		h.board.queue.SetQuota(team.Name, team.Quota)
	}
}

// follow notices when this entry becomes the slot home: it then waits for reports of held slots before it grants.
func (h *home) follow(now time.Time) {
	current := h.service.circle.current()
	if current.generation == h.generation && !h.refreshed.IsZero() && h.mine {
		return
	}
	h.generation = current.generation
	mine := current.first(h.pool) == h.service.config.Self
	if mine && !h.mine && len(current.entries) > 1 {
		h.grantsFrom = now.Add(h.service.config.Handover)
	}
	h.mine = mine
	if h.service.circle.stopping.Load() {
		for _, t := range h.board.waiting() {
			h.board.drop(t)
			h.board.answer(t, reply{moved: true})
		}
	}
}

// close ends all tickets; those that wait are sent to the next slot home.
func (h *home) close() {
	close(h.closed)
	for _, t := range h.board.waiting() {
		h.board.drop(t)
		h.board.answer(t, reply{moved: true})
	}
	for {
		select {
		case e := <-h.inbox:
			if e.kind == asked {
				h.board.answer(e.ticket, reply{moved: true})
			}
		default:
			return
		}
	}
}

func serves(member fleet.Instance, pool acaciatally.PoolName, leaving []acaciatally.InstanceID) bool {
	return member.Phase == fleet.Serving && member.Pool == pool && !slices.Contains(leaving, member.ID)
}

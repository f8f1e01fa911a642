package slot

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
	"github.com/acaciatally/acaciatally/route"
)

// heldSlotGrace is the time after a request's deadline at which an unreleased slot is reclaimed. Attempts end at the deadline, so this
// applies only to a faulty holder.
const heldSlotGrace = 10 * time.Second

// lostHolderGrace is how long a slot stays allocated after contact with its holder was lost. It covers a reconnect of the holder, and
// the time in which waiting requests follow the held slots to another slot home.
const lostHolderGrace = 2 * time.Second

// sweepInterval is the interval between checks of held slots against their deadlines.
const sweepInterval = time.Second

// maxUnplaced bounds the queued requests that one call of grant skips because no worker could be picked for them.
const maxUnplaced = 8

// phase is the state of a ticket.
type phase int

const (
	phaseNew phase = iota
	phaseWaiting
	phaseHeld
	phaseFinished
)

// reply is a message of the slot home about a ticket.
type reply struct {
	worker  acaciatally.InstanceID
	refusal *acaciatally.Refusal
	moved   bool // the request must be sent to the next slot home
	queued  bool // the request was queued; another reply follows
	lost    bool // the stream to the slot home ended without a final reply
}

// ticket is the slot home's record of one request for a slot, from the request to the release.
type ticket struct {
	item    queue.Item
	slotID  string // identifies the request and its slot at all slot homes
	exclude []acaciatally.InstanceID
	retry   bool
	replies chan reply // buffered, so that sending the final reply needs no reader

	phase        phase
	worker       acaciatally.InstanceID
	reportedHeld bool          // granted elsewhere or before a lost stream, so this router has not picked the worker for it
	streamClosed chan struct{} // closed when the stream of a remote ticket has ended
	phaseSince   time.Time
}

// allocator queues the requests of one pool and allocates the slots of its workers. It is not safe for concurrent use.
type allocator struct {
	queue        *queue.Queue
	router       *route.Router
	retryBudget  retryBudget
	workers      []route.Worker
	busy         map[acaciatally.InstanceID]int
	tickets      map[string]*ticket
	bySlotID     map[string]*ticket // tickets that hold a slot
	waitingCount int                // tickets in phaseWaiting
	lastTicketID uint64
	lastSweep    time.Time
}

func newAllocator(queueConfig queue.Config, routeConfig route.Config, retryShare float64) *allocator {
	return &allocator{
		queue: queue.New(queueConfig), router: route.New(routeConfig), retryBudget: newRetryBudget(retryShare),
		busy: map[acaciatally.InstanceID]int{}, tickets: map[string]*ticket{}, bySlotID: map[string]*ticket{},
	}
}

// setWorkers replaces the workers that may receive new work. Slots held on removed workers stay allocated until they are released.
func (a *allocator) setWorkers(workers []route.Worker) {
	for _, old := range a.workers {
		kept := slices.ContainsFunc(workers, func(w route.Worker) bool { return w.ID == old.ID })
		if !kept && a.busy[old.ID] == 0 {
			a.router.Forget(old.ID)
		}
	}
	a.workers = workers
}

// enqueue adds a new ticket to the queue or returns why it is refused.
func (a *allocator) enqueue(now time.Time, t *ticket) *acaciatally.Refusal {
	if t.retry && !a.retryBudget.takeRetry() {
		return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "the retry budget is spent"}
	}
	if !t.retry {
		a.retryBudget.addFirstAttempt()
	}
	a.assignID(t)
	if refusal := toRefusal(a.queue.Push(now, t.item)); refusal != nil {
		return refusal
	}
	t.phase, t.phaseSince = phaseWaiting, now
	a.waitingCount++
	a.tickets[t.item.ID] = t
	return nil
}

// assignID gives the ticket an id that is unique in this allocator, since callers may repeat the ids of idempotent requests.
func (a *allocator) assignID(t *ticket) {
	a.lastTicketID++
	t.item.ID = strconv.FormatUint(a.lastTicketID, 36)
}

// addHeld records a slot that was granted earlier, by another slot home or over a stream that broke. It replaces a ticket with the
// same slot id, so that the slot is not counted twice.
func (a *allocator) addHeld(now time.Time, t *ticket, worker acaciatally.InstanceID) {
	if previous := a.bySlotID[t.slotID]; previous != nil {
		a.release(now, previous, acaciatally.AttemptResult{})
	}
	a.assignID(t)
	a.bySlotID[t.slotID] = t
	a.queue.AddHeld(now, t.item)
	t.phase, t.worker, t.reportedHeld, t.phaseSince = phaseHeld, worker, true, now
	a.busy[worker]++
	a.tickets[t.item.ID] = t
}

// release ends a ticket in any phase and frees its slot. Later calls do nothing.
func (a *allocator) release(now time.Time, t *ticket, result acaciatally.AttemptResult) {
	switch t.phase {
	case phaseWaiting:
		a.waitingCount--
		a.queue.Cancel(t.item.ID)
	case phaseHeld:
		a.queue.Release(now, t.item, result.ServiceTime)
		a.freeSlot(t.worker)
		if !t.reportedHeld || result != (acaciatally.AttemptResult{}) {
			a.router.Report(now, t.worker, result)
		}
	default:
		return
	}
	t.phase = phaseFinished
	delete(a.tickets, t.item.ID)
	if a.bySlotID[t.slotID] == t {
		delete(a.bySlotID, t.slotID)
	}
}

func (a *allocator) freeSlot(worker acaciatally.InstanceID) {
	if a.busy[worker]--; a.busy[worker] > 0 {
		return
	}
	delete(a.busy, worker)
	if !slices.ContainsFunc(a.workers, func(w route.Worker) bool { return w.ID == worker }) {
		a.router.Forget(worker)
	}
}

// grant allocates free slots to queued tickets and returns these tickets with their worker set.
func (a *allocator) grant(now time.Time) (granted []*ticket) {
	var unplaced []*ticket
	for a.waitingCount > len(unplaced) && len(unplaced) < maxUnplaced {
		workers := a.workersWithLoad()
		item, found := a.queue.Next(now, a.router.Usable(now, workers)+a.heldOnOtherWorkers(workers))
		if !found {
			break
		}
		t := a.tickets[item.ID]
		if t == nil || t.phase != phaseWaiting {
			a.queue.Release(now, item, 0)
			continue
		}
		worker, picked := a.router.Pick(now, route.Request{DataCentre: t.item.DataCentre, Exclude: t.exclude}, workers)
		if !picked {
			a.queue.Release(now, item, 0)
			unplaced = append(unplaced, t)
			continue
		}
		a.waitingCount--
		t.phase, t.worker, t.phaseSince = phaseHeld, worker, now
		a.bySlotID[t.slotID] = t
		a.busy[worker]++
		granted = append(granted, t)
	}
	for _, t := range unplaced {
		if a.queue.Push(now, t.item) != nil {
			a.waitingCount--
			t.phase = phaseFinished
			delete(a.tickets, t.item.ID)
			a.sendReply(t, reply{refusal: &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "no worker is free"}})
		}
	}
	return granted
}

func (a *allocator) sendReply(t *ticket, r reply) {
	select {
	case t.replies <- r:
	default:
	}
}

func (a *allocator) workersWithLoad() []route.Worker {
	for i := range a.workers {
		a.workers[i].BusySlots = a.busy[a.workers[i].ID]
	}
	return a.workers
}

// heldOnOtherWorkers returns the number of slots held on workers that receive no new work. The queue counts these slots as in service.
func (a *allocator) heldOnOtherWorkers(workers []route.Worker) (slots int) {
	for _, count := range a.busy {
		slots += count
	}
	for _, worker := range workers {
		slots -= worker.BusySlots
	}
	return slots
}

// holderLost handles a ticket whose holder has moved to another slot home or whose stream broke. A waiting ticket ends at once. A held
// slot stays allocated for lostHolderGrace, in which the holder may report it again.
func (a *allocator) holderLost(now time.Time, t *ticket) {
	if t.phase != phaseHeld {
		a.release(now, t, acaciatally.AttemptResult{})
		return
	}
	if until := now.Add(lostHolderGrace - heldSlotGrace); until.Before(t.item.Deadline) {
		t.item.Deadline = until // so that expire reclaims the slot lostHolderGrace from now
	}
}

// expire ends the tickets past their deadline and returns those that were waiting. At most once per sweepInterval it also reclaims
// held slots past heldSlotGrace.
func (a *allocator) expire(now time.Time) (expired []*ticket) {
	for _, item := range a.queue.Expire(now) {
		if t := a.tickets[item.ID]; t != nil && t.phase == phaseWaiting {
			a.waitingCount--
			t.phase = phaseFinished
			delete(a.tickets, item.ID)
			expired = append(expired, t)
		}
	}
	if now.Sub(a.lastSweep) < sweepInterval {
		return expired
	}
	a.lastSweep = now
	for _, t := range a.tickets {
		if t.phase == phaseHeld && now.Sub(t.item.Deadline) > heldSlotGrace {
			a.release(now, t, acaciatally.AttemptResult{})
		}
	}
	return expired
}

func (a *allocator) waitingTickets() (tickets []*ticket) {
	for _, t := range a.tickets {
		if t.phase == phaseWaiting {
			tickets = append(tickets, t)
		}
	}
	return tickets
}

// removeWaiting ends a waiting ticket without a reply.
func (a *allocator) removeWaiting(t *ticket) {
	a.waitingCount--
	a.queue.Cancel(t.item.ID)
	t.phase = phaseFinished
	delete(a.tickets, t.item.ID)
}

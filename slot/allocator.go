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

// heldGrace is the time after a request's deadline at which its slot is taken back even though nobody has released it; attempts end
// at the deadline, so only a faulty holder gets there.
const heldGrace = 10 * time.Second

// unheardTerm covers the time in which a holder reconnects, and in which waiting requests follow the held slots to another slot home.
const unheardTerm = 2 * time.Second

// sweepInterval is how often held slots are checked against their deadlines.
const sweepInterval = time.Second

// maxUnplaced bounds the items that are set aside in one round because no worker could be picked for them.
const maxUnplaced = 8

type phase int

const (
	idle phase = iota
	waiting
	held
	finished
)

// reply is what the slot home tells about a ticket: a grant, or a refusal.
type reply struct {
	worker  acaciatally.InstanceID
	refusal *acaciatally.Refusal
	moved   bool // ask the next slot home
	queued  bool // the request waits
	lost    bool // the stream to the slot home broke
}

// ticket is one request for a slot at the slot home, from the request to the release.
type ticket struct {
	item    queue.Item
	loan    string // identifies the slot across slot homes
	exclude []acaciatally.InstanceID
	retry   bool
	replies chan reply // holds the final reply without a reader

	phase  phase
	worker acaciatally.InstanceID
	taken  bool          // held before this slot home knew of it, so the router has not picked it
	left   chan struct{} // closed when the stream of a remote ticket has ended
	since  time.Time
}

// board accounts for the slots of one pool; it is not safe for concurrent use.
type board struct {
	queue   *queue.Queue
	router  *route.Router
	budget  budget
	workers []route.Worker
	busy    map[acaciatally.InstanceID]int
	tickets map[string]*ticket
	loans   map[string]*ticket // tickets that hold a slot, by loan
	waits   int                // tickets that wait
	count   uint64
	swept   time.Time
}

func newBoard(queueConfig queue.Config, routeConfig route.Config, retryShare float64) *board {
	return &board{
		queue: queue.New(queueConfig), router: route.New(routeConfig), budget: newBudget(retryShare),
		busy: map[acaciatally.InstanceID]int{}, tickets: map[string]*ticket{}, loans: map[string]*ticket{},
	}
}

// setWorkers replaces the workers that may receive new work; slots held on others stay accounted for until they are released.
func (b *board) setWorkers(workers []route.Worker) {
	for _, old := range b.workers {
		kept := slices.ContainsFunc(workers, func(w route.Worker) bool { return w.ID == old.ID })
		if !kept && b.busy[old.ID] == 0 {
			b.router.Forget(old.ID)
		}
	}
	b.workers = workers
}

// ask queues a ticket or refuses it.
func (b *board) ask(now time.Time, t *ticket) *acaciatally.Refusal {
	if t.retry && !b.budget.retry() {
		return &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "the retry budget is spent"}
	}
	if !t.retry {
		b.budget.first()
	}
	b.number(t)
	if refusal := refusalOf(b.queue.Push(now, t.item)); refusal != nil {
		return refusal
	}
	t.phase, t.since = waiting, now
	b.waits++
	b.tickets[t.item.ID] = t
	return nil
}

// number gives the ticket an id of its own, since callers may repeat the ids of idempotent requests.
func (b *board) number(t *ticket) {
	b.count++
	t.item.ID = strconv.FormatUint(b.count, 36)
}

// hold accounts for a slot that was granted earlier, by another slot home or over a stream that broke. It takes the place of a
// ticket of the same loan, so that the slot is not counted twice.
func (b *board) hold(now time.Time, t *ticket, worker acaciatally.InstanceID) {
	if known := b.loans[t.loan]; known != nil {
		b.release(now, known, acaciatally.AttemptResult{})
	}
	b.number(t)
	b.loans[t.loan] = t
	b.queue.Hold(now, t.item)
	t.phase, t.worker, t.taken, t.since = held, worker, true, now
	b.busy[worker]++
	b.tickets[t.item.ID] = t
}

// release ends a ticket in any phase; later calls do nothing.
func (b *board) release(now time.Time, t *ticket, result acaciatally.AttemptResult) {
	switch t.phase {
	case waiting:
		b.waits--
		b.queue.Cancel(t.item.ID)
	case held:
		b.queue.Done(now, t.item, result.ServiceTime)
		b.free(t.worker)
		if !t.taken || result != (acaciatally.AttemptResult{}) {
			b.router.Report(now, t.worker, result)
		}
	default:
		return
	}
	t.phase = finished
	delete(b.tickets, t.item.ID)
	if b.loans[t.loan] == t {
		delete(b.loans, t.loan)
	}
}

func (b *board) free(worker acaciatally.InstanceID) {
	if b.busy[worker]--; b.busy[worker] > 0 {
		return
	}
	delete(b.busy, worker)
	if !slices.ContainsFunc(b.workers, func(w route.Worker) bool { return w.ID == worker }) {
		b.router.Forget(worker)
	}
}

// grant gives free slots to queued tickets and returns them; their worker is set.
func (b *board) grant(now time.Time) (granted []*ticket) {
	var unplaced []*ticket
	for b.waits > len(unplaced) && len(unplaced) < maxUnplaced {
		workers := b.offered()
		item, found := b.queue.Next(now, b.router.Usable(now, workers)+b.heldElsewhere(workers))
		if !found {
			break
		}
		t := b.tickets[item.ID]
		if t == nil || t.phase != waiting {
			b.queue.Done(now, item, 0)
			continue
		}
		worker, picked := b.router.Pick(now, route.Request{DataCentre: t.item.DataCentre, Exclude: t.exclude}, workers)
		if !picked {
			b.queue.Done(now, item, 0)
			unplaced = append(unplaced, t)
			continue
		}
		b.waits--
		t.phase, t.worker, t.since = held, worker, now
		b.loans[t.loan] = t
		b.busy[worker]++
		granted = append(granted, t)
	}
	for _, t := range unplaced {
		if b.queue.Push(now, t.item) != nil {
			b.waits--
			t.phase = finished
			delete(b.tickets, t.item.ID)
			b.answer(t, reply{refusal: &acaciatally.Refusal{Outcome: acaciatally.NotRun, Status: http.StatusServiceUnavailable, Reason: "no worker is free"}})
		}
	}
	return granted
}

func (b *board) answer(t *ticket, r reply) {
	select {
	case t.replies <- r:
	default:
	}
}

func (b *board) offered() []route.Worker {
	for i := range b.workers {
		b.workers[i].Busy = b.busy[b.workers[i].ID]
	}
	return b.workers
}

// heldElsewhere counts the slots held on workers that receive no new work; the queue counts them as in service.
func (b *board) heldElsewhere(workers []route.Worker) (slots int) {
	for _, count := range b.busy {
		slots += count
	}
	for _, worker := range workers {
		slots -= worker.Busy
	}
	return slots
}

// unheard ends a ticket whose holder is no longer heard: it has moved to another slot home, or the stream broke. A slot stays taken
// for unheardTerm, in which the holder may report it again.
func (b *board) unheard(now time.Time, t *ticket) {
	if t.phase != held {
		b.release(now, t, acaciatally.AttemptResult{})
		return
	}
	if until := now.Add(unheardTerm - heldGrace); until.Before(t.item.Deadline) {
		t.item.Deadline = until // the sweep takes the slot back at unheardTerm from now
	}
}

// expire ends the tickets whose time is over and returns those that waited.
func (b *board) expire(now time.Time) (expired []*ticket) {
	for _, item := range b.queue.Expire(now) {
		if t := b.tickets[item.ID]; t != nil && t.phase == waiting {
			b.waits--
			t.phase = finished
			delete(b.tickets, item.ID)
			expired = append(expired, t)
		}
	}
	if now.Sub(b.swept) < sweepInterval {
		return expired
	}
	b.swept = now
	for _, t := range b.tickets {
		if t.phase == held && now.Sub(t.item.Deadline) > heldGrace {
			b.release(now, t, acaciatally.AttemptResult{})
		}
	}
	return expired
}

// waiting returns the tickets that wait.
func (b *board) waiting() (tickets []*ticket) {
	for _, t := range b.tickets {
		if t.phase == waiting {
			tickets = append(tickets, t)
		}
	}
	return tickets
}

// drop ends a waiting ticket without a grant.
func (b *board) drop(t *ticket) {
	b.waits--
	b.queue.Cancel(t.item.ID)
	t.phase = finished
	delete(b.tickets, t.item.ID)
}

package dispatch

import (
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// orderRetry is the pause after an order without effect.
	orderRetry = 100 * time.Millisecond
	// startTries are the starts of one run without confirmation before it is stopped and started elsewhere.
	startTries = 5
)

// OrderKind is what an order asks of a worker.
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "Start"
	OrderStop  OrderKind = "Stop"
	OrderPace  OrderKind = "Pace"
)

// Order is a call to a worker.
type Order struct {
	Kind    OrderKind
	Worker  acaciatally.Worker
	Start   acaciatally.StartOrder // of the other kinds only its run
	Percent int
	task    *task // nil for a run of no known task
	run     runKey
}

// Orders returns the orders that are to be sent now.
func (m *Machine) Orders(now time.Duration) (orders []Order) {
	for _, w := range m.workers {
		if w.gone || !w.known {
			continue
		}
		for t := range w.runs {
			if order, found := m.next(w, t, now); found {
				orders = append(orders, order)
			}
		}
		for run := range w.orphans {
			if !w.stopping[run] {
				w.stopping[run] = true
				orders = append(orders, m.orderOf(w, OrderStop, run))
			}
		}
	}
	return orders
}

func (m *Machine) orderOf(w *worker, kind OrderKind, run runKey) Order {
	order := Order{Kind: kind, Worker: w.entry, run: run}
	order.Start.RunOrder = acaciatally.RunOrder{Task: run.task, Attempt: run.attempt, Fence: m.fence(w)}
	return order
}

// next returns the next order about a task's run.
func (m *Machine) next(w *worker, t *task, now time.Duration) (order Order, found bool) {
	if now < t.retryAt || t.stopSent {
		return order, false
	}
	switch {
	case t.stop != "" && t.stopped == 0:
		t.stopSent = true
		order = m.orderOf(w, OrderStop, t.runKey())
	case t.stop == "" && t.stage == recorded:
		return m.start(w, t, now)
	case t.stop == "" && t.stage == running && t.pace != t.paceWanted:
		t.retryAt = now + orderRetry
		order = m.orderOf(w, OrderPace, t.runKey())
		order.Percent = t.paceWanted
	default:
		return order, false
	}
	order.task = t
	return order, true
}

// start returns the start order, unless the worker may no longer get new runs.
func (m *Machine) start(w *worker, t *task, now time.Duration) (order Order, found bool) {
	if t.tries == 0 && (!m.mayStart(w, now) || !m.permitted(t, w.entry.ID, now)) {
		m.config.Journal.RunDropped(t.ref, t.attempt, w.entry.ID, "the worker may get no new runs")
		t.release()
		return order, false
	}
	t.stage = ordered
	t.tries++
	if t.orderedAt == 0 {
		t.orderedAt = now
	}
	order = m.orderOf(w, OrderStart, t.runKey())
	order.task = t
	order.Start.Payload = t.job.accepted.Spec.Payload
	order.Start.Checkpoint = t.checkpoint
	order.Start.Permission = m.ticket(t, w.entry.ID)
	order.Start.LeaseUntil = m.extend(w, now)
	return order, true
}

// Ordered takes in the result of an order.
func (m *Machine) Ordered(order Order, err error, now time.Duration) {
	w := m.workers[order.Worker.ID]
	if order.task == nil {
		if w != nil {
			delete(w.stopping, order.run)
		}
		return
	}
	t := order.task
	m.config.Journal.RunOrdered(string(order.Kind), t.ref, order.run.attempt, order.Worker.ID, err)
	if t.at == nil || t.at != w || t.attempt != order.run.attempt {
		return // its run has been released meanwhile
	}
	if errors.Is(err, acaciatally.ErrOtherWorker) {
		m.lose(w, "another worker answers at its address", now)
		return
	}
	switch order.Kind {
	case OrderStart:
		m.startResult(t, err, now)
	case OrderStop:
		t.stopSent = false
		if err == nil {
			t.stopped = now
		} else {
			t.retryAt = now + orderRetry
		}
	case OrderPace:
		if err == nil {
			t.pace = order.Percent
		}
	}
}

func (m *Machine) startResult(t *task, err error, now time.Duration) {
	if t.stage != ordered {
		return // a report has confirmed it
	}
	var rejected *acaciatally.OrderRejectedError
	switch {
	case err == nil:
		t.stage, t.confirmed, t.moved = running, now, now
		m.started(t)
	case errors.Is(err, errRightLapsed):
		t.stage, t.tries = recorded, t.tries-1
	case errors.As(err, &rejected):
		m.startRejected(t, rejected.Reason, now)
	case errors.Is(err, acaciatally.ErrUnavailable) && !t.ambiguous:
		m.config.Journal.RunDropped(t.ref, t.attempt, t.workerID(), "the worker refuses")
		m.bar(t.at, "refuses starts", now)
		t.release()
	default:
		t.ambiguous = t.ambiguous || !errors.Is(err, acaciatally.ErrUnavailable)
		m.retryStart(t, now)
	}
}

func (m *Machine) retryStart(t *task, now time.Duration) {
	if t.tries >= startTries {
		t.stage = ordered
		t.stop = stopUnsure
		m.bar(t.at, "does not confirm starts", now)
		return
	}
	t.stage, t.retryAt = recorded, now+orderRetry
}

// startRejected handles a worker's refusal: a run that was never sent before is surely not there.
func (m *Machine) startRejected(t *task, reason acaciatally.RejectReason, now time.Duration) {
	switch {
	case reason == acaciatally.RejectPermission && !t.ambiguous:
		if p := m.advice[t.stepKey()]; p != nil {
			clear(p.tickets) // the worker may have a new life, or the tickets are older than assumed
		}
		t.release()
	case reason == acaciatally.RejectOld || t.ambiguous:
		t.stop = stopUnsure // it was there, or may still come: its end is listed, or the stop keeps it away
	default:
		m.config.Journal.RunDropped(t.ref, t.attempt, t.workerID(), "start rejected: "+string(reason))
		t.release()
		t.retryAt = now + orderRetry
	}
}

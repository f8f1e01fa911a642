package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// orderRetry is the delay before an order without effect is sent again.
	orderRetry = 100 * time.Millisecond
	// maxStartAttempts is the number of unconfirmed start orders after which a run is stopped and the task is placed again.
	maxStartAttempts = 5
	// maxRepeatReportAge is the age of a worker's last report at which a start order without answer is no longer repeated. A worker that
	// responds reports more often, and one that has restarted was silent for longer.
	maxRepeatReportAge = 1200 * time.Millisecond
	// repeatSendTime is how long a repeated start order may wait for a connection after maxRepeatReportAge.
	repeatSendTime = 250 * time.Millisecond
	// fullScanInterval is the interval at which the runs of all workers are searched for orders.
	fullScanInterval = 100 * time.Millisecond
	// notSentAvoidTime is how long a task avoids a worker to which its start order could not be sent, if there are other workers.
	notSentAvoidTime = time.Second
)

// OrderKind is the type of an order.
type OrderKind string

// The types of orders. Their values are logged.
const (
	OrderStart    OrderKind = "Start"
	OrderStop     OrderKind = "Stop"
	OrderThrottle OrderKind = "Pace" // sets the CPU share of a run
)

// Order is a request to a worker about one run.
type Order struct {
	Kind    OrderKind
	Worker  acaciatally.Worker
	Start   acaciatally.StartOrder // for other kinds only RunOrder is set
	Percent int                    // CPU share, for OrderThrottle
	task    *task                  // nil for an orphaned run
	run     runKey
	sentAt  time.Duration
}

// Orders returns the orders to send now. Start orders are limited by the window of those in flight; the most urgent are sent first. Only
// the workers marked by markOrderDue are looked at, and all workers once per fullScanInterval, so that the time that a round takes does
// not grow with the runs in progress.
func (s *Scheduler) Orders(now time.Duration) (orders []Order) {
	fullScan := now >= s.nextFullScanAt
	if fullScan {
		s.nextFullScanAt = now + fullScanInterval
	}
	var starts []*task
	for _, w := range s.workers {
		if !w.orderDue && !fullScan {
			continue
		}
		if w.lost || !w.reported {
			s.releaseUnordered(w)
			continue
		}
		w.orderDue = false
		starts, orders = s.workerOrders(w, starts, orders, now)
	}
	return append(orders, s.startOrders(starts, now)...)
}

// releaseUnordered releases the recorded runs on a worker that has restarted or is lost for which no start order was sent.
func (s *Scheduler) releaseUnordered(w *worker) {
	for t := range w.runs {
		if t.stage == stageRecorded && t.startAttempts == 0 && !t.step.Gang {
			s.config.EventLog.RunDropped(t.ref, t.attempt, w.entry.ID, "worker is not schedulable")
			t.release()
		}
	}
}

// workerOrders appends the start orders due on a worker to starts and its other orders to orders.
func (s *Scheduler) workerOrders(w *worker, starts []*task, orders []Order, now time.Duration) ([]*task, []Order) {
	for t := range w.runs {
		if t.startDue(now) {
			starts = append(starts, t)
		} else if order, found := s.nextOrder(w, t, now); found {
			orders = append(orders, order)
		}
		w.orderDue = w.orderDue || t.orderPending()
	}
	for run := range w.orphans {
		if !w.stoppingOrphans[run] {
			w.stoppingOrphans[run] = true
			orders = append(orders, s.newOrder(w, OrderStop, run, now))
		}
	}
	return starts, orders
}

// orderPending reports whether an order about the run is due, now or after a delay.
func (t *task) orderPending() bool {
	if t.stopReason != "" {
		return t.stoppedAt == 0 && !t.stopInFlight
	}
	return t.stage == stageRecorded || t.stage == stageRunning && t.cpuShare != t.cpuShareWanted
}

// markOrderDue makes the next round look for orders about the runs of the task's worker.
func (t *task) markOrderDue() {
	if t.worker != nil {
		t.worker.orderDue = true
	}
}

// startOrders returns the start orders of the recorded runs, as many as the window allows.
func (s *Scheduler) startOrders(due []*task, now time.Duration) (orders []Order) {
	s.heldStarts = s.starts.take(len(due))
	s.startRate.observe(s.heldStarts > 0, now)
	s.logHeldStarts(now)
	if s.heldStarts > 0 {
		slices.SortFunc(due, func(a, b *task) int { return compareStarts(a.job, b.job) })
	}
	for _, t := range due[:len(due)-s.heldStarts] {
		if !t.assigned() {
			s.starts.inFlight-- // released with its gang
			continue
		}
		order, found := s.startOrder(t.worker, t, now)
		if !found {
			s.starts.inFlight--
			continue
		}
		orders = append(orders, order)
	}
	return orders
}

// startDue reports whether the run is recorded and its start order may be sent.
func (t *task) startDue(now time.Duration) bool {
	return now >= t.retryAt && !t.stopInFlight && t.stopReason == "" && t.stage == stageRecorded
}

func (s *Scheduler) newOrder(w *worker, kind OrderKind, run runKey, now time.Duration) Order {
	order := Order{Kind: kind, Worker: w.entry, run: run, sentAt: now}
	order.Start.RunOrder = acaciatally.RunOrder{Task: run.task, Attempt: run.attempt, Fence: s.fence(w)}
	return order
}

// nextOrder returns the next order about the run of a task other than its start, if any.
func (s *Scheduler) nextOrder(w *worker, t *task, now time.Duration) (order Order, found bool) {
	if now < t.retryAt || t.stopInFlight {
		return order, false
	}
	switch {
	case t.stopReason != "" && t.stoppedAt == 0:
		t.stopInFlight = true
		order = s.newOrder(w, OrderStop, t.runKey(), now)
	case t.stopReason == "" && t.stage == stageRunning && t.cpuShare != t.cpuShareWanted:
		t.retryAt = now + orderRetry
		order = s.newOrder(w, OrderThrottle, t.runKey(), now)
		order.Percent = t.cpuShareWanted
	default:
		return order, false
	}
	order.task = t
	return order, true
}

// startOrder returns the start order for a recorded run, if it may be sent.
func (s *Scheduler) startOrder(w *worker, t *task, now time.Duration) (order Order, found bool) {
	if !s.mayOrderStart(t, now) {
		return order, false
	}
	t.stage = stageOrdered
	t.startAttempts++
	if t.startSentAt == 0 {
		t.startSentAt = now
	}
	order = s.newOrder(w, OrderStart, t.runKey(), now)
	order.task = t
	order.Start.Payload = t.job.accepted.Spec.Payload
	order.Start.Checkpoint = t.checkpoint
	order.Start.Permission = s.ticket(t, w.entry.ID)
	t.startLease = s.extendLease(w, now)
	order.Start.LeaseUntil = t.startLease
	order.Start.SendWithin = w.sendWithin(t, now)
	return order, true
}

// sendWithin returns how long a start order may wait for a connection. A worker that has gone silent may restart as another kind: its connections
// are all in use until then, and an order that waits for one must not reach the new incarnation.
func (w *worker) sendWithin(t *task, now time.Duration) time.Duration {
	limit := renewalAnswerTime
	if w.renewalInFlight {
		limit = min(limit, w.renewalDueAt-now)
	}
	if t.startAttempts > 1 {
		limit = min(limit, w.reportedAt+maxRepeatReportAge+repeatSendTime-now)
	}
	return max(limit, time.Millisecond)
}

// mayOrderStart reports whether a start order for a recorded run may be sent now.
func (s *Scheduler) mayOrderStart(t *task, now time.Duration) bool {
	if t.startAttempts == 0 {
		return s.mayStart(t, now)
	}
	return s.mayRepeatStart(t, now)
}

// mayStart reports whether the first start order for a recorded run may be sent. If the worker may no longer get new runs, or the account exceeds
// its maximum, it releases the run, and that of a gang's member with its gang.
func (s *Scheduler) mayStart(t *task, now time.Duration) bool {
	if t.step.Gang {
		return s.gangStartable(t, now)
	}
	if !s.startable(t, now) {
		s.config.EventLog.RunDropped(t.ref, t.attempt, t.workerID(), "worker is not schedulable")
		t.release()
		return false
	}
	if t.exceedsMaximum() {
		s.releaseUnstarted(t)
		return false
	}
	return true
}

// mayRepeatStart reports whether a start order without answer may be sent again. The run may exist, so it is not released: if its worker
// may not have the run any more, the run is stopped, and while the worker does not report, the order waits, since the worker may have
// restarted. While the account exceeds its maximum, the order is not repeated: the next report tells whether the run exists, and if it does not,
// the run is stopped.
func (s *Scheduler) mayRepeatStart(t *task, now time.Duration) bool {
	w := t.worker
	if w.entry.Draining || s.closedTo(t, w) || !s.suits(t, now) {
		s.stopTask(t, stopUnconfirmed)
		return false
	}
	if w.renewalFailures > 0 || w.entryOutdated() || now-w.reportedAt > maxRepeatReportAge {
		t.retryAt = now + orderRetry
		return false
	}
	if !t.listed() && t.exceedsMaximum() {
		if w.reportedAt > t.retryAt {
			s.stopTask(t, stopUnconfirmed)
		}
		return false
	}
	return true
}

// startable reports whether a recorded run may be started for the first time: since it was placed, its worker may have begun to drain or
// changed.
func (s *Scheduler) startable(t *task, now time.Duration) bool {
	return s.mayGet(t.worker, t, now) && s.suits(t, now)
}

// suits reports whether the task's worker, as it is now, may have the run: its label and capacity may have changed since it was placed.
func (s *Scheduler) suits(t *task, now time.Duration) bool {
	entry := &t.worker.entry
	free := entry.Capacity.Minus(t.worker.load.used)
	return entry.HasLabel(t.step.Label) && s.permitted(t, entry.ID, now) && !free.ExceededBy(t.step.Reserved())
}

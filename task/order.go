package task

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// OrderKind is the kind of an order; orders with a lower value are sent first.
type OrderKind int

// The kinds of orders.
const (
	OrderStop OrderKind = iota
	OrderThrottle
	OrderCheckpoint
	OrderStart
	OrderRenew
	OrderQuarantine
)

// Order is a call to the platform, or a request to quarantine a worker.
type Order struct {
	Kind    OrderKind
	Lease   acaciatally.TaskLease // of a start; other orders use only its task, attempt, worker and expiry
	Share   float64               // of the processors that a throttled attempt may use, 0 to 1; 0 pauses it
	Reason  string
	urgency acaciatally.Urgency
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	Err   error
}

// orderRetryDelay is the wait after a failed order, so that failing orders do not use up the platform's budget of calls.
const orderRetryDelay = time.Second

// Orders returns up to limit orders that follow from the written rows, sorted by kind and urgency.
func (s *Scheduler) Orders(now time.Time, limit int) (orders []Order) {
	usage := s.sumUsage((*job).maxUsage)
	for _, j := range s.sortedLive() {
		if order, found := s.nextOrder(j, usage, now); found {
			order.urgency = j.record.Spec.Urgency
			orders = append(orders, order)
		}
	}
	orders = append(orders, s.quarantineOrders()...)
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.Lease.Worker, b.Lease.Worker),
		)
	})
	return orders[:min(limit, len(orders))]
}

func (s *Scheduler) sortedLive() (live []*job) {
	for _, j := range s.live {
		live = append(live, j)
	}
	slices.SortFunc(live, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.record.Spec.Urgency, b.record.Spec.Urgency), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	return live
}

func (s *Scheduler) quarantineOrders() (orders []Order) {
	for id, worker := range s.workers {
		if worker.quarantined && !worker.quarantineOrdered {
			reason := fmt.Sprintf("failed tasks of %d teams in a row without success", worker.failedTeamCount())
			orders = append(orders, Order{Kind: OrderQuarantine, Lease: acaciatally.TaskLease{Worker: id}, Reason: reason})
		}
	}
	return orders
}

// workerUsage is a worker's capacity and what its attempts use of it.
type workerUsage struct {
	capacity acaciatally.Resources
	inUse    acaciatally.Resources
}

// sumUsage adds up the usage of the started attempts on each worker, as given by measure.
func (s *Scheduler) sumUsage(measure func(j *job) acaciatally.Resources) map[acaciatally.InstanceID]*workerUsage {
	totals := map[acaciatally.InstanceID]*workerUsage{}
	for id, worker := range s.workers {
		totals[id] = &workerUsage{capacity: worker.worker.Capacity}
	}
	for _, j := range s.sortedLive() {
		if total, found := totals[j.record.Worker]; found && j.mayBeRunning() {
			total.inUse = add(total.inUse, measure(j))
		}
	}
	return totals
}

func (s *Scheduler) nextOrder(j *job, usage map[acaciatally.InstanceID]*workerUsage, now time.Time) (order Order, found bool) {
	a := &j.attempt
	if now.Before(a.nextOrderAt) || !a.endedAt.IsZero() || a.stopped {
		return order, false
	}
	switch j.record.Phase {
	case Cancelled:
		return j.newOrder(OrderStop), true
	case Vacating:
		order, found = s.vacateOrder(j, now)
	case Placed:
		order, found = s.placedOrder(j, usage, now)
	}
	if !found && s.renewalDue(j, now) {
		return s.renewOrder(j, now), true
	}
	return order, found
}

// renewalDue reports whether the lease has to be renewed; the lease of an attempt without reports is left to expire.
func (s *Scheduler) renewalDue(j *job, now time.Time) bool {
	a := &j.attempt
	return j.mayBeRunning() && !now.Before(a.renewAt) && now.Sub(a.lastContactAt) < s.config.LeaseTerm+s.config.MaxReportLag
}

func (s *Scheduler) renewOrder(j *job, now time.Time) Order {
	order := j.newOrder(OrderRenew)
	order.Lease.Expires = now.Add(s.config.LeaseTerm)
	return order
}

func (j *job) newOrder(kind OrderKind) Order {
	return Order{Kind: kind, Lease: acaciatally.TaskLease{
		Task: j.record.Spec.ID, Attempt: j.record.Attempt, Worker: j.record.Worker, Resources: j.record.Granted,
		Command: j.record.Spec.Command, Checkpoint: j.record.Checkpoint, Expires: j.record.StartBy,
	}}
}

func (s *Scheduler) placedOrder(j *job, usage map[acaciatally.InstanceID]*workerUsage, now time.Time) (order Order, found bool) {
	a := &j.attempt
	if !a.startConfirmed {
		return s.startOrder(j, usage, now)
	}
	if a.targetShare != a.appliedShare || a.shareUncertain {
		order = j.newOrder(OrderThrottle)
		order.Share = a.targetShare
		return order, true
	}
	if j.next == nil && j.record.Spec.Checkpoints && j.record.Spec.Idempotent && now.Sub(a.checkpointOrderedAt) >= s.config.CheckpointInterval {
		return j.newOrder(OrderCheckpoint), true
	}
	return order, false
}

// startOrder returns the start order once the tasks that were preempted for it have freed their resources.
func (s *Scheduler) startOrder(j *job, usage map[acaciatally.InstanceID]*workerUsage, now time.Time) (order Order, found bool) {
	if !now.Before(j.record.StartBy) || j.next != nil {
		return order, false
	}
	use := usage[j.record.Worker]
	if !j.attempt.mayHaveStarted {
		serving := s.worker(j.record.Worker).worker.State == Serving
		if !serving || !canStart(j.record.Granted, subtract(use.capacity, use.inUse)) {
			return order, false
		}
		use.inUse = add(use.inUse, j.record.Granted)
	}
	return j.newOrder(OrderStart), true
}

// canStart reports whether an attempt fits into the free resources. Processors may be short by estimateMargin, which each amount
// includes, since waiting for the last of them delays a start by more than it saves.
func canStart(granted, free acaciatally.Resources) bool {
	granted.Processors /= 1 + estimateMargin
	return fits(granted, free)
}

// vacateOrder returns the next order that vacates an attempt: it is paused, writes a checkpoint and is stopped.
func (s *Scheduler) vacateOrder(j *job, now time.Time) (order Order, found bool) {
	a := &j.attempt
	if !j.record.Spec.Checkpoints {
		return j.newOrder(OrderStop), j.record.Spec.Idempotent
	}
	if a.checkpoint != a.previousCheckpoint || (j.record.Spec.Idempotent && !now.Before(a.vacateDeadline)) {
		return j.newOrder(OrderStop), true
	}
	if a.appliedShare != 0 {
		return j.newOrder(OrderThrottle), true
	}
	if a.checkpointOrderedAt.IsZero() {
		return j.newOrder(OrderCheckpoint), true
	}
	return order, false
}

// Renewals returns up to limit renewals of running attempts. They are sent even while the table cannot be reached, since they only keep
// what the rows say. Without them, an outage of the table would end every long task.
func (s *Scheduler) Renewals(now time.Time, limit int) (orders []Order) {
	for _, j := range s.sortedLive() {
		allowed := !now.Before(j.attempt.nextOrderAt) && j.attempt.endedAt.IsZero() && j.record.Phase.Live()
		if len(orders) < limit && allowed && s.renewalDue(j, now) {
			orders = append(orders, s.renewOrder(j, now))
		}
	}
	return orders
}

// ApplyOrderResults processes the results of orders.
func (s *Scheduler) ApplyOrderResults(results []Result, now time.Time) {
	for _, result := range results {
		if result.Order.Kind == OrderQuarantine {
			s.worker(result.Order.Lease.Worker).quarantineOrdered = result.Err == nil
			continue
		}
		j, found := s.live[result.Order.Lease.Task]
		if !found || j.record.Attempt != result.Order.Lease.Attempt {
			continue
		}
		if result.Err != nil {
			s.orderFailed(j, result, now)
			continue
		}
		s.orderSucceeded(j, result.Order, now)
	}
}

func (s *Scheduler) orderSucceeded(j *job, order Order, now time.Time) {
	a := &j.attempt
	a.lastContactAt = now
	switch order.Kind {
	case OrderStart:
		a.startConfirmed, a.mayHaveStarted = true, true
	case OrderRenew:
		a.startConfirmed = true
		a.latestLeaseEnd = laterTime(a.latestLeaseEnd, order.Lease.Expires)
		a.renewAt = order.Lease.Expires.Add(-s.config.LeaseTerm / 2)
	case OrderThrottle:
		a.appliedShare, a.shareUncertain = order.Share, false
		a.wasThrottled = a.wasThrottled || order.Share < 1
	case OrderCheckpoint:
		a.previousCheckpoint, a.checkpointOrderedAt = a.checkpoint, now
	case OrderStop:
		a.stopped, a.endedAt = true, now
		if j.record.Phase.Ended() {
			delete(s.live, j.record.Spec.ID)
		}
	}
}

func (s *Scheduler) orderFailed(j *job, result Result, now time.Time) {
	a := &j.attempt
	a.nextOrderAt = now.Add(orderRetryDelay)
	kind := result.Order.Kind
	switch {
	case errors.Is(result.Err, acaciatally.ErrUnavailable):
	case errors.Is(result.Err, acaciatally.ErrRejected) && kind == OrderStart:
		s.worker(j.record.Worker).rejectedAt = now
		a.stopped = true
		if j.record.Phase == Placed {
			s.propose(j, j.record.requeued(now, fmt.Sprintf("%s rejected attempt %d", j.record.Worker, j.record.Attempt)))
		}
	case errors.Is(result.Err, acaciatally.ErrLeaseExpired):
		if kind != OrderStart {
			a.endedAt = now
		}
	default:
		a.mayHaveStarted = true
		a.shareUncertain = a.shareUncertain || kind == OrderThrottle
		if kind == OrderRenew {
			a.latestLeaseEnd = laterTime(a.latestLeaseEnd, result.Order.Lease.Expires)
		}
	}
}

package task

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// OrderKind is what an order asks of the platform; a lower value is more pressing.
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

// Order is a call to the platform, or the wish to have a worker quarantined.
type Order struct {
	Kind    OrderKind
	Lease   acaciatally.TaskLease // of a start; the others use its task, attempt, worker and expiry
	Share   float64
	Reason  string
	urgency acaciatally.Urgency
}

// Result is what became of an order.
type Result struct {
	Order Order
	Err   error
}

// orderRetry keeps failing orders from using up the platform's budget.
const orderRetry = time.Second

// Orders returns up to limit orders that follow from the saved rows, the most pressing ones first.
func (m *Machine) Orders(now time.Time, limit int) (orders []Order) {
	loads := m.loads((*job).takes)
	for _, j := range m.sortedLive() {
		if order, found := m.nextOrder(j, loads, now); found {
			order.urgency = j.record.Spec.Urgency
			orders = append(orders, order)
		}
	}
	orders = append(orders, m.quarantines()...)
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Or(
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.Lease.Worker, b.Lease.Worker),
		)
	})
	return orders[:min(limit, len(orders))]
}

func (m *Machine) sortedLive() (live []*job) {
	for _, j := range m.live {
		live = append(live, j)
	}
	slices.SortFunc(live, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.record.Spec.Urgency, b.record.Spec.Urgency), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	return live
}

func (m *Machine) quarantines() (orders []Order) {
	for id, worker := range m.workers {
		if worker.quarantined && !worker.announced {
			reason := fmt.Sprintf("failed tasks of %d teams in a row without success", worker.teams())
			orders = append(orders, Order{Kind: OrderQuarantine, Lease: acaciatally.TaskLease{Worker: id}, Reason: reason})
		}
	}
	return orders
}

// load is what the attempts on a worker take.
type load struct {
	capacity acaciatally.Resources
	used     acaciatally.Resources
}

// loads sums up what the started attempts take by the measure.
func (m *Machine) loads(measure func(j *job) acaciatally.Resources) map[acaciatally.InstanceID]*load {
	loads := map[acaciatally.InstanceID]*load{}
	for id, worker := range m.workers {
		loads[id] = &load{capacity: worker.worker.Capacity}
	}
	for _, j := range m.sortedLive() {
		if at, found := loads[j.record.Worker]; found && j.began() {
			at.used = plus(at.used, measure(j))
		}
	}
	return loads
}

func (m *Machine) nextOrder(j *job, loads map[acaciatally.InstanceID]*load, now time.Time) (order Order, found bool) {
	a := &j.attempt
	if now.Before(a.orderAt) || !a.over.IsZero() || a.stopped {
		return order, false
	}
	switch j.record.Phase {
	case Cancelled:
		return j.order(OrderStop), true
	case Vacating:
		order, found = m.vacateOrder(j, now)
	case Placed:
		order, found = m.placedOrder(j, loads, now)
	}
	if !found && m.renewalDue(j, now) {
		return m.renewal(j, now), true
	}
	return order, found
}

// renewalDue reports whether the lease is to be extended; an attempt of which nothing is heard is left to lapse.
func (m *Machine) renewalDue(j *job, now time.Time) bool {
	a := &j.attempt
	return j.began() && !now.Before(a.renewAt) && now.Sub(a.heardAt) < m.config.Term+m.config.ReportGrace
}

func (m *Machine) renewal(j *job, now time.Time) Order {
	order := j.order(OrderRenew)
	order.Lease.Expires = now.Add(m.config.Term)
	return order
}

func (j *job) order(kind OrderKind) Order {
	return Order{Kind: kind, Lease: acaciatally.TaskLease{
		Task: j.record.Spec.ID, Attempt: j.record.Attempt, Worker: j.record.Worker, Resources: j.record.Granted,
		Command: j.record.Spec.Command, Checkpoint: j.record.Checkpoint, Expires: j.record.StartBy,
	}}
}

func (m *Machine) placedOrder(j *job, loads map[acaciatally.InstanceID]*load, now time.Time) (order Order, found bool) {
	a := &j.attempt
	if !a.confirmed {
		return m.startOrder(j, loads, now)
	}
	if a.want != a.share || a.unsure {
		order = j.order(OrderThrottle)
		order.Share = a.want
		return order, true
	}
	if j.next == nil && j.record.Spec.Checkpoints && j.record.Spec.Idempotent && now.Sub(a.askedAt) >= m.config.CheckpointEvery {
		return j.order(OrderCheckpoint), true
	}
	return order, false
}

// startOrder holds the start back until the tasks that make room have done so.
func (m *Machine) startOrder(j *job, loads map[acaciatally.InstanceID]*load, now time.Time) (order Order, found bool) {
	if !now.Before(j.record.StartBy) || j.next != nil {
		return order, false
	}
	at := loads[j.record.Worker]
	if !j.attempt.maybe {
		serving := m.worker(j.record.Worker).worker.State == Serving
		if !serving || !roomFor(j.record.Granted, minus(at.capacity, at.used)) {
			return order, false
		}
		at.used = plus(at.used, j.record.Granted)
	}
	return j.order(OrderStart), true
}

// roomFor reports whether an attempt may be started. Processors may be short by the margin that is in each amount, since a start that
// waits for the last of them delays more than it saves.
func roomFor(granted, free acaciatally.Resources) bool {
	granted.Processors /= 1 + margin
	return fits(granted, free)
}

// vacateOrder pauses the attempt, has it write a checkpoint and stops it.
func (m *Machine) vacateOrder(j *job, now time.Time) (order Order, found bool) {
	a := &j.attempt
	if !j.record.Spec.Checkpoints {
		return j.order(OrderStop), j.record.Spec.Idempotent
	}
	if a.checkpoint != a.before || (j.record.Spec.Idempotent && !now.Before(a.vacateBy)) {
		return j.order(OrderStop), true
	}
	if a.share != 0 {
		return j.order(OrderThrottle), true
	}
	if a.askedAt.IsZero() {
		return j.order(OrderCheckpoint), true
	}
	return order, false
}

// Renewals returns up to limit renewals of running attempts, which go on while the table cannot be reached: they only keep what
// the rows say. Losing them would end every long task in an outage of the table.
func (m *Machine) Renewals(now time.Time, limit int) (orders []Order) {
	for _, j := range m.sortedLive() {
		allowed := !now.Before(j.attempt.orderAt) && j.attempt.over.IsZero() && j.record.Phase.Live()
		if len(orders) < limit && allowed && m.renewalDue(j, now) {
			orders = append(orders, m.renewal(j, now))
		}
	}
	return orders
}

// Ordered tells the machine what became of orders.
func (m *Machine) Ordered(results []Result, now time.Time) {
	for _, result := range results {
		if result.Order.Kind == OrderQuarantine {
			m.worker(result.Order.Lease.Worker).announced = result.Err == nil
			continue
		}
		j, found := m.live[result.Order.Lease.Task]
		if !found || j.record.Attempt != result.Order.Lease.Attempt {
			continue
		}
		if result.Err != nil {
			m.refused(j, result, now)
			continue
		}
		m.accepted(j, result.Order, now)
	}
}

func (m *Machine) accepted(j *job, order Order, now time.Time) {
	a := &j.attempt
	a.heardAt = now
	switch order.Kind {
	case OrderStart:
		a.confirmed, a.maybe = true, true
	case OrderRenew:
		a.confirmed = true
		a.endsBy = laterOf(a.endsBy, order.Lease.Expires)
		a.renewAt = order.Lease.Expires.Add(-m.config.Term / 2)
	case OrderThrottle:
		a.share, a.unsure = order.Share, false
		a.throttled = a.throttled || order.Share < 1
	case OrderCheckpoint:
		a.before, a.askedAt = a.checkpoint, now
	case OrderStop:
		a.stopped, a.over = true, now
		if j.record.Phase.Ended() {
			delete(m.live, j.record.Spec.ID)
		}
	}
}

func (m *Machine) refused(j *job, result Result, now time.Time) {
	a := &j.attempt
	a.orderAt = now.Add(orderRetry)
	kind := result.Order.Kind
	switch {
	case errors.Is(result.Err, acaciatally.ErrUnavailable):
	case errors.Is(result.Err, acaciatally.ErrRejected) && kind == OrderStart:
		m.worker(j.record.Worker).refusedAt = now
		a.stopped = true
		if j.record.Phase == Placed {
			m.propose(j, j.record.freed(now, fmt.Sprintf("%s rejected attempt %d", j.record.Worker, j.record.Attempt)))
		}
	case errors.Is(result.Err, acaciatally.ErrLeaseExpired):
		if kind != OrderStart {
			a.over = now
		}
	default:
		a.maybe = true
		a.unsure = a.unsure || kind == OrderThrottle
		if kind == OrderRenew {
			a.endsBy = laterOf(a.endsBy, result.Order.Lease.Expires)
		}
	}
}

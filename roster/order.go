package roster

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
)

// Order is an order to the instance control to move or maintain an instance.
type Order struct {
	Instance  acaciatally.InstanceID
	Lease     acaciatally.FleetLease
	Maintain  bool
	Wave      int
	To        acaciatally.PoolName
	operation *operation
}

// Orders returns the orders to send now, for the operations whose workers are drained, oldest first. A maintenance is ordered only once the stored
// progress of its wave names the instance, so that the next leader knows of an order that is executed late. Only few orders are in flight at a
// time: more would queue at the instance control until they time out, and their outcomes would be unknown.
func (r *Roster) Orders(scheduler *dispatch.Scheduler, now time.Duration) (orders []Order) {
	inFlight := 0
	var due []acaciatally.InstanceID
	for id, op := range r.operations {
		if op.inFlight {
			inFlight++
		} else if r.orderDue(id, op, scheduler, now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b acaciatally.InstanceID) int {
		return cmp.Or(cmp.Compare(r.operations[a].fence, r.operations[b].fence), cmp.Compare(a, b))
	})
	for _, id := range due[:max(0, min(len(due), maxOrdersInFlight-inFlight))] {
		if !r.limiter.AllowN(time.Unix(0, int64(now)), 1) {
			break
		}
		orders = append(orders, r.order(id))
	}
	return orders
}

// newLimiter returns the rate limiter of the orders. Its burst keeps the interval between two plans from lowering the rate.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(rateShare*perSecond), max(1, int(perSecond*burstInterval.Seconds())))
}

// orderDue reports whether the order for an instance may be sent now.
func (r *Roster) orderDue(id acaciatally.InstanceID, op *operation, scheduler *dispatch.Scheduler, now time.Duration) bool {
	if op.done || now < op.retryAt || op.purpose == purposeMaintenance && !op.recorded {
		return false
	}
	if op.outcomeUnknown && !op.inherited {
		return true
	}
	instance := r.instances[id]
	if !op.draining || instance.Worker != op.drainedWorker {
		return false // the worker may still get tasks
	}
	w := scheduler.Worker(instance.Worker, now)
	drained := instance.Worker == "" || (w.Reported && w.Runs == 0)
	return drained && instance.State == acaciatally.InstanceUp
}

func (r *Roster) order(id acaciatally.InstanceID) Order {
	op := r.operations[id]
	op.inFlight, op.inherited = true, false
	if !op.ordered {
		op.ordered, op.oldWorker = true, r.instances[id].Worker
	}
	return Order{
		Instance: id, Maintain: op.purpose == purposeMaintenance, Wave: op.wave, To: op.to, operation: op,
		Lease: acaciatally.FleetLease{Holder: r.config.Holder, Fence: op.fence},
	}
}

// OrderFinished handles the result of an order; resign is true when the order was rejected because a newer leader has ordered the instance.
func (r *Roster) OrderFinished(scheduler *dispatch.Scheduler, order Order, err error, now time.Duration) (resign bool) {
	op := order.operation
	op.inFlight = false
	r.config.EventLog.InstanceOrdered(order.Instance, op.String(), err)
	var rejected *acaciatally.OrderRejectedError
	var busy *acaciatally.InstanceBusyError
	switch {
	case err == nil:
		op.done, op.doneAt = true, now
		// The instance's current worker may be a new one, if an earlier order with unknown outcome was executed.
		scheduler.InstanceRemoved(op.oldWorker, now)
		if w := r.waves[order.Wave]; order.Maintain && w != nil {
			w.finished[order.Instance] = true
			w.progressStored = false
			r.config.EventLog.WaveChanged(order.Wave, w.remaining(), false)
		}
	case errors.As(err, &rejected):
		delete(r.operations, order.Instance)
		return rejected.Reason == acaciatally.RejectFence
	case errors.As(err, &busy):
		if !op.outcomeUnknown {
			delete(r.operations, order.Instance)
		}
		op.retryAt = now + orderRetryDelay
	default:
		op.outcomeUnknown = op.outcomeUnknown || errors.Is(err, acaciatally.ErrUnknownOutcome)
		op.retryAt = now + orderRetryDelay
	}
	return false
}

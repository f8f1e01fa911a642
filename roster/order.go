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

func (w *wave) remaining() (count int) {
	for _, id := range w.request.Instances {
		if !w.finished[id] {
			count++
		}
	}
	return count
}

// WaveRecord is the stored progress of a wave.
type WaveRecord struct {
	Number    int
	Begun     []acaciatally.InstanceID // their maintenance may have been ordered and is not known to be finished
	Finished  []acaciatally.InstanceID
	Completed bool
}

// UnsavedWaves returns the progress of the waves whose stored record is out of date.
func (r *Roster) UnsavedWaves() (records []WaveRecord) {
	for number, w := range r.waves {
		completed := r.listed && r.complete(w)
		begun, recorded := r.begun(number)
		if recorded && w.progressStored && (w.completionStored || !completed) {
			continue
		}
		record := WaveRecord{Number: number, Begun: begun, Completed: completed}
		for id := range w.finished {
			record.Finished = append(record.Finished, id)
		}
		records = append(records, record)
	}
	return records
}

// begun returns the instances whose maintenance in a wave is planned and not done, and whether the stored record of the wave names all of them.
func (r *Roster) begun(number int) (list []acaciatally.InstanceID, recorded bool) {
	recorded = true
	for id, op := range r.operations {
		if op.purpose == purposeMaintenance && op.wave == number && !op.done {
			list = append(list, id)
			recorded = recorded && op.recorded
		}
	}
	return list, recorded
}

// complete reports whether the maintenance of all instances of the wave that still exist is finished.
func (r *Roster) complete(w *wave) bool {
	for _, id := range w.request.Instances {
		if _, exists := r.instances[id]; exists && !w.finished[id] {
			return false
		}
	}
	return true
}

// WaveSaved marks a record as stored.
func (r *Roster) WaveSaved(record WaveRecord) {
	w := r.waves[record.Number]
	if w == nil {
		return
	}
	for _, id := range record.Begun {
		if op := r.operations[id]; op != nil && op.purpose == purposeMaintenance && op.wave == record.Number {
			op.recorded = true
		}
	}
	w.progressStored = len(w.finished) == len(record.Finished)
	if record.Completed && !w.completionStored {
		w.completionStored = true
		r.config.EventLog.WaveChanged(record.Number, 0, true)
	}
}

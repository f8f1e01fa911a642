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

// Order is a call to the instance control.
type Order struct {
	Instance acaciatally.InstanceID
	Lease    acaciatally.FleetLease
	Maintain bool
	Wave     int
	To       acaciatally.PoolName
	todo     *intent
}

// Orders returns the orders to send now: those on instances whose workers are empty, the longest planned first, few at once. More at
// once would wait for each other until their time is over, and their outcomes would be unknown.
func (r *Roster) Orders(m *dispatch.Machine, now time.Duration) (orders []Order) {
	sending := 0
	var due []acaciatally.InstanceID
	for id, todo := range r.intents {
		if todo.sending {
			sending++
		} else if r.due(id, todo, m, now) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b acaciatally.InstanceID) int {
		return cmp.Or(cmp.Compare(r.intents[a].fence, r.intents[b].fence), cmp.Compare(a, b))
	})
	for _, id := range due[:max(0, min(len(due), ordersAtOnce-sending))] {
		if !r.pace.AllowN(time.Unix(0, int64(now)), 1) {
			break
		}
		orders = append(orders, r.order(id))
	}
	return orders
}

// newPace returns the limit on orders a second; what is left over are the repetitions of earlier leaders' orders. The burst keeps a pause
// between two plans from lowering the rate.
func newPace(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(ownShare*perSecond), max(1, int(perSecond*burstTime.Seconds())))
}

// due reports whether the order on an instance may be sent now.
func (r *Roster) due(id acaciatally.InstanceID, todo *intent, m *dispatch.Machine, now time.Duration) bool {
	if todo.done || now < todo.retryAt {
		return false
	}
	if todo.unsure {
		return true
	}
	instance := r.instances[id]
	w := m.Worker(instance.Worker, now)
	empty := instance.Worker == "" || (w.Known && w.Runs == 0)
	return empty && instance.State == acaciatally.InstanceUp
}

func (r *Roster) order(id acaciatally.InstanceID) Order {
	todo := r.intents[id]
	todo.sending = true
	if !todo.sent {
		todo.sent, todo.lastLife = true, r.instances[id].Worker
	}
	return Order{
		Instance: id, Maintain: todo.purpose == toMaintain, Wave: todo.wave, To: todo.to, todo: todo,
		Lease: acaciatally.FleetLease{Holder: r.config.Holder, Fence: todo.fence},
	}
}

// Ordered takes in the result of an order; resign means that another holder has ordered the instance.
func (r *Roster) Ordered(m *dispatch.Machine, order Order, err error, now time.Duration) (resign bool) {
	todo := order.todo
	todo.sending = false
	r.config.Journal.InstanceOrdered(order.Instance, todo.String(), err)
	var rejected *acaciatally.OrderRejectedError
	var busy *acaciatally.InstanceBusyError
	switch {
	case err == nil:
		todo.done, todo.doneAt = true, now
		m.Removed(todo.lastLife, now) // not the present worker, which an earlier order without an answer may have brought
		if w := r.waves[order.Wave]; order.Maintain && w != nil {
			w.finished[order.Instance] = true
			w.saved = false
			r.config.Journal.WaveChanged(order.Wave, w.left(), false)
		}
	case errors.As(err, &rejected):
		delete(r.intents, order.Instance)
		return rejected.Reason == acaciatally.RejectFence
	case errors.As(err, &busy):
		if !todo.unsure {
			delete(r.intents, order.Instance)
		}
		todo.retryAt = now + orderRetry
	default:
		todo.unsure = todo.unsure || errors.Is(err, acaciatally.ErrNoAnswer)
		todo.retryAt = now + orderRetry
	}
	return false
}

func (w *wave) left() (count int) {
	for _, id := range w.request.Instances {
		if !w.finished[id] {
			count++
		}
	}
	return count
}

// WaveRecord is what is to be recorded of a wave.
type WaveRecord struct {
	Number    int
	Finished  []acaciatally.InstanceID
	Completed bool
}

// Records returns the waves whose record is out of date.
func (r *Roster) Records() (records []WaveRecord) {
	for number, w := range r.waves {
		completed := r.listed && r.complete(w)
		if w.saved && (w.told || !completed) {
			continue
		}
		record := WaveRecord{Number: number, Completed: completed}
		for id := range w.finished {
			record.Finished = append(record.Finished, id)
		}
		records = append(records, record)
	}
	return records
}

// complete reports whether all instances of the wave that still exist have had their maintenance.
func (r *Roster) complete(w *wave) bool {
	for _, id := range w.request.Instances {
		if _, exists := r.instances[id]; exists && !w.finished[id] {
			return false
		}
	}
	return true
}

// Recorded takes in that a record was written.
func (r *Roster) Recorded(record WaveRecord) {
	w := r.waves[record.Number]
	if w == nil {
		return
	}
	w.saved = len(w.finished) == len(record.Finished)
	if record.Completed && !w.told {
		w.told = true
		r.config.Journal.WaveChanged(record.Number, 0, true)
	}
}

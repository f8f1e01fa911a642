package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// leastRenewGap bounds the renewals of one worker, each of which may return at once with an end.
	leastRenewGap = 40 * time.Millisecond
	// renewShare is added to the gap for each busy worker, so that all together stay below some thousand renewals a second.
	renewShare = 300 * time.Microsecond
	// renewRetry is the pause after a renewal without effect.
	renewRetry = 200 * time.Millisecond
	// settleWait is how long a renewal waits for the ends of the last report to be recorded.
	settleWait = 300 * time.Millisecond
	// busyWait lets a renewal of a worker with runs show their progress about once a second.
	busyWait = 900 * time.Millisecond
	// idleWait is for workers without runs.
	idleWait = 2 * time.Second
)

// Renewal is a renewal to be sent to a worker.
type Renewal struct {
	Worker acaciatally.Worker
	Order  acaciatally.RenewOrder
}

// Renewals returns the renewals that are to be sent now, at most one for each worker at a time.
func (m *Machine) Renewals(now time.Duration) (renewals []Renewal) {
	m.busy = 0
	for _, w := range m.workers {
		if len(w.runs) > 0 {
			m.busy++
		}
		if w.gone || w.renewing || now < w.renewAt || !w.entry.Address.IsValid() {
			continue
		}
		if len(w.ends) > 0 && now < w.clockAt+settleWait {
			continue
		}
		w.renewing = true
		renewals = append(renewals, Renewal{Worker: w.entry, Order: acaciatally.RenewOrder{
			Fence: m.fence(w), LeaseUntil: m.extend(w, now), Acknowledged: w.acknowledges(), Wait: w.patience(),
		}})
	}
	return renewals
}

// renewGap returns the least time between two renewals of one worker.
func (m *Machine) renewGap() time.Duration {
	return leastRenewGap + time.Duration(m.busy)*renewShare
}

// acknowledges returns the number up to which the worker may forget its ends. It is sent only for ends that the last report has listed: a
// worker that has started again meanwhile counts from one, and would forget ends of its new life that nobody has seen.
func (w *worker) acknowledges() uint64 {
	if w.failures > 0 || !w.listsEnds {
		return 0
	}
	return w.acked
}

// patience is how long the answer to a renewal may wait; the first one is wanted at once.
func (w *worker) patience() time.Duration {
	switch {
	case !w.known || w.failures > 0 || len(w.orphans) > 0:
		return 0
	case len(w.runs) > 0:
		return busyWait
	}
	return idleWait
}

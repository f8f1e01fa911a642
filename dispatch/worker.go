package dispatch

import (
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// slowestClock is the rate of the slowest clock of a worker.
	slowestClock = 0.98
	// lapseMargin covers the delivery of the last renewal and the resolution of the clocks.
	lapseMargin = 250 * time.Millisecond
	// fenceShift leaves room for raising a worker's fencing token within one tenure.
	fenceShift = 20
	// contactLimit is how long a worker without a fresh report still gets new runs.
	contactLimit = 3500 * time.Millisecond
)

// worker is what is known of one worker.
type worker struct {
	listed    bool // the directory names it now
	entry     acaciatally.Worker
	born      time.Time     // as its own reports say
	rebornAt  time.Duration // when this leader learned of its new life; 0 if it has had only one
	fenceBump uint64
	clock     time.Duration // of the last report
	clockAt   time.Duration // when that report was received
	known     bool          // it has reported under this tenure's fencing token
	until     time.Duration // latest end of its lease, on its clock
	failures  int           // renewals without answer since the last report
	gone      bool          // its life is surely over
	ends      []endState    // listed and not yet acknowledged, by number
	acked     uint64
	listsEnds bool            // the last report had ends
	orphans   map[runKey]bool // listed runs of no known task
	stopping  map[runKey]bool // stops of orphans on their way
	runs      map[*task]bool  // assigned tasks
	load      load            // of the assigned tasks
	health    health
	pacedAt   time.Duration // when the pace of its runs was last changed
	idleSince time.Duration // when a run was last seen on it
	renewing  bool          // a renewal is on its way
	renewAt   time.Duration // when the next one may be sent
}

// load is what assigned tasks take of a worker.
type load struct {
	used    acaciatally.Room
	runs    int
	lasting int
	serving int // with an objective on their response time
	filling int // that use what others leave
}

// add counts tasks of a step in, or out with a negative count.
func (l *load) add(step *acaciatally.Step, count int) {
	takes := step.Takes()
	l.used = l.used.Plus(acaciatally.Room{
		Processors: count * takes.Processors, Memory: count * takes.Memory, Accelerators: count * takes.Accelerators,
	})
	l.runs += count
	if step.Lasting {
		l.lasting += count
	}
	if step.TailObjective > 0 {
		l.serving += count
	}
	if step.Backfill {
		l.filling += count
	}
}

type endState struct {
	number  uint64
	settled bool // its effect is recorded
}

type runKey struct {
	task    acaciatally.TaskRef
	attempt int
}

type stepKey struct {
	job        acaciatally.JobID
	occurrence int
	step       int
}

func (t *task) stepKey() stepKey { return stepKey{t.ref.Job, t.ref.Occurrence, t.ref.Step} }

func (t *task) runKey() runKey { return runKey{t.ref, t.attempt} }

// SetDirectory replaces the list of workers.
func (m *Machine) SetDirectory(list []acaciatally.Worker, now time.Duration) {
	named := map[acaciatally.WorkerID]bool{}
	for _, entry := range list {
		named[entry.ID] = true
		w := m.workers[entry.ID]
		if w == nil {
			w = m.worker(entry.ID)
			w.entry, w.idleSince = entry, now
			m.config.Journal.WorkerChanged(entry.ID, entry.Pool, "listed", 0)
		}
		m.update(w, entry, now)
	}
	for id, w := range m.workers {
		if !named[id] && w.listed {
			w.listed = false
			m.config.Journal.WorkerChanged(id, w.entry.Pool, "not listed", now-w.clockAt)
		}
		if !w.listed && (w.gone || len(w.runs) == 0) {
			m.lose(w, "left the directory", now)
			delete(m.workers, id)
		}
	}
	m.supersede(now)
}

// worker returns the worker of the id; one that is only known from a record has no address yet.
func (m *Machine) worker(id acaciatally.WorkerID) *worker {
	w := m.workers[id]
	if w == nil {
		w = &worker{
			entry: acaciatally.Worker{ID: id}, orphans: map[runKey]bool{}, stopping: map[runKey]bool{},
			runs: map[*task]bool{}, fenceBump: m.bumps,
		}
		m.workers[id] = w
	}
	return w
}

func (m *Machine) update(w *worker, entry acaciatally.Worker, now time.Duration) {
	if !w.listed || w.entry.Draining != entry.Draining {
		belief := "ready"
		if entry.Draining {
			belief = "draining"
		}
		m.config.Journal.WorkerChanged(entry.ID, entry.Pool, belief, now-w.clockAt)
	}
	if !entry.Born.IsZero() && !w.entry.Born.IsZero() && entry.Born.After(w.entry.Born) {
		m.reborn(w, entry.Born, now)
	}
	if !w.listed {
		w.gone = false // it was taken for lost while it was not listed
	}
	w.listed, w.entry = true, entry
}

// supersede ends the life of workers whose instance has a younger one.
func (m *Machine) supersede(now time.Duration) {
	youngest := map[acaciatally.InstanceID]*worker{}
	for _, w := range m.workers {
		if w.entry.Instance == "" || w.entry.Born.IsZero() {
			continue
		}
		other := youngest[w.entry.Instance]
		if other == nil || w.entry.Born.After(other.entry.Born) {
			youngest[w.entry.Instance] = w
		}
	}
	for _, w := range m.workers {
		if other := youngest[w.entry.Instance]; other != nil && other != w && !w.gone && w.entry.Born.Before(other.entry.Born) {
			m.lose(w, "a younger worker runs on its instance", now)
		}
	}
}

// reborn takes in that a worker has started again under its id: it holds nothing of before and has seen no fencing token. Its runs are
// kept until it reports, since those that were ordered lately may have begun in the new life.
func (m *Machine) reborn(w *worker, born time.Time, now time.Duration) {
	if !w.born.IsZero() && !born.After(w.born) {
		return
	}
	known := !w.born.IsZero() || w.known
	w.born = born
	if !known {
		return
	}
	m.config.Journal.WorkerChanged(w.entry.ID, w.entry.Pool, "started again", now-w.clockAt)
	m.raiseFence(w)
	w.gone, w.known, w.rebornAt, w.clock, w.clockAt, w.until, w.acked = false, false, now, 0, 0, 0, 0
	w.ends, w.listsEnds, w.health = nil, false, health{}
	w.orphans = map[runKey]bool{}
}

// lose releases all runs of a worker whose life, or whose lease, is surely over.
func (m *Machine) lose(w *worker, reason string, now time.Duration) {
	for t := range w.runs {
		m.config.Journal.RunDropped(t.ref, t.attempt, w.entry.ID, reason)
		t.release()
	}
	if !w.gone {
		m.config.Journal.WorkerChanged(w.entry.ID, w.entry.Pool, reason, now-w.clockAt)
	}
	w.gone = true
	w.ends = nil
	w.orphans = map[runKey]bool{}
}

// clockNow is a lower estimate of the worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration {
	return w.clock + time.Duration(float64(now-w.clockAt)*slowestClock)
}

// lapsed reports whether the worker's lease is surely over.
func (m *Machine) lapsed(w *worker, now time.Duration) bool {
	if w.clockAt == 0 && w.rebornAt > 0 {
		longest := time.Duration(float64(m.config.LongestLease) / slowestClock)
		return now > w.rebornAt+longest+lapseMargin
	}
	if w.clockAt == 0 {
		longest := time.Duration(float64(m.config.WorkerLease) / slowestClock)
		return now > m.config.Began+longest+lapseMargin
	}
	return w.clockNow(now) > w.until+lapseMargin
}

func (m *Machine) fence(w *worker) uint64 {
	return m.config.Epoch<<fenceShift + w.fenceBump
}

// raiseFence makes the worker refuse orders that were sent before; it rises over all workers, so that it never falls on any.
func (m *Machine) raiseFence(w *worker) {
	m.bumps++
	w.fenceBump = m.bumps
}

// extend returns the end of the lease that an order sent now carries, and remembers it. A worker that does not answer gets no longer
// lease, so that there is an end to the time for which its runs may go on.
func (m *Machine) extend(w *worker, now time.Duration) time.Duration {
	if w.clockAt == 0 || w.failures > 0 {
		return w.until
	}
	w.until = max(w.until, w.clockNow(now)+m.config.WorkerLease)
	return w.until
}

// RenewalFailed takes in that a renewal had no effect or no answer.
func (m *Machine) RenewalFailed(id acaciatally.WorkerID, err error, now time.Duration) {
	w := m.workers[id]
	if w == nil {
		return
	}
	w.renewing, w.renewAt = false, now+renewRetry
	if w.gone {
		return
	}
	if errors.Is(err, acaciatally.ErrOtherWorker) {
		m.lose(w, "another worker answers at its address", now)
		return
	}
	w.failures++
	if w.failures == 1 {
		m.config.Journal.WorkerChanged(id, w.entry.Pool, "no answer: "+err.Error(), now-w.clockAt)
	}
}

// expire releases the runs of workers whose lease is surely over.
func (m *Machine) expire(now time.Duration) {
	for _, w := range m.workers {
		if w.gone || !m.lapsed(w, now) {
			continue
		}
		if (w.failures > 0 || w.clockAt == 0) && len(w.runs) > 0 {
			m.lose(w, "its lease has lapsed", now)
			w.gone = !w.listed // a listed one may answer again
			m.raiseFence(w)
		}
	}
}

package dispatch

import (
	"errors"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/speed"
)

const (
	// maxReportAge is the age of a worker's last report at which it stops getting new runs.
	maxReportAge = 3500 * time.Millisecond
	// revivalDelay is how long after a worker was marked lost its heartbeats are ignored, since they may have been sent before.
	revivalDelay = time.Second
)

// worker is the leader's view of one worker. A worker ID has a new incarnation each time the worker process starts.
type worker struct {
	listed            bool               // in the worker directory
	entry             acaciatally.Worker // its record in the worker directory
	startTime         time.Time          // of the current incarnation, as reported by the worker
	restartedAt       time.Duration      // when this leader learned of the last restart; 0 without one
	fenceBump         uint64
	reportClock       time.Duration   // worker's clock in the last report
	reportedAt        time.Duration   // when the last report was received
	reported          bool            // it has answered a renewal with the fencing token of this term of leadership
	leaseUntil        time.Duration   // latest end of its lease, on the worker's clock
	renewalFailures   int             // failed renewals since the last report
	lost              bool            // its incarnation or its lease is considered over
	lostAt            time.Duration   // when it was last marked lost
	unackedEnds       []unackedEnd    // listed by the worker and not acknowledged, by number
	unackedLoggedAt   time.Duration   // when EndsUnacknowledged was last logged
	acknowledged      uint64          // number up to which all listed ends are recorded
	lastReportHadEnds bool            // the last report listed ends
	orphans           map[runKey]bool // reported runs that are not the current run of a known task
	stoppingOrphans   map[runKey]bool // orphans with a stop order in flight
	runs              map[*task]bool  // assigned tasks
	load              load            // of the assigned tasks
	leftovers         map[runKey]leftover
	longLeaseUntil    time.Duration // when the longest lease that a call for the earlier incarnation may have given to this one is over
	knownBefore       bool          // listed, or named by a record, when this term of leadership began
	heardStart        time.Time     // start of the latest incarnation that has reported to this leader; zero without one
	recordedStart     time.Time     // start of the latest incarnation for which an earlier leader has recorded runs; zero without one
	inheritsLongLease bool          // an earlier leader has recorded runs on it while its lease could be the longest
	longLeaseRecorded bool          // the records of runs on it say that its lease may be the longest
	neighbours        *neighbours   // kinds of tasks on it; nil if interference is not observed
	suspectRuns       int           // assigned tasks that are suspected of having crashed workers
	suspects          []suspectRun  // runs that may have crashed the incarnation before, until the first report of this one
	orderDue          bool          // an order about one of its runs may be due; see Scheduler.Orders
	health            health
	heldUntil         time.Duration // until when it takes no work on lent capacity; see reclaimCheck.holdFor
	speed             speed.Worker
	throttledAt       time.Duration // when the CPU share of its runs was last changed
	idleSince         time.Duration // when a run was last seen on it
	renewalInFlight   bool          // a renewal is in flight
	renewalDueAt      time.Duration // when the answer to the renewal in flight is overdue
	renewalSentTo     time.Time     // start time of the incarnation for which the renewal in flight was made; zero if it is not known
	renewalLease      time.Duration // lease end that the renewal in flight names; 0 if it names none
	renewalFence      uint64        // fencing token of the renewal in flight
	nextRenewalAt     time.Duration // when the next renewal may be sent
	// nextLoadingRenewalAt is the same for renewals while jobs are being loaded.
	nextLoadingRenewalAt time.Duration
}

// load is the amount of a worker's capacity that its assigned tasks use.
type load struct {
	used           acaciatally.ResourceVector
	runs           int
	numLongRunning int
	latencyBound   int // tasks with a latency objective
	backfill       int // tasks that use only processors left free by others
}

// add adds count tasks of a step; a negative count removes them.
func (l *load) add(step *acaciatally.Step, count int) {
	reserved := step.Reserved()
	l.used = l.used.Plus(acaciatally.ResourceVector{
		Processors: count * reserved.Processors, Memory: count * reserved.Memory, Accelerators: count * reserved.Accelerators,
	})
	l.runs += count
	if step.LongRunning {
		l.numLongRunning += count
	}
	if step.TailObjective > 0 {
		l.latencyBound += count
	}
	if step.Backfill {
		l.backfill += count
	}
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
func (s *Scheduler) SetDirectory(workers []acaciatally.Worker, now time.Duration) {
	listed := map[acaciatally.WorkerID]bool{}
	for _, entry := range workers {
		listed[entry.ID] = true
		w := s.workers[entry.ID]
		if w == nil {
			w = s.worker(entry.ID)
			w.entry, w.idleSince, w.knownBefore = entry, now, !s.directoryRead
			s.config.EventLog.WorkerChanged(entry.ID, entry.Pool, "listed", 0)
		}
		s.updateEntry(w, entry, now)
	}
	for id, w := range s.workers {
		if !listed[id] && w.listed {
			w.listed = false
			s.config.EventLog.WorkerChanged(id, w.entry.Pool, "not listed", now-w.reportedAt)
		}
		if !w.listed && len(w.leftovers) == 0 && (w.lost || len(w.runs) == 0) {
			s.markLost(w, "removed from the directory", now)
			w.neighbours.discard()
			s.raiseFence(w) // the ID may be listed again, for a new incarnation that must refuse late orders for this one
			delete(s.workers, id)
		}
	}
	s.directoryRead = true
	s.loseSuperseded(now)
}

// worker returns the worker with the ID. A worker that is only known from a job's record has no address yet.
func (s *Scheduler) worker(id acaciatally.WorkerID) *worker {
	w := s.workers[id]
	if w == nil {
		w = &worker{
			entry: acaciatally.Worker{ID: id}, orphans: map[runKey]bool{}, stoppingOrphans: map[runKey]bool{},
			runs: map[*task]bool{}, fenceBump: s.fenceBumps, neighbours: s.interference.newNeighbours(),
		}
		s.workers[id] = w
	}
	return w
}

func (s *Scheduler) updateEntry(w *worker, entry acaciatally.Worker, now time.Duration) {
	if !w.listed || w.entry.Draining != entry.Draining {
		state := "ready"
		if entry.Draining {
			state = "draining"
		}
		s.config.EventLog.WorkerChanged(entry.ID, entry.Pool, state, now-w.reportedAt)
	}
	if !w.entry.StartTime.IsZero() && entry.StartTime.After(w.entry.StartTime) && entry.StartTime.After(w.startTime) {
		s.handleRestart(w, entry.StartTime, now)
	}
	if w.entry.Pool != entry.Pool {
		w.speed = speed.Worker{}
	}
	if !w.listed {
		w.lost = false // it was considered lost while it was not listed
	}
	w.listed, w.entry = true, entry
}

// loseSuperseded marks workers as lost whose instance runs a worker that started later. The later one must have answered this leader, since an
// entry of the directory may name an instance on which nothing runs. A worker that still responds is not superseded.
func (s *Scheduler) loseSuperseded(now time.Duration) {
	newest := map[acaciatally.InstanceID]*worker{}
	for _, w := range s.workers {
		if w.entry.Instance == "" || w.entry.StartTime.IsZero() || !w.reported {
			continue
		}
		other := newest[w.entry.Instance]
		if other == nil || w.entry.StartTime.After(other.entry.StartTime) {
			newest[w.entry.Instance] = w
		}
	}
	for _, w := range s.workers {
		responds := w.listed && w.reported && w.renewalFailures == 0
		if other := newest[w.entry.Instance]; other != nil && !responds && !w.lost && w.entry.StartTime.Before(other.entry.StartTime) {
			s.countCrash(s.suspectsOn(w))
			s.markLost(w, "superseded by a newer worker on its instance", now)
		}
	}
}

// Heartbeats handles that workers have renewed their records in the directory. A worker that was marked lost, such as by an order on its
// instance that an earlier leader had already had executed, is alive if it still sends heartbeats revivalDelay later. It gets runs again
// after its next report.
func (s *Scheduler) Heartbeats(ids []acaciatally.WorkerID, now time.Duration) {
	for _, id := range ids {
		w := s.workers[id]
		if w == nil || !w.lost || !w.listed || now < w.lostAt+revivalDelay || s.superseded(w) {
			continue
		}
		s.config.EventLog.WorkerChanged(id, w.entry.Pool, "alive again: heartbeat received", now-w.reportedAt)
		s.raiseFence(w)
		w.lost, w.reported, w.renewalFailures, w.nextRenewalAt = false, false, 0, now
	}
}

// superseded reports whether the instance of the worker runs a worker that started later and has answered this leader.
func (s *Scheduler) superseded(w *worker) bool {
	for _, other := range s.workers {
		if other.reported && other.entry.Instance == w.entry.Instance && w.entry.Instance != "" && other.entry.StartTime.After(w.entry.StartTime) {
			return true
		}
	}
	return false
}

// entryOutdated reports whether the worker's record in the directory is from before its last restart; its label and capacity may have changed.
func (w *worker) entryOutdated() bool {
	return !w.entry.StartTime.IsZero() && !w.startTime.IsZero() && !w.startTime.Equal(w.entry.StartTime)
}

// handleRestart handles that a worker process has restarted under the same ID: it has no runs from before and has seen no fencing token.
// Its runs are kept until its next report, since runs ordered recently may have started in the new incarnation.
func (s *Scheduler) handleRestart(w *worker, startTime time.Time, now time.Duration) {
	seenBefore := !w.startTime.IsZero() || w.reported || !w.entry.StartTime.IsZero() && !startTime.Equal(w.entry.StartTime)
	w.startTime = startTime
	if !seenBefore {
		return
	}
	s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, "restarted", now-w.reportedAt)
	s.raiseFence(w)
	w.suspects = s.suspectsOn(w)
	w.lost, w.reported, w.restartedAt, w.reportClock, w.reportedAt, w.leaseUntil, w.acknowledged = false, false, now, 0, 0, 0, 0
	w.unackedEnds, w.lastReportHadEnds, w.health, w.speed = nil, false, health{}, speed.Worker{}
	w.orphans = map[runKey]bool{}
	for t := range w.runs {
		t.job.dirty = true // its record does not tell of the restart
		if t.step.Backfill {
			t.cpuShare = unknownCPUShare
		}
	}
}

// markLost releases all runs of a worker whose incarnation or lease is considered over.
func (s *Scheduler) markLost(w *worker, reason string, now time.Duration) {
	for t := range w.runs {
		s.config.EventLog.RunDropped(t.ref, t.attempt, w.entry.ID, reason)
		t.release()
	}
	if !w.lost {
		s.config.EventLog.WorkerChanged(w.entry.ID, w.entry.Pool, reason, now-w.reportedAt)
	}
	w.lost, w.lostAt = true, now
	w.unackedEnds = nil
	w.orphans = map[runKey]bool{}
	w.removeLeftovers()
}

// RenewalFailed handles a renewal that had no effect or no answer.
func (s *Scheduler) RenewalFailed(id acaciatally.WorkerID, err error, now time.Duration) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.renewalInFlight, w.nextRenewalAt = false, now+renewRetry
	if w.lost {
		return
	}
	if errors.Is(err, acaciatally.ErrWorkerMismatch) {
		s.countCrash(s.suspectsOn(w))
		s.markLost(w, "another worker answers at its address", now)
		return
	}
	w.renewalFailures++
	if w.renewalFailures == 1 {
		s.config.EventLog.WorkerChanged(id, w.entry.Pool, "no answer: "+err.Error(), now-w.reportedAt)
	}
}

package task

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// quarantineTeamCount is the number of different teams whose tasks fail on a worker, without a success in between, before the worker
	// is quarantined.
	quarantineTeamCount = 3
	// maxHealthyWorkerFailures is the number of healthy workers on which a task fails before it is ended as Impossible.
	maxHealthyWorkerFailures = 3
	// maxProbationAttempts limits the attempts that are started, and may be lost, on a worker after its first failure without a success
	// since. The limit is divided by the number of failures.
	maxProbationAttempts  = 4
	probationBackoff      = time.Second // doubled for each consecutive failure
	maxProbationBackoff   = time.Minute
	rejectionBackoff      = 10 * time.Second
	lostAttemptBackoff    = time.Minute // doubled for each consecutive lost attempt
	maxLostAttemptBackoff = 10 * time.Minute
	maxFailureStreak      = 16
)

// workerHealth holds a worker's state and its recent failures.
type workerHealth struct {
	worker            Worker
	failureStreak     []failedAttempt // failures since the last success
	rejectedAt        time.Time       // when the worker last rejected a start
	lostAttempts      int             // consecutive attempts that were ended because their reports were missing
	lastLostAt        time.Time       // when the last of them was ended
	quarantined       bool
	quarantineOrdered bool // the quarantine order succeeded
}

type failedAttempt struct {
	spec Spec
	at   time.Time
}

func (s *Scheduler) worker(id acaciatally.InstanceID) *workerHealth {
	known, found := s.workers[id]
	if !found {
		known = &workerHealth{worker: Worker{ID: id, State: Unavailable}}
		s.workers[id] = known
	}
	return known
}

// SetFleet replaces the state of the workers, the capacities of other pools and the quotas. A quarantined worker that serves again after
// it was unavailable counts as repaired, and its failures are forgotten.
func (s *Scheduler) SetFleet(view PoolView) {
	s.poolView = view
	present := map[acaciatally.InstanceID]bool{}
	for _, worker := range view.Workers {
		present[worker.ID] = true
		known := s.worker(worker.ID)
		if known.quarantined && known.worker.State == Unavailable && worker.State == Serving {
			known.reset()
		}
		known.worker = worker
	}
	for id, known := range s.workers {
		if !present[id] {
			known.worker.State = Unavailable
		}
	}
}

func (w *workerHealth) reset() {
	w.failureStreak, w.quarantined, w.quarantineOrdered = nil, false, false
}

func (w *workerHealth) recordFailure(spec Spec, at time.Time) {
	w.failureStreak = append(w.failureStreak, failedAttempt{spec: spec, at: at})
	if len(w.failureStreak) > maxFailureStreak {
		w.failureStreak = w.failureStreak[1:]
	}
	if w.failedTeamCount() >= quarantineTeamCount {
		w.quarantined = true
	}
}

func (w *workerHealth) recordSuccess() {
	w.failureStreak = nil
}

// recordLostAttempt counts an attempt that was ended because its reports were missing.
func (w *workerHealth) recordLostAttempt(now time.Time) {
	w.lostAttempts++
	w.lastLostAt = now
}

// recordContact ends the backoff after lost attempts: a report shows that orders reach the worker.
func (w *workerHealth) recordContact() {
	w.lostAttempts = 0
}

func (w *workerHealth) inLostAttemptBackoff(now time.Time) bool {
	backoff := min(lostAttemptBackoff<<min(max(w.lostAttempts-1, 0), maxFailureStreak), maxLostAttemptBackoff)
	return w.lostAttempts > 0 && now.Sub(w.lastLostAt) < backoff
}

// failedTeamCount returns the number of different teams with a task in the failure streak.
func (w *workerHealth) failedTeamCount() int {
	var teams []acaciatally.TeamName
	for _, failure := range w.failureStreak {
		if !slices.Contains(teams, failure.spec.Team) {
			teams = append(teams, failure.spec.Team)
		}
	}
	return len(teams)
}

// suspectsWorker reports whether the worker, rather than the tasks, may be the cause of its failures: tasks of several teams failed, or
// a task of a kind that has succeeded before.
func (s *Scheduler) suspectsWorker(w *workerHealth) bool {
	if w.quarantined || w.failedTeamCount() > 1 {
		return true
	}
	return slices.ContainsFunc(w.failureStreak, func(failure failedAttempt) bool {
		return s.estimator.statsFor(failure.spec).successes > 0
	})
}

// startLimit returns how many attempts may be started on the worker now; a negative number means no limit.
func (w *workerHealth) startLimit(now time.Time) int {
	if w.worker.State != Serving || w.quarantined || w.inLostAttemptBackoff(now) || now.Sub(w.rejectedAt) < rejectionBackoff {
		return 0
	}
	failureCount := len(w.failureStreak)
	if failureCount == 0 {
		return -1
	}
	backoff := min(probationBackoff<<min(failureCount-1, maxFailureStreak), maxProbationBackoff)
	if now.Sub(w.failureStreak[failureCount-1].at) < backoff {
		return 0
	}
	return max(1, maxProbationAttempts/failureCount)
}

// observeLoadedRecord adds a completed task that another controller recorded to the usage statistics.
func (s *Scheduler) observeLoadedRecord(record Record) {
	if record.Phase != Done || record.Worker == "" {
		return
	}
	s.estimator.statsFor(record.Spec).successes++
	s.estimator.Observe(record.Spec, record.Peak, false)
}

// RebuildFailureStreaks rebuilds the workers' failure streaks from the loaded rows after a takeover.
func (s *Scheduler) RebuildFailureStreaks() {
	type event struct {
		worker  acaciatally.InstanceID
		failure failedAttempt
		success bool
	}
	var events []event
	for _, j := range s.jobs {
		for _, failure := range j.record.Failures {
			events = append(events, event{worker: failure.Worker, failure: failedAttempt{spec: j.record.Spec, at: failure.At}})
		}
		if j.record.Phase == Done {
			events = append(events, event{worker: j.record.Worker, failure: failedAttempt{at: j.record.Ended}, success: true})
		}
	}
	slices.SortFunc(events, func(a, b event) int {
		return cmp.Or(a.failure.at.Compare(b.failure.at), cmp.Compare(a.failure.spec.ID, b.failure.spec.ID))
	})
	for _, event := range events {
		if event.success {
			s.worker(event.worker).recordSuccess()
			continue
		}
		s.worker(event.worker).recordFailure(event.failure.spec, event.failure.at)
	}
}

// impossibleReason returns why a waiting task can never run, or an empty string.
func (s *Scheduler) impossibleReason(j *job) (reason string) {
	if len(s.poolView.Workers) == 0 {
		return ""
	}
	minimumNeed := minResources(j.record.Spec.Declared, s.estimator.Estimate(j.record.Spec))
	if !s.anyFits(minimumNeed, true) {
		return fmt.Sprintf("needs %s, more than any worker of the fleet has (largest: %s)",
			formatResources(minimumNeed), formatResources(s.largestCapacity()))
	}
	healthyWorkers := 0
	for i, failure := range j.record.Failures {
		repeated := slices.ContainsFunc(j.record.Failures[:i], func(other Failure) bool { return other.Worker == failure.Worker })
		if !repeated && !s.suspectsWorker(s.worker(failure.Worker)) {
			healthyWorkers++
		}
	}
	if healthyWorkers >= maxHealthyWorkerFailures {
		return fmt.Sprintf("failed on %d healthy workers, last on %s", healthyWorkers, j.record.Failures[len(j.record.Failures)-1].Worker)
	}
	return ""
}

// anyFits reports whether an empty worker of the pool, or with wholeFleet an instance of any pool, is large enough.
func (s *Scheduler) anyFits(need acaciatally.Resources, wholeFleet bool) bool {
	if slices.ContainsFunc(s.poolView.Workers, func(worker Worker) bool { return fits(need, worker.Capacity) }) {
		return true
	}
	return wholeFleet && slices.ContainsFunc(s.poolView.OtherPoolCapacities, func(capacity acaciatally.Resources) bool { return fits(need, capacity) })
}

func (s *Scheduler) largestCapacity() (capacity acaciatally.Resources) {
	for _, worker := range s.poolView.Workers {
		capacity = maxResources(capacity, worker.Capacity)
	}
	for _, other := range s.poolView.OtherPoolCapacities {
		capacity = maxResources(capacity, other)
	}
	return capacity
}

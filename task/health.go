package task

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// quarantineTeams is the number of teams whose tasks fail in a row before the worker is held to be the cause.
	quarantineTeams = 3
	// healthyFailures is the number of healthy workers on which a task fails before the task is held to be the cause.
	healthyFailures = 3
	// probationStarts bounds the attempts lost on a worker after its first failure without a success since.
	probationStarts = 4
	probationWait   = time.Second // doubled by each failure in a row
	maxProbation    = time.Minute
	rejectionWait   = 10 * time.Second
	silenceWait     = time.Minute // doubled by each attempt of which nothing was heard again
	maxSilence      = 10 * time.Minute
	maxStreak       = 16
)

// workerView is what the controller knows of one worker.
type workerView struct {
	worker      Worker
	streak      []failedAttempt // failures since the last success
	refusedAt   time.Time       // last time that it rejected a start
	silences    int             // attempts in a row of which nothing was heard again
	silentAt    time.Time       // when the last of them was given up
	quarantined bool
	announced   bool // the quarantine was ordered
}

type failedAttempt struct {
	spec Spec
	at   time.Time
}

func (m *Machine) worker(id acaciatally.InstanceID) *workerView {
	known, found := m.workers[id]
	if !found {
		known = &workerView{worker: Worker{ID: id, State: Gone}}
		m.workers[id] = known
	}
	return known
}

// SetFleet replaces the view of the workers, the other pools and the quotas.
func (m *Machine) SetFleet(view Fleet) {
	m.fleet = view
	present := map[acaciatally.InstanceID]bool{}
	for _, worker := range view.Workers {
		present[worker.ID] = true
		known := m.worker(worker.ID)
		if known.quarantined && known.worker.State == Gone && worker.State == Serving {
			known.clear() // repaired
		}
		known.worker = worker
	}
	for id, known := range m.workers {
		if !present[id] {
			known.worker.State = Gone
		}
	}
}

func (w *workerView) clear() {
	w.streak, w.quarantined, w.announced = nil, false, false
}

func (w *workerView) failed(spec Spec, at time.Time) {
	w.streak = append(w.streak, failedAttempt{spec: spec, at: at})
	if len(w.streak) > maxStreak {
		w.streak = w.streak[1:]
	}
	if w.teams() >= quarantineTeams {
		w.quarantined = true
	}
}

func (w *workerView) succeeded() {
	w.streak = nil
}

// silent counts an attempt of which nothing was heard again.
func (w *workerView) silent(now time.Time) {
	w.silences++
	w.silentAt = now
}

// heard ends the suspicion that orders do not reach the worker.
func (w *workerView) heard() {
	w.silences = 0
}

func (w *workerView) silenced(now time.Time) bool {
	wait := min(silenceWait<<min(max(w.silences-1, 0), maxStreak), maxSilence)
	return w.silences > 0 && now.Sub(w.silentAt) < wait
}

// teams counts the teams that have a task in the streak.
func (w *workerView) teams() int {
	var teams []acaciatally.TeamName
	for _, failure := range w.streak {
		if !slices.Contains(teams, failure.spec.Team) {
			teams = append(teams, failure.spec.Team)
		}
	}
	return len(teams)
}

// suspect reports whether the worker, rather than the tasks, may be the cause of its failures.
func (m *Machine) suspect(w *workerView) bool {
	if w.quarantined || w.teams() > 1 {
		return true
	}
	return slices.ContainsFunc(w.streak, func(failure failedAttempt) bool {
		return m.learner.habit(failure.spec).successes > 0
	})
}

// starts returns how many attempts the worker may be given now; negative is any number.
func (w *workerView) starts(now time.Time) int {
	if w.worker.State != Serving || w.quarantined || w.silenced(now) || now.Sub(w.refusedAt) < rejectionWait {
		return 0
	}
	count := len(w.streak)
	if count == 0 {
		return -1
	}
	wait := min(probationWait<<min(count-1, maxStreak), maxProbation)
	if now.Sub(w.streak[count-1].at) < wait {
		return 0
	}
	return max(1, probationStarts/count)
}

// recall learns from a record that another controller wrote.
func (m *Machine) recall(record Record) {
	if record.Phase != Done || record.Worker == "" {
		return
	}
	m.learner.habit(record.Spec).successes++
	m.learner.Observe(record.Spec, record.Peak, false)
}

// Recollect rebuilds the streaks of the workers from the rows after a takeover.
func (m *Machine) Recollect() {
	type event struct {
		worker  acaciatally.InstanceID
		failure failedAttempt
		success bool
	}
	var events []event
	for _, j := range m.jobs {
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
			m.worker(event.worker).succeeded()
			continue
		}
		m.worker(event.worker).failed(event.failure.spec, event.failure.at)
	}
}

// impossible returns the reason for which a waiting task can never run, or the empty text.
func (m *Machine) impossible(j *job) (reason string) {
	if len(m.fleet.Workers) == 0 {
		return ""
	}
	least := smallest(j.record.Spec.Declared, m.learner.Estimate(j.record.Spec))
	if !m.anyFits(least, true) {
		return fmt.Sprintf("needs %s, more than any worker of the fleet has (largest: %s)", describe(least), describe(m.greatest()))
	}
	healthy := 0
	for i, failure := range j.record.Failures {
		repeated := slices.ContainsFunc(j.record.Failures[:i], func(other Failure) bool { return other.Worker == failure.Worker })
		if !repeated && !m.suspect(m.worker(failure.Worker)) {
			healthy++
		}
	}
	if healthy >= healthyFailures {
		return fmt.Sprintf("failed on %d healthy workers, last on %s", healthy, j.record.Failures[len(j.record.Failures)-1].Worker)
	}
	return ""
}

// anyFits reports whether some worker of the pool, or of the whole fleet, is large enough when empty.
func (m *Machine) anyFits(need acaciatally.Resources, wholeFleet bool) bool {
	if slices.ContainsFunc(m.fleet.Workers, func(worker Worker) bool { return fits(need, worker.Capacity) }) {
		return true
	}
	return wholeFleet && slices.ContainsFunc(m.fleet.Elsewhere, func(capacity acaciatally.Resources) bool { return fits(need, capacity) })
}

func (m *Machine) greatest() (capacity acaciatally.Resources) {
	for _, worker := range m.fleet.Workers {
		capacity = largest(capacity, worker.Capacity)
	}
	for _, elsewhere := range m.fleet.Elsewhere {
		capacity = largest(capacity, elsewhere)
	}
	return capacity
}

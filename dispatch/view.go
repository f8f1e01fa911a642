package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// WorkerView is what the fleet's planning needs to know of a worker.
type WorkerView struct {
	ID       acaciatally.WorkerID
	Pool     acaciatally.PoolName
	Runs     int
	Lasting  int
	Idle     time.Duration // since its last run ended, or since it was first seen
	Known    bool          // it has told this leader what runs on it
	Usable   bool          // it may get new runs, or would if it were not withheld
	Capacity acaciatally.Room
}

// PoolView is the demand on a pool, in thousandths of a core.
type PoolView struct {
	Used     int // by runs
	Waiting  int // by tasks that could run now
	Expected int // in the near future, from the arrivals of the last seconds
	Spread   int // workers over which the bounds on tasks of a step on one worker force to spread
}

// Workers returns the state of all workers.
func (m *Machine) Workers(now time.Duration) map[acaciatally.WorkerID]WorkerView {
	workers := map[acaciatally.WorkerID]WorkerView{}
	for id, w := range m.workers {
		if !w.gone && w.listed {
			workers[id] = m.viewOf(w, now)
		}
	}
	return workers
}

// Worker returns the state of one worker; of one that is not listed, nothing is known.
func (m *Machine) Worker(id acaciatally.WorkerID, now time.Duration) (view WorkerView) {
	if w := m.workers[id]; w != nil && !w.gone && w.listed {
		return m.viewOf(w, now)
	}
	return view
}

// Pools returns the demand on all pools.
func (m *Machine) Pools(now time.Duration) map[acaciatally.PoolName]PoolView {
	pools := map[acaciatally.PoolName]PoolView{}
	for _, j := range m.jobs {
		pool := pools[j.accepted.Queue.Pool]
		j.addDemand(&pool)
		pools[j.accepted.Queue.Pool] = pool
	}
	for name, arrivals := range m.arrivals {
		pool := pools[name]
		pool.Expected = pool.lastingUse(m, name) + arrivals.expected(now)
		pools[name] = pool
	}
	return pools
}

func (m *Machine) viewOf(w *worker, now time.Duration) WorkerView {
	view := WorkerView{
		ID: w.entry.ID, Pool: w.entry.Pool, Runs: len(w.runs) + len(w.orphans), Capacity: w.entry.Capacity,
		Known: w.known, Usable: w.known && !w.entry.Draining && w.failures == 0, Idle: now - w.idleSince,
	}
	if len(w.runs) > 0 {
		w.idleSince = now
		view.Idle = 0
	}
	view.Lasting = w.load.lasting
	return view
}

// addDemand adds what the job uses and could use now.
func (j *activeJob) addDemand(pool *PoolView) {
	for _, o := range j.open {
		for number, tasks := range o.steps {
			ready := j.live() && o.ready(&j.accepted.Spec, number)
			if step := &j.accepted.Spec.Steps[number]; ready && step.PerWorker > 0 {
				pool.Spread = max(pool.Spread, (step.Count+step.PerWorker-1)/step.PerWorker)
			}
			for _, t := range tasks {
				switch {
				case t.assigned():
					pool.Used += t.step.Takes().Processors
				case ready && t.phase == job.Waiting:
					pool.Waiting += t.step.Takes().Processors
				}
			}
		}
	}
}

// lastingUse returns what the lasting tasks of a pool use.
func (p PoolView) lastingUse(m *Machine, name acaciatally.PoolName) (use int) {
	for _, w := range m.workers {
		if w.entry.Pool != name {
			continue
		}
		for t := range w.runs {
			if t.step.Lasting {
				use += t.step.Takes().Processors
			}
		}
	}
	return use
}

// Withhold sets the workers that are to be emptied, each with the reason; they get no new runs.
func (m *Machine) Withhold(withheld map[acaciatally.WorkerID]string) {
	for id, reason := range withheld {
		if m.withheld[id] == "" {
			if w := m.workers[id]; w != nil {
				m.config.Journal.WorkerChanged(id, w.entry.Pool, "withheld: "+reason, 0)
			}
		}
	}
	m.withheld = withheld
}

// SetDue sets the workers that will have to be emptied soon; lasting work avoids them, since it would have to move again.
func (m *Machine) SetDue(due map[acaciatally.WorkerID]bool) { m.dueSoon = due }

// Removed takes in that a worker's instance was ordered away, which ended all of its runs.
func (m *Machine) Removed(id acaciatally.WorkerID, now time.Duration) {
	if w := m.workers[id]; w != nil {
		m.lose(w, "its instance was ordered away", now)
	}
}

// nearlyDone is the percentage from which a run is let finish on a worker that is to be emptied.
const nearlyDone = 75

// evacuate stops runs on workers that are to be emptied or leave: the lasting ones within their steps' disruption budgets, and those that
// go on elsewhere from a checkpoint.
func (m *Machine) evacuate() {
	for _, w := range m.workers {
		if w.gone || (m.withheld[w.entry.ID] == "" && !w.entry.Draining) {
			continue
		}
		for t := range w.runs {
			if t.stop == "" && t.stage == running && (mayInterrupt(t) || t.resumes()) {
				m.stopTask(t, stopMoved)
			}
		}
	}
}

// resumes reports whether the run is better stopped with a checkpoint than waited for.
func (t *task) resumes() bool {
	return t.step.Checkpoints && !t.step.Lasting && !t.step.Gang && t.percent < nearlyDone
}

// mayInterrupt reports whether the task is a lasting one and its step's disruption budget allows to stop it now.
func mayInterrupt(t *task) bool {
	if !t.step.Lasting {
		return false
	}
	budget := 1
	if t.step.HasMayMiss {
		budget = t.step.MayMiss
	}
	away := 0
	for _, o := range t.job.open {
		if o.number != t.ref.Occurrence {
			continue
		}
		for _, sibling := range o.steps[t.ref.Step] {
			if sibling != t && !sibling.atWork() {
				away++
			}
		}
	}
	return away < budget
}

// atWork reports whether a lasting task does its work, as far as its worker has said.
func (t *task) atWork() bool {
	return t.stage == running && t.assigned() && t.stop == "" && t.percent >= fullPace && t.at != nil && t.at.failures == 0
}

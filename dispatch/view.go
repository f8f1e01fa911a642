package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// WorkerView is the state of a worker for capacity planning.
type WorkerView struct {
	ID          acaciatally.WorkerID
	Pool        acaciatally.PoolName
	Runs        int           // including runs that belong to no known task
	LongRunning int           // runs of long-running tasks
	IdleTime    time.Duration // time since its last run ended, or since it was first listed
	Reported    bool          // it has reported its runs to this leader
	Schedulable bool          // it may get new runs unless it is to be drained
	Capacity    acaciatally.ResourceVector
}

// PoolView is the demand on a pool.
type PoolView struct {
	Used    acaciatally.ResourceVector // by assigned tasks, but those counted in Overdue
	Waiting acaciatally.ResourceVector // by tasks that are ready to run, but those counted in Overdue
	// Overdue is reserved by assigned and ready tasks of jobs whose result comes too late to be of use, or that are beyond the rate or the
	// share of their account.
	Overdue     acaciatally.ResourceVector
	LongRunning acaciatally.ResourceVector // by long-running tasks, which are also part of Used or Waiting
	Expected    acaciatally.ResourceVector // predicted need of the near future, from the arrivals of the last seconds
	MinWorkers  int                        // minimum number of workers, because of the limits of tasks per worker
	Unplaced    int                        // tasks that are ready to run and have no worker
}

// Workers returns the state of all listed workers.
func (s *Scheduler) Workers(now time.Duration) map[acaciatally.WorkerID]WorkerView {
	workers := map[acaciatally.WorkerID]WorkerView{}
	for id, w := range s.workers {
		if !w.lost && w.listed {
			workers[id] = s.workerView(w, now)
		}
	}
	return workers
}

// Worker returns the state of one worker, or the zero value if it is not listed.
func (s *Scheduler) Worker(id acaciatally.WorkerID, now time.Duration) (view WorkerView) {
	if w := s.workers[id]; w != nil && !w.lost && w.listed {
		return s.workerView(w, now)
	}
	return view
}

// Pools returns the demand on all pools.
func (s *Scheduler) Pools(now time.Duration) map[acaciatally.PoolName]PoolView {
	pools := map[acaciatally.PoolName]PoolView{}
	byAccount := s.newDemandByAccount()
	limit := &admitted{}
	for _, j := range s.jobs {
		if !j.usage.limited() {
			s.addDemand(pools, byAccount, j, limit, now)
		}
	}
	for _, j := range s.limitedJobs(now) {
		s.addDemand(pools, byAccount, j, limit, now)
	}
	byAccount.addTo(pools)
	for name, arrivals := range s.arrivals {
		pool := pools[name]
		pool.Expected = pool.LongRunning.Plus(arrivals.expected(now))
		pools[name] = pool
	}
	return pools
}

func (s *Scheduler) addDemand(
	pools map[acaciatally.PoolName]PoolView, byAccount *demandByAccount, j *activeJob, limit *admitted, now time.Duration,
) {
	isOverdue := j.live() && !j.hasLongRunning && s.latenessOf(j, now) == overdue
	pool := pools[j.accepted.Queue.Pool]
	if view := byAccount.view(j); view != nil {
		j.addDemand(view, limit, isOverdue || j.beyondRate)
	} else {
		j.addDemand(&pool, limit, isOverdue)
	}
	pools[j.accepted.Queue.Pool] = pool
}

func (s *Scheduler) workerView(worker *worker, now time.Duration) WorkerView {
	view := WorkerView{
		ID: worker.entry.ID, Pool: worker.entry.Pool, Runs: len(worker.runs) + len(worker.orphans), Capacity: worker.entry.Capacity,
		Reported: worker.reported, Schedulable: worker.reported && !worker.entry.Draining && worker.renewalFailures == 0, IdleTime: now - worker.idleSince,
	}
	if len(worker.runs) > 0 {
		worker.idleSince = now
		view.IdleTime = 0
	}
	view.LongRunning = worker.load.numLongRunning
	return view
}

// addDemand adds the resources that the job uses and those that its waiting tasks could use now, within the maximum of its account.
func (j *activeJob) addDemand(pool *PoolView, limit *admitted, overdue bool) {
	for _, o := range j.openOccurrences {
		for number, tasks := range o.steps {
			step := &j.accepted.Spec.Steps[number]
			ready := j.live() && o.ready(&j.accepted.Spec, number)
			count, demanded := step.Count, len(tasks)
			if ready && j.usage.limited() {
				waiting := countWaiting(tasks)
				demanded = limit.demandOf(j, step, waiting)
				count += demanded - waiting
			}
			if ready && step.PerWorker > 0 && !j.beyondRate {
				pool.MinWorkers = max(pool.MinWorkers, (count+step.PerWorker-1)/step.PerWorker)
			}
			for _, t := range tasks {
				switch {
				case t.assigned():
					pool.add(t, overdue)
				case ready && demanded > 0 && t.phase == job.Waiting:
					demanded--
					pool.Unplaced++
					pool.add(t, overdue)
				}
			}
		}
	}
}

func countWaiting(tasks []*task) (count int) {
	for _, t := range tasks {
		if isWaiting(t) {
			count++
		}
	}
	return count
}

// add adds the resources of an assigned or ready task.
func (p *PoolView) add(t *task, overdue bool) {
	reserved := t.step.Reserved()
	if t.step.LongRunning {
		p.LongRunning = p.LongRunning.Plus(reserved)
	}
	switch {
	case overdue:
		p.Overdue = p.Overdue.Plus(reserved)
	case t.assigned():
		p.Used = p.Used.Plus(reserved)
	default:
		p.Waiting = p.Waiting.Plus(reserved)
	}
}

// SetWorkersToDrain sets the workers to drain, each with the reason; they get no new runs.
func (s *Scheduler) SetWorkersToDrain(toDrain map[acaciatally.WorkerID]string) {
	for id, reason := range toDrain {
		if s.toDrain[id] == "" {
			if w := s.workers[id]; w != nil {
				s.config.EventLog.WorkerChanged(id, w.entry.Pool, "to be drained: "+reason, 0)
			}
		}
	}
	s.toDrain = toDrain
}

// SetWorkersToDrainSoon sets the workers that will have to be drained soon. Long-running tasks avoid them, since they would have to move
// again.
func (s *Scheduler) SetWorkersToDrainSoon(due map[acaciatally.WorkerID]bool) { s.drainSoon = due }

// InstanceRemoved handles that a worker's instance was taken away by an order, which ended all of its runs. If an earlier leader had the order
// executed before, the worker may be alive, so its runs count for their accounts until it reports or its lease is over.
func (s *Scheduler) InstanceRemoved(id acaciatally.WorkerID, now time.Duration) {
	if w := s.workers[id]; w != nil {
		delete(s.suspects, w.entry.Instance) // the next worker there says nothing about a crash
		left := w.accountRuns(now)
		s.markLost(w, "instance removed by an order", now)
		w.addLeftovers(left)
	}
}

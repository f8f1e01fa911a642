package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

const (
	maximumStep      = 50 * time.Millisecond
	simulatedLease   = 6 * time.Second
	orderTimeout     = 500 * time.Millisecond
	directoryTimeout = 4 * time.Second // how long the record of a worker outlives it
)

// maximumSimulation runs leaders in turn, with workers that crash, restart, fall silent and execute orders late, and a store that applies commits
// late. It keeps what exists on the workers, whatever the leaders know of it.
type maximumSimulation struct {
	random    *rand.Rand
	now       time.Duration
	epoch     uint64
	leader    *Scheduler // nil between two leaders
	events    []simulatedEvent
	workers   []*simulatedWorker
	jobs      map[acaciatally.JobID]*storedJob
	owner     map[acaciatally.QueueName]uint64 // version of the owner record of each partition
	silence   Silence
	version   uint64 // of the configuration
	maximums  map[acaciatally.AccountName]acaciatally.ResourceVector
	starts    []*simulatedStart // on their way
	faults    bool
	maxLease  time.Duration // longest lease that a worker grants
	violation string
	submitted int
	ended     map[acaciatally.JobID]acaciatally.JobState
	waiting   map[acaciatally.TaskRef]time.Duration // since when a task waits although it could run
	started   map[acaciatally.TaskRef]int           // latest attempt that a worker has started
	dropped   map[runKey]string                     // why the leaders released runs
}

// droppedLog notes why runs were released.
type droppedLog struct {
	*countingEventLog
	s *maximumSimulation
}

func (l *droppedLog) RunDropped(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, reason string) {
	l.s.dropped[runKey{task, attempt}] += fmt.Sprintf(" %v epoch %d on %s: %s;", l.s.now, l.s.epoch, worker, reason)
}

func (l *droppedLog) RunEnded(ended acaciatally.EndedTask, worker acaciatally.WorkerID, counts bool) {
	l.s.dropped[runKey{ended.Task, ended.Attempt}] += fmt.Sprintf(" %v epoch %d on %s: ended %s counts %v;", l.s.now, l.s.epoch, worker, ended.End, counts)
}

type simulatedEvent struct {
	at time.Duration
	do func()
}

// storedJob is a job with its records.
type storedJob struct {
	accepted        job.Accepted
	progress        job.Progress
	acceptedDeleted bool
	cancelled       bool
}

// simulatedStart is a start order on its way.
type simulatedStart struct {
	worker  *simulatedWorker
	id      acaciatally.WorkerID
	order   acaciatally.StartOrder
	maximum acaciatally.ResourceVector // the highest of the account since it was sent
	at      time.Duration              // when it arrives
	boot    time.Duration              // start of the incarnation to which it was sent, if that delays it
}

// workerRun is a run on a worker.
type workerRun struct {
	attempt   int
	startedAt time.Duration
	endsAt    time.Duration
}

// simulatedWorker is one instance with its worker.
type simulatedWorker struct {
	entry       acaciatally.Worker
	listed      map[acaciatally.WorkerID]acaciatally.Worker // its records in the directory
	startedAt   time.Duration
	rate        float64 // of its clock
	fence       uint64
	lease       time.Duration
	maxLease    time.Duration
	runs        map[acaciatally.TaskRef]workerRun
	highest     map[acaciatally.TaskRef]int
	ended       []acaciatally.EndedTask
	number      uint64
	downUntil   time.Duration
	silentUntil time.Duration
	lateUntil   time.Duration
}

func newMaximumSimulation(seed uint64, workers int, maxLease time.Duration) *maximumSimulation {
	s := &maximumSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, jobs: map[acaciatally.JobID]*storedJob{}, owner: map[acaciatally.QueueName]uint64{},
		maximums: map[acaciatally.AccountName]acaciatally.ResourceVector{}, faults: true, maxLease: maxLease, ended: map[acaciatally.JobID]acaciatally.JobState{},
		waiting: map[acaciatally.TaskRef]time.Duration{}, dropped: map[runKey]string{}, started: map[acaciatally.TaskRef]int{},
	}
	for i := range workers {
		w := &simulatedWorker{entry: testWorker(i + 1), maxLease: maxLease, rate: 0.99 + 0.02*s.random.Float64(), listed: map[acaciatally.WorkerID]acaciatally.Worker{}}
		if i%3 == 2 {
			w.entry.Pool = "second"
		}
		w.boot(s.now)
		w.listed[w.entry.ID] = w.entry
		s.workers = append(s.workers, w)
	}
	return s
}

// boot starts the worker's process anew.
func (w *simulatedWorker) boot(now time.Duration) {
	w.startedAt, w.fence, w.lease, w.number, w.ended = now, 0, 0, 0, nil
	w.entry.StartTime = time.UnixMilli(now.Milliseconds())
	w.runs, w.highest = map[acaciatally.TaskRef]workerRun{}, map[acaciatally.TaskRef]int{}
}

func (w *simulatedWorker) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.startedAt) * w.rate)
}

func (s *maximumSimulation) after(delay time.Duration, do func()) {
	s.events = append(s.events, simulatedEvent{s.now + delay, do})
}

func (s *maximumSimulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Float64()*float64(high-low))
}

// step runs one round of everything.
func (s *maximumSimulation) step() {
	s.now += maximumStep
	due := s.events
	s.events = nil
	for _, event := range due {
		if event.at > s.now {
			s.events = append(s.events, event)
			continue
		}
		event.do()
	}
	for _, w := range s.workers {
		s.runWorker(w)
	}
	if s.leader != nil {
		s.lead()
	}
}

// runWorker ends the runs of a worker that are over.
func (s *maximumSimulation) runWorker(w *simulatedWorker) {
	expired := w.clock(s.now) >= w.lease
	for task, run := range w.runs {
		switch {
		case s.now >= run.endsAt && s.gangStarted(task, run.attempt):
			w.end(task, acaciatally.EndDone)
			s.endGang(task)
		case expired:
			w.end(task, acaciatally.EndLeaseExpired)
		}
	}
}

// gangStarted reports whether all members of a task's gang have been started; none is done before that. It is true for other tasks.
func (s *maximumSimulation) gangStarted(task acaciatally.TaskRef, attempt int) bool {
	step := s.step0(task)
	for index := range step.Count {
		member := task
		member.Index = index
		if step.Gang && s.started[member] < attempt {
			return false
		}
	}
	return true
}

// endGang ends the other members of the gang of a task that is done, as the platform does.
func (s *maximumSimulation) endGang(task acaciatally.TaskRef) {
	for _, w := range s.workers {
		for member := range w.runs {
			if s.step0(task).Gang && member.Job == task.Job && member.Step == task.Step {
				w.end(member, acaciatally.EndGangMemberEnded)
			}
		}
	}
}

func (w *simulatedWorker) end(task acaciatally.TaskRef, end acaciatally.TaskEnd) {
	run := w.runs[task]
	delete(w.runs, task)
	w.number++
	w.highest[task] = max(w.highest[task], run.attempt)
	w.ended = append(w.ended, acaciatally.EndedTask{Number: w.number, Task: task, Attempt: run.attempt, End: end})
}

// configure sets the maximums in a new version of the configuration.
func (s *maximumSimulation) configure(maximums map[acaciatally.AccountName]acaciatally.ResourceVector) {
	s.version++
	s.maximums = maximums
	for _, start := range s.starts {
		start.maximum = looser(start.maximum, maximums[s.jobs[start.order.Task.Job].accepted.Account])
	}
}

// looser returns for each resource the higher of two limits; 0 is no limit.
func looser(a, b acaciatally.ResourceVector) acaciatally.ResourceVector {
	limits := a.Max(b)
	if a.Processors == 0 || b.Processors == 0 {
		limits.Processors = 0
	}
	if a.Memory == 0 || b.Memory == 0 {
		limits.Memory = 0
	}
	return limits
}

func (s *maximumSimulation) configuration() *acaciatally.Configuration {
	accounts := map[acaciatally.AccountName]acaciatally.Account{}
	for name, maximum := range s.maximums {
		accounts[name] = acaciatally.Account{Name: name, Maximum: maximum}
	}
	return &acaciatally.Configuration{Version: s.version, Accounts: accounts}
}

func (s *maximumSimulation) submit(account acaciatally.AccountName, pool acaciatally.PoolName, steps ...acaciatally.Step) {
	s.submitted++
	id := acaciatally.JobID(fmt.Sprintf("%04x", s.submitted))
	stored := &storedJob{accepted: accountAccepted(account, steps...), progress: job.Progress{State: acaciatally.JobQueued}}
	stored.accepted.Queue.Pool = pool
	stored.accepted.Queue.Name = acaciatally.QueueName(pool)
	s.jobs[id] = stored
	if s.leader != nil {
		s.leader.LoadJob(id, stored.accepted, stored.progress, 0, s.now)
	}
}

func (s *maximumSimulation) cancel(id acaciatally.JobID) {
	stored := s.jobs[id]
	if stored.acceptedDeleted {
		return
	}
	stored.cancelled = true
	if s.leader != nil {
		s.leader.CancelJob(stored.accepted.Queue.Name, id)
	}
}

// takeOver ends the present leader and starts the next one from the records.
func (s *maximumSimulation) takeOver() {
	s.epoch++
	_, eventLog := newScheduler()
	s.leader = New(Config{
		Epoch: s.epoch, WorkerLease: simulatedLease, MaxLease: s.maxLease, Retention: time.Minute, EventLog: &droppedLog{eventLog, s}, LeadershipStart: s.now,
	})
	s.leader.LoadSilence(s.silence, 1, s.now, s.now)
	for _, queue := range []acaciatally.QueueName{"intake", "second"} {
		s.owner[queue]++
		s.leader.PartitionClaimed(queue, s.owner[queue])
	}
	for id, stored := range s.jobs {
		queue := stored.accepted.Queue.Name
		if stored.progress.State.Ended() {
			s.leader.Retain(queue, id, s.now)
		}
		switch {
		case stored.acceptedDeleted:
		case stored.progress.State.Ended():
			s.leader.LoadEndedJob(id, stored.accepted, stored.progress, s.now)
		default:
			s.leader.LoadJob(id, stored.accepted, stored.progress, time.Second, s.now)
			if stored.cancelled {
				s.leader.CancelJob(queue, id)
			}
		}
	}
}

// lead runs a round of the leader.
func (s *maximumSimulation) lead() {
	l := s.leader
	var listed []acaciatally.Worker
	for _, w := range s.workers {
		for _, entry := range w.listed {
			listed = append(listed, entry)
		}
	}
	l.SetDirectory(listed, s.now)
	for _, w := range s.workers {
		if s.now >= w.downUntil {
			l.Heartbeats([]acaciatally.WorkerID{w.entry.ID}, s.now)
		}
	}
	l.Configure(s.configuration())
	l.Plan(s.now, time.UnixMilli(0))
	s.checkLedger()
	for _, commit := range l.Commits(s.now) {
		s.after(s.between(0, 2*maximumStep), func() { s.commit(l, commit) })
	}
	if record, _, unsaved := l.UnsavedSilence(s.now); unsaved {
		s.silence = record
		l.SilenceSaved(record, 1)
	}
	for _, order := range l.Orders(s.now) {
		s.send(l, order)
	}
	for _, renewal := range l.Renewals(s.now) {
		s.renew(l, renewal)
	}
}

// commit applies a commit unless another leader has claimed the partition.
func (s *maximumSimulation) commit(l *Scheduler, commit *Commit) {
	tx := &commit.Transaction
	if s.owner[commit.Queue] != tx.Conditions[0].Version {
		return
	}
	s.owner[commit.Queue]++
	for _, write := range tx.Writes {
		if stored := s.jobs[acaciatally.JobID(write.Key)]; stored != nil && write.Table == job.ProgressTable {
			decoded, err := job.DecodeProgress(write.Value)
			if err != nil {
				panic(err)
			}
			stored.progress = decoded
			if decoded.State.Ended() {
				s.ended[acaciatally.JobID(write.Key)] = decoded.State
			}
		}
	}
	for _, key := range tx.Deletes {
		if stored := s.jobs[acaciatally.JobID(key.Key)]; stored != nil && key.Table == job.AcceptedTable {
			stored.acceptedDeleted = true
		}
	}
	if s.leader == l {
		l.Committed(commit, s.owner[commit.Queue], s.now)
	}
}

// find returns the instance whose worker has or had the ID.
func (s *maximumSimulation) find(instance acaciatally.InstanceID) *simulatedWorker {
	index := slices.IndexFunc(s.workers, func(w *simulatedWorker) bool { return w.entry.Instance == instance })
	return s.workers[index]
}

// delay returns how long a call to the worker takes, and whether it arrives at all. What a worker executes later than orderTimeout waits in its
// process, and is lost when that restarts.
func (s *maximumSimulation) delay(w *simulatedWorker) (delay time.Duration, arrives bool) {
	if s.now < w.silentUntil || s.now < w.downUntil {
		return 0, false
	}
	if s.now < w.lateUntil && s.random.IntN(3) > 0 {
		return s.between(2*time.Second, 12*time.Second), true
	}
	if s.faults && s.random.IntN(200) == 0 {
		return 0, false
	}
	return s.between(0, maximumStep), true
}

// result gives the leader the result of a call once it is known.
func (s *maximumSimulation) result(l *Scheduler, delay time.Duration, f func()) {
	s.after(delay, func() {
		if s.leader == l {
			f()
		}
	})
}

// send sends an order; its result is known after it was executed, or not at all.
func (s *maximumSimulation) send(l *Scheduler, order Order) {
	w := s.find(order.Worker.Instance)
	delay, arrives := s.delay(w)
	if order.Kind == OrderStart {
		s.checkOrder(l, order, w, delay, arrives)
	}
	if !arrives || delay > orderTimeout {
		err := acaciatally.ErrUnknownOutcome
		if !arrives && s.random.IntN(3) == 0 {
			err = fmt.Errorf("%w: %w", acaciatally.ErrUnavailable, acaciatally.ErrNotSent)
		}
		s.result(l, orderTimeout, func() { l.OrderResult(order, err, s.now) })
	}
	boot := w.startedAt
	if arrives {
		s.after(delay, func() {
			before := len(w.runs)
			err := acaciatally.ErrUnknownOutcome
			if delay <= orderTimeout || w.startedAt == boot {
				err = s.execute(w, order)
			}
			if order.Kind == OrderStart {
				s.arrived(order, len(w.runs) > before)
			}
			if delay <= orderTimeout {
				loses := s.faults && s.random.IntN(50) == 0 // the response is lost
				if loses {
					err = acaciatally.ErrUnknownOutcome
				}
				s.result(l, maximumStep, func() { l.OrderResult(order, err, s.now) })
			}
		})
	}
}

// execute executes an order on the worker of the instance.
func (s *maximumSimulation) execute(w *simulatedWorker, order Order) error {
	run := order.Start.RunOrder
	switch {
	case s.now < w.downUntil:
		return acaciatally.ErrUnknownOutcome
	case w.entry.ID != order.Worker.ID:
		return acaciatally.ErrWorkerMismatch
	case run.Fence < w.fence:
		return &acaciatally.OrderRejectedError{Reason: acaciatally.RejectFence}
	}
	w.fence = run.Fence
	current, running := w.runs[run.Task]
	if order.Kind == OrderStop {
		if running && current.attempt <= run.Attempt {
			w.end(run.Task, acaciatally.EndStopped)
		}
		w.highest[run.Task] = max(w.highest[run.Task], run.Attempt)
		return nil
	}
	if order.Kind != OrderStart {
		return nil
	}
	w.extend(order.Start.LeaseUntil, s.now)
	switch {
	case running && current.attempt == run.Attempt:
		return nil
	case run.Attempt <= w.highest[run.Task]:
		return &acaciatally.OrderRejectedError{Reason: acaciatally.RejectSuperseded}
	case w.lease <= w.clock(s.now):
		return &acaciatally.OrderRejectedError{Reason: acaciatally.RejectLeaseExpired}
	}
	duration := s.between(500*time.Millisecond, 5*time.Second)
	if s.step0(run.Task).LongRunning {
		duration = time.Hour
	}
	s.started[run.Task] = max(s.started[run.Task], run.Attempt)
	w.runs[run.Task] = workerRun{attempt: run.Attempt, endsAt: s.now + duration, startedAt: s.now}
	return nil
}

func (w *simulatedWorker) extend(until, now time.Duration) {
	w.lease = max(w.lease, min(until, w.clock(now)+w.maxLease))
}

// step0 returns the step of a task.
func (s *maximumSimulation) step0(task acaciatally.TaskRef) *acaciatally.Step {
	return &s.jobs[task.Job].accepted.Spec.Steps[task.Step]
}

// renew renews the lease of a worker, whose report arrives a little later.
func (s *maximumSimulation) renew(l *Scheduler, renewal Renewal) {
	w := s.find(renewal.Worker.Instance)
	sent := s.now
	delay, arrives := s.delay(w)
	failed := func(err error) func() { return func() { l.RenewalFailed(renewal.Worker.ID, err, s.now) } }
	if !arrives || delay > orderTimeout {
		s.result(l, orderTimeout, failed(acaciatally.ErrUnknownOutcome))
	}
	if !arrives {
		return
	}
	boot := w.startedAt
	s.after(delay, func() {
		if delay > orderTimeout && w.startedAt != boot {
			return
		}
		if s.now < w.downUntil || w.entry.ID != renewal.Worker.ID {
			err := acaciatally.ErrUnknownOutcome
			if s.now >= w.downUntil {
				err = acaciatally.ErrWorkerMismatch
			}
			if delay <= orderTimeout {
				s.result(l, maximumStep, failed(err))
			}
			return
		}
		if renewal.Order.Fence < w.fence {
			if delay <= orderTimeout {
				s.result(l, 0, failed(acaciatally.ErrUnavailable))
			}
			return
		}
		w.fence = renewal.Order.Fence
		w.extend(renewal.Order.LeaseUntil, s.now)
		for len(w.ended) > 0 && w.ended[0].Number <= renewal.Order.Acknowledged {
			w.ended = w.ended[1:]
		}
		report := acaciatally.WorkerReport{Clock: w.clock(s.now), StartTime: w.entry.StartTime, Ended: slices.Clone(w.ended)}
		for task, run := range w.runs {
			report.Running = append(report.Running, acaciatally.RunningTask{Task: task, Attempt: run.attempt, Percent: 100})
		}
		if delay <= orderTimeout {
			s.result(l, maximumStep, func() { l.Report(renewal.Worker.ID, report, sent, s.now) })
		}
	})
}

// restart crashes the worker of an instance and starts it again after a time, under its ID or a new one. The directory shows that later.
func (s *maximumSimulation) restart(w *simulatedWorker, downTime time.Duration, keepsID bool) {
	if s.now < w.downUntil {
		return
	}
	w.downUntil = s.now + downTime
	w.boot(w.downUntil)
	before := w.entry.ID
	if !keepsID {
		w.entry.ID += "+"
		s.after(directoryTimeout, func() { delete(w.listed, before) })
	}
	entry := w.entry
	s.after(downTime+300*time.Millisecond, func() { w.listed[entry.ID] = entry })
}

// used returns what the runs on all workers reserve for an account.
func (s *maximumSimulation) used(account acaciatally.AccountName) (used acaciatally.ResourceVector) {
	for _, w := range s.workers {
		for task := range w.runs {
			if s.jobs[task.Job].accepted.Account == account {
				used = used.Plus(s.step0(task).Resources)
			}
		}
	}
	return used
}

// uncounted describes the runs of an account on the workers that the leader does not count.
func (s *maximumSimulation) uncounted(account acaciatally.AccountName) (text string) {
	for _, w := range s.workers {
		known := s.leader.workers[w.entry.ID]
		for task, run := range w.runs {
			if s.jobs[task.Job].accepted.Account != account {
				continue
			}
			key := runKey{task, run.attempt}
			counted := false
			if known != nil {
				_, counted = known.leftovers[key]
				for t := range known.runs {
					counted = counted || t.runKey() == key
				}
			}
			if !counted {
				text += fmt.Sprintf("\n%v attempt %d on %s (%v) until %v, started %v, job %s:%s", task, run.attempt, w.entry.ID, s.step0(task).Resources, run.endsAt, run.startedAt,
					s.jobs[task.Job].progress.State, s.dropped[key])
			}
		}
	}
	for _, start := range s.starts {
		if task := start.order.Task; s.jobs[task.Job].accepted.Account == account {
			text += fmt.Sprintf("\non its way: %v attempt %d to %s (%v) token %d, arrives %v, runs there %v, %s", task, start.order.Attempt, start.id, s.step0(task).Resources,
				start.order.Fence, start.at, start.worker.runs[task], s.dropped[runKey{task, start.order.Attempt}])
		}
	}
	return text
}

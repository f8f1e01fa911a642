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
	random   *rand.Rand
	now      time.Duration
	epoch    uint64
	leader   *Scheduler // nil between two leaders
	events   []simulatedEvent
	workers  []*simulatedWorker
	jobs     map[acaciatally.JobID]*storedJob
	owner    map[acaciatally.QueueName]uint64 // version of the owner record of each partition
	silence  Silence
	version  uint64 // of the configuration
	maximums map[acaciatally.AccountName]acaciatally.ResourceVector
	starts   []*simulatedStart // on their way
	faults   bool
	// answersTrue tells that no answer about an instance is wrong, so that no task may have two runs at the same time.
	answersTrue bool
	maxLease    time.Duration // longest lease that a worker grants
	violation   string
	submitted   int
	ended       map[acaciatally.JobID]acaciatally.JobState
	waiting     map[acaciatally.TaskRef]time.Duration // since when a task waits although it could run
	started     map[acaciatally.TaskRef]int           // latest attempt that a worker has started
	dropped     map[runKey]string                     // why the leaders released runs
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
			s.leader.Retain(queue, id, "", s.now)
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
	l.Plan(s.now, time.UnixMilli(s.now.Milliseconds()))
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

package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// Config is what a Machine needs.
type Config struct {
	Epoch        uint64        // of the leader's lease
	WorkerLease  time.Duration // for which each renewal extends a worker's lease
	LongestLease time.Duration // that a worker grants, also to earlier leaders
	Retention    time.Duration // of the state of an ended job
	EarliestBy   time.Duration // how much before its time an occurrence may start
	Began        time.Duration // when this leader's tenure began
	Journal      Journal
}

// Machine is the state of all jobs and workers during one tenure; now is a monotonic clock that counts suspension.
type Machine struct {
	config        Config
	configuration *acaciatally.Configuration
	jobs          map[acaciatally.JobID]*activeJob
	workers       map[acaciatally.WorkerID]*worker
	partitions    map[acaciatally.QueueName]*partition
	finished      map[jobKey]bool // recorded as ended, and retained
	deferred      []deferredJob   // whose id another queue's job has
	checkAt       time.Duration   // when to look next for runs that are stuck or have to leave
	placeAt       time.Duration   // when to place next, even if nothing has changed
	busy          int             // workers with runs
	bumps         uint64          // rises whenever late orders of before are to be refused
	arrivals      map[acaciatally.PoolName]*arrivals
	runTimes      map[acaciatally.QueueName]*runTime
	advice        map[stepKey]*permissions
	withheld      map[acaciatally.WorkerID]string // workers that are to be emptied, and why
	dueSoon       map[acaciatally.WorkerID]bool   // workers that will have to be emptied soon
}

// New returns a machine that knows nothing yet.
func New(config Config) *Machine {
	return &Machine{
		config:     config,
		jobs:       map[acaciatally.JobID]*activeJob{},
		workers:    map[acaciatally.WorkerID]*worker{},
		partitions: map[acaciatally.QueueName]*partition{},
		finished:   map[jobKey]bool{},
		arrivals:   map[acaciatally.PoolName]*arrivals{},
		runTimes:   map[acaciatally.QueueName]*runTime{},
		advice:     map[stepKey]*permissions{},
		withheld:   map[acaciatally.WorkerID]string{},
	}
}

// jobKey tells jobs of different queues apart; tasks are named by the job's id alone.
type jobKey struct {
	queue acaciatally.QueueName
	id    acaciatally.JobID
}

// deferredJob is a job that waits until another queue's job of its id has ended.
type deferredJob struct {
	id       acaciatally.JobID
	accepted job.Accepted
	progress job.Progress
}

// Configure puts a configuration in force; an older one changes nothing.
func (m *Machine) Configure(configuration *acaciatally.Configuration) {
	if m.configuration != nil && configuration.Version <= m.configuration.Version {
		return
	}
	m.configuration = configuration
	for _, queue := range configuration.Queues {
		for _, j := range m.jobs {
			if j.accepted.Queue.Name == queue.Name {
				j.accepted.Queue = queue
			}
		}
	}
}

// activeJob is a job of which something is left to do.
type activeJob struct {
	id         acaciatally.JobID
	accepted   job.Accepted
	state      acaciatally.JobState
	digest     uint64
	next       int // number of the next occurrence
	open       []*occurrence
	arrived    time.Duration // when this leader learned of it
	dirty      bool
	lateness   lateness
	outlook    outlook
	lasting    bool // it has tasks that run until it is cancelled
	changed    bool // a task has begun or ceased to wait since the last placement
	cancelKey  bool // a request to cancel it is recorded
	unacked    []endRef
	endedAt    time.Duration // when its final state was recorded; 0 before
	waitingRow bool          // it is recorded as waiting
	cleared    bool          // its records but the final state are deleted
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	opened time.Duration // when this leader opened it or learned of it
	steps  [][]*task
}

// endRef names an end that a worker has listed.
type endRef struct {
	worker acaciatally.WorkerID
	born   time.Time
	number uint64
}

// stage is how far the current run of an assigned task is.
type stage int

const (
	planned  stage = iota // not recorded yet, nothing was ordered
	recorded              // recorded, the start may be ordered
	ordered               // the start was sent
	running               // the worker has confirmed it
	unknown               // found in the records of an earlier leader
)

// stopReason says why a run is being stopped; empty lets it run.
type stopReason string

const (
	stopJobEnded stopReason = "job ended"
	stopMoved    stopReason = "instance is needed elsewhere"
	stopStuck    stopReason = "no progress"
	stopPreempt  stopReason = "preempted"
	stopUnsure   stopReason = "start not confirmed"
	stopCopyWon  stopReason = "another copy ended first"
)

// task is one task of an occurrence.
type task struct {
	job          *activeJob
	ref          acaciatally.TaskRef
	step         *acaciatally.Step
	phase        job.Phase
	stage        stage
	attempt      int
	at           *worker // where its run is; nil without one
	failures     int
	checkpoint   string
	stop         stopReason
	stopSent     bool          // a stop is on its way
	stopped      time.Duration // when a stop was confirmed; 0 before
	ambiguous    bool          // a start of this run may still be carried out
	tries        int           // starts sent for this run
	retryAt      time.Duration
	orderedAt    time.Duration // when the start was first sent
	confirmed    time.Duration // when the start was confirmed
	percent      int
	percentAt    time.Duration
	moved        time.Duration // when the percentage last rose
	took         time.Duration // run time of the run that was done; 0 if it is not known
	tail         time.Duration
	pace         int // percent in force; 100 is unpaced
	paceWanted   int
	avoid        map[acaciatally.WorkerID]time.Duration // workers on which it failed, until when
	waitingSince time.Duration                          // when a lasting task first found no room
}

// assigned reports whether a run exists, or may exist, on a worker.
func (t *task) assigned() bool { return t.phase == job.Assigned }

// assign plans a run on the worker.
func (t *task) assign(w *worker, s stage) {
	t.phase, t.stage, t.at = job.Assigned, s, w
	w.runs[t] = true
	w.load.add(t.step, 1)
	t.job.dirty = true
}

// workerID returns where the task's run is, or nothing.
func (t *task) workerID() acaciatally.WorkerID {
	if t.at == nil {
		return ""
	}
	return t.at.entry.ID
}

// release makes the task wait again; its run is surely over or never began.
func (t *task) release() {
	if t.at != nil {
		delete(t.at.runs, t)
		t.at.load.add(t.step, -1)
	}
	t.phase, t.stage, t.at = job.Waiting, planned, nil
	t.stop, t.stopSent, t.stopped, t.ambiguous, t.tries = "", false, 0, false, 0
	t.orderedAt, t.confirmed, t.percent, t.percentAt, t.tail = 0, 0, 0, 0, 0
	t.pace, t.paceWanted = fullPace, fullPace
	t.waitingSince = 0
	t.job.dirty, t.job.changed = true, true
}

// fullPace is the share in percent of a run that is not slowed down.
const fullPace = 100

// tasks calls visit for each task of the open occurrences.
func (j *activeJob) tasks(visit func(t *task)) {
	for _, o := range j.open {
		for _, step := range o.steps {
			for _, t := range step {
				visit(t)
			}
		}
	}
}

// live reports whether the job still has work to do.
func (j *activeJob) live() bool { return !j.state.Ended() }

func (o *occurrence) stepDone(step int) bool {
	for _, t := range o.steps[step] {
		if t.phase != job.Done {
			return false
		}
	}
	return true
}

func (o *occurrence) done() bool {
	for step := range o.steps {
		if !o.stepDone(step) {
			return false
		}
	}
	return true
}

// ready reports whether the tasks of the step may start.
func (o *occurrence) ready(spec *acaciatally.JobSpec, step int) bool {
	for _, earlier := range spec.Steps[step].After {
		if !o.stepDone(earlier) {
			return false
		}
	}
	return true
}

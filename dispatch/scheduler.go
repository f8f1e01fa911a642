package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/sharing"
	"github.com/acaciatally/acaciatally/speed"
)

// Config configures a Scheduler.
type Config struct {
	Epoch           uint64        // fencing epoch of the leader's lease
	WorkerLease     time.Duration // how far each renewal extends a worker's lease
	MaxLease        time.Duration // longest lease that a worker grants, also to earlier leaders
	Retention       time.Duration // how long the state of an ended job is kept
	MaxEarlyStart   time.Duration // how much earlier than scheduled an occurrence may start
	LeadershipStart time.Duration // start of this term of leadership
	MaxCommitBytes  int           // size of the progress records in one transaction; 0 is MaxCommitBytes
	MaxRecordBytes  int           // size of the largest record that the store takes; 0 is job.DefaultRecordBytes
	MaxBacklogBytes int64         // memory for jobs; those that do not fit stay in the record store. 0 is unlimited
	EventLog        EventLog
	// QuotaWindow is the time over which the rate of an account's jobs is counted; if it is 0, the defaults apply to all three.
	QuotaWindow time.Duration
	// IgnoreWorkerSpeed turns off what is learned of the speed of workers and of the times of steps by their number.
	IgnoreWorkerSpeed bool
	// QuotaOverage is the part of its weight by which an account may exceed its rate of jobs.
	QuotaOverage float64
	// QuotaSlack is how many more jobs may arrive in each window, for accounts with few and irregular arrivals.
	QuotaSlack int
	// Interference tells what is done about kinds of tasks that slow each other down on one worker; empty is off.
	Interference interference.Mode
}

// Scheduler holds the state of all jobs and workers during one term of leadership. In its methods, now is a monotonic clock that includes
// time spent suspended.
type Scheduler struct {
	config          Config
	configuration   *acaciatally.Configuration
	jobs            map[acaciatally.JobID]*activeJob
	workers         map[acaciatally.WorkerID]*worker
	partitions      map[acaciatally.QueueName]*partition
	retained        map[jobKey]backlog.Source // ended jobs whose progress record is still stored
	backlog         *backlog.Ledger
	deferredJobs    []deferredJob // jobs whose ID is in use by a job of another queue
	nextCheckAt     time.Duration // time of the next check for stalled runs and workers to drain
	nextPlacementAt time.Duration // time of the next placement, even if nothing has changed
	nextFullScanAt  time.Duration // time of the next search of all workers for orders
	busyWorkers     int           // workers with runs
	fenceBumps      uint64        // incremented to invalidate orders that are still in flight
	arrivals        map[acaciatally.PoolName]*arrivals
	accountJobs     map[acaciatally.AccountName]*accountJobs
	runTimes        map[acaciatally.QueueName]*runTimeMeans
	permissions     map[stepKey]*stepPermissions
	suspects        map[acaciatally.InstanceID]suspectRuns // of workers that could not be reached
	toDrain         map[acaciatally.WorkerID]string        // workers to drain, and the reason
	drainSoon       map[acaciatally.WorkerID]bool          // workers that will have to be drained soon
	usages          map[acaciatally.AccountName]*accountUsage
	nextUsageAt     time.Duration // when the metrics of the accounts are set again
	maximumsDue     bool          // a new configuration may have lowered the maximum of an account
	silence         silence
	starts          startWindow
	heldStarts      int // start orders that the window held back in the last round
	startRate       startRate
	shares          shares
	interference    *interferenceTracker
	speeds          speeds
}

// New returns a scheduler without jobs and workers.
func New(config Config) *Scheduler {
	if config.MaxCommitBytes == 0 {
		config.MaxCommitBytes = MaxCommitBytes
	}
	if config.MaxRecordBytes == 0 {
		config.MaxRecordBytes = job.DefaultRecordBytes
	}
	if config.QuotaWindow == 0 {
		config.QuotaWindow, config.QuotaOverage, config.QuotaSlack = sharing.DefaultWindow, sharing.DefaultOverage, sharing.DefaultSlack
	}
	return &Scheduler{
		config:      config,
		jobs:        map[acaciatally.JobID]*activeJob{},
		workers:     map[acaciatally.WorkerID]*worker{},
		partitions:  map[acaciatally.QueueName]*partition{},
		retained:    map[jobKey]backlog.Source{},
		backlog:     backlog.NewLedger(config.MaxBacklogBytes),
		arrivals:    map[acaciatally.PoolName]*arrivals{},
		runTimes:    map[acaciatally.QueueName]*runTimeMeans{},
		permissions: map[stepKey]*stepPermissions{},
		suspects:    map[acaciatally.InstanceID]suspectRuns{},
		toDrain:     map[acaciatally.WorkerID]string{},
		usages:      map[acaciatally.AccountName]*accountUsage{},
		silence:     silence{mayBeStored: map[acaciatally.WorkerID]bool{}},
		starts:      newStartWindow(),
		startRate:   newStartRate(),
		shares:      shares{accounts: map[acaciatally.AccountName]*accountShare{}, pools: map[acaciatally.PoolName]*poolShares{}},

		interference: newInterferenceTracker(config.Interference),
		speeds:       speeds{kinds: map[kindKey]*speed.Kind{}, disabled: config.IgnoreWorkerSpeed},
	}
}

// jobKey identifies a job by its queue and ID; tasks are identified by the job's ID alone.
type jobKey struct {
	queue acaciatally.QueueName
	jobID acaciatally.JobID
}

// deferredJob is a job that is loaded once another queue's job with the same ID has ended.
type deferredJob struct {
	jobID    acaciatally.JobID
	accepted job.Accepted
	progress job.Progress
	cancel   bool // a cancel request is recorded
}

// Configure applies a configuration unless its version is older than or equal to the current one.
func (s *Scheduler) Configure(configuration *acaciatally.Configuration) {
	if s.configuration != nil && configuration.Version <= s.configuration.Version {
		return
	}
	s.configuration = configuration
	s.configureShares()
	s.maximumsDue = len(s.usages) > 0
	for _, u := range s.usages {
		u.configure(configuration)
	}
	for _, queue := range configuration.Queues {
		for _, j := range s.jobs {
			if j.accepted.Queue.Name == queue.Name {
				j.accepted.Queue = queue
			}
		}
	}
}

// activeJob is a job that has not ended, or has ended but still has runs to stop or records to update.
type activeJob struct {
	id               acaciatally.JobID
	accepted         job.Accepted
	usage            *accountUsage // of its account; nil without one
	state            acaciatally.JobState
	digest           uint64
	nextOccurrence   int // number of the next occurrence to open
	openOccurrences  []*occurrence
	arrivedAt        time.Duration // when the job was accepted, on this leader's clock, at most maxJobAge before it was loaded
	dirty            bool          // its records are out of date
	inCommit         bool          // a commit of it is in flight
	lateness         lateness
	estimate         estimate
	hasLongRunning   bool          // has tasks that run until the job is cancelled
	account          *accountShare // of the job's owner; nil without one
	beyondRate       bool          // beyond the rate of its account; runs only on lent capacity
	hasGang          bool          // has a step whose tasks run all at the same time or not at all
	placementDue     bool          // a task has started or stopped waiting since the last placement
	hasCancelRecord  bool          // a cancel request is recorded
	unrecordedEnds   []endRef
	refusedUntil     time.Duration // when its record may be sent again that the store has refused; 0 if it has not
	endRecordedAt    time.Duration // when the commit of the final state was applied; 0 before
	hasWaitingRecord bool          // its record in job.WaitingTable may still exist
	recordsDeleted   bool          // all records but the progress record are deleted
	counted          bool          // it is counted in accountJobs.begun
	backlogBytes     int64         // its memory as the backlog counts it
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number   int
	openedAt time.Duration // when this leader opened or loaded it
	steps    [][]*task
}

// endRef identifies the end of a run that a worker has listed.
type endRef struct {
	worker      acaciatally.WorkerID
	workerStart time.Time
	number      uint64
}

// stage is the state of the current run of an assigned task.
type stage int

const (
	stagePlanned   stage = iota // not recorded, no order sent
	stageRecorded               // recorded, the start order may be sent
	stageOrdered                // start order sent
	stageRunning                // confirmed by the worker
	stageInherited              // found in the records of an earlier leader, not confirmed yet
)

// stopReason is why a run is being stopped; empty if it is not.
type stopReason string

const (
	stopJobEnded    stopReason = "job ended"
	stopDraining    stopReason = "worker is being drained"
	stopStalled     stopReason = "no progress"
	stopPreempted   stopReason = "preempted"
	stopReclaimed   stopReason = "lent capacity is reclaimed"
	stopUnconfirmed stopReason = "start not confirmed"
	stopCopyEnded   stopReason = "another copy ended first"
	stopGangBroken  stopReason = "a member of its gang has no run"
)

// task is one task of an occurrence. Each attempt to execute it on a worker is a run.
type task struct {
	job                 *activeJob
	ref                 acaciatally.TaskRef
	step                *acaciatally.Step
	phase               job.Phase
	stage               stage
	attempt             int
	worker              *worker // worker of the current run; nil without a run
	failures            int
	failedOn            []acaciatally.WorkerID // workers on which runs have failed under this leader
	crashes             int                    // workers that have crashed under a run of the task since it last ran for some time
	unconfirmedCrashes  int                    // the same for runs that may not have started
	crashStreak         int                    // latest runs in a row under which workers have crashed within crashStreakWindow, or after similar times
	crashDelay          time.Duration          // how long the last of these runs had gone on; 0 if an earlier leader counted it
	countedAsSuspect    bool                   // it is counted in suspectRuns of its worker
	checkpoint          string
	stopReason          stopReason
	stopInFlight        bool          // a stop order is in flight
	stoppedAt           time.Duration // when the worker confirmed the stop; 0 before
	startOutcomeUnknown bool          // a start order of this run may still take effect
	startAttempts       int           // start orders sent for this run
	retryAt             time.Duration
	startSentAt         time.Duration // when the first start order was sent
	confirmedAt         time.Duration // when the start was confirmed
	percent             int
	percentReportedAt   time.Duration
	progressedAt        time.Duration // when the percentage last increased
	timePerPercent      time.Duration // time that the last increase took, by percent; 0 before the first one
	stalls              int           // runs of the task that were stopped as stalled
	runTime             time.Duration // run time of the completed run; 0 if unknown
	tailLatency         time.Duration
	cpuShare            int // in percent, as confirmed by the worker; 100 is unthrottled
	cpuShareWanted      int
	avoidUntil          map[acaciatally.WorkerID]time.Duration // workers on which the task failed, and until when to avoid them
	observed            *observedRun                           // of the current run; nil if interference is not observed
	conflicts           []interference.KindID                  // while it is being placed, the kinds to keep it apart from
	unplacedSince       time.Duration                          // when placing a long-running task first failed or last preempted runs; 0 before
}

// assigned reports whether the task has a run, which may or may not exist on the worker.
func (t *task) assigned() bool { return t.phase == job.Assigned }

// assign assigns the task to the worker.
func (t *task) assign(w *worker, s stage) {
	t.phase, t.stage, t.worker = job.Assigned, s, w
	w.runs[t] = true
	w.load.add(t.step, 1)
	if a := t.job.account; a != nil {
		a.used = a.used.Plus(t.step.Reserved())
	}
	t.job.usage.add(t.step.Resources, 1)
	w.neighbours.assign(t)
	t.joinSuspects()
	t.job.dirty = true
}

// workerID returns the worker of the current run, or an empty ID without a run.
func (t *task) workerID() acaciatally.WorkerID {
	if t.worker == nil {
		return ""
	}
	return t.worker.entry.ID
}

// release returns the task to waiting. The caller must be sure that its run is over or was never started, or call keepLeftover before.
func (t *task) release() {
	if t.worker != nil {
		delete(t.worker.runs, t)
		t.worker.load.add(t.step, -1)
		if a := t.job.account; a != nil {
			a.used = a.used.Minus(t.step.Reserved())
		}
		t.job.usage.add(t.step.Resources, -1)
		t.worker.neighbours.release(t)
		t.leaveSuspects()
	}
	t.phase, t.stage, t.worker = job.Waiting, stagePlanned, nil
	t.stopReason, t.stopInFlight, t.stoppedAt, t.startOutcomeUnknown, t.startAttempts = "", false, 0, false, 0
	t.startSentAt, t.confirmedAt, t.percent, t.percentReportedAt, t.timePerPercent, t.tailLatency = 0, 0, 0, 0, 0, 0
	t.cpuShare, t.cpuShareWanted = fullPercent, fullPercent
	t.unplacedSince = 0
	t.job.dirty, t.job.placementDue = true, true
}

// fullPercent is the CPU share of an unthrottled run and the progress of a long-running task that is up, in percent.
const fullPercent = 100

// unknownCPUShare is the CPU share of a backfill run that an earlier leader may have throttled; it differs from every share that is ordered.
const unknownCPUShare = -1

// eachTask calls visit for each task of the open occurrences.
func (j *activeJob) eachTask(visit func(t *task)) {
	for _, o := range j.openOccurrences {
		for _, step := range o.steps {
			for _, t := range step {
				visit(t)
			}
		}
	}
}

// live reports whether the job has not ended.
func (j *activeJob) live() bool { return !j.state.Ended() }

// endRecorded reports whether the final state of the job is recorded.
func (j *activeJob) endRecorded() bool { return j.endRecordedAt > 0 }

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

// ready reports whether all steps that the step depends on are done.
func (o *occurrence) ready(spec *acaciatally.JobSpec, step int) bool {
	for _, earlier := range spec.Steps[step].After {
		if !o.stepDone(earlier) {
			return false
		}
	}
	return true
}

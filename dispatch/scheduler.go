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
	directoryRead   bool          // the worker directory has been read
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

package task

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Scheduler is the state machine of a pool's tasks; it performs no I/O and must be used by one goroutine only.
type Scheduler struct {
	config         SchedulerConfig
	epoch          uint64
	jobs           map[string]*job
	live           map[string]*job // jobs with an attempt that may be running
	dirty          map[string]*job // jobs with a proposed record to be written
	bytes          int64           // memory of all jobs
	full           bool            // the result of the last call of Full
	workers        map[acaciatally.InstanceID]*workerHealth
	poolView       PoolView
	estimator      *UsageEstimator
	remainingUsage map[acaciatally.InstanceID]acaciatally.Resources // used on each worker by attempts that are not vacating
	expiredRows    []RowWrite                                       // rows past their retention
	// Reports have arrived without a gap from reportsSince to lastReportAt.
	reportsSince, lastReportAt time.Time
}

// job is the in-memory state of one task.
type job struct {
	record           Record
	version          uint64     // row version of record
	next             *Record    // proposed record that is not written yet; nil if there is none
	pendingDecisions []Decision // decisions that go into the next record
	attempt          attempt
	retryAt          time.Time // no new attempt before this time
	readAt           time.Time // when the row was last read or written
	bytes            int64     // memory that is counted in Scheduler.bytes
	// useDeclared makes the scheduler place the task with its declared resources; it is set for baselines.
	useDeclared     bool
	reasonWrittenAt time.Time // when the reason for waiting was last written
}

// NewScheduler returns a scheduler without tasks that writes under the lease epoch.
func NewScheduler(config SchedulerConfig, epoch uint64) *Scheduler {
	config.setDefaults()
	return &Scheduler{
		config:    config,
		epoch:     epoch,
		jobs:      map[string]*job{},
		live:      map[string]*job{},
		dirty:     map[string]*job{},
		workers:   map[acaciatally.InstanceID]*workerHealth{},
		estimator: NewUsageEstimator(),
	}
}

// Epoch returns the lease epoch under which the scheduler writes.
func (s *Scheduler) Epoch() uint64 { return s.epoch }

// setRecord sets the current record to one that is in the table; ownWrite says that this scheduler wrote it.
func (s *Scheduler) setRecord(j *job, record Record, version uint64, now time.Time, ownWrite bool) {
	sameAttempt := record.Attempt == j.record.Attempt && j.version > 0
	j.record, j.version, j.readAt = record, version, now
	if !sameAttempt {
		j.attempt = s.newAttempt(record, now, ownWrite)
	}
	if s.tracksAttempt(j, now) {
		s.live[record.Spec.ID] = j
		s.resize(j)
		return
	}
	delete(s.live, record.Spec.ID)
	if record.Phase.Ended() {
		j.record.Spec.Command, j.record.Decisions = nil, nil // it never runs again, and its row is not written again
	}
	s.resize(j)
}

// tracksAttempt reports whether the scheduler still has to track an attempt; the attempt of a cancelled task is tracked until it has
// stopped or its lease has expired.
func (s *Scheduler) tracksAttempt(j *job, now time.Time) bool {
	if j.record.Phase.Live() {
		return true
	}
	return j.record.Phase == Cancelled && j.record.Worker != "" && !j.attempt.stopped &&
		now.Sub(j.record.Ended) < s.config.LeaseTerm+s.config.MaxClockSkew
}

// propose sets the next record of the job, which is to be written.
func (s *Scheduler) propose(j *job, next Record) {
	next.Epoch = s.epoch
	if len(j.pendingDecisions) > 0 {
		decisions := append(slices.Clone(j.pendingDecisions), next.Decisions[len(next.Decisions)-1])
		merged := append(slices.Clone(next.Decisions[:len(next.Decisions)-1]), decisions...)
		next.Decisions = merged[max(0, len(merged)-maxDecisions):]
	}
	j.next = &next
	s.dirty[next.Spec.ID] = j
}

func (j *job) addDecision(now time.Time, reason string) {
	if len(j.pendingDecisions) == maxDecisions {
		j.pendingDecisions = j.pendingDecisions[1:]
	}
	j.pendingDecisions = append(j.pendingDecisions, Decision{At: now, Phase: j.record.Phase, Worker: j.record.Worker, Reason: reason})
}

// Workers returns the IDs of the pool's workers and of workers that have left it with attempts that may be running, sorted.
func (s *Scheduler) Workers() (workers []acaciatally.InstanceID) {
	for _, worker := range s.poolView.Workers {
		workers = append(workers, worker.ID)
	}
	for _, j := range s.live {
		workers = append(workers, j.record.Worker)
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}

// Running returns the number of attempts that may be running on a worker.
func (s *Scheduler) Running(worker acaciatally.InstanceID) (count int) {
	for _, j := range s.live {
		if j.record.Worker == worker {
			count++
		}
	}
	return count
}

// Count returns the number of known tasks in a phase.
func (s *Scheduler) Count(phase Phase) (count int) {
	for _, j := range s.jobs {
		if j.record.Phase == phase {
			count++
		}
	}
	return count
}

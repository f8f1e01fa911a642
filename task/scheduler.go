package task

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally"
)

// SchedulerConfig configures a Scheduler; zero values take the defaults.
type SchedulerConfig struct {
	Pool                acaciatally.PoolName
	LeaseTerm           time.Duration // of an attempt's lease
	MaxClockSkew        time.Duration // largest difference between two clocks
	MaxReportLag        time.Duration // largest lag of usage reports
	UrgentVacateTimeout time.Duration // time to write a checkpoint before a more urgent task takes the resources
	VacateTimeout       time.Duration // time to write a checkpoint when vacated for another reason
	CheckpointInterval  time.Duration // between two checkpoints; bounds the work lost with an attempt
	Retention           time.Duration // of ended tasks' rows
	Floors              Floors
	MaxStarts           int      // limits the rows written in one round
	MaxBytes            int64    // memory for tasks; further ones wait in the inbox and new ones are refused. 0 is unlimited
	Baseline            Baseline // replaces part of the scheduling policy in measurements
}

// Baseline is a simple scheduling policy against which the full policy is measured.
type Baseline int

// The baselines; FullPolicy is the full policy.
const (
	FullPolicy            Baseline = iota
	BaselineDeclaredSizes          // places tasks with their declared resources
	BaselineArrivalOrder           // also starts tasks in the order of their arrival, without teams and urgency
)

const (
	defaultLeaseTerm    = time.Minute
	defaultMaxClockSkew = 5 * time.Second
	defaultMaxReportLag = 30 * time.Second
	// defaultUrgentVacateTimeout is about half of the 1.7 s within which an urgent task has to start. The other half is left for the
	// commits and the start order.
	defaultUrgentVacateTimeout = 800 * time.Millisecond
	defaultVacateTimeout       = 30 * time.Second
	defaultCheckpointInterval  = 10 * time.Minute
	defaultRetention           = time.Hour
	defaultMaxStarts           = 200
)

func (c *SchedulerConfig) setDefaults() {
	for _, value := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&c.LeaseTerm, defaultLeaseTerm},
		{&c.MaxClockSkew, defaultMaxClockSkew},
		{&c.MaxReportLag, defaultMaxReportLag},
		{&c.UrgentVacateTimeout, defaultUrgentVacateTimeout},
		{&c.VacateTimeout, defaultVacateTimeout},
		{&c.CheckpointInterval, defaultCheckpointInterval},
		{&c.Retention, defaultRetention},
	} {
		if *value.field == 0 {
			*value.field = value.fallback
		}
	}
	if c.Floors == (Floors{}) {
		c.Floors = DefaultFloors
	}
	if c.MaxStarts == 0 {
		c.MaxStarts = defaultMaxStarts
	}
}

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

// RowWrite is a row to be written under the condition that it still has the version.
type RowWrite struct {
	Key      string
	Version  uint64
	Value    []byte // empty deletes the row
	IndexKey string // key of the index row to be deleted with it; empty for none
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

// Load updates the tasks from rows of the table; a row whose version is already known changes nothing. It returns the IDs of tasks that have to
// wait in the inbox, because there is no memory for them, and the error of the last row that could not be decoded.
func (s *Scheduler) Load(rows []acaciatally.Row, now time.Time) (waiting []string, err error) {
	prefix := RowKey(s.config.Pool, "")
	for _, row := range rows {
		if known, found := s.jobs[strings.TrimPrefix(row.Key, prefix)]; found && known.version >= row.Version {
			known.readAt = now
			continue
		}
		record, decodeErr := Decode(row.Value)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		if s.mustWait(record) {
			waiting = append(waiting, record.Spec.ID)
			continue
		}
		s.loadRecord(record, row.Version, now)
	}
	return waiting, err
}

func (s *Scheduler) loadRecord(record Record, version uint64, now time.Time) {
	id := record.Spec.ID
	known, found := s.jobs[id]
	if record.Phase.Ended() && s.expire(record, version, now) {
		return
	}
	if !found {
		known = &job{useDeclared: s.config.Baseline != FullPolicy}
		s.jobs[id] = known
		s.observeLoadedRecord(record)
	}
	ownWrite := known.next != nil && bytes.Equal(known.next.Encode(), record.Encode())
	known.next = nil
	delete(s.dirty, id)
	s.setRecord(known, record, version, now, ownWrite)
}

// expire removes an ended task and schedules the deletion of its row; it returns false and does nothing if the retention has not passed.
func (s *Scheduler) expire(record Record, version uint64, now time.Time) bool {
	if now.Sub(record.Ended) < s.config.Retention {
		return false
	}
	s.expiredRows = append(s.expiredRows, RowWrite{
		Key: RowKey(s.config.Pool, record.Spec.ID), Version: version, IndexKey: indexKey(record.Spec.ID),
	})
	s.remove(record.Spec.ID)
	return true
}

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

// PendingWrites returns up to limit rows to be written, the most urgent tasks first. It sets the end of ended tasks to now, so that an
// outage of the table does not use up the retention.
func (s *Scheduler) PendingWrites(now time.Time, limit int) (writes []RowWrite) {
	pending := make([]*job, 0, len(s.dirty))
	for _, j := range s.dirty {
		pending = append(pending, j)
	}
	slices.SortFunc(pending, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.record.Spec.Urgency, b.record.Spec.Urgency), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	for _, j := range pending[:min(limit, len(pending))] {
		if j.next.Phase.Ended() {
			j.next.Ended = now
		}
		writes = append(writes, RowWrite{Key: RowKey(s.config.Pool, j.record.Spec.ID), Version: j.version, Value: j.next.Encode()})
	}
	expired := min(limit-len(writes), len(s.expiredRows))
	writes = append(writes, s.expiredRows[:expired]...)
	s.expiredRows = s.expiredRows[expired:]
	return writes
}

// ApplyWriteResults updates the scheduler after the rows were written with the given version.
func (s *Scheduler) ApplyWriteResults(writes []RowWrite, version uint64, now time.Time) {
	for _, write := range writes {
		record, err := Decode(write.Value)
		if err != nil || len(write.Value) == 0 {
			continue
		}
		j, found := s.jobs[record.Spec.ID]
		if !found || j.version >= version {
			continue
		}
		j.next, j.pendingDecisions = nil, nil
		delete(s.dirty, record.Spec.ID)
		s.setRecord(j, record, version, now, true)
	}
}

// rereadInterval is the interval at which the rows of live attempts are reread. It bounds how long a cancelled attempt keeps running
// when its stop order was lost. It is as long as the lease of an attempt, since each read uses the platform's budget: about 15 bytes a
// second for a running task.
const rereadInterval = time.Minute

// StaleKeys returns up to limit keys of tasks with live attempts whose rows have not been read for rereadInterval.
func (s *Scheduler) StaleKeys(now time.Time, limit int) (keys []string) {
	for _, j := range s.sortedLive() {
		if len(keys) < limit && now.Sub(j.readAt) >= rereadInterval {
			keys = append(keys, RowKey(s.config.Pool, j.record.Spec.ID))
		}
	}
	return keys
}

// WaitingKeys returns up to limit keys of waiting tasks, the oldest first.
func (s *Scheduler) WaitingKeys(limit int) (keys []string) {
	var waiting []*job
	for _, j := range s.jobs {
		if j.record.Phase == Waiting && j.next == nil {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		return cmp.Or(a.record.Accepted.Compare(b.record.Accepted), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	for _, j := range waiting[:min(limit, len(waiting))] {
		keys = append(keys, RowKey(s.config.Pool, j.record.Spec.ID))
	}
	return keys
}

// RowDeleted removes the task of a row that no longer exists.
func (s *Scheduler) RowDeleted(key string) {
	id, _ := strings.CutPrefix(key, RowKey(s.config.Pool, ""))
	s.remove(id)
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

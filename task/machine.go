package task

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally"
)

// MachineConfig tunes a Machine; zero values take the defaults.
type MachineConfig struct {
	Pool            acaciatally.PoolName
	Term            time.Duration // of the lease of an attempt
	Skew            time.Duration // bound on the difference of two clocks
	ReportGrace     time.Duration // bound on the lag of the reports
	UrgentVacate    time.Duration // time to checkpoint before an urgent task takes the place
	Vacate          time.Duration // time to checkpoint before another reason takes the place
	CheckpointEvery time.Duration // bounds the work that a lapse loses
	Retention       time.Duration // of the rows of ended tasks
	Floors          Floors
	MaxStarts       int      // bounds the rows written by one round
	Baseline        Baseline // replaces a part of the policy in measurements
}

// Baseline is a simple policy against which the policy is measured.
type Baseline int

// The baselines; NoBaseline is the whole policy.
const (
	NoBaseline            Baseline = iota
	BaselineDeclaredSizes          // believes the declared sizes
	BaselineArrivalOrder           // believes the declared sizes and starts tasks in the order of their arrival
)

const (
	defaultTerm            = time.Minute
	defaultSkew            = 5 * time.Second
	defaultReportGrace     = 30 * time.Second
	defaultUrgentVacate    = 800 * time.Millisecond // leaves half of the 1.7 s for the commits and the start
	defaultVacate          = 30 * time.Second
	defaultCheckpointEvery = 10 * time.Minute
	defaultRetention       = time.Hour
	defaultMaxStarts       = 200
)

func (c *MachineConfig) fill() {
	for _, value := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&c.Term, defaultTerm},
		{&c.Skew, defaultSkew},
		{&c.ReportGrace, defaultReportGrace},
		{&c.UrgentVacate, defaultUrgentVacate},
		{&c.Vacate, defaultVacate},
		{&c.CheckpointEvery, defaultCheckpointEvery},
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

// Machine is the state machine of a pool's tasks; it performs no I/O and is used by one goroutine.
type Machine struct {
	config  MachineConfig
	epoch   uint64
	jobs    map[string]*job
	live    map[string]*job // jobs with an attempt that may be running
	dirty   map[string]*job // jobs with a record to be saved
	workers map[acaciatally.InstanceID]*workerView
	fleet   Fleet
	learner *Learner
	staying map[acaciatally.InstanceID]acaciatally.Resources // taken on each worker by attempts that do not leave
	expired []Save                                           // rows past their retention
	// Reports have come without a gap from reportsSince to reportedAt.
	reportsSince, reportedAt time.Time
}

// job is what the controller knows of one task.
type job struct {
	record  Record
	version uint64 // row version of record
	next    *Record
	notes   []Decision // decisions that go into the next record
	attempt attempt
	retryAt time.Time // no new attempt before it
	readAt  time.Time // when the row was last read or written
	// believed keeps the declared size in force in the measurements of baselines.
	believed bool
	spoken   time.Time // when the reason for waiting was last written
}

// Save is a row to be written under the condition that it still has the version.
type Save struct {
	Key     string
	Version uint64
	Value   []byte // empty deletes the row
	Index   string // further row to be deleted with it
}

// NewMachine returns a machine without tasks that writes under the lease epoch.
func NewMachine(config MachineConfig, epoch uint64) *Machine {
	config.fill()
	return &Machine{
		config:  config,
		epoch:   epoch,
		jobs:    map[string]*job{},
		live:    map[string]*job{},
		dirty:   map[string]*job{},
		workers: map[acaciatally.InstanceID]*workerView{},
		learner: NewLearner(),
	}
}

// Epoch returns the lease epoch under which the machine writes.
func (m *Machine) Epoch() uint64 { return m.epoch }

// Load takes in rows as they are in the table; a row that is known at its version changes nothing.
func (m *Machine) Load(rows []acaciatally.Row, now time.Time) (err error) {
	prefix := RowKey(m.config.Pool, "")
	for _, row := range rows {
		if known, found := m.jobs[strings.TrimPrefix(row.Key, prefix)]; found && known.version >= row.Version {
			known.readAt = now
			continue
		}
		record, decodeErr := Decode(row.Value)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		m.load(record, row.Version, now)
	}
	return err
}

func (m *Machine) load(record Record, version uint64, now time.Time) {
	id := record.Spec.ID
	known, found := m.jobs[id]
	if record.Phase.Ended() && m.retire(record, version, now) {
		return
	}
	if !found {
		known = &job{believed: m.config.Baseline != NoBaseline}
		m.jobs[id] = known
		m.recall(record)
	}
	own := known.next != nil && bytes.Equal(known.next.Encode(), record.Encode())
	known.next = nil
	delete(m.dirty, id)
	m.become(known, record, version, now, own)
}

// retire reports whether an ended task has been kept long enough, and has its row deleted.
func (m *Machine) retire(record Record, version uint64, now time.Time) bool {
	if now.Sub(record.Ended) < m.config.Retention {
		return false
	}
	m.expired = append(m.expired, Save{
		Key: RowKey(m.config.Pool, record.Spec.ID), Version: version, Index: indexKey(record.Spec.ID),
	})
	delete(m.jobs, record.Spec.ID)
	delete(m.live, record.Spec.ID)
	return true
}

// become makes a record that is in the table the present one; own tells that this machine wrote it.
func (m *Machine) become(j *job, record Record, version uint64, now time.Time, own bool) {
	same := record.Attempt == j.record.Attempt && j.version > 0
	j.record, j.version, j.readAt = record, version, now
	if !same {
		j.attempt = m.newAttempt(record, now, own)
	}
	if m.mayRun(j, now) {
		m.live[record.Spec.ID] = j
		return
	}
	delete(m.live, record.Spec.ID)
}

// mayRun reports whether the machine still has to deal with an attempt, cancelled ones included.
func (m *Machine) mayRun(j *job, now time.Time) bool {
	if j.record.Phase.Live() {
		return true
	}
	return j.record.Phase == Cancelled && j.record.Worker != "" && !j.attempt.stopped && now.Sub(j.record.Ended) < m.config.Term+m.config.Skew
}

// propose sets the record that the job is to have.
func (m *Machine) propose(j *job, next Record) {
	next.Epoch = m.epoch
	if len(j.notes) > 0 {
		decisions := append(slices.Clone(j.notes), next.Decisions[len(next.Decisions)-1])
		merged := append(slices.Clone(next.Decisions[:len(next.Decisions)-1]), decisions...)
		next.Decisions = merged[max(0, len(merged)-maxDecisions):]
	}
	j.next = &next
	m.dirty[next.Spec.ID] = j
}

func (j *job) note(now time.Time, reason string) {
	if len(j.notes) == maxDecisions {
		j.notes = j.notes[1:]
	}
	j.notes = append(j.notes, Decision{At: now, Phase: j.record.Phase, Worker: j.record.Worker, Reason: reason})
}

// Saves returns up to limit rows that are to be written, the most urgent tasks first. An end counts from when it is written, so that
// an outage does not use up the retention.
func (m *Machine) Saves(now time.Time, limit int) (saves []Save) {
	pending := make([]*job, 0, len(m.dirty))
	for _, j := range m.dirty {
		pending = append(pending, j)
	}
	slices.SortFunc(pending, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.record.Spec.Urgency, b.record.Spec.Urgency), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	for _, j := range pending[:min(limit, len(pending))] {
		if j.next.Phase.Ended() {
			j.next.Ended = now
		}
		saves = append(saves, Save{Key: RowKey(m.config.Pool, j.record.Spec.ID), Version: j.version, Value: j.next.Encode()})
	}
	expired := min(limit-len(saves), len(m.expired))
	saves = append(saves, m.expired[:expired]...)
	m.expired = m.expired[expired:]
	return saves
}

// Saved tells the machine that the rows were written and have the version now.
func (m *Machine) Saved(saves []Save, version uint64, now time.Time) {
	for _, save := range saves {
		record, err := Decode(save.Value)
		if err != nil || len(save.Value) == 0 {
			continue
		}
		j, found := m.jobs[record.Spec.ID]
		if !found || j.version >= version {
			continue
		}
		j.next, j.notes = nil, nil
		delete(m.dirty, record.Spec.ID)
		m.become(j, record, version, now, true)
	}
}

// rereadAfter bounds the time for which a cancelled attempt runs on when the order to stop it was lost. It is as long as the lease of
// an attempt, since each read costs the platform's budget: about 15 bytes a second for a running task.
const rereadAfter = time.Minute

// Unread returns up to limit keys of tasks with live attempts whose rows have not been read for a while.
func (m *Machine) Unread(now time.Time, limit int) (keys []string) {
	for _, j := range m.sortedLive() {
		if len(keys) < limit && now.Sub(j.readAt) >= rereadAfter {
			keys = append(keys, RowKey(m.config.Pool, j.record.Spec.ID))
		}
	}
	return keys
}

// NextWaiting returns up to limit keys of waiting tasks, the oldest first.
func (m *Machine) NextWaiting(limit int) (keys []string) {
	var waiting []*job
	for _, j := range m.jobs {
		if j.record.Phase == Waiting && j.next == nil {
			waiting = append(waiting, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		return cmp.Or(a.record.Accepted.Compare(b.record.Accepted), cmp.Compare(a.record.Spec.ID, b.record.Spec.ID))
	})
	for _, j := range waiting[:min(limit, len(waiting))] {
		keys = append(keys, RowKey(m.config.Pool, j.record.Spec.ID))
	}
	return keys
}

// Missing tells the machine that a row no longer exists.
func (m *Machine) Missing(key string) {
	id, _ := strings.CutPrefix(key, RowKey(m.config.Pool, ""))
	delete(m.jobs, id)
	delete(m.live, id)
	delete(m.dirty, id)
}

// Workers returns the workers of the pool and those that have left it with attempts that may be running, in order of id.
func (m *Machine) Workers() (workers []acaciatally.InstanceID) {
	for _, worker := range m.fleet.Workers {
		workers = append(workers, worker.ID)
	}
	for _, j := range m.live {
		workers = append(workers, j.record.Worker)
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}

// Running returns the number of attempts that may be running on a worker.
func (m *Machine) Running(worker acaciatally.InstanceID) (count int) {
	for _, j := range m.live {
		if j.record.Worker == worker {
			count++
		}
	}
	return count
}

// Count returns the number of known tasks in a phase.
func (m *Machine) Count(phase Phase) (count int) {
	for _, j := range m.jobs {
		if j.record.Phase == phase {
			count++
		}
	}
	return count
}

package dispatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/ordering"
)

const (
	// entriesPerCommit keeps a transaction below the store's 100 entries, with those of the last job and the owner record.
	entriesPerCommit = 90
	// bytesPerCommit keeps a transaction below the store's 1 MB, base64 included.
	bytesPerCommit = 512 << 10
)

// OwnerTable holds one record for each partition that says which leader writes there.
const OwnerTable = "Owner"

// Owner fences the writes to a partition: each commit of a leader replaces it under its version.
type Owner struct {
	Epoch    uint64
	Sequence uint64
}

// OwnerKey returns the key of the partition's owner record.
func OwnerKey(queue acaciatally.QueueName) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: OwnerTable, Partition: string(queue), Key: "Owner"}
}

// EncodeOwner returns the stored form.
func EncodeOwner(owner Owner) []byte {
	content, _ := json.Marshal(owner) // two numbers always encode
	return content
}

// partition is what this leader writes for one queue.
type partition struct {
	claimed  bool
	version  uint64 // of the owner record
	sequence uint64
	inFlight *Commit
	retryAt  time.Duration
	stray    []acaciatally.RecordKey // records that belong to no job
	ended    []acaciatally.JobID     // whose state is to be deleted after a while
	endedAt  []time.Duration
}

func (m *Machine) partition(queue acaciatally.QueueName) *partition {
	p := m.partitions[queue]
	if p == nil {
		p = &partition{}
		m.partitions[queue] = p
	}
	return p
}

// Claimed takes in that this leader owns a partition; version is that of the owner record.
func (m *Machine) Claimed(queue acaciatally.QueueName, version uint64) {
	p := m.partition(queue)
	p.claimed, p.version = true, version
}

// Owns reports whether this leader has claimed the partition.
func (m *Machine) Owns(queue acaciatally.QueueName) bool {
	p := m.partitions[queue]
	return p != nil && p.claimed
}

// Retain takes in an ended job whose state is to be deleted after the retention.
func (m *Machine) Retain(queue acaciatally.QueueName, id acaciatally.JobID, now time.Duration) {
	key := jobKey{queue, id}
	if m.finished[key] {
		return
	}
	m.finished[key] = true
	p := m.partition(queue)
	p.ended = append(p.ended, id)
	p.endedAt = append(p.endedAt, now)
}

// Commit is a transaction of this leader on one partition.
type Commit struct {
	Queue       acaciatally.QueueName
	Transaction acaciatally.RecordTransaction
	Owner       Owner
	jobs        []savedJob
	stray       int
	expired     int
}

// savedJob is what a commit records of a job.
type savedJob struct {
	job     *activeJob
	state   acaciatally.JobState
	planned []plannedRun
	ends    []endRef
}

type plannedRun struct {
	task    *task
	attempt int
}

// Commits returns the transactions that are to be sent now, at most one for each partition at a time.
func (m *Machine) Commits(now time.Duration) (commits []*Commit) {
	dirty := map[acaciatally.QueueName][]*activeJob{}
	for _, j := range m.jobs {
		if j.dirty {
			dirty[j.accepted.Queue.Name] = append(dirty[j.accepted.Queue.Name], j)
		}
	}
	for queue, p := range m.partitions {
		if !p.claimed || p.inFlight != nil || now < p.retryAt {
			continue
		}
		if commit := m.commit(queue, p, dirty[queue], now); commit != nil {
			p.inFlight = commit
			commits = append(commits, commit)
		}
	}
	return commits
}

func (m *Machine) commit(queue acaciatally.QueueName, p *partition, dirty []*activeJob, now time.Duration) *Commit {
	commit := &Commit{Queue: queue, Owner: Owner{Epoch: m.config.Epoch, Sequence: p.sequence + 1}}
	size := 0
	slices.SortFunc(dirty, compareDirty)
	for _, j := range dirty {
		if commit.full() || size > bytesPerCommit {
			break
		}
		size += m.save(commit, j)
	}
	tx := &commit.Transaction
	for len(p.stray) > commit.stray && !commit.full() {
		tx.Deletes = append(tx.Deletes, p.stray[commit.stray])
		commit.stray++
	}
	for len(commit.jobs) == 0 && len(p.ended) > commit.expired && !commit.full() &&
		now-p.endedAt[commit.expired] > m.config.Retention {
		tx.Deletes = append(tx.Deletes, job.ProgressKey(queue, p.ended[commit.expired]))
		commit.expired++
	}
	if len(tx.Writes) == 0 && len(tx.Deletes) == 0 {
		return nil
	}
	tx.Conditions = []acaciatally.RecordCondition{{RecordKey: OwnerKey(queue), Version: p.version}}
	tx.Writes = append(tx.Writes, acaciatally.RecordWrite{RecordKey: OwnerKey(queue), Value: EncodeOwner(commit.Owner)})
	return commit
}

// full reports whether the transaction may get no more jobs.
func (c *Commit) full() bool {
	return len(c.Transaction.Writes)+len(c.Transaction.Deletes) >= entriesPerCommit
}

// compareDirty puts first what somebody waits for: runs that may only start once they are recorded, then the ends of jobs.
func compareDirty(a, b *activeJob) int {
	return cmp.Or(
		ordering.Bools(b.hasPlanned(), a.hasPlanned()), ordering.Bools(a.live(), b.live()), cmp.Compare(a.arrived, b.arrived),
		cmp.Compare(a.id, b.id),
	)
}

// hasPlanned reports whether a run of the job waits to be recorded.
func (j *activeJob) hasPlanned() (planned bool) {
	j.tasks(func(t *task) { planned = planned || t.unrecorded() })
	return planned
}

// unrecorded reports whether the task has a run that is not recorded.
func (t *task) unrecorded() bool { return t.assigned() && t.stage == planned }

// save adds a job to a commit and returns the size of its records.
func (m *Machine) save(commit *Commit, j *activeJob) (size int) {
	saved := savedJob{job: j, state: j.state, ends: j.unacked}
	j.unacked, j.dirty = nil, false
	j.tasks(func(t *task) {
		if t.unrecorded() {
			saved.planned = append(saved.planned, plannedRun{t, t.attempt})
		}
	})
	value, err := job.Encode(j.progress())
	if err != nil {
		panic(err) // plain data always encodes
	}
	queue := j.accepted.Queue.Name
	tx := &commit.Transaction
	if !j.cleared || j.live() {
		tx.Writes = append(tx.Writes, acaciatally.RecordWrite{RecordKey: job.ProgressKey(queue, j.id), Value: value})
	}
	if j.waitingRow && j.state != acaciatally.JobQueued {
		tx.Deletes = append(tx.Deletes, job.WaitingKey(queue, j.id))
		j.waitingRow = false
	}
	if !j.live() && !j.cleared {
		tx.Deletes = append(tx.Deletes, job.Key(queue, j.id))
		if j.cancelKey {
			tx.Deletes = append(tx.Deletes, job.CancelKey(queue, j.id))
			j.cancelKey = false
		}
		j.cleared = true
	}
	commit.jobs = append(commit.jobs, saved)
	return len(value)
}

// progress returns what is to be recorded of the job.
func (j *activeJob) progress() job.Progress {
	progress := job.Progress{State: j.state, Next: j.next, Digest: j.digest}
	if !j.live() {
		return progress
	}
	for _, o := range j.open {
		recorded := job.Occurrence{Number: o.number}
		for _, tasks := range o.steps {
			step := make([]job.Task, 0, len(tasks))
			for _, t := range tasks {
				step = append(step, t.record())
			}
			recorded.Steps = append(recorded.Steps, step)
		}
		progress.Open = append(progress.Open, recorded)
	}
	return progress
}

func (t *task) record() job.Task {
	return job.Task{
		Phase: t.phase, Attempt: t.attempt, Worker: t.workerID(), Failures: t.failures, Checkpoint: t.checkpoint,
	}
}

// Committed takes in that a commit was applied.
func (m *Machine) Committed(commit *Commit, version uint64, now time.Duration) {
	p := m.partitions[commit.Queue]
	p.inFlight, p.version, p.sequence = nil, version, commit.Owner.Sequence
	p.stray = p.stray[commit.stray:]
	for _, id := range p.ended[:commit.expired] {
		delete(m.finished, jobKey{commit.Queue, id})
	}
	p.ended, p.endedAt = p.ended[commit.expired:], p.endedAt[commit.expired:]
	for _, saved := range commit.jobs {
		for _, run := range saved.planned {
			if run.task.assigned() && run.task.attempt == run.attempt && run.task.stage == planned {
				run.task.stage = recorded
			}
		}
		for _, end := range saved.ends {
			m.settleEnd(end)
		}
		if saved.state.Ended() && saved.job.endedAt == 0 {
			saved.job.endedAt = now
			m.Retain(commit.Queue, saved.job.id, now)
		}
	}
	m.forget(now)
}

func (m *Machine) settleEnd(end endRef) {
	w := m.workers[end.worker]
	if w == nil || !w.born.Equal(end.born) {
		return
	}
	for i := range w.ends {
		if w.ends[i].number == end.number {
			w.ends[i].settled = true
		}
	}
	w.settle()
}

// forget drops ended jobs that are recorded and of which nothing runs.
func (m *Machine) forget(now time.Duration) {
	for id, j := range m.jobs {
		if j.live() || j.dirty || j.endedAt == 0 {
			continue
		}
		assigned := false
		j.tasks(func(t *task) { assigned = assigned || t.assigned() })
		if !assigned {
			delete(m.jobs, id)
			m.forgetAdvice(id)
			m.takeDeferred(id, now)
		}
	}
}

// takeDeferred takes in the jobs that waited for the id.
func (m *Machine) takeDeferred(id acaciatally.JobID, now time.Duration) {
	waiting := m.deferred
	m.deferred = nil
	for _, d := range waiting {
		if d.id != id {
			m.deferred = append(m.deferred, d)
			continue
		}
		m.Load(d.id, d.accepted, d.progress, 0, now)
	}
}

// CommitFailed takes in that a commit had no effect.
func (m *Machine) CommitFailed(commit *Commit, retryAt time.Duration) {
	p := m.partitions[commit.Queue]
	p.inFlight, p.retryAt = nil, retryAt
	for _, saved := range commit.jobs {
		j := saved.job
		j.dirty = true
		j.unacked = append(saved.ends, j.unacked...)
		j.waitingRow = true // deleting a record that does not exist changes nothing
		if !j.live() {
			j.cleared, j.cancelKey = false, true
		}
	}
}

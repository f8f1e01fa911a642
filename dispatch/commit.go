package dispatch

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
	"github.com/acaciatally/acaciatally/ordering"
)

const (
	// maxCommitEntries keeps a transaction within the store's limit of 100 entries, counting the entries of the last job and the owner
	// record.
	maxCommitEntries = 90
	// MaxCommitBytes keeps a transaction below the store's limit of 1 MB, including the base64 overhead.
	MaxCommitBytes = 512 << 10
	// failuresPerLogLine is how many failed commits in a row share one log line, since they are retried several times a second.
	failuresPerLogLine = 10
)

// Commit is a transaction of this leader on one partition.
type Commit struct {
	Queue          acaciatally.QueueName
	Transaction    acaciatally.RecordTransaction
	Owner          Owner
	committedJobs  []committedJob
	alone          bool // takes a single job, because the store has refused its record or that of another one
	staleDeleted   int  // number of stale cancel records that it deletes
	expiredDeleted int  // number of progress records that it deletes after the retention time
}

// committedJob is the part of a commit that concerns one job.
type committedJob struct {
	job     *activeJob
	state   acaciatally.JobState
	planned []plannedRun
}

type plannedRun struct {
	task    *task
	attempt int
}

// Commits returns the transactions to send now, at most one per partition at a time.
func (s *Scheduler) Commits(now time.Duration) (commits []*Commit) {
	dirty := map[acaciatally.QueueName][]*activeJob{}
	for _, j := range s.jobs {
		if j.dirty {
			dirty[j.accepted.Queue.Name] = append(dirty[j.accepted.Queue.Name], j)
		}
	}
	for queue, p := range s.partitions {
		if !p.claimed || p.inFlight != nil || now < p.retryAt {
			continue
		}
		if commit := s.buildCommit(queue, p, dirty[queue], now); commit != nil {
			p.inFlight = commit
			commits = append(commits, commit)
		}
	}
	return commits
}

func (s *Scheduler) buildCommit(queue acaciatally.QueueName, p *partition, dirty []*activeJob, now time.Duration) *Commit {
	commit := &Commit{Queue: queue, Owner: Owner{Epoch: s.config.Epoch, Sequence: p.sequence + 1}}
	size := 0
	slices.SortFunc(dirty, compareDirtyJobs)
	for _, j := range dirty {
		if commit.full() || size > s.config.MaxCommitBytes || commit.alone {
			break
		}
		alone := p.separateJobs > 0 || j.refusedUntil > 0
		mustWait := now < j.refusedUntil || alone && len(commit.committedJobs) > 0
		if mustWait {
			continue
		}
		commit.alone = alone
		size += s.addToCommit(commit, j, now)
	}
	tx := &commit.Transaction
	for len(p.staleCancels) > commit.staleDeleted && !commit.full() {
		tx.Deletes = append(tx.Deletes, job.CancelKey(queue, p.staleCancels[commit.staleDeleted]))
		commit.staleDeleted++
	}
	for len(commit.committedJobs) == 0 && len(p.ended) > commit.expiredDeleted && !commit.full() && !s.keepsRecords(queue, p.ended[commit.expiredDeleted]) &&
		now-p.endedAt[commit.expiredDeleted] > s.config.Retention {
		tx.Deletes = append(tx.Deletes, job.ProgressKey(queue, p.ended[commit.expiredDeleted]))
		commit.expiredDeleted++
	}
	if len(tx.Writes) == 0 && len(tx.Deletes) == 0 {
		s.finishCommitted(commit)
		return nil
	}
	tx.Conditions = []acaciatally.RecordCondition{{RecordKey: OwnerKey(queue), Version: p.ownerVersion}}
	tx.Writes = append(tx.Writes, acaciatally.RecordWrite{RecordKey: OwnerKey(queue), Value: EncodeOwner(commit.Owner)})
	return commit
}

// finishCommitted handles a commit with nothing to write: the records of its jobs are up to date.
func (s *Scheduler) finishCommitted(commit *Commit) {
	for _, committed := range commit.committedJobs {
		committed.job.inCommit = false
		s.markEndsRecorded(committed.job.endsInCommit)
		committed.job.endsInCommit = nil
	}
}

// largestRecord returns the size of the largest record that the transaction writes, in bytes.
func (c *Commit) largestRecord() (size int) {
	for _, write := range c.Transaction.Writes {
		size = max(size, len(write.Value))
	}
	return size
}

// full reports whether the transaction has reached the entry limit and may take no more jobs.
func (c *Commit) full() bool {
	return len(c.Transaction.Writes)+len(c.Transaction.Deletes) >= maxCommitEntries
}

// compareDirtyJobs sorts by urgency: first jobs with runs that can't start before they are recorded, then ended jobs, then the others.
func compareDirtyJobs(a, b *activeJob) int {
	return cmp.Or(
		ordering.CompareBools(b.hasPlanned(), a.hasPlanned()), ordering.CompareBools(a.live(), b.live()), cmp.Compare(a.arrivedAt, b.arrivedAt),
		cmp.Compare(a.id, b.id),
	)
}

// hasPlanned reports whether a run of the job is not recorded yet.
func (j *activeJob) hasPlanned() (planned bool) {
	j.eachTask(func(t *task) { planned = planned || t.unrecorded() })
	return planned
}

// unrecorded reports whether the task has a run that is not recorded yet.
func (t *task) unrecorded() bool { return t.assigned() && t.stage == stagePlanned }

// addToCommit adds a job to a commit and returns the size of its progress record in bytes.
func (s *Scheduler) addToCommit(commit *Commit, j *activeJob, now time.Duration) (size int) {
	committed := committedJob{job: j, state: j.state}
	j.endsInCommit, j.unrecordedEnds, j.dirty, j.inCommit = j.unrecordedEnds, nil, false, true
	j.eachTask(func(t *task) {
		if t.unrecorded() {
			committed.planned = append(committed.planned, plannedRun{t, t.attempt})
		}
	})
	value, err := job.EncodeProgressWithin(s.progress(j, now), s.config.MaxRecordBytes)
	if err != nil {
		panic(err) // plain data always encodes
	}
	queue := j.accepted.Queue.Name
	tx := &commit.Transaction
	if !j.recordsDeleted || j.live() {
		tx.Writes = append(tx.Writes, acaciatally.RecordWrite{RecordKey: job.ProgressKey(queue, j.id), Value: value})
	}
	if j.hasWaitingRecord && j.state != acaciatally.JobQueued {
		tx.Deletes = append(tx.Deletes, job.WaitingKey(queue, j.id))
		j.hasWaitingRecord = false
	}
	if !j.live() && !j.recordsDeleted && !j.holdsRuns() {
		tx.Deletes = append(tx.Deletes, job.AcceptedKey(queue, j.id))
		if j.hasCancelRecord {
			tx.Deletes = append(tx.Deletes, job.CancelKey(queue, j.id))
			j.hasCancelRecord = false
		}
		j.recordsDeleted = true
	}
	commit.committedJobs = append(commit.committedJobs, committed)
	return len(value)
}

// progress returns the progress of the job to store.
func (s *Scheduler) progress(j *activeJob, now time.Duration) job.Progress {
	progress := job.Progress{State: j.state, Next: j.nextOccurrence, Digest: j.digest, Account: j.accepted.Account}
	if !j.live() && !j.holdsRuns() {
		return progress
	}
	for _, o := range j.openOccurrences {
		saved := job.Occurrence{Number: o.number}
		for _, tasks := range o.steps {
			step := make([]job.Task, 0, len(tasks))
			for _, t := range tasks {
				step = append(step, s.taskProgress(t, now))
			}
			saved.Steps = append(saved.Steps, step)
		}
		progress.Open = append(progress.Open, saved)
	}
	return progress
}

func (s *Scheduler) taskProgress(t *task, now time.Duration) job.Task {
	progress := job.Task{
		Phase: t.phase, Attempt: t.attempt, Worker: t.workerID(), Failures: t.failures, Checkpoint: t.checkpoint,
		Crashes: t.crashes, UnconfirmedCrashes: t.unconfirmedCrashes, CrashStreak: t.crashStreak,
	}
	if w := t.worker; w != nil {
		progress.WorkerStart = w.knownStart()
		progress.LongLease = s.mayHoldLongLease(w, now)
		w.longLeaseRecorded = w.longLeaseRecorded || progress.LongLease
	}
	return progress
}

// Committed handles a commit that was applied; version is the new version of the owner record.
func (s *Scheduler) Committed(commit *Commit, version uint64, now time.Duration) {
	p := s.partitions[commit.Queue]
	p.inFlight, p.ownerVersion, p.sequence, p.failures = nil, version, commit.Owner.Sequence, 0
	for _, id := range p.staleCancels[:commit.staleDeleted] {
		s.Retain(commit.Queue, id, "", now) // a job that was cancelled before it was accepted has a progress record
	}
	p.staleCancels = p.staleCancels[commit.staleDeleted:]
	for _, id := range p.ended[:commit.expiredDeleted] {
		s.expire(jobKey{commit.Queue, id})
	}
	p.ended, p.endedAt = p.ended[commit.expiredDeleted:], p.endedAt[commit.expiredDeleted:]
	p.separateJobs = max(0, p.separateJobs-len(commit.committedJobs))
	for _, committed := range commit.committedJobs {
		committed.job.refusedUntil, committed.job.inCommit = 0, false
		for _, run := range committed.planned {
			if run.task.assigned() && run.task.attempt == run.attempt && run.task.stage == stagePlanned {
				run.task.stage = stageRecorded
				run.task.markOrderDue()
			}
		}
		s.markEndsRecorded(committed.job.endsInCommit)
		committed.job.endsInCommit = nil
		if committed.state.Ended() && !committed.job.endRecorded() {
			s.handleEndRecorded(committed.job, now)
		}
	}
	s.dropEndedJobs(now)
}

// handleEndRecorded handles that the final state of a job is recorded. Ends of its runs that were listed meanwhile need no record: a later
// commit would have nothing to write for the job.
func (s *Scheduler) handleEndRecorded(j *activeJob, now time.Duration) {
	j.endRecordedAt = now
	s.Retain(j.accepted.Queue.Name, j.id, j.accepted.Account, now)
	s.markEndsRecorded(j.unrecordedEnds)
	j.unrecordedEnds = nil
}

// CommitFailed handles a commit that had no effect; its changes go into a later commit, from retryAt on.
func (s *Scheduler) CommitFailed(commit *Commit, err error, retryAt time.Duration) {
	p := s.partitions[commit.Queue]
	p.inFlight, p.retryAt = nil, retryAt
	p.failures++
	if p.failures%failuresPerLogLine == 1 {
		s.config.EventLog.CommitFailed(commit.Queue, p.failures, commit.largestRecord(), err)
	}
	if errors.Is(err, acaciatally.ErrInvalidTransaction) {
		p.isolateRefused(commit, retryAt)
	}
	for _, committed := range commit.committedJobs {
		j := committed.job
		j.dirty, j.inCommit = true, false
		j.endsInCommit, j.unrecordedEnds = nil, append(j.endsInCommit, j.unrecordedEnds...)
		j.hasWaitingRecord = true // deleting a record that does not exist has no effect
		if !j.live() {
			j.recordsDeleted, j.hasCancelRecord = false, true
		}
	}
}

package dispatch

import (
	"encoding/json"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/backlog"
)

// refusedRetry is the delay after which a job's record is sent again that the store refuses as such.
const refusedRetry = 5 * time.Second

// OwnerTable is the table that holds one record per partition, which says which leader may write to the partition.
const OwnerTable = "Owner"

// Owner is the owner record of a partition. It fences writes: each commit of a leader replaces it on the condition that its version is
// unchanged.
type Owner struct {
	Epoch    uint64
	Sequence uint64
}

// OwnerKey returns the key of the partition's owner record.
func OwnerKey(queue acaciatally.QueueName) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: OwnerTable, Partition: string(queue), Key: "Owner"}
}

// EncodeOwner returns the stored form of an owner record.
func EncodeOwner(owner Owner) []byte {
	content, _ := json.Marshal(owner) // a struct of two numbers always encodes
	return content
}

// partition is the state of the commits to the partition of one queue.
type partition struct {
	claimed      bool
	ownerVersion uint64 // version of the owner record
	sequence     uint64
	inFlight     *Commit
	separateJobs int // number of next jobs to commit one at a time, to find the one whose record the store refuses
	failures     int // commits that have failed since the last one that was applied
	retryAt      time.Duration
	staleCancels []acaciatally.JobID // unknown jobs whose cancel record is to be deleted
	ended        []acaciatally.JobID // ended jobs whose progress record is deleted after the retention time
	endedAt      []time.Duration     // for each of ended, the start of its retention time
}

func (s *Scheduler) partition(queue acaciatally.QueueName) *partition {
	p := s.partitions[queue]
	if p == nil {
		p = &partition{}
		s.partitions[queue] = p
	}
	return p
}

// PartitionClaimed handles that this leader has claimed a partition; version is the version of the owner record.
func (s *Scheduler) PartitionClaimed(queue acaciatally.QueueName, version uint64) {
	p := s.partition(queue)
	p.claimed, p.ownerVersion = true, version
}

// OwnsPartition reports whether this leader has claimed the partition.
func (s *Scheduler) OwnsPartition(queue acaciatally.QueueName) bool {
	p := s.partitions[queue]
	return p != nil && p.claimed
}

// Retain keeps the progress record of an ended job of an account and schedules its deletion after the retention time. The account may be empty.
func (s *Scheduler) Retain(queue acaciatally.QueueName, id acaciatally.JobID, account acaciatally.AccountName, now time.Duration) {
	key, source := jobKey{queue, id}, backlog.SourceOf(queue, account)
	if _, retained := s.retained[key]; retained {
		return
	}
	s.retained[key] = source
	s.backlog.Add(source, queue, backlog.EndedBytes)
	p := s.partition(queue)
	p.ended = append(p.ended, id)
	p.endedAt = append(p.endedAt, now)
}

// expire handles that the progress record of an ended job is deleted.
func (s *Scheduler) expire(key jobKey) {
	if source, retained := s.retained[key]; retained {
		s.backlog.Add(source, key.queue, -backlog.EndedBytes)
		delete(s.retained, key)
	}
}

// isolateRefused handles that the store refuses a commit as such. Its jobs are committed one at a time; a job that is refused alone waits for
// refusedRetry, so that it does not keep the others from being recorded.
func (p *partition) isolateRefused(commit *Commit, retryAt time.Duration) {
	jobs := commit.committedJobs
	if len(jobs) != 1 {
		p.separateJobs = len(jobs)
		return
	}
	jobs[0].job.refusedUntil = retryAt + refusedRetry
	p.separateJobs = max(0, p.separateJobs-1)
}

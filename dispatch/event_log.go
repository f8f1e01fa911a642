package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

// EventLog logs the decisions about jobs, runs and workers, one line each.
type EventLog interface {
	// JobLoaded logs that the leader has loaded a job.
	JobLoaded(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState)
	// JobEnded logs the final state of a job.
	JobEnded(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState)
	// RunPlanned logs a placement and the free processors of the worker before it, in thousandths of a core.
	RunPlanned(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, free int)
	// RunDropped logs that a run was released without an end listed by its worker.
	RunDropped(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, reason string)
	// RunOrdered logs the result of an order about a run.
	RunOrdered(order string, task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, err error)
	// CrashCounted logs that a worker has crashed under a run that it had lately been given, and the number of such crashes of the task, with
	// confirmed runs and others; streak is the number of its latest runs in a row that ended so, suspects the number of runs that may have
	// caused this crash.
	CrashCounted(task acaciatally.TaskRef, attempt, crashes, unconfirmed, streak, suspects int)
	// StartsHeld logs that start orders are held back because the leader has as many in flight as its window allows.
	StartsHeld(held int, window StartWindowState)
	// RunEnded logs the end of a run as listed by a worker; counts is false if the run is not the current one of a known task.
	RunEnded(ended acaciatally.EndedTask, worker acaciatally.WorkerID, counts bool)
	// WorkerChanged logs a new state of a worker as the leader sees it, and the age of the worker's last report.
	WorkerChanged(worker acaciatally.WorkerID, pool acaciatally.PoolName, state string, age time.Duration)
	// CallCrossedRestart logs that a worker has carried out a call that was meant for its earlier incarnation. leaseUntil is the end of the lease that
	// the call named on the clock of the earlier one, and clock is that of the new one.
	CallCrossedRestart(worker acaciatally.WorkerID, call CallKind, leaseUntil, clock time.Duration)
	// LeaseExpired logs that the lease of a worker that does not answer is certainly over, and from what that follows; wait is the time since then.
	LeaseExpired(worker acaciatally.WorkerID, basis LeaseBasis, wait time.Duration)
	// AccountLimited logs that work of an account waits because it is beyond the account's rate or share, and the estimated time until a job
	// submitted now gets room.
	AccountLimited(account acaciatally.AccountName, share AccountShare, wait time.Duration)
	// AccountAtMaximum logs that a task of an account is not placed because the account would exceed its maximum.
	AccountAtMaximum(account acaciatally.AccountName, used, maximum acaciatally.ResourceVector)
	// AccountUsage sets the metrics of the accounts that have a maximum or runs; nil removes them.
	AccountUsage(usage map[acaciatally.AccountName]AccountUsage)
	// SlowWorkers sets the metric of the number of workers that are slower than the others of their pool.
	SlowWorkers(count int)
	// EndsUnacknowledged logs that a worker still lists ends that this leader has not recorded: their count, and for how long it has listed
	// the oldest.
	EndsUnacknowledged(worker acaciatally.WorkerID, count int, age time.Duration)
	// CommitFailed logs that a commit of the queue's jobs had no effect. failures is the number of commits that have failed in a row, size that
	// of the largest record in bytes.
	CommitFailed(queue acaciatally.QueueName, failures, size int, err error)
	// InterferenceChanged logs that a kind of tasks was found to slow down another one on the same worker, or no longer does so.
	InterferenceChanged(change interference.Change)
	// InterferenceMeasured publishes the state of the detection of interference. It writes no line.
	InterferenceMeasured(stats InterferenceStats)
	// BacklogFull logs that jobs of a queue are left in the record store because they do not fit into the leader's memory, or that all are loaded
	// again; size is the memory that the loaded jobs of all queues take, in bytes.
	BacklogFull(queue acaciatally.QueueName, full bool, size int64)
	// RecordIgnored logs a record that can't be decoded.
	RecordIgnored(key acaciatally.RecordKey, version uint64, err error)
	// LeadershipLost logs that another leader has taken over; epoch is that of this leader.
	LeadershipLost(epoch uint64)
}

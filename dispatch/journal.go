package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// Journal takes a line for each decision about jobs, runs and workers.
type Journal interface {
	// JobTaken notes a job that the leader has learned of.
	JobTaken(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState)
	// JobEnded notes a final state.
	JobEnded(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState)
	// RunPlanned notes a placement and the free processors that it was based on.
	RunPlanned(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, free int)
	// RunDropped notes a run that was not ordered or is given up.
	RunDropped(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, reason string)
	// RunOrdered notes the result of a start or stop order.
	RunOrdered(order string, task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, err error)
	// RunEnded notes an end that a worker has listed.
	RunEnded(ended acaciatally.EndedTask, worker acaciatally.WorkerID, counts bool)
	// WorkerChanged notes a change of what is believed of a worker and since when the last report is old.
	WorkerChanged(worker acaciatally.WorkerID, pool acaciatally.PoolName, belief string, age time.Duration)
	// EntryIgnored notes a record that can't be decoded.
	EntryIgnored(key acaciatally.RecordKey, version uint64, err error)
	// Deposed notes that another leader has taken over.
	Deposed(epoch uint64)
}

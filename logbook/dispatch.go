package logbook

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// JobTaken notes a job that the leader has learned of.
func (b *Book) JobTaken(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState) {
	b.line("JobTaken").Str("Job", string(id)).Str("Queue", string(queue)).Str("State", string(state)).Msg("")
}

// JobEnded notes a final state.
func (b *Book) JobEnded(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState) {
	b.line("JobEnded").Str("Job", string(id)).Str("Queue", string(queue)).Str("State", string(state)).Msg("")
}

// RunPlanned notes a placement and the free processors that it was based on.
func (b *Book) RunPlanned(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, free int) {
	b.line("RunPlanned").Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).
		Str("Worker", string(worker)).Int("FreeProcessors", free).Msg("")
}

// RunDropped notes a run that was not ordered or is given up.
func (b *Book) RunDropped(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, reason string) {
	b.line("RunDropped").Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).
		Str("Worker", string(worker)).Str("Reason", reason).Msg("")
}

// RunOrdered notes the result of an order; a confirmed start is told by its end.
func (b *Book) RunOrdered(order string, task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, err error) {
	if err == nil && order == "Start" {
		b.count("RunStarted")
		return
	}
	b.line("RunOrdered").Str("Order", order).Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).
		Str("Worker", string(worker)).Err(err).Msg("")
}

// RunEnded notes an end that a worker has listed.
func (b *Book) RunEnded(ended acaciatally.EndedTask, worker acaciatally.WorkerID, counts bool) {
	b.count("RunEnded" + string(ended.End))
	b.line("RunEnded").Str("Job", string(ended.Task.Job)).Str("Task", ended.Task.String()).Int("Attempt", ended.Attempt).
		Str("Worker", string(worker)).Str("End", string(ended.End)).Uint64("Number", ended.Number).Bool("Counts", counts).Msg("")
}

// WorkerChanged notes a change of what is believed of a worker.
func (b *Book) WorkerChanged(worker acaciatally.WorkerID, pool acaciatally.PoolName, belief string, age time.Duration) {
	b.line("WorkerChanged").Str("Worker", string(worker)).Str("Pool", string(pool)).Str("Belief", belief).Dur("ReportAge", age).Msg("")
}

// EntryIgnored notes a record that can't be decoded.
func (b *Book) EntryIgnored(key acaciatally.RecordKey, version uint64, err error) {
	b.warning("RecordIgnored", err).Str("Record", key.String()).Uint64("Version", version).Msg("")
}

// Deposed notes that another leader has taken over.
func (b *Book) Deposed(epoch uint64) { b.line("Deposed").Uint64("Epoch", epoch).Msg("") }

// InstancePlanned notes that an instance is to be emptied for a purpose.
func (b *Book) InstancePlanned(id acaciatally.InstanceID, pool acaciatally.PoolName, purpose string) {
	b.line("InstancePlanned").Str("Instance", string(id)).Str("Pool", string(pool)).Str("Purpose", purpose).Msg("")
}

// InstanceOrdered notes the result of an order on an instance.
func (b *Book) InstanceOrdered(id acaciatally.InstanceID, purpose string, err error) {
	b.line("InstanceOrdered").Str("Instance", string(id)).Str("Purpose", purpose).Err(err).Msg("")
}

// WaveChanged notes the progress of a wave.
func (b *Book) WaveChanged(number, left int, completed bool) {
	b.line("WaveChanged").Int("Wave", number).Int("Left", left).Bool("Completed", completed).Msg("")
}

package eventlog

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/ingress"
	"github.com/acaciatally/acaciatally/interference"
	"github.com/acaciatally/acaciatally/overload"
)

// JobLoaded logs a job that the leader has loaded.
func (l *Logger) JobLoaded(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState) {
	l.line("JobTaken").Str("Job", string(id)).Str("Queue", string(queue)).Str("State", string(state)).Msg("")
}

// JobEnded logs the final state of a job.
func (l *Logger) JobEnded(id acaciatally.JobID, queue acaciatally.QueueName, state acaciatally.JobState) {
	l.line("JobEnded").Str("Job", string(id)).Str("Queue", string(queue)).Str("State", string(state)).Msg("")
}

// RunPlanned logs that a run is placed on a worker; free is the free processors of the worker before it, in thousandths of a core.
func (l *Logger) RunPlanned(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, free int) {
	l.line("RunPlanned").Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).
		Str("Worker", string(worker)).Int("FreeProcessors", free).Msg("")
}

// RunDropped logs that a run was released without an end listed by its worker, and why.
func (l *Logger) RunDropped(task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, reason string) {
	l.line("RunDropped").Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).
		Str("Worker", string(worker)).Str("Reason", reason).Msg("")
}

// RunOrdered logs the result of an order to start or stop a run. A confirmed start is only counted, since the line of the run's end also
// shows that it started.
func (l *Logger) RunOrdered(order string, task acaciatally.TaskRef, attempt int, worker acaciatally.WorkerID, err error) {
	if err == nil && order == "Start" {
		l.count("RunStarted")
		return
	}
	l.line("RunOrdered").Str("Order", order).Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).
		Str("Worker", string(worker)).Err(err).Msg("")
}

// CrashCounted logs that a worker has crashed under a run that it had lately been given, and the number of such crashes of the task, with
// confirmed runs and others; streak is the number of its latest runs in a row that ended so, suspects the number of runs that may have caused
// this crash.
func (l *Logger) CrashCounted(task acaciatally.TaskRef, attempt, crashes, unconfirmed, streak, suspects int) {
	l.line("CrashCounted").Str("Job", string(task.Job)).Str("Task", task.String()).Int("Attempt", attempt).Int("Crashes", crashes).
		Int("Unconfirmed", unconfirmed).Int("Streak", streak).Int("Suspects", suspects).Msg("")
}

// CallCrossedRestart logs a call that a worker has carried out although it was meant for its earlier incarnation, with the lease end that it named.
func (l *Logger) CallCrossedRestart(worker acaciatally.WorkerID, call dispatch.CallKind, leaseUntil, clock time.Duration) {
	l.count("CallCrossedRestart" + string(call))
	l.line("CallCrossedRestart").Str("Worker", string(worker)).Str("Call", string(call)).Dur("LeaseUntil", leaseUntil).Dur("Clock", clock).Msg("")
}

// LeaseExpired logs that the lease of a worker that does not answer is certainly over, and from what that follows.
func (l *Logger) LeaseExpired(worker acaciatally.WorkerID, basis dispatch.LeaseBasis, wait time.Duration) {
	l.line("LeaseExpired").Str("Worker", string(worker)).Str("Basis", string(basis)).Dur("Wait", wait).Msg("")
}

// AccountsUnderPressure logs each account whose new jobs are admitted only in part, or that there are none any more.
func (l *Logger) AccountsUnderPressure(state *overload.State) {
	l.sharesMutex.Lock()
	defer l.sharesMutex.Unlock()
	for account := range l.pressed {
		if state.Find(account) == nil {
			l.admittedShare(account).Set(1)
			delete(l.pressed, account)
			l.line("AccountPressureEnded").Str("Account", string(account)).Msg("")
		}
	}
	if state == nil {
		return
	}
	for _, account := range state.Accounts {
		l.pressed[account.Account] = true
		l.admittedShare(account.Account).Set(float64(account.PerMille) / 1000)
		l.line("AccountUnderPressure").Str("Account", string(account.Account)).Uint32("Turn", state.Turn).Int("PerMille", account.PerMille).
			Int("WaitMS", account.WaitMS).Int("RetryMS", account.RetryMS).Int("IntervalMS", account.IntervalMS).Msg("")
	}
}

func (l *Logger) admittedShare(account acaciatally.AccountName) *metrics.Gauge {
	return l.metricSet.GetOrCreateGauge(fmt.Sprintf("acaciatally_admitted_share{account=%q}", account), nil)
}

// JobRefused counts a job that is refused because of load; its line is that of JobSubmitted.
func (l *Logger) JobRefused(account acaciatally.AccountName, reason string) {
	l.metricSet.GetOrCreateCounter(fmt.Sprintf("acaciatally_refused_jobs_total{account=%q,reason=%q}", account, reason)).Inc()
}

// StartsHeld logs that start orders are held back, and the window of those in flight.
func (l *Logger) StartsHeld(held int, window dispatch.StartWindowState) {
	l.line("StartsHeld").Int("Held", held).Int("Window", window.Size).Int("InFlight", window.InFlight).Int("Finished", window.Finished).
		Int("Slow", window.Slow).Dur("Delay", window.Delay).Msg("")
}

// InterferenceChanged logs a verdict on two kinds of tasks that was found or dropped.
func (l *Logger) InterferenceChanged(change interference.Change) {
	event := "InterferenceDropped"
	if change.Found {
		event = "InterferenceFound"
	}
	l.line(event).Stringer("Victim", change.Victim).Stringer("Aggressor", change.Aggressor).Float64("Factor", change.Factor).
		Int("Samples", change.Samples).Msg("")
}

// InterferenceMeasured publishes the state of the detection of interference as metrics.
func (l *Logger) InterferenceMeasured(stats dispatch.InterferenceStats) {
	for name, value := range map[string]int{
		"kinds": stats.Kinds, "pairs": stats.Pairs, "verdicts": stats.Verdicts, "observations": stats.Observations,
		"placed_apart": stats.Apart, "placed_together": stats.Together,
	} {
		l.metricSet.GetOrCreateGauge("acaciatally_interference_"+name, nil).Set(float64(value))
	}
}

// RunEnded logs the end of a run as listed by a worker; counts is false if the run is not the current one of a known task.
func (l *Logger) RunEnded(ended acaciatally.EndedTask, worker acaciatally.WorkerID, counts bool) {
	l.count("RunEnded" + string(ended.End))
	l.line("RunEnded").Str("Job", string(ended.Task.Job)).Str("Task", ended.Task.String()).Int("Attempt", ended.Attempt).
		Str("Worker", string(worker)).Str("End", string(ended.End)).Uint64("Number", ended.Number).Bool("Counts", counts).Msg("")
}

// WorkerChanged logs a change of a worker's state as the leader sees it; age is the time since the worker's last report.
func (l *Logger) WorkerChanged(worker acaciatally.WorkerID, pool acaciatally.PoolName, state string, age time.Duration) {
	l.line("WorkerChanged").Str("Worker", string(worker)).Str("Pool", string(pool)).Str("Belief", state).Dur("ReportAge", age).Msg("")
}

// AccountLimited logs that work of an account waits because it is beyond the account's rate or share.
func (l *Logger) AccountLimited(account acaciatally.AccountName, share dispatch.AccountShare, wait time.Duration) {
	l.line("AccountLimited").Str("Account", string(account)).Float64("Share", share.Used).Float64("Entitled", share.Entitled).
		Dur("Wait", wait).Msg("")
}

// AccountAtMaximum logs that a task of an account is not placed because the account would exceed its maximum.
func (l *Logger) AccountAtMaximum(account acaciatally.AccountName, used, maximum acaciatally.ResourceVector) {
	l.line("AccountAtMaximum").Str("Account", string(account)).Int("UsedProcessors", used.Processors).Int("UsedMemory", used.Memory).
		Int("UsedAccelerators", used.Accelerators).Int("MaxProcessors", maximum.Processors).Int("MaxMemory", maximum.Memory).
		Int("MaxAccelerators", maximum.Accelerators).Msg("")
}

// SlowWorkers sets the gauge of the workers that are slower than the others of their pool.
func (l *Logger) SlowWorkers(count int) {
	l.metricSet.GetOrCreateGauge("acaciatally_slow_workers", nil).Set(float64(count))
}

// EndsUnacknowledged logs that a worker still lists ends that the leader has not recorded, and for how long it has listed the oldest.
func (l *Logger) EndsUnacknowledged(worker acaciatally.WorkerID, count int, age time.Duration) {
	l.line("EndsUnacknowledged").Str("Worker", string(worker)).Int("Count", count).Dur("Age", age).Msg("")
}

// CommitFailed logs that a commit of the queue's jobs had no effect, the number of such commits in a row and the size of the largest record.
func (l *Logger) CommitFailed(queue acaciatally.QueueName, failures, size int, err error) {
	l.warning("CommitFailed", err).Str("Queue", string(queue)).Int("Failures", failures).Int("LargestRecord", size).Msg("")
}

// BacklogFull logs that jobs of a queue are left in the record store for lack of memory, or that all are loaded again, with the memory that the loaded
// jobs of all queues take in bytes.
func (l *Logger) BacklogFull(queue acaciatally.QueueName, full bool, size int64) {
	l.line("BacklogFull").Str("Queue", string(queue)).Bool("Full", full).Int64("Bytes", size).Msg("")
}

// RecordIgnored logs a record that cannot be decoded and is ignored.
func (l *Logger) RecordIgnored(key acaciatally.RecordKey, version uint64, err error) {
	l.warning("RecordIgnored", err).Str("Record", key.String()).Uint64("Version", version).Msg("")
}

// LeadershipLost logs that another leader has taken over; epoch is that of this leader.
func (l *Logger) LeadershipLost(epoch uint64) { l.line("Deposed").Uint64("Epoch", epoch).Msg("") }

// InstancePlanned logs that an instance is to be drained for a purpose.
func (l *Logger) InstancePlanned(id acaciatally.InstanceID, pool acaciatally.PoolName, purpose string) {
	l.line("InstancePlanned").Str("Instance", string(id)).Str("Pool", string(pool)).Str("Purpose", purpose).Msg("")
}

// MoveCancelled logs that a move is given up whose order could not be sent; the instance serves its pool again.
func (l *Logger) MoveCancelled(id acaciatally.InstanceID, pool acaciatally.PoolName, purpose string, runs int) {
	l.line("MoveCancelled").Str("Instance", string(id)).Str("Pool", string(pool)).Str("Purpose", purpose).Int("Runs", runs).Msg("")
}

// InstanceOrdered logs the result of the order for an instance that was drained for a purpose.
func (l *Logger) InstanceOrdered(id acaciatally.InstanceID, purpose string, err error) {
	l.line("InstanceOrdered").Str("Instance", string(id)).Str("Purpose", purpose).Err(err).Msg("")
}

// WaveChanged logs the progress of a maintenance wave; left is the number of instances still to be maintained.
func (l *Logger) WaveChanged(number, left int, completed bool) {
	l.line("WaveChanged").Int("Wave", number).Int("Left", left).Bool("Completed", completed).Msg("")
}

// IngressLimited logs that requests were refused or connections closed because of the limits on requests on their way in, with the counts since
// the start of the process.
func (l *Logger) IngressLimited(report ingress.Report) {
	l.warning("IngressLimited", nil).Int64("Bytes", report.Bytes).Int("Connections", report.Connections).
		Int("RefusedConnections", report.RefusedConnections).Int("RefusedRequests", report.RefusedRequests).
		Int("ClosedIdle", report.ClosedIdle).Int("ClosedUnfinished", report.ClosedUnfinished).Int("ClosedUnread", report.ClosedUnread).Int("Slow", report.Slow).Msg("")
}

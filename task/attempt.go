package task

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// attempt is the in-memory state of a task's current attempt, beyond its row.
type attempt struct {
	knownSince           time.Time             // when this scheduler learned of the attempt
	mayHaveStarted       bool                  // a start order may have reached the platform
	startConfirmed       bool                  // a successful start or renewal, or a report, shows that it was started
	endedAt              time.Time             // when the platform confirmed a stop or the end of the lease
	stopped              bool                  // the platform confirmed that it is not running any more
	lastContactAt        time.Time             // time of the last report or successful order
	latestLeaseEnd       time.Time             // latest time at which the lease may end
	renewAt              time.Time             // when the lease has to be renewed
	nextOrderAt          time.Time             // no order is sent before this time, set after a failed order
	appliedShare         float64               // share of the processors ordered last, 0 to 1
	targetShare          float64               // share of the processors to be ordered, 0 to 1
	shareUncertain       bool                  // the worker may apply a share other than appliedShare
	wasThrottled         bool                  // was throttled at some time, so its processor usage is not representative
	rereadRequested      bool                  // a reread of the row was requested after another process stopped the attempt
	usageRecorded        bool                  // its usage was added to the estimator
	unthrottledUsageSeen bool                  // a report showed its processor usage without throttling
	peak                 acaciatally.Resources // highest usage reported
	checkpoint           string                // newest checkpoint reported
	previousCheckpoint   string                // newest checkpoint reported before the last checkpoint order
	checkpointOrderedAt  time.Time             // time of the last checkpoint order; zero if a vacating attempt still needs one
	vacateDeadline       time.Time             // when an idempotent vacating attempt is stopped even without a new checkpoint
}

// newAttempt returns the state of an attempt that is known only from its row. An attempt whose row this scheduler wrote has not been
// started yet.
func (s *Scheduler) newAttempt(record Record, now time.Time, ownWrite bool) attempt {
	a := attempt{
		knownSince: now, lastContactAt: now, appliedShare: 1, targetShare: 1, checkpointOrderedAt: now,
		mayHaveStarted:     !ownWrite,
		latestLeaseEnd:     record.StartBy,
		renewAt:            record.StartBy.Add(-s.config.LeaseTerm / 2),
		checkpoint:         record.Checkpoint,
		previousCheckpoint: record.Checkpoint,
		vacateDeadline:     now.Add(s.config.VacateTimeout),
	}
	if a.mayHaveStarted {
		// Another controller may have renewed the lease up to now.
		a.latestLeaseEnd = now.Add(s.config.LeaseTerm)
		a.renewAt = now
		a.shareUncertain = true
	}
	if record.Phase == Vacating {
		a.checkpointOrderedAt = time.Time{} // it is not known whether the checkpoint was ordered
	}
	return a
}

// unthrottledUsage returns what the attempt uses of its worker when it is not throttled.
func (j *job) unthrottledUsage() acaciatally.Resources {
	if j.attempt.peak.Memory == 0 || j.useDeclared {
		return j.record.Granted
	}
	usage := scale(j.attempt.peak, 1+estimateMargin)
	if j.attempt.wasThrottled && !j.attempt.unthrottledUsageSeen {
		usage.Processors = max(usage.Processors, j.record.Granted.Processors)
	}
	return usage
}

// targetUsage returns what the attempt uses of its worker once its orders are carried out.
func (j *job) targetUsage() acaciatally.Resources {
	return j.usageAtShare(j.attempt.targetShare)
}

// remainingUsage returns what the attempt uses of its worker once all vacating attempts have left it.
func (j *job) remainingUsage() acaciatally.Resources {
	if j.record.Phase != Placed {
		return acaciatally.Resources{}
	}
	return j.targetUsage()
}

// maxUsage returns the most that the attempt may be using now, whichever of its orders have been carried out.
func (j *job) maxUsage() acaciatally.Resources {
	if j.attempt.shareUncertain {
		return j.usageAtShare(1)
	}
	return j.usageAtShare(max(j.attempt.appliedShare, j.attempt.targetShare))
}

func (j *job) usageAtShare(share float64) acaciatally.Resources {
	if j.attempt.stopped {
		return acaciatally.Resources{}
	}
	usage := j.unthrottledUsage()
	usage.Processors *= share
	return usage
}

// mayBeRunning reports whether the attempt may be using its worker.
func (j *job) mayBeRunning() bool {
	return (j.attempt.mayHaveStarted || j.attempt.startConfirmed) && !j.attempt.stopped
}

// preemptible reports whether the attempt can be vacated without losing the task or repeating work of a non-idempotent one.
func (j *job) preemptible() bool {
	return j.record.Phase == Placed && (j.record.Spec.Idempotent || j.record.Spec.Checkpoints) && j.next == nil
}

// hasFinalCheckpoint reports whether the newest checkpoint was written while the attempt was paused to vacate its worker.
func (j *job) hasFinalCheckpoint() bool {
	return j.record.Phase == Vacating && j.attempt.checkpoint != "" && j.attempt.checkpoint != j.record.Checkpoint
}

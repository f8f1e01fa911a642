package task

import (
	"time"

	"github.com/acaciatally/acaciatally"
)

// attempt is what the controller knows of the present attempt beyond the row.
type attempt struct {
	since      time.Time
	maybe      bool // a start may have reached the platform
	confirmed  bool // a start, a renewal or a report shows that it was started
	over       time.Time
	stopped    bool      // the platform confirmed that it will not run any more
	heardAt    time.Time // last report, or order that was carried out
	endsBy     time.Time // the lease ends by then at the latest
	renewAt    time.Time
	orderAt    time.Time // no order before it, after a failed one
	share      float64   // of the processors, as ordered last
	want       float64
	unsure     bool // the worker may apply another share than the one ordered last
	throttled  bool // was ever throttled, so that its use of processors says little
	checked    bool // the row was read after the attempt had been stopped by others
	observed   bool
	seenFull   bool // a report tells its use of processors without a throttle
	peak       acaciatally.Resources
	checkpoint string // newest one reported
	before     string // checkpoint known when the last one was ordered
	askedAt    time.Time
	vacateBy   time.Time
}

// newAttempt returns the knowledge of an attempt of which only the row is known; an own one has not been started yet.
func (m *Machine) newAttempt(record Record, now time.Time, own bool) attempt {
	a := attempt{
		since: now, heardAt: now, share: 1, want: 1, askedAt: now,
		maybe:      !own,
		endsBy:     record.StartBy,
		renewAt:    record.StartBy.Add(-m.config.Term / 2),
		checkpoint: record.Checkpoint,
		before:     record.Checkpoint,
		vacateBy:   now.Add(m.config.Vacate),
	}
	if a.maybe {
		// Another controller may have renewed the lease up to now.
		a.endsBy = now.Add(m.config.Term)
		a.renewAt = now
		a.unsure = true
	}
	if record.Phase == Vacating {
		a.askedAt = time.Time{} // whether the checkpoint was ordered is not known
	}
	return a
}

// need is what the attempt holds when it is not throttled.
func (j *job) need() acaciatally.Resources {
	if j.attempt.peak.Memory == 0 || j.believed {
		return j.record.Granted
	}
	held := scaled(j.attempt.peak, 1+margin)
	if j.attempt.throttled && !j.attempt.seenFull {
		held.Processors = max(held.Processors, j.record.Granted.Processors)
	}
	return held
}

// holds is what the attempt will take of its worker once its orders are carried out.
func (j *job) holds() acaciatally.Resources {
	return j.taking(j.attempt.want)
}

// stays is what the attempt will take once all that make room have left.
func (j *job) stays() acaciatally.Resources {
	if j.record.Phase != Placed {
		return acaciatally.Resources{}
	}
	return j.holds()
}

// takes is what the attempt may be taking now, whichever of its orders have been carried out.
func (j *job) takes() acaciatally.Resources {
	if j.attempt.unsure {
		return j.taking(1)
	}
	return j.taking(max(j.attempt.share, j.attempt.want))
}

func (j *job) taking(share float64) acaciatally.Resources {
	if j.attempt.stopped {
		return acaciatally.Resources{}
	}
	held := j.need()
	held.Processors *= share
	return held
}

// began reports whether the attempt may be using its worker.
func (j *job) began() bool {
	return (j.attempt.maybe || j.attempt.confirmed) && !j.attempt.stopped
}

// canStop reports whether the attempt may be made to leave without a lost or doubled effect.
func (j *job) canStop() bool {
	return j.record.Phase == Placed && (j.record.Spec.Idempotent || j.record.Spec.Checkpoints) && j.next == nil
}

// frozen reports whether the newest checkpoint was written while the attempt was paused for good.
func (j *job) frozen() bool {
	return j.record.Phase == Vacating && j.attempt.checkpoint != "" && j.attempt.checkpoint != j.record.Checkpoint
}

package dispatch

import (
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// A task may crash each worker that starts it. The leader sees only that a worker has ended and which runs it had lately been given, so it
// suspects all of these, keeps the suspects of different jobs on different workers from then on, and gives up a task that remains.

const (
	// crashWindow is how long before the last report of a crashed worker a run may have been started to be suspected of the crash. A run
	// that has gone on for longer has not crashed the worker by its start.
	crashWindow = time.Second
	// suspicionTime is how long a suspected task has to run for the suspicion to end.
	suspicionTime = 2 * time.Second
	// maxCrashes is the number of workers that have to crash under runs of a suspected task for it to be given up.
	maxCrashes = 3
	// maxCrashesAlone is the same for a task of which no other job was suspected in the last crash; tasks that run until they are cancelled
	// are only given up after maxCrashes.
	maxCrashesAlone = 2
	// crashStreakWindow is how long after the start of a run a crash of its worker counts in a streak, whenever in the run it comes.
	crashStreakWindow = 10 * time.Second
	// maxCrashDelay is the same for crashes that come after a similar time in each run; those after different times are unrelated to the task.
	maxCrashDelay = time.Minute
	// similarDelays is the largest ratio of two times from the start of a run to the crash that are similar.
	similarDelays = 1.25
	// streakToSuspect is the number of runs in a row that ended with their worker and count in a streak from which their task is suspected.
	streakToSuspect = 3
	// maxCrashStreak is the number of such runs after which the task is given up. Others that were lost with it are kept apart from it by then. The
	// next run may have started when the last crash is known.
	maxCrashStreak = 4
	// maxAllCrashes is the number of crashes after which a task is given up even if some of its runs may not have started, because the
	// worker had not confirmed them.
	maxAllCrashes = 4
)

// suspectRuns are runs that ended with their worker, of which it is not known yet whether it crashed or could only not be reached.
type suspectRuns struct {
	runs        []suspectRun
	workerStart time.Time
}

type suspectRun struct {
	task      *task
	run       runKey
	confirmed bool // the worker had confirmed the start
	late      bool // it had run for longer than crashWindow
	ranFor    time.Duration
}

// suspectsOn returns the runs that may have crashed their worker: those that were started lately, and as late ones those that were started within
// maxCrashDelay. A worker that drains ends by itself.
func (s *Scheduler) suspectsOn(w *worker) (suspects []suspectRun) {
	if w.entry.Draining {
		return nil
	}
	for t := range w.runs {
		early := t.startedAfter(w.reportedAt - crashWindow)
		if early || t.startedAfter(w.reportedAt-maxCrashDelay) {
			suspects = append(suspects, suspectRun{
				task: t, run: t.runKey(), confirmed: t.stage == stageRunning, late: !early, ranFor: t.ranFor(w.reportedAt),
			})
		}
	}
	return suspects
}

// startedAfter reports whether the first start order of the run was sent after the given time, or by an earlier leader at a time that is not
// known.
func (t *task) startedAfter(at time.Duration) bool {
	if t.stage == stageInherited {
		return !t.step.LongRunning
	}
	return t.startAttempts > 0 && t.startSentAt > at
}

// ranFor returns how long the run had gone on at the given time; 0 if it was started by an earlier leader.
func (t *task) ranFor(at time.Duration) time.Duration {
	if t.startSentAt == 0 {
		return 0
	}
	return max(0, at-t.startSentAt)
}

// extendCrashStreak counts a run that ended with its worker after the given time. A late crash begins a new streak unless the one before came after
// a similar time.
func (t *task) extendCrashStreak(ranFor time.Duration) {
	shorter, longer := min(ranFor, t.crashDelay), max(ranFor, t.crashDelay)
	similar := t.crashDelay == 0 || longer <= crashStreakWindow || longer.Seconds() <= similarDelays*shorter.Seconds()
	if !similar {
		t.crashStreak = 0
	}
	t.crashStreak++
	t.crashDelay = ranFor
	t.job.dirty = true
}

// crashStreakOver reports whether a run has gone on for longer than those of the streak.
func (t *task) crashStreakOver(ranFor time.Duration) bool {
	return t.crashStreak > 0 && ranFor >= crashStreakWindow && ranFor.Seconds() > similarDelays*t.crashDelay.Seconds()
}

// holdSuspects keeps the suspects of a worker that could not be reached until its lease had expired. If a later worker reports from
// its instance, the worker has crashed.
func (s *Scheduler) holdSuspects(w *worker) {
	if suspects := s.suspectsOn(w); len(suspects) > 0 && w.entry.Instance != "" {
		s.suspects[w.entry.Instance] = suspectRuns{suspects, w.entry.StartTime}
	}
}

// resolveSuspects resolves the held suspects of the instance whose worker has just reported. If that worker started later, the one before has
// crashed; otherwise it has responded again, so it had not.
func (s *Scheduler) resolveSuspects(w *worker) {
	held, found := s.suspects[w.entry.Instance]
	if !found {
		return
	}
	delete(s.suspects, w.entry.Instance)
	if w.startTime.After(held.workerStart) || w.entry.StartTime.After(held.workerStart) {
		s.countCrash(held.runs)
	}
}

// countCrash counts the crash of a worker against the suspects, and gives up those that have crashed too many.
func (s *Scheduler) countCrash(suspects []suspectRun) {
	alone := ofOneJob(suspects)
	for _, suspect := range suspects {
		t := suspect.task
		if !t.job.live() || t.phase == job.Done {
			continue
		}
		t.extendCrashStreak(suspect.ranFor)
		if suspect.late && !t.suspected() {
			continue // by itself, a crash some time after the start says nothing
		}
		switch {
		case suspect.late: // counts only in the streak
		case suspect.confirmed:
			t.crashes++
		default:
			t.unconfirmedCrashes++
		}
		s.config.EventLog.CrashCounted(t.ref, suspect.run.attempt, t.crashes, t.unconfirmedCrashes, t.crashStreak, len(suspects))
		if t.crashesWorkers(alone) {
			s.endJob(t.job, acaciatally.JobFailed)
		}
	}
}

// crashesWorkers reports whether the task has to be given up after a crash; alone tells that no other job was suspected of it.
func (t *task) crashesWorkers(alone bool) bool {
	switch {
	case t.crashes >= maxCrashes || t.crashes+t.unconfirmedCrashes >= maxAllCrashes || t.crashStreak >= maxCrashStreak:
		return true
	case alone && !t.step.LongRunning:
		return t.crashes >= maxCrashesAlone
	}
	return false
}

// suspected reports whether workers have crashed under the task since it last ran for some time.
func (t *task) suspected() bool {
	return t.crashes > 0 || t.unconfirmedCrashes > 0 || t.crashStreak >= streakToSuspect
}

// ofOneJob reports whether all suspects that are not late belong to one job.
func ofOneJob(suspects []suspectRun) bool {
	var first *activeJob
	for _, suspect := range suspects {
		if suspect.late {
			continue
		}
		if first != nil && suspect.task.job != first {
			return false
		}
		first = suspect.task.job
	}
	return true
}

// countRestart counts the restart of a worker under its ID against the suspects that its reports do not list, up to the first complete one.
func (s *Scheduler) countRestart(w *worker, listed map[runKey]bool, complete bool) {
	lost := slices.DeleteFunc(w.suspects, func(suspect suspectRun) bool { return listed[suspect.run] })
	if !complete {
		w.suspects = lost // the ends of some may be listed later
		return
	}
	w.suspects = nil
	s.countCrash(lost)
}

// endSuspicion ends the suspicion against a task that has run for long enough: suspicionTime after crashes right after its start, and longer than
// the runs that ended with their worker after others.
func (t *task) endSuspicion(now time.Duration) {
	if t.stage != stageRunning {
		return
	}
	ranFor := now - t.confirmedAt
	if ranFor >= suspicionTime && t.crashes+t.unconfirmedCrashes > 0 {
		t.crashes, t.unconfirmedCrashes = 0, 0
		t.job.dirty = true
	}
	if t.crashStreakOver(ranFor) {
		t.crashStreak, t.crashDelay = 0, 0
		t.job.dirty = true
	}
	if !t.suspected() {
		t.leaveSuspects()
	}
}

// joinSuspects adds an assigned task to the suspected runs of its worker.
func (t *task) joinSuspects() {
	if t.suspected() {
		t.countedAsSuspect = true
		t.worker.suspectRuns++
	}
}

// leaveSuspects removes a task from the suspected runs of its worker.
func (t *task) leaveSuspects() {
	if t.countedAsSuspect {
		t.countedAsSuspect = false
		t.worker.suspectRuns--
	}
}

// keepsSuspectsApart reports whether the task may join the worker: a suspected one only if no task of another job is suspected there, so
// that the next crash tells which it was.
func (c *candidate) keepsSuspectsApart(t *task) bool {
	if !t.suspected() || c.w.suspectRuns == 0 {
		return true
	}
	for other := range c.w.runs {
		if other.countedAsSuspect && other.job != t.job {
			return false
		}
	}
	return true
}

package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// Report takes in a worker's answer to the renewal that was sent at the time.
func (m *Machine) Report(id acaciatally.WorkerID, report acaciatally.WorkerReport, sent, now time.Duration) {
	w := m.workers[id]
	if w == nil {
		return
	}
	w.renewing, w.renewAt = false, sent+m.renewGap()
	if w.gone || report.Born.Before(w.born) && !report.Born.IsZero() {
		return // of an earlier life
	}
	if !report.Born.IsZero() && !report.Born.Equal(w.born) {
		m.reborn(w, report.Born, now)
	}
	if !w.known || w.failures > 0 {
		m.placeAt = now // it may get new runs from now on
	}
	if w.failures > 0 {
		m.config.Journal.WorkerChanged(id, w.entry.Pool, "answers again", now-w.clockAt)
	}
	w.failures, w.known, w.clock, w.clockAt = 0, true, report.Clock, now
	w.listsEnds = len(report.Ended) > 0
	listed := map[runKey]bool{}
	for _, run := range report.Running {
		listed[runKey{run.Task, run.Attempt}] = true
	}
	for _, ended := range report.Ended {
		listed[runKey{ended.Task, ended.Attempt}] = true
		m.end(w, ended, now)
	}
	orphans := map[runKey]bool{}
	for _, run := range report.Running {
		if !m.observe(w, run, now) {
			orphans[runKey{run.Task, run.Attempt}] = true
		}
	}
	w.orphans = orphans
	m.pace(w, now)
	m.reconcile(w, listed, sent)
	w.settle()
}

// observe takes in a running task; false means that nothing is known of such a run.
func (m *Machine) observe(w *worker, run acaciatally.RunningTask, now time.Duration) bool {
	t := m.find(run.Task)
	if t == nil || t.at != w || t.attempt != run.Attempt {
		return false
	}
	if t.stage == ordered || t.stage == unknown {
		t.stage, t.confirmed, t.moved = running, now, now
		t.ambiguous = false
		m.started(t)
	}
	if run.Percent > t.percent || t.percentAt == 0 {
		t.moved = now
	}
	t.percent, t.percentAt, t.tail = run.Percent, now, 0
	if t.step.TailObjective > 0 {
		t.tail = run.Tail
	}
	if run.Checkpoint != "" {
		t.checkpoint = run.Checkpoint
	}
	return true
}

// started takes in that a run has begun.
func (m *Machine) started(t *task) {
	if t.job.state == acaciatally.JobQueued {
		t.job.state = acaciatally.JobRunning
		t.job.dirty = true
	}
}

// reconcile releases runs that the worker should know, but neither runs nor lists as ended.
func (m *Machine) reconcile(w *worker, listed map[runKey]bool, sent time.Duration) {
	for t := range w.runs {
		if listed[t.runKey()] {
			continue
		}
		settled := t.stage == unknown || (t.stage == running && t.confirmed < sent) || (t.stopped > 0 && t.stopped < sent)
		if settled {
			m.config.Journal.RunDropped(t.ref, t.attempt, w.entry.ID, "the worker does not know it")
			t.release()
		}
	}
}

func (m *Machine) find(ref acaciatally.TaskRef) *task {
	j := m.jobs[ref.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.open {
		if o.number == ref.Occurrence && ref.Step < len(o.steps) && ref.Index < len(o.steps[ref.Step]) && ref.Step >= 0 && ref.Index >= 0 {
			return o.steps[ref.Step][ref.Index]
		}
	}
	return nil
}

// settle moves the acknowledged number past the ends whose effect is recorded.
func (w *worker) settle() {
	for len(w.ends) > 0 && w.ends[0].settled {
		w.acked = w.ends[0].number
		w.ends = w.ends[1:]
	}
}

// end takes in an end that the worker lists.
func (m *Machine) end(w *worker, ended acaciatally.EndedTask, now time.Duration) {
	if ended.Number <= w.acked || (len(w.ends) > 0 && ended.Number <= w.ends[len(w.ends)-1].number) {
		return
	}
	t := m.find(ended.Task)
	counts := t != nil && t.at == w && t.attempt == ended.Attempt
	m.config.Journal.RunEnded(ended, w.entry.ID, counts)
	w.ends = append(w.ends, endState{number: ended.Number, settled: !counts})
	if !counts {
		return
	}
	t.job.unacked = append(t.job.unacked, endRef{worker: w.entry.ID, born: w.born, number: ended.Number})
	t.job.dirty = true
	m.started(t)
	m.judge(w, t, ended, now)
	m.applyEnd(t, ended, now)
}

// applyEnd changes the task by the end of its current run.
func (m *Machine) applyEnd(t *task, ended acaciatally.EndedTask, now time.Duration) {
	if ended.Checkpoint != "" {
		t.checkpoint = ended.Checkpoint
	}
	switch {
	case ended.End == acaciatally.EndDone && !t.step.Lasting:
		m.noteRun(t, now)
		m.complete(t)
		return
	case ended.End == acaciatally.EndFailed:
		t.failures++
		t.shun(now)
	}
	t.release()
	if t.job.live() && !t.step.Lasting && t.failures >= max(1, t.job.accepted.Queue.Attempts) {
		m.finish(t.job, acaciatally.JobFailed)
	}
}

// shun keeps a task away from the worker on which it failed; a lasting one may fail at any time anywhere, and has to run again soon.
func (t *task) shun(now time.Duration) {
	if t.step.Lasting {
		return
	}
	if t.avoid == nil {
		t.avoid = map[acaciatally.WorkerID]time.Duration{}
	}
	t.avoid[t.at.entry.ID] = now + avoidFor
}

// avoidFor is how long a task stays away from a worker on which it failed, if there are others.
const avoidFor = 10 * time.Second

// complete marks the task done, with its whole gang, and the job if it was the last one.
func (m *Machine) complete(t *task) {
	t.release()
	t.phase = job.Done
	t.checkpoint = ""
	j := t.job
	for _, o := range j.open {
		if o.number == t.ref.Occurrence && t.step.Gang {
			completeGang(o.steps[t.ref.Step])
		}
		if o.number == t.ref.Occurrence {
			m.noteStep(j, o.steps[t.ref.Step])
		}
	}
	open := j.open[:0]
	for _, o := range j.open {
		if !o.done() {
			open = append(open, o)
		}
	}
	j.open = open
	if j.live() && len(j.open) == 0 && j.next >= job.Occurrences(j.accepted.Spec) {
		m.finish(j, acaciatally.JobCompleted)
	}
}

// completeGang marks all members done, since one member's end stands for all.
func completeGang(members []*task) {
	for _, member := range members {
		member.release()
		member.phase, member.checkpoint = job.Done, ""
	}
}

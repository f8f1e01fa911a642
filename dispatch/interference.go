package dispatch

import (
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/interference"
)

const (
	// interferenceSweepInterval is the time between two checks for verdicts and kinds that are out of date.
	interferenceSweepInterval = 5 * time.Second
	// responseWindow is the time over which response times are averaged for one observation. The reported ones cover the last half second.
	responseWindow = 2 * time.Second
	// responseMeanWeight is the weight of a window in the mean response time of a run.
	responseMeanWeight = 0.05
	// minResponseWindows is the number of windows from which a run's mean response time is known well enough.
	minResponseWindows = 3
)

// interferenceTracker collects for the detector what runs beside each run, and keeps kinds of tasks that slow each other down apart. It is nil if the
// mode is off; its methods then do nothing.
type interferenceTracker struct {
	detector  *interference.Detector
	avoid     bool
	now       time.Duration // of the last call of the scheduler
	sweepAt   time.Duration
	free      []*observedRun
	beside    []interference.Presence // scratch
	apart     int                     // runs of kinds with a verdict that were placed apart from the other kind
	together  int                     // those that were placed beside it
	published interferenceRecord
}

// observedRun is what the tracker knows of an assigned run.
type observedRun struct {
	kind       interference.KindID
	running    bool
	whole      bool // the start is known, and the run began without a checkpoint
	window     presenceWindow
	responses  time.Duration // sum of the response times reported in the window
	reports    int           // number of them
	response   time.Duration // mean response time over the windows before
	numWindows int
}

func newInterferenceTracker(mode interference.Mode) *interferenceTracker {
	if mode != interference.ModeObserve && mode != interference.ModeAvoid {
		return nil
	}
	return &interferenceTracker{detector: interference.NewDetector(), avoid: mode == interference.ModeAvoid}
}

// advance sets the time for changes that are made by calls without a time.
func (i *interferenceTracker) advance(now time.Duration) {
	if i != nil {
		i.now = now
	}
}

func (t *task) interferenceKind() interference.Kind {
	return interference.KindOf(t.job.accepted.Queue.Name, t.ref.Step, t.step)
}

// conflicts returns the kinds of tasks from which the task is to be kept apart.
func (i *interferenceTracker) conflicts(t *task) []interference.KindID {
	if i == nil || !i.avoid || i.detector.Verdicts() == 0 {
		return nil
	}
	return i.detector.Conflicts(i.detector.Find(t.interferenceKind()))
}

// started handles that the task's run has started; known is false if the start was some time before.
func (i *interferenceTracker) started(t *task, known bool, now time.Duration) {
	if i == nil || t.observed == nil || t.observed.running {
		return
	}
	t.observed.running, t.observed.whole = true, known && t.checkpoint == ""
	t.worker.neighbours.start(t.observed.kind, t.step.Resources.Processors, now)
	t.observed.window.reset(t.worker.neighbours, now)
}

// observeEnd adds the evidence of a run that is done. Runs that depend on more than what they do and what runs on their worker are left out: those from a
// checkpoint, gangs, which are as slow as their slowest member, backfill, which is throttled, and runs far from their data.
func (i *interferenceTracker) observeEnd(t *task, now time.Duration) {
	if i == nil || t.observed == nil || !t.observed.running || !t.observed.whole || t.step.Gang || t.step.Backfill || t.farFromData() {
		return
	}
	i.detector.Observe(i.observation(t, now-t.confirmedAt, t.step.Estimate, now), now)
}

func (t *task) farFromData() bool {
	return t.step.NearRack != "" && t.worker.entry.Rack != acaciatally.Rack(t.step.NearRack)
}

// observeResponse adds the evidence of a reported tail latency. The response time is compared with the mean of the same run.
func (i *interferenceTracker) observeResponse(t *task, now time.Duration) {
	if i == nil || t.observed == nil || !t.observed.running || t.tailLatency <= 0 {
		return
	}
	r := t.observed
	r.responses += t.tailLatency
	r.reports++
	if now < r.window.startedAt+responseWindow {
		return
	}
	measured := r.responses / time.Duration(r.reports)
	if r.numWindows >= minResponseWindows {
		o := i.observation(t, measured, r.response, now)
		o.Response = true
		i.detector.Observe(o, now)
	}
	r.numWindows++
	weight := max(responseMeanWeight, 1/float64(r.numWindows))
	r.response += time.Duration(weight * float64(measured-r.response))
	r.responses, r.reports = 0, 0
	r.window.reset(t.worker.neighbours, now)
}

// observation returns the observation of a run's window up to now.
func (i *interferenceTracker) observation(t *task, measured, estimate, now time.Duration) interference.Observation {
	w := t.worker
	name := string(w.entry.Instance)
	if name == "" {
		name = string(w.entry.ID)
	}
	o := interference.Observation{Kind: t.observed.kind, Worker: name, Time: measured, Estimate: estimate}
	o.Load, i.beside = t.observed.window.neighbours(w.neighbours, t.observed.kind, i.beside[:0], now)
	o.Load = (o.Load - float64(t.step.Resources.Processors)) / float64(max(1, w.entry.Capacity.Processors))
	o.Beside = i.beside
	return o
}

// countPlacement counts a placement of a task with conflicts.
func (i *interferenceTracker) countPlacement(t *task, chosen *candidate) {
	switch {
	case chosen == nil || len(t.conflicts) == 0:
	case chosen.w.neighbours.count(t.conflicts) > 0:
		i.together++
	default:
		i.apart++
	}
}

// sweepInterference logs changed verdicts and removes what is out of date.
func (s *Scheduler) sweepInterference(now time.Duration) {
	i := s.interference
	if i == nil {
		return
	}
	if now >= i.sweepAt {
		i.sweepAt = now + interferenceSweepInterval
		i.detector.Advance(now)
		for _, w := range s.workers {
			w.neighbours.prune(now)
		}
		s.config.EventLog.InterferenceMeasured(InterferenceStats{Stats: i.detector.Stats(), Apart: i.apart, Together: i.together})
	}
	for _, change := range i.detector.TakeChanges() {
		s.config.EventLog.InterferenceChanged(change)
	}
}

// InterferenceStats describes the state of the detection, and what came of it in this term of leadership.
type InterferenceStats struct {
	interference.Stats
	Apart    int // placements of tasks with a verdict on a worker without the other kind
	Together int // those beside the other kind, for lack of room elsewhere
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally/interference"
)

// presenceRetention is how long the times of a kind are kept that no longer runs on the worker. A longer run loses what came before.
const presenceRetention = 20 * time.Second

// neighbours holds which kinds of tasks run on a worker, and for how long they have run there. It is nil if interference is not observed;
// its methods then do nothing.
type neighbours struct {
	tracker       *interferenceTracker
	assigned      [interference.MaxKinds]uint16 // assigned tasks by kind, whether or not they run yet
	kinds         []presence                    // of running tasks, by kind
	processors    int                           // reserved by running tasks
	processorTime int64                         // integral of processors over time, in nanoseconds, up to changedAt
	changedAt     time.Duration
}

// presence is the presence of one kind on a worker.
type presence struct {
	kind      interference.KindID
	running   int           // tasks
	one       time.Duration // time for which at least one ran, up to changedAt
	several   time.Duration // time for which at least two ran
	addedAt   time.Duration
	changedAt time.Duration
}

func (i *interferenceTracker) newNeighbours() *neighbours {
	if i == nil {
		return nil
	}
	return &neighbours{tracker: i}
}

// assign handles that the task is assigned to the worker.
func (n *neighbours) assign(t *task) {
	if n == nil {
		return
	}
	run := &observedRun{}
	if last := len(n.tracker.free) - 1; last >= 0 {
		run = n.tracker.free[last]
		n.tracker.free = n.tracker.free[:last]
	}
	*run = observedRun{kind: n.tracker.detector.Acquire(t.interferenceKind()), window: presenceWindow{times: run.window.times[:0]}}
	t.observed = run
	if run.kind != interference.NoKind {
		n.assigned[run.kind]++
	}
}

// release handles that the task's run is over.
func (n *neighbours) release(t *task) {
	if n == nil || t.observed == nil {
		return
	}
	run := t.observed
	if run.running {
		n.end(run.kind, t.step.Resources.Processors, n.tracker.now)
	}
	if run.kind != interference.NoKind {
		n.assigned[run.kind]--
	}
	n.tracker.detector.Release(run.kind)
	n.tracker.free = append(n.tracker.free, run)
	t.observed = nil
}

// start handles that a task of the kind starts to run.
func (n *neighbours) start(kind interference.KindID, processors int, now time.Duration) {
	n.changeProcessors(processors, now)
	if kind == interference.NoKind {
		return
	}
	at, found := n.find(kind)
	if !found {
		n.tracker.detector.Retain(kind)
		n.kinds = slices.Insert(n.kinds, at, presence{kind: kind, addedAt: now, changedAt: now})
	}
	n.kinds[at].change(1, now)
}

// end handles that a task of the kind no longer runs.
func (n *neighbours) end(kind interference.KindID, processors int, now time.Duration) {
	n.changeProcessors(-processors, now)
	if at, found := n.find(kind); found {
		n.kinds[at].change(-1, now)
	}
}

func (n *neighbours) find(kind interference.KindID) (at int, found bool) {
	return slices.BinarySearchFunc(n.kinds, kind, func(p presence, kind interference.KindID) int { return cmp.Compare(p.kind, kind) })
}

func (n *neighbours) changeProcessors(difference int, now time.Duration) {
	n.processorTime = n.processorTimeAt(now)
	n.changedAt = now
	n.processors += difference
}

func (n *neighbours) processorTimeAt(now time.Duration) int64 {
	return n.processorTime + int64(n.processors)*int64(now-n.changedAt)
}

// change changes the number of running tasks.
func (p *presence) change(difference int, now time.Duration) {
	p.one, p.several = p.times(now)
	p.changedAt = now
	p.running += difference
}

// times returns the times for which at least one and at least two tasks have run.
func (p *presence) times(now time.Duration) (one, several time.Duration) {
	one, several = p.one, p.several
	if p.running > 0 {
		one += now - p.changedAt
	}
	if p.running > 1 {
		several += now - p.changedAt
	}
	return one, several
}

// count returns the number of assigned tasks of the kinds.
func (n *neighbours) count(kinds []interference.KindID) (count int) {
	for _, kind := range kinds {
		count += int(n.assigned[kind])
	}
	return count
}

// prune removes the kinds that have not run for long.
func (n *neighbours) prune(now time.Duration) {
	if n == nil {
		return
	}
	n.kinds = slices.DeleteFunc(n.kinds, func(p presence) bool {
		old := p.running == 0 && now-p.changedAt > presenceRetention
		if old {
			n.tracker.detector.Release(p.kind)
		}
		return old
	})
}

// discard gives up the kinds of a worker without runs that is no longer known.
func (n *neighbours) discard() {
	if n == nil {
		return
	}
	for _, p := range n.kinds {
		n.tracker.detector.Release(p.kind)
	}
	n.kinds = nil
}

// presenceWindow is a part of a run, up to now, for which it can be told what ran beside it.
type presenceWindow struct {
	startedAt     time.Duration
	processorTime int64
	times         []presenceTimes // at the start, by kind
}

// presenceTimes are the times for which at least one and at least two tasks of a kind had run.
type presenceTimes struct {
	kind         interference.KindID
	one, several time.Duration
}

// reset starts the window now.
func (w *presenceWindow) reset(n *neighbours, now time.Duration) {
	w.startedAt, w.processorTime = now, n.processorTimeAt(now)
	w.times = w.times[:0]
	for i := range n.kinds {
		one, several := n.kinds[i].times(now)
		w.times = append(w.times, presenceTimes{n.kinds[i].kind, one, several})
	}
}

// neighbours appends to beside which kinds ran during the window beside a run of the kind own, and returns the mean of the processors that
// were reserved, the run's own included.
func (w *presenceWindow) neighbours(
	n *neighbours, own interference.KindID, beside []interference.Presence, now time.Duration,
) (processors float64, present []interference.Presence) {
	length := float64(now - w.startedAt)
	if length <= 0 {
		return 0, beside
	}
	next := 0
	for i := range n.kinds {
		kind := &n.kinds[i]
		one, several := kind.times(now)
		for next < len(w.times) && w.times[next].kind < kind.kind {
			next++
		}
		if next < len(w.times) && w.times[next].kind == kind.kind && kind.addedAt <= w.startedAt {
			one -= w.times[next].one
			several -= w.times[next].several
		}
		if kind.kind == own {
			one = several
		}
		if one > 0 {
			beside = append(beside, interference.Presence{Kind: kind.kind, Share: min(1, float64(one)/length)})
		}
	}
	return float64(n.processorTimeAt(now)-w.processorTime) / length, beside
}

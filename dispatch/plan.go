package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/job"
)

// checkEvery is the time between two looks at runs that do not progress or have to leave.
const checkEvery = 100 * time.Millisecond

// Plan opens occurrences, gives up lost runs and places what may run; wall is the time of day.
func (m *Machine) Plan(now time.Duration, wall time.Time) {
	for _, j := range m.jobs {
		if j.live() {
			m.begin(j, now, wall)
		}
	}
	m.expire(now)
	if now >= m.checkAt {
		m.checkAt = now + checkEvery
		m.moveStuck(now)
		m.evacuate()
	}
	pools := m.changed()
	if now >= m.placeAt {
		m.placeAt = now + checkEvery
		pools = nil
	} else if len(pools) == 0 {
		return
	}
	m.place(pools, now)
}

// changed returns the pools in which a task has begun or ceased to wait since the last placement.
func (m *Machine) changed() (pools map[acaciatally.PoolName]bool) {
	pools = map[acaciatally.PoolName]bool{}
	for _, j := range m.jobs {
		if j.changed {
			pools[j.accepted.Queue.Pool] = true
			j.changed, j.outlook.at = false, 0
		}
	}
	return pools
}

// waiting returns the jobs of all pools, or only some, that have tasks to place, in the order in which they are to be placed.
func (m *Machine) waiting(only map[acaciatally.PoolName]bool, now time.Duration) map[acaciatally.PoolName][]*activeJob {
	pools := map[acaciatally.PoolName][]*activeJob{}
	for _, j := range m.jobs {
		if (only == nil || only[j.accepted.Queue.Pool]) && j.live() && j.hasWaiting() {
			j.lateness = m.latenessOf(j, now)
			pools[j.accepted.Queue.Pool] = append(pools[j.accepted.Queue.Pool], j)
		}
	}
	for _, jobs := range pools {
		slices.SortFunc(jobs, compareJobs)
	}
	return pools
}

// hasWaiting reports whether a task may start that has no run.
func (j *activeJob) hasWaiting() bool {
	for _, o := range j.open {
		for number, tasks := range o.steps {
			if slices.ContainsFunc(tasks, waitingTask) && o.ready(&j.accepted.Spec, number) {
				return true
			}
		}
	}
	return false
}

func waitingTask(t *task) bool { return t.phase == job.Waiting }

func all(tasks []*task, holds func(t *task) bool) bool {
	for _, t := range tasks {
		if !holds(t) {
			return false
		}
	}
	return true
}

// place assigns waiting tasks to workers, in all pools or only some.
func (m *Machine) place(only map[acaciatally.PoolName]bool, now time.Duration) {
	for pool, jobs := range m.waiting(only, now) {
		g := &group{candidates: m.candidates(pool, now)}
		g.measure()
		for _, j := range jobs {
			m.placeJob(j, g, now)
		}
	}
}

// placeJob places the ready tasks of a job; once one task of a step finds no worker, its siblings find none either.
func (m *Machine) placeJob(j *activeJob, g *group, now time.Duration) {
	for _, o := range j.open {
		for number, tasks := range o.steps {
			step := &j.accepted.Spec.Steps[number]
			if (g.full(step) && !step.Lasting) || !o.ready(&j.accepted.Spec, number) {
				continue
			}
			if step.Gang {
				if all(tasks, waitingTask) {
					m.placeGang(tasks, g, now)
				}
				continue
			}
			for _, t := range tasks {
				if waitingTask(t) && !m.placeTask(t, g, now) {
					break
				}
			}
		}
	}
}

func (m *Machine) placeTask(t *task, g *group, now time.Duration) bool {
	c := m.best(t, g.candidates, now)
	if c == nil {
		if len(t.avoid) == 0 && t.job.accepted.Queue.Advice == nil {
			g.refused(t.step)
		}
		if t.step.Lasting && !t.step.Backfill {
			m.preempt(t, g.candidates, now)
		}
		return false
	}
	m.assign(t, c, t.attempt+1)
	return true
}

// group is the candidates of a pool.
type group struct {
	candidates []*candidate
	roomiest   acaciatally.Room   // the most that any of them had left at first, of each kind
	tooLarge   []acaciatally.Room // that no candidate has left; room only shrinks while tasks are placed
}

// full reports whether a task of the step surely finds no place.
func (g *group) full(step *acaciatally.Step) bool {
	takes := step.Takes()
	return !g.roomiest.Holds(takes) || slices.ContainsFunc(g.tooLarge, takes.Holds)
}

// refused remembers a task without a place, if only its size can have been the reason.
func (g *group) refused(step *acaciatally.Step) {
	if step.Label != "" || step.PerWorker > 0 {
		return
	}
	takes := step.Takes()
	g.tooLarge = slices.DeleteFunc(g.tooLarge, func(larger acaciatally.Room) bool { return larger.Holds(takes) })
	g.tooLarge = append(g.tooLarge, takes)
}

func (g *group) measure() {
	g.roomiest = acaciatally.Room{}
	for _, c := range g.candidates {
		g.roomiest.Processors = max(g.roomiest.Processors, c.free.Processors)
		g.roomiest.Memory = max(g.roomiest.Memory, c.free.Memory)
		g.roomiest.Accelerators = max(g.roomiest.Accelerators, c.free.Accelerators)
	}
}

// candidate is a worker that may get new runs, and what it has left.
type candidate struct {
	w    *worker
	load load
	free acaciatally.Room
}

// candidates returns the workers of a pool that may get new runs.
func (m *Machine) candidates(pool acaciatally.PoolName, now time.Duration) (list []*candidate) {
	for _, w := range m.workers {
		if w.entry.Pool != pool || !m.mayStart(w, now) {
			continue
		}
		list = append(list, newCandidate(w))
	}
	slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.w.entry.ID, b.w.entry.ID) })
	return list
}

func newCandidate(w *worker) *candidate {
	return &candidate{w: w, load: w.load, free: w.entry.Capacity.Minus(w.load.used)}
}

// take counts a task against the candidate.
func (c *candidate) take(t *task) {
	c.load.add(t.step, 1)
	c.free = c.w.entry.Capacity.Minus(c.load.used)
}

// siblings returns how many tasks of the task's step are assigned to the worker.
func (c *candidate) siblings(t *task) (count int) {
	for run := range c.w.runs {
		if run.stepKey() == t.stepKey() {
			count++
		}
	}
	return count
}

// mayStart reports whether the worker may get new runs at all.
func (m *Machine) mayStart(w *worker, now time.Duration) bool {
	return w.listed && w.known && !w.gone && !w.entry.Draining && w.failures == 0 && now-w.clockAt < contactLimit &&
		len(w.orphans) == 0 && m.withheld[w.entry.ID] == ""
}

// fits reports whether the candidate may run one more task of the step.
func (c *candidate) fits(t *task, now time.Duration) bool {
	step := t.step
	return c.w.entry.HasLabel(step.Label) && c.free.Holds(step.Takes()) &&
		(step.PerWorker == 0 || c.siblings(t) < step.PerWorker) && c.w.health.admits(c.load.runs, now)
}

// placeGang places the members one by one on copies of the candidates, and keeps the result only if all fit.
func (m *Machine) placeGang(tasks []*task, g *group, now time.Duration) {
	trial := make([]*candidate, 0, len(g.candidates))
	original := map[*candidate]*candidate{}
	for _, c := range g.candidates {
		copied := *c
		trial = append(trial, &copied)
		original[&copied] = c
	}
	attempt := 0
	checkpoint := ""
	chosen := make([]*candidate, 0, len(tasks))
	for _, t := range tasks {
		c := m.best(t, trial, now)
		if c == nil {
			return
		}
		c.take(t)
		chosen = append(chosen, original[c])
		attempt = max(attempt, t.attempt+1)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
		}
	}
	for i, t := range tasks {
		t.checkpoint = checkpoint
		m.assign(t, chosen[i], attempt)
	}
}

func (m *Machine) assign(t *task, c *candidate, attempt int) {
	t.attempt = attempt
	t.assign(c.w, planned)
	m.config.Journal.RunPlanned(t.ref, attempt, c.w.entry.ID, c.free.Processors)
	c.take(t)
}

// best returns the most suitable candidate for the task, or nil. A worker on which the task failed is left out if there are others,
// since a further failure may use up the last attempt.
func (m *Machine) best(t *task, candidates []*candidate, now time.Duration) (chosen *candidate) {
	for _, c := range candidates {
		if len(candidates) > len(t.avoid) && now < t.avoid[c.w.entry.ID] {
			continue
		}
		if c.fits(t, now) && m.permitted(t, c.w.entry.ID, now) && (chosen == nil || m.better(t, c, chosen)) {
			chosen = c
		}
	}
	return chosen
}

// better reports whether a suits the task more than b.
func (m *Machine) better(t *task, a, b *candidate) bool {
	if near := acaciatally.Rack(t.step.NearRack); near != "" && (a.w.entry.Rack == near) != (b.w.entry.Rack == near) {
		return a.w.entry.Rack == near
	}
	if t.step.SameRack {
		if siblingsA, siblingsB := a.sameRack(t), b.sameRack(t); siblingsA != siblingsB {
			return siblingsA > siblingsB
		}
	}
	if t.step.TailObjective > 0 && a.load.filling != b.load.filling {
		return a.load.filling < b.load.filling
	}
	if t.step.Backfill && a.load.serving != b.load.serving {
		return a.load.serving < b.load.serving
	}
	if dueA, dueB := m.dueSoon[a.w.entry.ID], m.dueSoon[b.w.entry.ID]; t.step.Lasting && dueA != dueB {
		return dueB
	}
	if t.step.Lasting && (a.load.lasting > 0) != (b.load.lasting > 0) {
		return a.load.lasting > 0 // lasting work keeps its instance in the pool
	}
	return a.free.Processors < b.free.Processors // so that other instances become idle and can move
}

// sameRack counts the assigned siblings of the task in the candidate's rack.
func (c *candidate) sameRack(t *task) (count int) {
	for _, o := range t.job.open {
		if o.number != t.ref.Occurrence {
			continue
		}
		for _, sibling := range o.steps[t.ref.Step] {
			if sibling.at != nil && sibling.at.entry.Rack == c.w.entry.Rack {
				count++
			}
		}
	}
	return count
}

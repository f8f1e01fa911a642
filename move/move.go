package move

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/forecast"
)

// Forecaster forecasts the demand of pools.
type Forecaster interface {
	// Forecast returns the expected peak of the demand between two times.
	Forecast(pool acaciatally.PoolName, from, to time.Time) forecast.Forecast
}

// Config tunes the planner; zero values are replaced by the defaults.
type Config struct {
	Reserve  float64       // weight of an instance-second above the need, default 1
	Moves    float64       // weight of a move, default 1
	HoldTime time.Duration // time before a move may be reversed, default 30 s
	LeadTime time.Duration // time from planning a move until the instance serves in the new pool, default 4 s
	Margin   float64       // share of the demand kept free, default 0.03, since short queues absorb noise in the demand
	// MoveCost is the instance time that one move is worth at equal weights, default 10 s.
	MoveCost time.Duration
	// MaxPayback bounds the payback time of a move, within which a forecast need keeps instances in a pool, default 3 min.
	MaxPayback time.Duration
}

func (c *Config) setDefaults() {
	for _, weight := range []*float64{&c.Reserve, &c.Moves} {
		if *weight == 0 {
			*weight = 1
		}
	}
	if c.HoldTime == 0 {
		c.HoldTime = 30 * time.Second
	}
	if c.LeadTime == 0 {
		c.LeadTime = 4 * time.Second
	}
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.MoveCost == 0 {
		c.MoveCost = 10 * time.Second
	}
	if c.MaxPayback == 0 {
		c.MaxPayback = 3 * time.Minute
	}
}

const (
	minMargin     = 0.01
	defaultMargin = 0.03
)

// Margin returns the share of the demand to keep free for the weights of protection and of reserve. It never exceeds the default: a
// higher margin costs more reserve and more moves, but protects no more work.
func Margin(protection, reserve float64) float64 {
	if protection <= 0 || reserve <= 0 {
		return defaultMargin
	}
	return min(max(defaultMargin*protection/reserve, minMargin), defaultMargin)
}

// Planner plans the moves of instances between pools; it keeps no state between plans.
type Planner struct {
	config Config
}

// New returns a planner.
func New(config Config) *Planner {
	config.setDefaults()
	return &Planner{config: config}
}

// Input holds what a plan depends on.
type Input struct {
	Now        time.Time
	Draft      *fleet.Draft
	Forecaster Forecaster
	// RequiredInstances are the instances that a pool needs regardless of its demand, such as for a maintenance wave.
	RequiredInstances map[acaciatally.PoolName]int
}

// ownInstancePaybacks is the number of payback times for which a pool must not need one of its own instances before it is moved to the
// spare pool. It is above one, since the instance has to return in time and the availability budget lets only a few move at once.
const ownInstancePaybacks = 3

// payback returns the idle time above which moving an instance away and back costs less than keeping it, at most MaxPayback.
func (p *Planner) payback() time.Duration {
	return min(p.config.MaxPayback, time.Duration(2*float64(p.config.MoveCost)*p.config.Moves/p.config.Reserve))
}

// planRun is the computation of one plan.
type planRun struct {
	*Planner
	Input
	spare   acaciatally.PoolName
	pools   []*poolState
	actions []approval.Action
}

// poolState is the supply and the need of one pool, in instances.
type poolState struct {
	name              acaciatally.PoolName
	supply            int // serving in the pool or moving into it
	needSoon          int // needed within the lead time
	needWithinPayback int // needed within the payback time; borrowed instances above it may leave
	needOwn           int // needed within ownInstancePaybacks payback times; the pool's own instances above it may leave
	slotsPerInstance  float64
}

// Plan returns the moves to start now; each has been applied to the draft. Without a spare pool there are none.
func (p *Planner) Plan(input Input) (actions []approval.Action) {
	r := &planRun{Planner: p, Input: input, spare: input.Draft.State().SparePool()}
	if r.spare == "" {
		return nil
	}
	r.computeNeeds()
	r.fillShortages()
	r.reassignBorrowed()
	r.releaseIdle()
	return r.actions
}

func (r *planRun) computeNeeds() {
	state := r.Draft.State()
	incoming := map[acaciatally.PoolName]int{}
	for name := range state.Pools {
		members := state.SharedMembers(name)
		for i := range members {
			if members[i].Phase == fleet.Draining && members[i].Cause == fleet.CauseMove {
				incoming[members[i].Target]++
			}
		}
	}
	for _, name := range state.PoolNames() {
		if name == r.spare {
			continue
		}
		pool := &poolState{name: name, supply: state.AvailableCount(name) + incoming[name], slotsPerInstance: meanSlots(state.SharedMembers(name))}
		pool.needSoon = r.need(pool, r.config.LeadTime)
		pool.needWithinPayback = max(pool.needSoon, r.need(pool, max(r.payback(), r.config.LeadTime)))
		pool.needOwn = max(pool.needWithinPayback, r.need(pool, min(r.config.MaxPayback, ownInstancePaybacks*r.payback())))
		if r.Forecaster.Forecast(name, r.Now, r.Now).ShortHistory {
			// Without enough history, no own instance counts as idle. Borrowed instances may still leave.
			pool.needOwn = max(pool.needOwn, pool.supply)
		}
		r.pools = append(r.pools, pool)
	}
}

// meanSlots returns the mean number of slots of the instances, or 8 when they have none.
func meanSlots(members []fleet.Instance) float64 {
	total := 0
	for i := range members {
		total += members[i].Slots
	}
	if total == 0 {
		return 8
	}
	return float64(total) / float64(len(members))
}

// need returns the number of instances that the pool needs within a time span: at least one, enough for the forecast peak with the
// margin, the pool's minimum, and the instances required regardless of demand.
func (r *planRun) need(pool *poolState, span time.Duration) int {
	forecast := r.Forecaster.Forecast(pool.name, r.Now, r.Now.Add(span))
	demand := int(math.Ceil(forecast.Slots * (1 + r.config.Margin) / pool.slotsPerInstance))
	return max(1, demand, r.Draft.State().Pools[pool.name].MinAvailable, r.RequiredInstances[pool.name])
}

// fillShortages moves instances into the pools that lack them, the largest relative shortage first.
func (r *planRun) fillShortages() {
	for {
		pool := r.largestShortage()
		if pool == nil || !r.moveOneInto(pool) {
			return
		}
	}
}

func (r *planRun) largestShortage() (short *poolState) {
	largest := 0.0
	for _, pool := range r.pools {
		if gap := float64(pool.needSoon-pool.supply) / float64(pool.needSoon); gap > largest {
			short, largest = pool, gap
		}
	}
	return short
}

// moveOneInto plans the move of one instance into the pool: preferably an idle borrowed instance of another pool, which saves its
// return, then one of the spare pool, then an idle own instance of another pool. It returns false when no pool is short any longer.
func (r *planRun) moveOneInto(pool *poolState) bool {
	candidates := r.candidates(pool)
	for _, candidate := range candidates {
		if r.planMove(candidate.instance, pool.name) {
			pool.supply++
			if candidate.from != nil {
				candidate.from.supply--
			}
			return true
		}
	}
	pool.needSoon = pool.supply // no candidate may move, so the shortage is ignored for the rest of this plan
	return r.largestShortage() != nil
}

// reassignBorrowed moves idle borrowed instances to pools that will need them within the payback time. The move costs the same now, the
// instances are not idle in the meantime, and the few that the availability budget lets move at once arrive before the burst.
func (r *planRun) reassignBorrowed() {
	for _, pool := range r.pools {
		if pool.supply >= pool.needWithinPayback {
			continue
		}
		for _, candidate := range r.candidates(pool) {
			if pool.supply >= pool.needWithinPayback {
				break
			}
			if candidate.rank == 0 && r.planMove(candidate.instance, pool.name) {
				pool.supply++
				candidate.from.supply--
			}
		}
	}
}

type candidate struct {
	instance fleet.Instance
	from     *poolState // nil for the spare pool
	rank     int        // lower is preferred; 0 marks an idle borrowed instance
}

func (r *planRun) candidates(pool *poolState) (candidates []candidate) {
	state := r.Draft.State()
	for _, instance := range state.SharedMembers(r.spare) {
		candidates = append(candidates, candidate{instance: instance, rank: spareRank(instance, pool.name, r.spare)})
	}
	for _, from := range r.pools {
		idle := from.supply - from.needWithinPayback
		if from == pool || idle <= 0 {
			continue
		}
		for _, instance := range state.SharedMembers(from.name) {
			rank := 4
			if instance.Home != from.name {
				rank = 0
			} else if from.supply <= from.needOwn {
				continue
			}
			candidates = append(candidates, candidate{instance: instance, from: from, rank: rank})
		}
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.instance.Phase != fleet.Serving || r.Draft.Planned(c.instance) || r.reversesLastMove(c.instance, pool.name)
	})
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		// A recently maintained instance need not be drained again for a wave in the pool that borrows it.
		return cmp.Or(cmp.Compare(a.rank, b.rank), b.instance.Maintained.Compare(a.instance.Maintained), a.instance.MovedAt.Compare(b.instance.MovedAt))
	})
	return candidates
}

// spareRank ranks instances in the spare pool for a move to the pool, lowest first: those whose home pool is the target pool, then those of
// the spare pool itself, then those of other pools.
func spareRank(instance fleet.Instance, pool, spare acaciatally.PoolName) int {
	switch instance.Home {
	case pool:
		return 1
	case spare:
		return 2
	}
	return 3
}

// reversesLastMove reports whether the move would undo the instance's last move before the hold time has passed.
func (r *planRun) reversesLastMove(instance fleet.Instance, to acaciatally.PoolName) bool {
	return instance.MovedFrom == to && r.Now.Sub(instance.MovedAt) < r.config.HoldTime
}

// releaseIdle moves instances that stay idle for longer than the payback time to the spare pool. It keeps as many as other pools will
// lack within that time, since those can move there directly.
func (r *planRun) releaseIdle() {
	shortage := 0
	for _, pool := range r.pools {
		shortage += max(0, pool.needWithinPayback-pool.supply)
	}
	for _, pool := range r.pools {
		for _, instance := range r.releasable(pool) {
			if pool.supply <= pool.needWithinPayback || inHomePool(instance) == 1 && pool.supply <= pool.needOwn {
				break
			}
			if shortage > 0 {
				shortage--
				pool.needWithinPayback++
				continue
			}
			if r.planMove(instance, r.spare) {
				pool.supply--
			}
		}
	}
}

// releasable returns the serving instances of a pool that may leave it: the borrowed ones, or its own when none is borrowed.
func (r *planRun) releasable(pool *poolState) (instances []fleet.Instance) {
	if pool.supply <= pool.needWithinPayback {
		return nil
	}
	members := r.Draft.State().SharedMembers(pool.name)
	hasBorrowed := slices.ContainsFunc(members, func(member fleet.Instance) bool { return inHomePool(member) == 0 })
	for _, instance := range members {
		if hasBorrowed && inHomePool(instance) == 1 {
			continue
		}
		if instance.Phase == fleet.Serving && !r.reversesLastMove(instance, r.spare) && !r.Draft.Planned(instance) {
			instances = append(instances, instance)
		}
	}
	return instances
}

// inHomePool returns 1 for an instance in its home pool and 0 for a borrowed one.
func inHomePool(instance fleet.Instance) int {
	if instance.Home == instance.Pool {
		return 1
	}
	return 0
}

// planMove plans the move and applies it to the draft; it returns false when the draft refuses it, such as for an availability budget.
func (r *planRun) planMove(instance fleet.Instance, to acaciatally.PoolName) bool {
	drain := fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: fleet.Draining, Cause: fleet.CauseMove, Target: to, Borrow: true}}
	if r.Draft.Try(drain) != nil {
		return false
	}
	reason := "capacity for pool " + string(to)
	if to == r.spare {
		reason = "idle in pool " + string(instance.Pool)
	}
	r.actions = append(r.actions, approval.NewInstanceAction("MoveDrain", instance, reason, drain))
	return true
}

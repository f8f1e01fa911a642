package move

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/rhythm"
)

// Forecaster forecasts the demand of pools.
type Forecaster interface {
	// Forecast returns the peak of the demand between two times.
	Forecast(pool acaciatally.PoolName, from, to time.Time) rhythm.Forecast
}

// Config tunes the planner; zero values are replaced by the defaults.
type Config struct {
	Reserve  float64       // weight of an instance-second beyond the need, default 1
	Moves    float64       // weight of a move, default 1
	HoldTime time.Duration // time before a move may be reversed, default 30 s
	LeadTime time.Duration // time from the order of a move to service in the new pool, default 4 s
	Margin   float64       // share of the demand kept free, default 0.03: short queues absorb the noise
	// MoveCost is the instance time that one move is worth at equal weights, default 10 s.
	MoveCost time.Duration
	// MaxPayback bounds the look ahead for a return, default 3 min.
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

// Margin returns the share of the demand to keep free at the weights of protection and of reserve. It never passes the default,
// above which reserve and moves rise and no more work is kept.
func Margin(protection, reserve float64) float64 {
	if protection <= 0 || reserve <= 0 {
		return defaultMargin
	}
	return min(max(defaultMargin*protection/reserve, minMargin), defaultMargin)
}

// Planner plans moves.
type Planner struct {
	config Config
}

// New returns a planner.
func New(config Config) *Planner {
	config.setDefaults()
	return &Planner{config: config}
}

// Input is what one plan depends on.
type Input struct {
	Now        time.Time
	Draft      *fleet.Draft
	Forecaster Forecaster
	// RequiredInstances are the instances that a pool needs regardless of its demand, such as for a maintenance wave.
	RequiredInstances map[acaciatally.PoolName]int
}

// nativePaybacks is how many paybacks one of a pool's own instances must be idle before it is parked in the spare pool: it has to come
// back in time, while the budget lets only a few move at once.
const nativePaybacks = 3

// payback is the idle time of an instance above which a move there and back costs less than keeping it.
func (p *Planner) payback() time.Duration {
	return min(p.config.MaxPayback, time.Duration(2*float64(p.config.MoveCost)*p.config.Moves/p.config.Reserve))
}

// round is the work on one input.
type round struct {
	*Planner
	Input
	spare   acaciatally.PoolName
	pools   []*standing
	actions []approval.Action
}

// standing is one pool's supply and need, in instances.
type standing struct {
	name  acaciatally.PoolName
	have  int // serving or on their way into the pool
	soon  int // needed within the lead
	kept  int // needed within the payback; loans beyond it may leave
	home  int // needed within the longer payback of the pool's own instances
	slots float64
}

// Plan returns the moves to begin now, each of which was tried on the draft.
func (p *Planner) Plan(input Input) (actions []approval.Action) {
	r := &round{Planner: p, Input: input, spare: input.Draft.State().SparePool()}
	if r.spare == "" {
		return nil
	}
	r.survey()
	r.fill()
	r.pass()
	r.release()
	return r.actions
}

func (r *round) survey() {
	state := r.Draft.State()
	incoming := map[acaciatally.PoolName]int{}
	for name := range state.Pools {
		members := state.Listed(name)
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
		pool := &standing{name: name, have: state.Available(name) + incoming[name], slots: slotsOf(state.Listed(name))}
		pool.soon = r.need(pool, r.config.LeadTime)
		pool.kept = max(pool.soon, r.need(pool, max(r.payback(), r.config.LeadTime)))
		pool.home = max(pool.kept, r.need(pool, min(r.config.MaxPayback, nativePaybacks*r.payback())))
		if r.Forecaster.Forecast(name, r.Now, r.Now).ShortHistory {
			pool.home = max(pool.home, pool.have) // loans may still go home
		}
		r.pools = append(r.pools, pool)
	}
}

func slotsOf(members []fleet.Instance) float64 {
	total := 0
	for i := range members {
		total += members[i].Slots
	}
	if total == 0 {
		return 8
	}
	return float64(total) / float64(len(members))
}

// need returns the instances that the pool needs within a span; the wish of a wave counts beside the demand.
func (r *round) need(pool *standing, span time.Duration) int {
	forecast := r.Forecaster.Forecast(pool.name, r.Now, r.Now.Add(span))
	demand := int(math.Ceil(forecast.Slots * (1 + r.config.Margin) / pool.slots))
	return max(1, demand, r.Draft.State().Pools[pool.name].MinAvailable, r.RequiredInstances[pool.name])
}

// fill closes the gaps of the pools, the relatively largest gap first.
func (r *round) fill() {
	for {
		pool := r.neediest()
		if pool == nil || !r.bring(pool) {
			return
		}
	}
}

func (r *round) neediest() (neediest *standing) {
	worst := 0.0
	for _, pool := range r.pools {
		if gap := float64(pool.soon-pool.have) / float64(pool.soon); gap > worst {
			neediest, worst = pool, gap
		}
	}
	return neediest
}

// bring moves one instance into the pool: an idle loan of another pool, which saves its way home, else one of the spare pool, else
// an idle instance of another pool.
func (r *round) bring(pool *standing) bool {
	candidates := r.candidates(pool)
	for _, candidate := range candidates {
		if r.order(candidate.instance, pool.name) {
			pool.have++
			if candidate.from != nil {
				candidate.from.have--
			}
			return true
		}
	}
	pool.soon = pool.have // nothing can be done for this pool in this round
	return r.neediest() != nil
}

// pass hands idle loans to the pools that will lack them later: their move costs the same now and nothing is idle meanwhile, and the
// few that a budget lets go at once are on their way before the burst.
func (r *round) pass() {
	for _, pool := range r.pools {
		if pool.have >= pool.kept {
			continue
		}
		for _, candidate := range r.candidates(pool) {
			if pool.have >= pool.kept {
				break
			}
			if candidate.rank == 0 && r.order(candidate.instance, pool.name) {
				pool.have++
				candidate.from.have--
			}
		}
	}
}

type candidate struct {
	instance fleet.Instance
	from     *standing // nil for the spare pool
	rank     int
}

func (r *round) candidates(pool *standing) (candidates []candidate) {
	state := r.Draft.State()
	for _, instance := range state.Listed(r.spare) {
		candidates = append(candidates, candidate{instance: instance, rank: spareRank(instance, pool.name, r.spare)})
	}
	for _, from := range r.pools {
		idle := from.have - from.kept
		if from == pool || idle <= 0 {
			continue
		}
		for _, instance := range state.Listed(from.name) {
			rank := 4
			if instance.Home != from.name {
				rank = 0
			} else if from.have <= from.home {
				continue
			}
			candidates = append(candidates, candidate{instance: instance, from: from, rank: rank})
		}
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.instance.Phase != fleet.Serving || r.Draft.Planned(c.instance) || r.reverses(c.instance, pool.name)
	})
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		// An instance that was maintained lately need not be drained again in the pool that borrows it.
		return cmp.Or(cmp.Compare(a.rank, b.rank), b.instance.Maintained.Compare(a.instance.Maintained), a.instance.MovedAt.Compare(b.instance.MovedAt))
	})
	return candidates
}

// spareRank prefers instances that return to their own pool, then those of the spare pool, then others' parked instances.
func spareRank(instance fleet.Instance, pool, spare acaciatally.PoolName) int {
	switch instance.Home {
	case pool:
		return 1
	case spare:
		return 2
	}
	return 3
}

// reverses reports whether a move would undo the instance's last move before the hold time has passed.
func (r *round) reverses(instance fleet.Instance, to acaciatally.PoolName) bool {
	return instance.MovedFrom == to && r.Now.Sub(instance.MovedAt) < r.config.HoldTime
}

// release sends instances that are idle longer than a move there and back is worth home or to the spare pool, but keeps as many as
// other pools will lack meanwhile, since they can go there directly.
func (r *round) release() {
	lacking := 0
	for _, pool := range r.pools {
		lacking += max(0, pool.kept-pool.have)
	}
	for _, pool := range r.pools {
		for _, instance := range r.idle(pool) {
			if pool.have <= pool.kept || native(instance) == 1 && pool.have <= pool.home {
				break
			}
			if lacking > 0 {
				lacking--
				pool.kept++
				continue
			}
			if r.order(instance, r.spare) {
				pool.have--
			}
		}
	}
}

// idle returns the serving instances of a pool that may leave it: its loans, or its own instances when it has no loans.
func (r *round) idle(pool *standing) (idle []fleet.Instance) {
	if pool.have <= pool.kept {
		return nil
	}
	members := r.Draft.State().Listed(pool.name)
	loans := slices.ContainsFunc(members, func(member fleet.Instance) bool { return native(member) == 0 })
	for _, instance := range members {
		if loans && native(instance) == 1 {
			continue
		}
		if instance.Phase == fleet.Serving && !r.reverses(instance, r.spare) && !r.Draft.Planned(instance) {
			idle = append(idle, instance)
		}
	}
	return idle
}

func native(instance fleet.Instance) int {
	if instance.Home == instance.Pool {
		return 1
	}
	return 0
}

// order plans a move that budgets allow.
func (r *round) order(instance fleet.Instance, to acaciatally.PoolName) bool {
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

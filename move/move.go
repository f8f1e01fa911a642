package move

import (
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

// planRun is the computation of one plan.
type planRun struct {
	*Planner
	Input
	spare   acaciatally.PoolName
	pools   []*poolState
	actions []approval.Action
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
			if candidate.rank == rankBorrowed && r.planMove(candidate.instance, pool.name) {
				pool.supply++
				candidate.from.supply--
			}
		}
	}
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

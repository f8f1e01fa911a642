package experiment

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/settings"
)

const (
	slotsPerWorker = 8
	burstFactor    = 5.0
	quietFactor    = 0.05
	// burstDemand is the demand in a burst as a multiple of what the pool holds; the spare pool of 8 just covers the largest
	// pool's half of 6.
	burstDemand = 1.5
	loadNoise   = 0.05
	warmUp      = 20 * time.Minute // in which the rhythm is learned; not measured
	measured    = time.Hour
	// startLimit is the longest wait of urgent work; work that waits longer is lost.
	startLimit = 1700 * time.Millisecond
	// moveCost is the instance time that a move is worth at equal weights.
	moveCost = 10 * time.Second
)

// traceConfig is one rhythm of the load.
type traceConfig struct {
	name   string
	period time.Duration
	drift  float64
}

var traces = []traceConfig{
	{"60s", time.Minute, 0},
	{"150s", 150 * time.Second, 0},
	{"60sDrifting", time.Minute, 0.001},
}

// tally is what one policy cost on one trace.
type tally struct {
	reserve  float64 // instance-seconds of serving pools beyond the need
	moves    int
	offered  float64 // slot-seconds
	lost     float64
	above    float64 // instance-seconds beyond the need and the least size that the budget demands
	backlogs map[acaciatally.PoolName]float64
}

// policy decides on moves; held are the instances of each serving pool, able those that take new work.
type policy interface {
	// step runs one control interval under the demand.
	step(ctx context.Context, demand []acaciatally.PoolDemand) error
	// counts returns the instances that a pool holds and those that take new work.
	counts(pool acaciatally.PoolName) (held, able int)
	// moved returns the number of moves so far.
	moved() int
}

func loadOf(deployment *settings.Settings, trace traceConfig, seed uint64) *model.Load {
	config := model.LoadConfig{Period: trace.period, Burst: burstFactor, Quiet: quietFactor, Drift: trace.drift, Noise: loadNoise, Seed: seed}
	for _, pool := range deployment.Pools {
		if !pool.Spare {
			config.Pools = append(config.Pools, pool.Name)
			config.Mean = append(config.Mean, burstDemand/burstFactor*slotsPerWorker*float64(len(pool.Instances)))
		}
	}
	return model.NewLoad(config)
}

// measure runs a policy on a trace; work queues until the limit and is lost beyond it.
func measure(ctx context.Context, p policy, deployment *settings.Settings, load *model.Load, clock *model.Clock) (t tally, err error) {
	least := map[acaciatally.PoolName]int{}
	for _, pool := range deployment.Pools {
		least[pool.Name] = pool.MinAvailable
	}
	t.backlogs = map[acaciatally.PoolName]float64{}
	begin := clock.Now()
	movesBefore := 0
	for clock.Now().Sub(begin) < warmUp+measured {
		clock.Advance(controlInterval)
		demand := load.At(clock.Now())
		warm := clock.Now().Sub(begin) >= warmUp
		if !warm {
			movesBefore = p.moved()
		}
		for i, one := range demand {
			held, able := p.counts(one.Pool)
			t.serve(one, held, able, least[one.Pool], warm)
			demand[i].Slots += t.backlogs[one.Pool]
		}
		if err = p.step(ctx, demand); err != nil {
			return t, err
		}
	}
	t.moves = p.moved() - movesBefore
	return t, nil
}

func (t *tally) serve(demand acaciatally.PoolDemand, held, able, least int, count bool) {
	capacity := float64(able * slotsPerWorker)
	waiting := t.backlogs[demand.Pool] + demand.Slots
	backlog := max(0, waiting-capacity)
	lost := max(0, backlog-capacity*startLimit.Seconds())
	t.backlogs[demand.Pool] = backlog - lost
	if !count {
		return
	}
	need := math.Ceil(min(waiting, capacity) / slotsPerWorker)
	t.reserve += max(0, float64(held)-need) * controlInterval.Seconds()
	t.above += max(0, float64(held)-max(need, float64(least))) * controlInterval.Seconds()
	t.offered += demand.Slots
	t.lost += lost
}

// system is the real control pipeline as a policy.
type system struct {
	*controlled
	version uint64
	count   int
}

func (s *system) step(ctx context.Context, demand []acaciatally.PoolDemand) error {
	s.machines.SetDemand(demand)
	_, err := s.controller.Round(ctx)
	records, _ := s.log.Tail(s.version)
	for _, record := range records {
		for _, change := range record.Changes {
			if change.MoveInstance != nil {
				s.count++
			}
		}
	}
	s.version = s.log.State().Version
	return err
}

func (s *system) counts(pool acaciatally.PoolName) (held, able int) {
	for _, instance := range s.log.State().Members(pool) {
		held++
		if instance.Phase == fleet.Serving {
			able++
		}
	}
	return held, able
}

func (s *system) moved() int { return s.count }

// fixedReserve gives each pool its share of the spare pool for good.
type fixedReserve struct {
	pools map[acaciatally.PoolName]int
}

func newFixedReserve(deployment *settings.Settings) *fixedReserve {
	f := &fixedReserve{pools: map[acaciatally.PoolName]int{}}
	spare := 0
	for _, pool := range deployment.Pools {
		if pool.Spare {
			spare = len(pool.Instances)
		}
	}
	for _, pool := range deployment.Pools {
		if !pool.Spare {
			f.pools[pool.Name] = len(pool.Instances) + spare/(len(deployment.Pools)-1)
		}
	}
	return f
}

func (f *fixedReserve) step(context.Context, []acaciatally.PoolDemand) error { return nil }

func (f *fixedReserve) counts(pool acaciatally.PoolName) (held, able int) {
	return f.pools[pool], f.pools[pool]
}

func (f *fixedReserve) moved() int { return 0 }

// reactive borrows from the spare pool when the demand exceeds the capacity and returns loans that were idle for a cooldown.
type reactive struct {
	clock    *model.Clock
	machines *model.Machines
	native   map[acaciatally.PoolName]int
	loans    map[acaciatally.PoolName]int
	needs    map[acaciatally.PoolName][]int // of the last cooldown
	arriving []arrival
	spare    int
	count    int
}

type arrival struct {
	at   time.Time
	pool acaciatally.PoolName // empty for the spare pool
}

func newReactive(deployment *settings.Settings, clock *model.Clock, seed uint64) *reactive {
	r := &reactive{
		clock: clock, machines: machinesOf(clock, seed), native: map[acaciatally.PoolName]int{},
		loans: map[acaciatally.PoolName]int{}, needs: map[acaciatally.PoolName][]int{},
	}
	for _, pool := range deployment.Pools {
		if pool.Spare {
			r.spare = len(pool.Instances)
			continue
		}
		r.native[pool.Name] = len(pool.Instances)
	}
	return r
}

func (r *reactive) step(_ context.Context, demand []acaciatally.PoolDemand) error {
	now := r.clock.Now()
	r.arrive(now)
	for _, one := range demand {
		coming := 0
		for _, arrival := range r.arriving {
			if arrival.pool == one.Pool {
				coming++
			}
		}
		needs := append([]int{int(math.Ceil(one.Slots / slotsPerWorker))}, r.needs[one.Pool]...)
		needs = needs[:min(len(needs), reactiveCooldown)]
		r.needs[one.Pool] = needs
		have := r.native[one.Pool] + r.loans[one.Pool] + coming
		for ; needs[0] > have && r.spare > 0; have++ {
			r.spare--
			r.send(now, one.Pool)
		}
		for ; have > slices.Max(needs) && r.loans[one.Pool] > 0; have-- {
			r.loans[one.Pool]--
			r.send(now, "")
		}
	}
	return nil
}

// reactiveCooldown is the number of control intervals over which the largest need counts before a loan returns.
const reactiveCooldown = 10

func (r *reactive) send(now time.Time, pool acaciatally.PoolName) {
	r.count++
	r.arriving = append(r.arriving, arrival{at: now.Add(r.machines.DrainTime()), pool: pool})
}

func (r *reactive) arrive(now time.Time) {
	var later []arrival
	for _, arrival := range r.arriving {
		switch {
		case now.Before(arrival.at):
			later = append(later, arrival)
		case arrival.pool == "":
			r.spare++
		default:
			r.loans[arrival.pool]++
		}
	}
	r.arriving = later
}

func (r *reactive) counts(pool acaciatally.PoolName) (held, able int) {
	able = r.native[pool] + r.loans[pool]
	return able, able
}

func (r *reactive) moved() int { return r.count }

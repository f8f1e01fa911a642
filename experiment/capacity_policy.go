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
	offPeakFactor  = 0.05
	// burstDemand is the demand in a burst as a multiple of the pool's capacity. The excess is at most 6 instances, half of the largest
	// pool, which the 8 instances of the spare pool cover.
	burstDemand  = 1.5
	loadNoise    = 0.05
	warmUp       = 20 * time.Minute // in which the forecaster learns the period; not measured
	measuredTime = time.Hour
	// maxStartWait is the longest time that urgent work waits for a slot; work that would wait longer is lost.
	maxStartWait = 1700 * time.Millisecond
	// moveCost is the instance time that costs as much as one move at equal weights.
	moveCost = 10 * time.Second
)

// loadPattern is a periodic load; periodGrowth is the growth of the period as a share of the elapsed time.
type loadPattern struct {
	name         string
	period       time.Duration
	periodGrowth float64
}

var loadPatterns = []loadPattern{
	{"60s", time.Minute, 0},
	{"150s", 150 * time.Second, 0},
	{"60sDrifting", time.Minute, 0.001},
}

// policyResult is the cost and the lost work of one policy under one load pattern.
type policyResult struct {
	reserve      float64 // instance-seconds of serving pools beyond the needed instances
	moves        int
	offered      float64 // slot-seconds
	lost         float64
	aboveMinimum float64 // instance-seconds beyond the larger of the needed instances and MinAvailable
	backlogs     map[acaciatally.PoolName]float64
}

// capacityPolicy decides which instances move between pools.
type capacityPolicy interface {
	// step runs one control interval with the given demand.
	step(ctx context.Context, demand []acaciatally.PoolDemand) error
	// counts returns the number of instances in a pool and how many of them accept new work.
	counts(pool acaciatally.PoolName) (held, available int)
	// moveCount returns the number of moves so far.
	moveCount() int
}

func newLoad(deployment *settings.Settings, pattern loadPattern, seed uint64) *model.Load {
	config := model.LoadConfig{Period: pattern.period, Burst: burstFactor, OffPeakFactor: offPeakFactor, PeriodGrowth: pattern.periodGrowth, Noise: loadNoise, Seed: seed}
	for _, pool := range deployment.Pools {
		if !pool.Spare {
			config.Pools = append(config.Pools, pool.Name)
			config.Mean = append(config.Mean, burstDemand/burstFactor*slotsPerWorker*float64(len(pool.Instances)))
		}
	}
	return model.NewLoad(config)
}

// measureCapacity runs a policy under a load. Work queues for up to maxStartWait and is lost beyond that.
func measureCapacity(
	ctx context.Context, p capacityPolicy, deployment *settings.Settings, load *model.Load, clock *model.ManualClock,
) (result policyResult, err error) {
	minAvailable := map[acaciatally.PoolName]int{}
	for _, pool := range deployment.Pools {
		minAvailable[pool.Name] = pool.MinAvailable
	}
	result.backlogs = map[acaciatally.PoolName]float64{}
	start := clock.Now()
	warmUpMoves := 0
	for clock.Now().Sub(start) < warmUp+measuredTime {
		clock.Advance(controlInterval)
		demand := load.At(clock.Now())
		measuring := clock.Now().Sub(start) >= warmUp
		if !measuring {
			warmUpMoves = p.moveCount()
		}
		for _, poolDemand := range demand {
			held, available := p.counts(poolDemand.Pool)
			result.addInterval(poolDemand, held, available, minAvailable[poolDemand.Pool], measuring)
		}
		if err = p.step(ctx, demand); err != nil {
			return result, err
		}
	}
	result.moves = p.moveCount() - warmUpMoves
	return result, nil
}

func (r *policyResult) addInterval(demand acaciatally.PoolDemand, held, available, minAvailable int, record bool) {
	capacity := float64(available * slotsPerWorker)
	waiting := r.backlogs[demand.Pool] + demand.Slots
	backlog := max(0, waiting-capacity)
	lost := max(0, backlog-capacity*maxStartWait.Seconds())
	r.backlogs[demand.Pool] = backlog - lost
	if !record {
		return
	}
	needed := math.Ceil(min(waiting, capacity) / slotsPerWorker)
	r.reserve += max(0, float64(held)-needed) * controlInterval.Seconds()
	r.aboveMinimum += max(0, float64(held)-max(needed, float64(minAvailable))) * controlInterval.Seconds()
	r.offered += demand.Slots
	r.lost += lost
}

// controlPolicy runs the production control pipeline as a policy.
type controlPolicy struct {
	*controlledFleet
	version uint64
	moves   int
}

func (p *controlPolicy) step(ctx context.Context, demand []acaciatally.PoolDemand) error {
	p.machines.SetDemand(demand)
	_, err := p.controller.Round(ctx)
	records, _ := p.log.RecordsSince(p.version)
	for _, record := range records {
		for _, change := range record.Changes {
			if change.MoveInstance != nil {
				p.moves++
			}
		}
	}
	p.version = p.log.State().Version
	return err
}

func (p *controlPolicy) counts(pool acaciatally.PoolName) (held, available int) {
	for _, instance := range p.log.State().Members(pool) {
		held++
		if instance.Phase == fleet.Serving {
			available++
		}
	}
	return held, available
}

func (p *controlPolicy) moveCount() int { return p.moves }

// fixedReserve permanently assigns an equal part of the spare pool to each serving pool.
type fixedReserve struct {
	sizes map[acaciatally.PoolName]int
}

func newFixedReserve(deployment *settings.Settings) *fixedReserve {
	f := &fixedReserve{sizes: map[acaciatally.PoolName]int{}}
	spare := 0
	for _, pool := range deployment.Pools {
		if pool.Spare {
			spare = len(pool.Instances)
		}
	}
	for _, pool := range deployment.Pools {
		if !pool.Spare {
			f.sizes[pool.Name] = len(pool.Instances) + spare/(len(deployment.Pools)-1)
		}
	}
	return f
}

func (f *fixedReserve) step(context.Context, []acaciatally.PoolDemand) error { return nil }

func (f *fixedReserve) counts(pool acaciatally.PoolName) (held, available int) {
	return f.sizes[pool], f.sizes[pool]
}

func (f *fixedReserve) moveCount() int { return 0 }

// reactive borrows instances from the spare pool when the demand exceeds a pool's capacity and returns those that were not needed for
// reactiveCooldown.
type reactive struct {
	clock     *model.ManualClock
	machines  *model.Machines
	owned     map[acaciatally.PoolName]int
	borrowed  map[acaciatally.PoolName]int
	needs     map[acaciatally.PoolName][]int // instances needed in each of the last reactiveCooldown intervals, latest first
	transfers []transfer
	spare     int
	moves     int
}

type transfer struct {
	completesAt time.Time
	pool        acaciatally.PoolName // the destination; empty for the spare pool
}

func newReactive(deployment *settings.Settings, clock *model.ManualClock, seed uint64) *reactive {
	r := &reactive{
		clock: clock, machines: newMachines(clock, seed), owned: map[acaciatally.PoolName]int{},
		borrowed: map[acaciatally.PoolName]int{}, needs: map[acaciatally.PoolName][]int{},
	}
	for _, pool := range deployment.Pools {
		if pool.Spare {
			r.spare = len(pool.Instances)
			continue
		}
		r.owned[pool.Name] = len(pool.Instances)
	}
	return r
}

func (r *reactive) step(_ context.Context, demand []acaciatally.PoolDemand) error {
	now := r.clock.Now()
	r.completeTransfers(now)
	for _, poolDemand := range demand {
		inTransfer := 0
		for _, moving := range r.transfers {
			if moving.pool == poolDemand.Pool {
				inTransfer++
			}
		}
		needs := append([]int{int(math.Ceil(poolDemand.Slots / slotsPerWorker))}, r.needs[poolDemand.Pool]...)
		needs = needs[:min(len(needs), reactiveCooldown)]
		r.needs[poolDemand.Pool] = needs
		expected := r.owned[poolDemand.Pool] + r.borrowed[poolDemand.Pool] + inTransfer
		for ; needs[0] > expected && r.spare > 0; expected++ {
			r.spare--
			r.startTransfer(now, poolDemand.Pool)
		}
		for ; expected > slices.Max(needs) && r.borrowed[poolDemand.Pool] > 0; expected-- {
			r.borrowed[poolDemand.Pool]--
			r.startTransfer(now, "")
		}
	}
	return nil
}

// reactiveCooldown is the number of control intervals whose largest need must be covered before a borrowed instance is returned.
const reactiveCooldown = 10

func (r *reactive) startTransfer(now time.Time, pool acaciatally.PoolName) {
	r.moves++
	r.transfers = append(r.transfers, transfer{completesAt: now.Add(r.machines.DrainTime()), pool: pool})
}

func (r *reactive) completeTransfers(now time.Time) {
	var pending []transfer
	for _, moving := range r.transfers {
		switch {
		case now.Before(moving.completesAt):
			pending = append(pending, moving)
		case moving.pool == "":
			r.spare++
		default:
			r.borrowed[moving.pool]++
		}
	}
	r.transfers = pending
}

func (r *reactive) counts(pool acaciatally.PoolName) (held, available int) {
	available = r.owned[pool] + r.borrowed[pool]
	return available, available
}

func (r *reactive) moveCount() int { return r.moves }

package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ordering"
)

// Instance is the planner input for an instance.
type Instance struct {
	ID          acaciatally.InstanceID
	Pool        acaciatally.PoolName
	Up          bool          // it serves its pool and no order for it is in progress
	Runs        int           // running tasks
	LongRunning int           // long-running ones of the running tasks
	Reserved    bool          // it is being drained for another operation
	Idle        time.Duration // time since its last task ended
	Unhealthy   bool          // its worker gets no new tasks
}

// Pool is the planner input for a pool; the demand and PerInstance are in thousandths of a core.
type Pool struct {
	Name        acaciatally.PoolName
	Standby     bool
	Used        int // by running tasks, but those of late jobs
	Waiting     int // for tasks that are ready to run and whose jobs can be in time
	Late        int // for running and ready tasks of jobs that can't be in time
	LongRunning int // for long-running tasks, which are also part of Used or Waiting
	Expected    int // forecast for about the duration of a move
	MinWorkers  int // instances required by limits on the tasks per worker
	Incoming    int // instances being moved or returned to the pool
	PerInstance int // capacity of one instance
}

// Config is the configuration of the planner, which balances the cost of instances against the cost of moves.
type Config struct {
	MinInstances   int           // instances that a pool keeps even without demand
	Headroom       float64       // free capacity as a share of the demand
	SpareInstances int           // instances above the target that are not moved to standby
	StandbyAfter   time.Duration // idle time after which an instance may be moved to standby
	MaxMoves       int           // moves started by one plan
	Tolerance      float64       // part of its share that a pool may lack while the fleet can't meet all demand, so that shares may vary
}

// Defaults returns the configuration for moves that take about two seconds and cost about as much as an instance costs per second.
func Defaults() Config {
	return Config{MinInstances: 2, Headroom: 0.15, SpareInstances: 1, StandbyAfter: 1200 * time.Millisecond, MaxMoves: 12, Tolerance: 0.15}
}

// Move is a planned move of an instance, which has to be drained first.
type Move struct {
	Instance acaciatally.InstanceID
	From, To acaciatally.PoolName
}

// balance compares the instances that a pool has with those that it needs.
type balance struct {
	pool     *Pool
	have     int
	required int // instances required by the present and expected demand, within the pool's share of the fleet
	target   int // required instances, but at least Config.MinInstances
	minimum  int // instances below which the pool is short
}

// isShort reports whether the pool has fewer instances than its demand requires.
func (b *balance) isShort() bool { return !b.pool.Standby && b.have < b.minimum }

// canGive reports whether an instance may be moved out of the pool; urgent is true if its new pool is short. The last instance stays.
func (b *balance) canGive(urgent bool) bool {
	return b.pool.Standby || b.have > b.target || (urgent && b.have > max(1, b.required))
}

// Plan returns the moves to start now.
func Plan(config Config, pools []Pool, instances []Instance) (moves []Move) {
	balances := config.balances(pools, instances)
	short := shortages(balances)
	donors := config.donors(balances, instances, short)
	for len(donors) > 0 && len(short) > 0 && len(moves) < config.MaxMoves {
		donor := donors[0]
		donors = donors[1:]
		from, to := balances[donor.Pool], short[0]
		if from == to || !from.canGive(to.isShort()) {
			continue
		}
		moves = append(moves, Move{donor.ID, donor.Pool, to.pool.Name})
		from.have--
		to.have++
		if to.have >= to.target {
			short = short[1:]
		}
	}
	if len(short) > 0 {
		return moves
	}
	return append(moves, config.toStandby(balances, donors)...)
}

// balances compares what each pool has with its share of the fleet.
func (c Config) balances(pools []Pool, instances []Instance) map[acaciatally.PoolName]*balance {
	balances := map[acaciatally.PoolName]*balance{}
	total := 0
	for i := range pools {
		balances[pools[i].Name] = &balance{pool: &pools[i], have: pools[i].Incoming}
		total += pools[i].Incoming
	}
	for _, instance := range instances {
		if b := balances[instance.Pool]; b != nil && instance.Up && !instance.Reserved && !instance.Unhealthy {
			b.have++
			total++
		}
	}
	shares := c.divide(pools, total)
	sum := 0
	for _, share := range shares {
		sum += share.required
	}
	for i, share := range shares {
		b := balances[pools[i].Name]
		b.required, b.minimum, b.target = share.required, share.required, c.targetOf(&pools[i], share)
		if sum >= total { // the fleet does not meet all demand
			b.minimum = max(share.floor, int(math.Ceil((1-c.Tolerance)*float64(share.required))))
		}
	}
	return balances
}

// targetOf returns the number of instances that a pool should have, including the minimum that it keeps.
func (c Config) targetOf(p *Pool, share share) int {
	if p.Standby || p.PerInstance == 0 {
		return 0
	}
	return max(c.MinInstances, share.required)
}

// shortages returns the pools below their target, those that are short first, then by the missing share.
func shortages(balances map[acaciatally.PoolName]*balance) (short []*balance) {
	for _, b := range balances {
		if !b.pool.Standby && b.have < b.target {
			short = append(short, b)
		}
	}
	slices.SortFunc(short, func(a, b *balance) int {
		return cmp.Or(ordering.CompareBools(b.isShort(), a.isShort()), cmp.Compare(a.have*b.target, b.have*a.target), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return short
}

// donors returns the instances that may leave their pools, in order of preference: on standby, then idle, then with the fewest tasks.
func (c Config) donors(balances map[acaciatally.PoolName]*balance, instances []Instance, short []*balance) (donors []Instance) {
	anyShortage := len(short) > 0
	urgent := anyShortage && short[0].isShort()
	for _, instance := range instances {
		b := balances[instance.Pool]
		if b == nil || !instance.Up || instance.Reserved || instance.LongRunning > 0 || instance.Unhealthy {
			continue
		}
		if b.canGive(urgent) && (instance.Runs == 0 || anyShortage) {
			donors = append(donors, instance)
		}
	}
	slices.SortFunc(donors, func(a, b Instance) int {
		return cmp.Or(
			ordering.CompareBools(balances[b.Pool].pool.Standby, balances[a.Pool].pool.Standby),
			cmp.Compare(a.Runs, b.Runs), cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.ID, b.ID),
		)
	})
	return donors
}

// toStandby returns moves of idle instances that no pool needs to the standby pool.
func (c Config) toStandby(balances map[acaciatally.PoolName]*balance, donors []Instance) (moves []Move) {
	standby := standbyPool(balances)
	if standby == "" {
		return nil
	}
	for _, donor := range donors {
		b := balances[donor.Pool]
		if b.pool.Standby || donor.Runs > 0 || donor.Idle < c.StandbyAfter || b.have <= b.target+c.SpareInstances || len(moves) >= c.MaxMoves {
			continue
		}
		b.have--
		moves = append(moves, Move{donor.ID, donor.Pool, standby})
	}
	return moves
}

func standbyPool(balances map[acaciatally.PoolName]*balance) (name acaciatally.PoolName) {
	for _, b := range balances {
		if b.pool.Standby && (name == "" || b.pool.Name < name) {
			name = b.pool.Name
		}
	}
	return name
}

// Spares returns how many of the instances that are up each pool has above its target, negative if it has fewer; all instances of a
// standby pool are spare.
func (c Config) Spares(pools []Pool, up map[acaciatally.PoolName]int) map[acaciatally.PoolName]int {
	total := 0
	for _, count := range up {
		total += count
	}
	spares := map[acaciatally.PoolName]int{}
	for i, share := range c.divide(pools, total) {
		spares[pools[i].Name] = up[pools[i].Name] - c.targetOf(&pools[i], share)
	}
	return spares
}

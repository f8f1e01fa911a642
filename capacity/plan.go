package capacity

import (
	"cmp"
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
	Kept        bool          // it may leave its pool only while it runs no tasks
}

// Pool is the planner input for a pool.
type Pool struct {
	Name        acaciatally.PoolName
	Standby     bool
	Used        acaciatally.ResourceVector // by running tasks, but those of overdue jobs
	Waiting     acaciatally.ResourceVector // for tasks that are ready to run, but those of overdue jobs
	Overdue     acaciatally.ResourceVector // for running and ready tasks whose result comes too late to be of use, or beyond the rate or share of an account
	LongRunning acaciatally.ResourceVector // for long-running tasks, which are also part of Used or Waiting
	Expected    acaciatally.ResourceVector // forecast for about the duration of a move
	MinWorkers  int                        // instances required by limits on the tasks per worker
	Unplaced    int                        // tasks that are ready to run and have no worker
	Incoming    int                        // instances being moved or returned to the pool
	PerInstance acaciatally.ResourceVector // capacity of one instance
}

// maxDrainingPart is the part of a pool's instances, as a divisor, that may be drained for moves at the same time while tasks of the pool wait: an
// instance gets no tasks until its last one has ended, so what is free on it is of no use to them.
const maxDrainingPart = 4

// Config is the configuration of the planner, which balances the cost of instances against the cost of moves.
type Config struct {
	MinInstances   int           // instances that a pool keeps even without demand
	Headroom       float64       // free capacity as a share of the demand
	SpareInstances int           // instances above the target that are not moved to standby
	StandbyAfter   time.Duration // idle time after which an instance may be moved to standby
	MaxMoves       int           // moves started by one plan
}

// Defaults returns the configuration for moves that take about two seconds and cost about as much as an instance costs per second.
func Defaults() Config {
	return Config{MinInstances: 2, Headroom: 0.15, SpareInstances: 1, StandbyAfter: 1200 * time.Millisecond, MaxMoves: 12}
}

// Move is a planned move of an instance, which has to be drained first.
type Move struct {
	Instance acaciatally.InstanceID
	From, To acaciatally.PoolName
}

// balance compares the instances that a pool has with those that it needs.
type balance struct {
	pool   *Pool
	have   int
	share  share
	target int // required instances, but at least Config.MinInstances
	// draining is how many instances run tasks and are being drained; they are not part of have.
	draining int
}

// need is how much a pool needs more instances.
type need int

const (
	noNeed   need = iota
	reserve       // it has fewer than it keeps without demand
	short         // it has fewer than its demand requires
	starving      // it has fewer than its floor
)

// need returns how much the pool needs more instances.
func (b *balance) need() need {
	switch {
	case b.pool.Standby || b.have >= b.target:
		return noNeed
	case b.have < b.share.floor:
		return starving
	case b.have < b.share.required:
		return short
	}
	return reserve
}

// canGive reports whether an instance may be moved to a pool with the need. The last instance stays.
func (b *balance) canGive(n need) bool {
	switch {
	case b.pool.Standby || b.have > b.target:
		return true
	case n == starving:
		return b.have > max(b.share.floor, b.share.fair)
	case n == short:
		return b.have > max(1, b.share.required)
	}
	return false
}

// mayDrain reports whether one more instance that runs tasks may be drained for a pool with the need.
func (b *balance) mayDrain(n need) bool {
	return b.pool.Unplaced == 0 || n == starving || b.draining < max(1, (b.have-b.pool.Incoming+b.draining)/maxDrainingPart)
}

// Plan returns the moves to start now.
func Plan(config Config, pools []Pool, instances []Instance) (moves []Move) {
	balances := config.balances(pools, instances)
	needy := shortages(balances)
	donors := config.donors(balances, instances, needy)
	for len(donors) > 0 && len(needy) > 0 && len(moves) < config.MaxMoves {
		donor := donors[0]
		donors = donors[1:]
		from, to := balances[donor.Pool], needy[0]
		busy := donor.Runs > 0
		if from == to || !from.canGive(to.need()) || busy && !from.mayDrain(to.need()) {
			continue
		}
		if busy {
			from.draining++
		}
		moves = append(moves, Move{donor.ID, donor.Pool, to.pool.Name})
		from.have--
		to.have++
		needy = shortages(balances)
	}
	if len(needy) > 0 {
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
		b := balances[instance.Pool]
		switch {
		case b == nil || !instance.Up || instance.Unhealthy:
		case !instance.Reserved:
			b.have++
			total++
		case instance.Runs > 0:
			b.draining++
		}
	}
	shares := c.divide(pools, total)
	for i, share := range shares {
		b := balances[pools[i].Name]
		b.share, b.target = share, c.targetOf(&pools[i], share)
	}
	return balances
}

// targetOf returns the number of instances that a pool should have, including the minimum that it keeps.
func (c Config) targetOf(p *Pool, share share) int {
	if p.Standby || p.PerInstance.IsZero() {
		return 0
	}
	return max(c.MinInstances, share.required)
}

// shortages returns the pools below their target, by need and then by the missing share.
func shortages(balances map[acaciatally.PoolName]*balance) (list []*balance) {
	for _, b := range balances {
		if b.need() > noNeed {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *balance) int {
		return cmp.Or(cmp.Compare(b.need(), a.need()), cmp.Compare(a.have*b.target, b.have*a.target), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return list
}

// donors returns the instances that may leave their pools, in order of preference: on standby, then idle, then with the fewest tasks.
func (c Config) donors(balances map[acaciatally.PoolName]*balance, instances []Instance, needy []*balance) (donors []Instance) {
	worst := noNeed
	if len(needy) > 0 {
		worst = needy[0].need()
	}
	for _, instance := range instances {
		b := balances[instance.Pool]
		if b == nil || !instance.Up || instance.Reserved || instance.LongRunning > 0 || instance.Unhealthy || instance.Kept && instance.Runs > 0 {
			continue
		}
		if b.canGive(worst) && (instance.Runs == 0 || worst > noNeed) {
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

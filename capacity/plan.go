package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ordering"
)

// Instance is an instance as the planner sees it.
type Instance struct {
	ID        acaciatally.InstanceID
	Pool      acaciatally.PoolName
	Up        bool // it serves its pool, and no order on it is in progress
	Runs      int
	Lasting   int           // of the runs, those that last
	Reserved  bool          // it is being emptied for another purpose
	Idle      time.Duration // since its last run ended
	Unhealthy bool
}

// Pool is the demand on a pool, in thousandths of a core.
type Pool struct {
	Name     acaciatally.PoolName
	Standby  bool
	Used     int // by runs
	Waiting  int // by tasks that could run now
	Expected int // in about the time that a move takes
	Spread   int // instances over which tasks have to be spread
	Incoming int // instances on their way to the pool
	PerUnit  int // capacity of one instance
}

// Config weighs the cost of instances against the cost of moves.
type Config struct {
	Least       int           // instances that a pool keeps
	Headroom    float64       // share of the demand that is kept free
	Spare       int           // instances above the need before one is given back
	GiveBack    time.Duration // how long an instance is idle before it is given back
	LargestStep int           // moves begun at once
}

// Defaults returns the weights for instances that move in about two seconds and cost about as much in a second as a move.
func Defaults() Config {
	return Config{Least: 2, Headroom: 0.15, Spare: 1, GiveBack: 1200 * time.Millisecond, LargestStep: 12}
}

// Move is an instance that is to be emptied and then moved.
type Move struct {
	Instance acaciatally.InstanceID
	From, To acaciatally.PoolName
}

// balance is how many instances a pool has and needs.
type balance struct {
	pool *Pool
	have int
	must int // for the work that is there
	need int // with what the pool keeps for work to come
}

// lacks reports whether work that is there waits for instances.
func (b *balance) lacks() bool { return !b.pool.Standby && b.have < b.must }

// gives reports whether the pool may give an instance, to one that lacks some or only for work to come.
func (b *balance) gives(lacking bool) bool {
	return b.pool.Standby || b.have > b.need || (lacking && b.have > b.must)
}

// Plan returns the moves to begin now.
func Plan(config Config, pools []Pool, instances []Instance) (moves []Move) {
	balances := map[acaciatally.PoolName]*balance{}
	for i := range pools {
		p := &pools[i]
		balances[p.Name] = &balance{pool: p, have: p.Incoming, must: config.must(p), need: config.need(p)}
	}
	for _, instance := range instances {
		if b := balances[instance.Pool]; b != nil && instance.Up && !instance.Reserved && !instance.Unhealthy {
			b.have++
		}
	}
	short := shortages(balances)
	donors := config.donors(balances, instances, short)
	for len(donors) > 0 && len(short) > 0 && len(moves) < config.LargestStep {
		donor := donors[0]
		donors = donors[1:]
		from, to := balances[donor.Pool], short[0]
		if from == to || !from.gives(to.lacks()) {
			continue
		}
		moves = append(moves, Move{donor.ID, donor.Pool, to.pool.Name})
		from.have--
		to.have++
		if to.have >= to.need {
			short = short[1:]
		}
	}
	if len(short) > 0 {
		return moves
	}
	return append(moves, config.giveBack(balances, donors)...)
}

// need returns the instances that a pool needs, with those that it keeps.
func (c Config) need(p *Pool) int {
	if p.Standby || p.PerUnit == 0 {
		return 0
	}
	return max(c.Least, c.must(p))
}

// must returns the instances that the pool's present and expected work needs; the last one is not taken from a pool.
func (c Config) must(p *Pool) int {
	if p.Standby || p.PerUnit == 0 {
		return 0
	}
	demand := float64(max(p.Used+p.Waiting, p.Expected)) * (1 + c.Headroom)
	return max(1, p.Spread, int(math.Ceil(demand/float64(p.PerUnit))))
}

// shortages returns the pools with too few instances, the one that lacks the largest share first.
func shortages(balances map[acaciatally.PoolName]*balance) (short []*balance) {
	for _, b := range balances {
		if !b.pool.Standby && b.have < b.need {
			short = append(short, b)
		}
	}
	slices.SortFunc(short, func(a, b *balance) int {
		return cmp.Or(ordering.Bools(b.lacks(), a.lacks()), cmp.Compare(a.have*b.need, b.have*a.need), cmp.Compare(a.pool.Name, b.pool.Name))
	})
	return short
}

// donors returns the instances that may leave their pools: on standby first, then idle ones, then the least busy.
func (c Config) donors(balances map[acaciatally.PoolName]*balance, instances []Instance, short []*balance) (donors []Instance) {
	needed := len(short) > 0
	lacking := needed && short[0].lacks()
	for _, instance := range instances {
		b := balances[instance.Pool]
		if b == nil || !instance.Up || instance.Reserved || instance.Lasting > 0 || instance.Unhealthy {
			continue
		}
		if b.gives(lacking) && (instance.Runs == 0 || needed) {
			donors = append(donors, instance)
		}
	}
	slices.SortFunc(donors, func(a, b Instance) int {
		return cmp.Or(
			ordering.Bools(balances[b.Pool].pool.Standby, balances[a.Pool].pool.Standby),
			cmp.Compare(a.Runs, b.Runs), cmp.Compare(b.Idle, a.Idle), cmp.Compare(a.ID, b.ID),
		)
	})
	return donors
}

// giveBack moves idle instances that no pool needs to standby.
func (c Config) giveBack(balances map[acaciatally.PoolName]*balance, donors []Instance) (moves []Move) {
	standby := standbyPool(balances)
	if standby == "" {
		return nil
	}
	for _, donor := range donors {
		b := balances[donor.Pool]
		if b.pool.Standby || donor.Runs > 0 || donor.Idle < c.GiveBack || b.have <= b.need+c.Spare || len(moves) >= c.LargestStep {
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

// Spares returns how many of the instances that are up each pool has above its need; all of a standby pool are spare.
func (c Config) Spares(pools []Pool, up map[acaciatally.PoolName]int) map[acaciatally.PoolName]int {
	spares := map[acaciatally.PoolName]int{}
	for i := range pools {
		spares[pools[i].Name] = up[pools[i].Name] - c.need(&pools[i])
	}
	return spares
}

package sharing

import (
	"math"

	"github.com/acaciatally/acaciatally"
)

const (
	numResources = 3
	// precision is the relative error of the level at which a resource is used up; it is far below one task.
	precision = 1e-7
	// minLevel is a level too low to matter, at which the search ends where nothing is free.
	minLevel = 1e-12
)

// Party is an account, or the jobs without an account, that needs a part of the capacity that is divided.
type Party struct {
	Weight float64                    // greater than 0
	Held   acaciatally.ResourceVector // what it uses besides the capacity that is divided; it counts towards its share
	Demand acaciatally.ResourceVector // what it uses of that capacity and what more it could use
}

type amounts [numResources]float64

func amountsOf(v acaciatally.ResourceVector) amounts {
	return amounts{float64(v.Processors), float64(v.Memory), float64(v.Accelerators)}
}

// DominantShare returns the largest of the shares of the fleet's resources that an amount takes. Resources that the fleet does not have
// are left out.
func DominantShare(used, fleet acaciatally.ResourceVector) float64 {
	return dominantShare(amountsOf(used), amountsOf(fleet))
}

func dominantShare(used, fleet amounts) (share float64) {
	for r := range fleet {
		if fleet[r] > 0 {
			share = max(share, used[r]/fleet[r])
		}
	}
	return share
}

// Divide divides a capacity, which is a part of the fleet, between parties by weighted max-min fairness of their dominant shares of the
// fleet, and appends the share to which each party is entitled to entitled. The shares rise together, in proportion to the weights, until a
// resource is used up; those that demand it stop there, and the others go on. A party that is not held back by any resource is entitled to
// an infinite share, and so are all of them if the demand fits. A party without demand is entitled to as much as those that stop first.
func Divide(fleet, capacity acaciatally.ResourceVector, parties []Party, entitled []float64) []float64 {
	d := division{fleet: amountsOf(fleet), free: amountsOf(capacity)}
	first := len(entitled)
	for range parties {
		entitled = append(entitled, math.Inf(1))
	}
	d.parties, d.entitled = parties, entitled[first:]
	d.run()
	return entitled
}

// division is the state of one call of Divide. A party is active while its entitlement is infinite.
type division struct {
	fleet    amounts
	free     amounts // capacity left by parties that have stopped
	parties  []Party
	entitled []float64
}

func (d *division) run() {
	lowest, from := math.Inf(1), 0.0
	for range numResources {
		top := d.topLevel()
		short := d.shortAt(top)
		if short == (saturated{}) {
			break
		}
		low, high := from, top
		for high-low > precision*high+minLevel {
			middle := (low + high) / 2
			if found := d.shortAt(middle); found == (saturated{}) {
				low = middle
			} else {
				high, short = middle, found
			}
		}
		d.stop(short, low)
		lowest, from = min(lowest, low), low
	}
	for i := range d.parties {
		if d.parties[i].Demand.IsZero() {
			d.entitled[i] = d.parties[i].Weight * lowest
		}
	}
}

// saturated tells which resources are used up.
type saturated [numResources]bool

// topLevel returns the level at which the demand of all active parties is met.
func (d *division) topLevel() (level float64) {
	for i := range d.parties {
		if p := &d.parties[i]; d.active(i) {
			level = max(level, dominantShare(amountsOf(p.Held.Plus(p.Demand)), d.fleet)/p.Weight)
		}
	}
	return level
}

func (d *division) active(i int) bool { return math.IsInf(d.entitled[i], 1) }

// shortAt returns the resources of which the active parties would take more than is free at a level of dominant share by weight.
func (d *division) shortAt(level float64) (short saturated) {
	var taken amounts
	for i := range d.parties {
		if d.active(i) {
			d.take(i, level, &taken)
		}
	}
	for r := range taken {
		short[r] = taken[r] > 0 && taken[r] > d.free[r]
	}
	return short
}

// take adds what a party takes at a level to taken.
func (d *division) take(i int, level float64, taken *amounts) {
	p := &d.parties[i]
	demand := amountsOf(p.Demand)
	part := p.servedPart(d.fleet, p.Weight*level)
	for r := range taken {
		taken[r] += part * demand[r]
	}
}

// ServedPart returns the part of its demand, between 0 and 1, that the party gets of a fleet with an entitlement.
func (p *Party) ServedPart(fleet acaciatally.ResourceVector, entitled float64) float64 {
	return p.servedPart(amountsOf(fleet), entitled)
}

func (p *Party) servedPart(fleet amounts, entitled float64) (part float64) {
	if math.IsInf(entitled, 1) {
		return 1
	}
	part = 1
	demand, held := amountsOf(p.Demand), amountsOf(p.Held)
	for r := range demand {
		if demand[r] > 0 && fleet[r] > 0 {
			part = min(part, (entitled*fleet[r]-held[r])/demand[r])
		}
	}
	return max(0, part)
}

// stop ends the rise of the parties that demand a saturated resource, at the level.
func (d *division) stop(short saturated, level float64) {
	var taken amounts
	for i := range d.parties {
		demand := amountsOf(d.parties[i].Demand)
		needs := false
		for r := range demand {
			needs = needs || short[r] && demand[r] > 0
		}
		if needs && d.active(i) {
			d.take(i, level, &taken)
			d.entitled[i] = d.parties[i].Weight * level
		}
	}
	for r := range taken {
		d.free[r] = max(0, d.free[r]-taken[r])
	}
}

package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ordering"
)

// Phase is how far the maintenance of an instance is.
type Phase int

// The phases of an instance in a wave.
const (
	Pending  Phase = iota
	Emptying       // it gets no new runs
	Down           // ordered down, and not back yet
	Finished
	Missing // it is no longer part of the fleet
)

// Instance is an instance of a wave as the planner sees it.
type Instance struct {
	ID       acaciatally.InstanceID
	Pool     acaciatally.PoolName
	Phase    Phase
	Up       bool // it can be ordered
	Standby  bool
	Runs     int
	Lasting  int
	Reserved bool // it is being emptied for another purpose
	Spare    bool // its pool has more instances than it needs
}

// Wave is a wave as the planner sees it.
type Wave struct {
	Number    int
	AtOnce    int
	Left      time.Duration // until it is to be done
	Instances []Instance
}

// Config is the time that one instance takes.
type Config struct {
	Each time.Duration // from the decision until the instance is back
}

// pressure is a factor on the time that the rest of a wave takes, so that it is done before its end.
const pressure = 1.3

// Done reports whether nothing of the wave is left to be begun.
func (w Wave) Done() bool {
	for _, instance := range w.Instances {
		if instance.Phase == Pending || instance.Phase == Emptying {
			return false
		}
	}
	return true
}

// Next returns the instances to empty now: idle ones that their pools can spare at any time, some of each pool that run lasting work, since
// that leaves slowly, and others when time gets short.
func (c Config) Next(wave Wave) (chosen []acaciatally.InstanceID) {
	busy, pending := 0, []Instance{}
	lasting := map[acaciatally.PoolName]int{} // instances that are being emptied of lasting work
	waiting := map[acaciatally.PoolName]int{} // instances with lasting work that are to follow
	for _, instance := range wave.Instances {
		switch instance.Phase {
		case Emptying, Down:
			busy++
			if instance.Lasting > 0 {
				lasting[instance.Pool]++
			}
		case Pending:
			if instance.Up && !instance.Reserved {
				pending = append(pending, instance)
			}
			if instance.Lasting > 0 {
				waiting[instance.Pool]++
			}
		}
	}
	slices.SortFunc(pending, compare)
	pace := c.pace(wave, len(pending))
	for _, instance := range pending {
		if busy >= wave.AtOnce {
			return chosen
		}
		first := instance.Lasting > 0 && lasting[instance.Pool] < max(1, c.pace(wave, waiting[instance.Pool]))
		needed := !instance.Standby && (!instance.Spare || instance.Runs > 0)
		if needed && !first && busy >= pace {
			continue
		}
		if instance.Lasting > 0 {
			lasting[instance.Pool]++
		}
		busy++
		chosen = append(chosen, instance.ID)
	}
	return chosen
}

// pace returns how many instances have to be away at once for the wave to be in time.
func (c Config) pace(wave Wave, pending int) int {
	if wave.Left <= c.Each {
		return wave.AtOnce
	}
	load := pressure * float64(pending) * float64(c.Each) / float64(wave.Left-c.Each)
	return int(math.Round(load))
}

// compare puts first what costs the least to take down.
func compare(a, b Instance) int {
	return cmp.Or(
		ordering.Bools(b.Standby, a.Standby), cmp.Compare(a.Lasting, b.Lasting), ordering.Bools(b.Spare, a.Spare),
		cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID),
	)
}

package maintenance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/ordering"
)

// Phase is the phase of an instance in a wave.
type Phase int

// The phases of an instance in a wave.
const (
	Pending  Phase = iota
	Draining       // it gets no new tasks
	Down           // its maintenance was ordered, and it is not up again
	Finished
	Missing // it is no longer in the fleet
)

// Instance is the planner input for an instance of a wave.
type Instance struct {
	ID          acaciatally.InstanceID
	Pool        acaciatally.PoolName
	Phase       Phase
	Up          bool // it is in service, so that its maintenance can be ordered
	Standby     bool
	Runs        int  // running tasks
	LongRunning int  // long-running ones of the running tasks
	Reserved    bool // it is being drained for another operation
	Spare       bool // its pool has more instances than its target
}

// Wave is the planner input for a maintenance wave.
type Wave struct {
	Number    int
	MaxDown   int           // limit on the instances that are draining or down
	Remaining time.Duration // time until the deadline of the wave
	Instances []Instance
}

// Config is the configuration of the planner.
type Config struct {
	PerInstance time.Duration // expected time from the start of the drain until the instance is up again
}

// safetyFactor scales the expected time for the rest of a wave, so that it finishes before its deadline.
const safetyFactor = 1.3

// Done reports whether the maintenance of all instances was ordered or finished, or the instances are missing.
func (w Wave) Done() bool {
	for _, instance := range w.Instances {
		if instance.Phase == Pending || instance.Phase == Draining {
			return false
		}
	}
	return true
}

// Next returns the instances to drain now; nil if there are none. Instances on standby, and idle ones in pools above their target, are
// drained at any time. Instances with long-running tasks drain slowly, so some of each pool are drained early: as many at a time as the
// deadline requires, but at least one. The others are drained when the deadline requires it.
func (c Config) Next(wave Wave) (chosen []acaciatally.InstanceID) {
	outOfService, pending := 0, []Instance{}
	drainingLongRunning := map[acaciatally.PoolName]int{} // draining instances with long-running tasks
	waitingLongRunning := map[acaciatally.PoolName]int{}  // pending instances with long-running tasks
	for _, instance := range wave.Instances {
		switch instance.Phase {
		case Draining, Down:
			outOfService++
			if instance.LongRunning > 0 {
				drainingLongRunning[instance.Pool]++
			}
		case Pending:
			if instance.Up && !instance.Reserved {
				pending = append(pending, instance)
			}
			if instance.LongRunning > 0 {
				waitingLongRunning[instance.Pool]++
			}
		}
	}
	slices.SortFunc(pending, byDisruption)
	required := c.requiredParallel(wave, len(pending))
	for _, instance := range pending {
		if outOfService >= wave.MaxDown {
			return chosen
		}
		early := instance.LongRunning > 0 && drainingLongRunning[instance.Pool] < max(1, c.requiredParallel(wave, waitingLongRunning[instance.Pool]))
		disruptive := !instance.Standby && (!instance.Spare || instance.Runs > 0)
		if disruptive && !early && outOfService >= required {
			continue
		}
		if instance.LongRunning > 0 {
			drainingLongRunning[instance.Pool]++
		}
		outOfService++
		chosen = append(chosen, instance.ID)
	}
	return chosen
}

// requiredParallel returns how many instances have to be out of service at a time for the wave to meet its deadline.
func (c Config) requiredParallel(wave Wave, pending int) int {
	if wave.Remaining <= c.PerInstance {
		return wave.MaxDown
	}
	load := safetyFactor * float64(pending) * float64(c.PerInstance) / float64(wave.Remaining-c.PerInstance)
	return int(math.Round(load))
}

// byDisruption orders instances by the disruption that their maintenance causes, the least first.
func byDisruption(a, b Instance) int {
	return cmp.Or(
		ordering.CompareBools(b.Standby, a.Standby), cmp.Compare(a.LongRunning, b.LongRunning), ordering.CompareBools(b.Spare, a.Spare),
		cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID),
	)
}

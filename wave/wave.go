package wave

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
)

// Config tunes the planner; zero values are replaced by the defaults.
type Config struct {
	FailureLimit  int           // failures in one pool, rack or data centre that hold all waves, default 2
	FailureWindow time.Duration // time window in which failures are counted, default 60 s
	QuietPeriod   time.Duration // time without a failure after which a wave resumes, default 120 s
	// MaintainInSparePool maintains instances of the pools with the most rounds left in the spare pool, which shortens a wave at the cost
	// of moves.
	MaintainInSparePool bool
}

func (c *Config) setDefaults() {
	if c.FailureLimit == 0 {
		c.FailureLimit = 2
	}
	if c.FailureWindow == 0 {
		c.FailureWindow = time.Minute
	}
	if c.QuietPeriod == 0 {
		c.QuietPeriod = 2 * time.Minute
	}
}

// Planner plans the next steps of all maintenance waves; it keeps no state between plans.
type Planner struct {
	config Config
}

// New returns a planner.
func New(config Config) *Planner {
	config.setDefaults()
	return &Planner{config: config}
}

// Plan returns the steps that may start now; drains and moves have been applied to the draft.
func (p *Planner) Plan(now time.Time, draft *fleet.Draft) (actions []approval.Action) {
	state := draft.State()
	reason, held := p.Held(now, state)
	for _, id := range slices.Sorted(maps.Keys(state.Waves)) {
		wave := state.Waves[id]
		if wave.State != fleet.WaveRunning && wave.State != fleet.WaveHeld {
			continue
		}
		if action, found := p.stateChange(now, state, wave, reason, held); found {
			actions = append(actions, action)
			continue
		}
		if !held {
			actions = append(actions, p.planSparePoolMoves(draft, wave)...)
			actions = append(actions, p.planDrains(now, draft, wave)...)
		}
	}
	return actions
}

// stateChange returns the change of the wave's own state when it completes, is held or resumes.
func (p *Planner) stateChange(now time.Time, state *fleet.State, wave fleet.Wave, reason string, held bool) (action approval.Action, found bool) {
	next := wave
	switch {
	case finished(state, wave):
		next.State, next.Ended, next.Reason = fleet.WaveDone, now.UTC(), "every instance is maintained"
	case held && wave.State == fleet.WaveRunning:
		next.State, next.Reason = fleet.WaveHeld, reason
	case !held && wave.State == fleet.WaveHeld:
		next.State, next.Reason = fleet.WaveRunning, fmt.Sprintf("calm for %s", p.config.QuietPeriod)
	default:
		return action, false
	}
	return approval.Action{
		Step:    "Wave" + string(next.State),
		Subject: fleet.ExpectedVersion{Kind: fleet.SubjectWave, Name: wave.ID, Version: wave.Version},
		Changes: []fleet.Change{{PutWave: &next}},
		Reason:  next.Reason,
	}, true
}

func finished(state *fleet.State, wave fleet.Wave) bool {
	for _, pool := range state.PoolNames() {
		members := state.SharedMembers(pool)
		for i := range members {
			if members[i].Wave == wave.ID || needsMaintenance(&members[i], wave) {
				return false
			}
		}
	}
	return true
}

// needsMaintenance reports whether the wave still has to maintain the instance. What counts is the instance's home pool, wherever it serves
// at the moment.
func needsMaintenance(instance *fleet.Instance, wave fleet.Wave) bool {
	inWave := len(wave.Pools) == 0 || slices.Contains(wave.Pools, instance.Home)
	return inWave && instance.Maintained.Before(wave.Started)
}

// planDrains drains the next targets of each pool as far as its availability budget and the failure domains allow.
func (p *Planner) planDrains(now time.Time, draft *fleet.Draft, wave fleet.Wave) (actions []approval.Action) {
	state := draft.State()
	for _, pool := range state.PoolNames() {
		free := state.DisruptionsAllowed(pool)
		if free <= 0 || hasFailedInstance(state, pool) {
			continue
		}
		for _, instance := range sortedTargets(state, wave, pool) {
			drain := fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: fleet.Draining, Cause: fleet.CauseWave, Wave: wave.ID, Reboot: true}}
			if free == 0 || draft.Planned(instance) || draft.Try(drain) != nil {
				continue
			}
			free--
			action := approval.NewInstanceAction("WaveDrain", instance, "wave "+wave.ID, drain)
			action.Check = func(state *fleet.State) error { return p.checkAtCommit(now, state, wave.ID, pool) }
			actions = append(actions, action)
		}
	}
	return actions
}

// hasFailedInstance reports whether an instance of the pool has failed and is not yet repaired; until then the pool gets no further
// drains.
func hasFailedInstance(state *fleet.State, pool acaciatally.PoolName) bool {
	members := state.SharedMembers(pool)
	for i := range members {
		if members[i].Phase == fleet.Failed || members[i].Phase == fleet.Quarantined {
			return true
		}
	}
	return false
}

// checkAtCommit checks the rules again when a drain is committed, since a failure or a stop may have occurred after it was planned.
func (p *Planner) checkAtCommit(now time.Time, state *fleet.State, id string, pool acaciatally.PoolName) error {
	if reason, held := p.Held(now, state); held {
		return fmt.Errorf("wave %s is held: %s", id, reason)
	}
	if state.Waves[id].State != fleet.WaveRunning {
		return fmt.Errorf("wave %s is %s", id, state.Waves[id].State)
	}
	if hasFailedInstance(state, pool) {
		return fmt.Errorf("pool %s has a failed instance", pool)
	}
	return nil
}

// sortedTargets returns the serving targets of a pool, first those of the data centre and the rack with the most targets left. Only one
// instance of a failure domain may be out at a time, so a domain left over until the end would prolong the wave.
func sortedTargets(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (targets []fleet.Instance) {
	dataCentres, racks := map[acaciatally.DataCentre]int{}, map[acaciatally.Rack]int{}
	members := state.SharedMembers(pool)
	for i := range members {
		if members[i].Phase == fleet.Serving && needsMaintenance(&members[i], wave) {
			targets = append(targets, members[i])
			dataCentres[members[i].DataCentre]++
			racks[members[i].Rack]++
		}
	}
	slices.SortStableFunc(targets, func(a, b fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(borrowedRank(a), borrowedRank(b)),
			cmp.Compare(dataCentres[b.DataCentre], dataCentres[a.DataCentre]),
			cmp.Compare(racks[b.Rack], racks[a.Rack]),
			cmp.Compare(a.ID, b.ID))
	})
	return targets
}

// borrowedRank is 1 for a borrowed instance, which is maintained last, since it may return to its own pool before then.
func borrowedRank(instance fleet.Instance) int {
	if instance.Pool != instance.Home {
		return 1
	}
	return 0
}

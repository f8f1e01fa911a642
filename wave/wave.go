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
	FailureLimit  int           // failures in one pool, rack or data centre that stop a wave, default 2
	FailureWindow time.Duration // span in which they are counted, default 60 s
	QuietPeriod   time.Duration // time without a failure after which a wave resumes, default 120 s
	// Relay moves instances of the longest pools into the spare pool for their maintenance, at the cost of moves.
	Relay bool
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

// Planner plans the next steps of all waves.
type Planner struct {
	config Config
}

// New returns a planner.
func New(config Config) *Planner {
	config.setDefaults()
	return &Planner{config: config}
}

// Plan returns the steps that may begin now and tries each of them on the draft.
func (p *Planner) Plan(now time.Time, draft *fleet.Draft) (actions []approval.Action) {
	state := draft.State()
	reason, held := p.Held(now, state)
	for _, id := range slices.Sorted(maps.Keys(state.Waves)) {
		wave := state.Waves[id]
		if wave.State != fleet.WaveRunning && wave.State != fleet.WaveHeld {
			continue
		}
		if action, found := p.turn(now, state, wave, reason, held); found {
			actions = append(actions, action)
			continue
		}
		if !held {
			actions = append(actions, p.relay(draft, wave)...)
			actions = append(actions, p.begin(now, draft, wave)...)
		}
	}
	return actions
}

// turn returns the change of the wave's own state when it ends, is held or resumes.
func (p *Planner) turn(now time.Time, state *fleet.State, wave fleet.Wave, reason string, held bool) (action approval.Action, found bool) {
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
		Subject: fleet.Seen{Kind: fleet.SubjectWave, Name: wave.ID, Version: wave.Version},
		Changes: []fleet.Change{{PutWave: &next}},
		Reason:  next.Reason,
	}, true
}

func finished(state *fleet.State, wave fleet.Wave) bool {
	for _, pool := range state.PoolNames() {
		members := state.Listed(pool)
		for i := range members {
			if members[i].Wave == wave.ID || target(&members[i], wave) {
				return false
			}
		}
	}
	return true
}

// target reports whether the wave still has to maintain the instance, wherever it serves at the moment.
func target(instance *fleet.Instance, wave fleet.Wave) bool {
	inWave := len(wave.Pools) == 0 || slices.Contains(wave.Pools, instance.Home)
	return inWave && instance.Maintained.Before(wave.Started)
}

// begin drains the next instances of each pool until a budget or a failure domain refuses.
func (p *Planner) begin(now time.Time, draft *fleet.Draft, wave fleet.Wave) (actions []approval.Action) {
	state := draft.State()
	for _, pool := range state.PoolNames() {
		room := state.Room(pool)
		if room <= 0 || broken(state, pool) {
			continue
		}
		for _, instance := range order(state, wave, pool) {
			drain := fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: fleet.Draining, Cause: fleet.CauseWave, Wave: wave.ID, Reboot: true}}
			if room == 0 || draft.Planned(instance) || draft.Try(drain) != nil {
				continue
			}
			room--
			action := approval.NewInstanceAction("WaveDrain", instance, "wave "+wave.ID, drain)
			action.Check = func(state *fleet.State) error { return p.permits(now, state, wave.ID, pool) }
			actions = append(actions, action)
		}
	}
	return actions
}

// broken reports whether an instance of the pool has failed and is not yet repaired, which holds the next approval.
func broken(state *fleet.State, pool acaciatally.PoolName) bool {
	members := state.Listed(pool)
	for i := range members {
		if members[i].Phase == fleet.Failed || members[i].Phase == fleet.Quarantined {
			return true
		}
	}
	return false
}

// permits asks the rules again at commit, when a failure or a stop may have come in since the plan.
func (p *Planner) permits(now time.Time, state *fleet.State, id string, pool acaciatally.PoolName) error {
	if reason, held := p.Held(now, state); held {
		return fmt.Errorf("wave %s is held: %s", id, reason)
	}
	if state.Waves[id].State != fleet.WaveRunning {
		return fmt.Errorf("wave %s is %s", id, state.Waves[id].State)
	}
	if broken(state, pool) {
		return fmt.Errorf("pool %s has a failed instance", pool)
	}
	return nil
}

// order returns the serving targets of a pool: first those of the data centre and the rack with the most targets left, so that no
// domain is left over at the end, since only one instance of a domain may be out at a time.
func order(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (targets []fleet.Instance) {
	centres, racks := map[acaciatally.DataCentre]int{}, map[acaciatally.Rack]int{}
	members := state.Listed(pool)
	for i := range members {
		if members[i].Phase == fleet.Serving && target(&members[i], wave) {
			targets = append(targets, members[i])
			centres[members[i].DataCentre]++
			racks[members[i].Rack]++
		}
	}
	slices.SortStableFunc(targets, func(a, b fleet.Instance) int {
		return cmp.Or(
			cmp.Compare(away(a), away(b)),
			cmp.Compare(centres[b.DataCentre], centres[a.DataCentre]),
			cmp.Compare(racks[b.Rack], racks[a.Rack]),
			cmp.Compare(a.ID, b.ID))
	})
	return targets
}

// away is 1 for a borrowed instance: it is maintained last, since it may go home before its turn.
func away(instance fleet.Instance) int {
	if instance.Pool != instance.Home {
		return 1
	}
	return 0
}

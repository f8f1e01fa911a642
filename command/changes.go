package command

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/spelling"
)

// resolver looks up the names used in a statement in one version of the control state.
type resolver struct {
	state     *fleet.State
	statement string
}

func (r resolver) unknownName(kind string, name Name, known []string) error {
	return &SyntaxError{
		Text: r.statement, Offset: name.Pos.Offset, Message: fmt.Sprintf("no %s %q", kind, name.Value),
		Nearest: spelling.Nearest(name.Value, known),
	}
}

func (r resolver) instance(name Name) (instance fleet.Instance, err error) {
	instance, found := r.state.Instances[acaciatally.InstanceID(name.Value)]
	if !found {
		return instance, r.unknownName("instance", name, instanceNames(r.state))
	}
	return instance, nil
}

func (r resolver) pool(name Name) (pool fleet.Pool, err error) {
	pool, found := r.state.Pools[acaciatally.PoolName(name.Value)]
	if !found {
		return pool, r.unknownName("pool", name, poolNames(r.state))
	}
	return pool, nil
}

func (r resolver) wave(name Name) (wave fleet.Wave, err error) {
	wave, found := r.state.Waves[name.Value]
	if !found {
		return wave, r.unknownName("wave", name, slices.Sorted(maps.Keys(r.state.Waves)))
	}
	return wave, nil
}

func instanceNames(state *fleet.State) (names []string) {
	for id := range state.Instances {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return names
}

func poolNames(state *fleet.State) (names []string) {
	for name := range state.Pools {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}

func teamNames(state *fleet.State) (names []string) {
	for name := range state.Teams {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}

func (e *Evaluator) buildChanges(statement *Statement, state *fleet.State, text string) ([]fleet.Change, error) {
	names := resolver{state: state, statement: text}
	switch {
	case statement.Move != nil:
		return moveChanges(names, statement.Move)
	case statement.SetPhase != nil:
		return phaseChanges(names, statement.SetPhase)
	case statement.Set != nil:
		return setChanges(names, statement.Set)
	case statement.CreatePool != nil:
		return createChanges(names, statement.CreatePool)
	case statement.AddInstance != nil:
		return addChanges(names, statement.AddInstance)
	case statement.Remove != nil:
		return removeChanges(names, statement.Remove)
	case statement.Wave != nil:
		return e.waveChanges(names, statement.Wave)
	}
	return nil, &SyntaxError{Text: text, Message: "statement changes nothing"}
}

// moveChanges drains the instances with the new pool as the target; the control path completes the move once every entry has acknowledged
// the drain.
func moveChanges(names resolver, move *Move) (changes []fleet.Change, err error) {
	pool, err := names.pool(move.To)
	if err != nil {
		return nil, err
	}
	for _, name := range move.Instances {
		instance, err := names.instance(name)
		if err != nil {
			return nil, err
		}
		if instance.Pool == pool.Name {
			return nil, &fleet.InvalidChangeError{Subject: "instance " + name.Value, Reason: "is in pool " + string(pool.Name) + " already"}
		}
		changes = append(changes, fleet.Change{SetPhase: &fleet.SetPhase{
			ID: instance.ID, Phase: fleet.Draining, Cause: fleet.CauseMove, Target: pool.Name,
		}})
	}
	return changes, nil
}

var phaseByVerb = map[string]fleet.SetPhase{
	"drain":      {Phase: fleet.Draining, Cause: fleet.CauseOperator},
	"undrain":    {Phase: fleet.Serving},
	"reboot":     {Phase: fleet.Draining, Cause: fleet.CauseOperator, Reboot: true},
	"quarantine": {Phase: fleet.Quarantined, Cause: fleet.CauseFailure},
}

func phaseChanges(names resolver, phase *SetPhase) (changes []fleet.Change, err error) {
	for _, name := range phase.Instances {
		instance, err := names.instance(name)
		if err != nil {
			return nil, err
		}
		set := phaseByVerb[strings.ToLower(phase.Verb)]
		set.ID = instance.ID
		changes = append(changes, fleet.Change{SetPhase: &set})
	}
	return changes, nil
}

func setChanges(names resolver, set *Set) (changes []fleet.Change, err error) {
	switch {
	case set.Quota != nil:
		return []fleet.Change{{PutTeam: &fleet.Team{Name: acaciatally.TeamName(set.Quota.Team.Value), Quota: set.Quota.Slots}}}, nil
	case set.Budget != nil:
		pool, err := names.pool(set.Budget.Pool)
		if err != nil {
			return nil, err
		}
		pool.MaxUnavailable, pool.MinAvailable = set.Budget.MaxUnavailable, set.Budget.MinAvailable
		return []fleet.Change{{PutPool: &pool}}, nil
	}
	return optionChanges(names, set.Option)
}

func optionChanges(names resolver, set *SetOption) (changes []fleet.Change, err error) {
	option := fleet.SetOption{Name: set.Option.Value}
	if set.Value != nil {
		option.Value = set.Value.Value
	}
	known := fleet.OptionNames()
	if !slices.Contains(known, option.Name) {
		return nil, names.unknownName("option", set.Option, known)
	}
	if err = fleet.CheckOption(option); err != nil {
		return nil, err
	}
	return []fleet.Change{{SetOption: &option}}, nil
}

func createChanges(names resolver, create *CreatePool) (changes []fleet.Change, err error) {
	name := acaciatally.PoolName(create.Pool.Value)
	if _, found := names.state.Pools[name]; found {
		return nil, &fleet.InvalidChangeError{Subject: "pool " + string(name), Reason: "already exists"}
	}
	return []fleet.Change{{PutPool: &fleet.Pool{
		Name: name, MaxUnavailable: create.MaxUnavailable, MinAvailable: create.MinAvailable,
	}}}, nil
}

func addChanges(names resolver, add *AddInstance) (changes []fleet.Change, err error) {
	pool, err := names.pool(add.Pool)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(add.Address.Value)
	if err != nil {
		return nil, &SyntaxError{Text: names.statement, Offset: add.Address.Pos.Offset, Message: "want an address such as 10.0.0.1:80"}
	}
	return []fleet.Change{{AddInstance: &fleet.Instance{
		ID: acaciatally.InstanceID(add.Instance.Value), Pool: pool.Name, Address: address, Slots: 8, Connections: 64,
		DataCentre: acaciatally.DataCentre(add.DataCentre.Value), Rack: acaciatally.Rack(add.Rack.Value),
	}}}, nil
}

func removeChanges(names resolver, remove *Remove) (changes []fleet.Change, err error) {
	switch strings.ToLower(remove.Kind.Value) {
	case "pool":
		pool, err := names.pool(remove.Name)
		return []fleet.Change{{RemovePool: &fleet.RemovePool{Name: pool.Name}}}, err
	case "instance":
		instance, err := names.instance(remove.Name)
		return []fleet.Change{{RemoveInstance: &fleet.RemoveInstance{ID: instance.ID}}}, err
	case "team":
		name := acaciatally.TeamName(remove.Name.Value)
		if _, found := names.state.Teams[name]; !found {
			return nil, names.unknownName("team", remove.Name, teamNames(names.state))
		}
		return []fleet.Change{{RemoveTeam: &fleet.RemoveTeam{Name: name}}}, nil
	}
	return nil, &SyntaxError{
		Text: names.statement, Offset: remove.Kind.Pos.Offset, Message: fmt.Sprintf("cannot remove %q", remove.Kind.Value),
		Nearest: spelling.Nearest(remove.Kind.Value, []string{"pool", "instance", "team"}),
	}
}

func (e *Evaluator) waveChanges(names resolver, statement *Wave) (changes []fleet.Change, err error) {
	if strings.EqualFold(statement.Verb, "start") {
		return e.startWave(names, statement)
	}
	wave, err := names.wave(statement.ID)
	if err != nil {
		return nil, err
	}
	if wave.State == fleet.WaveDone || wave.State == fleet.WaveStopped {
		return nil, &fleet.InvalidChangeError{Subject: "wave " + wave.ID, Reason: "has ended"}
	}
	wave.State, wave.Reason = fleet.WaveRunning, "resumed by operator"
	if strings.EqualFold(statement.Verb, "stop") {
		wave.State, wave.Reason, wave.Ended = fleet.WaveStopped, "stopped by operator", e.config.Clock.Now()
	}
	return []fleet.Change{{PutWave: &wave}}, nil
}

func (e *Evaluator) startWave(names resolver, statement *Wave) (changes []fleet.Change, err error) {
	if _, found := names.state.Waves[statement.ID.Value]; found {
		return nil, &fleet.InvalidChangeError{Subject: "wave " + statement.ID.Value, Reason: "already exists"}
	}
	wave := fleet.Wave{ID: statement.ID.Value, State: fleet.WaveRunning, Started: e.config.Clock.Now()}
	for _, name := range statement.Pools {
		pool, err := names.pool(name)
		if err != nil {
			return nil, err
		}
		wave.Pools = append(wave.Pools, pool.Name)
	}
	if len(wave.Pools) == 0 {
		for _, name := range poolNames(names.state) {
			wave.Pools = append(wave.Pools, acaciatally.PoolName(name))
		}
	}
	return []fleet.Change{{PutWave: &wave}}, nil
}

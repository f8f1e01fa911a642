package fleet

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
)

// Change is a single change of the state; exactly one field is set.
type Change struct {
	PutPool        *Pool           `json:",omitempty"`
	RemovePool     *RemovePool     `json:",omitempty"`
	PutTeam        *Team           `json:",omitempty"`
	RemoveTeam     *RemoveTeam     `json:",omitempty"`
	AddInstance    *Instance       `json:",omitempty"`
	RemoveInstance *RemoveInstance `json:",omitempty"`
	MoveInstance   *MoveInstance   `json:",omitempty"`
	SetPhase       *SetPhase       `json:",omitempty"`
	PutWave        *Wave           `json:",omitempty"`
	SetOption      *SetOption      `json:",omitempty"`
}

// RemovePool deletes an empty pool.
type RemovePool struct{ Name acaciatally.PoolName }

// RemoveTeam deletes a team.
type RemoveTeam struct{ Name acaciatally.TeamName }

// RemoveInstance deletes an instance that is not serving.
type RemoveInstance struct{ ID acaciatally.InstanceID }

// MoveInstance moves a drained instance to another pool, where its phase is Serving.
type MoveInstance struct {
	ID       acaciatally.InstanceID
	From, To acaciatally.PoolName
	Borrow   bool `json:",omitempty"` // keeps Home of the instance; otherwise To becomes its Home
}

// SetPhase changes the phase of an instance; an empty cause keeps the current one.
type SetPhase struct {
	ID     acaciatally.InstanceID
	Phase  Phase
	Cause  Cause                `json:",omitempty"`
	Wave   string               `json:",omitempty"` // empty keeps the current one
	Target acaciatally.PoolName `json:",omitempty"` // target pool if the cause is Move
	Borrow bool                 `json:",omitempty"`
	Reboot bool                 `json:",omitempty"` // a drain by an operator is followed by a reboot
	// Maintained marks the end of the maintenance of the instance.
	Maintained bool `json:",omitempty"`
}

// SetOption changes an option; an empty value restores the value in the settings.
type SetOption struct{ Name, Value string }

// Record is a record of the ordered log.
type Record struct {
	Version   uint64
	CommandID string
	By        string
	At        time.Time
	Reason    string
	Changes   []Change
}

// InvalidChangeError reports why a change is invalid for the state.
type InvalidChangeError struct {
	Subject string
	Reason  string
}

// Error returns the subject and the reason.
func (e *InvalidChangeError) Error() string {
	return e.Subject + ": " + e.Reason
}

func invalid(subject, format string, args ...any) error {
	return &InvalidChangeError{Subject: subject, Reason: fmt.Sprintf(format, args...)}
}

// Apply returns the state after the record without modifying s. It fails with *InvalidChangeError or *BudgetError.
func (s *State) Apply(record Record) (next *State, err error) {
	return s.Replay(record)
}

// Replay returns the state after the records, with a single copy of the state for all of them. It fails with the errors of Apply.
func (s *State) Replay(records ...Record) (next *State, err error) {
	next = s.clone(changedParts(records))
	for _, record := range records {
		if record.Version != next.Version+1 {
			return nil, invalid("record", "version %d does not follow %d", record.Version, next.Version)
		}
		next.Version = record.Version
		for _, change := range record.Changes {
			if err = next.apply(change, record); err != nil {
				return nil, err
			}
		}
	}
	return next, nil
}

func (s *State) apply(change Change, record Record) error {
	switch {
	case change.PutPool != nil:
		return s.putPool(*change.PutPool, record)
	case change.RemovePool != nil:
		return s.removePool(change.RemovePool.Name)
	case change.PutTeam != nil:
		team := *change.PutTeam
		team.Version, team.By = record.Version, record.By
		s.Teams[team.Name] = team
		return nil
	case change.RemoveTeam != nil:
		if _, found := s.Teams[change.RemoveTeam.Name]; !found {
			return invalid("team "+string(change.RemoveTeam.Name), "does not exist")
		}
		delete(s.Teams, change.RemoveTeam.Name)
		return nil
	case change.AddInstance != nil:
		return s.addInstance(*change.AddInstance, record)
	case change.RemoveInstance != nil:
		return s.removeInstance(change.RemoveInstance.ID)
	case change.MoveInstance != nil:
		return s.moveInstance(*change.MoveInstance, record)
	case change.SetPhase != nil:
		return s.setPhase(*change.SetPhase, record)
	case change.PutWave != nil:
		wave := *change.PutWave
		wave.Version, wave.By = record.Version, record.By
		s.Waves[wave.ID] = wave
		return nil
	case change.SetOption != nil:
		return s.setOption(*change.SetOption, record)
	}
	return invalid("change", "is empty")
}

func (s *State) setOption(option SetOption, record Record) error {
	if err := CheckOption(option); err != nil {
		return err
	}
	s.Options[option.Name] = Option{Value: option.Value, Version: record.Version, By: record.By}
	return nil
}

func (s *State) putPool(pool Pool, record Record) error {
	if pool.Name == "" {
		return invalid("pool", "has no name")
	}
	if pool.MaxUnavailable < 0 || pool.MinAvailable < 0 {
		return invalid("pool "+string(pool.Name), "budget is negative")
	}
	if spare := s.SparePool(); pool.Spare && spare != "" && spare != pool.Name {
		return invalid("pool "+string(pool.Name), "pool %s is the spare pool already", spare)
	}
	pool.Version, pool.By = record.Version, record.By
	s.Pools[pool.Name] = pool
	return nil
}

func (s *State) removePool(name acaciatally.PoolName) error {
	if _, found := s.Pools[name]; !found {
		return invalid("pool "+string(name), "does not exist")
	}
	if members := s.Members(name); len(members) > 0 {
		return invalid("pool "+string(name), "still has %d instances", len(members))
	}
	delete(s.Pools, name)
	return nil
}

package fleet

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
)

// SubjectKind is the kind of object that a change is about.
type SubjectKind string

// The kinds of objects that carry a version.
const (
	SubjectPool     SubjectKind = "Pool"
	SubjectInstance SubjectKind = "Instance"
	SubjectTeam     SubjectKind = "Team"
	SubjectWave     SubjectKind = "Wave"
	SubjectOption   SubjectKind = "Option"
)

// Seen is the version of an object on which the author of a change based the decision; 0 means that it did not exist.
type Seen struct {
	Kind    SubjectKind
	Name    string
	Version uint64
}

// RaceError reports that an object changed after its author saw it.
type RaceError struct {
	Subject string
	By      string // who made the change that won; empty when the object was removed
	Version uint64 // version of the change that won; 0 when the object was removed
}

// Error returns the object, the winner and the version.
func (e *RaceError) Error() string {
	if e.Version == 0 {
		return e.Subject + " was removed meanwhile"
	}
	return fmt.Sprintf("%s was changed by %s at version %d", e.Subject, e.By, e.Version)
}

// Unchanged returns a *RaceError for the first object whose version differs from the one seen.
func (s *State) Unchanged(seen ...Seen) (err error) {
	for _, one := range seen {
		version, by := s.VersionOf(one.Kind, one.Name)
		if version != one.Version {
			return &RaceError{Subject: string(one.Kind) + " " + one.Name, By: by, Version: version}
		}
	}
	return nil
}

// VersionOf returns the version of an object's last change and who made it; 0 means that the object does not exist.
func (s *State) VersionOf(kind SubjectKind, name string) (version uint64, by string) {
	switch kind {
	case SubjectPool:
		pool := s.Pools[acaciatally.PoolName(name)]
		return pool.Version, pool.By
	case SubjectInstance:
		instance := s.Instances[acaciatally.InstanceID(name)]
		return instance.Version, instance.By
	case SubjectTeam:
		team := s.Teams[acaciatally.TeamName(name)]
		return team.Version, team.By
	case SubjectWave:
		wave := s.Waves[name]
		return wave.Version, wave.By
	case SubjectOption:
		option := s.Options[name]
		return option.Version, option.By
	}
	return 0, ""
}

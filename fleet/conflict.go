package fleet

import (
	"fmt"

	"github.com/acaciatally/acaciatally"
)

// SubjectKind is the kind of object to which a change applies.
type SubjectKind string

// The kinds of versioned objects.
const (
	SubjectPool     SubjectKind = "Pool"
	SubjectInstance SubjectKind = "Instance"
	SubjectTeam     SubjectKind = "Team"
	SubjectWave     SubjectKind = "Wave"
	SubjectOption   SubjectKind = "Option"
)

// ExpectedVersion is the object version that the author of a change has seen; version 0 means that the object did not exist.
type ExpectedVersion struct {
	Kind    SubjectKind
	Name    string
	Version uint64
}

// VersionConflictError reports that an object was changed after the author of a change had seen it.
type VersionConflictError struct {
	Subject string
	By      string // author of the newer change; empty if the object was removed
	Version uint64 // version of the newer change; 0 if the object was removed
}

// Error returns the object and the author and version of the newer change.
func (e *VersionConflictError) Error() string {
	if e.Version == 0 {
		return e.Subject + " was removed in the meantime"
	}
	return fmt.Sprintf("%s was changed by %s at version %d", e.Subject, e.By, e.Version)
}

// Unchanged returns a *VersionConflictError for the first object whose version differs from the expected one.
func (s *State) Unchanged(expected ...ExpectedVersion) (err error) {
	for _, object := range expected {
		version, by := s.VersionOf(object.Kind, object.Name)
		if version != object.Version {
			return &VersionConflictError{Subject: string(object.Kind) + " " + object.Name, By: by, Version: version}
		}
	}
	return nil
}

// VersionOf returns the version and the author of the last change to an object; version 0 means that the object does not exist.
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

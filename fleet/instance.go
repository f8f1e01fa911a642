package fleet

import (
	"slices"

	"github.com/acaciatally/acaciatally"
)

// nextPhases lists the phases that may follow each phase; Failed and Quarantined may follow any.
var nextPhases = map[Phase][]Phase{
	Serving:     {Draining},
	Draining:    {Serving, Stopping},
	Stopping:    {Rebooting},
	Rebooting:   {Checking},
	Checking:    {Serving, Rebooting},
	Failed:      {Rebooting, Checking, Serving},
	Quarantined: {Draining, Rebooting, Checking, Serving},
}

func (s *State) addInstance(instance Instance, record Record) error {
	subject := "instance " + string(instance.ID)
	if instance.ID == "" {
		return invalid("instance", "has no id")
	}
	if known, found := s.Instances[instance.ID]; found {
		return invalid(subject, "is in pool %s already", known.Pool)
	}
	if _, found := s.Pools[instance.Pool]; !found {
		return invalid(subject, "pool %s does not exist", instance.Pool)
	}
	if instance.Home == "" {
		instance.Home = instance.Pool
	}
	if instance.Phase == "" {
		instance.Phase = Serving
	}
	instance.PhaseSince = record.At
	s.put(instance, record)
	return nil
}

func (s *State) put(instance Instance, record Record) {
	instance.Version, instance.By, instance.Reason = record.Version, record.By, record.Reason
	s.Instances[instance.ID] = instance
}

func (s *State) removeInstance(id acaciatally.InstanceID) error {
	instance, found := s.Instances[id]
	if !found {
		return invalid("instance "+string(id), "does not exist")
	}
	if instance.Phase == Serving {
		return invalid("instance "+string(id), "is serving; drain it first")
	}
	delete(s.Instances, id)
	return nil
}

func (s *State) moveInstance(move MoveInstance, record Record) error {
	subject := "instance " + string(move.ID)
	instance, found := s.Instances[move.ID]
	if !found {
		return invalid(subject, "does not exist")
	}
	if instance.Pool != move.From {
		return invalid(subject, "is in pool %s, not in %s", instance.Pool, move.From)
	}
	if _, found = s.Pools[move.To]; !found {
		return invalid(subject, "pool %s does not exist", move.To)
	}
	if instance.Phase != Draining || instance.Cause != CauseMove {
		return invalid(subject, "is %s, a move needs it drained for a move", instance.Phase)
	}
	instance.Pool = move.To
	instance.Phase, instance.Cause = Serving, CauseNone
	instance.PhaseSince, instance.MovedAt = record.At, record.At
	s.put(instance, record)
	return nil
}

func (s *State) setPhase(set SetPhase, record Record) error {
	subject := "instance " + string(set.ID)
	instance, found := s.Instances[set.ID]
	if !found {
		return invalid(subject, "does not exist")
	}
	failure := set.Phase == Failed || set.Phase == Quarantined
	if !failure && !slices.Contains(nextPhases[instance.Phase], set.Phase) {
		return invalid(subject, "%s cannot follow %s", set.Phase, instance.Phase)
	}
	if instance.Phase == Serving && set.Cause.Planned() {
		if err := s.Allows(instance, set.Cause); err != nil {
			return err
		}
	}
	if set.Phase != instance.Phase {
		instance.PhaseSince = record.At
	}
	instance.Phase, instance.Cause, instance.Wave = set.Phase, set.Cause, set.Wave
	if set.Phase == Serving {
		instance.Cause, instance.Wave = CauseNone, ""
	}
	if set.Maintained {
		instance.Maintained = record.At
	}
	s.put(instance, record)
	return nil
}

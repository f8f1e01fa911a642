package fleet

import (
	"slices"

	"github.com/acaciatally/acaciatally"
)

// nextPhases lists the phases that may follow each phase; Failed and Quarantined may follow any.
var nextPhases = map[Phase][]Phase{
	Serving:     {Draining},
	Draining:    {Serving, Stopping, Checking},
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

func (s *State) removeInstance(id acaciatally.InstanceID) error {
	instance, found := s.Instances[id]
	if !found {
		return invalid("instance "+string(id), "does not exist")
	}
	if instance.Phase == Serving {
		return invalid("instance "+string(id), "is serving; drain it first")
	}
	s.drop(instance)
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
	if !move.Borrow {
		instance.Home = move.To
	}
	instance.serve(record)
	instance.MovedAt, instance.MovedFrom = record.At, move.From
	s.put(instance, record)
	return nil
}

// serve puts the instance back to work and clears what led it out.
func (i *Instance) serve(record Record) {
	i.Phase, i.Cause, i.Wave, i.Target = Serving, CauseNone, "", ""
	i.Borrow, i.Reboot, i.Attempts = false, false, 0
	i.PhaseSince = record.At
}

func (s *State) setPhase(set SetPhase, record Record) error {
	subject := "instance " + string(set.ID)
	instance, found := s.Instances[set.ID]
	if !found {
		return invalid(subject, "does not exist")
	}
	if err := s.mayEnter(instance, set); err != nil {
		return err
	}
	instance.enter(set, record)
	s.put(instance, record)
	return nil
}

// mayEnter checks the order of phases and, for a planned disruption, the budget.
func (s *State) mayEnter(instance Instance, set SetPhase) error {
	subject := "instance " + string(set.ID)
	failure := set.Phase == Failed || set.Phase == Quarantined
	if !failure && !slices.Contains(nextPhases[instance.Phase], set.Phase) {
		return invalid(subject, "%s cannot follow %s", set.Phase, instance.Phase)
	}
	if instance.Phase == Draining && set.Phase == Stopping {
		return mayStop(instance, set)
	}
	if failure || instance.Phase != Serving {
		return nil
	}
	if !set.Cause.Planned() {
		return invalid(subject, "a drain needs a planned cause")
	}
	return s.Allows(instance, set.Cause)
}

// mayStop refuses a change of cause, which would evade the failure-domain rule, and the stop of an instance that is only moved.
func mayStop(instance Instance, set SetPhase) error {
	subject := "instance " + string(set.ID)
	if set.Cause != CauseNone && set.Cause != instance.Cause {
		return invalid(subject, "is drained for %s, not for %s", instance.Cause, set.Cause)
	}
	if instance.Cause == CauseMove {
		return invalid(subject, "is drained for a move and must not stop")
	}
	return nil
}

func (i *Instance) enter(set SetPhase, record Record) {
	if set.Phase == Serving {
		i.serve(record)
		if set.Maintained {
			i.Maintained = record.At
		}
		return
	}
	if set.Phase != i.Phase || set.Phase == Rebooting {
		i.PhaseSince = record.At
	}
	if set.Phase == Rebooting {
		i.Attempts++
	}
	if set.Phase == Failed || set.Phase == Quarantined {
		i.FailedAt, set.Cause = record.At, CauseFailure
	}
	if set.Cause != CauseNone {
		i.Cause = set.Cause
	}
	if set.Wave != "" {
		i.Wave = set.Wave
	}
	if set.Phase == Draining {
		i.Target, i.Borrow, i.Reboot = set.Target, set.Borrow, set.Reboot
	}
	i.Phase = set.Phase
}

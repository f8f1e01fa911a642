package fleet

import (
	"slices"

	"github.com/acaciatally/acaciatally"
)

// nextPhases maps each phase to the phases that may follow it, besides Failed and Quarantined, which may follow any phase.
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
	s.putInstance(instance, record)
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
	s.deleteInstance(instance)
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
		return invalid(subject, "is %s, but a move requires an instance that is drained for a move", instance.Phase)
	}
	instance.Pool = move.To
	if !move.Borrow {
		instance.Home = move.To
	}
	instance.resetToServing(record)
	instance.MovedAt, instance.MovedFrom = record.At, move.From
	s.putInstance(instance, record)
	return nil
}

// resetToServing sets the phase Serving and clears the fields that describe why the instance was not serving.
func (i *Instance) resetToServing(record Record) {
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
	if err := s.checkTransition(instance, set); err != nil {
		return err
	}
	instance.applyPhase(set, record)
	s.putInstance(instance, record)
	return nil
}

// checkTransition checks the phase transition and, for a planned disruption, the availability budget.
func (s *State) checkTransition(instance Instance, set SetPhase) error {
	subject := "instance " + string(set.ID)
	failure := set.Phase == Failed || set.Phase == Quarantined
	if !failure && !slices.Contains(nextPhases[instance.Phase], set.Phase) {
		return invalid(subject, "%s cannot follow %s", set.Phase, instance.Phase)
	}
	if instance.Phase == Draining && set.Phase == Stopping {
		return checkStop(instance, set)
	}
	if failure || instance.Phase != Serving {
		return nil
	}
	if !set.Cause.Planned() {
		return invalid(subject, "a drain requires a planned cause")
	}
	return s.CheckBudget(instance, set.Cause)
}

// checkStop rejects a change of the cause, which would bypass the failure domain rule, and stopping an instance that is drained for a move.
func checkStop(instance Instance, set SetPhase) error {
	subject := "instance " + string(set.ID)
	if set.Cause != CauseNone && set.Cause != instance.Cause {
		return invalid(subject, "is drained for %s, not for %s", instance.Cause, set.Cause)
	}
	if instance.Cause == CauseMove {
		return invalid(subject, "is drained for a move and must not stop")
	}
	return nil
}

func (i *Instance) applyPhase(set SetPhase, record Record) {
	if set.Phase == Serving {
		i.resetToServing(record)
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

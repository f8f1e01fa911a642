package lifecycle

import (
	"fmt"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
)

// OperationKind is a kind of operation of the platform's instance control; the empty kind is none.
type OperationKind string

// The operations.
const (
	NoOperation OperationKind = ""
	Drain       OperationKind = "Drain"
	Reboot      OperationKind = "Reboot"
	Undrain     OperationKind = "Undrain"
)

// Operation is a platform operation with its id, which every controller derives alike, so that repeated calls are idempotent.
type Operation struct {
	Kind     OperationKind
	ID       string
	Instance acaciatally.InstanceID
}

// Facts are the observations on which the next step depends.
type Facts struct {
	Now          time.Time
	Acknowledged bool // no entry sends new work or has work in progress
	Operation    acaciatally.OperationState
	Healthy      bool
	TargetExists bool // the target pool of a move is there
	Correlated   bool // other instances of its rack or data centre have failed, too
}

// Step is what to do next: a call, a change to approve, or nothing.
type Step struct {
	Operation *Operation
	Action    *approval.Action
}

// Limits are the times and counts of repairs; zero values are replaced by the defaults.
type Limits struct {
	RepairDelay   time.Duration // time in which a short cut may heal before a reboot, default 10 s
	RebootTimeout time.Duration // default 10 min
	CheckTimeout  time.Duration // default 1 min
	MaxReboots    int           // reboots without success before removal, default 3
	RetryDelay    time.Duration // wait before a further reboot while a whole domain is down, default 5 min
}

// SetDefaults fills in the zero values.
func (l *Limits) SetDefaults() {
	if l.RepairDelay == 0 {
		l.RepairDelay = 10 * time.Second
	}
	if l.RebootTimeout == 0 {
		l.RebootTimeout = 10 * time.Minute
	}
	if l.CheckTimeout == 0 {
		l.CheckTimeout = time.Minute
	}
	if l.MaxReboots == 0 {
		l.MaxReboots = 3
	}
	if l.RetryDelay == 0 {
		l.RetryDelay = 5 * time.Minute
	}
}

// OperationOf returns the platform operation that belongs to the instance's phase; its kind is NoOperation when there is none.
func OperationOf(instance fleet.Instance) Operation {
	call := NoOperation
	switch {
	case instance.Phase == fleet.Draining && reboots(instance):
		call = Drain
	case instance.Phase == fleet.Rebooting:
		call = Reboot
	case instance.Phase == fleet.Checking && instance.Attempts == 0:
		call = Undrain
	}
	return Operation{Kind: call, ID: fmt.Sprintf("%s-%s-%d", call, instance.ID, instance.Version), Instance: instance.ID}
}

func reboots(instance fleet.Instance) bool {
	return instance.Cause == fleet.CauseWave || instance.Reboot
}

// Next returns the next step of an instance; nothing stops before it is acknowledged and drained.
func Next(instance fleet.Instance, facts Facts, limits Limits) Step {
	switch instance.Phase {
	case fleet.Draining:
		return nextDraining(instance, facts)
	case fleet.Stopping:
		return act("Reboot", instance, instance.Reason, enter(instance, fleet.Rebooting))
	case fleet.Rebooting:
		return nextRebooting(instance, facts, limits)
	case fleet.Checking:
		return nextChecking(instance, facts, limits)
	case fleet.Failed, fleet.Quarantined:
		return nextFailed(instance, facts, limits)
	case fleet.Serving:
	}
	return Step{}
}

func nextDraining(instance fleet.Instance, facts Facts) Step {
	switch {
	case instance.Cause == fleet.CauseMove:
		return nextMoving(instance, facts)
	case !reboots(instance) || !facts.Acknowledged:
		return Step{}
	case facts.Operation == acaciatally.OperationAbsent:
		return call(instance)
	case facts.Operation == acaciatally.OperationFailed:
		return act("Fail", instance, "the platform could not drain it", enter(instance, fleet.Failed))
	case facts.Operation == acaciatally.OperationDone:
		return act("Stop", instance, instance.Reason+": drained and acknowledged by all entries",
			enter(instance, fleet.Stopping), enter(instance, fleet.Rebooting))
	}
	return Step{}
}

func nextMoving(instance fleet.Instance, facts Facts) Step {
	if !facts.TargetExists {
		return act("CancelMove", instance, "the target pool does not exist", enter(instance, fleet.Serving))
	}
	if !facts.Acknowledged {
		return Step{}
	}
	move := fleet.Change{MoveInstance: &fleet.MoveInstance{ID: instance.ID, From: instance.Pool, To: instance.Target, Borrow: instance.Borrow}}
	return act("Move", instance, instance.Reason, move)
}

func nextRebooting(instance fleet.Instance, facts Facts, limits Limits) Step {
	switch {
	case facts.Operation == acaciatally.OperationAbsent:
		return call(instance)
	case facts.Operation == acaciatally.OperationDone:
		return act("Check", instance, "rebooted", enter(instance, fleet.Checking))
	case facts.Operation == acaciatally.OperationFailed:
		return act("Fail", instance, fmt.Sprintf("reboot %d failed", instance.Attempts), enter(instance, fleet.Failed))
	case facts.Now.Sub(instance.PhaseSince) > limits.RebootTimeout:
		return act("Fail", instance, fmt.Sprintf("reboot %d took longer than %s", instance.Attempts, limits.RebootTimeout), enter(instance, fleet.Failed))
	}
	return Step{}
}

func nextChecking(instance fleet.Instance, facts Facts, limits Limits) Step {
	undrained := instance.Attempts > 0 || facts.Operation == acaciatally.OperationDone
	switch {
	case !undrained && facts.Operation == acaciatally.OperationAbsent:
		return call(instance)
	case undrained && facts.Healthy:
		serve := enter(instance, fleet.Serving)
		serve.SetPhase.Maintained = instance.Wave != "" && instance.Attempts > 0
		return act("Serve", instance, "healthy", serve)
	case facts.Now.Sub(instance.PhaseSince) > limits.CheckTimeout:
		return act("Fail", instance, fmt.Sprintf("not healthy within %s", limits.CheckTimeout), enter(instance, fleet.Failed))
	}
	return Step{}
}

// nextFailed lets an instance that recovers by itself return, reboots it otherwise, and removes it when reboots do not help. While
// other instances of its domain are down, the cause lies outside and it is kept.
func nextFailed(instance fleet.Instance, facts Facts, limits Limits) Step {
	wait := limits.RepairDelay
	if instance.Attempts >= limits.MaxReboots {
		wait = limits.RetryDelay
	}
	switch {
	case facts.Now.Sub(instance.PhaseSince) < limits.RepairDelay:
		return Step{}
	case instance.Phase == fleet.Failed && instance.Attempts == 0 && instance.Wave == "" && facts.Healthy:
		return act("Recover", instance, "reachable again", enter(instance, fleet.Checking))
	case instance.Attempts >= limits.MaxReboots && !facts.Correlated:
		remove := fleet.Change{RemoveInstance: &fleet.RemoveInstance{ID: instance.ID}}
		return act("Remove", instance, fmt.Sprintf("%d reboots did not help", instance.Attempts), remove)
	case facts.Now.Sub(instance.PhaseSince) < wait || !facts.Acknowledged:
		return Step{}
	}
	return act("Repair", instance, "repair: "+instance.Reason, enter(instance, fleet.Rebooting))
}

func enter(instance fleet.Instance, phase fleet.Phase) fleet.Change {
	return fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: phase}}
}

func act(step string, instance fleet.Instance, reason string, changes ...fleet.Change) Step {
	action := approval.NewInstanceAction(step, instance, reason, changes...)
	return Step{Action: &action}
}

func call(instance fleet.Instance) Step {
	operation := OperationOf(instance)
	return Step{Operation: &operation}
}

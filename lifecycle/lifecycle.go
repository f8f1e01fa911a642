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

// The kinds of operations.
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

// Facts are the observations of an instance that its next step depends on.
type Facts struct {
	Now          time.Time
	Acknowledged bool                       // no entry sends it new work or has work in progress on it, and no task runs on it
	Operation    acaciatally.OperationState // state of the operation of its phase, empty when unknown
	Healthy      bool
	TargetExists bool // the target pool of its move exists
	Correlated   bool // another instance of its rack or data centre has failed at about the same time
}

// Step is the next step of an instance: an operation to start, an action to approve, or nothing.
type Step struct {
	Operation *Operation
	Action    *approval.Action
}

// Limits are the times and counts that control repairs; zero values are replaced by the defaults.
type Limits struct {
	RepairDelay   time.Duration // time for a short network interruption to end before a reboot, default 10 s
	RebootTimeout time.Duration // time after which a reboot counts as failed, default 10 min
	CheckTimeout  time.Duration // time within which an instance in the check must be healthy, default 1 min
	MaxReboots    int           // unsuccessful reboots before removal, default 3
	RetryDelay    time.Duration // delay of further reboots while other instances of the failure domain are down, default 5 min
}

// SetDefaults replaces zero values by the defaults.
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
	kind := NoOperation
	switch {
	case instance.Phase == fleet.Draining && needsReboot(instance):
		kind = Drain
	case instance.Phase == fleet.Rebooting:
		kind = Reboot
	case instance.Phase == fleet.Checking && instance.Attempts == 0:
		kind = Undrain
	}
	return Operation{Kind: kind, ID: fmt.Sprintf("%s-%s-%d", kind, instance.ID, instance.Version), Instance: instance.ID}
}

func needsReboot(instance fleet.Instance) bool {
	return instance.Cause == fleet.CauseWave || instance.Reboot
}

// Next returns the next step of an instance. An instance is stopped only once all entries have acknowledged that it is out of service and
// the platform has drained it.
func Next(instance fleet.Instance, facts Facts, limits Limits) Step {
	switch instance.Phase {
	case fleet.Draining:
		return nextDraining(instance, facts)
	case fleet.Stopping:
		return actionStep("Reboot", instance, instance.Reason, setPhase(instance, fleet.Rebooting))
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
	case !needsReboot(instance) || !facts.Acknowledged:
		return Step{}
	case facts.Operation == acaciatally.OperationAbsent:
		return operationStep(instance)
	case facts.Operation == acaciatally.OperationFailed:
		return actionStep("Fail", instance, "the platform could not drain it", setPhase(instance, fleet.Failed))
	case facts.Operation == acaciatally.OperationDone:
		return actionStep("Stop", instance, instance.Reason+": drained and acknowledged by all entries",
			setPhase(instance, fleet.Stopping), setPhase(instance, fleet.Rebooting))
	}
	return Step{}
}

func nextMoving(instance fleet.Instance, facts Facts) Step {
	if !facts.TargetExists {
		return actionStep("CancelMove", instance, "the target pool does not exist", setPhase(instance, fleet.Serving))
	}
	if !facts.Acknowledged {
		return Step{}
	}
	move := fleet.Change{MoveInstance: &fleet.MoveInstance{ID: instance.ID, From: instance.Pool, To: instance.Target, Borrow: instance.Borrow}}
	return actionStep("Move", instance, instance.Reason, move)
}

func nextRebooting(instance fleet.Instance, facts Facts, limits Limits) Step {
	switch {
	case facts.Operation == acaciatally.OperationAbsent:
		return operationStep(instance)
	case facts.Operation == acaciatally.OperationDone:
		return actionStep("Check", instance, "rebooted", setPhase(instance, fleet.Checking))
	case facts.Operation == acaciatally.OperationFailed:
		return actionStep("Fail", instance, fmt.Sprintf("reboot %d failed", instance.Attempts), setPhase(instance, fleet.Failed))
	case facts.Now.Sub(instance.PhaseSince) > limits.RebootTimeout:
		return actionStep("Fail", instance, fmt.Sprintf("reboot %d took longer than %s", instance.Attempts, limits.RebootTimeout), setPhase(instance, fleet.Failed))
	}
	return Step{}
}

func nextChecking(instance fleet.Instance, facts Facts, limits Limits) Step {
	undrained := instance.Attempts > 0 || facts.Operation == acaciatally.OperationDone
	switch {
	case !undrained && facts.Operation == acaciatally.OperationAbsent:
		return operationStep(instance)
	case undrained && facts.Healthy:
		serve := setPhase(instance, fleet.Serving)
		serve.SetPhase.Maintained = instance.Wave != "" && instance.Attempts > 0
		return actionStep("Serve", instance, "healthy", serve)
	case facts.Now.Sub(instance.PhaseSince) > limits.CheckTimeout:
		return actionStep("Fail", instance, fmt.Sprintf("not healthy within %s", limits.CheckTimeout), setPhase(instance, fleet.Failed))
	}
	return Step{}
}

// nextFailed returns a failed instance to service when it has recovered by itself, else reboots it, and removes it when reboots do not
// help. While other instances of its failure domain are down, the cause is outside the instance, so it is kept and rebooted again after
// RetryDelay.
func nextFailed(instance fleet.Instance, facts Facts, limits Limits) Step {
	wait := limits.RepairDelay
	if instance.Attempts >= limits.MaxReboots {
		wait = limits.RetryDelay
	}
	switch {
	case facts.Now.Sub(instance.PhaseSince) < limits.RepairDelay:
		return Step{}
	case instance.Phase == fleet.Failed && instance.Attempts == 0 && instance.Wave == "" && facts.Healthy:
		return actionStep("Recover", instance, "reachable again", setPhase(instance, fleet.Checking))
	case instance.Attempts >= limits.MaxReboots && !facts.Correlated:
		remove := fleet.Change{RemoveInstance: &fleet.RemoveInstance{ID: instance.ID}}
		return actionStep("Remove", instance, fmt.Sprintf("%d reboots did not help", instance.Attempts), remove)
	case facts.Now.Sub(instance.PhaseSince) < wait || !facts.Acknowledged:
		return Step{}
	}
	return actionStep("Repair", instance, "repair: "+instance.Reason, setPhase(instance, fleet.Rebooting))
}

func setPhase(instance fleet.Instance, phase fleet.Phase) fleet.Change {
	return fleet.Change{SetPhase: &fleet.SetPhase{ID: instance.ID, Phase: phase}}
}

func actionStep(step string, instance fleet.Instance, reason string, changes ...fleet.Change) Step {
	action := approval.NewInstanceAction(step, instance, reason, changes...)
	return Step{Action: &action}
}

func operationStep(instance fleet.Instance) Step {
	operation := OperationOf(instance)
	return Step{Operation: &operation}
}

package approval

import (
	"context"
	"fmt"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

// Action is a planned change of one object, with the version of the object that the plan is based on.
type Action struct {
	Step    string // verb that names the step, part of the command id
	Subject fleet.ExpectedVersion
	Changes []fleet.Change
	Reason  string
	// Check, when set, is called with the state on which the change is to be committed; an error refuses the change.
	Check func(state *fleet.State) (err error)
}

// CommandID returns the id of the command. Every controller that plans the step for this version of the object gets the same id, so that
// the step is committed once.
func (a Action) CommandID() string {
	return fmt.Sprintf("%s-%s-%d", a.Step, a.Subject.Name, a.Subject.Version)
}

// NewInstanceAction returns an action on the instance at its present version.
func NewInstanceAction(step string, instance fleet.Instance, reason string, changes ...fleet.Change) Action {
	expected := fleet.ExpectedVersion{Kind: fleet.SubjectInstance, Name: string(instance.ID), Version: instance.Version}
	return Action{Step: step, Subject: expected, Changes: changes, Reason: reason}
}

// Config configures an Approver.
type Config struct {
	Log *changelog.Log
	By  string // name of this process in the log
}

// Approver commits actions to the change log.
type Approver struct {
	config Config
}

// New returns an approver.
func New(config Config) *Approver {
	return &Approver{config: config}
}

// Approve commits the action under the lease and returns the version of its record. It fails with *fleet.BudgetError,
// *fleet.VersionConflictError, ErrLeaseExpired, the error of the action's Check, or an error of the log.
func (a *Approver) Approve(ctx context.Context, heldLease changelog.HeldLease, action Action) (version uint64, err error) {
	defer func() {
		err = oops.In("approval").With("command", action.CommandID()).Wrapf(err, "approve %s", action.Step)
	}()
	return a.config.Log.Commit(ctx, changelog.Proposal{
		CommandID:        action.CommandID(),
		By:               fmt.Sprintf("%s epoch %d", a.config.By, heldLease.Epoch),
		Reason:           action.Reason,
		ExpectedVersions: []fleet.ExpectedVersion{action.Subject},
		Conditions:       []acaciatally.Condition{heldLease.Condition},
		Decide: func(state *fleet.State) (changes []fleet.Change, err error) {
			if action.Check != nil {
				if err = action.Check(state); err != nil {
					return nil, err
				}
			}
			return action.Changes, nil
		},
	})
}

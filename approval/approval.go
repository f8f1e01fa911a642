package approval

import (
	"context"
	"fmt"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

// Action is a planned change of one object together with the version on which the plan is based.
type Action struct {
	Step    string // verb, part of the command id
	Subject fleet.Seen
	Changes []fleet.Change
	Reason  string
	// Check, when set, is asked again for the state on which the change is committed.
	Check func(state *fleet.State) (err error)
}

// CommandID returns an id that is the same for every controller that plans the step for this version of the object.
func (a Action) CommandID() string {
	return fmt.Sprintf("%s-%s-%d", a.Step, a.Subject.Name, a.Subject.Version)
}

// NewInstanceAction returns an action on the instance at its present version.
func NewInstanceAction(step string, instance fleet.Instance, reason string, changes ...fleet.Change) Action {
	seen := fleet.Seen{Kind: fleet.SubjectInstance, Name: string(instance.ID), Version: instance.Version}
	return Action{Step: step, Subject: seen, Changes: changes, Reason: reason}
}

// Config is what an Approver needs.
type Config struct {
	Log *changelog.Log
	By  string
}

// Approver commits actions.
type Approver struct {
	config Config
}

// New returns an approver that commits in the name of a process.
func New(config Config) *Approver {
	return &Approver{config: config}
}

// Approve commits the action; it fails with *fleet.BudgetError, *fleet.RaceError, ErrLeaseExpired or the errors of the log.
func (a *Approver) Approve(ctx context.Context, hold changelog.Hold, action Action) (version uint64, err error) {
	defer func() {
		err = oops.In("approval").With("command", action.CommandID()).Wrapf(err, "approve %s", action.Step)
	}()
	return a.config.Log.Commit(ctx, changelog.Proposal{
		CommandID:  action.CommandID(),
		By:         fmt.Sprintf("%s epoch %d", a.config.By, hold.Epoch),
		Reason:     action.Reason,
		Seen:       []fleet.Seen{action.Subject},
		Conditions: []acaciatally.Condition{hold.Condition},
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

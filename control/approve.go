package control

import (
	"context"
	"errors"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/approval"
	"github.com/acaciatally/acaciatally/fleet"
)

// Approve commits the planned actions one by one under the lease.
type Approve struct {
	config   *Config
	approver *approval.Approver
}

// NewApprove returns the approve step.
func NewApprove(config *Config) *Approve {
	return &Approve{config: config, approver: approval.New(approval.Config{Log: config.Log, By: config.By})}
}

// String returns the step's name.
func (a *Approve) String() string { return "approve" }

// Run commits the actions while this entry holds the lease and its view is fresh. Actions that the state refuses or that lose a race are
// planned again later; other errors end the pass.
func (a *Approve) Run(ctx context.Context, round *Round) (err error) {
	for _, action := range round.Actions {
		heldLease, may := a.config.MayAct()
		if !may {
			return nil
		}
		version, err := a.approver.Approve(ctx, heldLease, action)
		round.Results = append(round.Results, Result{Action: action, Version: version, Err: err})
		if err != nil && !affectsOnlyAction(err) {
			return err
		}
	}
	return nil
}

// affectsOnlyAction reports whether the error concerns only this action: the table service answered and the lease is still held.
func affectsOnlyAction(err error) bool {
	var conflict *fleet.VersionConflictError
	var budget *fleet.BudgetError
	var invalid *fleet.InvalidChangeError
	if errors.As(err, &conflict) || errors.As(err, &budget) || errors.As(err, &invalid) {
		return true
	}
	for _, fatal := range []error{acaciatally.ErrUnavailable, acaciatally.ErrUnknownCommit, acaciatally.ErrLeaseExpired} {
		if errors.Is(err, fatal) {
			return false
		}
	}
	return true
}

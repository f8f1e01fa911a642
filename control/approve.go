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

// NewApprove returns the step.
func NewApprove(config *Config) *Approve {
	return &Approve{config: config, approver: approval.New(approval.Config{Log: config.Log, By: config.By})}
}

// String returns the step's name.
func (a *Approve) String() string { return "approve" }

// Run commits while this entry is in control with a fresh view; actions that the state or a race refuses are planned anew.
func (a *Approve) Run(ctx context.Context, round *Round) (err error) {
	for _, action := range round.Actions {
		hold, may := a.config.MayAct()
		if !may {
			return nil
		}
		version, err := a.approver.Approve(ctx, hold, action)
		round.Results = append(round.Results, Result{Action: action, Version: version, Err: err})
		if err != nil && !refused(err) {
			return err
		}
	}
	return nil
}

// refused reports whether the platform answered and only this action is affected.
func refused(err error) bool {
	var race *fleet.RaceError
	var budget *fleet.BudgetError
	var invalid *fleet.InvalidChangeError
	if errors.As(err, &race) || errors.As(err, &budget) || errors.As(err, &invalid) {
		return true
	}
	for _, fatal := range []error{acaciatally.ErrUnavailable, acaciatally.ErrUnknownCommit, acaciatally.ErrLeaseExpired} {
		if errors.Is(err, fatal) {
			return false
		}
	}
	return true
}

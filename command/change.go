package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

func (e *Evaluator) change(ctx context.Context, order Order, statement *Statement, result Result) (Result, error) {
	seen := order.SeenVersion
	if seen == 0 {
		seen = e.config.Log.State().Version
	}
	decide := func(state *fleet.State) (changes []fleet.Change, err error) {
		changes, err = e.changes(statement, state, order.Text)
		if err != nil {
			return nil, err
		}
		return changes, unchanged(state, changes, seen)
	}
	if order.DryRun {
		return e.tryOut(order, decide, result)
	}
	version, err := e.commit(ctx, changelog.Proposal{CommandID: order.ID, By: order.By, Reason: order.Text, Decide: decide})
	if err != nil {
		return e.hintLeaving(statement, result, err)
	}
	result.Version = version
	result.Text = fmt.Sprintf("accepted at version %d", version)
	return result, nil
}

// commit refuses while this entry may not change anything, unless the order had been accepted before.
func (e *Evaluator) commit(ctx context.Context, proposal changelog.Proposal) (version uint64, err error) {
	if e.config.Membership == nil || e.config.Membership.Fresh() {
		return e.config.Log.Commit(ctx, proposal)
	}
	const reason = "this entry hears too few entries, or the log is out of reach"
	version, found, err := e.config.Log.Find(ctx, proposal.CommandID)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%s: %w", reason, acaciatally.ErrUnknownCommit)
	case found:
		return version, nil
	}
	return 0, fmt.Errorf("%s: %w", reason, acaciatally.ErrUnavailable)
}

// hintLeaving stops new work to drained instances while the log cannot be written; the order itself stays refused.
func (e *Evaluator) hintLeaving(statement *Statement, result Result, cause error) (Result, error) {
	outage := errors.Is(cause, acaciatally.ErrUnavailable) || errors.Is(cause, acaciatally.ErrUnknownCommit)
	if !outage || e.config.Hints == nil || statement.Phase == nil || !strings.EqualFold(statement.Phase.Verb, "drain") {
		return result, cause
	}
	for _, name := range statement.Phase.Instances {
		e.config.Hints.HintLeaving(acaciatally.InstanceID(name.Value))
	}
	return result, fmt.Errorf("not recorded, but reachable entries send no new work there for a minute: %w", cause)
}

func (e *Evaluator) tryOut(order Order, decide func(*fleet.State) ([]fleet.Change, error), result Result) (Result, error) {
	state := e.config.Log.State()
	changes, err := decide(state)
	if err != nil {
		return result, err
	}
	record := fleet.Record{Version: state.Version + 1, CommandID: order.ID, By: order.By, At: e.config.Clock.Now(), Changes: changes}
	if _, err = state.Apply(record); err != nil {
		return result, err
	}
	var lines strings.Builder
	for _, change := range changes {
		subject, what := change.Describe()
		fmt.Fprintf(&lines, "would change %s: %s\n", subject, what)
	}
	result.Text = lines.String()
	return result, nil
}

// unchanged fails with *fleet.RaceError when a subject of the changes has a higher version than the order's author saw.
func unchanged(state *fleet.State, changes []fleet.Change, seen uint64) error {
	for _, change := range changes {
		kind, name := change.Subject()
		if version, by := state.VersionOf(kind, name); version > seen {
			return &fleet.RaceError{Subject: string(kind) + " " + name, By: by, Version: version}
		}
	}
	return nil
}

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

func (e *Evaluator) runChange(ctx context.Context, request Request, statement *Statement, result Result) (Result, error) {
	seenVersion := request.SeenVersion
	if seenVersion == 0 {
		seenVersion = e.config.Log.State().Version
	}
	decide := func(state *fleet.State) (changes []fleet.Change, err error) {
		changes, err = e.buildChanges(statement, state, request.Text)
		if err != nil {
			return nil, err
		}
		return changes, checkSeenVersion(state, changes, seenVersion)
	}
	if request.DryRun {
		return e.dryRun(request, decide, result)
	}
	version, err := e.commit(ctx, changelog.Proposal{CommandID: request.ID, By: request.By, Reason: request.Text, Decide: decide})
	if err != nil {
		return e.announceLeaving(statement, result, err)
	}
	result.Version = version
	result.Text = fmt.Sprintf("accepted at version %d", version)
	return result, nil
}

// commit appends the proposal to the change log. While this entry may not commit changes, it fails unless the log already holds the
// command; a repeated command then returns its version.
func (e *Evaluator) commit(ctx context.Context, proposal changelog.Proposal) (version uint64, err error) {
	if e.config.Membership == nil || e.config.Membership.MayChange() {
		return e.config.Log.Commit(ctx, proposal)
	}
	const reason = "this entry has no contact with a majority of entries, or cannot read the change log"
	version, found, err := e.config.Log.Find(ctx, proposal.CommandID)
	switch {
	case err != nil:
		return 0, fmt.Errorf("%s: %w", reason, acaciatally.ErrUnknownCommit)
	case found:
		return version, nil
	}
	return 0, fmt.Errorf("%s: %w", reason, acaciatally.ErrUnavailable)
}

// announceLeaving handles a failed change. If it is a drain and failed because the change log cannot be written, announceLeaving tells the
// peers to send no new work to the instances. The command fails in any case.
func (e *Evaluator) announceLeaving(statement *Statement, result Result, cause error) (Result, error) {
	outage := errors.Is(cause, acaciatally.ErrUnavailable) || errors.Is(cause, acaciatally.ErrUnknownCommit)
	if !outage || e.config.LeavingAnnouncer == nil || statement.SetPhase == nil || !strings.EqualFold(statement.SetPhase.Verb, "drain") {
		return result, cause
	}
	for _, name := range statement.SetPhase.Instances {
		e.config.LeavingAnnouncer.AnnounceLeaving(acaciatally.InstanceID(name.Value))
	}
	return result, fmt.Errorf("not recorded, but reachable entries send no new work to these instances for a minute: %w", cause)
}

func (e *Evaluator) dryRun(request Request, decide func(*fleet.State) ([]fleet.Change, error), result Result) (Result, error) {
	state := e.config.Log.State()
	changes, err := decide(state)
	if err != nil {
		return result, err
	}
	record := fleet.Record{Version: state.Version + 1, CommandID: request.ID, By: request.By, At: e.config.Clock.Now(), Changes: changes}
	if _, err = state.Apply(record); err != nil {
		return result, err
	}
	var lines strings.Builder
	for _, change := range changes {
		subject, effect := change.Describe()
		fmt.Fprintf(&lines, "would change %s: %s\n", subject, effect)
	}
	result.Text = lines.String()
	return result, nil
}

// checkSeenVersion fails with *fleet.VersionConflictError if an object that the changes affect has a later version than the operator saw.
func checkSeenVersion(state *fleet.State, changes []fleet.Change, seenVersion uint64) error {
	for _, change := range changes {
		kind, name := change.Subject()
		if version, by := state.VersionOf(kind, name); version > seenVersion {
			return &fleet.VersionConflictError{Subject: string(kind) + " " + name, By: by, Version: version}
		}
	}
	return nil
}

package command

import (
	"context"
	"fmt"

	"github.com/samber/oops"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/fleet"
)

// Log is the part of the change log that an Evaluator uses.
type Log interface {
	// State returns the newest known control state.
	State() *fleet.State
	// Find returns the version of the log record of a command; found is false if the log does not hold the command.
	Find(ctx context.Context, command string) (version uint64, found bool, err error)
	// Commit appends a proposal's changes and returns the version of the command's record.
	Commit(ctx context.Context, proposal changelog.Proposal) (version uint64, err error)
}

// Audit reads the audit trail.
type Audit interface {
	// Latest returns up to limit records, newest first.
	Latest(ctx context.Context, limit int) (records []fleet.Record, err error)
}

// Task is one task in a list of tasks.
type Task struct {
	ID       string
	Team     acaciatally.TeamName
	Pool     acaciatally.PoolName
	Urgency  acaciatally.Urgency
	Phase    string
	Worker   acaciatally.InstanceID
	Attempts int
	Reason   string
	History  []string // latest decisions with their reasons, newest first
}

// Tasks lists and cancels tasks on behalf of operators.
type Tasks interface {
	// List returns all known tasks, sorted by id.
	List(ctx context.Context) (tasks []Task, err error)
	// Cancel cancels tasks, with at most one write for each.
	Cancel(ctx context.Context, by string, tasks ...string) (err error)
}

// LeavingAnnouncer announces to the other entries that an instance is leaving service while the change log cannot be written.
type LeavingAnnouncer interface {
	// AnnounceLeaving tells the peers to send no new work to the instance.
	AnnounceLeaving(instance acaciatally.InstanceID)
}

// Config is what an Evaluator needs; Membership, Tasks and LeavingAnnouncer may be nil.
type Config struct {
	Log              Log
	Audit            Audit
	Tasks            Tasks
	Membership       acaciatally.Membership
	LeavingAnnouncer LeavingAnnouncer
	Self             acaciatally.Peer
	Clock            acaciatally.Clock
}

// Evaluator executes statements.
type Evaluator struct {
	config Config
}

// New returns an evaluator of statements.
func New(config Config) *Evaluator {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Evaluator{config: config}
}

// Request is one statement from an operator, as sent over HTTP.
type Request struct {
	ID     string // idempotency key: a repeated command with the same id changes nothing
	By     string
	Text   string
	DryRun bool
	// SeenVersion is the log version on which the operator based the command; 0 is the newest version known to the entry. The command
	// fails if an affected object has changed since.
	SeenVersion uint64 `json:",omitempty"`
}

// Result is the result of a command or query.
type Result struct {
	ID      string
	Table   *Table `json:",omitempty"`
	Text    string `json:",omitempty"`
	Version uint64 // log version of the command's record, or the version that a query read
	DryRun  bool   `json:",omitempty"`
}

// Run executes one statement; it fails with *SyntaxError, *fleet.BudgetError, *fleet.InvalidChangeError, *fleet.VersionConflictError or an
// error of the platform.
func (e *Evaluator) Run(ctx context.Context, request Request) (result Result, err error) {
	defer func() { err = oops.In("command").With("id", request.ID).Wrapf(err, "run %q", request.Text) }()
	statement, err := Parse(request.Text)
	if err != nil {
		return result, err
	}
	result = Result{ID: request.ID, Version: e.config.Log.State().Version, DryRun: request.DryRun}
	switch {
	case statement.Help:
		result.Text = Help
		return result, nil
	case statement.Show != nil:
		result.Table, err = e.show(ctx, statement.Show, request.Text)
		return result, err
	case statement.Explain != nil:
		result.Text, err = e.explain(ctx, statement.Explain, request.Text)
		return result, err
	case statement.Cancel != nil:
		return e.runCancel(ctx, request, statement.Cancel, result)
	}
	return e.runChange(ctx, request, statement, result)
}

func (e *Evaluator) runCancel(ctx context.Context, request Request, cancel *Cancel, result Result) (Result, error) {
	if e.config.Tasks == nil {
		return result, fmt.Errorf("this entry does not manage tasks")
	}
	ids := make([]string, len(cancel.Tasks))
	for i, task := range cancel.Tasks {
		ids[i] = task.Value
	}
	if request.DryRun {
		result.Text = fmt.Sprintf("would cancel %d tasks", len(ids))
		return result, nil
	}
	result.Text = fmt.Sprintf("cancelled %d tasks", len(ids))
	return result, e.config.Tasks.Cancel(ctx, request.By, ids...)
}

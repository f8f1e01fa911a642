package command_test

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/audit"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/command"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC) }

// announcementRecorder records the instances that were announced as leaving.
type announcementRecorder struct{ instances []acaciatally.InstanceID }

func (r *announcementRecorder) AnnounceLeaving(instance acaciatally.InstanceID) {
	r.instances = append(r.instances, instance)
}

// unavailableTable is a table service whose commits fail with ErrUnavailable while down is set.
type unavailableTable struct {
	*standin.Table
	down bool
}

func (u *unavailableTable) Commit(ctx context.Context, transaction acaciatally.Transaction) (uint64, error) {
	if u.down {
		return 0, acaciatally.ErrUnavailable
	}
	return u.Table.Commit(ctx, transaction)
}

func newEvaluator(t *testing.T, table acaciatally.TableService, announcer *announcementRecorder) *command.Evaluator {
	t.Helper()
	content, err := os.ReadFile("../examples/authority.yaml")
	require.NoError(t, err)
	loaded, err := settings.Parse(content)
	require.NoError(t, err)
	log := changelog.New(changelog.Config{Table: table, Clock: fixedClock{}})
	_, err = log.Commit(t.Context(), changelog.Proposal{
		CommandID: "load", By: "settings",
		Decide: func(state *fleet.State) ([]fleet.Change, error) {
			if state.Version > 0 {
				return nil, nil
			}
			return loaded.FleetChanges(), nil
		},
	})
	require.NoError(t, err)
	config := command.Config{Log: log, Audit: audit.New(audit.Config{Table: table}), Clock: fixedClock{}}
	if announcer != nil {
		config.LeavingAnnouncer = announcer
	}
	return command.New(config)
}

// TestStatements guards against statements that return the wrong rows, text or error.
func TestStatements(t *testing.T) {
	tests := map[string]struct {
		before []string
		text   string
		want   string
		fails  string
	}{
		"filter and sort": {
			text: `show instances where Pool = coating and DataCentre = hall-a sort by ID limit 1`,
			want: "coating-1  coating  coating  hall-a",
		},
		"or":                 {text: `show pools where Name = intake or Name = booking sort by Name descending limit 1`, want: "intake"},
		"contains":           {text: `show pools where Name ~ OFFICE`, want: "backoffice  yes    8"},
		"numeric comparison": {text: `show budgets where Left > 2`, want: "backoffice"},
		"unknown column":     {text: `show pools where Namme = a`, fails: "did you mean Name?"},
		"unknown subject":    {text: `show instnces`, fails: "did you mean instances?"},
		"unknown instance":   {text: `drain coatng-1`, fails: `did you mean coating-1?`},
		"unknown pool":       {text: `move backoffice-1 to coatin`, fails: `did you mean coating?`},
		"unknown option":     {text: `set option Weights.Move 2`, fails: `did you mean Weights.Moves?`},
		"invalid option":     {text: `set option Weights.Moves lots`, fails: "is no number"},
		"drain is accepted":  {text: `drain coating-1`, want: "accepted at version 2"},
		"same data centre":   {before: []string{"drain coating-1"}, text: `drain coating-4`, fails: "same failure domain"},
		"quota is stored":    {before: []string{"set quota observatories 5"}, text: `show teams where Name = observatories`, want: "observatories  5"},
		"explain shows what blocks a drain": {
			before: []string{"drain coating-1"}, text: `explain instance coating-4`, want: "a drain would be refused: budget of pool coating: coating-1",
		},
		"explain shows history":      {before: []string{"drain coating-1"}, text: `explain instance coating-1`, want: "version 2 at 2026-12-04T10:00:00Z by maria"},
		"explain command":            {before: []string{"drain coating-1"}, text: `explain command before-0`, want: "instance coating-1 Draining Operator"},
		"audit":                      {before: []string{"set quota observatories 5"}, text: `show audit limit 1`, want: "2        1     2026-12-04T10:00:00Z  maria  before-0"},
		"wave over all pools":        {before: []string{"start wave w1"}, text: `show waves`, want: "Running"},
		"wave exists":                {before: []string{"start wave w1"}, text: `start wave w1`, fails: "already exists"},
		"stopped wave cannot resume": {before: []string{"start wave w1", "stop wave w1"}, text: `resume wave w1`, fails: "has ended"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			evaluator := newEvaluator(t, standin.NewTable(), nil)
			for i, text := range test.before {
				_, err := evaluator.Run(t.Context(), command.Request{ID: "before-" + string(rune('0'+i)), By: "maria", Text: text})
				require.NoError(t, err)
			}
			result, err := evaluator.Run(t.Context(), command.Request{ID: "order", By: "maria", Text: test.text})
			if test.fails != "" {
				require.ErrorContains(t, err, test.fails)
				return
			}
			require.NoError(t, err)
			require.Contains(t, render(t, result), test.want)
		})
	}
}

func render(t *testing.T, result command.Result) string {
	t.Helper()
	if result.Table == nil {
		return result.Text
	}
	var output bytes.Buffer
	require.NoError(t, result.Table.WriteText(&output))
	return output.String()
}

// TestRepeatedCommand guards against a command that is applied a second time when it is repeated with the same id.
func TestRepeatedCommand(t *testing.T) {
	evaluator := newEvaluator(t, standin.NewTable(), nil)
	first, err := evaluator.Run(t.Context(), command.Request{ID: "c", By: "maria", Text: "set quota observatories 5"})
	require.NoError(t, err)
	_, err = evaluator.Run(t.Context(), command.Request{ID: "d", By: "joao", Text: "set quota observatories 6"})
	require.NoError(t, err)
	second, err := evaluator.Run(t.Context(), command.Request{ID: "c", By: "maria", Text: "set quota observatories 5"})
	require.NoError(t, err)
	require.Equal(t, first.Version, second.Version)
	result, err := evaluator.Run(t.Context(), command.Request{ID: "q", Text: "show teams where Quota = 6"})
	require.NoError(t, err)
	require.Len(t, result.Table.Rows, 1)
}

// TestDryRun guards against a dry run that changes the log, or that accepts a command which the real run refuses.
func TestDryRun(t *testing.T) {
	tests := map[string]struct{ text, want, fails string }{
		"lists the changes":       {text: "drain coating-1", want: "would change instance coating-1: Draining Operator"},
		"refuses like a real run": {text: "drain coating-1, coating-4", fails: "same failure domain"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			evaluator := newEvaluator(t, standin.NewTable(), nil)
			result, err := evaluator.Run(t.Context(), command.Request{ID: "c", By: "maria", Text: test.text, DryRun: true})
			if test.fails != "" {
				require.ErrorContains(t, err, test.fails)
				return
			}
			require.NoError(t, err)
			require.Contains(t, result.Text, test.want)
			after, err := evaluator.Run(t.Context(), command.Request{ID: "q", Text: "show instances where Phase != Serving"})
			require.NoError(t, err)
			require.Empty(t, after.Table.Rows)
		})
	}
}

// TestConcurrentChange guards against a lost update: an operator whose entry does not know a colleague's change yet must get an error that
// names the colleague and the version instead of overwriting the change.
func TestConcurrentChange(t *testing.T) {
	table := standin.NewTable()
	maria, joao := newEvaluator(t, table, nil), newEvaluator(t, table, nil)
	_, err := maria.Run(t.Context(), command.Request{ID: "m", By: "maria", Text: "set quota observatories 5"})
	require.NoError(t, err)
	_, err = joao.Run(t.Context(), command.Request{ID: "j", By: "joao", Text: "set quota observatories 9"})
	var conflict *fleet.VersionConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "maria", conflict.By)
	require.EqualValues(t, 2, conflict.Version)
}

// TestConcurrentOptionChange guards against the lost update of TestConcurrentChange for two operators who set the same option.
func TestConcurrentOptionChange(t *testing.T) {
	table := standin.NewTable()
	maria, joao := newEvaluator(t, table, nil), newEvaluator(t, table, nil)
	_, err := maria.Run(t.Context(), command.Request{ID: "m", By: "maria", Text: "set option Weights.Moves 2"})
	require.NoError(t, err)
	_, err = joao.Run(t.Context(), command.Request{ID: "j", By: "joao", Text: "set option Weights.Moves 3"})
	var conflict *fleet.VersionConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "maria", conflict.By)
}

// isolatedMembership is the membership of an entry that reaches the table service but no majority of entries.
type isolatedMembership struct{ acaciatally.Membership }

func (isolatedMembership) MayChange() bool { return false }

// TestMinorityChangesNothing guards P8 (docs/PROOFS.md): a minority partition that alone reaches the table service must not accept a change,
// because the majority continues to serve and would never learn of it.
func TestMinorityChangesNothing(t *testing.T) {
	table := standin.NewTable()
	newEvaluator(t, table, nil)
	log := changelog.New(changelog.Config{Table: table})
	require.NoError(t, log.Poll(t.Context()))
	evaluator := command.New(command.Config{Log: log, Membership: isolatedMembership{}})
	_, err := evaluator.Run(t.Context(), command.Request{ID: "c", By: "maria", Text: "set quota observatories 5"})
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.NoError(t, log.Poll(t.Context()))
	require.EqualValues(t, 1, log.State().Version)
}

// TestDrainDuringOutage guards against a drain that, while the log cannot be written, does not stop new work or is reported as accepted.
func TestDrainDuringOutage(t *testing.T) {
	table := &unavailableTable{Table: standin.NewTable()}
	leaving := &announcementRecorder{}
	evaluator := newEvaluator(t, table, leaving)
	table.down = true
	_, err := evaluator.Run(t.Context(), command.Request{ID: "c", By: "maria", Text: "drain coating-1"})
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.Equal(t, []acaciatally.InstanceID{"coating-1"}, leaving.instances)
}

// TestComplete guards against completions that are not valid at their position.
func TestComplete(t *testing.T) {
	tests := map[string]struct {
		partial string
		want    string
	}{
		"verb":        {"sh", "show"},
		"subject":     {"show inst", "instances"},
		"column":      {"show pools where Max", "MaxUnavailable"},
		"instance":    {"drain coating-9", "coating-9"},
		"second name": {"drain coating-1, coating-9", "coating-9"},
		"pool":        {"move backoffice-1 to coa", "coating"},
		"option":      {"set option Weights.M", "Weights.Moves"},
	}
	evaluator := newEvaluator(t, standin.NewTable(), nil)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, strings.Join(evaluator.Complete(test.partial), " "))
		})
	}
}

package command

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/spelling"
)

// maxHistoryLines is the maximum number of changes listed in one explanation.
const maxHistoryLines = 10

var explainKinds = []string{"instance", "pool", "team", "wave", "task", "command"}

// explain describes the current state of an object, what blocks the next operation on it, and its latest changes.
func (e *Evaluator) explain(ctx context.Context, explain *Explain, statement string) (text string, err error) {
	names := resolver{state: e.config.Log.State(), statement: statement}
	var lines []string
	switch strings.ToLower(explain.Kind.Value) {
	case "instance":
		lines, err = explainInstance(names, explain.Name, e.config.Clock.Now())
	case "pool":
		lines, err = explainPool(names, explain.Name)
	case "team":
		lines, err = explainTeam(names, explain.Name)
	case "wave":
		lines, err = explainWave(names, explain.Name)
	case "task":
		return e.explainTask(ctx, names, explain.Name)
	case "command":
		lines = []string{"command " + explain.Name.Value}
	default:
		return "", &SyntaxError{
			Text: statement, Offset: explain.Kind.Pos.Offset, Message: fmt.Sprintf("cannot explain %q", explain.Kind.Value),
			Nearest: spelling.Nearest(explain.Kind.Value, explainKinds),
		}
	}
	if err != nil {
		return "", err
	}
	history, err := e.history(ctx, strings.ToLower(explain.Kind.Value)+" "+explain.Name.Value)
	if err != nil {
		lines = append(lines, "history is not available: "+err.Error())
	}
	return strings.Join(append(lines, history...), "\n") + "\n", nil
}

func explainInstance(names resolver, name Name, now time.Time) (lines []string, err error) {
	instance, err := names.instance(name)
	if err != nil {
		return nil, err
	}
	lines = append(lines,
		fmt.Sprintf("instance %s is in pool %s (home %s), data centre %s, rack %s",
			instance.ID, instance.Pool, instance.Home, instance.DataCentre, instance.Rack),
		fmt.Sprintf("phase %s for %s%s", instance.Phase, now.Sub(instance.PhaseSince).Truncate(time.Second), describeCause(instance)),
		fmt.Sprintf("last change: version %d by %s: %s", instance.Version, instance.By, instance.Reason))
	if instance.Phase != fleet.Serving {
		return lines, nil
	}
	drainStatus := "a drain would be allowed now"
	if refusal := names.state.CheckBudget(instance, fleet.CauseOperator); refusal != nil {
		drainStatus = "a drain would be refused: " + refusal.Error()
	}
	return append(lines, drainStatus), nil
}

func describeCause(instance fleet.Instance) string {
	cause := ""
	if instance.Cause != fleet.CauseNone {
		cause = ", cause " + string(instance.Cause)
	}
	if instance.Wave != "" {
		cause += ", wave " + instance.Wave
	}
	return cause
}

func explainPool(names resolver, name Name) (lines []string, err error) {
	pool, err := names.pool(name)
	if err != nil {
		return nil, err
	}
	members := names.state.Members(pool.Name)
	available := names.state.AvailableCount(pool.Name)
	lines = append(lines, fmt.Sprintf("pool %s: %d of %d instances available, at least %d must be, at most %d may be missing by plan",
		pool.Name, available, len(members), pool.MinAvailable, pool.MaxUnavailable))
	for _, member := range members {
		if member.Phase != fleet.Serving {
			lines = append(lines, fmt.Sprintf("missing: %s is %s%s: %s", member.ID, member.Phase, describeCause(member), member.Reason))
		}
		if member.Home != member.Pool {
			lines = append(lines, fmt.Sprintf("borrowed: %s from %s: %s", member.ID, member.Home, member.Reason))
		}
	}
	return lines, nil
}

func explainTeam(names resolver, name Name) (lines []string, err error) {
	team, found := names.state.Teams[acaciatally.TeamName(name.Value)]
	if !found {
		return nil, names.unknownName("team", name, teamNames(names.state))
	}
	return []string{fmt.Sprintf("team %s may hold %d slots before it waits behind others; set at version %d by %s",
		team.Name, team.Quota, team.Version, team.By)}, nil
}

func explainWave(names resolver, name Name) (lines []string, err error) {
	wave, err := names.wave(name)
	if err != nil {
		return nil, err
	}
	done, total := waveProgress(names.state, wave)
	lines = append(lines, fmt.Sprintf("wave %s is %s: %d of %d instances done; %s", wave.ID, wave.State, done, total, wave.Reason))
	for _, pool := range wave.Pools {
		lines = append(lines, describeWaveInPool(names.state, wave, pool)...)
	}
	return lines, nil
}

// describeWaveInPool lists the pool's instances in maintenance and, if the next one has to wait, the rule that blocks it.
func describeWaveInPool(state *fleet.State, wave fleet.Wave, pool acaciatally.PoolName) (lines []string) {
	for _, member := range state.Members(pool) {
		if member.Wave == wave.ID {
			lines = append(lines, fmt.Sprintf("under way: %s is %s", member.ID, member.Phase))
		}
	}
	next := slices.IndexFunc(state.Members(pool), func(member fleet.Instance) bool {
		return member.Phase == fleet.Serving && member.Maintained.Before(wave.Started)
	})
	if next < 0 {
		return lines
	}
	if err := state.CheckBudget(state.Members(pool)[next], fleet.CauseWave); err != nil {
		lines = append(lines, fmt.Sprintf("next: %s waits: %s", state.Members(pool)[next].ID, err))
	}
	return lines
}

func (e *Evaluator) explainTask(ctx context.Context, names resolver, name Name) (string, error) {
	if e.config.Tasks == nil {
		return "", fmt.Errorf("this entry does not manage tasks")
	}
	tasks, err := e.config.Tasks.List(ctx)
	if err != nil {
		return "", err
	}
	ids := make([]string, len(tasks))
	for i, task := range tasks {
		ids[i] = task.ID
		if task.ID == name.Value {
			lines := []string{fmt.Sprintf("task %s of team %s is %s after %d attempts: %s", task.ID, task.Team, task.Phase, task.Attempts, task.Reason)}
			return strings.Join(append(lines, task.History...), "\n") + "\n", nil
		}
	}
	return "", names.unknownName("task", name, ids)
}

// history lists the latest changes of an object, or by a command.
func (e *Evaluator) history(ctx context.Context, subject string) (lines []string, err error) {
	records, err := e.config.Audit.Latest(ctx, maxAuditRecords)
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		for _, change := range record.Changes {
			changed, effect := change.Describe()
			if changed != subject && "command "+record.CommandID != subject {
				continue
			}
			lines = append(lines, fmt.Sprintf("version %d at %s by %s: %s %s (%s)",
				record.Version, record.At.Format(time.RFC3339), record.By, changed, effect, record.Reason))
			if len(lines) == maxHistoryLines {
				return lines, nil
			}
		}
	}
	return lines, nil
}

package command

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/spelling"
)

// tableKind is a table that operators can query.
type tableKind struct {
	name    string
	columns []string
	fill    func(ctx context.Context, evaluator *Evaluator, table *Table) error
}

// maxAuditRecords limits the records that one query reads, so that a long audit trail does not exhaust the read quota of the table service.
const maxAuditRecords = 1000

var tableKinds = []tableKind{
	{"pools", []string{"Name", "Spare", "Instances", "Serving", "Slots", "MaxUnavailable", "MinAvailable", "Version", "By"}, showPools},
	{"budgets", []string{"Pool", "Available", "Unavailable", "Failed", "MaxUnavailable", "MinAvailable", "Left"}, showBudgets},
	{"instances", []string{
		"ID", "Pool", "Home", "DataCentre", "Rack", "Address", "Phase", "Cause", "Wave", "Since", "Version", "By", "Reason",
	}, showInstances},
	{"teams", []string{"Name", "Quota", "Version", "By"}, showTeams},
	{"waves", []string{"ID", "State", "Pools", "Done", "Total", "Started", "Ended", "Version", "By", "Reason"}, showWaves},
	{"options", []string{"Name", "Value", "Version", "By"}, showOptions},
	{"entries", []string{"ID", "DataCentre", "View", "HeadReadAge"}, showEntries},
	{"tasks", []string{"ID", "Team", "Pool", "Urgency", "Phase", "Worker", "Attempts", "Reason"}, showTasks},
	{"audit", []string{"Version", "From", "At", "By", "Command", "Subject", "Change", "Reason"}, showAudit},
}

func tableNames() []string {
	names := make([]string, len(tableKinds))
	for i, known := range tableKinds {
		names[i] = known.name
	}
	return names
}

func (e *Evaluator) show(ctx context.Context, show *Show, statement string) (table *Table, err error) {
	index := slices.IndexFunc(tableKinds, func(known tableKind) bool { return strings.EqualFold(known.name, show.Table.Value) })
	if index < 0 {
		return nil, &SyntaxError{
			Text: statement, Offset: show.Table.Pos.Offset, Message: fmt.Sprintf("cannot show %q", show.Table.Value),
			Nearest: spelling.Nearest(show.Table.Value, tableNames()),
		}
	}
	table = &Table{Columns: tableKinds[index].columns}
	if err = tableKinds[index].fill(ctx, e, table); err != nil {
		return nil, err
	}
	return table, table.applyQuery(show, statement)
}

func showPools(_ context.Context, e *Evaluator, table *Table) error {
	state := e.config.Log.State()
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		pool := state.Pools[name]
		members := state.Members(name)
		slots := 0
		for _, member := range members {
			if member.Phase == fleet.Serving {
				slots += member.Slots
			}
		}
		table.addRow(text(string(name)), yesNo(pool.Spare), number(len(members)), number(state.AvailableCount(name)), number(slots),
			number(pool.MaxUnavailable), number(pool.MinAvailable), version(pool.Version), text(pool.By))
	}
	return nil
}

func yesNo(value bool) Value {
	if value {
		return text("yes")
	}
	return text("no")
}

func showBudgets(_ context.Context, e *Evaluator, table *Table) error {
	state := e.config.Log.State()
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		pool := state.Pools[name]
		members := state.Members(name)
		available, failed := 0, 0
		for _, member := range members {
			switch member.Phase {
			case fleet.Serving:
				available++
			case fleet.Failed, fleet.Quarantined:
				failed++
			}
		}
		unavailable := len(members) - available
		left := max(0, min(pool.MaxUnavailable-unavailable, available-pool.MinAvailable))
		table.addRow(text(string(name)), number(available), number(unavailable), number(failed),
			number(pool.MaxUnavailable), number(pool.MinAvailable), number(left))
	}
	return nil
}

func showInstances(_ context.Context, e *Evaluator, table *Table) error {
	state := e.config.Log.State()
	for _, id := range slices.Sorted(maps.Keys(state.Instances)) {
		instance := state.Instances[id]
		table.addRow(text(string(id)), text(string(instance.Pool)), text(string(instance.Home)), text(string(instance.DataCentre)),
			text(string(instance.Rack)), text(instance.Address.String()), text(string(instance.Phase)), text(string(instance.Cause)),
			text(instance.Wave), timestamp(instance.PhaseSince), version(instance.Version), text(instance.By), text(instance.Reason))
	}
	return nil
}

func showTeams(_ context.Context, e *Evaluator, table *Table) error {
	state := e.config.Log.State()
	for _, name := range slices.Sorted(maps.Keys(state.Teams)) {
		team := state.Teams[name]
		table.addRow(text(string(name)), number(team.Quota), version(team.Version), text(team.By))
	}
	return nil
}

func showWaves(_ context.Context, e *Evaluator, table *Table) error {
	state := e.config.Log.State()
	for _, id := range slices.Sorted(maps.Keys(state.Waves)) {
		wave := state.Waves[id]
		done, total := waveProgress(state, wave)
		table.addRow(text(id), text(string(wave.State)), text(joinPools(wave.Pools)), number(done), number(total),
			timestamp(wave.Started), timestamp(wave.Ended), version(wave.Version), text(wave.By), text(wave.Reason))
	}
	return nil
}

func waveProgress(state *fleet.State, wave fleet.Wave) (done, total int) {
	for _, instance := range state.Instances {
		if !slices.Contains(wave.Pools, instance.Home) {
			continue
		}
		total++
		if !instance.Maintained.Before(wave.Started) {
			done++
		}
	}
	return done, total
}

func joinPools(pools []acaciatally.PoolName) string {
	names := make([]string, len(pools))
	for i, pool := range pools {
		names[i] = string(pool)
	}
	return strings.Join(names, ",")
}

func showOptions(_ context.Context, e *Evaluator, table *Table) error {
	options := e.config.Log.State().Options
	for _, name := range slices.Sorted(maps.Keys(options)) {
		option := options[name]
		if option.Value == "" {
			continue
		}
		table.addRow(text(name), text(option.Value), version(option.Version), text(option.By))
	}
	return nil
}

func showEntries(_ context.Context, e *Evaluator, table *Table) error {
	own := e.config.Self
	own.ViewVersion = e.config.Log.State().Version
	peers := []acaciatally.Peer{own}
	if e.config.Membership != nil {
		peers = append(peers, e.config.Membership.Live()...)
	}
	slices.SortFunc(peers, func(a, b acaciatally.Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, peer := range peers {
		table.addRow(text(string(peer.ID)), text(string(peer.DataCentre)), version(peer.ViewVersion), text(peer.HeadReadAge.String()))
	}
	return nil
}

func showTasks(ctx context.Context, e *Evaluator, table *Table) error {
	if e.config.Tasks == nil {
		return nil
	}
	tasks, err := e.config.Tasks.List(ctx)
	if err != nil {
		return err
	}
	for _, task := range tasks {
		table.addRow(text(task.ID), text(string(task.Team)), text(string(task.Pool)), text(task.Urgency.String()), text(task.Phase),
			text(string(task.Worker)), number(task.Attempts), text(task.Reason))
	}
	return nil
}

func showAudit(ctx context.Context, e *Evaluator, table *Table) error {
	records, err := e.config.Audit.Latest(ctx, maxAuditRecords)
	if err != nil {
		return err
	}
	for _, record := range records {
		for _, change := range record.Changes {
			subject, effect := change.Describe()
			table.addRow(version(record.Version), version(record.Version-1), timestamp(record.At), text(record.By),
				text(record.CommandID), text(subject), text(effect), text(record.Reason))
		}
	}
	return nil
}

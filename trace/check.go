package trace

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// check returns all faults of the trace at once.
func (t *Trace) check() error {
	faults := []error{
		must(t.Name != "", "Name is missing"),
		must(t.Deployment != "", "Deployment is missing"),
		must(len(t.DataCentres) > 0, "DataCentres is empty"),
		must(t.Entries > 0, "Entries must be positive"),
		must(t.Slots > 0, "Slots must be positive"),
		must(len(t.Pools) > 0, "Pools is empty"),
		must(t.Duration > 0, "Duration must be positive"),
		must(len(t.Load) > 0, "Load is empty"),
	}
	for i, pool := range t.Pools {
		faults = append(faults, must(pool.Workers > 0, "Pools[%d].Workers must be positive", i))
	}
	for i, load := range t.Load {
		faults = append(faults, t.checkLoad(fmt.Sprintf("Load[%d]", i), load)...)
	}
	for i, outcome := range t.Outcomes {
		faults = append(faults, t.checkOutcome(fmt.Sprintf("Outcomes[%d]", i), outcome)...)
	}
	return errors.Join(faults...)
}

func (t *Trace) checkLoad(at string, load Load) []error {
	shares := load.Urgency.Urgent + load.Urgency.Normal + load.Urgency.Background
	faults := []error{
		must(len(load.Pools) > 0, "%s.Pools is empty", at),
		must(len(load.Teams) > 0, "%s.Teams is empty", at),
		must(load.Demand > 0, "%s.Demand must be positive", at),
		must(load.Service > 0, "%s.Service must be positive", at),
		must(load.Deadline > 0, "%s.Deadline must be positive", at),
		must(load.Spread >= 0 && load.Otherwise >= 0 && load.Bytes >= 0, "%s has a negative value", at),
		must(shares > 0.999 && shares < 1.001, "%s.Urgency sums to %g, want 1", at, shares),
	}
	for _, pool := range load.Pools {
		known := slices.ContainsFunc(t.Pools, func(p Pool) bool { return p.Name == pool && !p.Spare })
		faults = append(faults, must(known, "%s.Pools names %q, which serves nothing", at, pool))
	}
	for _, team := range load.Teams {
		faults = append(faults, must(t.hasTeam(team), "%s.Teams names the unknown team %q", at, team))
	}
	for i, phase := range load.Phases {
		faults = append(faults, t.checkSpan(fmt.Sprintf("%s.Phases[%d]", at, i), phase.From, phase.To))
		overlaps := i > 0 && phase.From < load.Phases[i-1].To
		faults = append(faults, must(!overlaps, "%s.Phases[%d] starts before the previous phase ends", at, i))
	}
	return faults
}

func (t *Trace) checkOutcome(at string, outcome Outcome) []error {
	return []error{
		must(outcome.Name != "", "%s.Name is missing", at),
		t.checkSpan(at, outcome.From, outcome.To),
		must(outcome.OtherGoodputAtLeast >= 0 && outcome.OtherGoodputAtLeast <= 1, "%s.OtherGoodputAtLeast is no share", at),
		must(outcome.GoodputAtLeast >= 0 && outcome.GoodputAtLeast <= 1, "%s.GoodputAtLeast is no share", at),
		must(outcome != Outcome{Name: outcome.Name, From: outcome.From, To: outcome.To}, "%s owes nothing", at),
	}
}

func (t *Trace) checkSpan(at string, from, to time.Duration) error {
	return must(from >= 0 && from < to && to <= t.Duration, "%s must lie within the trace and end after it starts", at)
}

func (t *Trace) hasTeam(name acaciatally.TeamName) bool {
	return slices.ContainsFunc(t.Teams, func(team Team) bool { return team.Name == name })
}

func must(holds bool, format string, arguments ...any) error {
	if holds {
		return nil
	}
	return fmt.Errorf(format, arguments...)
}

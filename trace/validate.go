package trace

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/acaciatally/acaciatally"
)

// validate returns all errors of the trace joined, not just the first one.
func (t *Trace) validate() error {
	errs := []error{
		errorUnless(t.Name != "", "Name is missing"),
		errorUnless(t.Deployment != "", "Deployment is missing"),
		errorUnless(len(t.DataCentres) > 0, "DataCentres is empty"),
		errorUnless(t.Entries > 0, "Entries must be positive"),
		errorUnless(t.Slots > 0, "Slots must be positive"),
		errorUnless(len(t.Pools) > 0, "Pools is empty"),
		errorUnless(t.Duration > 0, "Duration must be positive"),
		errorUnless(len(t.Load) > 0, "Load is empty"),
	}
	for i, pool := range t.Pools {
		errs = append(errs, errorUnless(pool.Workers > 0, "Pools[%d].Workers must be positive", i))
	}
	for i, load := range t.Load {
		errs = append(errs, t.validateLoad(fmt.Sprintf("Load[%d]", i), load)...)
	}
	for i, outcome := range t.Outcomes {
		errs = append(errs, t.validateOutcome(fmt.Sprintf("Outcomes[%d]", i), outcome)...)
	}
	return errors.Join(errs...)
}

func (t *Trace) validateLoad(field string, load Load) []error {
	shares := load.Urgency.Urgent + load.Urgency.Normal + load.Urgency.Background
	errs := []error{
		errorUnless(len(load.Pools) > 0, "%s.Pools is empty", field),
		errorUnless(len(load.Teams) > 0, "%s.Teams is empty", field),
		errorUnless(load.Demand > 0, "%s.Demand must be positive", field),
		errorUnless(load.ServiceTime > 0, "%s.Service must be positive", field),
		errorUnless(load.Deadline > 0, "%s.Deadline must be positive", field),
		errorUnless(load.ServiceTimeSpread >= 0 && load.BaseFactor >= 0 && load.Bytes >= 0, "%s has a negative value", field),
		errorUnless(shares > 0.999 && shares < 1.001, "%s.Urgency sums to %g, want 1", field, shares),
	}
	for _, pool := range load.Pools {
		known := slices.ContainsFunc(t.Pools, func(p Pool) bool { return p.Name == pool && !p.Spare })
		errs = append(errs, errorUnless(known, "%s.Pools contains %q, which is not a serving pool", field, pool))
	}
	for _, team := range load.Teams {
		errs = append(errs, errorUnless(t.hasTeam(team), "%s.Teams contains the unknown team %q", field, team))
	}
	for i, phase := range load.Phases {
		errs = append(errs, t.validateTimeRange(fmt.Sprintf("%s.Phases[%d]", field, i), phase.From, phase.To))
		overlaps := i > 0 && phase.From < load.Phases[i-1].To
		errs = append(errs, errorUnless(!overlaps, "%s.Phases[%d] starts before the previous phase ends", field, i))
	}
	return errs
}

func (t *Trace) validateOutcome(field string, outcome Outcome) []error {
	return []error{
		errorUnless(outcome.Name != "", "%s.Name is missing", field),
		t.validateTimeRange(field, outcome.From, outcome.To),
		errorUnless(outcome.OtherGoodputAtLeast >= 0 && outcome.OtherGoodputAtLeast <= 1, "%s.OtherGoodputAtLeast must be between 0 and 1", field),
		errorUnless(outcome.GoodputAtLeast >= 0 && outcome.GoodputAtLeast <= 1, "%s.GoodputAtLeast must be between 0 and 1", field),
		errorUnless(outcome != Outcome{Name: outcome.Name, From: outcome.From, To: outcome.To}, "%s sets no bound", field),
	}
}

func (t *Trace) validateTimeRange(field string, from, to time.Duration) error {
	return errorUnless(from >= 0 && from < to && to <= t.Duration, "%s must lie within the trace and end after it starts", field)
}

func (t *Trace) hasTeam(name acaciatally.TeamName) bool {
	return slices.ContainsFunc(t.Teams, func(team Team) bool { return team.Name == name })
}

func errorUnless(condition bool, format string, arguments ...any) error {
	if condition {
		return nil
	}
	return fmt.Errorf(format, arguments...)
}

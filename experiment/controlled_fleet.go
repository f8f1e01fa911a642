package experiment

import (
	"context"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/control"
	"github.com/acaciatally/acaciatally/entry"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/model"
	"github.com/acaciatally/acaciatally/settings"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	// policyName is the policy name in figures of this system, as opposed to a baseline.
	policyName = "Acaciatally"
	// controlInterval is the time between two control rounds, the same for all policies.
	controlInterval  = time.Second
	rebootTime       = time.Minute
	rebootTimeSpread = 0.5 // reboots take between 30 s and 90 s
	drainTime        = 3 * time.Second
)

// controlledFleet runs the production control pipeline on simulated machines.
type controlledFleet struct {
	clock      *model.ManualClock
	machines   *model.Machines
	log        *changelog.Log
	controller *control.Controller
}

func newMachines(clock *model.ManualClock, seed uint64) *model.Machines {
	return model.NewMachines(model.MachinesConfig{Clock: clock, MeanRebootTime: rebootTime, RebootTimeSpread: rebootTimeSpread, MaxDrainTime: drainTime, Seed: seed})
}

func newControlledFleet(ctx context.Context, deployment *settings.Settings, seed uint64) (c *controlledFleet, err error) {
	clock, table := model.NewManualClock(), standin.NewTable()
	c = &controlledFleet{clock: clock, machines: newMachines(clock, seed)}
	c.log = changelog.New(changelog.Config{Table: table, Clock: clock})
	c.controller = entry.NewControl(control.Config{
		Log:        c.log,
		Lease:      changelog.NewLease(changelog.LeaseConfig{Table: table, Clock: clock, Name: control.LeaseName, Holder: "entry-1/1"}),
		Membership: c.machines, Observer: c.machines, List: c.machines, Instances: c.machines, Health: c.machines,
		Clock: clock, Weights: deployment.Weights, Control: deployment.Control, By: "entry-1",
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	return c, c.commit(ctx, "load", deployment.FleetChanges()...)
}

func (c *controlledFleet) commit(ctx context.Context, id string, changes ...fleet.Change) error {
	_, err := c.log.Commit(ctx, changelog.Proposal{CommandID: id, By: "experiment", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return changes, nil
	}})
	return err
}

// runRound advances the clock by one control interval and runs one control round.
func (c *controlledFleet) runRound(ctx context.Context) error {
	c.clock.Advance(controlInterval)
	_, err := c.controller.Round(ctx)
	return err
}

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
	// policyName is the name of the system's own policy beside the baselines.
	policyName = "Acaciatally"
	// controlInterval is the interval of rounds in every policy.
	controlInterval = time.Second
	rebootTime      = time.Minute
	rebootSpread    = 0.5 // reboots take between 30 s and 90 s
	drainTime       = 3 * time.Second
)

// controlled is a deployment under the real control pipeline on a modelled platform.
type controlled struct {
	clock      *model.Clock
	machines   *model.Machines
	log        *changelog.Log
	controller *control.Controller
}

func machinesOf(clock *model.Clock, seed uint64) *model.Machines {
	return model.NewMachines(model.MachinesConfig{Clock: clock, Reboot: rebootTime, Spread: rebootSpread, Drain: drainTime, Seed: seed})
}

func newControlled(ctx context.Context, deployment *settings.Settings, seed uint64) (c *controlled, err error) {
	clock, table := model.NewClock(), standin.NewTable()
	c = &controlled{clock: clock, machines: machinesOf(clock, seed)}
	c.log = changelog.New(changelog.Config{Table: table, Clock: clock})
	c.controller = entry.NewControl(control.Config{
		Log:        c.log,
		Lease:      changelog.NewLease(changelog.LeaseConfig{Table: table, Clock: clock, Name: control.LeaseName, Holder: "entry-1/1"}),
		Membership: c.machines, Observer: c.machines, List: c.machines, Instances: c.machines, Health: c.machines,
		Clock: clock, Weights: deployment.Weights, Control: deployment.Control, By: "entry-1",
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	return c, c.commit(ctx, "load", deployment.Changes()...)
}

func (c *controlled) commit(ctx context.Context, id string, changes ...fleet.Change) error {
	_, err := c.log.Commit(ctx, changelog.Proposal{CommandID: id, By: "experiment", Decide: func(*fleet.State) ([]fleet.Change, error) {
		return changes, nil
	}})
	return err
}

// round advances the clock by one interval and runs one control round.
func (c *controlled) round(ctx context.Context) error {
	c.clock.Advance(controlInterval)
	_, err := c.controller.Round(ctx)
	return err
}

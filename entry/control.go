package entry

import (
	"context"
	"strings"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/assessment"
	"github.com/acaciatally/acaciatally/changelog"
	"github.com/acaciatally/acaciatally/control"
	"github.com/acaciatally/acaciatally/observation"
	"github.com/acaciatally/acaciatally/task"
)

// NewControl returns a controller with its steps in the order in which they run.
func NewControl(config control.Config) *control.Controller {
	config.SetDefaults()
	assessor := assessment.New(assessment.Config{})
	return control.New(
		&config,
		control.NewObserve(&config, assessor),
		control.NewAssess(assessor),
		control.NewPlan(&config),
		control.NewApprove(&config),
		control.NewApply(&config),
		control.NewRecord(&config),
	)
}

// holderSeparator separates the entry's id from its incarnation in the holder name of a lease.
const holderSeparator = "/"

func newControlLease(p *Process) *changelog.Lease {
	limits := p.config.Settings.Control
	return changelog.NewLease(changelog.LeaseConfig{
		Table: p.config.Table, Clock: p.config.Clock, Name: control.LeaseName, Term: limits.LeaseTerm, Renewal: limits.LeaseRenewal,
		Holder: string(p.config.Entry.ID) + holderSeparator + p.peers.self.Incarnation,
	})
}

// observers records the traffic of this entry, shares it with the holder of the control lease and collects what other entries share.
type observers struct {
	recorder  *observation.Recorder
	collector *observation.Collector
	sharer    *observation.Sharer
}

func newObservers(p *Process) *observers {
	o := &observers{
		recorder: observation.NewRecorder(observation.RecorderConfig{
			Entry: p.config.Entry.ID, Slots: p.peers.slots, Clock: p.config.Clock,
		}),
		collector: observation.NewCollector(p.config.Clock),
	}
	o.sharer = observation.NewSharer(observation.SharerConfig{
		Recorder: o.recorder, Collector: o.collector, Entry: p.config.Entry.ID, Membership: p.peers.membership, Holder: p.holder,
	})
	return o
}

// holder returns the entry that holds the control lease according to the last known state of the lease.
func (p *Process) holder() acaciatally.EntryID {
	entry, _, _ := strings.Cut(p.lease.Holder(), holderSeparator)
	return acaciatally.EntryID(entry)
}

// taskTable looks up the tasks of a worker in the table service.
type taskTable struct{ table acaciatally.TableService }

// TasksOnWorker returns the ids of the pool's tasks that may be running on the worker.
func (t taskTable) TasksOnWorker(ctx context.Context, pool acaciatally.PoolName, worker acaciatally.InstanceID) (ids []string, err error) {
	return task.TasksOnWorker(ctx, t.table, pool, worker)
}

// runControl runs this entry's controller until ctx is done. It does nothing without access to the platform's instances.
func (p *Process) runControl(ctx context.Context) error {
	if p.config.Instances == nil || p.config.List == nil {
		return nil
	}
	controller := NewControl(control.Config{
		Log: p.log, Lease: p.lease, Membership: p.peers.membership, Observer: p.observers.collector, List: p.config.List,
		Instances: p.config.Instances, Health: newHealthChecker(p.log.State, p.config.Dial), Clock: p.config.Clock,
		Control: p.config.Settings.Control, Weights: p.config.Settings.Weights,
		By: string(p.config.Entry.ID), Logger: p.config.Logger, Tasks: taskTable{p.config.Table},
	})
	return controller.Run(ctx)
}

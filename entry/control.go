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

// NewControl returns the control pipeline in the order in which its steps run.
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

// holderSeparator stands between the entry and its incarnation in the name of a lease's holder.
const holderSeparator = "/"

func newControlLease(p *Process) *changelog.Lease {
	limits := p.config.Settings.Control
	return changelog.NewLease(changelog.LeaseConfig{
		Table: p.config.Table, Clock: p.config.Clock, Name: control.LeaseName, Term: limits.LeaseTerm, Renewal: limits.LeaseRenewal,
		Holder: string(p.config.Entry.ID) + holderSeparator + p.peers.self.Incarnation,
	})
}

// watch is what this entry notes of its traffic and hears of the traffic of others.
type watch struct {
	recorder  *observation.Recorder
	collector *observation.Collector
	sharer    *observation.Sharer
}

func newWatch(p *Process) *watch {
	w := &watch{
		recorder: observation.NewRecorder(observation.RecorderConfig{
			Entry: p.config.Entry.ID, Slots: p.peers.slots, Clock: p.config.Clock,
		}),
		collector: observation.NewCollector(p.config.Clock),
	}
	w.sharer = observation.NewSharer(observation.SharerConfig{
		Recorder: w.recorder, Collector: w.collector, Entry: p.config.Entry.ID, Membership: p.peers.keeper, Holder: p.holder,
	})
	return w
}

// holder returns the entry that holds the control lease as far as it is known.
func (p *Process) holder() acaciatally.EntryID {
	entry, _, _ := strings.Cut(p.lease.Holder(), holderSeparator)
	return acaciatally.EntryID(entry)
}

// workerTasks reads the tasks of a worker from their rows.
type workerTasks struct{ table acaciatally.TableService }

// OnWorker returns the ids of the pool's tasks that may be running on the worker.
func (w workerTasks) OnWorker(ctx context.Context, pool acaciatally.PoolName, worker acaciatally.InstanceID) (ids []string, err error) {
	return task.OnWorker(ctx, w.table, pool, worker)
}

// runControl takes part in control until ctx ends.
func (p *Process) runControl(ctx context.Context) error {
	if p.config.Instances == nil || p.config.List == nil {
		return nil
	}
	controller := NewControl(control.Config{
		Log: p.log, Lease: p.lease, Membership: p.peers.keeper, Observer: p.watch.collector, List: p.config.List,
		Instances: p.config.Instances, Health: newHealth(p.log.State, p.config.Dial), Clock: p.config.Clock,
		Control: p.config.Settings.Control, Weights: p.config.Settings.Weights,
		By: string(p.config.Entry.ID), Logger: p.config.Logger, Tasks: workerTasks{p.config.Table},
	})
	return controller.Run(ctx)
}

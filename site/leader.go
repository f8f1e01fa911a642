package site

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/overload"
)

// maxWorkerLease covers the crash of a leader, the rest of its lease term and the start of the next leader, so that runs survive them.
const maxWorkerLease = 6 * time.Second

// entitlement returns the entitlement of accounts beyond their weights, for the admission of their jobs.
func (p *Process) entitlement() overload.Config {
	return overload.Config{Overage: p.config.QuotaOverage, Window: p.config.QuotaWindow, Extra: p.config.QuotaSlack}
}

// runLeader dispatches jobs and manages instances during one term of leadership.
func (p *Process) runLeader(ctx context.Context, epoch uint64) {
	var runner *dispatch.Runner
	var fleet *fleetRunner
	if p.config.Fleet != nil {
		fleet = newFleetRunner(p, epoch, func(f func()) { runner.Post(ctx, f) })
	}
	delay := startDelay{inherited: p.elector.StartDelay()}
	p.startDelay.Store(int64(delay.inherited))
	accounts := newAccountAdmission(p.entitlement(), p.elector.Overload(), p.config.EventLog)
	p.overload.Store(accounts.published)
	p.backlog.begin()
	defer p.backlog.end()
	round := func(scheduler *dispatch.Scheduler, now time.Duration) {
		if fleet != nil {
			fleet.round(ctx, scheduler, now)
		}
		if now >= delay.nextAt {
			p.startDelay.Store(int64(delay.update(scheduler.StartDelay(now), now)))
			p.overload.Store(accounts.update(scheduler.AccountLoads(now), now))
			p.backlog.update(scheduler, runner.HasUnloaded(), now)
		}
	}
	defer p.startDelay.Store(0)
	defer p.overload.Store(nil)
	defer accounts.stop()
	runner = dispatch.NewRunner(dispatch.RunnerConfig{
		Round: round,
		Store: p.config.Store, Orders: p.config.Orders, Adviser: p.config.Adviser, WorkerTable: p.config.WorkerTable, DecodeWorker: p.config.DecodeWorker,
		Configuration: p.watcher.configuration.Load, Now: p.config.Now,
		Leads:            func() bool { return p.elector.Leads(epoch) },
		OnLeadershipLost: p.elector.Resign, LoadsAtOnce: loadsAtOnce(p.config.LinkBitsPerSecond),
		Scheduler: p.schedulerConfig(epoch),
	})
	if err := runner.Run(ctx); err != nil {
		p.config.EventLog.LeadershipChanged(epoch, false, err.Error())
	}
}

// schedulerConfig returns the configuration of the scheduler of a term of leadership that begins now.
func (p *Process) schedulerConfig(epoch uint64) dispatch.Config {
	return dispatch.Config{
		Epoch: epoch, WorkerLease: min(maxWorkerLease, p.config.MaxLease), MaxLease: p.config.MaxLease,
		Retention: p.config.Retention, MaxEarlyStart: p.config.MaxEarlyStart, LeadershipStart: p.config.Now(), EventLog: p.config.EventLog,
		MaxCommitBytes: commitBytes(p.config.LinkBitsPerSecond), MaxRecordBytes: p.config.MaxRecordBytes, MaxBacklogBytes: p.config.MaxBacklogBytes,
		Interference: p.config.Interference, IgnoreWorkerSpeed: p.config.IgnoreWorkerSpeed,
		QuotaOverage: p.config.QuotaOverage, QuotaWindow: p.config.QuotaWindow, QuotaSlack: p.config.QuotaSlack,
	}
}

package site

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/roster"
)

const (
	// minListInterval is the shortest interval at which the list of instances is refreshed.
	minListInterval = 400 * time.Millisecond
	// maxListInterval bounds how late a change of an instance is noticed.
	maxListInterval = 2 * time.Second
	// listedInstanceBits is the size of one instance in a list.
	listedInstanceBits = 8 * 180
	// listLinkShare is the part of the entry's link that the lists of a large fleet may take, since orders to workers share the link.
	listLinkShare = 0.05
	// planInterval is the interval at which moves and maintenance are planned.
	planInterval = 100 * time.Millisecond
)

// fleetRunner moves and maintains instances during one term of leadership. Its fields are used only in the goroutine that runs the dispatch
// rounds.
type fleetRunner struct {
	process          *Process
	post             func(f func())
	leads            func() bool // whether this entry may act as the leader now
	roster           *roster.Roster
	nextPlanAt       time.Duration
	listInFlight     bool
	nextListAt       time.Duration
	waves            *waveStore
	waveVersions     map[int]uint64 // versions of the records of waves as this leader has seen them
	waveCallInFlight bool
}

func newFleetRunner(p *Process, epoch uint64, post func(f func())) *fleetRunner {
	leads := func() bool { return p.elector.Leads(epoch) }
	return &fleetRunner{
		process: p, post: post, leads: leads,
		roster: roster.New(roster.Config{
			Epoch: epoch, Holder: p.config.Name, MoveTime: p.config.MoveTime, MaintenanceTime: p.config.MaintenanceTime,
			Capacity: capacityConfig(p.config.OrdersPerSecond), OrdersPerSecond: p.config.OrdersPerSecond, EventLog: p.config.EventLog,
		}),
		waves: &waveStore{store: p.config.Store, epoch: epoch, status: p.config.WaveStatus}, waveVersions: map[int]uint64{},
	}
}

// capacityConfig lets one plan start as many moves as the platform's rate limit allows orders until the next plan.
func capacityConfig(ordersPerSecond float64) (config capacity.Config) {
	config = capacity.Defaults()
	config.MaxMoves = max(config.MaxMoves, int(ordersPerSecond*planInterval.Seconds()))
	return config
}

// round plans moves and maintenance and sends the orders, at most once per planInterval. It runs in the goroutine of the dispatch rounds.
func (f *fleetRunner) round(ctx context.Context, scheduler *dispatch.Scheduler, now time.Duration) {
	if now < f.nextPlanAt {
		return
	}
	f.nextPlanAt = now + planInterval
	f.refreshInstances(ctx, now)
	f.loadWaves(ctx)
	scheduler.SetWorkersToDrain(f.roster.Plan(scheduler, f.process.watcher.configuration.Load(), now))
	f.storeWaves(ctx, scheduler)
	f.sendOrders(ctx, scheduler, now)
}

// sendOrders sends the orders that are due.
func (f *fleetRunner) sendOrders(ctx context.Context, scheduler *dispatch.Scheduler, now time.Duration) {
	for _, order := range f.roster.Orders(scheduler, now) {
		go f.sendOrder(ctx, scheduler, order)
	}
}

func (f *fleetRunner) refreshInstances(ctx context.Context, now time.Duration) {
	if f.listInFlight || now < f.nextListAt {
		return
	}
	f.listInFlight = true
	go func() {
		instances, err := f.process.config.Fleet.ListInstances(ctx)
		f.post(func() {
			f.listInFlight, f.nextListAt = false, now+listInterval(len(instances), f.process.config.LinkBitsPerSecond)
			if err == nil {
				f.roster.SetFleet(instances, now)
			}
		})
	}()
}

// listInterval returns the interval at which a fleet of that many instances is listed over a link; 0 bits per second is unlimited.
func listInterval(instances int, linkBitsPerSecond float64) time.Duration {
	if linkBitsPerSecond <= 0 {
		return minListInterval
	}
	seconds := float64(instances*listedInstanceBits) / (listLinkShare * linkBitsPerSecond)
	return min(maxListInterval, max(minListInterval, time.Duration(seconds*float64(time.Second))))
}

// loadWaves adds the waves that are new to this leader, with the progress that earlier leaders have stored, one read at a time.
func (f *fleetRunner) loadWaves(ctx context.Context) {
	for _, observed := range f.process.watcher.allWaves() {
		if f.waveCallInFlight || f.roster.HasWave(observed.wave.Number) {
			continue
		}
		f.waveCallInFlight = true
		go func() {
			record, version, err := f.waves.read(ctx, observed.wave.Number)
			f.post(func() {
				f.waveCallInFlight = false
				if err == nil {
					f.waveVersions[observed.wave.Number] = version
					f.roster.AddWave(observed.wave, observed.firstSeen, record)
				}
			})
		}()
	}
}

func (f *fleetRunner) sendOrder(ctx context.Context, scheduler *dispatch.Scheduler, order roster.Order) {
	err := f.callFleet(ctx, order)
	f.post(func() {
		if f.roster.OrderFinished(scheduler, order, err, f.process.config.Now()) {
			f.process.elector.Resign(0)
		}
		f.sendOrders(ctx, scheduler, f.process.config.Now()) // orders that waited for this result
	})
}

// callFleet sends an order to the instance control, unless the lease has expired since the order was planned, as after a pause of the
// process: the next leader may have ordered the instance by then, and not every platform compares fencing tokens.
func (f *fleetRunner) callFleet(ctx context.Context, order roster.Order) error {
	if !f.leads() {
		return acaciatally.ErrUnavailable
	}
	if order.Maintain {
		return f.process.config.Fleet.StartMaintenance(ctx, order.Lease, order.Instance, order.Wave)
	}
	return f.process.config.Fleet.Move(ctx, order.Lease, order.Instance, order.To)
}

// storeWaves stores the progress of waves, for operators and for the next leader, one wave at a time, and sends the orders that wait for it.
func (f *fleetRunner) storeWaves(ctx context.Context, scheduler *dispatch.Scheduler) {
	records := f.roster.UnsavedWaves()
	if f.waveCallInFlight || len(records) == 0 {
		return
	}
	f.waveCallInFlight = true
	record := records[0]
	seen := f.waveVersions[record.Number]
	go func() {
		result := f.waves.write(ctx, record, seen)
		f.post(func() {
			f.waveCallInFlight = false
			if result.version > 0 {
				f.waveVersions[record.Number] = result.version
			}
			if result.newerEpoch > 0 {
				f.process.elector.Resign(result.newerEpoch)
			}
			if result.stored {
				f.roster.WaveSaved(record)
				f.sendOrders(ctx, scheduler, f.process.config.Now())
			}
		})
	}()
}

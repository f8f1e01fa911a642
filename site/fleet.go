package site

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
	"github.com/acaciatally/acaciatally/dispatch"
	"github.com/acaciatally/acaciatally/roster"
)

const (
	// waveTable holds what was done of each wave.
	waveTable = "Wave"
	// listEvery bounds the age of the list of instances.
	listEvery = 400 * time.Millisecond
	// fleetEvery is the time between two plans of moves and maintenance.
	fleetEvery = 100 * time.Millisecond
)

// fleetRunner moves and maintains instances during one tenure; its fields belong to the goroutine that decides.
type fleetRunner struct {
	process *Process
	post    func(f func())
	roster  *roster.Roster
	planAt  time.Duration
	listing bool
	listAt  time.Duration
	saving  bool
}

func newFleetRunner(p *Process, epoch uint64, post func(f func())) *fleetRunner {
	return &fleetRunner{process: p, post: post, roster: roster.New(roster.Config{
		Epoch: epoch, Holder: p.config.Name, MoveTime: p.config.MoveTime, MaintenanceTime: p.config.MaintenanceTime,
		Capacity: fleetPlan(p.config.OrdersPerSecond), OrdersPerSecond: p.config.OrdersPerSecond, Journal: p.config.Journal,
	})}
}

// fleetPlan begins as many moves at once as the instance control takes orders until the next plan.
func fleetPlan(ordersPerSecond float64) (config capacity.Config) {
	config = capacity.Defaults()
	config.LargestStep = max(config.LargestStep, int(ordersPerSecond*fleetEvery.Seconds()))
	return config
}

// round plans and sends what is due; it runs in the goroutine that decides.
func (f *fleetRunner) round(ctx context.Context, m *dispatch.Machine, now time.Duration) {
	if now < f.planAt {
		return
	}
	f.planAt = now + fleetEvery
	f.list(ctx, now)
	f.takeWaves(ctx)
	m.Withhold(f.roster.Plan(m, f.process.follower.configuration.Load(), now))
	f.send(ctx, m, now)
	f.save(ctx)
}

// send sends the orders that may be sent now.
func (f *fleetRunner) send(ctx context.Context, m *dispatch.Machine, now time.Duration) {
	for _, order := range f.roster.Orders(m, now) {
		go f.order(ctx, m, order)
	}
}

func (f *fleetRunner) list(ctx context.Context, now time.Duration) {
	if f.listing || now < f.listAt {
		return
	}
	f.listing = true
	go func() {
		list, err := f.process.config.Fleet.Fleet(ctx)
		f.post(func() {
			f.listing, f.listAt = false, now+listEvery
			if err == nil {
				f.roster.SetFleet(list, now)
			}
		})
	}()
}

// takeWaves reads what earlier leaders have recorded of waves that are new to this one.
func (f *fleetRunner) takeWaves(ctx context.Context) {
	for _, seen := range f.process.follower.allWaves() {
		if f.saving || f.roster.Knows(seen.wave.Number) {
			continue
		}
		f.saving = true
		go func() {
			record, err := f.recorded(ctx, seen.wave.Number)
			f.post(func() {
				f.saving = false
				if err == nil {
					f.roster.AddWave(seen.wave, seen.at, record.Finished, record.Completed)
				}
			})
		}()
	}
}

func waveKey(number int) acaciatally.RecordKey {
	return acaciatally.RecordKey{Table: waveTable, Key: strconv.Itoa(number)}
}

func (f *fleetRunner) recorded(ctx context.Context, number int) (record roster.WaveRecord, err error) {
	key := waveKey(number)
	page, err := f.process.config.Store.Read(ctx, acaciatally.RecordRange{Table: key.Table, From: key.Key, To: key.Key + "\x00"})
	if err != nil || len(page.Records) == 0 {
		return record, err
	}
	err = json.Unmarshal(page.Records[0].Value, &record)
	return record, err
}

func (f *fleetRunner) order(ctx context.Context, m *dispatch.Machine, order roster.Order) {
	var err error
	if order.Maintain {
		err = f.process.config.Fleet.Maintain(ctx, order.Lease, order.Instance, order.Wave)
	} else {
		err = f.process.config.Fleet.Move(ctx, order.Lease, order.Instance, order.To)
	}
	f.post(func() {
		if f.roster.Ordered(m, order, err, f.process.config.Now()) {
			f.process.keeper.Resign()
		}
		f.send(ctx, m, f.process.config.Now()) // the next one, which waited for this answer
	})
}

// save records the progress of waves, for operators and for the next leader.
func (f *fleetRunner) save(ctx context.Context) {
	records := f.roster.Records()
	if f.saving || len(records) == 0 {
		return
	}
	f.saving = true
	record := records[0]
	go func() {
		err := f.write(ctx, record)
		f.post(func() {
			f.saving = false
			if err == nil {
				f.roster.Recorded(record)
			}
		})
	}()
}

func (f *fleetRunner) write(ctx context.Context, record roster.WaveRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = f.process.config.Store.Commit(ctx, acaciatally.RecordTransaction{Writes: []acaciatally.RecordWrite{
		{RecordKey: waveKey(record.Number), Value: value},
		f.process.config.WaveStatus(record.Number, record.Completed),
	}})
	return err
}

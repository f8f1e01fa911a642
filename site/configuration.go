package site

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
)

const (
	followWait = time.Second
	retryPause = 100 * time.Millisecond
)

// OperatorRecords says how the operators' table is read.
type OperatorRecords struct {
	Table               string
	ConfigurationKey    string
	DecodeConfiguration func(value []byte) (configuration *acaciatally.Configuration, err error)
	DecodeWave          func(record acaciatally.Record) (wave acaciatally.MaintenanceWave, ok bool, err error)
}

// follower keeps what the operators write.
type follower struct {
	store         acaciatally.RecordStore
	records       OperatorRecords
	journal       Journal
	now           func() time.Duration
	age           func() time.Duration // of the store's last answer
	configuration atomic.Pointer[acaciatally.Configuration]
	routes        atomic.Pointer[intake.Routes]
	mutex         sync.Mutex
	waves         map[int]seenWave
	lost          bool
	lostAt        time.Duration // time of the last answer before the store was lost
}

// seenWave is a wave and when it was first seen.
type seenWave struct {
	wave acaciatally.MaintenanceWave
	at   time.Duration
}

// run follows the operators' table until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := f.store.Read(ctx, acaciatally.RecordRange{Table: f.records.Table})
		f.answered(err)
		if err != nil {
			acaciatally.Pause(ctx, retryPause)
			continue
		}
		f.take(page.Records)
		f.follow(ctx, page.Version)
	}
}

func (f *follower) follow(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		page, err := f.store.Follow(ctx, f.records.Table, version, followWait)
		if errors.Is(err, acaciatally.ErrHistoryGone) {
			return
		}
		f.answered(err)
		if err != nil {
			acaciatally.Pause(ctx, retryPause)
			continue
		}
		version = page.Version
		f.take(page.Records)
	}
}

// answered notes whether the store answers.
func (f *follower) answered(err error) {
	if err != nil && !f.lost {
		f.lost, f.lostAt = true, f.now()-f.age()
		f.journal.Dependency("record store", false, f.age(), err)
	}
	if err == nil && f.lost {
		f.lost = false
		f.journal.Dependency("record store", true, f.now()-f.lostAt, nil)
	}
}

func (f *follower) take(records []acaciatally.Record) {
	for _, record := range records {
		if record.Deleted {
			continue
		}
		if record.Key == f.records.ConfigurationKey {
			f.configure(record)
			continue
		}
		wave, ok, err := f.records.DecodeWave(record)
		if err != nil {
			f.journal.EntryIgnored(record.RecordKey, record.Version, err)
			continue
		}
		if ok {
			f.addWave(wave)
		}
	}
}

func (f *follower) addWave(wave acaciatally.MaintenanceWave) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, known := f.waves[wave.Number]; !known {
		f.waves[wave.Number] = seenWave{wave: wave, at: f.now()}
	}
}

// allWaves returns the waves seen so far.
func (f *follower) allWaves() (waves []seenWave) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, wave := range f.waves {
		waves = append(waves, wave)
	}
	return waves
}

// configure puts a newer configuration in force; an older one changes nothing.
func (f *follower) configure(record acaciatally.Record) {
	configuration, err := f.records.DecodeConfiguration(record.Value)
	if err != nil {
		f.journal.ConfigurationIgnored(record.Version, err)
		return
	}
	if current := f.configuration.Load(); current != nil && configuration.Version <= current.Version {
		return
	}
	f.configuration.Store(configuration)
	f.routes.Store(intake.NewRoutes(configuration))
	f.journal.ConfigurationTaken(configuration.Version, record.Version, len(configuration.Queues))
}

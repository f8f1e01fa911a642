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
	followTimeout = time.Second
	retryDelay    = 100 * time.Millisecond
)

// OperatorRecords describes the operators' table and how its records are decoded.
type OperatorRecords struct {
	Table               string
	ConfigurationKey    string
	DecodeConfiguration func(value []byte) (configuration *acaciatally.Configuration, err error)
	// DecodeWave decodes a maintenance wave; ok is false if the record is not a wave.
	DecodeWave func(record acaciatally.Record) (wave acaciatally.MaintenanceWave, ok bool, err error)
}

// operatorWatcher follows the operators' table and keeps the current configuration and the maintenance waves.
type operatorWatcher struct {
	store             acaciatally.RecordStore
	records           OperatorRecords
	eventLog          EventLog
	now               func() time.Duration
	sinceLastResponse func() time.Duration // age of the store's last response
	configuration     atomic.Pointer[acaciatally.Configuration]
	routes            atomic.Pointer[intake.Routes]
	mutex             sync.Mutex
	waves             map[int]observedWave
	age               configurationAge
	applyMutex        sync.Mutex // held while records are applied, which may come from two calls at the same time
	newestRecord      uint64     // version of the newest record of the configuration that was applied or can't be decoded
	unreachable       bool
	unreachableSince  time.Duration // time of the last response before the store became unreachable
}

// observedWave is a maintenance wave with the time at which this entry first saw it.
type observedWave struct {
	wave      acaciatally.MaintenanceWave
	firstSeen time.Duration
}

// run follows the operators' table until ctx ends, and reads it anew whenever the store has compacted the history it needs.
func (w *operatorWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := w.now()
		page, err := w.store.Read(ctx, acaciatally.RecordRange{Table: w.records.Table})
		w.reportReachability(err)
		if err != nil {
			acaciatally.Sleep(ctx, retryDelay)
			continue
		}
		w.apply(page.Records, sentAt)
		w.follow(ctx, page.Version)
	}
}

func (w *operatorWatcher) follow(ctx context.Context, version uint64) {
	for ctx.Err() == nil {
		sentAt := w.now()
		page, err := w.store.Follow(ctx, w.records.Table, version, w.followWait())
		if errors.Is(err, acaciatally.ErrHistoryGone) {
			return
		}
		w.reportReachability(err)
		if err != nil {
			acaciatally.Sleep(ctx, retryDelay)
			continue
		}
		version = page.Version
		w.apply(page.Records, sentAt)
	}
}

// reportReachability logs when the store becomes unreachable or reachable again; err is the result of the last call.
func (w *operatorWatcher) reportReachability(err error) {
	if err != nil && !w.unreachable {
		w.unreachable, w.unreachableSince = true, w.now()-w.sinceLastResponse()
		w.eventLog.DependencyChanged("record store", false, w.sinceLastResponse(), err)
	}
	if err == nil && w.unreachable {
		w.unreachable = false
		w.eventLog.DependencyChanged("record store", true, w.now()-w.unreachableSince, nil)
	}
}

// apply applies the records in the response to a call sent at a time.
func (w *operatorWatcher) apply(records []acaciatally.Record, sentAt time.Duration) {
	w.applyMutex.Lock()
	defer w.applyMutex.Unlock()
	defer w.age.confirm(sentAt) // after the configuration has been replaced
	for _, record := range records {
		if record.Deleted {
			continue
		}
		if record.Key == w.records.ConfigurationKey {
			w.applyConfiguration(record)
			continue
		}
		wave, ok, err := w.records.DecodeWave(record)
		if err != nil {
			w.eventLog.RecordIgnored(record.RecordKey, record.Version, err)
			continue
		}
		if ok {
			w.addWave(wave)
		}
	}
}

func (w *operatorWatcher) addWave(wave acaciatally.MaintenanceWave) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, exists := w.waves[wave.Number]; !exists {
		w.waves[wave.Number] = observedWave{wave: wave, firstSeen: w.now()}
	}
}

// allWaves returns the waves observed so far.
func (w *operatorWatcher) allWaves() (waves []observedWave) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, wave := range w.waves {
		waves = append(waves, wave)
	}
	return waves
}

// applyConfiguration applies the configuration in a record unless the current one has the same or a later version.
func (w *operatorWatcher) applyConfiguration(record acaciatally.Record) {
	configuration, err := w.records.DecodeConfiguration(record.Value)
	if record.Version >= w.newestRecord { // else it is from the response to an earlier call
		w.newestRecord = record.Version
		w.age.unknown.Store(err != nil)
	}
	if err != nil {
		w.eventLog.ConfigurationIgnored(record.Version, err)
		return
	}
	if current := w.configuration.Load(); current != nil && configuration.Version <= current.Version {
		return
	}
	w.routes.Store(intake.NewRoutes(configuration)) // before the leader acts by the configuration
	w.configuration.Store(configuration)
	w.eventLog.ConfigurationApplied(configuration.Version, record.Version, len(configuration.Queues), len(configuration.Accounts))
	for _, warning := range configuration.Warnings {
		w.eventLog.ConfigurationPartIgnored(record.Version, warning)
	}
}

package site

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/acaciatally/acaciatally"
)

const (
	// confirmationsPerMaxAge is how often within the bound on the configuration's age an entry checks whether it has to read the configuration, so
	// that several lost responses in a row do not exceed the bound.
	confirmationsPerMaxAge = 8
	// followsPerMaxAge is how many waits for a change fit within the bound, so that the usual age is well below it.
	followsPerMaxAge = 4
	// minFollowWait and minConfirmationInterval bound the calls to the store where the settings have a bound on the age that is too short to keep.
	minFollowWait           = 250 * time.Millisecond
	minConfirmationInterval = 100 * time.Millisecond
)

// configurationAge measures the age of the configuration: the time since this entry sent the last call whose response showed that no newer
// configuration than the current one exists. The clock includes the time in which the machine was suspended.
type configurationAge struct {
	now func() time.Duration
	max time.Duration // bound on the age while accounts are configured
	// confirmedAt is the time in nanoseconds at which that call was sent. It is changed after the configuration, so that a reader which loads it
	// before the configuration never takes an older one for confirmed.
	confirmedAt atomic.Int64
	unknown     atomic.Bool // the newest configuration can't be decoded, so that the current one is not the newest
}

// get returns the age.
func (a *configurationAge) get() time.Duration { return a.now() - time.Duration(a.confirmedAt.Load()) }

// confirm notes that the response to a call sent at a time was applied. It is not safe for concurrent use.
func (a *configurationAge) confirm(sentAt time.Duration) {
	if !a.unknown.Load() && int64(sentAt) > a.confirmedAt.Load() {
		a.confirmedAt.Store(int64(sentAt))
	}
}

// needsConfirmationIn returns the time after which the configuration is to be read unless one of the usual calls has confirmed it; it is not
// positive if that is due.
func (a *configurationAge) needsConfirmationIn() time.Duration {
	if a.unknown.Load() {
		return a.max // no call can confirm it
	}
	return a.max/2 - a.get()
}

// hasAccounts reports whether the current configuration has accounts.
func (w *operatorWatcher) hasAccounts() bool {
	configuration := w.configuration.Load()
	return configuration != nil && configuration.Accounts != nil
}

// followWait returns how long the store may wait for a change before it answers that there is none.
func (w *operatorWatcher) followWait() time.Duration {
	if !w.hasAccounts() {
		return followTimeout
	}
	return max(minFollowWait, min(followTimeout, w.age.max/followsPerMaxAge))
}

// confirmConfiguration reads the configuration whenever it has accounts and is older than half of the bound on its age, as after a lost
// response or a pause of the process: keys are checked again sooner than by the call that waits for changes, which has a long timeout.
func (w *operatorWatcher) confirmConfiguration(ctx context.Context) {
	interval := max(minConfirmationInterval, w.age.max/confirmationsPerMaxAge)
	for ctx.Err() == nil {
		due := w.age.needsConfirmationIn()
		if !w.hasAccounts() || due > 0 {
			acaciatally.Sleep(ctx, max(minConfirmationInterval, min(interval, due)))
			continue
		}
		sentAt := w.now()
		page, err := w.readConfiguration(ctx, interval)
		if err == nil {
			w.apply(page.Records, sentAt)
		}
		acaciatally.Sleep(ctx, sentAt+interval-w.now()) // the interval between two reads
	}
}

// readConfiguration reads the record of the configuration.
func (w *operatorWatcher) readConfiguration(ctx context.Context, timeout time.Duration) (page acaciatally.RecordPage, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.store.Read(ctx, acaciatally.RecordRange{
		Table: w.records.Table, From: w.records.ConfigurationKey, To: w.records.ConfigurationKey + "\x00",
	})
}

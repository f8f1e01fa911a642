package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/ulid/v2"

	"github.com/acaciatally/acaciatally"
)

const (
	sweepRows = 100 // rows a scan; with answers of 16 KiB the response stays below 4 MiB
	// sweepBusy and sweepCalm are the pauses between scans with and without more rows to delete: at most one read and one
	// write a second and entry.
	sweepBusy = time.Second
	sweepCalm = time.Minute
	sweepSkew = 2 * time.Minute // twice urgency.MaxClockSkew: the clocks of the caller and of two entries may differ
)

// SweeperConfig is what a Sweeper needs.
type SweeperConfig struct {
	Table acaciatally.TableService
	// Retention is the age up to which ids are accepted, MaxDeadline the longest time from there to the send; a claim is
	// deleted only when neither a new claim nor a late send of its id is possible any more.
	Retention   time.Duration
	MaxDeadline time.Duration
	Clock       acaciatally.Clock
	Random      *rand.Rand // spreads the scans of several entries
	Metrics     *metrics.Set
}

// Sweeper deletes claims past the retention.
type Sweeper struct {
	config  SweeperConfig
	deleted *metrics.Counter
}

// NewSweeper returns a sweeper that works once Run is called.
func NewSweeper(config SweeperConfig) *Sweeper {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Sweeper{config: config, deleted: config.Metrics.GetOrCreateCounter("acaciatally_claims_deleted_total")}
}

// Run sweeps until ctx ends; failed calls are left to the next sweep.
func (s *Sweeper) Run(ctx context.Context) (err error) {
	pause := sweepCalm
	for {
		spread := time.Duration(s.config.Random.Int64N(int64(pause)))
		timer := time.NewTimer(pause/2 + spread)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		pause = sweepCalm
		if more, err := s.Sweep(ctx); err == nil && more {
			pause = sweepBusy
		}
	}
}

// Sweep deletes the oldest expired claims with one scan and at most one commit; more reports that there may be others.
func (s *Sweeper) Sweep(ctx context.Context) (more bool, err error) {
	rows, err := s.config.Table.Scan(ctx, keyPrefix, "", sweepRows) // ULIDs order the rows by time
	if err != nil {
		return false, err
	}
	var transaction acaciatally.Transaction
	for _, row := range rows {
		if !s.expired(row.Key) {
			break
		}
		transaction.Conditions = append(transaction.Conditions, acaciatally.Condition{Key: row.Key, Version: row.Version})
		transaction.Writes = append(transaction.Writes, acaciatally.Write{Key: row.Key, Delete: true})
	}
	if len(transaction.Writes) == 0 {
		return false, nil
	}
	transaction.ID = "sweep-" + idOf(transaction.Writes[0].Key)
	if _, err = s.config.Table.Commit(ctx, transaction); err != nil {
		return true, err
	}
	s.deleted.Add(len(transaction.Writes))
	return len(transaction.Writes) == sweepRows, nil
}

func (s *Sweeper) expired(key string) bool {
	id, err := ulid.ParseStrict(idOf(key))
	if err != nil {
		return true // no request can have such an id
	}
	return s.config.Clock.Now().Sub(ulid.Time(id.Time())) > s.config.Retention+s.config.MaxDeadline+sweepSkew
}

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
	sweepBatch = 100 // rows per scan; with answers of 16 KiB the response stays below 4 MiB
	// sweepBusyPause is the mean pause between scans while more rows are left to delete, and sweepIdlePause the mean pause otherwise.
	// They limit each entry to about one read and one write per second.
	sweepBusyPause = time.Second
	sweepIdlePause = time.Minute
	sweepClockSkew = 2 * time.Minute // twice urgency.MaxClockSkew, because the clocks of the caller and of two entries may differ
)

// SweeperConfig holds the settings of a Sweeper.
type SweeperConfig struct {
	Table acaciatally.TableService
	// Retention is the maximum age of accepted request ids, and MaxDeadline the longest time from acceptance to sending. A claim is
	// deleted only when its id can no longer be claimed or sent.
	Retention   time.Duration
	MaxDeadline time.Duration
	Clock       acaciatally.Clock
	Random      *rand.Rand // adds jitter, so that the scans of several entries do not coincide
	Metrics     *metrics.Set
}

// Sweeper deletes claims after the retention period.
type Sweeper struct {
	config  SweeperConfig
	deleted *metrics.Counter
}

// NewSweeper returns a sweeper that deletes claims once Run is called.
func NewSweeper(config SweeperConfig) *Sweeper {
	if config.Clock == nil {
		config.Clock = acaciatally.SystemClock{}
	}
	return &Sweeper{config: config, deleted: config.Metrics.GetOrCreateCounter("acaciatally_claims_deleted_total")}
}

// Run deletes expired claims until ctx ends. Failed calls are retried by the next sweep; the error is always nil.
func (s *Sweeper) Run(ctx context.Context) (err error) {
	pause := sweepIdlePause
	for {
		jitter := time.Duration(s.config.Random.Int64N(int64(pause)))
		timer := time.NewTimer(pause/2 + jitter)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		pause = sweepIdlePause
		if more, err := s.Sweep(ctx); err == nil && more {
			pause = sweepBusyPause
		}
	}
}

// Sweep deletes the oldest expired claims with one scan and at most one commit; more reports whether there may be others. It
// fails with the error of the scan or the commit.
func (s *Sweeper) Sweep(ctx context.Context) (more bool, err error) {
	rows, err := s.config.Table.Scan(ctx, keyPrefix, "", sweepBatch) // ULIDs sort by time, so the oldest rows come first
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
	transaction.ID = "sweep-" + requestID(transaction.Writes[0].Key)
	if _, err = s.config.Table.Commit(ctx, transaction); err != nil {
		return true, err
	}
	s.deleted.Add(len(transaction.Writes))
	return len(transaction.Writes) == sweepBatch, nil
}

func (s *Sweeper) expired(key string) bool {
	id, err := ulid.ParseStrict(requestID(key))
	if err != nil {
		return true // no accepted request can have such an id
	}
	return s.config.Clock.Now().Sub(ulid.Time(id.Time())) > s.config.Retention+s.config.MaxDeadline+sweepClockSkew
}

package control

import (
	"context"
	"time"
)

// pruneInterval limits how often the log is read for pruning; at 25,000 records a day about 17 are added each minute.
const pruneInterval = time.Minute

// Record writes accepted actions to the process's log and prunes the change log, whose records hold the reasons in full.
type Record struct {
	config   *Config
	prunedAt time.Time
}

// NewRecord returns the record step.
func NewRecord(config *Config) *Record {
	return &Record{config: config}
}

// String returns the step's name.
func (r *Record) String() string { return "record" }

// Run logs one line for each accepted action; while this entry may act, it prunes the change log once a minute.
func (r *Record) Run(ctx context.Context, round *Round) (err error) {
	for _, result := range round.Results {
		if result.Err == nil {
			r.config.Logger.Info().Str("step", result.Action.Step).Str("subject", result.Action.Subject.Name).
				Uint64("version", result.Version).Str("reason", result.Action.Reason).Msg("control change accepted")
		}
	}
	if !round.MayAct || round.Now.Sub(r.prunedAt) < pruneInterval {
		return nil
	}
	r.prunedAt = round.Now
	return r.config.Log.Compact(ctx)
}

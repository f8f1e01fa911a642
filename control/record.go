package control

import (
	"context"
	"time"
)

// maintainInterval bounds the reads for pruning; at 25,000 records a day about 17 come in each minute.
const maintainInterval = time.Minute

// Record logs what was decided and keeps the log short; the reasons themselves are in the log's records.
type Record struct {
	config       *Config
	maintainedAt time.Time
}

// NewRecord returns the step.
func NewRecord(config *Config) *Record {
	return &Record{config: config}
}

// String returns the step's name.
func (r *Record) String() string { return "record" }

// Run writes one line for each accepted action and maintains the log once a minute.
func (r *Record) Run(ctx context.Context, round *Round) (err error) {
	for _, result := range round.Results {
		if result.Err == nil {
			r.config.Logger.Info().Str("step", result.Action.Step).Str("subject", result.Action.Subject.Name).
				Uint64("version", result.Version).Str("reason", result.Action.Reason).Msg("control change accepted")
		}
	}
	if !round.Acting || round.Now.Sub(r.maintainedAt) < maintainInterval {
		return nil
	}
	r.maintainedAt = round.Now
	return r.config.Log.Maintain(ctx)
}

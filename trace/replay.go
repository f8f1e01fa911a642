package trace

import (
	"errors"
	"fmt"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
)

// OutcomeResult holds the values that a replay measured for one outcome of the trace. Ordinary requests are those outside the floods.
type OutcomeResult struct {
	Outcome         Outcome
	GoodputKept     float64 // goodput of ordinary requests as a share of that without the floods
	Goodput         float64 // goodput of ordinary requests as a share of the ordinary requests
	UrgentStartP99  float64 // 99th percentile of the wait of ordinary urgent requests, in seconds
	RefusedAttempts float64 // as a share of the attempts of the whole run
}

// Replay simulates the trace under a policy, with and without its floods, and returns one result per outcome.
func (t *Trace) Replay(policy model.Policy, seed uint64) (results []OutcomeResult, err error) {
	return t.ReplayConfig(t.Config(policy, seed))
}

// ReplayConfig is like Replay, with a modified copy of the configuration that Config returns.
func (t *Trace) ReplayConfig(config model.Config) (results []OutcomeResult, err error) {
	withFlood, err := model.Run(config)
	if err != nil {
		return nil, err
	}
	withoutFlood, err := model.Run(WithoutFlood(config))
	if err != nil {
		return nil, err
	}
	for i, outcome := range t.Outcomes {
		results = append(results, newOutcomeResult(outcome, withFlood, withFlood.Windows[i].Ordinary, withoutFlood.Windows[i].Ordinary))
	}
	return results, nil
}

func newOutcomeResult(outcome Outcome, whole model.Result, withFlood, withoutFlood [acaciatally.UrgencyClasses]model.Tally) OutcomeResult {
	return OutcomeResult{
		Outcome:         outcome,
		GoodputKept:     ratio(model.Goodput(withFlood), model.Goodput(withoutFlood)),
		Goodput:         ratio(model.Goodput(withFlood), model.Offered(withFlood)),
		UrgentStartP99:  withFlood[acaciatally.Urgent].Wait(0.99).Seconds(),
		RefusedAttempts: ratio(whole.RefusedAttempts, whole.Attempts),
	}
}

// Check returns an error that lists each bound of the outcome that is not met.
func (r OutcomeResult) Check() error {
	o := r.Outcome
	return errors.Join(
		errorUnless(r.GoodputKept >= o.OtherGoodputAtLeast,
			"%s: goodput of ordinary requests is %.4f of that without floods, want at least %g", o.Name, r.GoodputKept, o.OtherGoodputAtLeast),
		errorUnless(r.Goodput >= o.GoodputAtLeast, "%s: goodput is %.4f of the ordinary requests, want at least %g", o.Name, r.Goodput, o.GoodputAtLeast),
		errorUnless(o.UrgentStartWithin == 0 || r.UrgentStartP99 <= o.UrgentStartWithin.Seconds(),
			"%s: p99 start delay of urgent requests is %.3f s, want at most %s", o.Name, r.UrgentStartP99, o.UrgentStartWithin),
		errorUnless(o.RefusedAttemptsAtMost == 0 || r.RefusedAttempts <= o.RefusedAttemptsAtMost,
			"%s: endpoints refused %.4f of the attempts, want at most %g", o.Name, r.RefusedAttempts, o.RefusedAttemptsAtMost),
	)
}

// String returns the result on one line.
func (r OutcomeResult) String() string {
	return fmt.Sprintf("%s: goodput kept %.4f, goodput %.4f, urgent start delay p99 %.3f s, refused attempts %.4f",
		r.Outcome.Name, r.GoodputKept, r.Goodput, r.UrgentStartP99, r.RefusedAttempts)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

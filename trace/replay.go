package trace

import (
	"errors"
	"fmt"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
)

// Verdict is what a replay gave for one stated outcome.
type Verdict struct {
	Outcome         Outcome
	Kept            float64 // ordinary goodput as a share of that without the floods
	Goodput         float64 // ordinary goodput as a share of the ordinary requests
	UrgentStart     float64 // p99 of the wait of ordinary urgent requests, in seconds
	RefusedAttempts float64 // share of the attempts of the whole run
}

// Replay runs the trace under a policy and compares it with a run without the floods.
func (t *Trace) Replay(policy model.Policy, seed uint64) (verdicts []Verdict, err error) {
	return t.ReplayConfig(t.Config(policy, seed))
}

// ReplayConfig is Replay with a configuration that was derived from the trace's own.
func (t *Trace) ReplayConfig(config model.Config) (verdicts []Verdict, err error) {
	with, err := model.Run(config)
	if err != nil {
		return nil, err
	}
	without, err := model.Run(WithoutFlood(config))
	if err != nil {
		return nil, err
	}
	for i, outcome := range t.Outcomes {
		verdicts = append(verdicts, verdict(outcome, with, with.Windows[i].Other, without.Windows[i].Other))
	}
	return verdicts, nil
}

func verdict(outcome Outcome, run model.Result, other, reference [acaciatally.UrgencyClasses]model.Tally) Verdict {
	return Verdict{
		Outcome:         outcome,
		Kept:            ratio(model.Goodput(other), model.Goodput(reference)),
		Goodput:         ratio(model.Goodput(other), model.Offered(other)),
		UrgentStart:     other[acaciatally.Urgent].Wait(0.99).Seconds(),
		RefusedAttempts: ratio(run.RefusedAttempts, run.Attempts),
	}
}

// Check returns an error that names each bound that was not kept.
func (v Verdict) Check() error {
	o := v.Outcome
	return errors.Join(
		must(v.Kept >= o.OtherGoodputAtLeast, "%s: kept %.4f of the other goodput, want %g", o.Name, v.Kept, o.OtherGoodputAtLeast),
		must(v.Goodput >= o.GoodputAtLeast, "%s: answered %.4f in time, want %g", o.Name, v.Goodput, o.GoodputAtLeast),
		must(o.UrgentStartWithin == 0 || v.UrgentStart <= o.UrgentStartWithin.Seconds(),
			"%s: p99 start of urgent work %.3f s, want %s", o.Name, v.UrgentStart, o.UrgentStartWithin),
		must(o.RefusedAttemptsAtMost == 0 || v.RefusedAttempts <= o.RefusedAttemptsAtMost,
			"%s: endpoints refused %.4f of the attempts, want %g", o.Name, v.RefusedAttempts, o.RefusedAttemptsAtMost),
	)
}

// String returns the verdict on one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%s: kept %.4f, answered %.4f, urgent start p99 %.3f s, refused attempts %.4f",
		v.Outcome.Name, v.Kept, v.Goodput, v.UrgentStart, v.RefusedAttempts)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

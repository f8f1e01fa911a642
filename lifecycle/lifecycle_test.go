package lifecycle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/fleet"
	"github.com/acaciatally/acaciatally/lifecycle"
)

var phaseSince = time.Unix(100_000, 0).UTC()

func defaultLimits() (l lifecycle.Limits) {
	l.SetDefaults()
	return l
}

// TestNext guards against a stop before acknowledgement and drain, a reboot under a second id, an instance that returns to service
// unhealthy, and the removal of instances while their whole failure domain is down.
func TestNext(t *testing.T) {
	at := phaseSince.Add
	const absent, running, done, failed = acaciatally.OperationAbsent, acaciatally.OperationRunning, acaciatally.OperationDone, acaciatally.OperationFailed
	wave := fleet.Instance{Phase: fleet.Draining, Cause: fleet.CauseWave, Wave: "wave"}
	move := fleet.Instance{Phase: fleet.Draining, Cause: fleet.CauseMove, Target: "coating"}
	tests := map[string]struct {
		instance  fleet.Instance
		facts     lifecycle.Facts
		operation lifecycle.OperationKind
		step      string
	}{
		"serving":                                   {instance: fleet.Instance{Phase: fleet.Serving}},
		"drain not acknowledged":                    {instance: wave, facts: lifecycle.Facts{Operation: done}},
		"drain acknowledged":                        {instance: wave, facts: lifecycle.Facts{Acknowledged: true, Operation: absent}, operation: lifecycle.Drain},
		"drain state unknown":                       {instance: wave, facts: lifecycle.Facts{Acknowledged: true}},
		"still draining":                            {instance: wave, facts: lifecycle.Facts{Acknowledged: true, Operation: running}},
		"drained":                                   {instance: wave, facts: lifecycle.Facts{Acknowledged: true, Operation: done}, step: "Stop"},
		"drain failed":                              {instance: wave, facts: lifecycle.Facts{Acknowledged: true, Operation: failed}, step: "Fail"},
		"operator's drain has no next step":         {instance: fleet.Instance{Phase: fleet.Draining, Cause: fleet.CauseOperator}, facts: lifecycle.Facts{Acknowledged: true, Operation: done}},
		"operator's reboot continues":               {instance: fleet.Instance{Phase: fleet.Draining, Cause: fleet.CauseOperator, Reboot: true}, facts: lifecycle.Facts{Acknowledged: true, Operation: done}, step: "Stop"},
		"move not acknowledged":                     {instance: move, facts: lifecycle.Facts{TargetExists: true}},
		"move acknowledged":                         {instance: move, facts: lifecycle.Facts{TargetExists: true, Acknowledged: true}, step: "Move"},
		"target pool does not exist":                {instance: move, facts: lifecycle.Facts{Acknowledged: true}, step: "CancelMove"},
		"stopping":                                  {instance: fleet.Instance{Phase: fleet.Stopping}, step: "Reboot"},
		"reboot not started":                        {instance: fleet.Instance{Phase: fleet.Rebooting, Attempts: 1}, facts: lifecycle.Facts{Operation: absent}, operation: lifecycle.Reboot},
		"reboot running":                            {instance: fleet.Instance{Phase: fleet.Rebooting, Attempts: 1}, facts: lifecycle.Facts{Operation: running, Now: at(time.Minute)}},
		"reboot timed out":                          {instance: fleet.Instance{Phase: fleet.Rebooting, Attempts: 1}, facts: lifecycle.Facts{Operation: running, Now: at(11 * time.Minute)}, step: "Fail"},
		"reboot failed":                             {instance: fleet.Instance{Phase: fleet.Rebooting, Attempts: 1}, facts: lifecycle.Facts{Operation: failed}, step: "Fail"},
		"rebooted":                                  {instance: fleet.Instance{Phase: fleet.Rebooting, Attempts: 1}, facts: lifecycle.Facts{Operation: done}, step: "Check"},
		"not healthy yet":                           {instance: fleet.Instance{Phase: fleet.Checking, Attempts: 1}, facts: lifecycle.Facts{Now: at(30 * time.Second)}},
		"never healthy":                             {instance: fleet.Instance{Phase: fleet.Checking, Attempts: 1}, facts: lifecycle.Facts{Now: at(61 * time.Second)}, step: "Fail"},
		"healthy":                                   {instance: fleet.Instance{Phase: fleet.Checking, Attempts: 1}, facts: lifecycle.Facts{Healthy: true}, step: "Serve"},
		"recovered without reboot is undrained":     {instance: fleet.Instance{Phase: fleet.Checking}, facts: lifecycle.Facts{Healthy: true, Operation: absent}, operation: lifecycle.Undrain},
		"failed for less than the repair delay":     {instance: fleet.Instance{Phase: fleet.Failed}, facts: lifecycle.Facts{Acknowledged: true, Now: at(9 * time.Second)}},
		"reachable again":                           {instance: fleet.Instance{Phase: fleet.Failed}, facts: lifecycle.Facts{Healthy: true, Now: at(10 * time.Second)}, step: "Recover"},
		"repair waits for acknowledgement":          {instance: fleet.Instance{Phase: fleet.Failed}, facts: lifecycle.Facts{Now: at(time.Hour)}},
		"repair":                                    {instance: fleet.Instance{Phase: fleet.Failed}, facts: lifecycle.Facts{Acknowledged: true, Now: at(10 * time.Second)}, step: "Repair"},
		"quarantined is rebooted although healthy":  {instance: fleet.Instance{Phase: fleet.Quarantined}, facts: lifecycle.Facts{Healthy: true, Acknowledged: true, Now: at(10 * time.Second)}, step: "Repair"},
		"reboots do not help":                       {instance: fleet.Instance{Phase: fleet.Failed, Attempts: 3}, facts: lifecycle.Facts{Now: at(10 * time.Second)}, step: "Remove"},
		"whole rack is down within the retry delay": {instance: fleet.Instance{Phase: fleet.Failed, Attempts: 3}, facts: lifecycle.Facts{Acknowledged: true, Correlated: true, Now: at(time.Minute)}},
		"whole rack is down beyond the retry delay": {instance: fleet.Instance{Phase: fleet.Failed, Attempts: 3}, facts: lifecycle.Facts{Acknowledged: true, Correlated: true, Now: at(6 * time.Minute)}, step: "Repair"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.instance.ID, test.instance.Version, test.instance.PhaseSince = "intake-01", 7, phaseSince
			step := lifecycle.Next(test.instance, test.facts, defaultLimits())
			again := lifecycle.Next(test.instance, test.facts, defaultLimits())
			require.Equal(t, test.operation != lifecycle.NoOperation, step.Operation != nil)
			require.Equal(t, test.step != "", step.Action != nil)
			if step.Operation != nil {
				require.Equal(t, lifecycle.Operation{Kind: test.operation, ID: string(test.operation) + "-intake-01-7", Instance: "intake-01"}, *step.Operation)
				require.Equal(t, step.Operation, again.Operation)
			}
			if step.Action != nil {
				require.Equal(t, test.step+"-intake-01-7", step.Action.CommandID())
			}
		})
	}
}

// TestMaintained guards against an instance that counts as maintained although its wave has not rebooted it.
func TestMaintained(t *testing.T) {
	for name, test := range map[string]struct {
		wave     string
		attempts int
		want     bool
	}{"by its wave": {"wave", 1, true}, "by a repair": {"", 1, false}, "without a reboot": {"wave", 0, false}} {
		t.Run(name, func(t *testing.T) {
			instance := fleet.Instance{ID: "intake-01", Phase: fleet.Checking, Wave: test.wave, Attempts: test.attempts}
			step := lifecycle.Next(instance, lifecycle.Facts{Healthy: true, Operation: acaciatally.OperationDone}, defaultLimits())
			require.Equal(t, test.want, step.Action.Changes[0].SetPhase.Maintained)
		})
	}
}

package intake_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/intake"
	"github.com/acaciatally/acaciatally/job"
)

// TestSubmitBeyondMaximum guards against an accepted job that can never run because of its account's maximum, against refusing one that can, and
// against refusing the repetition of a call that was accepted.
func TestSubmitBeyondMaximum(t *testing.T) {
	const jobID = "0000000000000001"
	queue := acaciatally.Queue{Name: "quotes"}
	maximum := acaciatally.ResourceVector{Processors: 4000, Memory: 512}
	stepOf := func(count, processors, memory int, gang bool) acaciatally.Step {
		return acaciatally.Step{Count: count, Gang: gang, Resources: acaciatally.ResourceVector{Processors: processors, Memory: memory, Accelerators: 3}}
	}
	small := stepOf(1, 1, 1, false)
	tests := map[string]struct {
		account  acaciatally.AccountName
		steps    []acaciatally.Step
		recorded bool
		accepted bool
	}{
		"task at the maximum":     {"limited", []acaciatally.Step{stepOf(1, 4000, 512, false)}, false, true},
		"many tasks":              {"limited", []acaciatally.Step{stepOf(100, 4000, 512, false)}, false, true},
		"too many processors":     {"limited", []acaciatally.Step{stepOf(1, 4001, 1, false)}, false, false},
		"too much memory":         {"limited", []acaciatally.Step{stepOf(1, 1, 513, false)}, false, false},
		"later step":              {"limited", []acaciatally.Step{small, stepOf(1, 4001, 1, false)}, false, false},
		"gang at the maximum":     {"limited", []acaciatally.Step{stepOf(4, 1000, 1, true)}, false, true},
		"gang":                    {"limited", []acaciatally.Step{stepOf(5, 1000, 1, true)}, false, false},
		"gang beyond in memory":   {"limited", []acaciatally.Step{stepOf(5, 1, 103, true)}, false, false},
		"repetition":              {"limited", []acaciatally.Step{stepOf(1, 4001, 1, false)}, true, true},
		"account without maximum": {"other", []acaciatally.Step{stepOf(1, 4001, 1, false)}, false, true},
		"account not configured":  {"removed", []acaciatally.Step{stepOf(1, 4001, 1, false)}, false, true},
		"no account":              {"", []acaciatally.Step{stepOf(1, 4001, 1, false)}, false, true},
	}
	routes := intake.NewRoutes(&acaciatally.Configuration{Accounts: map[acaciatally.AccountName]acaciatally.Account{
		"limited": {Name: "limited", Maximum: maximum}, "other": {Name: "other"},
	}})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[acaciatally.RecordKey]acaciatally.Record{}}
			spec := acaciatally.JobSpec{Payload: "work", Steps: test.steps}
			service := intake.New(intake.Config{Store: store, EventLog: nopEventLog{}, Routes: func() *intake.Routes { return routes }})
			if test.recorded {
				before := intake.New(intake.Config{Store: store, EventLog: nopEventLog{}})
				require.NoError(t, before.Submit(t.Context(), queue, test.account, jobID, spec))
			}
			err := service.Submit(t.Context(), queue, test.account, jobID, spec)
			if test.accepted {
				require.NoError(t, err)
				require.Contains(t, store.rows, job.AcceptedKey(queue.Name, jobID))
				return
			}
			var refused *acaciatally.NotAcceptedError
			require.ErrorAs(t, err, &refused)
			require.Zero(t, refused.RetryAfter, "a retry has the same result")
			require.False(t, refused.Overload)
			require.Empty(t, store.rows, "a refused job is not recorded")
		})
	}
}

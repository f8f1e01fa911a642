package observation_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation"
)

type slotSource struct{ releases int }

func (s *slotSource) Acquire(context.Context, acaciatally.Request) (*acaciatally.Grant, error) {
	return &acaciatally.Grant{Worker: "coating-1", Release: func(acaciatally.AttemptResult) { s.releases++ }}, nil
}

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// TestRecorder checks that each result is counted once and in the right field, and that every release is passed on to the slot source.
func TestRecorder(t *testing.T) {
	tests := map[string]struct {
		result acaciatally.AttemptResult
		want   acaciatally.InstanceReport
	}{
		"success":            {acaciatally.AttemptResult{Status: 200}, acaciatally.InstanceReport{Connected: 1, Succeeded: 1}},
		"server error":       {acaciatally.AttemptResult{Status: 500}, acaciatally.InstanceReport{Connected: 1, Failed: 1}},
		"client error":       {acaciatally.AttemptResult{Status: 404}, acaciatally.InstanceReport{Connected: 1, Succeeded: 1}},
		"no connection":      {acaciatally.AttemptResult{Outcome: acaciatally.NotRun}, acaciatally.InstanceReport{Unreachable: 1}},
		"instance full":      {acaciatally.AttemptResult{Outcome: acaciatally.NotRun, Status: 429, Refused: true}, acaciatally.InstanceReport{Connected: 1}},
		"ended by caller":    {acaciatally.AttemptResult{Outcome: acaciatally.Unknown, EndedByCaller: true}, acaciatally.InstanceReport{}},
		"connection lost":    {acaciatally.AttemptResult{Outcome: acaciatally.Unknown}, acaciatally.InstanceReport{Failed: 1}},
		"response truncated": {acaciatally.AttemptResult{Outcome: acaciatally.Unknown, Status: 200}, acaciatally.InstanceReport{Connected: 1, Failed: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			slots := &slotSource{}
			recorder := observation.NewRecorder(observation.RecorderConfig{Entry: "entry-1", Slots: slots, Clock: &fakeClock{}})
			grant, err := recorder.Acquire(t.Context(), acaciatally.Request{Pool: "coating"})
			require.NoError(t, err)
			demand, _ := recorder.Take()
			require.Equal(t, []acaciatally.PoolDemand{{Pool: "coating", Slots: 1}}, demand)
			grant.Release(test.result)
			grant.Release(test.result)
			demand, reports := recorder.Take()
			require.Equal(t, []acaciatally.PoolDemand{{Pool: "coating"}}, demand)
			test.want.Entry, test.want.Instance = "entry-1", "coating-1"
			require.Equal(t, []acaciatally.InstanceReport{test.want}, reports)
			require.Equal(t, 2, slots.releases)
		})
	}
}

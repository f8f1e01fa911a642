package observation_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation"
)

type source struct{ releases int }

func (s *source) Acquire(context.Context, acaciatally.Request) (*acaciatally.Grant, error) {
	return &acaciatally.Grant{Worker: "coating-1", Release: func(acaciatally.AttemptResult) { s.releases++ }}, nil
}

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// TestRecorder guards against results that are counted twice, under the wrong heading or never passed on to the slot home.
func TestRecorder(t *testing.T) {
	tests := map[string]struct {
		result acaciatally.AttemptResult
		want   acaciatally.InstanceReport
	}{
		"whole answer":      {acaciatally.AttemptResult{Status: 200}, acaciatally.InstanceReport{Connected: 1, Succeeded: 1}},
		"error answer":      {acaciatally.AttemptResult{Status: 500}, acaciatally.InstanceReport{Connected: 1, Failed: 1}},
		"caller's mistake":  {acaciatally.AttemptResult{Status: 404}, acaciatally.InstanceReport{Connected: 1, Succeeded: 1}},
		"no connection":     {acaciatally.AttemptResult{Outcome: acaciatally.NotRun}, acaciatally.InstanceReport{Unreachable: 1}},
		"full":              {acaciatally.AttemptResult{Outcome: acaciatally.NotRun, Status: 429, Refused: true}, acaciatally.InstanceReport{Connected: 1}},
		"cut off by caller": {acaciatally.AttemptResult{Outcome: acaciatally.Unknown, CutOff: true}, acaciatally.InstanceReport{}},
		"broken off":        {acaciatally.AttemptResult{Outcome: acaciatally.Unknown}, acaciatally.InstanceReport{Failed: 1}},
		"answer broke off":  {acaciatally.AttemptResult{Outcome: acaciatally.Unknown, Status: 200}, acaciatally.InstanceReport{Connected: 1, Failed: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			slots := &source{}
			recorder := observation.NewRecorder(observation.RecorderConfig{Entry: "entry-1", Slots: slots, Clock: &clock{}})
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

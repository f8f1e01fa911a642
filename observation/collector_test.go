package observation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/observation"
	"github.com/acaciatally/acaciatally/observation/observationpb"
)

// TestCollector checks that the demand of an entry expires when its reports stop, and that each report is returned only once.
func TestCollector(t *testing.T) {
	clock := &fakeClock{now: time.Unix(100, 0)}
	collector := observation.NewCollector(clock)
	collector.Receive("entry-2", &observationpb.Observation{
		Demand:  []*observationpb.PoolDemand{{Pool: "coating", Slots: 3}},
		Reports: []*observationpb.InstanceReport{{Instance: "coating-1", Unreachable: 2}},
	})
	clock.now = clock.now.Add(2 * time.Second)
	collector.Add("entry-1", []acaciatally.PoolDemand{{Pool: "coating", Slots: 4}, {Pool: "intake", Slots: 1}}, nil)
	require.Equal(t, []acaciatally.PoolDemand{{Pool: "coating", Slots: 7}, {Pool: "intake", Slots: 1}}, collector.Demand())
	require.Len(t, collector.Reports(), 1)
	require.Empty(t, collector.Reports())
	clock.now = clock.now.Add(2 * time.Second)
	require.Equal(t, []acaciatally.PoolDemand{{Pool: "coating", Slots: 4}, {Pool: "intake", Slots: 1}}, collector.Demand())
}

package model_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/model"
)

var policies = []model.Policy{
	model.SlotHome, model.WorkerHome, model.SlotCredits, model.BaselineAlone, model.BaselineRoundRobin,
	model.BaselineArrivalOrder, model.BaselineStrictPriority,
}

// overload configures a pool of three workers with a demand of 1.5 times its slots, one of which fails for a second and another of which
// is slow for a second.
func overload(policy model.Policy, seed uint64) model.Config {
	config := model.Config{
		Policy: policy, Seed: seed, DataCentres: []acaciatally.DataCentre{"a", "b", "c"}, Entries: 9, Duration: 6 * time.Second,
		Pools: []model.Pool{{Name: "coating", Workers: 3, Slots: 8}}, Teams: []model.Team{{Name: "x", Quota: 8}, {Name: "y"}},
		Faults:  []model.Fault{{Pool: "coating", Kind: model.FailsFast, From: time.Second, To: 2 * time.Second}, {Pool: "coating", Worker: 1, Kind: model.Slow, From: 3 * time.Second, To: 4 * time.Second}},
		Windows: []model.Window{{From: 2 * time.Second, To: 4 * time.Second}},
	}
	for urgency := range acaciatally.UrgencyClasses {
		config.Load = append(config.Load, model.Source{
			Pool: "coating", Teams: []acaciatally.TeamName{"x", "y"}, Urgency: acaciatally.Urgency(urgency), Demand: 0.5,
			ServiceTime: 50 * time.Millisecond, ServiceTimeSpread: 0.5, Deadline: time.Second, BaseFactor: 1,
		})
	}
	return config
}

// TestRequestsFinishOnce checks that each request has exactly one counted outcome; lost or doubly counted requests would falsify the
// results of all experiments.
func TestRequestsFinishOnce(t *testing.T) {
	for _, policy := range policies {
		t.Run(string(policy), func(t *testing.T) {
			result, err := model.Run(overload(policy, 1))
			require.NoError(t, err)
			require.Zero(t, result.Unfinished)
			for _, tally := range result.Whole.Ordinary {
				require.Greater(t, tally.Offered, 1000)
				require.Equal(t, tally.Offered, tally.Answered+tally.Late+tally.Refused+tally.Expired+tally.Failed)
			}
			require.Less(t, model.Offered(result.Windows[0].Ordinary), model.Offered(result.Whole.Ordinary)/2)
		})
	}
}

// TestDeterminism checks that runs with the same seed have equal results, and runs with different seeds do not.
func TestDeterminism(t *testing.T) {
	for _, policy := range policies {
		t.Run(string(policy), func(t *testing.T) {
			first, err := model.Run(overload(policy, 7))
			require.NoError(t, err)
			second, err := model.Run(overload(policy, 7))
			require.NoError(t, err)
			other, err := model.Run(overload(policy, 8))
			require.NoError(t, err)
			require.Equal(t, first, second)
			require.NotEqual(t, first, other)
		})
	}
}

// TestCapacity checks the goodput of an overloaded pool against its capacity: 24 slots with a service time of 50 ms serve 480 requests
// per second. A larger goodput means that workers run more requests than they have slots, a smaller one that slots stay idle.
func TestCapacity(t *testing.T) {
	config := overload(model.SlotHome, 1)
	config.Faults = nil
	result, err := model.Run(config)
	require.NoError(t, err)
	require.InDelta(t, 480*6, model.Goodput(result.Whole.Ordinary), 480*1.5)
	require.Zero(t, result.RefusedAttempts, "a slot home grants no more slots than the workers have")
	localChoice := overload(model.BaselineAlone, 1)
	result, err = model.Run(localChoice)
	require.NoError(t, err)
	require.Positive(t, result.RefusedAttempts, "entries without shared load data send more requests than the workers have slots")
}

// TestUnknownNames checks that a configuration with an unknown name is rejected instead of sending no requests.
func TestUnknownNames(t *testing.T) {
	tests := map[string]func(*model.Config){
		"policy": func(c *model.Config) { c.Policy = "None" },
		"pool":   func(c *model.Config) { c.Load[0].Pool = "none" },
		"team":   func(c *model.Config) { c.Load[0].Teams = []acaciatally.TeamName{"none"} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			config := overload(model.SlotHome, 1)
			change(&config)
			_, err := model.Run(config)
			require.Error(t, err)
		})
	}
}

// TestJain checks the fairness index for an equal distribution and for one in which a single value is not 0.
func TestJain(t *testing.T) {
	require.InDelta(t, 1, model.Jain([]float64{3, 3, 3}), 1e-9)
	require.InDelta(t, 0.25, model.Jain([]float64{8, 0, 0, 0}), 1e-9)
}

package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/capacity"
)

// perInstance is the capacity of one instance.
var perInstance = acaciatally.ResourceVector{Processors: 64000}

// capacityOf returns the capacity of some instances.
func capacityOf(count int) acaciatally.ResourceVector {
	return acaciatally.ResourceVector{Processors: count * perInstance.Processors}
}

// idle returns instances of a pool without running tasks.
func idle(pool acaciatally.PoolName, count int) (instances []capacity.Instance) {
	for i := range count {
		instances = append(instances, capacity.Instance{
			ID: acaciatally.InstanceID(fmt.Sprintf("%s-%d", pool, i)), Pool: pool, Up: true, Idle: time.Minute,
		})
	}
	return instances
}

func busy(pool acaciatally.PoolName, count, numLongRunning int) []capacity.Instance {
	instances := idle(pool, count)
	for i := range instances {
		instances[i].Runs, instances[i].LongRunning, instances[i].Idle = 4, numLongRunning, 0
	}
	return instances
}

// TestPlan guards against tasks that wait although other pools have free instances, and against instances that a pool keeps without need.
func TestPlan(t *testing.T) {
	standby := capacity.Pool{Name: "standby", Standby: true, PerInstance: perInstance}
	tests := map[string]struct {
		pools     []capacity.Pool
		instances []capacity.Instance
		moves     map[acaciatally.PoolName]int // by target pool
	}{
		"no demand above capacity": {
			pools:     []capacity.Pool{{Name: "a", Used: perInstance, PerInstance: perInstance}, standby},
			instances: append(busy("a", 3, 0), idle("standby", 2)...),
			moves:     map[acaciatally.PoolName]int{},
		},
		"burst is served from standby": {
			pools:     []capacity.Pool{{Name: "a", Used: capacityOf(3), Waiting: capacityOf(3), PerInstance: perInstance}, standby},
			instances: append(busy("a", 3, 0), idle("standby", 8)...),
			moves:     map[acaciatally.PoolName]int{"a": 4},
		},
		"burst is served from an idle pool": {
			pools:     []capacity.Pool{{Name: "a", Waiting: capacityOf(4), PerInstance: perInstance}, {Name: "b", PerInstance: perInstance}},
			instances: append(busy("a", 3, 0), idle("b", 6)...),
			moves:     map[acaciatally.PoolName]int{"a": 2},
		},
		"the last instance stays": {
			pools:     []capacity.Pool{{Name: "a", Waiting: capacityOf(9), PerInstance: perInstance}, {Name: "b", PerInstance: perInstance}},
			instances: append(busy("a", 3, 0), idle("b", 2)...),
			moves:     map[acaciatally.PoolName]int{"a": 1},
		},
		"instances with long-running tasks are not moved": {
			pools:     []capacity.Pool{{Name: "a", Waiting: capacityOf(9), PerInstance: perInstance}, {Name: "b", PerInstance: perInstance}},
			instances: append(busy("a", 3, 0), busy("b", 6, 1)...),
			moves:     map[acaciatally.PoolName]int{},
		},
		"incoming instances count": {
			pools:     []capacity.Pool{{Name: "a", Waiting: capacityOf(4), Incoming: 2, PerInstance: perInstance}, standby},
			instances: append(busy("a", 3, 0), idle("standby", 8)...),
			moves:     map[acaciatally.PoolName]int{},
		},
		"limits on tasks per worker require instances": {
			pools:     []capacity.Pool{{Name: "a", Used: acaciatally.ResourceVector{Processors: 1000}, MinWorkers: 5, PerInstance: perInstance}, standby},
			instances: append(busy("a", 3, 1), idle("standby", 8)...),
			moves:     map[acaciatally.PoolName]int{"a": 2},
		},
		"idle instances are moved to standby": {
			pools:     []capacity.Pool{{Name: "a", Used: acaciatally.ResourceVector{Processors: 1000}, PerInstance: perInstance}, standby},
			instances: idle("a", 9),
			moves:     map[acaciatally.PoolName]int{"standby": 6},
		},
		"busy instances that are kept do not move": {
			pools: []capacity.Pool{{Name: "a", Waiting: capacityOf(9), PerInstance: perInstance}, {Name: "b", PerInstance: perInstance}},
			instances: append(busy("a", 3, 0),
				capacity.Instance{ID: "b-0", Pool: "b", Up: true, Runs: 4, Kept: true},
				capacity.Instance{ID: "b-1", Pool: "b", Up: true, Kept: true},
				capacity.Instance{ID: "b-2", Pool: "b", Up: true, Runs: 4, Kept: true}),
			moves: map[acaciatally.PoolName]int{"a": 1},
		},
		"a part of a pool with waiting tasks is drained at the same time": {
			pools: []capacity.Pool{
				{Name: "a", Waiting: capacityOf(40), PerInstance: perInstance}, {Name: "b", Overdue: capacityOf(40), Unplaced: 9, PerInstance: perInstance},
			},
			instances: append(busy("a", 2, 0), busy("b", 12, 0)...),
			moves:     map[acaciatally.PoolName]int{"a": 3},
		},
		"instances that are being drained count": {
			pools: []capacity.Pool{
				{Name: "a", Waiting: capacityOf(40), PerInstance: perInstance}, {Name: "b", Overdue: capacityOf(40), Unplaced: 9, PerInstance: perInstance},
			},
			instances: append(busy("b", 10, 0),
				capacity.Instance{ID: "b-10", Pool: "b", Up: true, Runs: 4, Reserved: true},
				capacity.Instance{ID: "b-11", Pool: "b", Up: true, Runs: 4, Reserved: true},
				capacity.Instance{ID: "a-0", Pool: "a", Up: true, Runs: 4}),
			moves: map[acaciatally.PoolName]int{"a": 1},
		},
		"a pool without an instance is not kept waiting": {
			pools: []capacity.Pool{
				{Name: "a", Waiting: capacityOf(4), LongRunning: capacityOf(4), PerInstance: perInstance},
				{Name: "b", Overdue: capacityOf(40), Unplaced: 9, PerInstance: perInstance},
			},
			instances: busy("b", 12, 0),
			moves:     map[acaciatally.PoolName]int{"a": 5},
		},
		"idle instances leave at once": {
			pools: []capacity.Pool{
				{Name: "a", Waiting: capacityOf(40), PerInstance: perInstance}, {Name: "b", Overdue: capacityOf(4), Unplaced: 1, PerInstance: perInstance},
			},
			instances: append(busy("a", 2, 0), idle("b", 8)...),
			moves:     map[acaciatally.PoolName]int{"a": 7},
		},
		"unhealthy instances neither count nor move": {
			pools: []capacity.Pool{{Name: "a", Waiting: capacityOf(2), PerInstance: perInstance}, standby},
			instances: append(idle("standby", 4),
				capacity.Instance{ID: "a-0", Pool: "a", Up: true, Unhealthy: true},
				capacity.Instance{ID: "a-1", Pool: "a", Up: true}),
			moves: map[acaciatally.PoolName]int{"a": 2},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			moves := map[acaciatally.PoolName]int{}
			for _, move := range capacity.Plan(capacity.Defaults(), test.pools, test.instances) {
				moves[move.To]++
				require.NotEqual(t, move.From, move.To)
			}
			require.Equal(t, test.moves, moves)
		})
	}
}

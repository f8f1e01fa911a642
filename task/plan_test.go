package task_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/task"
)

var planTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func size(processors float64, gibibytes int64) acaciatally.Resources {
	return acaciatally.Resources{Processors: processors, Memory: gibibytes * gibibyte}
}

func room(id string, placements ...task.Placement) task.WorkerLoad {
	free := workerSize
	for _, placement := range placements {
		free.Processors -= placement.Holds.Processors
		free.Memory -= placement.Holds.Memory
	}
	return task.WorkerLoad{Worker: acaciatally.InstanceID(id), Capacity: workerSize, Free: free, Starts: -1, Placements: placements}
}

func placement(id string, urgency acaciatally.Urgency, holds acaciatally.Resources) task.Placement {
	return task.Placement{Task: id, Team: "archive", Urgency: urgency, Holds: holds, Share: 1, CanStop: true, WorkSince: planTime.Add(-time.Minute)}
}

func demand(id string, urgency acaciatally.Urgency, need acaciatally.Resources) task.Demand {
	return task.Demand{Task: id, Team: "survey", Urgency: urgency, Need: need, Since: planTime}
}

// TestPlan guards against a placement that ignores sizes, faults, quotas, floors or the order of urgency.
func TestPlan(t *testing.T) {
	waited := demand("large", acaciatally.Normal, size(60, 8))
	waited.Since = planTime.Add(-time.Minute)
	avoiding := demand("a", acaciatally.Normal, size(1, 1))
	avoiding.Avoid = []acaciatally.InstanceID{"w1"}
	overQuota := demand("over", acaciatally.Normal, size(40, 8))
	overQuota.Team, overQuota.Since = "archive", planTime.Add(-time.Minute)
	probe := demand("probe", acaciatally.Normal, size(1, 1))
	probe.Probe = true
	probed := room("w1")
	probed.Probed = true
	failing := room("w1")
	failing.Starts = 0
	background := placement("bg", acaciatally.Background, size(60, 8))
	fullFloor := task.Floors{0, 0, 1}
	tests := map[string]struct {
		demands     []task.Demand
		rooms       []task.WorkerLoad
		quotas      []task.Quota
		floors      task.Floors
		starts      map[string]string
		preemptions map[string]bool // whether the task has to leave
	}{
		"fullest worker that fits": {
			demands: []task.Demand{demand("a", acaciatally.Normal, size(16, 8))},
			rooms: []task.WorkerLoad{
				room("w1"), room("w2", placement("b", acaciatally.Normal, size(40, 8))), room("w3", placement("c", acaciatally.Normal, size(60, 8))),
			},
			starts: map[string]string{"a": "w2"},
		},
		"not where it failed":                  {demands: []task.Demand{avoiding}, rooms: []task.WorkerLoad{room("w1"), room("w2")}, starts: map[string]string{"a": "w2"}},
		"not on a worker on probation":         {demands: []task.Demand{demand("a", acaciatally.Urgent, size(1, 1))}, rooms: []task.WorkerLoad{failing}},
		"one task of unknown use a worker":     {demands: []task.Demand{probe}, rooms: []task.WorkerLoad{probed}},
		"urgent throttles background":          {demands: []task.Demand{demand("a", acaciatally.Urgent, size(32, 8))}, rooms: []task.WorkerLoad{room("w1", background)}, starts: map[string]string{"a": "w1"}, preemptions: map[string]bool{"bg": false}},
		"urgent takes memory":                  {demands: []task.Demand{demand("a", acaciatally.Urgent, size(1, 250))}, rooms: []task.WorkerLoad{room("w1", background)}, starts: map[string]string{"a": "w1"}, preemptions: map[string]bool{"bg": true}},
		"urgent takes a whole worker":          {demands: []task.Demand{demand("a", acaciatally.Urgent, size(64, 8))}, rooms: []task.WorkerLoad{room("w1", background)}, starts: map[string]string{"a": "w1"}, preemptions: map[string]bool{"bg": true}},
		"urgent leaves the floor":              {demands: []task.Demand{demand("a", acaciatally.Urgent, size(32, 8))}, rooms: []task.WorkerLoad{room("w1", background)}, floors: fullFloor},
		"one victim holds more than the spare": {demands: []task.Demand{demand("a", acaciatally.Urgent, size(1, 8))}, rooms: []task.WorkerLoad{room("w1", placement("bg", acaciatally.Background, size(60, 250)))}, floors: task.Floors{0, 0, 0.9}},
		"normal does not preempt normal":       {demands: []task.Demand{demand("a", acaciatally.Normal, size(32, 8))}, rooms: []task.WorkerLoad{room("w1", placement("n", acaciatally.Normal, size(60, 8)))}},
		"urgent first":                         {demands: []task.Demand{demand("a", acaciatally.Background, size(40, 8)), demand("b", acaciatally.Urgent, size(40, 8))}, rooms: []task.WorkerLoad{room("w1")}, starts: map[string]string{"b": "w1"}},
		"team under its quota goes first":      {demands: []task.Demand{overQuota, demand("under", acaciatally.Normal, size(40, 8))}, rooms: []task.WorkerLoad{room("w1"), room("w2", placement("x", acaciatally.Normal, size(60, 8)))}, quotas: []task.Quota{{Team: "archive", Processors: 8}}, starts: map[string]string{"under": "w1"}},
		"waiting class keeps its floor":        {demands: []task.Demand{demand("a", acaciatally.Urgent, size(60, 8)), demand("b", acaciatally.Background, size(16, 8))}, rooms: []task.WorkerLoad{room("w1")}, floors: task.Floors{0.5, 0, 0.25}, starts: map[string]string{"b": "w1"}},
		"small ones do not pass for ever":      {demands: []task.Demand{waited, demand("small", acaciatally.Normal, size(1, 1))}, rooms: []task.WorkerLoad{room("w1", placement("x", acaciatally.Normal, size(8, 8)))}},
		"large one has not waited for long":    {demands: []task.Demand{demand("large", acaciatally.Normal, size(60, 8)), demand("small", acaciatally.Normal, size(1, 1))}, rooms: []task.WorkerLoad{room("w1", placement("x", acaciatally.Normal, size(8, 8)))}, starts: map[string]string{"small": "w1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := task.MakePlan(task.Problem{
				Now: planTime, Demands: test.demands, WorkerLoads: test.rooms, Quotas: test.quotas, Floors: test.floors, MaxStarts: 100,
			})
			starts, preemptions := map[string]string{}, map[string]bool{}
			for _, start := range plan.Starts {
				starts[start.Task] = string(start.Worker)
			}
			for _, preempt := range plan.Preemptions {
				preemptions[preempt.Task] = preempt.Vacate
			}
			require.Equal(t, nonNil(test.starts), starts)
			require.Len(t, preemptions, len(test.preemptions))
			for id, vacate := range test.preemptions {
				require.Equal(t, vacate, preemptions[id])
			}
			require.Len(t, plan.Waits, len(test.demands)-len(starts))
			for _, wait := range plan.Waits {
				require.NotEmpty(t, wait.Reason)
			}
		})
	}
}

func nonNil(starts map[string]string) map[string]string {
	if starts == nil {
		return map[string]string{}
	}
	return starts
}

// TestPlanFits guards against a plan that gives a worker more than it has, or decides about a task twice.
func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var rooms []task.WorkerLoad
		for i := range rapid.IntRange(1, 6).Draw(rt, "rooms") {
			var placements []task.Placement
			for j := range rapid.IntRange(0, 4).Draw(rt, "placements") {
				holds := size(float64(rapid.IntRange(1, 16).Draw(rt, "processors")), int64(rapid.IntRange(1, 64).Draw(rt, "memory")))
				one := placement(fmt.Sprintf("t-%d-%d", i, j), acaciatally.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency")), holds)
				one.CanStop = rapid.Bool().Draw(rt, "can stop")
				placements = append(placements, one)
			}
			rooms = append(rooms, room(fmt.Sprintf("w-%d", i), placements...))
		}
		var demands []task.Demand
		for i := range rapid.IntRange(0, 20).Draw(rt, "demands") {
			need := size(float64(rapid.IntRange(1, 64).Draw(rt, "processors")), int64(rapid.IntRange(1, 256).Draw(rt, "memory")))
			demands = append(demands, demand(fmt.Sprintf("d-%d", i), acaciatally.Urgency(rapid.IntRange(0, 2).Draw(rt, "urgency")), need))
		}
		plan := task.MakePlan(task.Problem{Now: planTime, Demands: demands, WorkerLoads: rooms, Floors: task.DefaultFloors, MaxStarts: 100})
		decided := map[string]int{}
		for _, start := range plan.Starts {
			decided[start.Task]++
		}
		for _, wait := range plan.Waits {
			decided[wait.Task]++
		}
		for _, one := range demands {
			require.Equal(rt, 1, decided[one.Task])
		}
		for _, one := range rooms {
			require.GreaterOrEqual(rt, one.Free.Processors, -0.001)
			require.GreaterOrEqual(rt, one.Free.Memory, int64(0))
		}
	})
}

// BenchmarkPlan measures the placement of 64 tasks of three sizes for the slope over the number of workers.
func BenchmarkPlan(b *testing.B) {
	sizes := map[string]acaciatally.Resources{"small": size(1, 2), "middle": size(8, 32), "large": size(48, 192)}
	for _, workers := range []int{100, 800, 2500} {
		for name, need := range sizes {
			b.Run(fmt.Sprintf("%s/%d", name, workers), func(b *testing.B) {
				var demands []task.Demand
				for i := range 64 {
					demands = append(demands, demand(fmt.Sprintf("d-%d", i), acaciatally.Normal, need))
				}
				for b.Loop() {
					b.StopTimer()
					rooms := make([]task.WorkerLoad, 0, workers)
					for i := range workers {
						rooms = append(rooms, room(fmt.Sprintf("w-%d", i), placement(fmt.Sprintf("t-%d", i), acaciatally.Background, size(float64(i%60), 8))))
					}
					b.StartTimer()
					task.MakePlan(task.Problem{Now: planTime, Demands: demands, WorkerLoads: rooms, Floors: task.DefaultFloors, MaxStarts: 100})
				}
			})
		}
	}
}
